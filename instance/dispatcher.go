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

// dispatcher admits the requests of one service and chooses their upstreams.
// Its state belongs to the traffic side and has its own lock.
type dispatcher struct {
	clock azurestair.Clock
	// log records upstream ejections and recoveries; nil disables it.
	log *slog.Logger

	mu       sync.Mutex
	admitter azurestair.Admitter
	picker   azurestair.Picker
	// snapshot is the last one that was passed to the picker.
	snapshot *azurestair.Snapshot
	// waiting holds the channels on which queued work receives its decision.
	waiting     map[azurestair.AdmissionID]chan azurestair.AdmissionEvent
	lastID      azurestair.AdmissionID
	retryPolicy retry.Policy
	retryBudget retry.Budget
	latency     retry.LatencyHistogram
	traffic     control.TrafficCount
	rand        azurestair.Rand
	// slots is the limit set by the leases. applySlots subtracts the late slots
	// from it.
	slots azurestair.Slots
	// ledgerWaits counts the admitted requests that wait for the ledger.
	ledgerWaits azurestair.Slots
	// shrunkAt is when the limit from the leases was last reduced.
	shrunkAt time.Time
	// lateSlots holds the slots of timed-out attempts, ordered by the time
	// until which they count as busy. The upstream may still be processing
	// those attempts.
	lateSlots []lateSlot
	inFlight  map[azurestair.RegionName]azurestair.Slots
	// users counts the requests that use the dispatcher.
	users int

	// retired is closed once the dispatcher takes no more requests.
	retired chan struct{}
	// wakeup makes run recompute its next deadline.
	wakeup chan struct{}
	// slotFreed is closed and replaced when a slot may have become free.
	slotFreed chan struct{}
}

// lateSlot is the slot of a timed-out or cancelled attempt.
type lateSlot struct {
	until  time.Time
	region azurestair.RegionName
}

// lateSlotHold is how long the slot of a timed-out or cancelled attempt counts
// as busy. Each attempt carries its deadline to the upstream; the hold covers
// upstreams that react to it late.
const lateSlotHold = 500 * time.Millisecond

func newDispatcher(clock azurestair.Clock, a azurestair.Admitter, p azurestair.Picker, r azurestair.Rand) *dispatcher {
	return &dispatcher{
		clock: clock, admitter: a, picker: p, rand: r,
		waiting:  map[azurestair.AdmissionID]chan azurestair.AdmissionEvent{},
		inFlight: map[azurestair.RegionName]azurestair.Slots{},
		retired:  make(chan struct{}),
		wakeup:   make(chan struct{}, 1),
	}
}

// beginRequest reports whether the dispatcher takes a request. If so, the caller
// must call endRequest once the request has ended.
func (d *dispatcher) beginRequest() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isRetired() {
		return false
	}
	d.users++
	return true
}

func (d *dispatcher) endRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.users--
}

// retire ends the dispatcher if no request uses it, and reports whether it did.
func (d *dispatcher) retire() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.users > 0 || d.isRetired() {
		return false
	}
	close(d.retired)
	return true
}

func (d *dispatcher) isRetired() bool {
	select {
	case <-d.retired:
		return true
	default:
		return false
	}
}

// run expires queued requests and late slots until ctx ends or the dispatcher is
// retired.
func (d *dispatcher) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(d.untilNextDeadline())
		select {
		case <-ctx.Done():
			return
		case <-d.retired:
			return
		case <-d.wakeup:
		case <-timer.C:
		}
		d.expireDeadlines()
	}
}

// expireDeadlines releases expired late slots and refuses queued requests that
// have reached their deadline.
func (d *dispatcher) expireDeadlines() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	n := 0
	for n < len(d.lateSlots) && !now.Before(d.lateSlots[n].until) {
		d.inFlight[d.lateSlots[n].region]--
		n++
	}
	if n > 0 {
		d.lateSlots = d.lateSlots[n:]
		d.applySlots(now)
	}
	d.deliverEvents(now)
}

func (d *dispatcher) untilNextDeadline() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := d.admitter.NextDeadline()
	if len(d.lateSlots) > 0 && (next.IsZero() || d.lateSlots[0].until.Before(next)) {
		next = d.lateSlots[0].until
	}
	if next.IsZero() {
		return time.Hour
	}
	return max(0, next.Sub(d.clock.Now()))
}

// deliverEvents delivers the admitter's events to the waiting requests. The
// caller holds mu.
func (d *dispatcher) deliverEvents(now time.Time) {
	for _, e := range d.admitter.Events(now) {
		if ch, ok := d.waiting[e.ID]; ok {
			delete(d.waiting, e.ID)
			ch <- e
		}
	}
}

// admit waits until the work may start. If it returns ReasonNone, the caller
// must call release exactly once.
func (d *dispatcher) admit(ctx context.Context, w azurestair.RequestInfo) azurestair.Reason {
	id, ch, reason, admitted := d.offer(w)
	if admitted || ch == nil {
		return reason
	}
	d.wakeTimer()
	select {
	case e := <-ch:
		return reasonOf(e)
	case <-ctx.Done():
		return d.cancel(id, ch, w)
	}
}

func reasonOf(e azurestair.AdmissionEvent) azurestair.Reason {
	if e.Admission == azurestair.Admitted {
		return azurestair.ReasonNone
	}
	return e.Reason
}

// offer offers work to the admitter. If the work is queued, the returned
// channel receives the decision; otherwise the channel is nil and the last
// result reports whether the work was admitted.
func (d *dispatcher) offer(w azurestair.RequestInfo) (azurestair.AdmissionID, <-chan azurestair.AdmissionEvent, azurestair.Reason, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.lastID++
	id := d.lastID
	admission, reason := d.admitter.Offer(id, w, now)
	if admission == azurestair.Admitted {
		d.deliverEvents(now)
		return id, nil, azurestair.ReasonNone, true
	}
	if admission == azurestair.Refused {
		d.deliverEvents(now)
		return id, nil, reason, false
	}
	ch := make(chan azurestair.AdmissionEvent, 1)
	d.waiting[id] = ch
	d.deliverEvents(now)
	return id, ch, azurestair.ReasonNone, false
}

// cancel withdraws work whose caller has disconnected. If the work was admitted
// in the meantime, it is released.
func (d *dispatcher) cancel(id azurestair.AdmissionID, ch <-chan azurestair.AdmissionEvent, w azurestair.RequestInfo) azurestair.Reason {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	select {
	case e := <-ch:
		if e.Admission == azurestair.Admitted {
			d.admitter.Release(w, now)
			d.deliverEvents(now)
		}
	default:
		delete(d.waiting, id)
		d.admitter.Cancel(id, now)
		d.deliverEvents(now)
	}
	return azurestair.ReasonDeadline
}

// release ends admitted work.
func (d *dispatcher) release(w azurestair.RequestInfo) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.admitter.Release(w, now)
	d.deliverEvents(now)
}

func (d *dispatcher) pick(w azurestair.RequestInfo, avoid []azurestair.UpstreamID) (azurestair.Choice, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, err := d.picker.Pick(w, avoid, d.clock.Now())
	if err != nil {
		d.retryBudget.RecordSaturation(d.clock.Now())
		return c, err
	}
	d.inFlight[c.Region]++
	return c, nil
}

// shrinkGrace is how long admitted work waits for a slot after the leases have
// shrunk. It is the time for which a new leader grants only floors.
const shrinkGrace = control.GracePeriod

// isOvercommitted reports whether admitted work may lack a slot only for a
// short time: attempts are in flight that will free one, and they use all slots
// or the leases have shrunk recently.
func (d *dispatcher) isOvercommitted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	var n azurestair.Slots
	for _, inFlight := range d.inFlight {
		n += inFlight
	}
	shrank := d.clock.Now().Sub(d.shrunkAt) < shrinkGrace
	return n > 0 && (n >= d.slots || shrank)
}

// pickWhenFree waits until an upstream can be picked within the limits, ctx
// ends or the time until is reached. Without the wait, admitted requests would
// be refused: hedged attempts and retries use slots in addition to those of
// admitted requests, and leases can shrink after admission, mainly when a new
// leader grants only floors.
func (d *dispatcher) pickWhenFree(ctx context.Context, w azurestair.RequestInfo, avoid []azurestair.UpstreamID, until time.Time) (azurestair.Choice, error) {
	c, err := d.pick(w, avoid)
	if !d.isWorthWaiting(err) {
		return c, err
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for {
		freed := d.slotFreedChan()
		c, err = d.pick(w, avoid)
		if !d.isWorthWaiting(err) {
			return c, err
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return c, err
		}
	}
}

// isWorthWaiting reports whether a pick that failed with err may succeed later.
func (d *dispatcher) isWorthWaiting(err error) bool {
	return err != nil && (routing.ReasonOf(err) == azurestair.ReasonShiftCap || d.isOvercommitted())
}

func (d *dispatcher) slotFreedChan() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.slotFreed == nil {
		d.slotFreed = make(chan struct{})
	}
	return d.slotFreed
}

// signalSlotFreed wakes the picks that wait for a slot. The caller holds mu.
func (d *dispatcher) signalSlotFreed() {
	if d.slotFreed != nil {
		close(d.slotFreed)
		d.slotFreed = nil
	}
}

// finishAttempt ends an attempt. The slot of an attempt that timed out stays
// busy for lateSlotHold.
func (d *dispatcher) finishAttempt(c azurestair.Choice, r azurestair.AttemptResult, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.picker.Done(c, r, latency, now)
	d.logEvents()
	if r == azurestair.AttemptDone {
		d.latency.Observe(latency)
	}
	if r == azurestair.AttemptDone || r == azurestair.AttemptTimeout {
		d.countAttempt(latency)
	}
	d.releaseAttemptSlot(c, r == azurestair.AttemptTimeout, now)
	d.signalSlotFreed()
}

// abandonAttempt ends an attempt whose outcome says nothing about the upstream.
// If it was sent, its slot stays busy for lateSlotHold.
func (d *dispatcher) abandonAttempt(c azurestair.Choice, sent bool, elapsed time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if p, ok := d.picker.(azurestair.AbandoningPicker); ok {
		p.Abandon(c, sent, elapsed, now)
	} else {
		d.picker.Done(c, azurestair.AttemptDone, elapsed, now)
	}
	if sent {
		d.countAttempt(elapsed)
	}
	d.releaseAttemptSlot(c, sent, now)
	d.signalSlotFreed()
}

// releaseAttemptSlot releases the slot of an attempt, after lateSlotHold if the
// upstream may still be processing it. The caller holds mu.
func (d *dispatcher) releaseAttemptSlot(c azurestair.Choice, late bool, now time.Time) {
	if !late {
		d.inFlight[c.Region]--
		return
	}
	d.lateSlots = append(d.lateSlots, lateSlot{until: now.Add(lateSlotHold), region: c.Region})
	d.applySlots(now)
	d.wakeTimer()
}

// confirmState records the state that a process of an upstream reported for
// itself, unless a later process is listed. The answers and announcements of the
// earlier process may arrive after the list that contains the later one.
func (d *dispatcher) confirmState(id azurestair.UpstreamID, inc azurestair.Incarnation, state azurestair.UpstreamState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if listed, _ := d.snapshot.Upstream(id); listed.Announcement.Incarnation > inc {
		return
	}
	if p, ok := d.picker.(azurestair.ConfirmingPicker); ok {
		p.Confirm(id, state, d.clock.Now())
	}
}

// observe passes observations from an attempt, other than its outcome, to the
// picker.
func (d *dispatcher) observe(c azurestair.Choice, o azurestair.Observation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.picker.(azurestair.ObservingPicker); ok {
		p.Observe(c, o, d.clock.Now())
	}
	d.logEvents()
}

// logEvents logs upstream ejections, recoveries, restarts and cold times. The caller
// holds mu.
func (d *dispatcher) logEvents() {
	p, ok := d.picker.(*placement.Picker)
	if !ok || d.log == nil {
		return
	}
	for _, e := range p.Events() {
		if r := e.Restart; r != nil {
			d.log.Info("upstream has started again", "upstream", e.Upstream, "incarnation", r.Incarnation, "before", r.Before,
				"coldMs", r.ColdMs, "recentRequests", r.RecentRequests, "quota", r.Quota)
			continue
		}
		if !e.ColdUntil.IsZero() {
			d.log.Info("upstream has become cold", "upstream", e.Upstream, "coldMs", e.ColdUntil.Sub(d.clock.Now()).Milliseconds())
			continue
		}
		if e.Suspected {
			d.log.Info("upstream may have started again", "upstream", e.Upstream)
			continue
		}
		if e.Ejected {
			d.log.Warn("upstream taken out", "upstream", e.Upstream, "cause", e.Cause, "inRow", e.ConsecutiveFailures, "rate", e.FailRate,
				"forMs", e.Until.Sub(d.clock.Now()).Milliseconds())
			continue
		}
		d.log.Info("upstream is back", "upstream", e.Upstream)
	}
}

// probeCandidates returns the upstreams that are due for a probe.
func (d *dispatcher) probeCandidates() []azurestair.UpstreamID {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.picker.(azurestair.ConfirmingPicker)
	if !ok {
		return nil
	}
	return slices.Clone(p.ProbeCandidates(d.clock.Now()))
}

// countRequest counts a request that was received for the service.
func (d *dispatcher) countRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.traffic.Requests++
}

func (d *dispatcher) trafficCount() control.TrafficCount {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.traffic
}

// countAttempt counts an attempt that occupied its upstream. The caller holds
// mu.
func (d *dispatcher) countAttempt(took time.Duration) {
	d.traffic.Finished++
	d.traffic.BusyTime += took
}

func (d *dispatcher) attemptDeadline(r *retry.Request, now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryPolicy.AttemptDeadline(r, &d.retryBudget, now)
}

func (d *dispatcher) hedgeAt(r *retry.Request, sent time.Time) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryPolicy.HedgeAt(r, &d.latency, sent)
}

func (d *dispatcher) mayHedge(r *retry.Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryPolicy.Hedge(r, &d.retryBudget, d.clock.Now())
}

// setSlots sets the number of concurrent requests that the leases allow.
func (d *dispatcher) setSlots(n azurestair.Slots) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n == d.slots {
		return
	}
	if n < d.slots {
		d.shrunkAt = d.clock.Now()
	}
	d.slots = n
	d.applySlots(d.clock.Now())
}

// setRegionSlots sets the number of concurrent requests that the leases allow
// in a region.
func (d *dispatcher) setRegionSlots(region azurestair.RegionName, n azurestair.Slots) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.picker.(azurestair.BudgetedPicker); ok {
		p.SetBudget(region, n, d.clock.Now())
	}
}

// beginLedgerWait marks an admitted request as waiting for the ledger. Its slot
// is idle meanwhile, so another request may be admitted in its place; the
// limits of the picker still apply.
func (d *dispatcher) beginLedgerWait() { d.addLedgerWaits(1) }

// endLedgerWait reverts beginLedgerWait.
func (d *dispatcher) endLedgerWait() { d.addLedgerWaits(-1) }

func (d *dispatcher) addLedgerWaits(n azurestair.Slots) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledgerWaits += n
	d.applySlots(d.clock.Now())
}

// applySlots passes the slot limit to the admitter. The limit is the lease
// limit minus the late slots. The slots of requests that wait for the ledger
// are added to it, up to half of it. The caller holds mu.
func (d *dispatcher) applySlots(now time.Time) {
	usable := max(0, d.slots-azurestair.Slots(len(d.lateSlots)))
	d.admitter.SetSlots(usable+min(d.ledgerWaits, usable/2), now)
	d.deliverEvents(now)
	d.signalSlotFreed()
}

// usage is the number of attempts in flight and of queued requests.
type usage struct {
	inFlight map[azurestair.RegionName]azurestair.Slots
	waiting  azurestair.Slots
}

func (d *dispatcher) usage() usage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return usage{inFlight: maps.Clone(d.inFlight), waiting: azurestair.Slots(len(d.waiting))}
}

// admissionCounter is implemented by admitters that count their decisions.
type admissionCounter interface{ Counts() admission.Counts }

// statusLister is implemented by pickers that report the state of their
// upstreams.
type statusLister interface {
	Status(list []routing.Status, now time.Time) []routing.Status
}

// status returns the operator's view of the dispatcher.
func (d *dispatcher) status(name azurestair.ServiceName) operator.ServiceStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	st := operator.ServiceStatus{Service: name}
	if c, ok := d.admitter.(admissionCounter); ok {
		counts := c.Counts()
		st.Slots, st.Reserve = counts.Slots, counts.Reserve
		for r, n := range counts.Ranks {
			st.Ranks = append(st.Ranks, rankStatus(azurestair.Rank(r), n)) //nolint:gosec // within NumRanks
		}
	}
	if p, ok := d.picker.(statusLister); ok {
		for _, w := range p.Status(nil, d.clock.Now()) {
			st.Upstreams = append(st.Upstreams, operator.EntryUpstreamStatus{
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

func (d *dispatcher) update(s *azurestair.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.snapshot = s
	d.picker.Update(s, now)
	d.logEvents()
	defaults := s.Config.Defaults.WithDefaults()
	if c, ok := d.admitter.(azurestair.Configurer); ok {
		c.Configure(defaults, now)
	}
	d.configureRetryBudget(s, defaults)
}

func (d *dispatcher) wakeTimer() {
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}
