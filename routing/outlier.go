package routing

import (
	"time"

	"azurestair.example/azurestair"
)

// breakerState is the circuit breaker state of an upstream.
type breakerState uint8

const (
	// closed admits all requests.
	closed breakerState = iota
	// open rejects all requests until health.openUntil.
	open
	// halfOpen admits one trial request at a time.
	halfOpen
)

const (
	// maxConsecutiveFailures is the number of consecutive failures that eject
	// an upstream.
	maxConsecutiveFailures = 5
	// baseEjectionTime is the duration of the first ejection; each further one
	// doubles it.
	baseEjectionTime = 5 * time.Second
	// maxEjectionTime limits the duration of an ejection.
	maxEjectionTime = 60 * time.Second
	// ejectionResetAfter is how long the breaker of an upstream must stay
	// closed before earlier ejections no longer lengthen the next.
	ejectionResetAfter = 60 * time.Second
	// failRateGain is the weight of one outcome in an upstream's failure rate.
	failRateGain = 1.0 / 32
	// minServiceFailRateGain is the minimum weight of one outcome in the
	// service's failure rate.
	minServiceFailRateGain = 1.0 / 512
	// minOutcomes is the number of outcomes before an upstream's failure rate
	// is used.
	minOutcomes = 20
	// failRateMargin is how far an upstream's failure rate must exceed the
	// service's to eject it.
	failRateMargin = 0.3
	// minServiceSuccessRate is the success rate of the service at or below
	// which consecutive failures eject no upstream: the cause is then not a
	// single upstream, and ejection would only remove capacity.
	minServiceSuccessRate = 0.5
	// idempotentTrialPeriod is how long after an ejection only idempotent
	// requests serve as trials. If the trial of another request fails, it is
	// unknown whether the request ran, so such a request is used only if no
	// idempotent one has come in that time.
	idempotentTrialPeriod = 5 * time.Second
	// trialWeight is the fraction of its normal traffic that a half-open
	// upstream is offered.
	trialWeight = 0.1
)

// health is the outlier detection state of an upstream.
type health struct {
	state               breakerState
	openUntil           time.Time
	closedAt            time.Time
	ejections           int
	consecutiveFailures int
	outcomes            int
	failRate            float64
	trialInFlight       bool
}

// recordOutcome updates the failure statistics and ejects the upstream or
// closes its breaker. While the breaker is half-open, only the outcome of a
// trial counts: the other attempts were sent before the ejection.
func (p *Weighted) recordOutcome(u *upstream, trial, ok bool, now time.Time) {
	failed := 0.0
	if !ok {
		failed = 1
	}
	p.failRate += p.serviceFailRateGain() * (failed - p.failRate)
	h := &u.health
	switch h.state {
	case open:
		// Outcomes of attempts that were sent before the ejection are ignored.
	case halfOpen:
		if trial {
			p.finishTrial(u, ok, now)
		}
	default:
		h.addOutcome(ok, failed)
		if p.isOutlier(h) {
			p.eject(u, now)
		}
	}
}

// serviceFailRateGain returns the weight of one outcome in the service's
// failure rate. The rate counts the outcomes of all upstreams, so the gain is
// divided by their number. The factor of two makes the rate react faster than
// that of each upstream; otherwise a failure of all upstreams would make each
// look like an outlier.
func (p *Weighted) serviceFailRateGain() float64 {
	gain := 2 * failRateGain / float64(max(p.listedCount, 1))
	return min(max(gain, minServiceFailRateGain), failRateGain)
}

func (h *health) addOutcome(ok bool, failed float64) {
	h.consecutiveFailures++
	if ok {
		h.consecutiveFailures = 0
	}
	h.outcomes++
	h.failRate += failRateGain * (failed - h.failRate)
}

func (p *Weighted) isOutlier(h *health) bool {
	if p.opts.Disabled.Ejection || h.consecutiveFailures == 0 {
		return false
	}
	if h.consecutiveFailures >= maxConsecutiveFailures && 1-p.failRate > minServiceSuccessRate {
		return true
	}
	return h.outcomes >= minOutcomes && h.failRate > p.failRate+failRateMargin
}

// finishTrial closes the breaker after a successful trial and ejects the
// upstream again after a failed one.
func (p *Weighted) finishTrial(u *upstream, ok bool, now time.Time) {
	u.health.trialInFlight = false
	if ok {
		p.closeBreaker(u, now)
		return
	}
	u.health.openBreaker(now)
}

// eject opens the breaker unless the ejection limit is reached.
func (p *Weighted) eject(u *upstream, now time.Time) {
	if p.ejectedCount >= p.maxEjected() {
		return
	}
	p.ejectedCount++
	if now.Sub(u.health.closedAt) > ejectionResetAfter {
		u.health.ejections = 0
	}
	u.health.openBreaker(now)
}

func (h *health) openBreaker(now time.Time) {
	d := min(baseEjectionTime<<min(h.ejections, 10), maxEjectionTime)
	h.ejections++
	h.state, h.openUntil = open, now.Add(d)
	h.consecutiveFailures, h.outcomes, h.failRate = 0, 0, 0
}

// allows reports whether the breaker admits the request.
func (h *health) allows(r pickRequest) bool {
	return h.state != halfOpen || r.idempotent || r.now.Sub(h.openUntil) >= idempotentTrialPeriod
}

// enterHalfOpen lets an ejected upstream receive trial requests.
func (p *Weighted) enterHalfOpen(u *upstream) {
	u.health.state, u.health.trialInFlight = halfOpen, false
	// Latency and penalty from before the ejection would keep the trial request
	// away.
	u.stats = stats{}
}

func (p *Weighted) closeBreaker(u *upstream, now time.Time) {
	p.ejectedCount--
	u.health.state, u.health.closedAt = closed, now
	u.startRamp(now)
}

// resetHealth ends an ejection without a trial, because the upstream left the
// snapshot or its process is new.
func (p *Weighted) resetHealth(u *upstream) {
	if u.health.state != closed {
		p.ejectedCount--
	}
	u.health = health{}
}

// maxEjected returns the configured percentage of the upstreams, rounded down.
// If that is zero, one upstream may still be ejected if the percentage reaches
// 100 divided by the number of upstreams, rounded down: 33% permits ejecting
// one of three.
func (p *Weighted) maxEjected() int {
	percent := p.defaults.EjectPercent
	limit := percent.Of(p.listedCount)
	if limit == 0 && p.listedCount > 0 && int(percent) >= 100/p.listedCount {
		return 1
	}
	return limit
}

// enforceMaxEjected closes breakers until the limit holds again after the
// service has shrunk, first those whose ejections end first.
func (p *Weighted) enforceMaxEjected(now time.Time) {
	for p.ejectedCount > p.maxEjected() {
		var first *upstream
		for _, u := range p.upstreams {
			if u.health.state != closed && (first == nil || u.health.openUntil.Before(first.health.openUntil)) {
				first = u
			}
		}
		p.closeBreaker(first, now)
		p.reclassify(first, now)
	}
}

// EjectedCount returns how many upstreams are ejected or half-open.
func (p *Weighted) EjectedCount() int { return p.ejectedCount }

// isFailure reports whether the result counts as a failure of the upstream.
func isFailure(r azurestair.AttemptResult) bool { return r != azurestair.AttemptDone }
