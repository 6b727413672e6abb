package routing

import (
	"math/bits"
	"slices"

	"azurestair.example/azurestair"
)

// candidateSet is an unordered set of upstreams. Adding and removing take
// constant time.
type candidateSet struct {
	upstreams []*upstream
}

func (s *candidateSet) add(u *upstream) {
	u.set, u.setIndex = s, len(s.upstreams)
	s.upstreams = append(s.upstreams, u)
}

func (s *candidateSet) remove(u *upstream) {
	last := s.upstreams[len(s.upstreams)-1]
	s.upstreams[u.setIndex] = last
	last.setIndex = u.setIndex
	s.upstreams = s.upstreams[:len(s.upstreams)-1]
	u.set = nil
}

// tier groups the upstreams at the same distance from the entry: same failure
// domain, same region, or one remote region.
type tier struct {
	region azurestair.RegionName
	remote bool
	// free holds upstreams where this entry has an unused slot.
	free candidateSet
	// queueing holds upstreams where this entry uses its whole slot share but
	// may still queue requests.
	queueing candidateSet
	// inFlight counts the attempts in flight in this tier, late slots included.
	inFlight azurestair.Slots
}

// moveTo moves the upstream to set s; nil removes it from its current set.
func (u *upstream) moveTo(s *candidateSet) {
	if u.set == s {
		return
	}
	if u.set != nil {
		u.set.remove(u)
	}
	if s != nil {
		s.add(u)
	}
}

// draw returns a random upstream of s that is neither chosen nor in avoid, or
// nil. It starts at a random index and skips excluded upstreams. At most
// len(avoid)+1 are excluded, so len(avoid)+2 steps find an upstream if one is
// left.
func (p *Weighted) draw(s *candidateSet, chosen *upstream, avoid []azurestair.UpstreamID) *upstream {
	n := len(s.upstreams)
	if n == 0 {
		return nil
	}
	i := p.randomIndex(n)
	for range min(n, len(avoid)+2) {
		u := s.upstreams[i]
		if u != chosen && !slices.Contains(avoid, u.announcement.Upstream) {
			return u
		}
		i++
		if i == n {
			i = 0
		}
	}
	return nil
}

func (p *Weighted) randomIndex(n int) int {
	hi, _ := bits.Mul64(p.opts.Rand.Uint64(), uint64(n))
	return int(hi)
}

func (p *Weighted) randomBool(probability float64) bool {
	return float64(p.opts.Rand.Uint64()>>11) < probability*(1<<53)
}
