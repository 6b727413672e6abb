// Command machine runs an instance of the product on a machine whose clock and
// disk misbehave as files in a folder say, for the soak.
package main

import (
	"flag"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/disk"
	"azurestair.example/azurestair/instance"
	"azurestair.example/azurestair/settings"
)

// Files that tell the machine how it misbehaves.
const (
	// fileClock holds how far the clock is off, as a duration in whole seconds.
	fileClock = "clock"
	// fileDisk holds diskStalled or diskFull while the disk misbehaves.
	fileDisk = "disk"

	diskStalled = "stalled"
	diskFull    = "full"
)

// pollEvery is how often the files are read again.
const pollEvery = 20 * time.Millisecond

func main() {
	path := flag.String("settings", "", "settings file of the instance")
	faults := flag.String("faults", "", "folder with the files that tell how the machine misbehaves")
	flag.Parse()
	s, err := settings.Load(*path)
	if err != nil {
		slog.Error("settings not read", "err", err)
		os.Exit(2)
	}
	m := machine{dir: *faults}
	instance.New(s, instance.Options{LogOutput: os.Stderr, Clock: m.clock(), OpenStore: m.openStore}).Run()
}

// machine is where the instance runs.
type machine struct{ dir string }

// read returns what a file says; empty without the file.
func (m machine) read(name string) string {
	data, _ := os.ReadFile(filepath.Join(m.dir, name))
	return strings.TrimSpace(string(data))
}

// clock returns a clock that is off, and steps when its file changes.
func (m machine) clock() azurestair.Clock {
	c := &steppedClock{machine: m}
	c.read()
	go c.loop()
	return c
}

// steppedClock tells a wrong time of day.
type steppedClock struct {
	machine machine
	// off is how far it is off, in seconds.
	off atomic.Int64
}

func (c *steppedClock) read() {
	off, err := time.ParseDuration(c.machine.read(fileClock))
	if err == nil {
		c.off.Store(int64(off / time.Second))
	}
}

func (c *steppedClock) loop() {
	for range time.Tick(pollEvery) {
		c.read()
	}
}

// Now returns the present time with another time of day. Its monotonic reading
// is the true one, since a step of a machine's clock leaves that as it is.
func (c *steppedClock) Now() time.Time {
	now := time.Now()
	// The first word of a time with a monotonic reading holds the seconds of its
	// time of day above 30 bits of nanoseconds.
	wall := (*uint64)(unsafe.Pointer(&now)) //nolint:gosec // the test of the program checks the layout
	*wall += uint64(c.off.Load()) << 30     //nolint:gosec // a negative offset wraps round
	return now
}

func (m machine) openStore(dir string, id azurestair.InstanceID) (instance.Store, azurestair.LogState, error) {
	s, state, err := disk.Open(dir, id)
	if err != nil {
		return nil, state, err
	}
	return &store{Store: s, machine: m}, state, nil
}

// store is a log store on a disk that stalls or has no room.
type store struct {
	*disk.Store
	machine machine
}

// Append stalls or fails as the disk does.
func (s *store) Append(hard azurestair.HardState, entries []azurestair.LogEntry) error {
	for s.machine.read(fileDisk) == diskStalled {
		time.Sleep(pollEvery)
	}
	if s.machine.read(fileDisk) == diskFull {
		return syscall.ENOSPC
	}
	return s.Store.Append(hard, entries)
}
