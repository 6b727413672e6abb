package control

import (
	"time"
)

// ramp tracks the minimum use during the last interval. Increases are measured
// against it, so that an earlier increase that was not used does not permit a
// larger one. The use before the first observation counts as zero.
type ramp struct {
	interval time.Duration
	// minUse holds the minimum use in each bucket of an interval. newestBucket
	// is the number of the last one.
	minUse       [rampBucketCount + 1]int64
	newestBucket int64
	lastUse      int64
}

// observe records the use at now.
func (r *ramp) observe(use int64, interval time.Duration, now time.Time) {
	if interval <= 0 {
		return
	}
	bucket := now.UnixNano() / max(1, int64(interval)/rampBucketCount)
	if r.interval != interval {
		base := r.base()
		for i := range r.minUse {
			r.minUse[i] = base
		}
		r.interval, r.newestBucket = interval, bucket
	}
	for range min(bucket-r.newestBucket, int64(len(r.minUse))) {
		copy(r.minUse[:], r.minUse[1:])
		r.minUse[rampBucketCount] = r.lastUse
	}
	r.newestBucket, r.lastUse = max(r.newestBucket, bucket), use
	r.minUse[rampBucketCount] = min(r.minUse[rampBucketCount], use)
}

// base returns the minimum use during the last interval.
func (r *ramp) base() int64 {
	base := r.minUse[0]
	for _, use := range r.minUse {
		base = min(base, use)
	}
	return base
}
