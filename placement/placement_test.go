package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/placement"
	"azurestair.example/azurestair/routing"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

var start = time.Unix(1_700_000_000, 0)

const (
	latency = 100 * time.Millisecond
	done    = azurestair.AttemptDone
)

// upstreams returns n serving upstreams of a region.
func upstreams(region azurestair.RegionName, n int) []azurestair.Announcement {
	list := make([]azurestair.Announcement, n)
	for i := range list {
		list[i] = azurestair.Announcement{
			Upstream: azurestair.UpstreamID(fmt.Sprintf("%s-%d", region, i)), Service: "desk", Addr: fmt.Sprintf("127.0.0.1:%d", 8000+i),
			Region: region, FailureDomain: azurestair.FailureDomainName(fmt.Sprintf("%s-%c", region, 'a'+i%2)),
			Slots: 4, MaxConns: 330, State: azurestair.StateServing, Incarnation: 1, Sequence: 1,
		}
	}
	return list
}

// bench drives the pickers of several entries in virtual time.
type bench struct {
	now     time.Time
	pickers []*placement.Picker
	snap    azurestair.Snapshot
}

func newBench(entries int, region azurestair.RegionName, list ...azurestair.Announcement) *bench {
	b := &bench{now: start}
	b.snap.Config = &azurestair.Config{Version: 1, Services: []azurestair.Service{{Name: "desk", ColdPerSecond: 9.7}}}
	for i := range entries {
		id := azurestair.InstanceID(fmt.Sprintf("entry-%d", i))
		b.pickers = append(b.pickers, placement.New(placement.Options{
			Service: "desk", Region: region, Self: id, LateSlot: time.Second, Rand: rand.NewPCG(1, uint64(i)),
		}))
		b.snap.Instances = append(b.snap.Instances, azurestair.InstanceInfo{ID: id, CallerAddr: "127.0.0.1:1", Region: region})
	}
	b.set(list...)
	return b
}

// set publishes the upstreams to all entries, with the plans that they call for.
func (b *bench) set(list ...azurestair.Announcement) {
	snap := b.snap
	snap.Upstreams = infos(list)
	var planner control.Planner
	b.setWithPlans(planner.Step(&snap, nil, b.now), list...)
}

// setWithPlans publishes the upstreams with given plans.
func (b *bench) setWithPlans(plans []azurestair.RegionPlan, list ...azurestair.Announcement) {
	snap := b.snap
	snap.Upstreams, snap.Plans = infos(list), plans
	b.snap = snap
	for _, p := range b.pickers {
		p.Update(&snap, b.now)
	}
}

func infos(list []azurestair.Announcement) []azurestair.UpstreamInfo {
	out := make([]azurestair.UpstreamInfo, len(list))
	for i, a := range list {
		out[i] = azurestair.UpstreamInfo{Announcement: a, Confirmed: true}
	}
	return out
}

func objectOf(n int) azurestair.ObjectKey { return azurestair.ObjectKeyOf(fmt.Sprint(n)) }

func workOn(n int) azurestair.Work {
	return azurestair.Work{Service: "desk", Rank: azurestair.RankInteractive, Idempotent: true, Object: objectOf(n)}
}

// place returns where an entry sends work and ends the attempt.
func (b *bench) place(entry int, w azurestair.Work) azurestair.Choice {
	GinkgoHelper()
	c, err := b.pickers[entry].Pick(w, nil, b.now)
	Expect(err).NotTo(HaveOccurred())
	b.pickers[entry].Done(c, done, latency, b.now)
	return c
}

// places returns where an entry sends work on each of n objects.
func (b *bench) places(entry, n int) map[int]azurestair.UpstreamID {
	GinkgoHelper()
	out := map[int]azurestair.UpstreamID{}
	for i := range n {
		out[i] = b.place(entry, workOn(i)).Upstream
	}
	return out
}

func moved(a, b map[int]azurestair.UpstreamID) int {
	n := 0
	for i := range a {
		if a[i] != b[i] {
			n++
		}
	}
	return n
}

// expectRefused checks that no upstream may take the work.
func expectRefused(p *placement.Picker, w azurestair.Work, now time.Time, reason azurestair.Reason) {
	GinkgoHelper()
	_, err := p.Pick(w, nil, now)
	Expect(routing.ReasonOf(err)).To(Equal(reason))
}

var _ = Describe("an object", func() {
	// Guards against objects that are warm at one entry's upstream only.
	It("goes to the same upstream from every entry", func() {
		b := newBench(3, "huye", upstreams("huye", 12)...)
		Expect(moved(b.places(0, 200), b.places(1, 200))).To(BeZero())
		Expect(moved(b.places(0, 200), b.places(2, 200))).To(BeZero())
	})

	// Guards against a change of one upstream that makes all objects cold.
	It("moves only if its upstream came or went", func() {
		list := upstreams("huye", 12)
		b := newBench(1, "huye", list...)
		before := b.places(0, 600)
		gone := list[5].Upstream
		b.set(append(append([]azurestair.Announcement{}, list[:5]...), list[6:]...)...)
		after := b.places(0, 600)
		for i, u := range before {
			if u != gone {
				Expect(after[i]).To(Equal(u))
			}
		}
		b.set(list...)
		Expect(moved(before, b.places(0, 600))).To(BeZero())
	})

	// Guards against a burst of one object that spreads over all upstreams and
	// makes them forget theirs.
	It("is held by its first upstreams in an overload, and then refused", func() {
		b := newBench(1, "huye", upstreams("huye", 12)...)
		used := map[azurestair.UpstreamID]bool{}
		var err error
		for range 200 {
			var c azurestair.Choice
			if c, err = b.pickers[0].Pick(workOn(1), nil, b.now); err != nil {
				break
			}
			used[c.Upstream] = true
		}
		Expect(routing.ReasonOf(err)).To(Equal(azurestair.ReasonSaturated))
		Expect(used).To(HaveLen(placement.DefaultCopies + placement.DefaultReach))
	})

	// Guards against a route without objects whose work meets at one upstream.
	It("is not needed to spread work", func() {
		b := newBench(1, "huye", upstreams("huye", 12)...)
		used := map[azurestair.UpstreamID]bool{}
		for range 200 {
			used[b.place(0, azurestair.Work{Service: "desk", Rank: azurestair.RankInteractive}).Upstream] = true
		}
		Expect(len(used)).To(BeNumerically(">=", 10))
	})
})

var _ = Describe("regions", func() {
	both := func(a, b int) []azurestair.Announcement {
		return append(upstreams("huye", a), upstreams("kigali", b)...)
	}

	// Guards against a region with few upstreams that keeps all its objects.
	It("keep the share of their objects that their slots carry", func() {
		b := newBench(1, "huye", both(2, 6)...)
		kept := 0
		for i := range 1000 {
			if b.place(0, workOn(i)).Region == "huye" {
				kept++
			}
		}
		Expect(kept).To(BeNumerically("~", 500, 60), "a quarter of the slots for half of the requests")
		b = newBench(1, "kigali", both(2, 6)...)
		for i := range 100 {
			Expect(b.place(0, workOn(i)).Region).To(BeEquivalentTo("kigali"))
		}
	})

	// Guards against the upstreams that are left in a region after the loss of a
	// zone and refuse what other regions have room for, until the leases lapse.
	It("give up at once what they cannot carry without the upstreams that are out", func() {
		list := both(10, 10)
		b := newBench(1, "huye", list...)
		plans := slices.Clone(b.snap.Plans)
		for i := range plans {
			plans[i].Carries, plans[i].Fill = 32, 1
		}
		b.setWithPlans(plans, list...)
		inHuye := func() int {
			n := 0
			for i := range 500 {
				if b.place(0, workOn(i)).Region == "huye" {
					n++
				}
			}
			return n
		}
		Expect(inHuye()).To(Equal(500))
		b.now = b.now.Add(time.Second)
		for i := range 5 {
			b.pickers[0].Observe(azurestair.Choice{Upstream: list[i].Upstream}, azurestair.Observation{Unreachable: true}, b.now)
		}
		Expect(inHuye()).To(BeNumerically("~", 345, 40), "22 slots for 32")
		b.now = b.now.Add(20 * time.Second)
		for range 3 {
			inHuye()
		}
		Expect(inHuye()).To(Equal(500))
	})

	// Guards against requests that are refused because the plan is older than the
	// loss of a region.
	It("take the objects of a region that has no upstream left", func() {
		list := both(10, 10)
		b := newBench(1, "huye", list...)
		Expect(b.place(0, workOn(1)).Region).To(BeEquivalentTo("huye"))
		b.setWithPlans(b.snap.Plans, list[10:]...)
		Expect(b.place(0, workOn(1)).Region).To(BeEquivalentTo("kigali"))
	})

	// Guards against a request that runs outside its home regions.
	It("never take work away from its homes", func() {
		b := newBench(1, "kigali", both(2, 6)...)
		for i := range 200 {
			w := workOn(i)
			w.Homes = []azurestair.RegionName{"huye"}
			Expect(b.place(0, w).Region).To(BeEquivalentTo("huye"))
		}
		w := workOn(1)
		w.Homes = []azurestair.RegionName{"musanze"}
		expectRefused(b.pickers[0], w, b.now, azurestair.ReasonNoUpstream)
	})

	// Guards against work for an evacuated failure domain.
	It("leave out a drained failure domain", func() {
		b := newBench(1, "huye", upstreams("huye", 6)...)
		b.snap.Drains = []azurestair.Drain{{Target: azurestair.Target{Kind: azurestair.TargetFailureDomain, Name: "huye-a"}}}
		b.set(upstreams("huye", 6)...)
		for i := range 100 {
			Expect(b.place(0, workOn(i)).Upstream).To(BeElementOf(azurestair.UpstreamID("huye-1"), azurestair.UpstreamID("huye-3"), azurestair.UpstreamID("huye-5")))
		}
	})
})

var _ = Describe("an upstream", func() {
	// Guards against entries that together crash a cold upstream.
	It("that is cold gets what it tolerates from all entries together", func() {
		list := upstreams("huye", 1)
		list[0].ColdMs = 3000
		b := newBench(7, "huye", list...)
		var sent []time.Time
		for range 30 {
			for e := range b.pickers {
				if c, err := b.pickers[e].Pick(workOn(e), nil, b.now); err == nil {
					sent = append(sent, b.now)
					b.pickers[e].Done(c, done, latency, b.now)
				}
			}
			b.now = b.now.Add(50 * time.Millisecond)
		}
		for i, at := range sent {
			n := 0
			for _, other := range sent[i:] {
				if other.Sub(at) < time.Second {
					n++
				}
			}
			Expect(n).To(BeNumerically("<=", 9))
		}
		Expect(len(sent)).To(BeNumerically(">=", 9))
	})

	// Guards against work for an upstream that fails fast, and against one that
	// is never tried again.
	It("that fails is taken out and tried again", func() {
		b := newBench(1, "huye", upstreams("huye", 6)...)
		p := b.pickers[0]
		bad := b.place(0, workOn(1)).Upstream
		for range 3 {
			c, err := p.Pick(workOn(1), nil, b.now)
			Expect(err).NotTo(HaveOccurred())
			p.Done(c, azurestair.AttemptBroken, latency, b.now)
		}
		Expect(b.place(0, workOn(1)).Upstream).NotTo(Equal(bad))
		b.now = b.now.Add(1100 * time.Millisecond)
		Expect(b.place(0, workOn(1)).Upstream).To(Equal(bad))
	})

	// Guards against requests that each wait for a connection to an upstream
	// without power: on a played day that was 300 ms for each of three requests,
	// upstream and entry.
	It("that cannot be connected to is taken out at once", func() {
		b := newBench(1, "huye", upstreams("huye", 6)...)
		p := b.pickers[0]
		c, err := p.Pick(workOn(1), nil, b.now)
		Expect(err).NotTo(HaveOccurred())
		p.Observe(c, azurestair.Observation{Unreachable: true}, b.now)
		p.Done(c, azurestair.AttemptNotRun, 300*time.Millisecond, b.now)
		Expect(b.place(0, workOn(1)).Upstream).NotTo(Equal(c.Upstream))
	})

	// Guards against work for upstreams that have ceased to announce themselves,
	// and against a new leader's first few announcements that draw all work.
	It("that ceased to announce itself gets no work while most others do", func() {
		b := newBench(1, "huye", upstreams("huye", 6)...)
		used := func(unconfirmed int) map[azurestair.UpstreamID]bool {
			snap := b.snap
			snap.Upstreams = append([]azurestair.UpstreamInfo{}, snap.Upstreams...)
			for i := range unconfirmed {
				snap.Upstreams[i].Confirmed = false
			}
			b.pickers[0].Update(&snap, b.now)
			out := map[azurestair.UpstreamID]bool{}
			for _, u := range b.places(0, 200) {
				out[u] = true
			}
			return out
		}
		Expect(used(1)).To(HaveLen(5))
		Expect(used(4)).To(HaveLen(6))
	})

	// Guards against an address that another process has taken over.
	It("that is gone is taken out at once", func() {
		b := newBench(1, "huye", upstreams("huye", 6)...)
		p := b.pickers[0]
		c, err := p.Pick(workOn(1), nil, b.now)
		Expect(err).NotTo(HaveOccurred())
		p.Observe(c, azurestair.Observation{Shed: true, Gone: true}, b.now)
		p.Done(c, azurestair.AttemptNotRun, 0, b.now)
		Expect(b.place(0, workOn(1)).Upstream).NotTo(Equal(c.Upstream))
	})

	// shed has the upstream of the first object refuse a request, or answer one.
	shed := func(b *bench, refuse bool) azurestair.UpstreamID {
		GinkgoHelper()
		c, err := b.pickers[0].Pick(workOn(1), nil, b.now)
		Expect(err).NotTo(HaveOccurred())
		result := azurestair.AttemptDone
		if refuse {
			result = azurestair.AttemptNotRun
			b.pickers[0].Observe(c, azurestair.Observation{Shed: true}, b.now)
		}
		b.pickers[0].Done(c, result, latency, b.now)
		return c.Upstream
	}

	// Guards against an overload that takes out upstreams because they refuse
	// part of their requests: on the days of high load this cost 0.05.
	It("that refuses some requests is not taken out", func() {
		b := newBench(1, "huye", upstreams("huye", 6)...)
		loaded := b.place(0, workOn(1)).Upstream
		for n := range 40 {
			b.now = b.now.Add(200 * time.Millisecond)
			Expect(shed(b, n%8 != 0)).To(Equal(loaded))
		}
	})

	// Guards against work for an upstream that refuses all of it.
	It("that refuses every request is taken out", func() {
		b := newBench(1, "huye", upstreams("huye", 6)...)
		broken := b.place(0, workOn(1)).Upstream
		refused := 0
		for shed(b, true) == broken {
			b.now = b.now.Add(500 * time.Millisecond)
			refused++
			Expect(refused).To(BeNumerically("<", 12))
		}
		Expect(refused).To(BeNumerically(">", 6))
	})

	// Guards against an overload that takes out upstreams because they are late:
	// their work then loads the others. On a recorded day the entries of one site
	// took out 25 upstreams within half a second, each several times.
	It("that is late but answers is not taken out", func() {
		list := upstreams("huye", 6)
		for i := range list {
			list[i].Slots = 100
		}
		b := newBench(1, "huye", list...)
		p := b.pickers[0]
		first := b.place(0, workOn(1)).Upstream
		for range 20 {
			late, err := p.Pick(workOn(1), nil, b.now)
			Expect(err).NotTo(HaveOccurred())
			b.now = b.now.Add(latency)
			b.place(0, workOn(1))
			b.now = b.now.Add(latency)
			p.Done(late, azurestair.AttemptTimeout, 2*latency, b.now)
			p.Observe(late, azurestair.Observation{Unreachable: true}, b.now)
		}
		b.now = b.now.Add(time.Second)
		Expect(b.place(0, workOn(1)).Upstream).To(Equal(first))
	})

	// Guards against a silent upstream that keeps its work.
	It("that answers nothing is taken out", func() {
		b := newBench(1, "huye", upstreams("huye", 6)...)
		p := b.pickers[0]
		first := b.place(0, workOn(1)).Upstream
		for range 3 {
			c, err := p.Pick(workOn(1), nil, b.now)
			Expect(err).NotTo(HaveOccurred())
			b.now = b.now.Add(2 * time.Second)
			p.Done(c, azurestair.AttemptTimeout, 2*time.Second, b.now)
		}
		Expect(b.place(0, workOn(1)).Upstream).NotTo(Equal(first))
	})

	// Guards against an ejection that lasts longer for attempts that were sent before it.
	It("is taken out once for attempts that were in flight together", func() {
		b := newBench(1, "huye", upstreams("huye", 6)...)
		p := b.pickers[0]
		var open []azurestair.Choice
		for range 4 {
			c, err := p.Pick(workOn(1), nil, b.now)
			Expect(err).NotTo(HaveOccurred())
			open = append(open, c)
		}
		for range 3 {
			for _, c := range open {
				p.Observe(c, azurestair.Observation{Unreachable: true}, b.now)
			}
		}
		outs := 0
		for _, e := range p.Events() {
			if e.Out {
				outs++
			}
		}
		Expect(outs).To(Equal(1))
	})

	// Guards against a failure of all upstreams that takes away all capacity.
	It("is not taken out when too many are already", func() {
		b := newBench(1, "huye", upstreams("huye", 5)...)
		p := b.pickers[0]
		for i := range 200 {
			c, err := p.Pick(workOn(i), nil, b.now)
			Expect(err).NotTo(HaveOccurred())
			p.Done(c, azurestair.AttemptBroken, latency, b.now)
		}
		out := 0
		for _, s := range p.Status(nil, b.now) {
			if s.Standing == routing.StandingEjected {
				out++
			}
		}
		Expect(out).To(Equal(2))
	})

	// Guards against slots that stay counted after a timeout, or are freed while
	// the upstream may still be working.
	It("counts a cut-off attempt until its bound", func() {
		b := newBench(1, "huye", upstreams("huye", 1)...)
		p := b.pickers[0]
		for range 6 {
			c, err := p.Pick(workOn(1), nil, b.now)
			Expect(err).NotTo(HaveOccurred())
			p.Abandon(c, true, latency, b.now)
		}
		expectRefused(p, workOn(1), b.now, azurestair.ReasonSaturated)
		b.now = b.now.Add(time.Second)
		b.place(0, workOn(1))
	})
})
