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

	// Guards against a restarted upstream that is ejected, or avoided as slow or
	// busy, because of requests that its earlier process did not answer.
	DescribeTable("free their slots and say nothing about the new process",
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
