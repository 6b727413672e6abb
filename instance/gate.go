package instance

import (
	"context"
	"sync"
	"time"

	"azurestair.example/azurestair"
)

// gate admits the requests of one service and chooses their upstreams. It is
// the traffic side's own state, guarded by its own lock.
type gate struct {
	clock azurestair.Clock

	mu       sync.Mutex
	admitter azurestair.Admitter
	picker   azurestair.Picker
	waiting  map[azurestair.WorkID]chan azurestair.AdmitEvent
	lastID   azurestair.WorkID

	// wake makes run look at the next deadline again.
	wake chan struct{}
}

func newGate(clock azurestair.Clock, a azurestair.Admitter, p azurestair.Picker) *gate {
	return &gate{
		clock: clock, admitter: a, picker: p,
		waiting: map[azurestair.WorkID]chan azurestair.AdmitEvent{},
		wake:    make(chan struct{}, 1),
	}
}

// run ends the waits whose deadline has come, until ctx ends.
func (g *gate) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(g.untilNextDeadline())
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		case <-timer.C:
		}
		g.mu.Lock()
		g.dispatch(g.clock.Now())
		g.mu.Unlock()
	}
}

func (g *gate) untilNextDeadline() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.admitter.NextDeadline()
	if next.IsZero() {
		return time.Hour
	}
	return max(0, next.Sub(g.clock.Now()))
}

// dispatch hands the admitter's events to the requests that wait. The caller holds mu.
func (g *gate) dispatch(now time.Time) {
	for _, e := range g.admitter.Events(now) {
		if ch, ok := g.waiting[e.ID]; ok {
			delete(g.waiting, e.ID)
			ch <- e
		}
	}
}

// admit waits until the work may start. It returns ReasonNone when it may;
// the caller then calls release once.
func (g *gate) admit(ctx context.Context, w azurestair.Work) azurestair.Reason {
	id, ch, reason, admitted := g.offer(w)
	if admitted || ch == nil {
		return reason
	}
	g.poke()
	select {
	case e := <-ch:
		return reasonOf(e)
	case <-ctx.Done():
		return g.cancel(id, ch, w)
	}
}

func reasonOf(e azurestair.AdmitEvent) azurestair.Reason {
	if e.Admission == azurestair.Admitted {
		return azurestair.ReasonNone
	}
	return e.Reason
}

func (g *gate) offer(w azurestair.Work) (azurestair.WorkID, <-chan azurestair.AdmitEvent, azurestair.Reason, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.lastID++
	id := g.lastID
	admission, reason := g.admitter.Offer(id, w, now)
	if admission == azurestair.Admitted {
		g.dispatch(now)
		return id, nil, azurestair.ReasonNone, true
	}
	if admission == azurestair.Refused {
		g.dispatch(now)
		return id, nil, reason, false
	}
	ch := make(chan azurestair.AdmitEvent, 1)
	g.waiting[id] = ch
	g.dispatch(now)
	return id, ch, azurestair.ReasonNone, false
}

// cancel withdraws work whose caller has gone; work that was admitted meanwhile is released.
func (g *gate) cancel(id azurestair.WorkID, ch <-chan azurestair.AdmitEvent, w azurestair.Work) azurestair.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	select {
	case e := <-ch:
		if e.Admission == azurestair.Admitted {
			g.admitter.Release(w, now)
			g.dispatch(now)
		}
	default:
		delete(g.waiting, id)
		g.admitter.Cancel(id, now)
		g.dispatch(now)
	}
	return azurestair.ReasonDeadline
}

// release ends admitted work.
func (g *gate) release(w azurestair.Work) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.admitter.Release(w, now)
	g.dispatch(now)
}

func (g *gate) pick(w azurestair.Work, avoid []azurestair.UpstreamID) (azurestair.Choice, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.picker.Pick(w, avoid, g.clock.Now())
}

func (g *gate) done(c azurestair.Choice, r azurestair.AttemptResult, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.picker.Done(c, r, latency, g.clock.Now())
}

func (g *gate) setSlots(n azurestair.Slots) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.admitter.SetSlots(n, now)
	g.dispatch(now)
}

func (g *gate) update(s *azurestair.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.picker.Update(s, g.clock.Now())
}

func (g *gate) poke() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
