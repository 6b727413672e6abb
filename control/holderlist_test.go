package control_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

func holderList(ids ...azurestair.InstanceID) *control.HolderList {
	return &control.HolderList{IDs: ids}
}

var _ = Describe("allocator with a holder list", func() {
	var a *control.Allocator
	add := func(id azurestair.InstanceID) azurestair.HolderChange {
		return azurestair.HolderChange{Instance: id}
	}
	remove := func(id azurestair.InstanceID) azurestair.HolderChange {
		return azurestair.HolderChange{Instance: id, Removed: true}
	}
	expectChanges := func(ms int, want ...azurestair.HolderChange) {
		GinkgoHelper()
		got := a.HolderChanges(at(ms))
		Expect(got).To(HaveLen(len(want)))
		for i, c := range want {
			Expect(got[i]).To(Equal(c))
		}
	}
	demand := func(id azurestair.InstanceID, inc azurestair.Incarnation, ms int) []azurestair.Grant {
		return a.Grant(id, inc, []azurestair.Demand{{Resource: slotsBudget, Want: 200}}, at(ms))
	}
	newLeader := func(list *control.HolderList) {
		GinkgoHelper()
		a = &control.Allocator{MaxHolders: 4}
		a.Inherit([]azurestair.Grant{{Resource: slotsBudget, Floor: 7}})
		Expect(a.SetLimit(slotsBudget, control.Limit{Total: 100, Floor: 5})).To(Succeed())
		a.SetHolders(list, at(0))
	}
	BeforeEach(func() { newLeader(holderList()) })

	// Guards against capacity that is reserved for holders that have never
	// reported.
	It("leases everything but the floors of known holders", func() {
		Expect(requestSlots(a, "0", 200, 0)).To(Equal(azurestair.Grant{Resource: slotsBudget, Amount: 95, MaxFloor: 7, TTLMs: 2000}))
	})

	// Guards against a starting fleet that has no floors until the leases of
	// its idle entries expire.
	It("gives floors to idle holders as soon as they are listed", func() {
		a.MaxHolders = 8
		Expect(a.SetLimit(slotsBudget, control.Limit{Total: 160, Floor: 10})).To(Succeed())
		for i := range 7 {
			requestSlots(a, fmt.Sprint(i), 0, 0)
		}
		a.SetHolders(holderList("0", "1", "2", "3", "4", "5", "6"), at(50))
		for i := range 7 {
			Expect(requestSlots(a, fmt.Sprint(i), 0, 50).Floor).To(BeEquivalentTo(10))
		}
	})

	// Guards against a floor that other holders still lease, and against a
	// floor that the next leader does not know about.
	It("grants a floor once the holder is listed and leases leave enough capacity", func() {
		requestSlots(a, "0", 200, 0)
		Expect(a.SetLimit(slotsBudget, control.Limit{Total: 95, Floor: 5})).To(Succeed())
		expectChanges(0, add("0"))
		expectChanges(999)
		expectChanges(1000, add("0"))
		a.SetHolders(holderList("0"), at(1000))
		expectChanges(9000)
		Expect(requestSlots(a, "0", 200, 1000)).To(And(HaveField("Floor", BeZero()), HaveField("Amount", BeEquivalentTo(90))))
		Expect(requestSlots(a, "0", 200, 1999).Floor).To(BeZero())
		Expect(requestSlots(a, "0", 200, 2000).Floor).To(BeEquivalentTo(5))
	})

	// Guards against a new leader that leases the floor of a partitioned
	// holder, or grants a floor that the previous leader had leased to others.
	It("reserves floors for all listed holders, and raises none during the grace period", func() {
		newLeader(holderList("0", "1", "2"))
		a.StartGracePeriod(at(2100))
		Expect(requestSlots(a, "0", 200, 0).Floor).To(BeZero())
		Expect(requestSlots(a, "0", 200, 2100)).To(And(HaveField("Floor", BeEquivalentTo(5)), HaveField("Amount", BeEquivalentTo(100-5-2*7))))
	})

	// Guards against a floor that is granted just before the holder is removed.
	It("removes a holder that has left, and lists it again after its return", func() {
		requestSlots(a, "0", 1, 0)
		a.SetHolders(holderList("0"), at(0))
		a.MarkDeparted("0", 0)
		Expect(requestSlots(a, "0", 1, 500).Floor).To(BeEquivalentTo(5), "the departure of an earlier incarnation was delayed")
		a.MarkDeparted("0", 1)
		expectChanges(2499)
		expectChanges(2500, remove("0"))
		Expect(demand("0", 2, 2600)).To(ConsistOf(HaveField("Floor", BeZero())))
		expectChanges(3499)
		expectChanges(3500, remove("0"))
		a.SetHolders(holderList(), at(3600))
		expectChanges(3600, add("0"))
	})

	It("keeps a holder that returns before it is removed", func() {
		requestSlots(a, "0", 1, 0)
		a.SetHolders(holderList("0"), at(0))
		a.MarkDeparted("0", 1)
		Expect(demand("0", 2, 100)).To(ConsistOf(HaveField("Floor", BeEquivalentTo(5))))
		expectChanges(9000)
	})

	// Guards against more holders with floors than MaxHolders.
	It("replaces a holder that stopped reporting only after the retention time", func() {
		newLeader(holderList("0", "1", "2", "3"))
		for i := range 3 {
			requestSlots(a, fmt.Sprint(i), 1, 599_000)
		}
		Expect(demand("other", 1, 599_999)).To(BeNil())
		Expect(demand("other", 1, 600_000)).To(ConsistOf(HaveField("Floor", BeZero())))
		expectChanges(600_000, remove("3"), add("other"))
	})
})

var _ = Describe("holders in the state", func() {
	var d *stateDriver
	holder := func(id azurestair.InstanceID, removed bool) azurestair.Command {
		return azurestair.Command{HolderChange: &azurestair.HolderChange{Instance: id, Removed: removed}}
	}
	first := configChange("a", 0, 1)
	first.ListsHolders = true
	BeforeEach(func() { d = newStateDriver() })

	It("are listed and removed in the order of their ids", func() {
		r := d.expect(first, azurestair.ResultAccepted)
		Expect(d.apply(configChange("a", 0, 1))).To(Equal(r), "a resend through a leader with an older program is the same change")
		d.expect(holder("b", false), azurestair.ResultAccepted)
		held := d.state.Holders()
		d.expect(holder("a", false), azurestair.ResultAccepted)
		d.expect(holder("a", false), azurestair.ResultUnchanged)
		Expect(d.state.Holders()).To(Equal(holderList("a", "b")))
		d.expect(holder("b", true), azurestair.ResultAccepted)
		d.expect(holder("b", true), azurestair.ResultUnchanged)
		Expect(restore(d.state.Image()).Holders()).To(Equal(holderList("a")))
		Expect(held).To(Equal(holderList("b")), "a list that was returned must not change")
		d.expect(holder("", false), azurestair.ResultInvalid)
	})

	// Guards against a list that lacks holders to which an older program
	// version granted floors.
	It("are not listed in a state whose first configuration came without the list", func() {
		d.expect(configChange("a", 0, 1), azurestair.ResultAccepted)
		second := configChange("b", 1, 2)
		second.ListsHolders = true
		d.expect(second, azurestair.ResultAccepted)
		d.expect(holder("a", false), azurestair.ResultUnchanged)
		Expect(restore(d.state.Image()).Holders()).To(BeNil())
	})

	It("are limited in number", func() {
		d.expect(first, azurestair.ResultAccepted)
		for i := range control.MaxListedHolders {
			d.expect(holder(entry(i).ID, false), azurestair.ResultAccepted)
		}
		d.expect(holder("other", false), azurestair.ResultFull)
	})
})
