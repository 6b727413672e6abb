package control_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

var _ = Describe("an address book", func() {
	instance := func(id azurestair.InstanceID, addr string) azurestair.InstanceInfo {
		return azurestair.InstanceInfo{ID: id, PeerAddr: addr, Region: "kigali", FailureDomain: "kigali-a", Control: true}
	}
	snapshot := func(fleet azurestair.FleetID, list ...azurestair.InstanceInfo) *azurestair.Snapshot {
		return &azurestair.Snapshot{Fleet: fleet, Instances: list}
	}
	ids := func(b *control.AddressBook) []azurestair.InstanceID {
		out := []azurestair.InstanceID{}
		for _, c := range b.List().Contacts {
			out = append(out, c.ID)
		}
		return out
	}
	first := snapshot("f1", instance("c1", "10.0.0.1:1"), instance("c2", "10.0.0.2:1"))

	// Guards against a new leader's first snapshot, which lists hardly any
	// instance, emptying the book just when it is needed.
	It("keeps instances that a later snapshot no longer lists, for ten minutes", func() {
		var b control.AddressBook
		Expect(b.Observe(first, at(0))).To(BeTrue())
		Expect(b.Observe(snapshot("f1", instance("c1", "10.0.0.1:1")), at(1000))).To(BeFalse())
		Expect(ids(&b)).To(Equal([]azurestair.InstanceID{"c1", "c2"}))
		Expect(b.Observe(snapshot("f1", instance("c1", "10.0.0.1:1")), at(10*60_000+1))).To(BeTrue())
		Expect(ids(&b)).To(Equal([]azurestair.InstanceID{"c1"}))
	})

	It("replaces the instance at an address that another one uses", func() {
		var b control.AddressBook
		b.Observe(first, at(0))
		Expect(b.Observe(snapshot("f1", instance("e9", "10.0.0.2:1")), at(1000))).To(BeTrue())
		Expect(ids(&b)).To(Equal([]azurestair.InstanceID{"c1", "e9"}))
		Expect(b.Addr("c2")).To(BeEmpty())
	})

	// Guards against an old data directory that leads an instance to another
	// fleet.
	It("ignores the instances of another fleet", func() {
		b := control.NewAddressBook(azurestair.ContactList{Fleet: "f1"}, at(0))
		Expect(b.Observe(snapshot("f2", instance("x1", "10.0.0.1:1")), at(0))).To(BeFalse())
		Expect(ids(b)).To(BeEmpty())
	})

	It("returns what it was created from", func() {
		var b control.AddressBook
		b.Observe(first, at(0))
		l := b.List()
		Expect(l.Validate()).To(Succeed())
		Expect(control.NewAddressBook(l, at(0)).List()).To(Equal(l))
	})

	// Guards against entries that no control instance calls after a loss of
	// power, or all of them.
	It("divides the entries among the control instances, two for each", func() {
		var list []azurestair.InstanceInfo
		for i := range 60 {
			e := entry(i)
			e.PeerAddr = "10.0.1.1:" + string(e.ID)[6:]
			list = append(list, e)
		}
		var addrs []string
		for i := range 10 {
			addr := fmt.Sprintf("10.0.2.%d:1", i)
			addrs = append(addrs, addr)
			list = append(list, instance(azurestair.InstanceID(fmt.Sprintf("c%d", i)), addr))
		}
		var b control.AddressBook
		b.Observe(snapshot("f1", list...), at(0))
		count := map[azurestair.InstanceID]int{}
		for _, addr := range addrs {
			own := b.EntriesToNotify(addr)
			Expect(len(own)).To(BeNumerically("<", 30))
			for _, e := range own {
				count[e.ID]++
			}
		}
		Expect(count).To(HaveLen(60))
		Expect(count).To(HaveEach(2))
	})

	It("holds a bounded number of instances", func() {
		var list []azurestair.InstanceInfo
		for i := range azurestair.MaxContacts + 5 {
			e := entry(i)
			e.PeerAddr = "10.0.0.1:" + string(e.ID)[6:]
			list = append(list, e)
		}
		var b control.AddressBook
		b.Observe(snapshot("f1", list...), at(0))
		Expect(b.List().Contacts).To(HaveLen(azurestair.MaxContacts))
	})
})

// Guards against a fleet id that differs between replicas or changes.
var _ = It("the first configuration with a fleet id assigns it for good", func() {
	var s control.State
	put := func(version azurestair.ConfigVersion, fleet azurestair.FleetID) {
		GinkgoHelper()
		c := azurestair.Command{Fleet: fleet, Config: &azurestair.ConfigChange{
			Change: azurestair.Change{ID: azurestair.ChangeID("c" + fleet), Operator: "ops", Reason: "test"},
			Config: azurestair.Config{Version: version}, Highest: true,
		}}
		Expect(s.Apply(azurestair.Index(version), c).Code).To(Equal(azurestair.ResultAccepted))
	}
	put(1, "f1")
	put(2, "f2")
	Expect(s.Fleet()).To(BeEquivalentTo("f1"))
	restored, err := control.FromImage(s.Image())
	Expect(err).NotTo(HaveOccurred())
	Expect(restored.Fleet()).To(BeEquivalentTo("f1"))
})
