package stdout_test

import (
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"azurestair.example/azurestair/stdout"
)

// gate is an output that blocks until it is opened.
type gate struct {
	open  chan struct{}
	mu    sync.Mutex
	lines []string
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lines = append(g.lines, string(p))
	return len(p), nil
}

// Guards against a log that makes requests wait for a slow output.
func TestWriterDropsAndCounts(t *testing.T) {
	g := NewWithT(t)
	out := &gate{open: make(chan struct{})}
	w := stdout.New(out)
	const lines = 5000
	for range lines {
		_, err := w.Write([]byte("line\n"))
		g.Expect(err).NotTo(HaveOccurred())
	}
	close(out.open)
	w.Close()
	g.Expect(len(out.lines)).To(BeNumerically("<", lines))
	g.Expect(strings.Join(out.lines, "")).To(ContainSubstring("log lines dropped"))
}
