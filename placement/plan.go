package placement

import (
	"cmp"
	"slices"

	"azurestair.example/azurestair"
)

// plan says in which regions the objects of the callers in this region are
// placed. It is immutable.
type plan struct {
	regions []plannedRegion
}

type plannedRegion struct {
	name azurestair.RegionName
	seed uint64
	// slots is the number of slots of usable upstreams.
	slots float64
	// share is the fraction of the objects that is placed here.
	share float64
}

// newPlan adapts the leader's plan for the callers of home to the slots that
// are usable now: a region that cannot carry its load gives up the surplus to
// regions with spare capacity. Without a plan, the region keeps its objects.
func newPlan(home azurestair.RegionName, slots map[azurestair.RegionName]float64, plans []azurestair.RegionPlan) *plan {
	p := &plan{}
	shares := sharesOf(home, plans)
	spare, totalSpare, unplaced := map[azurestair.RegionName]float64{}, 0.0, 1.0
	for r, n := range slots {
		load, limit := regionLoad(r, n, plans)
		if load > limit {
			shares[r] *= limit / load
		}
		spare[r] = max(0, limit-load)
		totalSpare += spare[r]
		unplaced -= shares[r]
	}
	for r, n := range slots {
		share := shares[r]
		if totalSpare > 0 {
			share += max(0, unplaced) * spare[r] / totalSpare
		}
		p.regions = append(p.regions, plannedRegion{name: r, seed: hashOf("region/" + string(r)), slots: n, share: share})
	}
	slices.SortFunc(p.regions, func(a, b plannedRegion) int { return cmp.Compare(a.name, b.name) })
	return p
}

// regionLoad returns how many slots of a region the plans use and how many of
// the usable slots they may use, or zero for both if the load is not known. The
// load is capped at the limit that applied to the planned slots: a load that
// exceeds it without any loss of slots is left to the leader to move.
func regionLoad(r azurestair.RegionName, usable float64, plans []azurestair.RegionPlan) (load, limit float64) {
	for _, p := range plans {
		if p.Region == r {
			return min(float64(p.PlannedSlots), p.TargetUtilization*float64(p.Capacity)), p.TargetUtilization * usable
		}
	}
	return 0, 0
}

func sharesOf(home azurestair.RegionName, plans []azurestair.RegionPlan) map[azurestair.RegionName]float64 {
	shares := map[azurestair.RegionName]float64{}
	for _, p := range plans {
		if p.Region == home {
			for _, s := range p.Shares {
				shares[s.Region] = s.Share
			}
			return shares
		}
	}
	shares[home] = 1
	return shares
}

// choose returns the region for an object among the allowed ones. Regions
// without a share are used only if no allowed region has one.
func (p *plan) choose(object uint64, allowed func(azurestair.RegionName) bool) (azurestair.RegionName, bool) {
	best, ok := p.highestScore(object, allowed, func(r plannedRegion) float64 { return r.share })
	if !ok {
		best, ok = p.highestScore(object, allowed, func(r plannedRegion) float64 { return r.slots })
	}
	return best, ok
}

// highestScore returns the allowed region with the highest rendezvous score
// under the given weights.
func (p *plan) highestScore(object uint64, allowed func(azurestair.RegionName) bool, weight func(plannedRegion) float64) (azurestair.RegionName, bool) {
	var best azurestair.RegionName
	bestScore := 0.0
	for _, r := range p.regions {
		if !allowed(r.name) {
			continue
		}
		if score := rendezvousScore(combineHashes(object, r.seed), weight(r)); score > bestScore {
			best, bestScore = r.name, score
		}
	}
	return best, bestScore > 0
}
