package admission

import "time"

// estimateWeight is the number of completions over which the service time is averaged.
const estimateWeight = 64

// estimate measures the mean service time of a rank by Little's law, as slot
// time used for each completion, because Release does not tell when the work began.
type estimate struct {
	mean  float64
	inUse int
	area  float64
	since time.Time
}

// change records that the number of requests in progress changes by delta.
func (e *estimate) change(delta int, now time.Time) {
	if now.After(e.since) {
		if !e.since.IsZero() {
			e.area += float64(e.inUse) * float64(now.Sub(e.since))
		}
		e.since = now
	}
	e.inUse += delta
	if delta < 0 {
		e.mean += (e.area - e.mean) / estimateWeight
		e.area = 0
	}
}

// serviceMargin covers requests that take longer than the mean.
const serviceMargin = 2

// expected returns the time to plan for one request.
func (e *estimate) expected() time.Duration {
	return time.Duration(serviceMargin * e.mean)
}
