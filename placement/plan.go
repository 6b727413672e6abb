package placement

import (
	"slices"

	"azurestair.example/azurestair"
)

// plan says in which region objects are placed. It is immutable.
type plan struct {
	// regions are those with usable upstreams, in the order of their names.
	regions []regionPlan
}

type regionPlan struct {
	name azurestair.RegionName
	seed uint64
	// keep is the share of its own objects that the region places itself.
	keep float64
	// room weighs the region for objects of others.
	room float64
}

// spareRoom is the part of a region's slots beyond its own demand below which
// the region still takes some objects of others, so that every object has a
// second region. It is small against any region that has room.
const spareRoom = 0.001

// newPlan derives the plan from the usable slots and the demand of each region.
// A region keeps what its part of all slots carries of its part of the demand.
func newPlan(slots map[azurestair.RegionName]azurestair.Slots, demand map[azurestair.RegionName]float64) *plan {
	total, wanted := 0.0, 0.0
	for r, n := range slots {
		total += float64(n)
		wanted += demand[r]
	}
	p := &plan{}
	for r, n := range slots {
		part, share := float64(n)/total, 1/float64(len(slots))
		if wanted > 0 {
			share = demand[r] / wanted
		}
		one := regionPlan{name: r, seed: hashOf("region/" + string(r)), keep: 1, room: max(part-share, spareRoom*part)}
		if share > part {
			one.keep = part / share
		}
		p.regions = append(p.regions, one)
	}
	slices.SortFunc(p.regions, func(a, b regionPlan) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return p
}

// choose returns the region for an object of home among the allowed ones; allowed
// is nil for all.
func (p *plan) choose(object uint64, home azurestair.RegionName, allowed func(azurestair.RegionName) bool) (azurestair.RegionName, bool) {
	best, found := azurestair.RegionName(""), false
	top := 0.0
	for _, r := range p.regions {
		if !allowed(r.name) {
			continue
		}
		if r.name == home && unit(mix(object, keepSeed)) < r.keep {
			return home, true
		}
		if r.name == home && p.hasOther(home, allowed) {
			continue
		}
		if score := weighted(mix(object, r.seed), r.room); !found || score > top {
			best, top, found = r.name, score, true
		}
	}
	return best, found
}

// keepSeed makes the choice to keep an object independent of its other hashes.
const keepSeed = 0x9e3779b97f4a7c15

func (p *plan) hasOther(home azurestair.RegionName, allowed func(azurestair.RegionName) bool) bool {
	for _, r := range p.regions {
		if r.name != home && allowed(r.name) {
			return true
		}
	}
	return false
}
