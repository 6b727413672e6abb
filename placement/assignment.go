package placement

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"azurestair.example/azurestair"
)

const (
	// maxOverMean bounds the planned demand of an upstream, as a multiple of the
	// mean of its region. With 1.25, the busiest upstream received 1.51 times
	// the mean in the model, with 1.15 it received 1.40 times the mean and 0.6%
	// more requests were cold.
	maxOverMean = 1.15
	// copyShare is the largest demand that one copy of an object may have, as a
	// multiple of the mean demand of an upstream. With larger copies, few
	// upstreams have room for a second object: with 0.6, the busiest upstream
	// received 1.52 times the mean in the model.
	copyShare = 0.3
	// overflowCandidates is how many further upstreams of the ranking are kept
	// for an object. It exceeds DefaultReach so that ejected and paused
	// upstreams can be skipped.
	overflowCandidates = 4
)

// assignment holds which upstreams of a region serve the published objects. All
// entries compute the same assignment from a snapshot; only the order of the
// copies differs.
type assignment struct {
	objects map[uint64]*placedObject
}

// placedObject is a published object with its upstreams.
type placedObject struct {
	// copies share the object, in the order of the rendezvous hashes of this
	// entry, the object and the upstreams. Without the object, an upstream that
	// many entries prefer would be preferred for all its objects.
	copies []*upstream
	// overflow holds the upstreams that follow in the ranking of the object.
	overflow []*upstream
	// next counts the picks. It selects the copy that a pick considers first.
	next uint
}

// assigner computes an assignment.
type assigner struct {
	self      uint64
	upstreams []*upstream
	// meanPerSlot is the demand per slot of the region, and copyLimit the
	// largest demand of a copy.
	meanPerSlot, copyLimit float64
	// load is the demand assigned to each upstream so far.
	load   []float64
	ranked []candidate
}

// newAssignment assigns the objects to the upstreams of a region. Objects with
// more demand come first. Each gets the next upstreams of its rendezvous
// ranking that have room, so that a change of one upstream or of one object
// moves few others. The picks of the objects in old are continued, so that the
// copies of rarely requested objects take turns.
func newAssignment(self uint64, upstreams []*upstream, demands []azurestair.ObjectDemand, old *assignment) *assignment {
	out := &assignment{objects: make(map[uint64]*placedObject, len(demands))}
	a := assigner{self: self, upstreams: upstreams, load: make([]float64, len(upstreams))}
	slots, total := 0.0, 0.0
	for _, u := range upstreams {
		slots += float64(u.announcement.Slots)
	}
	for _, d := range demands {
		total += float64(d.Demand)
	}
	if slots == 0 || total == 0 {
		return out
	}
	a.meanPerSlot = quantize(total / slots)
	a.copyLimit = copyShare * a.meanPerSlot * slots / float64(len(upstreams))
	sorted := slices.Clone(demands)
	slices.SortFunc(sorted, compareDemands)
	for _, d := range sorted {
		o := a.place(uint64(d.Object), float64(d.Demand))
		if old != nil {
			if before := old.objects[uint64(d.Object)]; before != nil {
				o.next = before.next
			}
		}
		out.objects[uint64(d.Object)] = o
	}
	return out
}

// compareDemands orders objects by the magnitude of their demand, largest
// first. Within a magnitude the order does not depend on the demand, so that a
// small change of it moves no other object.
func compareDemands(a, b azurestair.ObjectDemand) int {
	return cmp.Or(
		cmp.Compare(bits.Len64(uint64(b.Demand)), bits.Len64(uint64(a.Demand))), //nolint:gosec // demands are not negative
		cmp.Compare(a.Object, b.Object),
	)
}

// quantize rounds a positive number to a power of 2^(1/8), 9% apart, so
// that small changes of the total demand do not change the limits.
func quantize(v float64) float64 { return math.Exp2(math.Round(math.Log2(v)*8) / 8) }

// place assigns one object.
func (a *assigner) place(object uint64, demand float64) *placedObject {
	want := min(max(1, int(math.Ceil(demand/a.copyLimit))), len(a.upstreams))
	part := demand / float64(want)
	o := &placedObject{copies: make([]*upstream, 0, want)}
	a.ranked = rankAll(a.ranked[:0], a.upstreams, object)
	for len(a.ranked) > 0 && len(o.copies) < want {
		i := popBest(&a.ranked)
		u := a.upstreams[i]
		if a.load[i]+part <= maxOverMean*a.meanPerSlot*float64(u.announcement.Slots) {
			a.load[i] += part
			o.copies = append(o.copies, u)
		} else if len(o.overflow) < overflowCandidates {
			o.overflow = append(o.overflow, u)
		}
	}
	for len(o.copies) < want {
		a.addLeastLoaded(o, part)
	}
	for len(a.ranked) > 0 && len(o.overflow) < overflowCandidates {
		o.overflow = append(o.overflow, a.upstreams[popBest(&a.ranked)])
	}
	own := combineHashes(a.self, object)
	slices.SortFunc(o.copies, func(x, y *upstream) int {
		return cmp.Compare(combineHashes(own, y.seed), combineHashes(own, x.seed))
	})
	return o
}

// addLeastLoaded adds the upstream with the least demand per slot that has no
// copy of the object, for an object that does not fit.
func (a *assigner) addLeastLoaded(o *placedObject, part float64) {
	best, bestLoad := 0, math.Inf(1)
	for i, u := range a.upstreams {
		if load := a.load[i] / float64(u.announcement.Slots); load < bestLoad && !slices.Contains(o.copies, u) {
			best, bestLoad = i, load
		}
	}
	a.load[best] += part
	o.copies = append(o.copies, a.upstreams[best])
	o.overflow = slices.DeleteFunc(o.overflow, func(u *upstream) bool { return u == a.upstreams[best] })
}

// rankAll appends the upstreams with their hashes for an object to list and
// makes it a heap for popBest.
func rankAll(list []candidate, upstreams []*upstream, object uint64) []candidate {
	for i, u := range upstreams {
		list = append(list, candidate{index: i, hash: combineHashes(object, u.seed)})
	}
	for i := len(list)/2 - 1; i >= 0; i-- {
		siftDown(list, i)
	}
	return list
}

// popBest removes the upstream with the highest hash from a heap and returns
// its index. A pick needs
// only the first few of a ranking, so that sorting all would be wasteful.
func popBest(heap *[]candidate) int {
	list := *heap
	best := list[0].index
	last := len(list) - 1
	list[0] = list[last]
	*heap = list[:last]
	siftDown(list[:last], 0)
	return best
}

// siftDown restores the heap order below position i.
func siftDown(list []candidate, i int) {
	for {
		child := 2*i + 1
		if child >= len(list) {
			return
		}
		if child+1 < len(list) && list[child+1].hash > list[child].hash {
			child++
		}
		if list[i].hash >= list[child].hash {
			return
		}
		list[i], list[child] = list[child], list[i]
		i = child
	}
}
