package control_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// Guards against an upstream that is told that it gets no more work while an
// entry still sends requests to it. This happened 10 times in a day, with an
// entry that took four seconds to find the new leader.
var _ = Describe("the status of a departure", func() {
	departure := azurestair.Departure{Upstream: upstream(1).Upstream, Incarnation: 1}
	var r *control.Registry
	BeforeEach(func() {
		r = &control.Registry{}
		announce(r, 0, 1, 2)
		for _, n := range []int{1, 2} {
			Expect(r.UpdateInstance(entry(n), at(0))).To(Succeed())
			r.SetHeldRevision(entry(n).ID, 6)
		}
		r.MarkDeparted(departure, at(100))
	})
	expectHeld := func(rev azurestair.Revision, ms int, want bool) {
		GinkgoHelper()
		Expect(r.DepartureStatus(departure, rev, at(ms)).KnownToAll).To(Equal(want))
	}

	It("is known to all once the last entry holds the revision that includes the departure", func() {
		expectHeld(7, 100, false)
		r.SetHeldRevision(entry(1).ID, 7)
		expectHeld(8, 150, false)
		r.SetHeldRevision(entry(2).ID, 7)
		expectHeld(9, 200, true)
	})

	It("does not depend on an entry that has left", func() {
		expectHeld(7, 100, false)
		r.SetHeldRevision(entry(1).ID, 7)
		r.RemoveInstance(entry(2).ID, at(150))
		expectHeld(7, 200, true)
	})

	It("does not depend on the entries after the timeout", func() {
		expectHeld(7, 100, false)
		ms := int(control.DepartureAckTimeout.Milliseconds())
		expectHeld(7, 99+ms, false)
		expectHeld(7, 100+ms, true)
	})

	It("depends on the entries that the previous leader listed", func() {
		next := &control.Registry{}
		next.Seed(&azurestair.Snapshot{Instances: r.Instances(), Upstreams: r.Upstreams()}, at(1000))
		next.MarkDeparted(departure, at(1000))
		r = next
		expectHeld(1, 1000, false)
		r.SetHeldRevision(entry(1).ID, 1)
		r.SetHeldRevision(entry(2).ID, 1)
		expectHeld(1, 1100, true)
	})

	It("stays known to all when the upstream repeats the departure without its start time", func() {
		expectHeld(7, 100, false)
		r.SetHeldRevision(entry(1).ID, 7)
		r.SetHeldRevision(entry(2).ID, 7)
		again := departure
		again.Incarnation = 9
		r.MarkDeparted(again, at(5000))
		Expect(r.DepartureStatus(again, 12, at(5000)).KnownToAll).To(BeTrue())
	})
})
