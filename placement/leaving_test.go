package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/routing"
)

var _ = Describe("an upstream that says in a response that it is leaving", func() {
	list := upstreams("huye", 2)
	var h *harness
	BeforeEach(func() { h = newHarness(1, "huye", list...) })
	used := func(id azurestair.UpstreamID) bool {
		for _, u := range h.places(0, 100) {
			if u == id {
				return true
			}
		}
		return false
	}
	observeLeaving := func(c azurestair.Choice) {
		h.pickers[0].Observe(c, azurestair.Observation{Leaving: true}, h.now)
	}

	// Guards against a later snapshot that still lists the upstream as serving,
	// because its last announcement says so.
	It("gets no requests, whatever later snapshots say", func() {
		Expect(used(list[0].Upstream)).To(BeTrue())
		observeLeaving(azurestair.Choice{Upstream: list[0].Upstream, Incarnation: 1})
		Expect(used(list[0].Upstream)).To(BeFalse())
		h.set(list...)
		Expect(used(list[0].Upstream)).To(BeFalse())
	})

	It("is used again as a new incarnation, which a late response of the last one does not end", func() {
		observeLeaving(azurestair.Choice{Upstream: list[0].Upstream, Incarnation: 1})
		next := append([]azurestair.Announcement{}, list...)
		next[0].Incarnation = 2
		h.set(next...)
		Expect(used(list[0].Upstream)).To(BeTrue())
		observeLeaving(azurestair.Choice{Upstream: list[0].Upstream, Incarnation: 1})
		Expect(used(list[0].Upstream)).To(BeTrue())
	})
})

// Names the load pattern in which upstreams turn requests away and say for how
// long: requests that are sent nevertheless cost a round trip each and are
// refused again.
var _ = Describe("upstreams that ask for a pause", func() {
	list := upstreams("huye", 3)
	pause := func(h *harness, i int, d time.Duration) {
		h.pickers[0].Observe(azurestair.Choice{Upstream: list[i].Upstream, Incarnation: 1},
			azurestair.Observation{Shed: true, PausedUntil: h.now.Add(d)}, h.now)
	}

	It("get no requests until it ends, while others serve", func() {
		h := newHarness(1, "huye", list...)
		pause(h, 0, 2*time.Second)
		for _, u := range h.places(0, 100) {
			Expect(u).NotTo(Equal(list[0].Upstream))
		}
		h.now = h.now.Add(2 * time.Second)
		Expect(h.places(0, 100)).To(ContainElement(list[0].Upstream))
	})

	It("are not forgotten in the next snapshot, and a shorter pause does not replace a longer one", func() {
		h := newHarness(1, "huye", list...)
		pause(h, 0, 2*time.Second)
		pause(h, 0, time.Second)
		h.set(list...)
		h.now = h.now.Add(1500 * time.Millisecond)
		Expect(h.places(0, 100)).NotTo(ContainElement(list[0].Upstream))
	})

	// Guards against callers that wait, or return before an upstream can serve
	// them.
	It("make requests be refused at once with the earliest return if there is no other", func() {
		h := newHarness(1, "huye", list...)
		for i := range list {
			pause(h, i, time.Duration(3-i)*time.Second)
		}
		_, err := h.pickers[0].Pick(workOn(1), nil, h.now)
		Expect(routing.ReasonOf(err)).To(Equal(azurestair.ReasonPaused))
		Expect(routing.RetryAtOf(err)).To(Equal(h.now.Add(time.Second)))
	})
})

// Guards against a new upstream, or one that was ejected, whose trial is
// decided by an attempt from before the ejection.
var _ = Describe("the trial of an ejected upstream", func() {
	const only = azurestair.UpstreamID("huye-0")
	It("is decided by the trial itself", func() {
		h := newHarness(1, "huye", upstreams("huye", 1)...)
		p := h.pickers[0]
		early, err := p.Pick(workOn(1), nil, h.now)
		Expect(err).NotTo(HaveOccurred())
		p.Observe(azurestair.Choice{Upstream: only, Incarnation: 1}, azurestair.Observation{Unreachable: true}, h.now.Add(time.Second))
		h.now = h.now.Add(3 * time.Second)
		trial, err := p.Pick(workOn(1), nil, h.now)
		Expect(err).NotTo(HaveOccurred())
		Expect([]bool{early.Trial, trial.Trial}).To(Equal([]bool{false, true}))
		p.Done(early, done, latency, h.now)
		_, err = p.Pick(workOn(1), nil, h.now)
		Expect(err).To(HaveOccurred(), "the trial is still in flight")
		p.Done(trial, done, latency, h.now)
		_, err = p.Pick(workOn(1), nil, h.now)
		Expect(err).NotTo(HaveOccurred())
	})
})
