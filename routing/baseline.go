package routing

import (
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// baseline is the part that the baseline pickers share. It tracks the upstreams
// of the local region that are serving and not drained. It has no health checks
// and no ejection.
type baseline struct {
	opts      Options
	upstreams []baselineUpstream
}

type baselineUpstream struct {
	announcement azurestair.Announcement
	inFlight     int
}

func (b *baseline) update(s *azurestair.Snapshot) {
	old := b.upstreams
	b.upstreams = nil
	for _, info := range s.Upstreams {
		a := info.Announcement
		if !b.opts.serves(a) || !b.opts.isLocal(a.Region) || a.State != azurestair.StateServing ||
			s.IsUpstreamDrained(a) {
			continue
		}
		u := baselineUpstream{announcement: a}
		for i := range old {
			if old[i].announcement.Upstream == a.Upstream {
				u.inFlight = old[i].inFlight
			}
		}
		b.upstreams = append(b.upstreams, u)
	}
}

// startAttempt counts an attempt in flight at upstream i.
func (b *baseline) startAttempt(i int) azurestair.Choice {
	u := &b.upstreams[i]
	u.inFlight++
	return azurestair.Choice{Upstream: u.announcement.Upstream, Addr: u.announcement.Addr, Region: u.announcement.Region}
}

func (b *baseline) endAttempt(c azurestair.Choice) {
	for i := range b.upstreams {
		if u := &b.upstreams[i]; u.announcement.Upstream == c.Upstream && u.inFlight > 0 {
			u.inFlight--
		}
	}
}

// RoundRobin chooses the upstreams in turn. It serves as a baseline for
// comparison.
type RoundRobin struct {
	baseline
	next int
}

// NewRoundRobin returns a picker without upstreams.
func NewRoundRobin(o Options) *RoundRobin {
	return &RoundRobin{baseline: baseline{opts: o.withDefaults()}}
}

// Update applies the upstreams of the service in a snapshot.
func (p *RoundRobin) Update(s *azurestair.Snapshot, _ time.Time) { p.update(s) }

// Pick chooses the next upstream that is not in avoid.
func (p *RoundRobin) Pick(_ azurestair.RequestInfo, avoid []azurestair.UpstreamID, _ time.Time) (azurestair.Choice, error) {
	n := len(p.upstreams)
	if n == 0 {
		return azurestair.Choice{}, errNoUpstream
	}
	for range n {
		p.next = (p.next + 1) % n
		if !slices.Contains(avoid, p.upstreams[p.next].announcement.Upstream) {
			break
		}
	}
	return p.startAttempt(p.next), nil
}

// Done ends an attempt.
func (p *RoundRobin) Done(c azurestair.Choice, _ azurestair.AttemptResult, _ time.Duration, _ time.Time) {
	p.endAttempt(c)
}

// LeastLoaded chooses the upstream with the least reported load plus own
// requests in flight, per slot. It is a baseline for comparison.
type LeastLoaded struct {
	baseline
}

// NewLeastLoaded returns a picker without upstreams.
func NewLeastLoaded(o Options) *LeastLoaded {
	return &LeastLoaded{baseline: baseline{opts: o.withDefaults()}}
}

// Update applies the upstreams of the service in a snapshot.
func (p *LeastLoaded) Update(s *azurestair.Snapshot, _ time.Time) { p.update(s) }

// Pick chooses the least loaded upstream that is not in avoid.
func (p *LeastLoaded) Pick(_ azurestair.RequestInfo, avoid []azurestair.UpstreamID, _ time.Time) (azurestair.Choice, error) {
	best, bestLoad := -1, 0.0
	for i := range p.upstreams {
		u := &p.upstreams[i]
		if slices.Contains(avoid, u.announcement.Upstream) && len(avoid) < len(p.upstreams) {
			continue
		}
		load := reportedLoad(u.announcement) + float64(u.inFlight)/float64(max(u.announcement.Slots, 1))
		if best < 0 || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	if best < 0 {
		return azurestair.Choice{}, errNoUpstream
	}
	return p.startAttempt(best), nil
}

// Done ends an attempt.
func (p *LeastLoaded) Done(c azurestair.Choice, _ azurestair.AttemptResult, _ time.Duration, _ time.Time) {
	p.endAttempt(c)
}

var (
	_ azurestair.Picker = (*RoundRobin)(nil)
	_ azurestair.Picker = (*LeastLoaded)(nil)
)
