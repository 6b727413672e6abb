package routing

import (
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// Weighted samples candidates and compares them by this entry's requests in
// flight, measured latency and, with less weight, load reports. It implements
// azurestair.Picker.
type Weighted struct {
	opts     Options
	defaults azurestair.Defaults

	snapshot    *azurestair.Snapshot
	updatedAt   time.Time
	initialized bool

	byID map[azurestair.UpstreamID]*upstream
	// upstreams is in order of first appearance.
	upstreams   []*upstream
	listedCount int
	timers      timerHeap

	domainTier  tier
	regionTier  tier
	remoteTiers []*tier
	// nextRemote rotates the remote region that is tried first.
	nextRemote int

	// leasedSlots is what the entry has leased in each region; totalSlots
	// counts the slots of all upstreams there that are not drained.
	leasedSlots map[azurestair.RegionName]azurestair.Slots
	totalSlots  map[azurestair.RegionName]azurestair.Slots

	meanLatency  float64
	failRate     float64
	ejectedCount int

	probeBudget probeBudget
	probeCursor int
	probeList   []azurestair.UpstreamID
}

var _ azurestair.Picker = (*Weighted)(nil)

// NewWeighted returns a picker without upstreams.
func NewWeighted(o Options) *Weighted {
	return &Weighted{
		opts:        o.withDefaults(),
		defaults:    azurestair.Defaults{}.WithDefaults(),
		byID:        map[azurestair.UpstreamID]*upstream{},
		leasedSlots: map[azurestair.RegionName]azurestair.Slots{},
		totalSlots:  map[azurestair.RegionName]azurestair.Slots{},
	}
}

// Pick chooses an upstream, if possible none of avoid, and counts an attempt in
// flight. The error is a *PickError.
func (p *Weighted) Pick(work azurestair.RequestInfo, avoid []azurestair.UpstreamID, now time.Time) (azurestair.Choice, error) {
	p.advance(now)
	r := pickRequest{avoid: avoid, idempotent: work.Idempotent, homes: work.HomeRegions, now: now}
	u, err := p.choose(r)
	if err != nil && len(avoid) > 0 {
		r.avoid = nil
		u, err = p.choose(r)
	}
	if err != nil {
		return azurestair.Choice{}, err
	}
	trial := p.startAttempt(u, now)
	return azurestair.Choice{
		Incarnation: u.announcement.Incarnation,
		Trial:       trial,
		Upstream:    u.announcement.Upstream,
		Addr:        u.announcement.Addr,
		Region:      u.announcement.Region,
		CrossRegion: u.tier.remote,
	}, nil
}

// pickRequest holds the inputs of one choice.
type pickRequest struct {
	avoid      []azurestair.UpstreamID
	idempotent bool
	// homes lists the only regions that may be chosen; empty means all.
	homes []azurestair.RegionName
	now   time.Time
	// ignoreWeight accepts upstreams of reduced weight when no other is left.
	ignoreWeight bool
}

// allows reports whether an upstream in the region may be chosen.
func (r pickRequest) allows(region azurestair.RegionName) bool {
	return len(r.homes) == 0 || slices.Contains(r.homes, region)
}

func (p *Weighted) choose(r pickRequest) (*upstream, error) {
	if u := p.chooseLocal(r); u != nil {
		return u, nil
	}
	r.ignoreWeight = true
	if u := p.chooseLocal(r); u != nil {
		return u, nil
	}
	return p.chooseRemote(r)
}

// candidate is a sampled upstream with its score; lower is better. The zero
// value means none.
type candidate struct {
	upstream *upstream
	score    float64
}

// chooseLocal considers upstreams that would queue the request only if no free
// candidate was found or the best one is slow.
func (p *Weighted) chooseLocal(r pickRequest) *upstream {
	if !r.allows(p.opts.Region) {
		return nil
	}
	if p.opts.HomeBudget != nil && !p.opts.HomeBudget(p.opts.Region, p.domainTier.inFlight+p.regionTier.inFlight, r.now) {
		return nil
	}
	free := preferNearer(p.bestOf(&p.domainTier.free, r), p.bestOf(&p.regionTier.free, r))
	if free.upstream != nil && p.penalizedLatency(free.upstream, r.now) <= slowFactor*max(p.meanLatency, float64(minLatency)) {
		return free.upstream
	}
	queued := preferNearer(p.bestOf(&p.domainTier.queueing, r), p.bestOf(&p.regionTier.queueing, r))
	return preferNearer(free, queued).upstream
}

// preferNearer returns a, the nearer candidate, unless it is missing or its
// score is far worse than b's.
func preferNearer(a, b candidate) candidate {
	if a.upstream == nil || b.upstream != nil && a.score > localityFactor*b.score {
		return b
	}
	return a
}

func (p *Weighted) chooseRemote(r pickRequest) (*upstream, error) {
	capped := false
	for i := range p.remoteTiers {
		t := p.remoteTiers[(p.nextRemote+i)%len(p.remoteTiers)]
		if !r.allows(t.region) {
			continue
		}
		c := p.bestOf(&t.free, r)
		if c.upstream == nil {
			c = p.bestOf(&t.queueing, r)
		}
		if c.upstream == nil {
			continue
		}
		if p.opts.ShiftBudget != nil && p.opts.ShiftBudget(t.region, t.inFlight, r.now) {
			p.nextRemote++
			return c.upstream, nil
		}
		capped = true
	}
	if capped {
		return nil, errShiftCap
	}
	return nil, errNoUpstream
}

// maxRedraws limits how often a choice draws again after rejecting an upstream
// because of its weight.
const maxRedraws = 3

// bestOf compares sampled candidates of one set. Unless ignoreWeight is set, a
// candidate is accepted with the probability that its weight gives it. Once one
// is accepted, rejected draws are not repeated, and a small set permits fewer
// redraws; otherwise upstreams of reduced weight would be accepted too often.
func (p *Weighted) bestOf(s *candidateSet, r pickRequest) candidate {
	var best candidate
	samples := 0
	redraws := min(maxRedraws, len(s.upstreams)-1)
	for samples < p.opts.Samples {
		u := p.draw(s, best.upstream, r.avoid)
		if u == nil {
			break
		}
		accepted := p.accepts(u, r)
		if !accepted && best.upstream == nil && redraws > 0 {
			redraws--
			continue
		}
		samples++
		if !accepted {
			continue
		}
		if score := p.score(u, r.now); best.upstream == nil || score < best.score {
			best = candidate{upstream: u, score: score}
		}
	}
	return best
}

func (p *Weighted) accepts(u *upstream, r pickRequest) bool {
	if !u.health.allows(r) {
		return false
	}
	return r.ignoreWeight || u.acceptProbability >= 1 || p.randomBool(u.acceptProbability)
}

// startAttempt counts an attempt and reports whether it is a trial.
func (p *Weighted) startAttempt(u *upstream, now time.Time) bool {
	u.inFlight++
	u.tier.inFlight++
	trial := u.health.state == halfOpen
	u.health.trialInFlight = trial
	p.reclassify(u, now)
	return trial
}

// Done ends an attempt. After AttemptTimeout the slot stays counted until
// Options.LateSlotTTL has passed, because the upstream may still be working.
func (p *Weighted) Done(c azurestair.Choice, r azurestair.AttemptResult, latency time.Duration, now time.Time) {
	p.advance(now)
	u := p.byID[c.Upstream]
	if u == nil || p.endEarlier(u, c) || u.inFlight <= len(u.lateUntil) {
		return
	}
	if r == azurestair.AttemptTimeout {
		u.lateUntil = append(u.lateUntil, now.Add(p.opts.LateSlotTTL))
	} else {
		p.releaseSlot(u)
	}
	p.updateStats(u, r, latency, now)
	p.recordOutcome(u, c.Trial, !isFailure(r), now)
	p.reclassify(u, now)
}

// endEarlier ends an attempt to an earlier process of the upstream and returns
// true, or returns false if the attempt is to the current one. Its outcome says
// nothing about the current process.
func (p *Weighted) endEarlier(u *upstream, c azurestair.Choice) bool {
	if c.Incarnation == u.announcement.Incarnation {
		return false
	}
	if u.earlier > 0 {
		u.earlier--
		u.tier.inFlight--
	}
	return true
}

func (p *Weighted) releaseSlot(u *upstream) {
	u.inFlight--
	u.tier.inFlight--
}

// updateStats updates the latency statistics. The duration of a failed attempt
// is not a latency sample, except that a timeout is a lower bound.
func (p *Weighted) updateStats(u *upstream, r azurestair.AttemptResult, latency time.Duration, now time.Time) {
	v := float64(max(latency, 0))
	switch r {
	case azurestair.AttemptDone:
		u.stats.addLatency(v, now)
		p.updateMeanLatency(u.stats.latency)
	case azurestair.AttemptTimeout:
		u.stats.addLatency(max(v, u.stats.latency), now)
		u.stats.addFailure(now)
	default:
		u.stats.addFailure(now)
	}
}

// Abandon ends an attempt whose outcome says nothing about the upstream: it was
// not sent, or another attempt of the request finished first. If it was sent,
// the slot stays counted as after a timeout, and the elapsed time is used as a
// lower bound of the latency; otherwise hedging would hide slow upstreams.
func (p *Weighted) Abandon(c azurestair.Choice, sent bool, elapsed time.Duration, now time.Time) {
	p.advance(now)
	u := p.byID[c.Upstream]
	if u == nil || p.endEarlier(u, c) || u.inFlight <= len(u.lateUntil) {
		return
	}
	if sent {
		u.lateUntil = append(u.lateUntil, now.Add(p.opts.LateSlotTTL))
		if v := float64(elapsed); v > u.stats.latency {
			u.stats.addLatency(v, now)
		}
	} else {
		p.releaseSlot(u)
	}
	if c.Trial {
		u.health.trialInFlight = false
	}
	p.reclassify(u, now)
}

// CrossRegionInFlight returns how many attempts this entry has in flight into
// another region, late slots included.
func (p *Weighted) CrossRegionInFlight(region azurestair.RegionName) azurestair.Slots {
	for _, t := range p.remoteTiers {
		if t.region == region {
			return t.inFlight
		}
	}
	return 0
}

// InFlight returns the number of attempts counted at an upstream, late slots
// included.
func (p *Weighted) InFlight(id azurestair.UpstreamID) azurestair.Slots {
	if u := p.byID[id]; u != nil {
		return azurestair.Slots(u.inFlight)
	}
	return 0
}
