package crowd

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCrowd(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(60 * time.Second)
	SetDefaultEventuallyPollingInterval(100 * time.Millisecond)
	RunSpecs(t, "crowd")
}

// program is the path of the program under test.
var program string

var _ = BeforeSuite(func() {
	dir, err := os.MkdirTemp("", "azurestair-crowd-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	program = filepath.Join(dir, "azurestair")
	build := exec.Command("go", "build", "-o", program, "../cmd/azurestair")
	build.Stderr = GinkgoWriter
	Expect(build.Run()).To(Succeed())
})
