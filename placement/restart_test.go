package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/placement"
)

// restarted returns the upstreams with the first one started again, cold for
// three seconds.
func restarted(list []azurestair.Announcement) []azurestair.Announcement {
	next := append([]azurestair.Announcement{}, list...)
	next[0].Incarnation++
	next[0].Sequence, next[0].ColdMs = 1, 3000
	return next
}

var _ = Describe("an upstream that starts again under its id", func() {
	list := upstreams("huye", 1)
	var h *harness
	BeforeEach(func() { h = newHarness(1, "huye", list...) })

	// Guards against a flood of a cold upstream that leaves no trace of what
	// the entries knew.
	It("is reported with the requests that were sent to it shortly before", func() {
		for i := range 5 {
			h.place(0, workOn(i))
		}
		h.set(restarted(list)...)
		Expect(h.pickers[0].Events()).To(ConsistOf(placement.Event{
			Upstream: list[0].Upstream,
			Restart:  &placement.Restart{Incarnation: 2, Before: 1, ColdMs: 3000, RecentRequests: 5, Quota: 9},
		}))
	})
})
