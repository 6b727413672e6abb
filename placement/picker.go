package placement

import (
	"cmp"
	"slices"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/routing"
)

// Defaults of Options.
const (
	// DefaultCopies is how many upstreams share an object while they have room.
	DefaultCopies = 1
	// DefaultReach is how many upstreams of the ranking take what the copies have
	// no room for. Each further one handles the object cold, which costs three
	// times the work and makes it forget another object: with a reach of 8, an
	// overload kept itself up long after its cause had gone.
	DefaultReach = 1
	// rankCost is what each place in the ranking costs against load: an
	// upstream further down handles the object cold.
	rankCost = 0.1
	// spillCost is the load above which an upstream beyond the copies is better:
	// cold work there lasts about as long as a queue of all slots here.
	spillCost = 1.0
	// slowFactor is how much slower than the service a worker must be for its
	// latency to count as load.
	slowFactor = 1.5
)

// roomOf is the load, in parts of a worker's slots, up to which work of a rank
// is sent to it. Urgent work may queue where other work is refused.
var roomOf = [azurestair.NumRanks]float64{
	azurestair.RankDeferred:    1.3,
	azurestair.RankInteractive: 1.5,
	azurestair.RankUrgent:      2.0,
}

// Options configures a Picker.
type Options struct {
	Service azurestair.ServiceName
	Region  azurestair.RegionName
	Self    azurestair.InstanceID
	// LateSlot is how long the slot of an attempt that was cut off stays counted.
	LateSlot time.Duration
	// Copies and Reach are the defaults when zero.
	Copies, Reach int
	Rand          azurestair.Rand
}

// Picker implements azurestair.Picker. It is not safe for concurrent use.
type Picker struct {
	opts     Options
	snapshot *azurestair.Snapshot
	workers  map[azurestair.UpstreamID]*worker
	// byRegion holds the workers that may get work.
	byRegion map[azurestair.RegionName][]*worker
	plan     *plan
	usable   int
	// latency is the mean over the service's answers.
	latency float64
	ranked  []candidate
	events  []Event
}

type candidate struct {
	worker *worker
	sum    uint64
}

var (
	_ azurestair.Picker    = (*Picker)(nil)
	_ azurestair.Confirmer = (*Picker)(nil)
	_ azurestair.Abandoner = (*Picker)(nil)
	_ azurestair.Observer  = (*Picker)(nil)
)

// New returns a picker without upstreams.
func New(o Options) *Picker {
	if o.Copies == 0 {
		o.Copies = DefaultCopies
	}
	if o.Reach == 0 {
		o.Reach = DefaultReach
	}
	return &Picker{opts: o, workers: map[azurestair.UpstreamID]*worker{}, plan: &plan{}}
}

// Update takes over the upstreams and the plan of the service.
func (p *Picker) Update(s *azurestair.Snapshot, now time.Time) {
	if s == p.snapshot {
		return
	}
	p.snapshot = s
	service, _ := s.Config.Service(p.opts.Service)
	entries := entriesOf(s)
	listed := map[azurestair.UpstreamID]bool{}
	p.byRegion = map[azurestair.RegionName][]*worker{}
	p.usable = 0
	skip := s.SkipsUnconfirmed(p.opts.Service)
	for _, u := range s.Upstreams {
		a := u.Announcement
		if a.Service != p.opts.Service {
			continue
		}
		listed[a.Upstream] = true
		w := p.worker(a)
		if a.ColdMs > 0 {
			w.cold.until = now.Add(a.ColdMs.Duration())
		} else {
			w.cold.until = time.Time{}
		}
		w.cold.part = coldPart(w.seed, p.opts.Self, entries, service.ColdPerSecond)
		if a.State != azurestair.StateServing || s.IsUpstreamDrained(a) || (skip && !u.Confirmed) {
			continue
		}
		p.usable++
		p.byRegion[a.Region] = append(p.byRegion[a.Region], w)
	}
	for id, w := range p.workers {
		if !listed[id] && w.inFlight == 0 {
			delete(p.workers, id)
		}
	}
	p.replan()
}

// suspectRoom is the part of its slots that a worker counts for while it is
// suspect, so that a region of such workers still gets the requests that try them.
const suspectRoom = 0.1

// replan fits the leader's plan to the room that this entry sees. Workers that
// it has taken out hardly count: here their loss is known seconds before their
// lease lapses.
func (p *Picker) replan() {
	slots := map[azurestair.RegionName]float64{}
	for r, list := range p.byRegion {
		for _, w := range list {
			n := float64(w.info.Slots)
			if w.health.isSuspect() {
				n *= suspectRoom
			}
			slots[r] += n
		}
	}
	p.plan = newPlan(p.opts.Region, slots, p.snapshot.PlanOf(p.opts.Service))
}

func entriesOf(s *azurestair.Snapshot) []azurestair.InstanceID {
	var ids []azurestair.InstanceID
	for _, i := range s.Instances {
		if i.CallerAddr != "" {
			ids = append(ids, i.ID)
		}
	}
	return ids
}

// worker returns the record of an upstream; a new incarnation starts a new one.
func (p *Picker) worker(a azurestair.Announcement) *worker {
	w := p.workers[a.Upstream]
	if w == nil || w.info.Incarnation != a.Incarnation {
		w = &worker{seed: hashOf(string(a.Upstream))}
		p.workers[a.Upstream] = w
	}
	w.info = a
	return w
}

// Pick chooses an upstream, preferably none of avoid, and counts an attempt in
// flight. The error is a *routing.PickError.
func (p *Picker) Pick(work azurestair.Work, avoid []azurestair.UpstreamID, now time.Time) (azurestair.Choice, error) {
	object := uint64(work.Object)
	if object == 0 {
		object = p.opts.Rand.Uint64()
	}
	region, ok := p.plan.choose(object, func(r azurestair.RegionName) bool { return isHome(work.Homes, r) })
	if !ok {
		return azurestair.Choice{}, routing.ErrorFor(azurestair.ReasonNoUpstream)
	}
	w := p.choose(region, object, work, avoid, now)
	if w == nil {
		return azurestair.Choice{}, routing.ErrorFor(azurestair.ReasonSaturated)
	}
	if w.health.needsTrial(now) {
		w.health.trial = true
	}
	w.inFlight++
	w.cold.note(now)
	return azurestair.Choice{
		Upstream: w.info.Upstream, Addr: w.info.Addr, Region: region, Shift: region != p.opts.Region,
	}, nil
}

func isHome(homes []azurestair.RegionName, r azurestair.RegionName) bool {
	return len(homes) == 0 || slices.Contains(homes, r)
}

// choose returns the cheapest worker for the object among the first of its
// ranking that have room, or nil. Workers that were tried come last.
func (p *Picker) choose(region azurestair.RegionName, object uint64, work azurestair.Work, avoid []azurestair.UpstreamID, now time.Time) *worker {
	p.rank(region, object)
	room := roomOf[work.Rank]
	var best, tried *worker
	var bestCost, triedCost float64
	place := 0
	for _, c := range p.ranked {
		w := c.worker
		w.releaseDue(now)
		if w.health.isOut(now) || !w.cold.allows(now) {
			continue
		}
		place++
		load := w.load(now)
		if load >= room {
			if place >= p.opts.Copies+p.opts.Reach {
				break
			}
			continue
		}
		cost := p.costOf(w, load, place)
		switch {
		case slices.Contains(avoid, w.info.Upstream):
			if tried == nil || cost < triedCost {
				tried, triedCost = w, cost
			}
		case best == nil || cost < bestCost:
			best, bestCost = w, cost
		}
		if place >= p.opts.Copies+p.opts.Reach {
			break
		}
	}
	if best == nil {
		return tried
	}
	return best
}

// costOf weighs a worker's load, slowness and place in the ranking, from 1.
func (p *Picker) costOf(w *worker, load float64, place int) float64 {
	cost := load * p.slowness(w)
	if place <= p.opts.Copies {
		return cost + rankCost*float64(place-1)
	}
	return cost + spillCost + rankCost*float64(place-1)
}

// slowness is 1 for a worker of usual speed and grows with its latency.
func (p *Picker) slowness(w *worker) float64 {
	if w.answers < latencySamples || p.latency <= 0 {
		return 1
	}
	return max(1, w.latency/(p.latency*slowFactor))
}

// rank sorts the workers of a region for an object, the first choice first.
func (p *Picker) rank(region azurestair.RegionName, object uint64) {
	p.ranked = p.ranked[:0]
	for _, w := range p.byRegion[region] {
		p.ranked = append(p.ranked, candidate{worker: w, sum: mix(object, w.seed)})
	}
	slices.SortFunc(p.ranked, func(a, b candidate) int { return cmp.Compare(b.sum, a.sum) })
}

// serviceGain is the weight of one answer in the service's mean latency.
const serviceGain = 1.0 / 256

// Done ends an attempt.
func (p *Picker) Done(c azurestair.Choice, r azurestair.AttemptResult, latency time.Duration, now time.Time) {
	w := p.workers[c.Upstream]
	if w == nil || w.inFlight <= len(w.lateUntil) {
		return
	}
	if r == azurestair.AttemptTimeout {
		w.lateUntil = append(w.lateUntil, now.Add(p.opts.LateSlot))
	} else {
		w.inFlight--
	}
	if r == azurestair.AttemptDone || r == azurestair.AttemptTimeout {
		w.observe(latency)
		if p.latency == 0 {
			p.latency = float64(latency)
		}
		p.latency += serviceGain * (float64(latency) - p.latency)
	}
	if r == azurestair.AttemptNotRun {
		// Observe has counted what the upstream itself refused.
		w.health.trial = false
		return
	}
	if r == azurestair.AttemptDone {
		w.answeredAt, w.shedSince = now, time.Time{}
	}
	if r == azurestair.AttemptTimeout && w.answeredAt.After(now.Add(-latency)) {
		// It has answered others since: it is late under load, not silent. Taking
		// it out would load the next ones.
		w.health.trial = false
		return
	}
	p.judge(w, r == azurestair.AttemptDone, now)
}

// Observe takes over what an answer, or a failure to connect, says of the worker.
func (p *Picker) Observe(c azurestair.Choice, o azurestair.Observation, now time.Time) {
	w := p.workers[c.Upstream]
	if w == nil {
		return
	}
	if o.Load != nil {
		w.report(*o.Load, now)
	}
	switch {
	case o.Gone:
		if !w.health.isOut(now) || w.health.trial {
			p.eject(w, CauseGone, now)
		}
	case o.Unreachable && now.Sub(w.answeredAt) >= aliveFor:
		p.dark(w, now)
	case o.Shed && !o.IsFull(w.info.Slots) && w.onlySheds(now):
		p.judge(w, false, now)
	case o.Shed && w.health.trial:
		p.judge(w, true, now)
	}
}

// dark takes out a worker that cannot be connected to. One failure is enough:
// each further one would cost a request the whole time of a connection attempt.
func (p *Picker) dark(w *worker, now time.Time) {
	if w.health.trial {
		p.judge(w, false, now)
		return
	}
	if !w.health.isOut(now) {
		p.eject(w, CauseDark, now)
	}
}

// Abandon ends an attempt whose outcome says nothing about the worker.
func (p *Picker) Abandon(c azurestair.Choice, sent bool, _ time.Duration, now time.Time) {
	w := p.workers[c.Upstream]
	if w == nil || w.inFlight <= len(w.lateUntil) {
		return
	}
	w.health.trial = false
	if sent {
		w.lateUntil = append(w.lateUntil, now.Add(p.opts.LateSlot))
		return
	}
	w.inFlight--
}

// judge takes an outcome into account; too many workers are never out at once.
func (p *Picker) judge(w *worker, ok bool, now time.Time) {
	if w.health.trial {
		w.health.trial = false
		if !ok {
			w.health.eject(now)
			p.note(Event{Upstream: w.info.Upstream, Out: true, Until: w.health.outUntil, Cause: CauseTrial})
			return
		}
		w.health.outUntil = time.Time{}
		p.note(Event{Upstream: w.info.Upstream})
		p.replan()
		return
	}
	if w.health.isOut(now) {
		// An attempt from before the ejection.
		return
	}
	if w.health.count(ok) {
		p.eject(w, CauseFailures, now)
	}
}

func (p *Picker) eject(w *worker, cause Cause, now time.Time) {
	out := 0
	for _, list := range p.byRegion {
		for _, other := range list {
			if other != w && other.health.isOut(now) {
				out++
			}
		}
	}
	if float64(out+1) <= max(1, outShare*float64(p.usable)) {
		e := Event{Upstream: w.info.Upstream, Out: true, Cause: cause, InRow: w.health.inRow, Rate: w.health.rate}
		w.health.eject(now)
		e.Until = w.health.outUntil
		p.note(e)
		p.replan()
	}
}

// Confirm takes over that an upstream drains, sooner than the next snapshot says it.
func (p *Picker) Confirm(id azurestair.UpstreamID, state azurestair.UpstreamState, _ time.Time) {
	w := p.workers[id]
	if w == nil || state == azurestair.StateServing || state == "" {
		return
	}
	for r, list := range p.byRegion {
		p.byRegion[r] = slices.DeleteFunc(slices.Clone(list), func(o *worker) bool { return o == w })
	}
}

// ProbeCandidates returns none: own outcomes say more than a health check,
// which takes a slot.
func (p *Picker) ProbeCandidates(time.Time) []azurestair.UpstreamID { return nil }

// Status appends the status of every known worker to list and returns it.
func (p *Picker) Status(list []routing.Status, now time.Time) []routing.Status {
	for id, w := range p.workers {
		s := routing.Status{
			Upstream: id, Standing: routing.StandingServing, InFlight: azurestair.Slots(w.inFlight),
			Late: azurestair.Slots(len(w.lateUntil)), Latency: time.Duration(w.latency), Ejections: w.health.outs,
		}
		switch {
		case w.info.State != azurestair.StateServing:
			s.Standing = routing.StandingDraining
		case w.health.isOut(now):
			s.Standing = routing.StandingEjected
		case w.cold.isCold(now):
			s.Standing = routing.StandingSlowStart
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b routing.Status) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}
