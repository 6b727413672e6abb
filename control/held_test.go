package control_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// Guards against an upstream that is told that it gets no more work while an
// entry still sends it some: an entry that looked for the next leader for four
// seconds was seen to do so 10 times in a day.
var _ = Describe("a departure at the entries", func() {
	left := azurestair.Departure{Upstream: worker(1).Upstream, Incarnation: 1}
	var r *control.Registry
	BeforeEach(func() {
		r = &control.Registry{}
		announce(r, 0, 1, 2)
		for _, n := range []int{1, 2} {
			Expect(r.Instance(entry(n), at(0))).To(Succeed())
			r.SetHeld(entry(n).ID, 6)
		}
		r.Depart(left, at(100))
	})
	expectHeld := func(rev azurestair.Revision, ms int, want bool) {
		GinkgoHelper()
		Expect(r.DepartureStatus(left, rev, at(ms)).Held).To(Equal(want))
	}

	It("is held once the last entry holds the revision that shows it", func() {
		expectHeld(7, 100, false)
		r.SetHeld(entry(1).ID, 7)
		expectHeld(8, 150, false)
		r.SetHeld(entry(2).ID, 7)
		expectHeld(9, 200, true)
	})

	It("waits no longer for an entry that has left", func() {
		expectHeld(7, 100, false)
		r.SetHeld(entry(1).ID, 7)
		r.InstanceLeaving(entry(2).ID, at(150))
		expectHeld(7, 200, true)
	})

	It("waits for no entry beyond the bound", func() {
		expectHeld(7, 100, false)
		ms := int(control.DepartureHold.Milliseconds())
		expectHeld(7, 99+ms, false)
		expectHeld(7, 100+ms, true)
	})

	It("waits for the entries that the predecessor listed", func() {
		next := &control.Registry{}
		next.Seed(&azurestair.Snapshot{Instances: r.Instances(), Upstreams: r.Upstreams()}, at(1000))
		next.Depart(left, at(1000))
		r = next
		expectHeld(1, 1000, false)
		r.SetHeld(entry(1).ID, 1)
		r.SetHeld(entry(2).ID, 1)
		expectHeld(1, 1100, true)
	})

	It("is not waited for anew when the upstream says it again without its start", func() {
		expectHeld(7, 100, false)
		r.SetHeld(entry(1).ID, 7)
		r.SetHeld(entry(2).ID, 7)
		again := left
		again.Incarnation = 9
		r.Depart(again, at(5000))
		Expect(r.DepartureStatus(again, 12, at(5000)).Held).To(BeTrue())
	})
})
