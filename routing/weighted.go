package routing

import (
	"time"

	"azurestair.example/azurestair"
)

// Weighted chooses among sampled candidates by own requests in flight, own
// latency and, as a weak hint, load reports. It implements azurestair.Picker.
type Weighted struct {
	opts     Options
	defaults azurestair.Defaults

	snapshot  *azurestair.Snapshot
	contactAt time.Time
	started   bool

	workers map[azurestair.UpstreamID]*worker
	// order holds the workers in the order of their first appearance.
	order  []*worker
	listed int
	agenda agenda

	domain tier
	region tier
	remote []*tier
	// remoteAt rotates the region that is asked first.
	remoteAt int

	// leased and total are the entry's lease and all usable slots by region.
	leased map[azurestair.RegionName]azurestair.Slots
	total  map[azurestair.RegionName]azurestair.Slots

	mean     float64
	failRate float64
	ejected  int

	probes    probeBudget
	probeAt   int
	probeList []azurestair.UpstreamID
}

var _ azurestair.Picker = (*Weighted)(nil)

// NewWeighted returns a picker without upstreams.
func NewWeighted(o Options) *Weighted {
	return &Weighted{
		opts:     o.withDefaults(),
		defaults: azurestair.Defaults{}.WithDefaults(),
		workers:  map[azurestair.UpstreamID]*worker{},
		leased:   map[azurestair.RegionName]azurestair.Slots{},
		total:    map[azurestair.RegionName]azurestair.Slots{},
	}
}

// Pick chooses an upstream, preferably none of avoid, and counts an attempt in
// flight. The error is a *PickError.
func (p *Weighted) Pick(work azurestair.Work, avoid []azurestair.UpstreamID, now time.Time) (azurestair.Choice, error) {
	p.advance(now)
	r := request{avoid: avoid, idempotent: work.Idempotent, now: now}
	w, err := p.choose(r)
	if err != nil && len(avoid) > 0 {
		r.avoid = nil
		w, err = p.choose(r)
	}
	if err != nil {
		return azurestair.Choice{}, err
	}
	p.take(w, now)
	return azurestair.Choice{
		Upstream: w.info.Upstream,
		Addr:     w.info.Addr,
		Region:   w.info.Region,
		Shift:    w.tier.remote,
	}, nil
}

// request is what one choice is made by.
type request struct {
	avoid      []azurestair.UpstreamID
	idempotent bool
	now        time.Time
	// force takes workers of reduced weight when no other is left.
	force bool
}

func (p *Weighted) choose(r request) (*worker, error) {
	if w := p.chooseHome(r); w != nil {
		return w, nil
	}
	r.force = true
	if w := p.chooseHome(r); w != nil {
		return w, nil
	}
	return p.chooseRemote(r)
}

// candidate is a sampled worker with its score; lower is better. The zero
// value is none.
type candidate struct {
	worker *worker
	score  float64
}

// chooseHome compares the best free candidate with candidates that would queue
// only if there is none or it looks slow.
func (p *Weighted) chooseHome(r request) *worker {
	if p.opts.Home != nil && !p.opts.Home(p.opts.Region, p.domain.inFlight+p.region.inFlight, r.now) {
		return nil
	}
	free := nearer(p.best(&p.domain.free, r), p.best(&p.region.free, r))
	if free.worker != nil && p.cost(free.worker, r.now) <= suspectFactor*max(p.mean, float64(minLatency)) {
		return free.worker
	}
	queued := nearer(p.best(&p.domain.queueing, r), p.best(&p.region.queueing, r))
	return nearer(free, queued).worker
}

// nearer returns a unless it is missing or its score is far worse than b's.
func nearer(a, b candidate) candidate {
	if a.worker == nil || b.worker != nil && a.score > nearFactor*b.score {
		return b
	}
	return a
}

func (p *Weighted) chooseRemote(r request) (*worker, error) {
	capped := false
	for i := range p.remote {
		t := p.remote[(p.remoteAt+i)%len(p.remote)]
		c := p.best(&t.free, r)
		if c.worker == nil {
			c = p.best(&t.queueing, r)
		}
		if c.worker == nil {
			continue
		}
		if p.opts.Shift != nil && p.opts.Shift(t.region, t.inFlight, r.now) {
			p.remoteAt++
			return c.worker, nil
		}
		capped = true
	}
	if capped {
		return nil, errShiftCap
	}
	return nil, errNoUpstream
}

// maxRedraws bounds how often a choice draws again because the drawn worker's
// weight turned it down.
const maxRedraws = 3

// best compares sampled candidates of one set. Unless forced, a candidate is
// taken only with the chance that its weight gives it. Once one is taken, a
// draw that is turned down is not repeated, and a small set is not drawn from
// again and again: both would undo the weight.
func (p *Weighted) best(s *candidateSet, r request) candidate {
	var best candidate
	samples := 0
	redraws := min(maxRedraws, len(s.workers)-1)
	for samples < p.opts.Samples {
		w := p.draw(s, best.worker, r.avoid)
		if w == nil {
			break
		}
		accepted := p.accepts(w, r)
		if !accepted && best.worker == nil && redraws > 0 {
			redraws--
			continue
		}
		samples++
		if !accepted {
			continue
		}
		if score := p.score(w, r.now); best.worker == nil || score < best.score {
			best = candidate{worker: w, score: score}
		}
	}
	return best
}

func (p *Weighted) accepts(w *worker, r request) bool {
	if !w.health.mayTry(r) {
		return false
	}
	return r.force || w.accept >= 1 || p.chance(w.accept)
}

func (p *Weighted) take(w *worker, now time.Time) {
	w.inFlight++
	w.tier.inFlight++
	if w.health.state == halfOpen {
		w.health.trial = true
	}
	p.settle(w, now)
}

// Done ends an attempt. After AttemptTimeout the slot stays counted until
// Options.LateSlot has passed, because the upstream may still be working.
func (p *Weighted) Done(c azurestair.Choice, r azurestair.AttemptResult, latency time.Duration, now time.Time) {
	p.advance(now)
	w := p.workers[c.Upstream]
	if w == nil || w.inFlight <= len(w.lateUntil) {
		return
	}
	if r == azurestair.AttemptTimeout {
		w.lateUntil = append(w.lateUntil, now.Add(p.opts.LateSlot))
	} else {
		p.release(w)
	}
	p.learn(w, r, latency, now)
	p.judge(w, !isFailure(r), now)
	p.settle(w, now)
}

func (p *Weighted) release(w *worker) {
	w.inFlight--
	w.tier.inFlight--
}

// learn updates the latency statistics. A failure's own latency says nothing,
// except that a timeout's is a lower bound.
func (p *Weighted) learn(w *worker, r azurestair.AttemptResult, latency time.Duration, now time.Time) {
	v := float64(max(latency, 0))
	switch r {
	case azurestair.AttemptDone:
		w.record.sample(v, now)
		p.observeMean(w.record.latency)
	case azurestair.AttemptTimeout:
		w.record.sample(max(v, w.record.latency), now)
		w.record.fail(now)
	default:
		w.record.fail(now)
	}
}

// Abandon ends an attempt whose outcome says nothing about the upstream: it was
// not sent, or another attempt of the request answered first. If it was sent,
// the slot stays counted as after a timeout, and the time that it took so far
// is a lower bound of the latency; otherwise hedging would hide slow workers.
func (p *Weighted) Abandon(c azurestair.Choice, sent bool, elapsed time.Duration, now time.Time) {
	p.advance(now)
	w := p.workers[c.Upstream]
	if w == nil || w.inFlight <= len(w.lateUntil) {
		return
	}
	if sent {
		w.lateUntil = append(w.lateUntil, now.Add(p.opts.LateSlot))
		if v := float64(elapsed); v > w.record.latency {
			w.record.sample(v, now)
		}
	} else {
		p.release(w)
	}
	w.health.trial = false
	p.settle(w, now)
}

// Answered frees the slot of one timed-out attempt whose answer arrived late
// or whose connection the upstream closed.
func (p *Weighted) Answered(c azurestair.Choice, now time.Time) {
	p.advance(now)
	w := p.workers[c.Upstream]
	if w == nil || len(w.lateUntil) == 0 {
		return
	}
	p.releaseLate(w, 1)
	p.settle(w, now)
}

// Shifted returns how many attempts are in flight from this entry into another
// region, late slots included.
func (p *Weighted) Shifted(region azurestair.RegionName) azurestair.Slots {
	for _, t := range p.remote {
		if t.region == region {
			return t.inFlight
		}
	}
	return 0
}

// InFlight returns how many attempts are counted at an upstream, late slots included.
func (p *Weighted) InFlight(id azurestair.UpstreamID) azurestair.Slots {
	if w := p.workers[id]; w != nil {
		return azurestair.Slots(w.inFlight)
	}
	return 0
}
