package retry

import "azurestair.example/azurestair"

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
	burst := b.Burst
	if burst == 0 {
		burst = DefaultBurst
	}
	return max(0, burst*tokenParts-b.used) / tokenParts
}

const tokenParts = 100
