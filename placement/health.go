package placement

import "time"

const (
	// maxConsecutiveFailures is the number of consecutive failures that eject
	// an upstream.
	maxConsecutiveFailures = 3
	// failRateGain is the weight of one outcome in an upstream's failure rate.
	failRateGain = 1.0 / 10
	// maxFailRate is the failure rate above which an upstream is ejected.
	maxFailRate = 0.3
	// minOutcomes is the number of outcomes before a failure rate is used.
	minOutcomes = 6
	// baseEjectionTime is the duration of the first ejection; each further one
	// doubles it up to maxEjectionTime. A crashed upstream is seldom back
	// sooner.
	baseEjectionTime = time.Second
	maxEjectionTime  = 8 * time.Second
	// ejectionResetAfter is how long after the end of an ejection earlier
	// ejections still lengthen the next.
	ejectionResetAfter = 10 * time.Second
	// maxEjectedShare is the largest fraction of a service's upstreams that may
	// be ejected at the same time.
	maxEjectedShare = 0.4
)

// health is the outlier detection state of one upstream, based on the outcomes
// of this entry's attempts.
type health struct {
	consecutiveFailures int
	outcomes            int
	failRate            float64
	ejectedUntil        time.Time
	// lastEjectionEnd is when the last ejection ends; ejections counts those
	// that lengthen the next.
	lastEjectionEnd time.Time
	ejections       int
	// trialInFlight is true while the single request after an ejection is in
	// flight.
	trialInFlight bool
}

// isEjected reports whether the upstream gets no requests now: its ejection has
// not ended, or the trial after it is in flight.
func (h *health) isEjected(now time.Time) bool { return now.Before(h.ejectedUntil) || h.trialInFlight }

// isSuspect reports whether the upstream was ejected and has not passed a trial
// since.
func (h *health) isSuspect() bool { return !h.ejectedUntil.IsZero() }

// needsTrial reports whether the next request is the trial that decides if the
// upstream is used again.
func (h *health) needsTrial(now time.Time) bool {
	return !h.ejectedUntil.IsZero() && !now.Before(h.ejectedUntil) && !h.trialInFlight
}

// addOutcome records an outcome and reports whether the upstream should be
// ejected.
func (h *health) addOutcome(ok bool) bool {
	h.outcomes++
	if ok {
		h.consecutiveFailures = 0
		h.failRate -= failRateGain * h.failRate
		return false
	}
	h.consecutiveFailures++
	h.failRate += failRateGain * (1 - h.failRate)
	return h.consecutiveFailures >= maxConsecutiveFailures || (h.outcomes >= minOutcomes && h.failRate > maxFailRate)
}

// eject starts an ejection.
func (h *health) eject(now time.Time) {
	if now.Sub(h.lastEjectionEnd) > ejectionResetAfter {
		h.ejections = 0
	}
	d := min(baseEjectionTime<<min(h.ejections, 8), maxEjectionTime)
	h.ejections++
	h.ejectedUntil, h.lastEjectionEnd = now.Add(d), now.Add(d)
	h.consecutiveFailures, h.outcomes, h.failRate, h.trialInFlight = 0, 0, 0, false
}
