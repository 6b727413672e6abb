package lookup_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/lookup"
)

// nearRig has three regions of four entries in two failure domains each.
type nearRig struct {
	snap  *azurestair.Snapshot
	homes lookup.HomeMeter
	// places are kept from look-up to look-up, as an entry does.
	places *lookup.Places
}

func newNearRig(link azurestair.BytesPerSecond) *nearRig {
	r := &nearRig{snap: &azurestair.Snapshot{Config: &azurestair.Config{Version: 1, Routes: []azurestair.Route{
		{Name: "free", Host: "free.example"},
		{Name: "bound", Host: "bound.example", HomeRegions: []azurestair.RegionName{"r0"}},
		{Name: "beside", Host: "bound.example"},
	}}}}
	for _, region := range []azurestair.RegionName{"r0", "r1", "r2"} {
		for n := range 4 {
			r.snap.Instances = append(r.snap.Instances, azurestair.InstanceInfo{
				ID: azurestair.InstanceID(fmt.Sprintf("%s-%d", region, n)), CallerAddr: "127.0.0.1:80", Ready: true, LinkRate: link,
				Region: region, FailureDomain: azurestair.FailureDomainName(fmt.Sprintf("%s-%d", region, n%2)),
			})
		}
	}
	return r
}

func (r *nearRig) ask(region azurestair.RegionName, host string, limit int) []azurestair.InstanceInfo {
	c := lookup.Caller{Region: region, FailureDomain: azurestair.FailureDomainName(region + "-0"), Host: host}
	r.places = lookup.NewPlaces(r.places, r.snap)
	return r.places.Near(c, r.homes.IsBound(r.snap.Config, host), limit)
}

// count counts requests on the n-th route.
func (r *nearRig) count(route, requests int) {
	for range requests {
		r.homes.Count(&r.snap.Config.Routes[route])
	}
}

// busiest returns the load of the busiest entry in parts of the mean when the
// callers of each region send what demand says.
func (r *nearRig) busiest(demand map[azurestair.RegionName]float64) float64 {
	loads, total := map[azurestair.InstanceID]float64{}, 0.0
	for region, d := range demand {
		total += d
		list := r.ask(region, "free.example", 64)
		for _, i := range list {
			loads[i.ID] += d / float64(len(list))
		}
	}
	top := 0.0
	for _, l := range loads {
		top = max(top, l)
	}
	return top / (total / float64(len(r.snap.Instances)))
}

// expectRegions checks which regions an answer names, and how often.
func expectRegions(list []azurestair.InstanceInfo, want map[azurestair.RegionName]int) {
	GinkgoHelper()
	got := map[azurestair.RegionName]int{}
	for _, i := range list {
		got[i.Region]++
	}
	Expect(got).To(Equal(want))
}

// Load pattern: the busy hours of regions at different times. Guards against
// entries of one region whose links are full for 10 s, so that most answers come
// late, while the links of the others carry a quarter of that.
var _ = Describe("the busy hour of one region", func() {
	demand := map[azurestair.RegionName]float64{"r0": 400, "r1": 150, "r2": 110}

	It("reaches the entries of all regions where their links are narrow", func() {
		Expect(newNearRig(700_000).busiest(demand)).To(BeNumerically("~", 1, 0.01))
	})

	It("stays in the region where the links are wide or have no limit", func() {
		for _, link := range []azurestair.BytesPerSecond{0, 125_000_000} {
			r := newNearRig(link)
			expectRegions(r.ask("r0", "free.example", 64), map[azurestair.RegionName]int{"r0": 4})
			Expect(r.busiest(demand)).To(BeNumerically(">", 1.5))
		}
	})
})

var _ = Describe("entries near a caller", func() {
	// Guards against bodies that leave the regions to which a route is bound.
	It("are those of its region for a host with requests on bound routes", func() {
		r := newNearRig(700_000)
		expectBound := func(want bool) {
			GinkgoHelper()
			regions := map[azurestair.RegionName]int{"r0": 4, "r1": 4, "r2": 4}
			if want {
				regions = map[azurestair.RegionName]int{"r1": 4}
			}
			expectRegions(r.ask("r1", "bound.example", 64), regions)
		}
		expectBound(true)
		r.count(2, 500)
		expectBound(false)
		r.count(1, 4)
		expectBound(false)
		r.count(1, 30)
		expectBound(true)
		r.count(2, 20_000)
		expectBound(false)
	})

	It("are those of all others where the region has none", func() {
		r := newNearRig(0)
		expectRegions(r.ask("r9", "free.example", 64), map[azurestair.RegionName]int{"r0": 4, "r1": 4, "r2": 4})
	})

	It("begin with those of the caller's failure domain", func() {
		list := newNearRig(0).ask("r1", "free.example", 2)
		for _, i := range list {
			Expect(i.FailureDomain).To(BeEquivalentTo("r1-0"))
		}
	})

	// Guards against answers from an earlier list of entries.
	It("follow the list of entries", func() {
		r := newNearRig(0)
		expectRegions(r.ask("r1", "free.example", 64), map[azurestair.RegionName]int{"r1": 4})
		next := *r.snap
		next.Instances = slices.Clone(next.Instances)
		for i := range next.Instances {
			next.Instances[i].Ready = next.Instances[i].Region != "r1"
		}
		r.snap = &next
		expectRegions(r.ask("r1", "free.example", 64), map[azurestair.RegionName]int{"r0": 4, "r2": 4})
	})

	// Guards against a limit that names the same few entries to all callers.
	It("are others for each failure domain when not all can be named", func() {
		r := newNearRig(700_000)
		named := map[azurestair.InstanceID]bool{}
		for _, region := range []azurestair.RegionName{"r0", "r1", "r2"} {
			list := r.ask(region, "free.example", 6)
			Expect(list).To(HaveLen(6))
			Expect(r.ask(region, "free.example", 6)).To(Equal(list))
			for _, i := range list {
				named[i.ID] = true
			}
		}
		Expect(len(named)).To(BeNumerically(">", 6))
	})
})

// BenchmarkNear answers look-ups by place at the expected number of entries.
func BenchmarkNear(b *testing.B) {
	r := newNearRig(700_000)
	first := r.snap.Instances
	for n := range 690 - len(first) {
		i := first[n%len(first)]
		i.ID = azurestair.InstanceID(fmt.Sprintf("%s-%d", i.ID, n))
		r.snap.Instances = append(r.snap.Instances, i)
	}
	r.ask("r1", "free.example", 64)
	c := lookup.Caller{Region: "r1", FailureDomain: "r1-0", Host: "free.example"}
	b.ReportAllocs()
	for b.Loop() {
		r.places.Near(c, r.homes.IsBound(r.snap.Config, c.Host), 64)
	}
}
