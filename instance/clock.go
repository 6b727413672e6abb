package instance

import (
	"sync/atomic"
	"time"

	"azurestair.example/azurestair"
)

// SystemClock is a Clock that returns the system time.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// leaseClock is a LeaseClock whose time is that of a Clock plus the time for
// which the machine has been suspended since the leaseClock was created.
type leaseClock struct {
	azurestair.Clock
	// offset returns the time since the boot that Clock does not count. It may
	// return less, for a moment, but never more.
	offset func() time.Duration
	start  time.Duration
	// suspended is the largest growth of the offset seen so far in
	// nanoseconds, so that the time never goes backwards.
	suspended atomic.Int64
}

var _ azurestair.LeaseClock = (*leaseClock)(nil)

// NewLeaseClock returns the lease clock of the system. Where the system does not
// tell how long it was suspended, it is the same as SystemClock.
func NewLeaseClock() azurestair.LeaseClock {
	return &leaseClock{Clock: SystemClock{}, offset: bootOffset, start: bootOffset()}
}

// Now returns the current time.
func (c *leaseClock) Now() time.Time { return c.Clock.Now().Add(c.SuspendedFor()) }

// SuspendedFor returns for how long the machine has been suspended.
func (c *leaseClock) SuspendedFor() time.Duration {
	grown := int64(c.offset() - c.start)
	for {
		seen := c.suspended.Load()
		if grown <= seen {
			return time.Duration(seen)
		}
		if c.suspended.CompareAndSwap(seen, grown) {
			return time.Duration(grown)
		}
	}
}

// plainLeaseClock makes a Clock that tests or front ends supply a LeaseClock
// that is never suspended.
type plainLeaseClock struct{ azurestair.Clock }

// SuspendedFor returns zero.
func (plainLeaseClock) SuspendedFor() time.Duration { return 0 }

// leaseClockFor returns the lease clock of a process with the given clock; nil
// stands for the system time.
func leaseClockFor(c azurestair.Clock) azurestair.LeaseClock {
	if c == nil {
		return NewLeaseClock()
	}
	return plainLeaseClock{c}
}

// leaseNow returns the time by which leases, and what the control goroutine
// publishes, are judged.
func (e *Entry) leaseNow() time.Time {
	if e.leaseClock == nil {
		return e.clock.Now()
	}
	return e.leaseClock.Now()
}
