package routing

import (
	"math/bits"
	"slices"

	"azurestair.example/azurestair"
)

// candidateSet holds workers of one standing in no particular order. Adding
// and removing take constant time.
type candidateSet struct {
	workers []*worker
}

func (s *candidateSet) add(w *worker) {
	w.set, w.setPos = s, len(s.workers)
	s.workers = append(s.workers, w)
}

func (s *candidateSet) remove(w *worker) {
	last := s.workers[len(s.workers)-1]
	s.workers[w.setPos] = last
	last.setPos = w.setPos
	s.workers = s.workers[:len(s.workers)-1]
	w.set = nil
}

// tier groups the workers at one distance from the entry.
type tier struct {
	region azurestair.RegionName
	remote bool
	// free holds workers with an unused slot of this entry's share.
	free candidateSet
	// queueing holds workers whose share is in use and whose queue is not full.
	queueing candidateSet
	// inFlight counts the attempts in flight in this tier, late slots included.
	inFlight azurestair.Slots
}

// moveTo puts the worker into set s; nil takes it out of all sets.
func (w *worker) moveTo(s *candidateSet) {
	if w.set == s {
		return
	}
	if w.set != nil {
		w.set.remove(w)
	}
	if s != nil {
		s.add(w)
	}
}

// draw returns a random worker of s that is neither taken nor in avoid, or nil.
// It starts at a random worker and steps over those that are excluded; at
// most len(avoid)+1 are, so that the walk is short and finds one if any is left.
func (p *Weighted) draw(s *candidateSet, taken *worker, avoid []azurestair.UpstreamID) *worker {
	n := len(s.workers)
	if n == 0 {
		return nil
	}
	at := p.randomIndex(n)
	for range min(n, len(avoid)+2) {
		w := s.workers[at]
		if w != taken && !slices.Contains(avoid, w.info.Upstream) {
			return w
		}
		at++
		if at == n {
			at = 0
		}
	}
	return nil
}

func (p *Weighted) randomIndex(n int) int {
	hi, _ := bits.Mul64(p.opts.Rand.Uint64(), uint64(n))
	return int(hi)
}

func (p *Weighted) chance(c float64) bool {
	return float64(p.opts.Rand.Uint64()>>11) < c*(1<<53)
}
