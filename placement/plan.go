package placement

import (
	"cmp"
	"slices"

	"azurestair.example/azurestair"
)

// plan says in which regions the objects of this region's callers are placed. It
// is immutable.
type plan struct {
	regions []regionPlan
}

type regionPlan struct {
	name azurestair.RegionName
	seed uint64
	// slots are those of usable upstreams.
	slots float64
	// share is the part of the objects that is placed here.
	share float64
}

// newPlan returns the leader's plan for the callers of home, fitted to the slots
// that are usable here: a region without room for what it carries gives up the
// surplus to those with room. Without a plan, the region keeps its objects.
func newPlan(home azurestair.RegionName, slots map[azurestair.RegionName]float64, plans []azurestair.RegionPlan) *plan {
	p := &plan{}
	shares := sharesOf(home, plans)
	room, rooms, lost := map[azurestair.RegionName]float64{}, 0.0, 1.0
	for r, n := range slots {
		carries, limit := loadOf(r, n, plans)
		if carries > limit {
			shares[r] *= limit / carries
		}
		room[r] = max(0, limit-carries)
		rooms += room[r]
		lost -= shares[r]
	}
	for r, n := range slots {
		share := shares[r]
		if rooms > 0 {
			share += max(0, lost) * room[r] / rooms
		}
		p.regions = append(p.regions, regionPlan{name: r, seed: hashOf("region/" + string(r)), slots: n, share: share})
	}
	slices.SortFunc(p.regions, func(a, b regionPlan) int { return cmp.Compare(a.name, b.name) })
	return p
}

// loadOf returns how many slots of a region the plans take and how many of the
// usable ones they may take; zero for both when the load is not known. What the
// plans take beyond the limit without any loss is the leader's to move.
func loadOf(r azurestair.RegionName, usable float64, plans []azurestair.RegionPlan) (carries, limit float64) {
	for _, p := range plans {
		if p.Region == r {
			return min(float64(p.Carries), p.Fill*float64(p.Slots)), p.Fill * usable
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
// without a share get what is allowed nowhere else.
func (p *plan) choose(object uint64, allowed func(azurestair.RegionName) bool) (azurestair.RegionName, bool) {
	best, ok := p.best(object, allowed, func(r regionPlan) float64 { return r.share })
	if !ok {
		best, ok = p.best(object, allowed, func(r regionPlan) float64 { return r.slots })
	}
	return best, ok
}

// best returns the allowed region that wins by the weights.
func (p *plan) best(object uint64, allowed func(azurestair.RegionName) bool, weight func(regionPlan) float64) (azurestair.RegionName, bool) {
	var best azurestair.RegionName
	top := 0.0
	for _, r := range p.regions {
		if !allowed(r.name) {
			continue
		}
		if score := weighted(mix(object, r.seed), weight(r)); score > top {
			best, top = r.name, score
		}
	}
	return best, top > 0
}
