package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the account of a run: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	w     *bufio.Writer
	began time.Time
}

// newRecord creates record.txt in the folder of a case.
func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{f: f, w: bufio.NewWriter(f), began: time.Now()}, nil
}

// add adds a line with the time since the start of the run.
func (r *record) add(format string, args ...any) { r.addAt(time.Now(), format, args...) }

func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f ", at.Sub(r.began).Seconds())
	fmt.Fprintf(r.w, format+"\n", args...)
}

// say adds a line and prints it.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}

// isTroubled reports whether the run includes the disruption.
func isTroubled() bool { return os.Getenv("TROUBLE") != "0" }

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// notRun records why a case could not run.
func (r *record) notRun(err error) int {
	r.say("not run: %v", err)
	return exitNotRun
}
