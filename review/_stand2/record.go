package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit statuses of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// record writes what was sent, answered and run, with the time since the
// start.
type record struct {
	mu      sync.Mutex
	f       *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{f: f, started: time.Now()}, nil
}

// line writes one line.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintf(r.f, "%8.3f %s\n", time.Since(r.started).Seconds(), text)
}

// verdict writes the result and returns the exit status.
func (r *record) verdict(broken bool, format string, args ...any) int {
	text := fmt.Sprintf(format, args...)
	if broken {
		r.line("BROKEN: %s", text)
		fmt.Println("BROKEN:", text)
		return exitBroken
	}
	r.line("HELD: %s", text)
	fmt.Println("HELD:", text)
	return exitHeld
}
