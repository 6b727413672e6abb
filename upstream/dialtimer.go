package upstream

import (
	"sync"
	"time"
)

const (
	// minDialTimeout is the dial timeout under normal conditions, where a dial
	// takes about 1 ms plus the round trip between regions.
	minDialTimeout = 300 * time.Millisecond
	// maxDialTimeout is the longest dial timeout. It is used while the local
	// link is saturated: a round trip then takes longer than minDialTimeout,
	// with which every dial would fail.
	maxDialTimeout = 1500 * time.Millisecond
	// dialFailureWeight is the weight of one dial in the rate of dials without
	// an answer.
	dialFailureWeight = 1.0 / 16
	// maxDialFailureRate is the rate of dials without an answer above which the
	// local link, not the upstreams, is the likely cause.
	maxDialFailureRate = 0.5
)

// dialTimer adapts the dial timeout to the observed dial times and failures.
// The zero value is ready to use.
type dialTimer struct {
	mu sync.Mutex
	// failureRate is the exponential moving average of dials without an answer.
	failureRate float64
	// raisedTimeout is the dial timeout if it is above minDialTimeout.
	raisedTimeout time.Duration
}

// timeout returns the timeout of the next dial.
func (d *dialTimer) timeout() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.raisedTimeout, minDialTimeout)
}

// observe records whether a dial was answered. It reports whether a dial without
// an answer is attributed to the upstream.
func (d *dialTimer) observe(answered bool, took time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if answered {
		d.failureRate -= dialFailureWeight * d.failureRate
		// Four times the last dial time leaves room for a growing queue on the
		// link.
		d.raisedTimeout = max(minDialTimeout, min(d.raisedTimeout, 4*took))
		return false
	}
	d.failureRate += dialFailureWeight * (1 - d.failureRate)
	if d.failureRate <= maxDialFailureRate {
		return true
	}
	d.raisedTimeout = min(max(d.raisedTimeout, minDialTimeout)*3/2, maxDialTimeout)
	return false
}

// suspectsLink reports whether failed dials are attributed to the local link.
func (d *dialTimer) suspectsLink() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failureRate > maxDialFailureRate
}
