package routing

import (
	"math"
	"time"

	"azurestair.example/azurestair"
)

const (
	// stateHold is how long a worker stays out after it said draining. Reports
	// of the serving state from before can be that much older.
	stateHold = ConfirmFor
	// warmFor is how long a worker may be unlisted or unconfirmed before it
	// counts as cold. Shorter gaps are gaps in the measurements.
	warmFor = 10 * time.Second
	// forgetAfter is how long an unlisted worker's statistics are kept.
	forgetAfter = 30 * time.Second
	// rampStart is the share of its weight that a worker starts with.
	rampStart = 0.1
	// rampSteps is the number of steps of the slow start.
	rampSteps = 10
	// queueShare is the part of its share of slots that an entry may queue at
	// a worker, one request at least.
	queueShare = 4
)

// worker is one upstream as the picker sees it.
type worker struct {
	info azurestair.Announcement
	tier *tier

	// Standing by snapshot and configuration.
	listed       bool
	drained      bool
	weight       float64
	slots        azurestair.Slots
	shareOfSlots float64
	share        int
	queue        int

	// State and confirmation.
	state           azurestair.UpstreamState
	stateAt         time.Time
	listedConfirmed bool
	confirmedAt     time.Time
	probedAt        time.Time

	// Load: inFlight counts late slots too; lateUntil is in ascending order.
	inFlight     int
	lateUntil    []time.Time
	reportedLoad float64
	reportedAt   time.Time

	record record
	health health

	// Service periods: outSince is set when the worker stops to be usable.
	usable   bool
	cold     bool
	outSince time.Time
	rampFrom time.Time
	// accept is the chance with which a drawn worker is taken.
	accept float64

	set       *candidateSet
	setPos    int
	wakeAt    time.Time
	agendaPos int
}

func newWorker(now time.Time) *worker {
	return &worker{weight: 1, outSince: now, agendaPos: notOnAgenda}
}

// restart forgets what was known of an earlier process of the same upstream.
func (w *worker) restart(now time.Time) {
	w.record = record{}
	w.state, w.stateAt = "", time.Time{}
	w.rampFrom = time.Time{}
	w.confirmedAt = time.Time{}
	w.cold, w.outSince = true, now
}

// setState takes over what the upstream says of itself. Leaving is final for
// the process, and draining holds for stateHold.
func (w *worker) setState(s azurestair.UpstreamState, now time.Time) {
	if w.state == s || w.state == azurestair.StateLeaving {
		return
	}
	held := w.state == azurestair.StateDraining && now.Sub(w.stateAt) < stateHold
	if s == azurestair.StateServing && held {
		return
	}
	w.state, w.stateAt = s, now
}

func (w *worker) startRamp(now time.Time) { w.rampFrom = now }

// ramp returns the share of the worker's weight that slow start allows now.
func (p *Weighted) ramp(w *worker, now time.Time) float64 {
	over := p.defaults.SlowStartMs.Duration()
	if w.rampFrom.IsZero() || p.opts.Without.SlowStart || over <= 0 {
		return 1
	}
	part := float64(now.Sub(w.rampFrom)) / float64(over)
	if part >= 1 {
		w.rampFrom = time.Time{}
		return 1
	}
	return max(part, rampStart)
}

// setShare gives the entry its part of the worker's slots; entries share the
// connections. Shares are rounded up, so that every entry can reach every worker.
func (w *worker) setShare(slots azurestair.Slots, part float64, entries int) {
	w.shareOfSlots = max(float64(slots), 0) * part
	w.share = int(math.Ceil(w.shareOfSlots))
	w.queue = max(1, w.share/queueShare)
	conns := max(1, int(w.info.MaxConns)/entries)
	if w.info.MaxConns > 0 && w.share+w.queue > conns {
		w.share = min(w.share, conns)
		w.queue = conns - w.share
	}
}

// isConfirmed reports whether a source confirmed the serving state lately.
func (p *Weighted) isConfirmed(w *worker, now time.Time) bool {
	at := p.confirmedUntil(w)
	return !at.IsZero() && now.Before(at)
}

func (p *Weighted) confirmedUntil(w *worker) time.Time {
	at := w.confirmedAt
	if w.listed && w.listedConfirmed && p.contactAt.After(at) {
		at = p.contactAt
	}
	if at.IsZero() {
		return at
	}
	return at.Add(ConfirmFor)
}

// isWanted reports whether the worker would be used if it were confirmed.
func (w *worker) isWanted() bool {
	return w.listed && !w.drained && w.weight > 0 && w.share > 0 && w.state == azurestair.StateServing
}

// settle puts the worker into the candidate set that its standing calls for
// and plans the next look at it.
func (p *Weighted) settle(w *worker, now time.Time) {
	p.noteUsable(w, now)
	w.moveTo(p.standing(w, now))
	p.agenda.wake(w, p.nextChange(w, now))
}

// noteUsable starts slow start when a cold worker becomes usable.
func (p *Weighted) noteUsable(w *worker, now time.Time) {
	usable := w.isWanted() && p.isConfirmed(w, now)
	if usable == w.usable {
		if !usable && w.listed && !w.isWanted() {
			w.cold = true
		}
		return
	}
	w.usable = usable
	if !usable {
		w.outSince = now
		// A planned stop is longer than a gap in the measurements.
		w.cold = w.listed && !w.isWanted()
		return
	}
	if w.cold || now.Sub(w.outSince) > warmFor {
		w.startRamp(now)
	}
	w.cold = false
}

func (p *Weighted) standing(w *worker, now time.Time) *candidateSet {
	if !w.usable || w.health.state == open {
		return nil
	}
	ramp := p.ramp(w, now)
	w.accept = acceptance(ramp * min(w.weight, 1))
	share, queue := w.share, w.queue
	if ramp < 1 {
		share, queue = max(1, int(math.Ceil(ramp*float64(share)))), 0
	}
	if w.health.state == halfOpen {
		if w.health.trial {
			return nil
		}
		w.accept = min(w.accept, trialWeight)
	}
	switch {
	case w.inFlight < share:
		return &w.tier.free
	case w.inFlight < share+queue:
		return &w.tier.queueing
	default:
		return nil
	}
}

// acceptance returns the chance with which a sample of reduced weight is taken.
// Such a worker has less in flight than others and so wins nearly all
// comparisons where others win half; the chance is lower by up to that factor.
func acceptance(weight float64) float64 { return weight * (1 + weight) / 2 }

// nextChange returns when the worker's standing may next change by itself;
// zero if it may not. It lies after now, so that advance comes to an end.
func (p *Weighted) nextChange(w *worker, now time.Time) time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	if w.usable {
		earlier(p.confirmedUntil(w))
	}
	if len(w.lateUntil) > 0 {
		earlier(w.lateUntil[0])
	}
	if w.health.state == open {
		earlier(w.health.until)
	}
	if !w.rampFrom.IsZero() {
		earlier(now.Add(p.defaults.SlowStartMs.Duration() / rampSteps))
	}
	if !next.IsZero() && !next.After(now) {
		return now.Add(time.Millisecond)
	}
	return next
}

// advance handles all changes that have come due.
func (p *Weighted) advance(now time.Time) {
	for w := p.agenda.due(now); w != nil; w = p.agenda.due(now) {
		p.releaseDue(w, now)
		if w.health.state == open && !now.Before(w.health.until) {
			p.tryAgain(w)
		}
		p.settle(w, now)
	}
}

// releaseDue ends the late slots whose bound has passed.
func (p *Weighted) releaseDue(w *worker, now time.Time) {
	n := 0
	for n < len(w.lateUntil) && !now.Before(w.lateUntil[n]) {
		n++
	}
	p.releaseLate(w, n)
}

// releaseLate ends the n oldest late slots.
func (p *Weighted) releaseLate(w *worker, n int) {
	if n == 0 {
		return
	}
	kept := copy(w.lateUntil, w.lateUntil[n:])
	w.lateUntil = w.lateUntil[:kept]
	w.inFlight -= n
	w.tier.inFlight -= azurestair.Slots(n)
}
