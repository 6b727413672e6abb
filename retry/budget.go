package retry

import (
	"time"

	"azurestair.example/azurestair"
)

const (
	// DefaultPercent is the percentage of requests that may be retried.
	DefaultPercent azurestair.Percent = 10
	// DefaultBurst limits the unused retries that accumulate. It lets a service
	// with few requests retry, and is small compared with the slots of a
	// service.
	DefaultBurst = 10
)

// Budget is a token bucket for the retries and hedges of one service. Each
// request adds a fraction of a token and each retry takes a whole one. The zero
// value is full and uses the defaults.
type Budget struct {
	// Percent is the percentage of requests that may be retried; zero means
	// DefaultPercent.
	Percent azurestair.Percent
	// Burst is the capacity in tokens; zero means DefaultBurst.
	Burst int
	// Unlimited permits every retry, for comparison.
	Unlimited bool

	// deficit is the number of tokens missing from a full bucket, in units of
	// 1/unitsPerToken.
	deficit int
	// saturatedAt is when the upstreams last had no capacity left.
	saturatedAt time.Time
	// share replaces Burst while it is active.
	share share
}

// hedgePause is how long no hedge is sent after the upstreams had no capacity
// left. A hedge would then take a slot from a request that has none yet.
const hedgePause = time.Second

// RecordSaturation records that no upstream had capacity for a request. Next
// does so itself when an upstream has shed an attempt.
func (b *Budget) RecordSaturation(now time.Time) { b.saturatedAt = now }

// spendForHedge takes a token for a hedge. Half of the burst is reserved for
// retries.
func (b *Budget) spendForHedge(now time.Time) bool {
	if !b.saturatedAt.IsZero() && now.Sub(b.saturatedAt) < hedgePause {
		return false
	}
	if !b.Unlimited && b.Available(now) <= b.limit()/2 {
		return false
	}
	return b.Spend(now)
}

func (b *Budget) burst() int {
	if b.Burst == 0 {
		return DefaultBurst
	}
	return b.Burst
}

// AddRequest adds the fraction of a token for one request.
func (b *Budget) AddRequest() {
	percent := b.Percent
	if percent == 0 {
		percent = DefaultPercent
	}
	b.deficit = max(0, b.deficit-int(percent))
}

// Spend takes one token and reports whether one was available. Credit is taken
// before slots, since credit beyond the capacity is lost.
func (b *Budget) Spend(now time.Time) bool {
	switch {
	case b.Unlimited:
	case b.tokens() > 0:
		b.deficit += unitsPerToken
	case b.share.freeSlots(now) > 0:
		b.share.usedAt = append(b.share.usedAt, now)
	default:
		return false
	}
	return true
}

// Available returns how many retries are possible now.
func (b *Budget) Available(now time.Time) int { return b.tokens() + b.share.freeSlots(now) }

// tokens returns the number of whole tokens in the bucket.
func (b *Budget) tokens() int { return max(0, b.capacity()-b.deficit) / unitsPerToken }

// capacity returns the capacity of the bucket in units of 1/unitsPerToken.
func (b *Budget) capacity() int {
	if b.share.active {
		return b.share.credit
	}
	return b.burst() * unitsPerToken
}

// limit returns the largest number of retries that can be available.
func (b *Budget) limit() int { return b.capacity()/unitsPerToken + b.share.activeSlots() }

const unitsPerToken = 100
