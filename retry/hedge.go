package retry

import (
	"math"
	"time"

	"azurestair.example/azurestair"
)

const (
	// mantissaBits is the number of mantissa bits in a bucket number: eight
	// buckets per doubling, a relative error of at most 12.5%.
	mantissaBits = 3
	// minExponent and maxExponent are powers of two in nanoseconds that limit
	// the buckets to the range from 1 us to 18 min.
	minExponent = 10
	maxExponent = 40
	numBuckets  = (maxExponent - minExponent) << mantissaBits
	// maxObserved is the count at which all counts are halved, so that recent
	// latencies weigh more.
	maxObserved = 2048
	// minObserved is the minimum count for a meaningful percentile.
	minObserved = 100
)

// LatencyHistogram is a histogram of the latencies of one service. The zero
// value is empty.
type LatencyHistogram struct {
	counts [numBuckets]uint32
	total  uint32
}

// Observe records the latency of a complete response.
func (h *LatencyHistogram) Observe(d time.Duration) {
	h.counts[bucketOf(d)]++
	h.total++
	if h.total >= maxObserved {
		h.halve()
	}
}

func (h *LatencyHistogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// Percentile returns the upper bound of the bucket that contains the
// percentile, and false if too few latencies were recorded.
func (h *LatencyHistogram) Percentile(p azurestair.Percent) (time.Duration, bool) {
	if h.total < minObserved {
		return 0, false
	}
	above := h.total * uint32(max(100-p, 0)) / 100
	seen := uint32(0)
	for i := numBuckets - 1; i >= 0; i-- {
		seen += h.counts[i]
		if seen > above {
			return bucketUpperBound(i), true
		}
	}
	return 0, false
}

// bucketOf derives the bucket from the exponent of the float64, which has a
// bias of 1023, and the leading bits of its mantissa.
func bucketOf(d time.Duration) int {
	f := max(float64(d), 1<<minExponent)
	key := int(math.Float64bits(f) >> (52 - mantissaBits))
	return min(key-(1023+minExponent)<<mantissaBits, numBuckets-1)
}

func bucketUpperBound(i int) time.Duration {
	key := uint64(i + 1 + (1023+minExponent)<<mantissaBits)
	return time.Duration(math.Float64frombits(key << (52 - mantissaBits)))
}

// HedgeAt returns when a second attempt may be sent if the first, sent at the
// given time, has not been answered by then; false means never. Only
// interactive, idempotent requests are hedged.
func (p Policy) HedgeAt(r *Request, latencies *LatencyHistogram, sent time.Time) (time.Time, bool) {
	p = p.withDefaults()
	if p.Disabled.Hedging || !r.work.Idempotent || r.work.Rank != azurestair.RankInteractive {
		return time.Time{}, false
	}
	if r.attempts != 1 || r.attempts >= p.maxAttempts(r) {
		return time.Time{}, false
	}
	after, ok := latencies.Percentile(p.HedgePercentile)
	if !ok {
		return time.Time{}, false
	}
	at := sent.Add(after)
	if latest := p.latestStart(r); !latest.IsZero() && latest.Before(at) {
		return time.Time{}, false
	}
	return at, true
}

// Hedge reports whether the hedge may be sent now, and takes a token for it. If
// it returns true, the caller must call Begin for the hedge.
func (p Policy) Hedge(r *Request, b *Budget, now time.Time) bool {
	return r.outstanding == 1 && b.spendForHedge(now)
}
