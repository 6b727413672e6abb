// Command machine runs an instance with injected clock and disk faults, which
// the soak test controls through files in a directory.
package main

import (
	"flag"
	"fmt"
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

// Files in the fault directory.
const (
	// clockFile holds the offset of the wall clock as a duration in whole
	// seconds.
	clockFile = "clock"
	// diskFile holds diskStalled or diskFull while the disk fault lasts.
	diskFile = "disk"

	diskStalled = "stalled"
	diskFull    = "full"
)

// pollInterval is the interval at which the fault files are read.
const pollInterval = 20 * time.Millisecond

func main() {
	path := flag.String("settings", "", "settings file of the instance")
	faults := flag.String("faults", "", "directory of the files that control the injected faults")
	flag.Parse()
	s, err := settings.Load(*path)
	if err != nil {
		slog.Error("settings not read", "err", err)
		os.Exit(2)
	}
	injector := faultInjector{dir: *faults}
	instance.New(s, instance.Options{LogOutput: os.Stderr, Clock: injector.clock(), OpenStore: injector.openStore}).Run()
}

// faultInjector injects the clock and disk faults requested by the files in
// dir.
type faultInjector struct{ dir string }

// readFile returns the trimmed content of a file, or "" if it cannot be read.
func (i faultInjector) readFile(name string) string {
	data, _ := os.ReadFile(filepath.Join(i.dir, name))
	return strings.TrimSpace(string(data))
}

// clock returns a clock with the offset in clockFile. The clock steps when the
// file changes.
func (i faultInjector) clock() azurestair.Clock {
	c := &skewedClock{injector: i}
	c.update()
	go c.loop()
	return c
}

// skewedClock is a clock whose wall time is off by an offset.
type skewedClock struct {
	injector faultInjector
	// offset is in seconds.
	offset atomic.Int64
}

func (c *skewedClock) update() {
	offset, err := time.ParseDuration(c.injector.readFile(clockFile))
	if err == nil {
		c.offset.Store(int64(offset / time.Second))
	}
}

func (c *skewedClock) loop() {
	for range time.Tick(pollInterval) {
		c.update()
	}
}

// Now returns the current time with the offset added to its wall time. The
// monotonic reading stays unchanged, as it does when a system clock steps.
func (c *skewedClock) Now() time.Time {
	now := time.Now()
	// In a time.Time with a monotonic reading, the first word holds the wall
	// seconds above 30 bits of nanoseconds.
	wall := (*uint64)(unsafe.Pointer(&now)) //nolint:gosec // TestClockSteps checks the layout
	*wall += uint64(c.offset.Load()) << 30  //nolint:gosec // a negative offset wraps around
	return now
}

func (i faultInjector) openStore(dir string, id azurestair.InstanceID) (instance.Store, azurestair.LogState, error) {
	s, state, err := disk.Open(dir, id)
	if err != nil {
		return nil, state, err
	}
	return &faultyStore{Store: s, injector: i, needsRepair: s.NeedsRepair() || i.isDiskFull()}, state, nil
}

func (i faultInjector) isDiskFull() bool { return i.readFile(diskFile) == diskFull }

// faultyStore is a log store whose appends stall or fail during a disk fault.
type faultyStore struct {
	*disk.Store
	injector faultInjector
	// needsRepair is true if the disk was full when the store was opened.
	needsRepair bool
}

// errDiskFull is the error of a store whose disk is full.
var errDiskFull = fmt.Errorf("%w: %w", azurestair.ErrNoSpace, syscall.ENOSPC)

// NeedsRepair reports whether the disk was full when the store was opened.
func (s *faultyStore) NeedsRepair() bool { return s.needsRepair }

// Repair fails while the disk is full.
func (s *faultyStore) Repair() error {
	if s.injector.isDiskFull() {
		return errDiskFull
	}
	return s.Store.Repair()
}

// Append blocks while the disk is stalled and fails while it is full.
func (s *faultyStore) Append(hardState azurestair.HardState, entries []azurestair.LogEntry) error {
	for s.injector.readFile(diskFile) == diskStalled {
		time.Sleep(pollInterval)
	}
	if s.injector.isDiskFull() {
		return errDiskFull
	}
	return s.Store.Append(hardState, entries)
}
