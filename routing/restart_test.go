package routing_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/routing"
)

// restart publishes the same list with the first upstream started again.
func (h *harness) restart() {
	next := append([]azurestair.UpstreamInfo{}, h.snap.Upstreams...)
	next[0].Announcement.Incarnation++
	h.set(next...)
}

// expectStatus checks what the picker believes of an upstream.
func expectStatus(h *harness, want routing.Status) {
	GinkgoHelper()
	Expect(h.Status(nil, h.now)).To(ContainElement(want))
}

var _ = Describe("attempts to an earlier process of an upstream", func() {
	var h *harness
	var before []azurestair.Choice
	fresh := routing.Status{Upstream: "x-0", Standing: routing.StandingSlowStart, Latency: latency}
	BeforeEach(func() {
		before = nil
		h = newHarness(routing.Options{}, upstreams("x", 4, 9)...)
		h.run(100, done)
		for _, c := range h.pickUntilRefused() {
			if c.Upstream == "x-0" {
				before = append(before, c)
				continue
			}
			h.Done(c, done, latency, h.now)
		}
		Expect(before).To(HaveLen(9 + 2))
		h.restart()
	})

	// Guards against a restarted upstream that gets no requests until attempts to
	// its earlier process time out, because its machine failed without closing the
	// connections.
	It("use no slots of the new process while they last", func() {
		expectStatus(h, fresh)
		Expect(h.pick("x-1", "x-2", "x-3").Upstream).To(BeEquivalentTo("x-0"))
		Expect(h.InFlight("x-0")).To(BeEquivalentTo(1))
		for _, c := range before {
			h.Done(c, broken, latency, h.now)
		}
		Expect(h.InFlight("x-0")).To(BeEquivalentTo(1))
	})

	// Guards against a shift that exceeds its cap, because an upstream that
	// finishes its requests has already been started again.
	It("count towards the cap of their region while they last", func() {
		h = newHarness(routing.Options{Region: "x", ShiftBudget: func(_ azurestair.RegionName, n azurestair.Slots, _ time.Time) bool {
			return n < 5
		}}, upstreams("y", 1, 9)...)
		before = h.pickUntilRefused()
		Expect(before).To(HaveLen(5))
		h.restart()
		expectRefused(h, azurestair.ReasonShiftCap)
		for _, c := range before {
			h.Done(c, done, latency, h.now)
		}
		Expect(h.CrossRegionInFlight("y")).To(BeZero())
	})

	// Guards against a restarted upstream that is ejected, or avoided as slow or
	// busy, because of requests that its earlier process did not answer.
	DescribeTable("say nothing about the new process",
		func(end func(c azurestair.Choice)) {
			for _, c := range before {
				end(c)
			}
			expectStatus(h, fresh)
		},
		Entry("broken", func(c azurestair.Choice) { h.Done(c, broken, latency, h.now) }),
		Entry("timed out", func(c azurestair.Choice) { h.Done(c, azurestair.AttemptTimeout, time.Second, h.now) }),
		Entry("answered", func(c azurestair.Choice) { h.Done(c, done, time.Second, h.now) }),
		Entry("abandoned", func(c azurestair.Choice) { h.Abandon(c, true, time.Second, h.now) }),
		Entry("not sent", func(c azurestair.Choice) { h.Abandon(c, false, 0, h.now) }),
	)
})

// Guards against requests to the address of a process that is gone, after an
// upstream was forgotten and starts again with a clock that is behind. While
// nothing changes, there is no snapshot in which its record could be removed.
var _ = It("an upstream is taken for a new one after the time for which an unlisted one is kept", func() {
	list := upstreams("x", 2, 9)
	list[0].Announcement.Incarnation, list[0].Announcement.Addr = 2, "10.0.0.1:80"
	h := newHarness(routing.Options{}, list...)
	h.set(list[1])
	h.now = h.now.Add(40 * time.Second)
	list[0].Announcement.Incarnation, list[0].Announcement.Addr = 1, "10.0.0.2:80"
	h.set(list...)
	Expect(h.pick("x-1").Addr).To(Equal("10.0.0.2:80"))
})
