// Package stdout writes log lines to standard output without ever making the
// writer of a line wait.
package stdout

import (
	"fmt"
	"io"
	"sync/atomic"
)

// queueLines bounds the lines that wait for the output. At the usual 200 bytes
// a line it holds 400 KB.
const queueLines = 2048

// Writer hands lines to an output on its own goroutine. A line that finds the
// queue full is dropped and counted; a later line tells how many were.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a writer whose run has begun.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of the line. It never fails.
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

// Close writes what waits. Nothing may be written afterwards.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}
