package control_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// planFixture steps a planner once a second. By default the regions have 10, 2
// and 12 upstreams with 9 slots each, which corresponds to one service of the
// current deployments.
type planFixture struct {
	planner control.RegionPlanner
	snap    azurestair.Snapshot
	now     time.Time
	// busy is the number of slots that all requests occupy.
	busy float64
}

var planRegions = []azurestair.RegionName{"huye", "kigali", "musanze"}

func newPlanFixture() *planFixture {
	f := &planFixture{now: start, busy: 150}
	f.snap.Config = &azurestair.Config{Version: 1, Services: []azurestair.Service{{Name: "desk"}}}
	f.setUpstreams(10, 2, 12)
	return f
}

// setUpstreams sets the number of upstreams of each region, in the order of
// planRegions.
func (f *planFixture) setUpstreams(counts ...int) {
	f.snap.Upstreams = nil
	for i, n := range counts {
		for w := range n {
			f.snap.Upstreams = append(f.snap.Upstreams, azurestair.UpstreamInfo{Confirmed: true, Announcement: azurestair.Announcement{
				Upstream: azurestair.UpstreamID(fmt.Sprintf("%s-%d", planRegions[i], w)), Service: "desk", Region: planRegions[i], Slots: 9,
				State: azurestair.StateServing,
			}})
		}
	}
}

// step gives the planner one second of traffic by region and stores the
// resulting plans.
func (f *planFixture) step(rates ...float64) {
	total := 0.0
	for _, n := range rates {
		total += n
	}
	traffic := map[azurestair.RegionName][]azurestair.Traffic{}
	for i, n := range rates {
		traffic[planRegions[i]] = []azurestair.Traffic{{
			Service: "desk", Rate: azurestair.PerSecond(n), MeanSlots: azurestair.MeanSlots(f.busy * n / max(total, 1)),
		}}
	}
	f.now = f.now.Add(time.Second)
	f.snap.Plans = f.planner.Step(&f.snap, traffic, f.now)
}

// share returns the share of region in the plan of home.
func (f *planFixture) share(home, region azurestair.RegionName) float64 {
	for _, p := range f.snap.PlansOf("desk") {
		if p.Region == home {
			for _, s := range p.Shares {
				if s.Region == region {
					return s.Share
				}
			}
		}
	}
	return 0
}

func (f *planFixture) shares() map[azurestair.RegionName]map[azurestair.RegionName]float64 {
	out := map[azurestair.RegionName]map[azurestair.RegionName]float64{}
	for _, home := range planRegions {
		out[home] = map[azurestair.RegionName]float64{}
		for _, region := range planRegions {
			out[home][region] = f.share(home, region)
		}
	}
	return out
}

// worstLoad returns the highest load of a region relative to the overall load,
// for the given request rates.
func (f *planFixture) worstLoad(rates ...float64) float64 {
	slots := []float64{90, 18, 108}
	worst, all := 0.0, 0.0
	for _, n := range rates {
		all += n
	}
	for i, region := range planRegions {
		carried := 0.0
		for j, home := range planRegions {
			carried += rates[j] * f.share(home, region)
		}
		worst = max(worst, carried/slots[i]*216/all)
	}
	return worst
}

// sinusoidalRates returns the request rates of the regions at a time. Their
// peaks are out of phase.
func sinusoidalRates(second int) []float64 {
	rates := make([]float64, len(planRegions))
	for i := range rates {
		rates[i] = 150 * (1 + 0.55*math.Sin(2*math.Pi*(float64(second)/36+float64(i)/3)))
	}
	return rates
}

// expectShareSums checks that the shares of each region add up to 1.
func expectShareSums(f *planFixture) {
	GinkgoHelper()
	for _, p := range f.snap.PlansOf("desk") {
		sum := 0.0
		for _, s := range p.Shares {
			sum += s.Share
		}
		Expect(sum).To(BeNumerically("~", 1, 0.003), "shares of %s", p.Region)
	}
}

// movedShare returns the largest fraction of a region's requests that two plans
// place differently.
func movedShare(a, b map[azurestair.RegionName]map[azurestair.RegionName]float64) float64 {
	largest := 0.0
	for home := range a {
		sum := 0.0
		for region, s := range a[home] {
			sum += math.Abs(s-b[home][region]) / 2
		}
		largest = max(largest, sum)
	}
	return largest
}

var _ = Describe("region plan", func() {
	// Guards against a region with few upstreams that keeps all its objects.
	It("assumes equal traffic in all regions before there is any", func() {
		f := newPlanFixture()
		f.step(0, 0, 0)
		Expect(f.share("kigali", "kigali")).To(BeNumerically("~", 0.25, 0.01))
		Expect(f.share("kigali", "huye")).To(BeNumerically("~", 0.25, 0.01))
		Expect(f.share("huye", "huye")).To(BeEquivalentTo(1))
		expectShareSums(f)
	})

	// Guards against a region that rejects work at its peak while other regions
	// have spare capacity.
	It("follows load peaks that are out of phase, within the limit on moves", func() {
		f, fixed := newPlanFixture(), newPlanFixture()
		f.step(0, 0, 0)
		fixed.step(0, 0, 0)
		worst, worstFixed := 0.0, 0.0
		history := []map[azurestair.RegionName]map[azurestair.RegionName]float64{}
		for s := range 108 {
			f.step(sinusoidalRates(s)...)
			expectShareSums(f)
			if s > 36 {
				worst = max(worst, f.worstLoad(sinusoidalRates(s)...))
				worstFixed = max(worstFixed, fixed.worstLoad(sinusoidalRates(s)...))
			}
			history = append(history, f.shares())
			if s >= 2 {
				Expect(movedShare(history[s-2], history[s])).To(BeNumerically("<=", 0.15))
			}
		}
		Expect(worstFixed).To(BeNumerically(">", 1.5))
		Expect(worst).To(BeNumerically("<", 1.4))
	})

	// Guards against unnecessary moves of objects, each of which causes a cold
	// start.
	It("does not change while the load is balanced", func() {
		f := newPlanFixture()
		f.step(0, 0, 0)
		first := f.shares()
		for s := range 30 {
			f.step(150+10*float64(s%3), 150, 150-10*float64(s%3))
		}
		Expect(movedShare(first, f.shares())).To(BeZero())
	})

	// Guards against a plan that mistakes a restart of a region's entries for
	// less traffic.
	It("tolerates entries that report no traffic for a few seconds", func() {
		f := newPlanFixture()
		f.step(0, 0, 0)
		f.step(150, 150, 150)
		first := f.shares()
		for range 3 {
			f.step(150, 0, 150)
		}
		Expect(movedShare(first, f.shares())).To(BeZero())
	})

	// Guards against objects that never return to a region that has capacity
	// for them again.
	It("returns objects slowly when the load is low", func() {
		f := newPlanFixture()
		f.step(0, 0, 0)
		f.busy = 20
		for range 60 {
			before := f.shares()
			f.step(150, 150, 150)
			Expect(movedShare(before, f.shares())).To(BeNumerically("<=", 0.012))
		}
		Expect(f.share("kigali", "kigali")).To(BeNumerically(">=", 0.65))
	})

	// Guards against upstreams that remain after the loss of a failure domain
	// and reject work for which other regions have capacity.
	It("changes immediately when a region loses capacity that is needed", func() {
		f := newPlanFixture()
		f.step(0, 0, 0)
		f.step(150, 150, 150)
		f.setUpstreams(5, 2, 12)
		f.step(150, 150, 150)
		Expect(f.share("huye", "huye")).To(BeNumerically("~", 0.79, 0.02), "45 of 171 slots for a third of the requests")
		expectShareSums(f)
	})

	// Guards against moves after a loss of capacity that was not needed.
	It("does not change when a region loses capacity that is not needed", func() {
		f := newPlanFixture()
		f.step(0, 0, 0)
		f.busy = 60
		f.step(150, 150, 150)
		first := f.shares()
		f.setUpstreams(5, 2, 12)
		f.step(150, 150, 150)
		Expect(movedShare(first, f.shares())).To(BeNumerically("<=", 0.012))
	})

	// Guards against regions that stay in the plan forever, and against shares
	// that are lost when they are removed.
	It("removes a region without upstreams and callers", func() {
		f := newPlanFixture()
		f.step(0, 0, 0)
		f.step(150, 150, 150)
		f.setUpstreams(10, 0, 12)
		for range 120 {
			f.step(150, 0, 150)
			expectShareSums(f)
		}
		Expect(f.snap.PlansOf("desk")).To(HaveLen(2))
		f.setUpstreams(0, 2, 0)
		f.step(150, 0, 150)
		Expect(f.share("huye", "kigali")).To(BeEquivalentTo(1))
	})

	// Guards against a change of leader that moves all objects.
	It("is continued by the next leader", func() {
		f := newPlanFixture()
		f.step(0, 0, 0)
		for s := range 20 {
			f.step(sinusoidalRates(s)...)
		}
		before := f.shares()
		f.planner = control.RegionPlanner{}
		f.step(sinusoidalRates(20)...)
		Expect(movedShare(before, f.shares())).To(BeNumerically("<=", 0.05))
	})
})

var _ = Describe("traffic", func() {
	// Guards against a plan that assumes less work in a region that rejects
	// more.
	It("includes rejected requests as well as served ones", func() {
		var m control.TrafficMeter
		counts := control.TrafficCount{}
		var got []azurestair.Traffic
		for s := range 20 {
			counts.Requests += 100
			counts.Finished += 50
			counts.BusyTime += 50 * 300 * time.Millisecond
			got = m.Rates(map[azurestair.ServiceName]control.TrafficCount{"desk": counts}, at(1000*(s+1)))
		}
		Expect(got).To(HaveLen(1))
		Expect(float64(got[0].Rate)).To(BeNumerically("~", 100, 1))
		Expect(float64(got[0].MeanSlots)).To(BeNumerically("~", 30, 0.5), "100 a second of 0.3 s")
	})

	// Guards against reports that a leader refuses, because the counters of a
	// service that was removed and added again begin anew.
	It("is not negative when counters begin anew", func() {
		var m control.TrafficMeter
		for s, n := range []uint64{100, 200, 3} {
			counts := control.TrafficCount{Requests: n, Finished: n, BusyTime: time.Duration(n) * time.Second}
			got := m.Rates(map[azurestair.ServiceName]control.TrafficCount{"desk": counts}, at(1000*(s+1)))
			for _, t := range got {
				Expect(t.Validate()).To(Succeed())
			}
		}
	})

	// Guards against a plan that is based only on the entries that report first
	// to a new leader.
	It("is unknown to a new leader until all entries have reported", func() {
		r := &control.Registry{}
		r.Seed(&azurestair.Snapshot{Instances: []azurestair.InstanceInfo{entry(1), entry(2)}}, at(0))
		report := func(n, ms int) {
			Expect(r.UpdateInstance(entry(n), at(ms))).To(Succeed())
			r.SetTraffic(entry(n).ID, []azurestair.Traffic{{Service: "desk", Rate: 10, MeanSlots: 3}})
		}
		report(1, 100)
		Expect(r.Traffic()).To(BeNil())
		report(2, 200)
		Expect(r.Traffic()).To(Equal(map[azurestair.RegionName][]azurestair.Traffic{"kigali": {{Service: "desk", Rate: 20, MeanSlots: 6}}}))
	})
})

var _ = Describe("published plans", func() {
	// Guards against entries of one region that place the same object
	// differently.
	It("reach the instances that hold earlier snapshots", func() {
		r := &control.Registry{}
		announce(r, 0, 1, 2)
		Expect(r.UpdateInstance(entry(1), at(0))).To(Succeed())
		src := source(r)
		src.Config = &azurestair.Config{
			Version: 1, Services: []azurestair.Service{{Name: "catalogue"}}, Routes: []azurestair.Route{{Name: "all"}},
		}
		p := &control.Publisher{}
		first := expectPublishing(true, p, src, 0)
		Expect(first.PlansOf("catalogue")).To(HaveLen(1))
		far := upstream(3)
		far.Region, far.Slots = "huye", 20
		Expect(r.Announce(far, at(1500))).To(Succeed())
		next := expectPublishing(true, p, src, 1500)
		Expect(next.PlansOf("catalogue")).To(HaveLen(2))
		d, full := p.Delta(first.Term, first.Revision)
		Expect(full).To(BeNil())
		held, err := control.ApplyDelta(first, d)
		Expect(err).NotTo(HaveOccurred())
		Expect(held).To(Equal(next))
	})
})

// Load pattern: callers of all regions connect to the entries of every region,
// because links are narrow. Guards against objects that are cold in every
// region because requests for them run in all three. This halved the number of
// requests answered in time.
var _ = Describe("region plan for spread callers", func() {
	var f *planFixture
	BeforeEach(func() {
		f = newPlanFixture()
		f.snap.Instances = []azurestair.InstanceInfo{{ID: "e1", CallerAddr: "127.0.0.1:80", LinkRate: 700_000}}
	})
	expectSameShares := func(want map[azurestair.RegionName]float64) {
		GinkgoHelper()
		for _, home := range planRegions {
			for region, share := range want {
				Expect(f.share(home, region)).To(BeNumerically("~", share, 0.02), "%s in %s", home, region)
			}
		}
	}

	It("places an object in one region regardless of where its requests arrive", func() {
		f.step(0, 0, 0)
		expectSameShares(map[azurestair.RegionName]float64{"huye": 10. / 24, "kigali": 2. / 24, "musanze": 12. / 24})
		for range 20 {
			f.step(400, 100, 100)
		}
		expectSameShares(map[azurestair.RegionName]float64{"huye": 10. / 24, "kigali": 2. / 24, "musanze": 12. / 24})
	})

	It("does not move objects when a few upstreams leave", func() {
		f.step(100, 100, 100)
		f.setUpstreams(9, 2, 12)
		for range 10 {
			f.step(100, 100, 100)
		}
		expectSameShares(map[azurestair.RegionName]float64{"huye": 10. / 24, "musanze": 12. / 24})
	})

	It("follows a region that loses most of its upstreams", func() {
		f.step(100, 100, 100)
		f.setUpstreams(10, 2, 3)
		for range 10 {
			f.step(100, 100, 100)
		}
		expectSameShares(map[azurestair.RegionName]float64{"huye": 10. / 15, "kigali": 2. / 15, "musanze": 3. / 15})
	})
})
