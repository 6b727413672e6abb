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

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, string(p))
	return len(p), nil
}

// Guards against requests that block on a slow log output, and against lines
// that are dropped without being counted.
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

// Guards against a process that cannot exit while the reader of its standard
// output is stalled.
func TestCloseDoesNotWaitForABlockedOutput(t *testing.T) {
	out := &blockingWriter{open: make(chan struct{})}
	w := stdout.New(out)
	_, _ = w.Write([]byte("line\n"))
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		w.Close()
	}()
	NewWithT(t).Eventually(closed, "10s").Should(BeClosed())
	close(out.open)
}
