package instance

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/admission"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/operator"
	"azurestair.example/azurestair/placement"
	"azurestair.example/azurestair/retry"
	"azurestair.example/azurestair/routing"
)

// gate admits the requests of one service and chooses their upstreams. It is
// the traffic side's own state, guarded by its own lock.
type gate struct {
	clock azurestair.Clock
	// log tells of upstreams that are taken out or are back; nil for none.
	log *slog.Logger

	mu       sync.Mutex
	admitter azurestair.Admitter
	picker   azurestair.Picker
	waiting  map[azurestair.WorkID]chan azurestair.AdmitEvent
	lastID   azurestair.WorkID
	policy   retry.Policy
	budget   retry.Budget
	latency  retry.Latency
	traffic  control.TrafficCount
	rand     azurestair.Rand
	// slots is what the leases allow; late attempts are taken off it.
	slots azurestair.Slots
	// parked counts the admitted requests that wait for the ledger.
	parked azurestair.Slots
	// shrunkAt is when the leases last allowed less than before.
	shrunkAt time.Time
	// late holds, in order of time, until when the slots of timed-out attempts
	// count as busy: the upstream may still be working on them.
	late     []lateSlot
	inFlight map[azurestair.RegionName]azurestair.Slots

	// wake makes run look at the next deadline again.
	wake chan struct{}
	// freed is closed and replaced when a slot may have become free.
	freed chan struct{}
}

// lateSlot is the slot of an attempt that was cut off.
type lateSlot struct {
	until  time.Time
	region azurestair.RegionName
}

// lateFor is how long the slot of a cut-off attempt counts as busy. Each
// attempt carries its deadline to the upstream; the time covers upstreams that
// notice it late.
const lateFor = 500 * time.Millisecond

func newGate(clock azurestair.Clock, a azurestair.Admitter, p azurestair.Picker, r azurestair.Rand) *gate {
	return &gate{
		clock: clock, admitter: a, picker: p, rand: r,
		waiting:  map[azurestair.WorkID]chan azurestair.AdmitEvent{},
		inFlight: map[azurestair.RegionName]azurestair.Slots{},
		wake:     make(chan struct{}, 1),
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
		g.expire()
	}
}

// expire ends the waits and the late slots whose time has come.
func (g *gate) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	n := 0
	for n < len(g.late) && !now.Before(g.late[n].until) {
		g.inFlight[g.late[n].region]--
		n++
	}
	if n > 0 {
		g.late = g.late[n:]
		g.resize(now)
	}
	g.dispatch(now)
}

func (g *gate) untilNextDeadline() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.admitter.NextDeadline()
	if len(g.late) > 0 && (next.IsZero() || g.late[0].until.Before(next)) {
		next = g.late[0].until
	}
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
	c, err := g.picker.Pick(w, avoid, g.clock.Now())
	if err != nil {
		g.budget.Saturated(g.clock.Now())
		return c, err
	}
	g.inFlight[c.Region]++
	return c, nil
}

// shrinkGrace is how long admitted work waits for a slot after the leases
// shrank. A new leader grants only floors for so long.
const shrinkGrace = control.QuietTime

// isOvercommitted reports whether admitted work may lack a slot only because
// the leases shrank, and attempts are in flight whose end frees one.
func (g *gate) isOvercommitted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	var n azurestair.Slots
	for _, inFlight := range g.inFlight {
		n += inFlight
	}
	shrank := g.clock.Now().Sub(g.shrunkAt) < shrinkGrace
	return n > 0 && (n >= g.slots || shrank)
}

// pickWhenFree waits until an upstream can be picked within the caps, ctx ends
// or the time until has come. Hedges and retries take slots beside the admitted
// requests, and leases can shrink after the admission, most of all when a new
// leader grants only floors; refusing admitted work would make that visible to
// callers.
func (g *gate) pickWhenFree(ctx context.Context, w azurestair.Work, avoid []azurestair.UpstreamID, until time.Time) (azurestair.Choice, error) {
	c, err := g.pick(w, avoid)
	if !g.isWorthWaiting(err) {
		return c, err
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for {
		freed := g.nextFreed()
		c, err = g.pick(w, avoid)
		if !g.isWorthWaiting(err) {
			return c, err
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return c, err
		}
	}
}

// isWorthWaiting reports whether a choice that failed may succeed later.
func (g *gate) isWorthWaiting(err error) bool {
	return err != nil && (routing.ReasonOf(err) == azurestair.ReasonShiftCap || g.isOvercommitted())
}

func (g *gate) nextFreed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.freed == nil {
		g.freed = make(chan struct{})
	}
	return g.freed
}

// signalFreed lets the waiting picks try again. The caller holds mu.
func (g *gate) signalFreed() {
	if g.freed != nil {
		close(g.freed)
		g.freed = nil
	}
}

// done ends an attempt; the slot of one that timed out stays busy for a while.
func (g *gate) done(c azurestair.Choice, r azurestair.AttemptResult, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.picker.Done(c, r, latency, now)
	g.logEvents()
	if r == azurestair.AttemptDone {
		g.latency.Observe(latency)
	}
	if r == azurestair.AttemptDone || r == azurestair.AttemptTimeout {
		g.countEnded(latency)
	}
	g.free(c, r == azurestair.AttemptTimeout, now)
	g.signalFreed()
}

// abandon ends an attempt whose outcome says nothing about the upstream.
func (g *gate) abandon(c azurestair.Choice, sent bool, elapsed time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if p, ok := g.picker.(azurestair.Abandoner); ok {
		p.Abandon(c, sent, elapsed, now)
	} else {
		g.picker.Done(c, azurestair.AttemptDone, elapsed, now)
	}
	if sent {
		g.countEnded(elapsed)
	}
	g.free(c, sent, now)
	g.signalFreed()
}

// free ends the count of an attempt, at once or after the bound for one that
// the upstream may still be working on. The caller holds mu.
func (g *gate) free(c azurestair.Choice, late bool, now time.Time) {
	if !late {
		g.inFlight[c.Region]--
		return
	}
	g.late = append(g.late, lateSlot{until: now.Add(lateFor), region: c.Region})
	g.resize(now)
	g.poke()
}

// confirm takes over what an upstream says of its own state.
func (g *gate) confirm(id azurestair.UpstreamID, state azurestair.UpstreamState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p, ok := g.picker.(azurestair.Confirmer); ok {
		p.Confirm(id, state, g.clock.Now())
	}
}

// observe tells the picker what an attempt showed beside its outcome.
func (g *gate) observe(c azurestair.Choice, o azurestair.Observation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p, ok := g.picker.(azurestair.Observer); ok {
		p.Observe(c, o, g.clock.Now())
	}
	g.logEvents()
}

// logEvents logs what the picker has come to believe of upstreams. The caller holds mu.
func (g *gate) logEvents() {
	p, ok := g.picker.(*placement.Picker)
	if !ok || g.log == nil {
		return
	}
	for _, e := range p.Events() {
		if e.Out {
			g.log.Warn("upstream taken out", "upstream", e.Upstream, "cause", e.Cause, "inRow", e.InRow, "rate", e.Rate,
				"forMs", e.Until.Sub(g.clock.Now()).Milliseconds())
			continue
		}
		g.log.Info("upstream is back", "upstream", e.Upstream)
	}
}

// probeCandidates returns the upstreams to probe now.
func (g *gate) probeCandidates() []azurestair.UpstreamID {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.picker.(azurestair.Confirmer)
	if !ok {
		return nil
	}
	return slices.Clone(p.ProbeCandidates(g.clock.Now()))
}

// countAsked counts a request that has come for the service.
func (g *gate) countAsked() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.traffic.Asked++
}

func (g *gate) trafficCount() control.TrafficCount {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.traffic
}

// countEnded counts an attempt that took up its upstream. The caller holds mu.
func (g *gate) countEnded(took time.Duration) {
	g.traffic.Ended++
	g.traffic.Busy += took
}

// countRequest adds a request's share to the retry budget.
func (g *gate) countRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Request()
}

func (g *gate) attemptDeadline(r *retry.Request, now time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.policy.AttemptDeadline(r, &g.budget, now)
}

// next decides what follows an attempt; a free retry takes nothing from the budget.
func (g *gate) next(r *retry.Request, a retry.Attempt, free bool) retry.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	if free {
		return g.policy.Next(r, &retry.Budget{Unlimited: true}, a, g.clock.Now(), g.rand)
	}
	return g.policy.Next(r, &g.budget, a, g.clock.Now(), g.rand)
}

func (g *gate) hedgeAt(r *retry.Request, sent time.Time) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.policy.HedgeAt(r, &g.latency, sent)
}

func (g *gate) mayHedge(r *retry.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.policy.Hedge(r, &g.budget, g.clock.Now())
}

// setSlots sets how many requests the leases allow in progress.
func (g *gate) setSlots(n azurestair.Slots) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n == g.slots {
		return
	}
	if n < g.slots {
		g.shrunkAt = g.clock.Now()
	}
	g.slots = n
	g.resize(g.clock.Now())
}

// setShare sets how many requests the leases allow into a region.
func (g *gate) setShare(region azurestair.RegionName, n azurestair.Slots) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p, ok := g.picker.(azurestair.Sharer); ok {
		p.SetShare(region, n, g.clock.Now())
	}
}

// park counts an admitted request that waits for the ledger. Its slot is idle
// meanwhile, so that another request may be admitted in its place; the caps of
// the picker hold all the same.
func (g *gate) park() { g.addParked(1) }

// unpark ends park.
func (g *gate) unpark() { g.addParked(-1) }

func (g *gate) addParked(n azurestair.Slots) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.parked += n
	g.resize(g.clock.Now())
}

// resize takes the late slots off what the leases allow, and adds those of
// parked requests, half of all at most. The caller holds mu.
func (g *gate) resize(now time.Time) {
	usable := max(0, g.slots-azurestair.Slots(len(g.late)))
	g.admitter.SetSlots(usable+min(g.parked, usable/2), now)
	g.dispatch(now)
	g.signalFreed()
}

// usage is what a gate uses and has waiting.
type usage struct {
	inFlight map[azurestair.RegionName]azurestair.Slots
	waiting  azurestair.Slots
}

func (g *gate) usage() usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return usage{inFlight: maps.Clone(g.inFlight), waiting: azurestair.Slots(len(g.waiting))}
}

// counter is an admitter that counts its decisions.
type counter interface{ Counts() admission.Counts }

// lister is a picker that describes its workers.
type lister interface {
	Status(list []routing.Status, now time.Time) []routing.Status
}

// status describes the gate for operators.
func (g *gate) status(name azurestair.ServiceName) operator.ServiceStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	st := operator.ServiceStatus{Service: name}
	if c, ok := g.admitter.(counter); ok {
		counts := c.Counts()
		st.Slots, st.Reserve = counts.Slots, counts.Reserve
		for r, n := range counts.Ranks {
			st.Ranks = append(st.Ranks, rankStatus(azurestair.Rank(r), n)) //nolint:gosec // within NumRanks
		}
	}
	if p, ok := g.picker.(lister); ok {
		for _, w := range p.Status(nil, g.clock.Now()) {
			st.Workers = append(st.Workers, operator.WorkerStatus{
				Upstream: w.Upstream, Standing: string(w.Standing), InFlight: w.InFlight, Late: w.Late,
				LatencyMicros: w.Latency.Microseconds(), Ejections: w.Ejections,
			})
		}
	}
	return st
}

func rankStatus(r azurestair.Rank, n admission.RankCounts) operator.RankStatus {
	return operator.RankStatus{
		Rank: r.String(), Floor: n.Floor, InProgress: n.InProgress, Waiting: n.Waiting,
		Offered: n.Offered, Admitted: n.Admitted, Cancelled: n.Cancelled,
		Refused: map[azurestair.Reason]uint64{
			azurestair.ReasonDeadline:    n.RefusedDeadline,
			azurestair.ReasonQueueFull:   n.RefusedQueueFull,
			azurestair.ReasonCallerShare: n.RefusedCallerShare,
		},
	}
}

func (g *gate) update(s *azurestair.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.picker.Update(s, now)
	d := s.Config.Defaults.WithDefaults()
	if c, ok := g.admitter.(azurestair.Configurer); ok {
		c.Configure(d, now)
	}
	g.budget.Percent = d.RetryPercent
}

func (g *gate) poke() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
