package model

import (
	"fmt"
	"math"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// nextObject returns the number of the object of the next request.
func (sim *simulation) nextObject() int {
	if sim.Skew == 0 {
		return sim.rng.IntN(sim.Objects)
	}
	if sim.popularity == nil {
		sim.popularity = make([]float64, sim.Objects)
		sum := 0.0
		for i := range sim.popularity {
			sum += math.Pow(float64(i+1), -sim.Skew)
			sim.popularity[i] = sum
		}
	}
	x := sim.rng.Float64() * sim.popularity[sim.Objects-1]
	n, _ := slices.BinarySearch(sim.popularity, x)
	return n
}

// objectKey returns the key of an object of a region. Where callers are spread,
// all regions request the same objects; their names depend on the seed, so that
// the regions of the most frequent ones do.
func (sim *simulation) objectKey(region, number int) azurestair.ObjectKey {
	if sim.SpreadCallers {
		return azurestair.ObjectKeyOf(fmt.Sprintf("%d/%d", sim.Seed, number))
	}
	return azurestair.ObjectKeyOf(fmt.Sprintf("%d/%d", region, number))
}

// linkRate returns the bandwidth of the entries; zero means no limit.
func (sim *simulation) linkRate() azurestair.BytesPerSecond {
	if sim.SpreadCallers {
		return azurestair.NarrowLinkThreshold / 2
	}
	return 0
}

// isMeasured reports whether the warm-up is over.
func (sim *simulation) isMeasured() bool { return sim.now >= sim.Warmup }

// scheduleLoadReports makes each upstream refresh the load that it reports
// every ReportAge. The upstreams do so at different times.
func (sim *simulation) scheduleLoadReports() {
	if sim.ReportAge == 0 {
		return
	}
	for i, u := range sim.allUpstreams {
		sim.schedule(sim.ReportAge*time.Duration(i)/time.Duration(len(sim.allUpstreams)), func() { sim.refreshReport(u) })
	}
}

func (sim *simulation) refreshReport(u *upstream) {
	u.reported = u.load()
	if sim.now < sim.Length {
		sim.schedule(sim.ReportAge, func() { sim.refreshReport(u) })
	}
}

// reportedLoad returns the load that a response of the upstream carries.
func (sim *simulation) reportedLoad(u *upstream) azurestair.Load {
	if sim.ReportAge == 0 {
		return u.load()
	}
	return u.reported
}

// summarizeArrivals compares the numbers of attempts that reached the
// upstreams.
func (sim *simulation) summarizeArrivals() {
	total, busiest := 0, 0
	for _, u := range sim.allUpstreams {
		total += u.arrivals
		busiest = max(busiest, u.arrivals)
		if u.arrivals == 0 {
			sim.result.Idle++
		}
	}
	mean := float64(total) / float64(len(sim.allUpstreams))
	sim.result.BusiestOverMean = float64(busiest) / max(mean, 1)
}

// planObjects reports the counted objects of all entries to the leader and
// returns the object plans of the next snapshot.
func (sim *simulation) planObjects(traffic map[azurestair.RegionName][]azurestair.Traffic) []azurestair.ObjectPlan {
	now := sim.virtualTime()
	for r, list := range sim.pickers {
		for i, p := range list {
			id := entryID(r, i)
			_ = sim.registry.UpdateInstance(azurestair.InstanceInfo{ID: id, Region: region(r)}, now)
			sim.registry.SetObjects(id, p.ObjectTraffic(now), now)
		}
	}
	var old []azurestair.ObjectPlan
	if sim.published != nil {
		old = sim.published.Objects
	}
	next := sim.objectPlanner.Step(old, sim.registry.ObjectRates(now), traffic, now)
	if n := changedDemands(old, next); n > 0 && sim.isMeasured() {
		sim.result.PlanChanges++
		sim.result.ChangedDemands += n
	}
	return next
}

// changedDemands returns the number of objects that were added, removed or have
// another demand.
func changedDemands(old, next []azurestair.ObjectPlan) int {
	type key struct {
		region azurestair.RegionName
		object azurestair.ObjectKey
	}
	before := map[key]azurestair.MilliSlots{}
	for _, p := range old {
		for _, d := range p.Objects {
			before[key{p.Region, d.Object}] = d.Demand
		}
	}
	n := 0
	for _, p := range next {
		for _, d := range p.Objects {
			k := key{p.Region, d.Object}
			if before[k] != d.Demand {
				n++
			}
			delete(before, k)
		}
	}
	return n + len(before)
}
