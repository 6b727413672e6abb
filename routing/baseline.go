package routing

import (
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// roster is what the baseline pickers share: the serving, not drained upstreams
// of the own region, without any further mechanism.
type roster struct {
	opts    Options
	members []member
}

type member struct {
	info     azurestair.Announcement
	inFlight int
}

func (r *roster) update(s *azurestair.Snapshot) {
	old := r.members
	r.members = nil
	for _, u := range s.Upstreams {
		a := u.Announcement
		if !r.opts.serves(a) || !r.opts.isHome(a.Region) || a.State != azurestair.StateServing ||
			s.IsUpstreamDrained(a) {
			continue
		}
		m := member{info: a}
		for i := range old {
			if old[i].info.Upstream == a.Upstream {
				m.inFlight = old[i].inFlight
			}
		}
		r.members = append(r.members, m)
	}
}

func (r *roster) take(i int) azurestair.Choice {
	m := &r.members[i]
	m.inFlight++
	return azurestair.Choice{Upstream: m.info.Upstream, Addr: m.info.Addr, Region: m.info.Region}
}

func (r *roster) done(c azurestair.Choice) {
	for i := range r.members {
		if m := &r.members[i]; m.info.Upstream == c.Upstream && m.inFlight > 0 {
			m.inFlight--
		}
	}
}

// RoundRobin chooses the upstreams in turn. It is a baseline for comparison.
type RoundRobin struct {
	roster
	next int
}

// NewRoundRobin returns a picker without upstreams.
func NewRoundRobin(o Options) *RoundRobin {
	return &RoundRobin{roster: roster{opts: o.withDefaults()}}
}

// Update takes over the upstreams of the service from a snapshot.
func (p *RoundRobin) Update(s *azurestair.Snapshot, _ time.Time) { p.update(s) }

// Pick chooses the next upstream that is not in avoid.
func (p *RoundRobin) Pick(_ azurestair.Work, avoid []azurestair.UpstreamID, _ time.Time) (azurestair.Choice, error) {
	n := len(p.members)
	if n == 0 {
		return azurestair.Choice{}, errNoUpstream
	}
	for range n {
		p.next = (p.next + 1) % n
		if !slices.Contains(avoid, p.members[p.next].info.Upstream) {
			break
		}
	}
	return p.take(p.next), nil
}

// Done ends an attempt.
func (p *RoundRobin) Done(c azurestair.Choice, _ azurestair.AttemptResult, _ time.Duration, _ time.Time) {
	p.done(c)
}

// LeastLoaded chooses the upstream with the least reported load plus own
// requests in flight, per slot. It is a baseline for comparison.
type LeastLoaded struct {
	roster
}

// NewLeastLoaded returns a picker without upstreams.
func NewLeastLoaded(o Options) *LeastLoaded {
	return &LeastLoaded{roster: roster{opts: o.withDefaults()}}
}

// Update takes over the upstreams of the service from a snapshot.
func (p *LeastLoaded) Update(s *azurestair.Snapshot, _ time.Time) { p.update(s) }

// Pick chooses the least loaded upstream that is not in avoid.
func (p *LeastLoaded) Pick(_ azurestair.Work, avoid []azurestair.UpstreamID, _ time.Time) (azurestair.Choice, error) {
	best, bestLoad := -1, 0.0
	for i := range p.members {
		m := &p.members[i]
		if slices.Contains(avoid, m.info.Upstream) && len(avoid) < len(p.members) {
			continue
		}
		load := reportedLoad(m.info) + float64(m.inFlight)/float64(max(m.info.Slots, 1))
		if best < 0 || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	if best < 0 {
		return azurestair.Choice{}, errNoUpstream
	}
	return p.take(best), nil
}

// Done ends an attempt.
func (p *LeastLoaded) Done(c azurestair.Choice, _ azurestair.AttemptResult, _ time.Duration, _ time.Time) {
	p.done(c)
}

var (
	_ azurestair.Picker = (*RoundRobin)(nil)
	_ azurestair.Picker = (*LeastLoaded)(nil)
)
