// Package stdout writes log lines to standard output without blocking the
// caller.
package stdout

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines limits the lines that wait for the output. At the usual 200
// bytes per line a full queue takes 400 KB.
const maxQueuedLines = 2048

// Writer writes lines to an output in its own goroutine. If the queue is full,
// lines are dropped and counted, and the count is logged with a later line.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a Writer and starts its goroutine.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of the line. It never blocks and never returns an error.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		_, _ = w.out.Write(line)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "level=WARN msg=\"log lines dropped\" lines=%d\n", n)
		}
	}
}

// closeTimeout bounds the wait for the output at the end of a process. It is
// less than the half second that a process has after its shutdown.
const closeTimeout = 250 * time.Millisecond

// Close writes the queued lines and stops the goroutine. Lines that the output
// does not take within closeTimeout are lost. Write must not be called after
// Close.
func (w *Writer) Close() {
	close(w.lines)
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case <-w.done:
	case <-t.C:
	}
}
