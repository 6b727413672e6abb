package stdout_test

import (
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"azurestair.example/azurestair/stdout"
)

// blockingWriter is an output that blocks until open is closed.
type blockingWriter struct {
	open  chan struct{}
	mu    sync.Mutex
	lines []string
}

func (g *blockingWriter) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lines = append(g.lines, string(p))
	return len(p), nil
}

// Guards against requests that block on a slow log output, and against lines that
// are dropped without being counted.
func TestWriterDropsAndCounts(t *testing.T) {
	g := NewWithT(t)
	out := &blockingWriter{open: make(chan struct{})}
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
