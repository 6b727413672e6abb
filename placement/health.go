package placement

import "time"

const (
	// failuresInRow is the number of failures in a row that take a worker out.
	failuresInRow = 3
	// failGain is the weight of one outcome in a worker's failure rate.
	failGain = 1.0 / 10
	// failLimit is the failure rate above which a worker is taken out.
	failLimit = 0.3
	// failSamples is the number of outcomes before a failure rate counts.
	failSamples = 6
	// outFor is the time of the first ejection; each further one doubles it up
	// to outForMax. A crashed worker is seldom back sooner.
	outFor    = time.Second
	outForMax = 8 * time.Second
	// forgetAfter is how long a worker must do well before its earlier
	// ejections no longer lengthen the next.
	forgetAfter = 10 * time.Second
	// outShare is the largest share of a service's workers that may be out.
	outShare = 0.4
)

// health is the outlier ejection of one worker, driven by own outcomes.
type health struct {
	inRow    int
	outcomes int
	rate     float64
	outUntil time.Time
	// lastOut is when the last ejection ended; outs counts those that lengthen the next.
	lastOut time.Time
	outs    int
	// trial is true while the single request after an ejection is in flight.
	trial bool
}

func (h *health) isOut(now time.Time) bool { return now.Before(h.outUntil) || h.trial }

// isSuspect reports whether the worker was taken out and has not done well since.
func (h *health) isSuspect() bool { return !h.outUntil.IsZero() }

// needsTrial reports whether the next request decides if the worker is back.
func (h *health) needsTrial(now time.Time) bool {
	return !h.outUntil.IsZero() && !now.Before(h.outUntil) && !h.trial
}

// count takes an outcome into account and reports whether the worker should go out.
func (h *health) count(ok bool) bool {
	h.outcomes++
	if ok {
		h.inRow = 0
		h.rate -= failGain * h.rate
		return false
	}
	h.inRow++
	h.rate += failGain * (1 - h.rate)
	return h.inRow >= failuresInRow || (h.outcomes >= failSamples && h.rate > failLimit)
}

// eject takes the worker out.
func (h *health) eject(now time.Time) {
	if now.Sub(h.lastOut) > forgetAfter {
		h.outs = 0
	}
	d := min(outFor<<min(h.outs, 8), outForMax)
	h.outs++
	h.outUntil, h.lastOut = now.Add(d), now.Add(d)
	h.inRow, h.outcomes, h.rate, h.trial = 0, 0, 0, false
}
