package control

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

// localityFleet describes a fleet with equal regions.
type localityFleet struct {
	entries, upstreams int
	linkRate           azurestair.BytesPerSecond
	slots              azurestair.Slots
	targetMs           azurestair.Millis
	// westLinkRate replaces linkRate in one region.
	westLinkRate azurestair.BytesPerSecond
}

var (
	// manyEntries is the load of 125 entries with links of 1.4 Mbit/s, of which
	// each gets 6 requests per second.
	manyEntries = localityFleet{entries: 126, upstreams: 243, linkRate: 175_000, slots: 3, targetMs: 900}
	// fewEntries is the load of 30 entries with links of 6 Mbit/s, of which each
	// gets 70 requests per second. The links of a region were full in its busy
	// hour.
	fewEntries = localityFleet{entries: 30, upstreams: 240, linkRate: 750_000, slots: 9, targetMs: 1000}
)

func (f localityFleet) snapshot(local bool) *azurestair.Snapshot {
	regions := []azurestair.RegionName{"east", "north", "west"}
	s := &azurestair.Snapshot{Config: &azurestair.Config{
		Services: []azurestair.Service{{Name: "desk"}},
		Routes:   []azurestair.Route{{Name: "r", TargetMs: f.targetMs, Services: []azurestair.RouteService{{Service: "desk", Weight: 1}}}},
	}}
	for i := range f.entries {
		rate := f.linkRate
		if regions[i%3] == "west" && f.westLinkRate > 0 {
			rate = f.westLinkRate
		}
		s.Instances = append(s.Instances, azurestair.InstanceInfo{
			ID: azurestair.InstanceID(fmt.Sprint("e", i)), CallerAddr: "10.0.0.1:80", Region: regions[i%3], LinkRate: rate,
		})
	}
	for i := range f.upstreams {
		s.Upstreams = append(s.Upstreams, azurestair.UpstreamInfo{Confirmed: true, Announcement: azurestair.Announcement{
			Upstream: azurestair.UpstreamID(fmt.Sprint("u", i)), Service: "desk", Region: regions[i%3], Slots: f.slots, State: azurestair.StateServing,
		}})
	}
	if local {
		s.Plans = []azurestair.RegionPlan{{Service: "desk", Region: "east", LocalCallers: true}}
	}
	return s
}

// localityAfter returns the decision after a planner has seen the snapshot for
// a time, with or without traffic.
func localityAfter(s *azurestair.Snapshot, hasTraffic bool, d time.Duration) bool {
	traffic := map[azurestair.RegionName][]azurestair.Traffic{}
	if hasTraffic {
		traffic["east"] = []azurestair.Traffic{{Service: "desk", Rate: 100, MeanSlots: 50}}
	}
	var p RegionPlanner
	for at := time.Duration(0); at <= d; at += planInterval {
		s.Plans = p.Step(s, traffic, time.Unix(1000, 0).Add(at))
	}
	return !s.SpreadsCallers()
}

// Guards against callers that are spread over all regions although the links of
// their own region would carry them, and against regions whose links are full
// in their busy hour.
var _ = ginkgo.Describe("callers of entries with narrow links", func() {
	ginkgo.DescribeTable("before there is traffic",
		func(f localityFleet, local bool) {
			Expect(localityAfter(f.snapshot(false), false, 0)).To(Equal(local))
		},
		ginkgo.Entry("stay in their region if its links carry its busiest time", manyEntries, true),
		ginkgo.Entry("are spread if they may not", fewEntries, false),
		ginkgo.Entry("are spread if one region has few links", localityFleet{entries: 126, upstreams: 243, linkRate: 175_000, westLinkRate: 100_000, slots: 3, targetMs: 900}, false),
		ginkgo.Entry("stay with wide links", localityFleet{entries: 6, upstreams: 36, linkRate: 125_000_000, slots: 9, targetMs: 400}, true),
	)

	withHalf := func(f localityFleet) localityFleet {
		f.upstreams /= 2
		return f
	}

	ginkgo.It("are not moved by a short loss of upstreams", func() {
		Expect(localityAfter(withHalf(fewEntries).snapshot(false), true, localityPeriod-planInterval)).To(BeFalse())
	})

	ginkgo.It("stay when a new leader finds fewer upstreams or entries", func() {
		Expect(localityAfter(withHalf(manyEntries).snapshot(true), true, time.Minute)).To(BeTrue())
		fewer := manyEntries
		fewer.entries = 100
		Expect(localityAfter(fewer.snapshot(true), true, localityPeriod-planInterval)).To(BeTrue())
	})

	ginkgo.It("are spread when links no longer suffice for a longer time", func() {
		fewer := manyEntries
		fewer.entries = 60
		Expect(localityAfter(fewer.snapshot(true), true, localityPeriod-planInterval)).To(BeTrue())
		Expect(localityAfter(fewer.snapshot(true), true, localityPeriod)).To(BeFalse())
	})
})
