package faults

import (
	"flag"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var (
	seedFlag = flag.Uint64("faults.seed", 1, "seed of all random choices")
	fromFlag = flag.String("faults.from", "", "program that the instances run before the rolling replacement (default: the program under test)")
	longFlag = flag.Bool("faults.long", false, "run each test with more seeds, and all pairs of faults")
)

// longSeeds is the number of seeds of each test with -faults.long.
const longSeeds = 5

func TestFaults(t *testing.T) {
	t.Logf("seed %d", *seedFlag)
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(15 * time.Second)
	SetDefaultEventuallyPollingInterval(20 * time.Millisecond)
	RunSpecs(t, "faults")
}

var _ = BeforeSuite(func() {
	dir, err := os.MkdirTemp("", "azurestair-faults-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	binDir = dir
	Expect(readSources()).To(Succeed())
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../cmd/azurestair", "../cmd/azurestair-upstream", "./machine")
	build.Stderr = GinkgoWriter
	Expect(build.Run()).To(Succeed())
})

// readSources reads the sources of the programs under test. The go command
// caches test results by the files that a test opens, and would otherwise reuse
// a result of older programs.
func readSources() error {
	return filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".go" && filepath.Ext(path) != ".sum" {
			return err
		}
		_, err = os.ReadFile(filepath.Clean(path))
		return err
	})
}

// forEachSeed runs a test with each seed of this run.
func forEachSeed(run func(rng *rand.Rand)) {
	n := uint64(1)
	if *longFlag {
		n = longSeeds
	}
	for i := range n {
		seed := *seedFlag + i
		By(fmt.Sprintf("seed %d", seed))
		run(rand.New(rand.NewPCG(seed, 0)))
	}
}
