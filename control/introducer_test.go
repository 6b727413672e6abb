package control_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// restartedFleet is a fleet whose instances have all stopped, in virtual time.
// An instance reports to the leader once it has been introduced to it, or once
// a control instance among its seeds knows the leader.
type restartedFleet struct {
	instances []azurestair.Contact
	// seeds are the control instances that the settings of all instances name.
	seeds []azurestair.Contact
	// unreachable are the instances that the leader cannot call.
	unreachable []azurestair.Contact
	// found holds the addresses of the instances that know the leader.
	found map[string]bool
}

// run elects a leader with the given contacts and ends after a duration.
func (f *restartedFleet) run(contacts []azurestair.Contact, duration time.Duration) {
	var intro control.Introducer
	f.found = map[string]bool{}
	intro.SetContacts(contacts, start)
	for t := time.Duration(0); t <= duration; t += 50 * time.Millisecond {
		for _, to := range intro.Due(start.Add(t)) {
			if !slices.Contains(f.unreachable, to) && slices.ContainsFunc(f.instances, func(c azurestair.Contact) bool { return c.Addr == to.Addr }) {
				f.found[to.Addr] = true
			}
		}
		if slices.ContainsFunc(f.seeds, func(s azurestair.Contact) bool { return f.found[s.Addr] }) {
			for _, c := range f.instances {
				f.found[c.Addr] = true
			}
		}
		for addr := range f.found {
			intro.MarkHeard(addr, start.Add(t))
		}
	}
}

var _ = Describe("a fleet whose instances have all stopped", func() {
	contact := func(id azurestair.InstanceID, addr string, isControl bool) azurestair.Contact {
		return azurestair.Contact{ID: id, Addr: addr, Control: isControl}
	}
	spare1, spare2 := contact("s1", "10.0.0.1:1", true), contact("s2", "10.0.0.2:1", true)
	oldSpare := contact("s0", "10.0.0.9:1", true)
	e1, e2 := contact("e1", "10.0.1.1:1", false), contact("e2", "10.0.1.2:1", false)
	wiped := contact("v1_new", "10.0.0.3:1", true)
	both := []azurestair.Contact{spare1, spare2}

	// Guards against a fleet with a leader that no instance ever reports to,
	// because all seeds are control instances that are not voters.
	DescribeTable("finds its leader within two seconds",
		func(seeds, book, unreachable []azurestair.Contact) {
			f := &restartedFleet{instances: []azurestair.Contact{spare1, spare2, e1, e2, wiped}, seeds: seeds, unreachable: unreachable}
			f.run(book, 2*time.Second)
			Expect(f.found).To(HaveLen(len(f.instances)))
		},
		Entry("with seeds that are all spares, by the leader's seeds", both, both, nil),
		Entry("with seeds that are all dead, by its address book",
			[]azurestair.Contact{oldSpare}, []azurestair.Contact{spare1, spare2, e1, e2, contact("v1", wiped.Addr, true), oldSpare}, nil),
		Entry("with seeds that are all new, by the leader's seeds", both, []azurestair.Contact{oldSpare, spare1}, nil),
		Entry("with one seed cut off from the leader", both, []azurestair.Contact{spare1, spare2}, []azurestair.Contact{spare1}),
	)
})

var _ = Describe("an introducer", func() {
	contacts := func(n int) []azurestair.Contact {
		var out []azurestair.Contact
		for i := range n {
			e := entry(i)
			out = append(out, azurestair.Contact{ID: e.ID, Addr: "10.0.0.1:" + string(e.ID)[6:]})
		}
		return out
	}

	// Guards against calls to hundreds of instances at once, and against
	// instances that wait because others do not answer.
	It("introduces the leader to a bounded number at once, and to all", func() {
		var intro control.Introducer
		intro.SetContacts(contacts(100), at(0))
		seen := map[azurestair.InstanceID]bool{}
		for ms := 0; ms <= 400; ms += 50 {
			due := intro.Due(at(ms))
			Expect(len(due)).To(BeNumerically("<=", 32))
			for _, c := range due {
				seen[c.ID] = true
			}
		}
		Expect(seen).To(HaveLen(100))
	})

	It("waits longer after each introduction, and for those that were notified or report", func() {
		var intro control.Introducer
		list := contacts(3)
		intro.SetContacts(list, at(0))
		intro.MarkNotified(list[1].Addr, at(0))
		intro.MarkHeard(list[2].Addr, at(0))
		introducedAt := map[azurestair.InstanceID][]int{}
		for ms := 0; ms < 2900; ms += 50 {
			for _, c := range intro.Due(at(ms)) {
				introducedAt[c.ID] = append(introducedAt[c.ID], ms)
			}
		}
		Expect(introducedAt).To(Equal(map[azurestair.InstanceID][]int{
			list[0].ID: {0, 100, 300, 700, 1500}, list[1].ID: {500, 600, 800, 1200, 2000},
		}))
		Expect(intro.Due(at(3000))).To(ContainElement(list[2]))
	})

	It("calls control instances first", func() {
		var intro control.Introducer
		list := contacts(40)
		list[39].Control = true
		intro.SetContacts(list, at(0))
		Expect(intro.Due(at(0))[0]).To(Equal(list[39]))
	})
})
