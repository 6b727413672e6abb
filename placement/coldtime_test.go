package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/placement"
)

// coldListing is how a snapshot lists an upstream.
type coldListing struct {
	at          time.Duration
	sequence    azurestair.Sequence
	cold        azurestair.Millis
	unconfirmed bool
}

// Guards against upstreams that stay limited for as long as other upstreams change,
// and against a new leader whose older list ends a cold time early.
var _ = DescribeTable("a listed cold time ends", func(end time.Duration, listings ...coldListing) {
	expectCold := func(h *harness, at time.Duration, want bool) {
		GinkgoHelper()
		sent := 0
		for range 2 * coldBound {
			if c, err := h.pickers[0].Pick(workOn(1), nil, start.Add(at)); err == nil {
				h.pickers[0].Done(c, done, latency, start.Add(at))
				sent++
			}
		}
		Expect(sent < 2*coldBound).To(Equal(want), "at %v", at)
	}
	for _, check := range []struct {
		at   time.Duration
		cold bool
	}{{end - time.Millisecond, true}, {end, false}} {
		h := newHarness(1, "huye")
		for _, l := range listings {
			a := upstreams("huye", 1)[0]
			a.Sequence, a.ColdMs = l.sequence, l.cold
			snap := h.snap
			snap.Upstreams = []azurestair.UpstreamInfo{{Announcement: a, Confirmed: !l.unconfirmed}}
			h.pickers[0].Update(&snap, start.Add(l.at))
		}
		expectCold(h, check.at, check.cold)
	}
},
	Entry("after the time that remained when it came", 3*time.Second, coldListing{0, 1, 3000, false}),
	Entry("then also if later snapshots repeat it", 3*time.Second, coldListing{0, 1, 3000, false}, coldListing{2 * time.Second, 1, 3000, false}),
	Entry("later if the upstream has become cold again", 5*time.Second, coldListing{0, 1, 3000, false}, coldListing{2 * time.Second, 2, 3000, false}),
	Entry("earlier if the upstream says so", 2500*time.Millisecond, coldListing{0, 1, 3000, false}, coldListing{2 * time.Second, 2, 500, false}),
	Entry("not earlier by the list of a new leader", 3*time.Second, coldListing{0, 2, 3000, false}, coldListing{time.Second, 0, 500, true}),
	Entry("later by the list of a new leader", 4*time.Second, coldListing{0, 2, 3000, false}, coldListing{time.Second, 0, 3000, true}),
)

// Guards against a cold time that no log line of the entries shows.
var _ = It("a cold time of a known process is reported", func() {
	h := newHarness(1, "huye", upstreams("huye", 1)...)
	h.pickers[0].Events()
	h.now = h.now.Add(time.Second)
	a := upstreams("huye", 1)[0]
	a.Sequence, a.ColdMs = 2, 3000
	for range 2 {
		h.set(a)
	}
	Expect(h.pickers[0].Events()).To(Equal([]placement.Event{{Upstream: a.Upstream, ColdUntil: h.now.Add(3 * time.Second)}}))
})
