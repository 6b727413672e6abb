package admission

import "time"

// averagingWindow is the number of completions over which the service time is
// averaged.
const averagingWindow = 64

// serviceTimeEstimator estimates the mean service time of a rank using Little's
// law: the slot time used divided by the number of completions. It needs no
// start times, which Release does not know.
type serviceTimeEstimator struct {
	mean  float64
	inUse int
	// slotTime is the slot time used since the last completion, in nanoseconds.
	slotTime  float64
	updatedAt time.Time
}

// addInUse adds delta to the number of requests in progress.
func (e *serviceTimeEstimator) addInUse(delta int, now time.Time) {
	if now.After(e.updatedAt) {
		if !e.updatedAt.IsZero() {
			e.slotTime += float64(e.inUse) * float64(now.Sub(e.updatedAt))
		}
		e.updatedAt = now
	}
	e.inUse += delta
	if delta < 0 {
		e.mean += (e.slotTime - e.mean) / averagingWindow
		e.slotTime = 0
	}
}

// serviceTimeMargin is the factor applied to the mean to allow for requests
// that take longer.
const serviceTimeMargin = 2

// withMargin returns the service time to allow for one request.
func (e *serviceTimeEstimator) withMargin() time.Duration {
	return time.Duration(serviceTimeMargin * e.mean)
}
