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
	fromFlag = flag.String("faults.from", "", "program that the rolling replacement starts from; empty for the program under test")
	longFlag = flag.Bool("faults.long", false, "run each case with more seeds")
)

// longSeeds is the number of seeds of each case in a long run.
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
	binaries = dir
	Expect(readSources()).To(Succeed())
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../cmd/azurestair", "../cmd/azurestair-upstream", "./machine")
	build.Stderr = GinkgoWriter
	Expect(build.Run()).To(Succeed())
})

// readSources opens the sources of the programs under test. The go command keys
// a cached result by the files that a test opens, and would otherwise repeat
// the result of an older program.
func readSources() error {
	return filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".go" && filepath.Ext(path) != ".sum" {
			return err
		}
		_, err = os.ReadFile(filepath.Clean(path))
		return err
	})
}

// eachSeed runs a case with each seed of this run.
func eachSeed(run func(rng *rand.Rand)) {
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
