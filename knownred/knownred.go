// Package knownred lets the test suites pass over the tests that the file
// KNOWN-RED.txt at the root of the repository names.
package knownred

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/onsi/ginkgo/v2"
)

// Variable is the environment variable that makes the named tests run.
const Variable = "AZURESTAIR_KNOWN_RED"

// Skip skips the current test if KNOWN-RED.txt names it in backquotes.
func Skip() {
	ginkgo.GinkgoHelper()
	if os.Getenv(Variable) == "" && isNamed(ginkgo.CurrentSpecReport().FullText()) {
		ginkgo.Skip("listed in KNOWN-RED.txt")
	}
}

// maxDepth is how many folders above that of a package are searched.
const maxDepth = 4

// isNamed looks for the file in the current folder and in those above it, since
// tests run in the folder of their package.
func isNamed(test string) bool {
	for dir, n := ".", 0; n < maxDepth; dir, n = filepath.Join(dir, ".."), n+1 {
		if data, err := os.ReadFile(filepath.Join(dir, "KNOWN-RED.txt")); err == nil {
			return strings.Contains(string(data), "`"+test+"`")
		}
	}
	ginkgo.Fail("KNOWN-RED.txt is missing")
	return false
}
