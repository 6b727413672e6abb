package peer_test

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// skipKnownRed skips a test that KNOWN-RED.txt names in backquotes, unless
// AZURESTAIR_KNOWN_RED is set.
func skipKnownRed() {
	data, err := os.ReadFile("../KNOWN-RED.txt")
	Expect(err).NotTo(HaveOccurred())
	if os.Getenv("AZURESTAIR_KNOWN_RED") == "" && strings.Contains(string(data), "`"+CurrentSpecReport().FullText()+"`") {
		Skip("listed in KNOWN-RED.txt")
	}
}
