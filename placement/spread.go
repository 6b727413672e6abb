package placement

import (
	"slices"
	"time"

	"azurestair.example/azurestair"
)

const (
	// copyWindow is how many copies of an object a pick compares. It bounds the
	// time of a pick, and the comparison of old reports with many others would
	// send the requests of all entries to the same upstream.
	copyWindow = 3
	// nearTie is the difference of load in slots up to which reports are
	// treated as equal: the report is as old as the last response, and other
	// entries act on it too.
	nearTie = 1.0
)

// spreader holds the assignments of the published objects and counts the
// requests for each object. It is nil without Defaults.SpreadObjects.
type spreader struct {
	assignments map[azurestair.RegionName]*assignment
	counter     objectCounter
	// inputs identifies what the assignments were computed from.
	inputs uint64
	// plannedPicks counts the picks of published objects, rankedPicks all
	// others.
	plannedPicks, rankedPicks uint64
}

// SpreadStats describes how a picker, or several, place published objects.
type SpreadStats struct {
	// Objects is the number of published objects, Copies the number of
	// upstreams that serve them. An upstream counts for each of its objects.
	Objects, Copies int
	// PlannedPicks counts the picks of published objects, RankedPicks all
	// others.
	PlannedPicks, RankedPicks uint64
}

// Add adds the stats of another picker.
func (s *SpreadStats) Add(o SpreadStats) {
	s.Objects += o.Objects
	s.Copies += o.Copies
	s.PlannedPicks += o.PlannedPicks
	s.RankedPicks += o.RankedPicks
}

// SpreadStats returns the zero value without Defaults.SpreadObjects.
func (p *Picker) SpreadStats() SpreadStats {
	if p.spread == nil {
		return SpreadStats{}
	}
	s := SpreadStats{PlannedPicks: p.spread.plannedPicks, RankedPicks: p.spread.rankedPicks}
	for _, a := range p.spread.assignments {
		s.Objects += len(a.objects)
		for _, o := range a.objects {
			s.Copies += len(o.copies)
		}
	}
	return s
}

// updateSpread computes the assignments of a snapshot whose usable upstreams
// are listed by region.
func (p *Picker) updateSpread(s *azurestair.Snapshot) {
	if !s.Config.Defaults.SpreadObjects || s.Config.LeasesBudgets() {
		p.spread = nil
		return
	}
	if p.spread == nil {
		p.spread = &spreader{}
	}
	inputs := p.spreadInputs(s)
	if p.spread.assignments != nil && inputs == p.spread.inputs {
		return
	}
	p.spread.inputs = inputs
	self, next := hashOf(string(p.opts.Self)), map[azurestair.RegionName]*assignment{}
	for region, list := range p.byRegion {
		if demands := s.ObjectsOf(p.opts.Service, region); len(demands) > 0 {
			next[region] = newAssignment(self, list, demands, p.spread.assignments[region])
		}
	}
	p.spread.assignments = next
}

// spreadInputs returns a hash of the usable upstreams and the demands. Most
// snapshots change only reported loads.
func (p *Picker) spreadInputs(s *azurestair.Snapshot) uint64 {
	sum := uint64(0)
	for region, list := range p.byRegion {
		r := hashOf(string(region))
		for _, u := range list {
			a := u.announcement
			sum += combineHashes(r, combineHashes(u.seed, combineHashes(uint64(a.Incarnation), uint64(a.Slots)))) //nolint:gosec // slots are positive
		}
		for _, d := range s.ObjectsOf(p.opts.Service, region) {
			sum += combineHashes(r, combineHashes(uint64(d.Object), uint64(d.Demand))) //nolint:gosec // demands are not negative
		}
	}
	return sum
}

// placed returns the assignment of an object for a pick in a region, or nil if
// its demand is not published.
func (s *spreader) placed(region azurestair.RegionName, object uint64) *placedObject {
	if s == nil {
		return nil
	}
	if a := s.assignments[region]; a != nil {
		if o := a.objects[object]; o != nil {
			s.plannedPicks++
			return o
		}
	}
	s.rankedPicks++
	return nil
}

// choosePlaced returns an upstream for a published object, or nil: the least
// loaded of the next copies in turn, or one of the overflow upstreams if all
// copies are full. Upstreams in avoid are used only if there is no other.
func (p *Picker) choosePlaced(o *placedObject, work azurestair.RequestInfo, avoid []azurestair.UpstreamID, now time.Time) *upstream {
	limit := maxLoad[work.Rank]
	n := uint(len(o.copies))
	first := o.next % n
	o.next++
	var best, avoided *upstream
	var bestBusy float64
	compared := 0
	for i := range n {
		u := o.copies[(first+i)%n]
		if !p.isEligible(u, now) {
			continue
		}
		load := u.load(now)
		if load >= limit {
			continue
		}
		if slices.Contains(avoid, u.announcement.Upstream) {
			avoided = u
			continue
		}
		busy := p.busySlots(u, load)
		if best == nil || busy < bestBusy-nearTie {
			best, bestBusy = u, busy
		}
		compared++
		if compared >= copyWindow && best.load(now) < spillPenalty {
			return best
		}
	}
	return p.spill(o, best, avoided, avoid, limit, now)
}

// busySlots returns the slots of an upstream that are in use when the next
// request is sent to it, weighted by how slow it is.
func (p *Picker) busySlots(u *upstream, load float64) float64 {
	return (load*float64(u.announcement.Slots) + 1) * p.slowness(u)
}

// spill returns the upstream with the lowest cost among best, which may be nil,
// and the next Reach upstreams of the ranking.
func (p *Picker) spill(o *placedObject, best, avoided *upstream, avoid []azurestair.UpstreamID, limit float64, now time.Time) *upstream {
	var bestCost float64
	if best != nil {
		bestCost = p.cost(best, best.load(now), 1)
	}
	position := p.opts.Copies
	for _, u := range o.overflow {
		if !p.isEligible(u, now) {
			continue
		}
		position++
		load := u.load(now)
		switch {
		case load >= limit:
		case slices.Contains(avoid, u.announcement.Upstream):
			if avoided == nil {
				avoided = u
			}
		default:
			if cost := p.cost(u, load, position); best == nil || cost < bestCost {
				best, bestCost = u, cost
			}
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

// isEligible reports whether a request may be sent to the upstream now, apart
// from its load. An upstream that has left since the snapshot is not.
func (p *Picker) isEligible(u *upstream, now time.Time) bool {
	u.releaseExpired(now)
	return !u.removed && !u.health.isEjected(now) && !u.isPaused(now) && u.cold.allows(now)
}
