package retry

import (
	"time"

	"azurestair.example/azurestair"
)

const (
	// DefaultPercent is the share of requests that may be retried.
	DefaultPercent azurestair.Percent = 10
	// DefaultBurst bounds the retries that a quiet time saves up. It lets a
	// service with few requests retry, and is small against the slots of a service.
	DefaultBurst = 10
)

// Budget is a token bucket for the retries and hedges of one service. Each
// request adds a share of a token and each retry takes a whole one. The zero
// value is full and uses the defaults.
type Budget struct {
	// Percent is the share of requests that may be retried; zero means DefaultPercent.
	Percent azurestair.Percent
	// Burst bounds the tokens; zero means DefaultBurst.
	Burst int
	// Unlimited grants every retry, for comparison.
	Unlimited bool

	// used is what is missing from a full bucket, in hundredths of a token.
	used int
	// saturatedAt is when the upstreams last had no room.
	saturatedAt time.Time
}

// hedgePause is how long no hedge is sent after the upstreams had no room. A
// hedge then takes a slot from a request that has none yet.
const hedgePause = time.Second

// Saturated notes that a request found no upstream with room. Next notes
// load-shedding answers itself.
func (b *Budget) Saturated(now time.Time) { b.saturatedAt = now }

// spendHedge takes a token for a hedge. Half of the burst is kept for retries.
func (b *Budget) spendHedge(now time.Time) bool {
	if !b.saturatedAt.IsZero() && now.Sub(b.saturatedAt) < hedgePause {
		return false
	}
	if !b.Unlimited && b.Left() <= b.burst()/2 {
		return false
	}
	return b.Spend()
}

func (b *Budget) burst() int {
	if b.Burst == 0 {
		return DefaultBurst
	}
	return b.Burst
}

// Request adds the share of one request.
func (b *Budget) Request() {
	percent := b.Percent
	if percent == 0 {
		percent = DefaultPercent
	}
	b.used = max(0, b.used-int(percent))
}

// Spend takes one token and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.Unlimited {
		return true
	}
	if b.Left() < 1 {
		return false
	}
	b.used += tokenParts
	return true
}

// Left returns how many retries are possible now.
func (b *Budget) Left() int {
	return max(0, b.burst()*tokenParts-b.used) / tokenParts
}

const tokenParts = 100
