package routing

import (
	"math"
	"time"

	"azurestair.example/azurestair"
)

const (
	// drainingHold is how long a report of draining takes precedence over a
	// report of serving, which may have been made that much earlier.
	drainingHold = ConfirmationTTL
	// maxWarmGap is how long an upstream may be unlisted or unconfirmed before
	// it counts as cold. A shorter gap is taken for missing reports.
	maxWarmGap = 10 * time.Second
	// unlistedTTL is how long the statistics of an unlisted upstream are kept.
	unlistedTTL = 30 * time.Second
	// initialRamp is the fraction of an upstream's weight at which slow start
	// begins.
	initialRamp = 0.1
	// rampSteps is the number of steps of the slow start.
	rampSteps = 10
	// queueDivisor sets the queue limit: an entry may queue its slot limit
	// divided by this number at an upstream, at least one request.
	queueDivisor = 4
)

// upstream is the picker's record of one upstream.
type upstream struct {
	announcement azurestair.Announcement
	tier         *tier

	// Set from the snapshot and the configuration.
	listed     bool
	drained    bool
	weight     float64
	slots      azurestair.Slots
	slotShare  float64
	slotLimit  int
	queueLimit int

	// Reported state and its confirmation.
	state           azurestair.UpstreamState
	stateSince      time.Time
	listedConfirmed bool
	confirmedAt     time.Time
	probedAt        time.Time

	// inFlight includes late slots; lateUntil is in ascending order.
	inFlight  int
	lateUntil []time.Time
	// earlier counts the attempts to earlier processes that have not ended. They
	// count in the tier, since such a process may still finish its requests.
	earlier      int
	reportedLoad float64
	reportedAt   time.Time

	stats  stats
	health health

	usable bool
	cold   bool
	// unusableSince is when the upstream last became unusable.
	unusableSince time.Time
	rampStart     time.Time
	// acceptProbability is the probability of accepting the upstream when it is
	// drawn.
	acceptProbability float64

	// set and setIndex locate the upstream in its candidate set.
	set      *candidateSet
	setIndex int
	// checkAt is the time of the next check; timerIndex locates it in the heap.
	checkAt    time.Time
	timerIndex int
}

func newUpstream(now time.Time) *upstream {
	return &upstream{weight: 1, unusableSince: now, timerIndex: notScheduled}
}

// reset clears what was recorded of an earlier process of the upstream.
func (u *upstream) reset(now time.Time) {
	u.stats = stats{}
	u.state, u.stateSince = "", time.Time{}
	u.rampStart = time.Time{}
	u.confirmedAt = time.Time{}
	u.cold, u.unusableSince = true, now
}

// setState applies a state that the upstream reported. StateLeaving is final
// for a process, and StateDraining holds for drainingHold.
func (u *upstream) setState(s azurestair.UpstreamState, now time.Time) {
	if u.state == s || u.state == azurestair.StateLeaving {
		return
	}
	held := u.state == azurestair.StateDraining && now.Sub(u.stateSince) < drainingHold
	if s == azurestair.StateServing && held {
		return
	}
	u.state, u.stateSince = s, now
}

func (u *upstream) startRamp(now time.Time) { u.rampStart = now }

// ramp returns the fraction of the upstream's weight that slow start permits
// now.
func (p *Weighted) ramp(u *upstream, now time.Time) float64 {
	duration := p.defaults.SlowStartMs.Duration()
	if u.rampStart.IsZero() || p.opts.Disabled.SlowStart || duration <= 0 {
		return 1
	}
	fraction := float64(now.Sub(u.rampStart)) / float64(duration)
	if fraction >= 1 {
		u.rampStart = time.Time{}
		return 1
	}
	return max(fraction, initialRamp)
}

// setShare sets this entry's part of the upstream's slots and connections.
// Slots are rounded up, so that every entry can reach every upstream.
func (u *upstream) setShare(slots azurestair.Slots, fraction float64, entries int) {
	u.slotShare = max(float64(slots), 0) * fraction
	u.slotLimit = int(math.Ceil(u.slotShare))
	u.queueLimit = max(1, u.slotLimit/queueDivisor)
	conns := max(1, int(u.announcement.MaxConns)/entries)
	if u.announcement.MaxConns > 0 && u.slotLimit+u.queueLimit > conns {
		u.slotLimit = min(u.slotLimit, conns)
		u.queueLimit = conns - u.slotLimit
	}
}

// isConfirmed reports whether the serving state has a valid confirmation.
func (p *Weighted) isConfirmed(u *upstream, now time.Time) bool {
	at := p.confirmedUntil(u)
	return !at.IsZero() && now.Before(at)
}

func (p *Weighted) confirmedUntil(u *upstream) time.Time {
	at := u.confirmedAt
	if u.listed && u.listedConfirmed && p.updatedAt.After(at) {
		at = p.updatedAt
	}
	if at.IsZero() {
		return at
	}
	return at.Add(ConfirmationTTL)
}

// isEligible reports whether the upstream may be used once it is confirmed.
func (u *upstream) isEligible() bool {
	return u.listed && !u.drained && u.weight > 0 && u.slotLimit > 0 && u.state == azurestair.StateServing
}

// reclassify moves the upstream to the candidate set for its current state and
// schedules the next check.
func (p *Weighted) reclassify(u *upstream, now time.Time) {
	p.updateUsable(u, now)
	u.moveTo(p.candidateSetFor(u, now))
	p.timers.schedule(u, p.nextChange(u, now))
}

// updateUsable updates whether the upstream is usable and begins slow start
// when a cold one becomes usable.
func (p *Weighted) updateUsable(u *upstream, now time.Time) {
	usable := u.isEligible() && p.isConfirmed(u, now)
	if usable == u.usable {
		if !usable && u.listed && !u.isEligible() {
			u.cold = true
		}
		return
	}
	u.usable = usable
	if !usable {
		u.unusableSince = now
		// After a drain or a planned stop, the upstream counts as cold at once:
		// these last longer than a gap in the reports.
		u.cold = u.listed && !u.isEligible()
		return
	}
	if u.cold || now.Sub(u.unusableSince) > maxWarmGap {
		u.startRamp(now)
	}
	u.cold = false
}

func (p *Weighted) candidateSetFor(u *upstream, now time.Time) *candidateSet {
	if !u.usable || u.health.state == open {
		return nil
	}
	ramp := p.ramp(u, now)
	u.acceptProbability = acceptanceProbability(ramp * min(u.weight, 1))
	slotLimit, queueLimit := u.slotLimit, u.queueLimit
	if ramp < 1 {
		slotLimit, queueLimit = max(1, int(math.Ceil(ramp*float64(slotLimit)))), 0
	}
	if u.health.state == halfOpen {
		if u.health.trialInFlight {
			return nil
		}
		u.acceptProbability = min(u.acceptProbability, trialWeight)
	}
	switch {
	case u.inFlight < slotLimit:
		return &u.tier.free
	case u.inFlight < slotLimit+queueLimit:
		return &u.tier.queueing
	default:
		return nil
	}
}

// acceptanceProbability returns the probability of accepting a sample of
// reduced weight. Such an upstream has fewer requests in flight than the others
// and wins nearly all comparisons, where the others win half. The probability
// is therefore lower than the weight, by a factor of up to two.
func acceptanceProbability(weight float64) float64 { return weight * (1 + weight) / 2 }

// nextChange returns when the upstream's candidate set may next change without
// an event, or zero. The result is after now, so that the loop in advance
// terminates.
func (p *Weighted) nextChange(u *upstream, now time.Time) time.Time {
	var next time.Time
	consider := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	if u.usable {
		consider(p.confirmedUntil(u))
	}
	if len(u.lateUntil) > 0 {
		consider(u.lateUntil[0])
	}
	if u.health.state == open {
		consider(u.health.openUntil)
	}
	if !u.rampStart.IsZero() {
		consider(now.Add(p.defaults.SlowStartMs.Duration() / rampSteps))
	}
	if !next.IsZero() && !next.After(now) {
		return now.Add(time.Millisecond)
	}
	return next
}

// advance processes all checks that are due.
func (p *Weighted) advance(now time.Time) {
	for u := p.timers.popDue(now); u != nil; u = p.timers.popDue(now) {
		p.releaseExpired(u, now)
		if u.health.state == open && !now.Before(u.health.openUntil) {
			p.enterHalfOpen(u)
		}
		p.reclassify(u, now)
	}
}

// releaseExpired releases the late slots whose time has passed.
func (p *Weighted) releaseExpired(u *upstream, now time.Time) {
	n := 0
	for n < len(u.lateUntil) && !now.Before(u.lateUntil[n]) {
		n++
	}
	p.releaseLate(u, n)
}

// releaseLate releases the n oldest late slots.
func (p *Weighted) releaseLate(u *upstream, n int) {
	if n == 0 {
		return
	}
	kept := copy(u.lateUntil, u.lateUntil[n:])
	u.lateUntil = u.lateUntil[:kept]
	u.inFlight -= n
	u.tier.inFlight -= azurestair.Slots(n)
}
