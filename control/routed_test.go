package control_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// highestVersionChange returns a change to a configuration whose version is
// chosen by the sender.
func highestVersionChange(id string, v azurestair.ConfigVersion, document string) azurestair.Command {
	c := azurestair.Config{Version: v, Document: []byte(document)}
	return azurestair.Command{Config: &azurestair.ConfigChange{Change: change(id), Config: c, Highest: true}}
}

// expectRead checks the result of a read through the log.
func expectRead(d *stateDriver, v azurestair.ConfigVersion, document string) {
	GinkgoHelper()
	r := d.expect(azurestair.Command{Read: &azurestair.ConfigRead{}}, azurestair.ResultAccepted)
	Expect(r.Version).To(Equal(v))
	Expect(string(r.Config.Document)).To(Equal(document))
}

var _ = Describe("configuration with the highest version", func() {
	var d *stateDriver
	BeforeEach(func() { d = newStateDriver() })

	// Guards against a late or concurrent change that reverts a newer one.
	It("is not replaced by an older or equal version", func() {
		d.expect(highestVersionChange("a", 7, "seven"), azurestair.ResultAccepted)
		d.expect(highestVersionChange("b", 5, "five"), azurestair.ResultUnchanged)
		d.expect(highestVersionChange("c", 7, "other"), azurestair.ResultUnchanged)
		expectRead(d, 7, "seven")
		d.expect(highestVersionChange("d", 20, "twenty"), azurestair.ResultAccepted)
		expectRead(d, 20, "twenty")
	})

	// Guards against an image that cannot be restored because versions have
	// gaps.
	It("survives a restore from an image", func() {
		d.expect(highestVersionChange("a", 7, "seven"), azurestair.ResultAccepted)
		d.expect(highestVersionChange("b", 20, "twenty"), azurestair.ResultAccepted)
		restored, err := control.FromImage(d.state.Image())
		Expect(err).NotTo(HaveOccurred())
		d.state = restored
		expectRead(d, 20, "twenty")
	})

	// Guards against a read that returns a configuration before there is one.
	It("is absent at first", func() {
		r := d.expect(azurestair.Command{Read: &azurestair.ConfigRead{}}, azurestair.ResultAccepted)
		Expect(r.Config).To(BeNil())
	})
})

var _ = Describe("a departure", func() {
	// Guards against work for an upstream that was told that it gets none,
	// after a delayed heartbeat or under a new leader.
	It("outlasts later announcements of the same incarnation", func() {
		r := &control.Registry{}
		announce(r, 0, 1)
		r.MarkDeparted(azurestair.Departure{Upstream: upstream(1).Upstream, Incarnation: 1}, at(0))
		expectUpstreams(r, "001 draining")
		late := upstream(1)
		late.Sequence = 9
		Expect(r.Announce(late, at(10))).To(Succeed())
		expectUpstreams(r, "001 draining")
	})

	// Guards against a restarted upstream that never gets work again.
	It("does not apply to the next incarnation", func() {
		r := &control.Registry{}
		r.MarkDeparted(azurestair.Departure{Upstream: upstream(1).Upstream, Incarnation: 1}, at(0))
		next := upstream(1)
		next.Incarnation = 2
		Expect(r.Announce(next, at(10))).To(Succeed())
		expectUpstreams(r, "001 serving")
	})

	// Guards against a departure that is lost when the log is compacted.
	It("survives a restore from an image", func() {
		d := newStateDriver()
		departure := azurestair.Departure{Upstream: "w1", Incarnation: 3}
		d.expect(azurestair.Command{Departure: &departure}, azurestair.ResultAccepted)
		d.expect(azurestair.Command{Departure: &departure}, azurestair.ResultUnchanged)
		restored, err := control.FromImage(d.state.Image())
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Departures()).To(Equal([]azurestair.Departure{departure}))
	})
})

var _ = Describe("the listing", func() {
	// Guards against a leader that knows no upstreams after all processes were
	// killed, and publishes nothing until each upstream has announced itself
	// again.
	It("gives the next leader the upstreams immediately", func() {
		r := &control.Registry{}
		announce(r, 0, 1, 2)
		d := newStateDriver()
		change, ok := d.state.UpstreamListDiff(r)
		Expect(ok).To(BeTrue())
		d.expect(azurestair.Command{UpstreamList: &change}, azurestair.ResultAccepted)
		_, ok = d.state.UpstreamListDiff(r)
		Expect(ok).To(BeFalse())

		restored, err := control.FromImage(d.state.Image())
		Expect(err).NotTo(HaveOccurred())
		next := &control.Registry{}
		next.Seed(restored.ListingSnapshot(nil), at(1000))
		expectUpstreams(next, "001 serving?", "002 serving?")
		p := &control.Publisher{}
		snap, published := p.Publish(control.SnapshotSource{Term: 2, Config: d.state.Config(), Registry: next}, at(1000))
		Expect(published).To(BeTrue())
		Expect(snap.Upstreams).To(HaveLen(2))
	})

	// Guards against a leader that lists cold upstreams as warm until they have
	// announced themselves again, so that all entries flood them.
	It("tells the next leader which upstreams are cold", func() {
		r, d := &control.Registry{}, newStateDriver()
		expectListed := func(coldMs, listed azurestair.Millis, isChange bool) {
			GinkgoHelper()
			a := upstream(1)
			a.Incarnation, a.Sequence, a.ColdMs = 2, azurestair.Sequence(3000-coldMs), coldMs
			Expect(r.Announce(a, at(3000-int(coldMs)))).To(Succeed())
			change, ok := d.state.UpstreamListDiff(r)
			Expect(ok).To(Equal(isChange))
			if ok {
				d.expect(azurestair.Command{UpstreamList: &change}, azurestair.ResultAccepted)
			}
			next := &control.Registry{}
			next.Seed(d.state.ListingSnapshot(nil), at(3000-int(coldMs)))
			Expect(next.Upstreams()[0].Announcement.ColdMs).To(Equal(listed))
		}
		expectListed(3000, 3000, true)
		expectListed(1000, 3000, false)
		expectListed(0, 0, true)
	})

	// Guards against upstreams that stay listed forever.
	It("removes what is no longer listed", func() {
		r := &control.Registry{}
		announce(r, 0, 1, 2)
		d := newStateDriver()
		change, _ := d.state.UpstreamListDiff(r)
		d.expect(azurestair.Command{UpstreamList: &change}, azurestair.ResultAccepted)
		change, ok := d.state.UpstreamListDiff(&control.Registry{})
		Expect(ok).To(BeTrue())
		Expect(change.Removed).To(HaveLen(2))
		d.expect(azurestair.Command{UpstreamList: &change}, azurestair.ResultAccepted)
		Expect(d.state.ListedUpstreams()).To(BeEmpty())
	})
})
