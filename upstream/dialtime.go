package upstream

import (
	"sync"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection, which normally takes about
	// 1 ms plus a round trip between regions.
	dialTimeout = 300 * time.Millisecond
	// dialTimeoutMax is the bound behind a full link of this instance, where a
	// round trip takes longer than dialTimeout and no connection would open.
	dialTimeoutMax = 1500 * time.Millisecond
	// dialGain is the weight of one connection attempt in the share of failures.
	dialGain = 1.0 / 16
	// dialSuspect is the share of failures above which this instance's own link
	// is the likely cause, and not the upstreams.
	dialSuspect = 0.5
)

// dialTime adapts how long the opening of a connection may take. The zero
// value is ready.
type dialTime struct {
	mu     sync.Mutex
	failed float64
	limit  time.Duration
}

// timeout returns how long the next attempt may take.
func (d *dialTime) timeout() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.limit, dialTimeout)
}

// observe takes an attempt into account and reports whether a failure is put
// down to the upstream.
func (d *dialTime) observe(ok bool, took time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ok {
		d.failed -= dialGain * d.failed
		// Four times what it took leaves room for a queue that grows.
		d.limit = max(dialTimeout, min(d.limit, 4*took))
		return false
	}
	d.failed += dialGain * (1 - d.failed)
	if d.failed <= dialSuspect {
		return true
	}
	d.limit = min(max(d.limit, dialTimeout)*3/2, dialTimeoutMax)
	return false
}
