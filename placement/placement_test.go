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

// harness drives the pickers of several entries in virtual time.
type harness struct {
	now     time.Time
	pickers []*placement.Picker
	snap    azurestair.Snapshot
}

func newHarness(entries int, region azurestair.RegionName, list ...azurestair.Announcement) *harness {
	h := &harness{now: start}
	h.snap.Config = &azurestair.Config{Version: 1, Services: []azurestair.Service{{Name: "desk", ColdPerSecond: 9.7}}}
	for i := range entries {
		id := azurestair.InstanceID(fmt.Sprintf("entry-%d", i))
		h.pickers = append(h.pickers, placement.New(placement.Options{
			Service: "desk", Region: region, Self: id, LateSlotTTL: time.Second, Rand: rand.NewPCG(1, uint64(i)),
		}))
		h.snap.Instances = append(h.snap.Instances, azurestair.InstanceInfo{ID: id, CallerAddr: "127.0.0.1:1", Region: region})
	}
	h.set(list...)
	return h
}

// set publishes the upstreams to all entries, with the region plans computed
// for them.
func (h *harness) set(list ...azurestair.Announcement) {
	snap := h.snap
	snap.Upstreams = upstreamInfos(list)
	var planner control.RegionPlanner
	h.setWithPlans(planner.Step(&snap, nil, h.now), list...)
}

// setWithPlans publishes the upstreams with given plans.
func (h *harness) setWithPlans(plans []azurestair.RegionPlan, list ...azurestair.Announcement) {
	snap := h.snap
	snap.Upstreams, snap.Plans = upstreamInfos(list), plans
	h.snap = snap
	for _, p := range h.pickers {
		p.Update(&snap, h.now)
	}
}

func upstreamInfos(list []azurestair.Announcement) []azurestair.UpstreamInfo {
	out := make([]azurestair.UpstreamInfo, len(list))
	for i, a := range list {
		out[i] = azurestair.UpstreamInfo{Announcement: a, Confirmed: true}
	}
	return out
}

func objectOf(n int) azurestair.ObjectKey { return azurestair.ObjectKeyOf(fmt.Sprint(n)) }

func workOn(n int) azurestair.RequestInfo {
	return azurestair.RequestInfo{Service: "desk", Rank: azurestair.RankInteractive, Idempotent: true, Object: objectOf(n)}
}

// place returns where an entry sends a request and ends the attempt.
func (h *harness) place(entry int, w azurestair.RequestInfo) azurestair.Choice {
	GinkgoHelper()
	c, err := h.pickers[entry].Pick(w, nil, h.now)
	Expect(err).NotTo(HaveOccurred())
	h.pickers[entry].Done(c, done, latency, h.now)
	return c
}

// places returns where an entry sends a request for each of n objects.
func (h *harness) places(entry, n int) map[int]azurestair.UpstreamID {
	GinkgoHelper()
	out := map[int]azurestair.UpstreamID{}
	for i := range n {
		out[i] = h.place(entry, workOn(i)).Upstream
	}
	return out
}

func countMoved(a, b map[int]azurestair.UpstreamID) int {
	n := 0
	for i := range a {
		if a[i] != b[i] {
			n++
		}
	}
	return n
}

// expectRefused checks that Pick refuses the request for the given reason.
func expectRefused(p *placement.Picker, w azurestair.RequestInfo, now time.Time, reason azurestair.Reason) {
	GinkgoHelper()
	_, err := p.Pick(w, nil, now)
	Expect(routing.ReasonOf(err)).To(Equal(reason))
}

var _ = Describe("an object", func() {
	// Guards against objects that are warm only at the upstream that one entry
	// uses.
	It("is placed on the same upstream by every entry", func() {
		h := newHarness(3, "huye", upstreams("huye", 12)...)
		Expect(countMoved(h.places(0, 200), h.places(1, 200))).To(BeZero())
		Expect(countMoved(h.places(0, 200), h.places(2, 200))).To(BeZero())
	})

	// Guards against a change of one upstream that makes all objects cold.
	It("moves only if its upstream was added or removed", func() {
		list := upstreams("huye", 12)
		h := newHarness(1, "huye", list...)
		before := h.places(0, 600)
		removed := list[5].Upstream
		h.set(append(append([]azurestair.Announcement{}, list[:5]...), list[6:]...)...)
		after := h.places(0, 600)
		for i, u := range before {
			if u != removed {
				Expect(after[i]).To(Equal(u))
			}
		}
		h.set(list...)
		Expect(countMoved(before, h.places(0, 600))).To(BeZero())
	})

	// Guards against a burst of requests for one object that spreads over all
	// upstreams and evicts their cached objects.
	It("stays on its first upstreams in an overload, and is then refused", func() {
		h := newHarness(1, "huye", upstreams("huye", 12)...)
		used := map[azurestair.UpstreamID]bool{}
		var err error
		for range 200 {
			var c azurestair.Choice
			if c, err = h.pickers[0].Pick(workOn(1), nil, h.now); err != nil {
				break
			}
			used[c.Upstream] = true
		}
		Expect(routing.ReasonOf(err)).To(Equal(azurestair.ReasonSaturated))
		Expect(used).To(HaveLen(placement.DefaultCopies + placement.DefaultReach))
	})

	// Guards against a route without objects that sends all requests to one
	// upstream.
	It("is not required for spreading requests", func() {
		h := newHarness(1, "huye", upstreams("huye", 12)...)
		used := map[azurestair.UpstreamID]bool{}
		for range 200 {
			used[h.place(0, azurestair.RequestInfo{Service: "desk", Rank: azurestair.RankInteractive}).Upstream] = true
		}
		Expect(len(used)).To(BeNumerically(">=", 10))
	})
})

var _ = Describe("regions", func() {
	both := func(a, b int) []azurestair.Announcement {
		return append(upstreams("huye", a), upstreams("kigali", b)...)
	}

	// Guards against a region that keeps all its objects although it has few
	// upstreams.
	It("keep the share of their objects that their slots can carry", func() {
		h := newHarness(1, "huye", both(2, 6)...)
		kept := 0
		for i := range 1000 {
			if h.place(0, workOn(i)).Region == "huye" {
				kept++
			}
		}
		Expect(kept).To(BeNumerically("~", 500, 60), "a quarter of the slots for half of the requests")
		h = newHarness(1, "kigali", both(2, 6)...)
		for i := range 100 {
			Expect(h.place(0, workOn(i)).Region).To(BeEquivalentTo("kigali"))
		}
	})

	// Guards against refusals after the loss of a failure domain: until the
	// leases of the lost upstreams expired, those left in the region refused
	// requests that other regions had capacity for.
	It("give up at once the objects that they cannot carry without ejected upstreams", func() {
		list := both(10, 10)
		h := newHarness(1, "huye", list...)
		plans := slices.Clone(h.snap.Plans)
		for i := range plans {
			plans[i].PlannedSlots, plans[i].TargetUtilization = 32, 1
		}
		h.setWithPlans(plans, list...)
		inHuye := func() int {
			n := 0
			for i := range 500 {
				if h.place(0, workOn(i)).Region == "huye" {
					n++
				}
			}
			return n
		}
		Expect(inHuye()).To(Equal(500))
		h.now = h.now.Add(time.Second)
		for i := range 5 {
			h.pickers[0].Observe(azurestair.Choice{Upstream: list[i].Upstream, Incarnation: list[i].Incarnation}, azurestair.Observation{Unreachable: true}, h.now)
		}
		Expect(inHuye()).To(BeNumerically("~", 345, 40), "22 slots for 32")
		h.now = h.now.Add(20 * time.Second)
		for range 3 {
			inHuye()
		}
		Expect(inHuye()).To(Equal(500))
	})

	// Guards against requests that are refused because the plan is older than
	// the loss of a region.
	It("take over the objects of a region without upstreams", func() {
		list := both(10, 10)
		h := newHarness(1, "huye", list...)
		Expect(h.place(0, workOn(1)).Region).To(BeEquivalentTo("huye"))
		h.setWithPlans(h.snap.Plans, list[10:]...)
		Expect(h.place(0, workOn(1)).Region).To(BeEquivalentTo("kigali"))
	})

	// Guards against running a request outside its home regions.
	It("never run requests outside their home regions", func() {
		h := newHarness(1, "kigali", both(2, 6)...)
		for i := range 200 {
			w := workOn(i)
			w.HomeRegions = []azurestair.RegionName{"huye"}
			Expect(h.place(0, w).Region).To(BeEquivalentTo("huye"))
		}
		w := workOn(1)
		w.HomeRegions = []azurestair.RegionName{"musanze"}
		expectRefused(h.pickers[0], w, h.now, azurestair.ReasonNoUpstream)
	})

	// Guards against sending requests to an evacuated failure domain.
	It("exclude a drained failure domain", func() {
		h := newHarness(1, "huye", upstreams("huye", 6)...)
		h.snap.Drains = []azurestair.Drain{{Target: azurestair.Target{Kind: azurestair.TargetFailureDomain, Name: "huye-a"}}}
		h.set(upstreams("huye", 6)...)
		for i := range 100 {
			Expect(h.place(0, workOn(i)).Upstream).To(BeElementOf(azurestair.UpstreamID("huye-1"), azurestair.UpstreamID("huye-3"), azurestair.UpstreamID("huye-5")))
		}
	})
})

var _ = Describe("an upstream", func() {
	// Guards against entries that together overload a cold upstream, which
	// would crash it.
	It("that is cold gets at most what it tolerates from all entries together", func() {
		list := upstreams("huye", 1)
		list[0].ColdMs = 3000
		h := newHarness(7, "huye", list...)
		var sent []time.Time
		for range 30 {
			for e := range h.pickers {
				if c, err := h.pickers[e].Pick(workOn(e), nil, h.now); err == nil {
					sent = append(sent, h.now)
					h.pickers[e].Done(c, done, latency, h.now)
				}
			}
			h.now = h.now.Add(50 * time.Millisecond)
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

	// Guards against sending requests to an upstream that fails fast, and
	// against never trying it again.
	It("that fails is ejected and tried again", func() {
		h := newHarness(1, "huye", upstreams("huye", 6)...)
		p := h.pickers[0]
		bad := h.place(0, workOn(1)).Upstream
		for range 3 {
			c, err := p.Pick(workOn(1), nil, h.now)
			Expect(err).NotTo(HaveOccurred())
			p.Done(c, azurestair.AttemptInterrupted, latency, h.now)
		}
		Expect(h.place(0, workOn(1)).Upstream).NotTo(Equal(bad))
		h.now = h.now.Add(1100 * time.Millisecond)
		Expect(h.place(0, workOn(1)).Upstream).To(Equal(bad))
	})

	// Guards against a connection timeout for every request to an upstream
	// without power. On a simulated day this cost 300 ms for each of three
	// requests per upstream and entry.
	It("that cannot be connected to is ejected at once", func() {
		h := newHarness(1, "huye", upstreams("huye", 6)...)
		p := h.pickers[0]
		c, err := p.Pick(workOn(1), nil, h.now)
		Expect(err).NotTo(HaveOccurred())
		p.Observe(c, azurestair.Observation{Unreachable: true}, h.now)
		p.Done(c, azurestair.AttemptNotRun, 300*time.Millisecond, h.now)
		Expect(h.place(0, workOn(1)).Upstream).NotTo(Equal(c.Upstream))
	})

	// Guards against sending requests to upstreams that no longer announce
	// themselves, and against sending all requests to the first few upstreams
	// that announce themselves to a new leader.
	It("that no longer announces itself gets no requests while most others do", func() {
		h := newHarness(1, "huye", upstreams("huye", 6)...)
		used := func(unconfirmed int) map[azurestair.UpstreamID]bool {
			snap := h.snap
			snap.Upstreams = append([]azurestair.UpstreamInfo{}, snap.Upstreams...)
			for i := range unconfirmed {
				snap.Upstreams[i].Confirmed = false
			}
			h.pickers[0].Update(&snap, h.now)
			out := map[azurestair.UpstreamID]bool{}
			for _, u := range h.places(0, 200) {
				out[u] = true
			}
			return out
		}
		Expect(used(1)).To(HaveLen(5))
		Expect(used(4)).To(HaveLen(6))
	})

	// Guards against an address that another process has taken over.
	It("that another process has replaced is ejected at once", func() {
		h := newHarness(1, "huye", upstreams("huye", 6)...)
		p := h.pickers[0]
		c, err := p.Pick(workOn(1), nil, h.now)
		Expect(err).NotTo(HaveOccurred())
		p.Observe(c, azurestair.Observation{Shed: true, AddressReused: true}, h.now)
		p.Done(c, azurestair.AttemptNotRun, 0, h.now)
		Expect(h.place(0, workOn(1)).Upstream).NotTo(Equal(c.Upstream))
	})

	// shed sends a request for the first object; its upstream refuses or
	// answers it.
	shed := func(h *harness, refuse bool) azurestair.UpstreamID {
		GinkgoHelper()
		c, err := h.pickers[0].Pick(workOn(1), nil, h.now)
		Expect(err).NotTo(HaveOccurred())
		result := azurestair.AttemptDone
		if refuse {
			result = azurestair.AttemptNotRun
			h.pickers[0].Observe(c, azurestair.Observation{Shed: true}, h.now)
		}
		h.pickers[0].Done(c, result, latency, h.now)
		return c.Upstream
	}

	// Guards against ejecting upstreams in an overload because they refuse part
	// of their requests: on the days of high load this cost 0.05 of the score.
	It("that refuses some requests is not ejected", func() {
		h := newHarness(1, "huye", upstreams("huye", 6)...)
		loaded := h.place(0, workOn(1)).Upstream
		for n := range 40 {
			h.now = h.now.Add(200 * time.Millisecond)
			Expect(shed(h, n%8 != 0)).To(Equal(loaded))
		}
	})

	// Guards against sending requests to an upstream that refuses all of them.
	It("that refuses every request is ejected", func() {
		h := newHarness(1, "huye", upstreams("huye", 6)...)
		broken := h.place(0, workOn(1)).Upstream
		refused := 0
		for shed(h, true) == broken {
			h.now = h.now.Add(500 * time.Millisecond)
			refused++
			Expect(refused).To(BeNumerically("<", 12))
		}
		Expect(refused).To(BeNumerically(">", 6))
	})

	// Guards against ejecting upstreams in an overload because they are slow,
	// which overloads the others. On a recorded day the entries of one site
	// ejected 25 upstreams within half a second, each several times.
	It("that is slow but answers is not ejected", func() {
		list := upstreams("huye", 6)
		for i := range list {
			list[i].Slots = 100
		}
		h := newHarness(1, "huye", list...)
		p := h.pickers[0]
		first := h.place(0, workOn(1)).Upstream
		for range 20 {
			late, err := p.Pick(workOn(1), nil, h.now)
			Expect(err).NotTo(HaveOccurred())
			h.now = h.now.Add(latency)
			h.place(0, workOn(1))
			h.now = h.now.Add(latency)
			p.Done(late, azurestair.AttemptTimeout, 2*latency, h.now)
			p.Observe(late, azurestair.Observation{Unreachable: true}, h.now)
		}
		h.now = h.now.Add(time.Second)
		Expect(h.place(0, workOn(1)).Upstream).To(Equal(first))
	})

	// Guards against an upstream that never answers and keeps receiving
	// requests.
	It("that never answers is ejected", func() {
		h := newHarness(1, "huye", upstreams("huye", 6)...)
		p := h.pickers[0]
		first := h.place(0, workOn(1)).Upstream
		for range 3 {
			c, err := p.Pick(workOn(1), nil, h.now)
			Expect(err).NotTo(HaveOccurred())
			h.now = h.now.Add(2 * time.Second)
			p.Done(c, azurestair.AttemptTimeout, 2*time.Second, h.now)
		}
		Expect(h.place(0, workOn(1)).Upstream).NotTo(Equal(first))
	})

	// Guards against an ejection that is prolonged by attempts sent before it.
	It("is ejected once for attempts that were in flight together", func() {
		h := newHarness(1, "huye", upstreams("huye", 6)...)
		p := h.pickers[0]
		var inFlight []azurestair.Choice
		for range 4 {
			c, err := p.Pick(workOn(1), nil, h.now)
			Expect(err).NotTo(HaveOccurred())
			inFlight = append(inFlight, c)
		}
		for range 3 {
			for _, c := range inFlight {
				p.Observe(c, azurestair.Observation{Unreachable: true}, h.now)
			}
		}
		ejections := 0
		for _, e := range p.Events() {
			if e.Ejected {
				ejections++
			}
		}
		Expect(ejections).To(Equal(1))
	})

	// Guards against ejecting all capacity when all upstreams fail.
	It("is not ejected when too many already are", func() {
		h := newHarness(1, "huye", upstreams("huye", 5)...)
		p := h.pickers[0]
		for i := range 200 {
			c, err := p.Pick(workOn(i), nil, h.now)
			Expect(err).NotTo(HaveOccurred())
			p.Done(c, azurestair.AttemptInterrupted, latency, h.now)
		}
		ejected := 0
		for _, s := range p.Status(nil, h.now) {
			if s.Standing == routing.StandingEjected {
				ejected++
			}
		}
		Expect(ejected).To(Equal(2))
	})

	// Guards against slots that stay counted after the late-slot timeout, and
	// against slots that are released while the upstream may still be working.
	It("counts an abandoned attempt until the late-slot timeout", func() {
		h := newHarness(1, "huye", upstreams("huye", 1)...)
		p := h.pickers[0]
		for range 6 {
			c, err := p.Pick(workOn(1), nil, h.now)
			Expect(err).NotTo(HaveOccurred())
			p.Abandon(c, true, latency, h.now)
		}
		expectRefused(p, workOn(1), h.now, azurestair.ReasonSaturated)
		h.now = h.now.Add(time.Second)
		h.place(0, workOn(1))
	})
})
