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
	// DefaultCopies is how many upstreams share an object while they have
	// capacity.
	DefaultCopies = 1
	// DefaultReach is how many further upstreams of the ranking take requests
	// that the first Copies have no capacity for. Each of them handles the
	// object cold, which costs three times the work and evicts another object
	// from its cache: with a value of 8, an overload sustained itself long
	// after its cause had ended.
	DefaultReach = 1
	// rankPenalty is added to the cost for each position in the ranking,
	// because an upstream further down handles the object cold.
	rankPenalty = 0.1
	// spillPenalty is the load above which an upstream beyond the first Copies
	// is preferred: handling the object cold there takes about as long as
	// waiting here in a queue as long as the number of slots.
	spillPenalty = 1.0
	// slowFactor is the multiple of the service's mean latency above which an
	// upstream's latency increases its cost.
	slowFactor = 1.5
)

// maxLoad is the load, as a multiple of an upstream's slots, up to which
// requests of a rank are sent to it. Urgent requests may queue where others are
// refused.
var maxLoad = [azurestair.NumRanks]float64{
	azurestair.RankDeferred:    1.3,
	azurestair.RankInteractive: 1.5,
	azurestair.RankUrgent:      2.0,
}

// Options configures a Picker.
type Options struct {
	Service azurestair.ServiceName
	Region  azurestair.RegionName
	Self    azurestair.InstanceID
	// LateSlotTTL is how long the slot of a timed-out or abandoned attempt
	// stays counted.
	LateSlotTTL time.Duration
	// Copies is how many upstreams share an object, and Reach how many further
	// ones take the overflow; zero means the default.
	Copies, Reach int
	Rand          azurestair.Rand
}

// Picker implements azurestair.Picker. It is not safe for concurrent use.
type Picker struct {
	opts     Options
	snapshot *azurestair.Snapshot
	byID     map[azurestair.UpstreamID]*upstream
	// byRegion holds the upstreams that may receive requests.
	byRegion    map[azurestair.RegionName][]*upstream
	plan        *plan
	usableCount int
	// coldTime is how long an upstream is cold after it has started.
	coldTime time.Duration
	// serviceLatency is the mean latency over all responses of the service.
	serviceLatency float64
	ranked         []candidate
	events         []Event
	// spread places the published objects; nil if none are to be published.
	spread *spreader
}

// candidate is an upstream of a region, by its index, and its hash for an
// object.
type candidate struct {
	hash  uint64
	index int
}

var (
	_ azurestair.Picker           = (*Picker)(nil)
	_ azurestair.ConfirmingPicker = (*Picker)(nil)
	_ azurestair.AbandoningPicker = (*Picker)(nil)
	_ azurestair.ObservingPicker  = (*Picker)(nil)
	_ azurestair.CountingPicker   = (*Picker)(nil)
)

// New returns a picker without upstreams.
func New(o Options) *Picker {
	if o.Copies == 0 {
		o.Copies = DefaultCopies
	}
	if o.Reach == 0 {
		o.Reach = DefaultReach
	}
	return &Picker{opts: o, byID: map[azurestair.UpstreamID]*upstream{}, plan: &plan{}}
}

// Update applies the upstreams and the region plan of the service in a
// snapshot.
func (p *Picker) Update(s *azurestair.Snapshot, now time.Time) {
	if s == p.snapshot {
		return
	}
	p.snapshot = s
	service, _ := s.Config.Service(p.opts.Service)
	p.coldTime = service.ColdMs.Duration()
	self, entries := hashOf(string(p.opts.Self)), entrySeeds(s)
	listed := map[azurestair.UpstreamID]bool{}
	p.byRegion = map[azurestair.RegionName][]*upstream{}
	p.usableCount = 0
	skipUnconfirmed := s.ExcludesUnconfirmed(p.opts.Service)
	for _, info := range s.Upstreams {
		a := info.Announcement
		if a.Service != p.opts.Service {
			continue
		}
		listed[a.Upstream] = true
		earlier := p.byID[a.Upstream]
		u := p.upstreamFor(a, now)
		if u.updateColdTime(info, now) && u == earlier {
			p.addEvent(Event{Upstream: a.Upstream, ColdUntil: u.cold.until})
		}
		a = u.announcement
		u.cold.quota = coldQuota(u.seed, self, entries, service.ColdPerSecond)
		u.cold.evenQuota = evenColdQuota(self, entries, service)
		if earlier != nil && earlier != u {
			p.addRestartEvent(earlier, u)
		}
		if a.State != azurestair.StateServing || u.leaving || s.IsUpstreamDrained(a) || (skipUnconfirmed && !info.Confirmed) {
			continue
		}
		u.removed = false
		p.usableCount++
		p.byRegion[a.Region] = append(p.byRegion[a.Region], u)
	}
	p.updateListed(listed, now)
	p.updatePlan()
	p.updateSpread(s)
}

// updateListed records which upstreams are listed, and removes the others that
// have no request in flight and to which none was sent within coldWindow.
func (p *Picker) updateListed(listed map[azurestair.UpstreamID]bool, now time.Time) {
	for id, u := range p.byID {
		u.listed = listed[id]
		u.releaseExpired(now)
		u.cold.dropExpired(now)
		if !u.listed && u.inFlight == 0 && len(u.cold.sent) == 0 {
			delete(p.byID, id)
		}
	}
}

// addRestartEvent records that the process of an upstream was replaced.
func (p *Picker) addRestartEvent(before, after *upstream) {
	p.addEvent(Event{Upstream: after.announcement.Upstream, Restart: &Restart{
		Incarnation: after.announcement.Incarnation, Before: before.announcement.Incarnation, ColdMs: after.announcement.ColdMs,
		RecentRequests: len(after.cold.sent), Quota: after.cold.quota,
	}})
}

// suspectCapacity is the fraction of its slots with which a suspect upstream is
// counted, so that a region in which all upstreams are suspect still receives
// trial requests.
const suspectCapacity = 0.1

// updatePlan adapts the leader's plan to the capacity that this entry sees.
// Upstreams that it has ejected hardly count: the entry notices their loss
// seconds before their lease expires.
func (p *Picker) updatePlan() {
	slots := map[azurestair.RegionName]float64{}
	for r, list := range p.byRegion {
		for _, u := range list {
			n := float64(u.announcement.Slots)
			if u.health.isSuspect() {
				n *= suspectCapacity
			}
			slots[r] += n
		}
	}
	p.plan = newPlan(p.opts.Region, slots, p.snapshot.PlansOf(p.opts.Service))
}

// entrySeeds returns the hashes of the ids of all entries.
func entrySeeds(s *azurestair.Snapshot) []uint64 {
	var seeds []uint64
	for _, i := range s.Instances {
		if i.CallerAddr != "" {
			seeds = append(seeds, hashOf(string(i.ID)))
		}
	}
	return seeds
}

// upstreamFor returns the record of an upstream; a new incarnation gets a new
// one. The requests that were sent shortly before it was listed have reached the
// new process, so they count towards its cold limit. While an upstream stays
// listed, an earlier incarnation comes from a new leader with an outdated list.
func (p *Picker) upstreamFor(a azurestair.Announcement, now time.Time) *upstream {
	u := p.byID[a.Upstream]
	if u != nil && u.listed && a.Incarnation < u.announcement.Incarnation {
		return u
	}
	if u == nil || u.announcement.Incarnation != a.Incarnation {
		next := &upstream{seed: hashOf(string(a.Upstream))}
		if u != nil {
			u.cold.dropExpired(now)
			next.cold.sent = slices.Clone(u.cold.sent)
		}
		u = next
		p.byID[a.Upstream] = u
	}
	u.announcement = a
	return u
}

// Pick chooses an upstream, if possible none of avoid, and counts an attempt in
// flight. The error is a *routing.PickError.
func (p *Picker) Pick(work azurestair.RequestInfo, avoid []azurestair.UpstreamID, now time.Time) (azurestair.Choice, error) {
	object := uint64(work.Object)
	if object == 0 {
		object = p.opts.Rand.Uint64()
	}
	region, ok := p.plan.choose(object, func(r azurestair.RegionName) bool { return allowsRegion(work.HomeRegions, r) })
	if !ok {
		return azurestair.Choice{}, routing.ErrorFor(azurestair.ReasonNoUpstream)
	}
	if p.spread != nil && work.Object != 0 && len(avoid) == 0 {
		p.spread.counter.add(object, region)
	}
	u := p.choose(region, object, work, avoid, now)
	if u == nil {
		return azurestair.Choice{}, p.refusal(region, now)
	}
	trial := u.health.needsTrial(now)
	if trial {
		u.health.trialInFlight = true
	}
	u.inFlight++
	u.cold.recordSent(now)
	return azurestair.Choice{
		Upstream: u.announcement.Upstream, Addr: u.announcement.Addr, Region: region, CrossRegion: region != p.opts.Region,
		Incarnation: u.announcement.Incarnation, Trial: trial,
	}, nil
}

// refusal returns the error for a request that none of the upstreams of a
// region can take. If all of them have asked for a pause, it says when the first pause
// ends.
func (p *Picker) refusal(region azurestair.RegionName, now time.Time) error {
	var retryAt time.Time
	for _, u := range p.byRegion[region] {
		if u.health.isEjected(now) {
			continue
		}
		if !u.isPaused(now) {
			return routing.ErrorFor(azurestair.ReasonSaturated)
		}
		if retryAt.IsZero() || u.pausedUntil.Before(retryAt) {
			retryAt = u.pausedUntil
		}
	}
	if retryAt.IsZero() {
		return routing.ErrorFor(azurestair.ReasonSaturated)
	}
	return &routing.PickError{Reason: azurestair.ReasonPaused, RetryAt: retryAt}
}

func allowsRegion(homes []azurestair.RegionName, r azurestair.RegionName) bool {
	return len(homes) == 0 || slices.Contains(homes, r)
}

// choose returns the upstream with the lowest cost for the object among the
// first of its ranking that have capacity, or nil. Upstreams in avoid are used
// only if there is no other.
func (p *Picker) choose(region azurestair.RegionName, object uint64, work azurestair.RequestInfo, avoid []azurestair.UpstreamID, now time.Time) *upstream {
	if o := p.spread.placed(region, object); o != nil {
		return p.choosePlaced(o, work, avoid, now)
	}
	list := p.byRegion[region]
	p.ranked = rankAll(p.ranked[:0], list, object)
	limit := maxLoad[work.Rank]
	var best, avoided *upstream
	var bestCost, avoidedCost float64
	position := 0
	for len(p.ranked) > 0 {
		u := list[popBest(&p.ranked)]
		u.releaseExpired(now)
		if u.health.isEjected(now) || u.isPaused(now) || !u.cold.allows(now) {
			continue
		}
		position++
		load := u.load(now)
		if load >= limit {
			if position >= p.opts.Copies+p.opts.Reach {
				break
			}
			continue
		}
		cost := p.cost(u, load, position)
		switch {
		case slices.Contains(avoid, u.announcement.Upstream):
			if avoided == nil || cost < avoidedCost {
				avoided, avoidedCost = u, cost
			}
		case best == nil || cost < bestCost:
			best, bestCost = u, cost
		}
		if position >= p.opts.Copies+p.opts.Reach {
			break
		}
	}
	if best == nil {
		return avoided
	}
	return best
}

// cost combines an upstream's load, slowness and position in the ranking, which
// starts at 1.
func (p *Picker) cost(u *upstream, load float64, position int) float64 {
	cost := load * p.slowness(u)
	if position <= p.opts.Copies {
		return cost + rankPenalty*float64(position-1)
	}
	return cost + spillPenalty + rankPenalty*float64(position-1)
}

// slowness returns 1 for an upstream of usual speed and more for a slow one.
func (p *Picker) slowness(u *upstream) float64 {
	if u.responseCount < latencySamples || p.serviceLatency <= 0 {
		return 1
	}
	return max(1, u.meanLatency/(p.serviceLatency*slowFactor))
}

// serviceLatencyGain is the weight of one response in the service's mean
// latency.
const serviceLatencyGain = 1.0 / 256

// chosen returns the record of the process that was chosen, or nil if another
// one has replaced it. What an attempt shows of one process says nothing about
// the next.
func (p *Picker) chosen(c azurestair.Choice) *upstream {
	if u := p.byID[c.Upstream]; u != nil && u.announcement.Incarnation == c.Incarnation {
		return u
	}
	return nil
}

// Done ends an attempt.
func (p *Picker) Done(c azurestair.Choice, r azurestair.AttemptResult, latency time.Duration, now time.Time) {
	u := p.chosen(c)
	if u == nil || u.inFlight <= len(u.lateUntil) {
		return
	}
	if r == azurestair.AttemptTimeout {
		u.lateUntil = append(u.lateUntil, now.Add(p.opts.LateSlotTTL))
	} else {
		u.inFlight--
	}
	if r == azurestair.AttemptDone || r == azurestair.AttemptTimeout {
		u.addLatency(latency)
		if p.serviceLatency == 0 {
			p.serviceLatency = float64(latency)
		}
		p.serviceLatency += serviceLatencyGain * (float64(latency) - p.serviceLatency)
	}
	if r == azurestair.AttemptNotRun {
		// Observe has already counted refusals by the upstream itself.
		u.endTrial(c)
		return
	}
	if r == azurestair.AttemptDone {
		u.answeredAt, u.shedSince = now, time.Time{}
	}
	if r == azurestair.AttemptTimeout && u.answeredAt.After(now.Add(-latency)) {
		// The upstream has answered other requests since this one was sent, so
		// it is slow under load, not dead. Ejecting it would overload the next
		// ones.
		u.endTrial(c)
		return
	}
	p.recordOutcome(u, c, r == azurestair.AttemptDone, now)
}

// Observe records what a response, or a failure to connect, shows of the
// upstream.
func (p *Picker) Observe(c azurestair.Choice, o azurestair.Observation, now time.Time) {
	u := p.chosen(c)
	if u == nil {
		return
	}
	silent := now.Sub(u.answeredAt) >= recentResponsePeriod
	p.observeConn(u, o, silent, now)
	p.observeAnswer(u, o, now)
	switch {
	case o.AddressReused:
		if !u.health.isEjected(now) || c.Trial {
			p.eject(u, CauseAddressReused, now)
		}
	case o.Unreachable && silent:
		p.markUnreachable(u, c, now)
	case o.Shed && !o.IsFull(u.announcement.Slots) && u.recordShed(now):
		p.recordOutcome(u, c, false, now)
	case o.Shed && c.Trial:
		p.recordOutcome(u, c, true, now)
	}
}

// observeConn records what the connection of an attempt shows of the process.
func (p *Picker) observeConn(u *upstream, o azurestair.Observation, silent bool, now time.Time) {
	before := u.cold.isSuspected(now)
	switch {
	case o.ConnLost, o.Unreachable:
		u.cold.recordFailedConn(o.Unreachable && silent, now)
	case !o.ConnectedAt.IsZero():
		u.cold.recordResponse(o.ConnectedAt, p.coldTime, now)
	}
	if !before && u.cold.isSuspected(now) {
		p.addEvent(Event{Upstream: u.announcement.Upstream, Suspected: true})
	}
}

// observeAnswer records what the upstream has said of itself.
func (p *Picker) observeAnswer(u *upstream, o azurestair.Observation, now time.Time) {
	if o.Load != nil {
		u.setLoadReport(*o.Load, now)
	}
	if o.Leaving && !u.leaving {
		u.leaving = true
		p.remove(u)
		p.addEvent(Event{Upstream: u.announcement.Upstream, Ejected: true, Cause: CauseLeaving})
	}
	if o.PausedUntil.After(u.pausedUntil) {
		if !u.isPaused(now) {
			p.addEvent(Event{Upstream: u.announcement.Upstream, Ejected: true, Cause: CausePause, Until: o.PausedUntil})
		}
		u.pausedUntil = o.PausedUntil
	}
}

// markUnreachable ejects an upstream that cannot be connected to. One failure
// is enough: each further one would cost a request the whole connection
// timeout.
func (p *Picker) markUnreachable(u *upstream, c azurestair.Choice, now time.Time) {
	if c.Trial {
		p.recordOutcome(u, c, false, now)
		return
	}
	if !u.health.isEjected(now) {
		p.eject(u, CauseUnreachable, now)
	}
}

// Abandon ends an attempt whose outcome says nothing about the upstream.
func (p *Picker) Abandon(c azurestair.Choice, sent bool, _ time.Duration, now time.Time) {
	u := p.chosen(c)
	if u == nil || u.inFlight <= len(u.lateUntil) {
		return
	}
	u.endTrial(c)
	if sent {
		u.lateUntil = append(u.lateUntil, now.Add(p.opts.LateSlotTTL))
		return
	}
	u.inFlight--
}

// recordOutcome updates the health of the upstream and ejects it or ends its
// ejection. The number of ejected upstreams is limited.
func (p *Picker) recordOutcome(u *upstream, c azurestair.Choice, ok bool, now time.Time) {
	if c.Trial && u.health.trialInFlight {
		u.health.trialInFlight = false
		if !ok {
			u.health.eject(now)
			p.addEvent(Event{Upstream: u.announcement.Upstream, Ejected: true, Until: u.health.ejectedUntil, Cause: CauseTrial})
			return
		}
		u.health.ejectedUntil = time.Time{}
		p.addEvent(Event{Upstream: u.announcement.Upstream})
		p.updatePlan()
		return
	}
	if u.health.isEjected(now) {
		// The attempt was sent before the ejection.
		return
	}
	if u.health.addOutcome(ok) {
		p.eject(u, CauseFailures, now)
	}
}

func (p *Picker) eject(u *upstream, cause Cause, now time.Time) {
	ejected := 0
	for _, list := range p.byRegion {
		for _, other := range list {
			if other != u && other.health.isEjected(now) {
				ejected++
			}
		}
	}
	if float64(ejected+1) <= max(1, maxEjectedShare*float64(p.usableCount)) {
		e := Event{Upstream: u.announcement.Upstream, Ejected: true, Cause: cause, ConsecutiveFailures: u.health.consecutiveFailures, FailRate: u.health.failRate}
		u.health.eject(now)
		e.Until = u.health.ejectedUntil
		p.addEvent(e)
		p.updatePlan()
	}
}

// Confirm stops sending requests to an upstream that reports draining or
// leaving, before the next snapshot says so.
func (p *Picker) Confirm(id azurestair.UpstreamID, state azurestair.UpstreamState, _ time.Time) {
	u := p.byID[id]
	if u == nil || state == azurestair.StateServing || state == "" {
		return
	}
	p.remove(u)
}

// remove stops sending requests to an upstream until the next snapshot.
func (p *Picker) remove(u *upstream) {
	u.removed = true
	for r, list := range p.byRegion {
		p.byRegion[r] = slices.DeleteFunc(slices.Clone(list), func(o *upstream) bool { return o == u })
	}
}

// ProbeCandidates returns none: the outcomes of requests say more than a health
// check, which would occupy a slot.
func (p *Picker) ProbeCandidates(time.Time) []azurestair.UpstreamID { return nil }

// Status appends the status of every known upstream to list and returns it.
func (p *Picker) Status(list []routing.Status, now time.Time) []routing.Status {
	for id, u := range p.byID {
		s := routing.Status{
			Upstream: id, Standing: routing.StandingServing, InFlight: azurestair.Slots(u.inFlight),
			Late: azurestair.Slots(len(u.lateUntil)), Latency: time.Duration(u.meanLatency), Ejections: u.health.ejections,
		}
		switch {
		case u.announcement.State != azurestair.StateServing || u.leaving:
			s.Standing = routing.StandingDraining
		case u.isPaused(now):
			s.Standing = routing.StandingPaused
		case u.health.isEjected(now):
			s.Standing = routing.StandingEjected
		case u.cold.isCold(now), u.cold.isSuspected(now):
			s.Standing = routing.StandingSlowStart
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b routing.Status) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}
