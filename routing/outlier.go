package routing

import (
	"time"

	"azurestair.example/azurestair"
)

// breaker is the state of a worker's outlier ejection.
type breaker uint8

const (
	// closed lets work through.
	closed breaker = iota
	// open keeps all work away until a time.
	open
	// halfOpen lets single trial requests through.
	halfOpen
)

const (
	// ejectAfter is the number of failures in a row that eject a worker.
	ejectAfter = 5
	// ejectFor is the time of the first ejection; each further one doubles it.
	ejectFor = 5 * time.Second
	// ejectForMax bounds the time of an ejection.
	ejectForMax = 60 * time.Second
	// ejectForget is how long a worker must work normally before its earlier
	// ejections no longer lengthen the next.
	ejectForget = 60 * time.Second
	// rateGain is the weight of one outcome in a worker's success rate.
	rateGain = 1.0 / 32
	// minServiceRateGain is the least weight of one outcome in the service's success rate.
	minServiceRateGain = 1.0 / 512
	// rateSamples is the number of outcomes before a success rate counts.
	rateSamples = 20
	// rateGap is how far below the service's a worker's success rate ejects it.
	rateGap = 0.3
	// serviceFailing is the success rate of the service below which failures
	// in a row eject nobody: the cause is then not the single worker, and
	// ejection would only take away capacity.
	serviceFailing = 0.5
	// trialGrace is how long only idempotent requests serve as trials. A failed
	// trial of another request has an unknown outcome; it is used only if the
	// service has no idempotent work to try with.
	trialGrace = 5 * time.Second
	// trialWeight is the share of normal work offered to a half-open worker.
	trialWeight = 0.1
)

// health is what the outlier ejection knows of a worker.
type health struct {
	state     breaker
	until     time.Time
	closedAt  time.Time
	ejections int
	failures  int
	outcomes  int
	failRate  float64
	trial     bool
}

// judge takes one outcome into account and ejects or returns the worker.
func (p *Weighted) judge(w *worker, ok bool, now time.Time) {
	failed := 0.0
	if !ok {
		failed = 1
	}
	p.failRate += p.serviceRateGain() * (failed - p.failRate)
	h := &w.health
	switch h.state {
	case open:
		// Outcomes of attempts from before the ejection.
	case halfOpen:
		p.judgeTrial(w, ok, now)
	default:
		h.count(ok, failed)
		if p.isOutlier(h) {
			p.eject(w, now)
		}
	}
}

// serviceRateGain lets the service's rate follow faster than each worker's
// does. Otherwise a failure of all workers would look like one of each.
func (p *Weighted) serviceRateGain() float64 {
	gain := 2 * rateGain / float64(max(p.listed, 1))
	return min(max(gain, minServiceRateGain), rateGain)
}

func (h *health) count(ok bool, failed float64) {
	h.failures++
	if ok {
		h.failures = 0
	}
	h.outcomes++
	h.failRate += rateGain * (failed - h.failRate)
}

func (p *Weighted) isOutlier(h *health) bool {
	if p.opts.Without.Ejection || h.failures == 0 {
		return false
	}
	if h.failures >= ejectAfter && 1-p.failRate > serviceFailing {
		return true
	}
	return h.outcomes >= rateSamples && h.failRate > p.failRate+rateGap
}

func (p *Weighted) judgeTrial(w *worker, ok bool, now time.Time) {
	if !w.health.trial {
		return
	}
	w.health.trial = false
	if ok {
		p.closeBreaker(w, now)
		return
	}
	w.health.open(now)
}

// eject takes the worker out unless too many are out already.
func (p *Weighted) eject(w *worker, now time.Time) {
	if p.ejected >= p.ejectLimit() {
		return
	}
	p.ejected++
	if now.Sub(w.health.closedAt) > ejectForget {
		w.health.ejections = 0
	}
	w.health.open(now)
}

func (h *health) open(now time.Time) {
	d := min(ejectFor<<min(h.ejections, 10), ejectForMax)
	h.ejections++
	h.state, h.until = open, now.Add(d)
	h.failures, h.outcomes, h.failRate = 0, 0, 0
}

// mayTry reports whether the breaker lets the request through.
func (h *health) mayTry(r request) bool {
	return h.state != halfOpen || r.idempotent || r.now.Sub(h.until) >= trialGrace
}

// tryAgain makes an ejected worker half-open.
func (p *Weighted) tryAgain(w *worker) {
	w.health.state, w.health.trial = halfOpen, false
	// The statistics from before the ejection must not keep the trial away.
	w.record = record{}
}

func (p *Weighted) closeBreaker(w *worker, now time.Time) {
	p.ejected--
	w.health.state, w.health.closedAt = closed, now
	w.startRamp(now)
}

// forgetEjection ends an ejection without a trial, because the worker left the
// snapshot or is a new process.
func (p *Weighted) forgetEjection(w *worker) {
	if w.health.state != closed {
		p.ejected--
	}
	w.health = health{}
}

// ejectLimit is the configured share, rounded down. A single worker counts as
// its share in whole percent, so that 33% lets one of three be ejected.
func (p *Weighted) ejectLimit() int {
	percent := p.defaults.EjectPercent
	limit := percent.Of(p.listed)
	if limit == 0 && p.listed > 0 && int(percent) >= 100/p.listed {
		return 1
	}
	return limit
}

// keepEjectLimit returns ejected workers, longest out first, after the service has shrunk.
func (p *Weighted) keepEjectLimit(now time.Time) {
	for p.ejected > p.ejectLimit() {
		var first *worker
		for _, w := range p.order {
			if w.health.state != closed && (first == nil || w.health.until.Before(first.health.until)) {
				first = w
			}
		}
		p.closeBreaker(first, now)
		p.settle(first, now)
	}
}

// Ejected returns how many upstreams are ejected or half-open.
func (p *Weighted) Ejected() int { return p.ejected }

// isFailure reports whether the result counts against the worker.
func isFailure(r azurestair.AttemptResult) bool { return r != azurestair.AttemptDone }
