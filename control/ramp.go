package control

import (
	"time"
)

// ramp finds the least use during the last interval. A rise is measured
// against it, so that an earlier rise that was not used allows no larger one.
// What lies before the first observation counts as no use.
type ramp struct {
	interval time.Duration
	// least holds the least use in each part of an interval; part numbers the newest.
	least [rampBuckets + 1]int64
	part  int64
	last  int64
}

// observe notes the use at now.
func (r *ramp) observe(use int64, interval time.Duration, now time.Time) {
	if interval <= 0 {
		return
	}
	part := now.UnixNano() / max(1, int64(interval)/rampBuckets)
	if r.interval != interval {
		base := r.base()
		for i := range r.least {
			r.least[i] = base
		}
		r.interval, r.part = interval, part
	}
	for range min(part-r.part, int64(len(r.least))) {
		copy(r.least[:], r.least[1:])
		r.least[rampBuckets] = r.last
	}
	r.part, r.last = max(r.part, part), use
	r.least[rampBuckets] = min(r.least[rampBuckets], use)
}

// base returns the least use during the last interval.
func (r *ramp) base() int64 {
	base := r.least[0]
	for _, use := range r.least {
		base = min(base, use)
	}
	return base
}
