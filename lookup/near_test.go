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

// nearFixture is a snapshot of three regions with four entries in two failure
// domains each.
type nearFixture struct {
	snap    *azurestair.Snapshot
	tracker lookup.HomeRegionTracker
	// index is reused between lookups, as an entry instance does.
	index *lookup.LocationIndex
}

func newNearFixture(link azurestair.BytesPerSecond) *nearFixture {
	f := &nearFixture{snap: &azurestair.Snapshot{Config: &azurestair.Config{Version: 1, Routes: []azurestair.Route{
		{Name: "free", Host: "free.example"},
		{Name: "bound", Host: "bound.example", HomeRegions: []azurestair.RegionName{"r0"}},
		{Name: "beside", Host: "bound.example"},
	}}}}
	for _, region := range []azurestair.RegionName{"r0", "r1", "r2"} {
		for n := range 4 {
			f.snap.Instances = append(f.snap.Instances, azurestair.InstanceInfo{
				ID: azurestair.InstanceID(fmt.Sprintf("%s-%d", region, n)), CallerAddr: "127.0.0.1:80", Ready: true, LinkRate: link,
				Region: region, FailureDomain: azurestair.FailureDomainName(fmt.Sprintf("%s-%d", region, n%2)),
			})
		}
	}
	return f
}

func (f *nearFixture) near(region azurestair.RegionName, host string, limit int) []azurestair.InstanceInfo {
	c := lookup.Caller{Region: region, FailureDomain: azurestair.FailureDomainName(region + "-0"), Host: host}
	f.index = lookup.NewLocationIndex(f.index, f.snap)
	return f.index.Near(c, f.tracker.IsHomeBound(f.snap.Config, host), limit)
}

// recordRequests counts requests on the route with the given index.
func (f *nearFixture) recordRequests(route, requests int) {
	for range requests {
		f.tracker.Record(&f.snap.Config.Routes[route])
	}
}

// peakLoad returns the load of the most loaded entry relative to the mean,
// given the demand of the callers of each region.
func (f *nearFixture) peakLoad(demand map[azurestair.RegionName]float64) float64 {
	loads, total := map[azurestair.InstanceID]float64{}, 0.0
	for region, d := range demand {
		total += d
		list := f.near(region, "free.example", 64)
		for _, i := range list {
			loads[i.ID] += d / float64(len(list))
		}
	}
	top := 0.0
	for _, l := range loads {
		top = max(top, l)
	}
	return top / (total / float64(len(f.snap.Instances)))
}

// expectRegions asserts how many entries of each region the list contains.
func expectRegions(list []azurestair.InstanceInfo, want map[azurestair.RegionName]int) {
	GinkgoHelper()
	got := map[azurestair.RegionName]int{}
	for _, i := range list {
		got[i.Region]++
	}
	Expect(got).To(Equal(want))
}

// Load pattern: regions whose load peaks at different times. Guards against an
// overload in which the links of one region were full for 10 s and most of its
// responses were late, while the links of the other regions carried a quarter
// of that load.
var _ = Describe("the peak load of one region", func() {
	demand := map[azurestair.RegionName]float64{"r0": 400, "r1": 150, "r2": 110}

	It("is spread over the entries of all regions if their links are narrow", func() {
		Expect(newNearFixture(700_000).peakLoad(demand)).To(BeNumerically("~", 1, 0.01))
	})

	It("stays in the region if the links are wide or have no limit", func() {
		for _, link := range []azurestair.BytesPerSecond{0, 125_000_000} {
			f := newNearFixture(link)
			expectRegions(f.near("r0", "free.example", 64), map[azurestair.RegionName]int{"r0": 4})
			Expect(f.peakLoad(demand)).To(BeNumerically(">", 1.5))
		}
	})
})

var _ = Describe("entries near a caller", func() {
	// Guards against request bodies that leave the home regions of their route.
	It("are those of its region for a host with requests bound to home regions", func() {
		f := newNearFixture(700_000)
		expectBound := func(want bool) {
			GinkgoHelper()
			regions := map[azurestair.RegionName]int{"r0": 4, "r1": 4, "r2": 4}
			if want {
				regions = map[azurestair.RegionName]int{"r1": 4}
			}
			expectRegions(f.near("r1", "bound.example", 64), regions)
		}
		expectBound(true)
		f.recordRequests(2, 500)
		expectBound(false)
		f.recordRequests(1, 4)
		expectBound(false)
		f.recordRequests(1, 30)
		expectBound(true)
		f.recordRequests(2, 20_000)
		expectBound(false)
	})

	It("are those of all other regions if its region has none", func() {
		f := newNearFixture(0)
		expectRegions(f.near("r9", "free.example", 64), map[azurestair.RegionName]int{"r0": 4, "r1": 4, "r2": 4})
	})

	It("start with those of its failure domain", func() {
		list := newNearFixture(0).near("r1", "free.example", 2)
		for _, i := range list {
			Expect(i.FailureDomain).To(BeEquivalentTo("r1-0"))
		}
	})

	// Guards against cached results from an earlier list of entries.
	It("change with the list of entries", func() {
		f := newNearFixture(0)
		expectRegions(f.near("r1", "free.example", 64), map[azurestair.RegionName]int{"r1": 4})
		next := *f.snap
		next.Instances = slices.Clone(next.Instances)
		for i := range next.Instances {
			next.Instances[i].Ready = next.Instances[i].Region != "r1"
		}
		f.snap = &next
		expectRegions(f.near("r1", "free.example", 64), map[azurestair.RegionName]int{"r0": 4, "r2": 4})
	})

	// Guards against a limit that returns the same few entries to all callers.
	It("differ by failure domain if the limit excludes some of them", func() {
		f := newNearFixture(700_000)
		returned := map[azurestair.InstanceID]bool{}
		for _, region := range []azurestair.RegionName{"r0", "r1", "r2"} {
			list := f.near(region, "free.example", 6)
			Expect(list).To(HaveLen(6))
			Expect(f.near(region, "free.example", 6)).To(Equal(list))
			for _, i := range list {
				returned[i.ID] = true
			}
		}
		Expect(len(returned)).To(BeNumerically(">", 6))
	})
})

// BenchmarkNear measures lookups by location with the expected number of
// entries.
func BenchmarkNear(b *testing.B) {
	f := newNearFixture(700_000)
	first := f.snap.Instances
	for n := range 690 - len(first) {
		i := first[n%len(first)]
		i.ID = azurestair.InstanceID(fmt.Sprintf("%s-%d", i.ID, n))
		f.snap.Instances = append(f.snap.Instances, i)
	}
	f.near("r1", "free.example", 64)
	c := lookup.Caller{Region: "r1", FailureDomain: "r1-0", Host: "free.example"}
	b.ReportAllocs()
	for b.Loop() {
		f.index.Near(c, f.tracker.IsHomeBound(f.snap.Config, c.Host), 64)
	}
}
