package control_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// Guards against an entry that may use nothing of the budgets of new services,
// because it still holds those of all services that there have ever been.
var _ = Describe("the budgets that a holder retains", func() {
	slotsOf := func(n int) azurestair.Resource {
		return azurestair.Resource{Kind: azurestair.ResourceSlots, Service: azurestair.ServiceName(fmt.Sprintf("desk-%d", n)), Region: "huye"}
	}
	grant := func(h *control.LeaseHolder, n, ms int) {
		h.Apply([]azurestair.Grant{{Resource: slotsOf(n), Amount: 3, Floor: 2, TTLMs: 1000}}, at(ms), at(ms))
	}
	retain := func(h *control.LeaseHolder, n, ms int) {
		h.Retain(func(r azurestair.Resource) bool { return r == slotsOf(n) }, at(ms))
	}

	It("leave room for others", func() {
		var h control.LeaseHolder
		for n := range control.MaxBudgets + 1 {
			ms := 2000 * (n + 1)
			grant(&h, n, ms)
			retain(&h, n+1, ms+1000)
		}
		n := control.MaxBudgets + 1
		grant(&h, n, 2000*(n+1))
		Expect(h.Limit(slotsOf(n), at(2000*(n+1)))).To(BeEquivalentTo(5))
	})

	It("include those with a lease", func() {
		var h control.LeaseHolder
		grant(&h, 1, 1000)
		retain(&h, 2, 1100)
		Expect(h.Limit(slotsOf(1), at(1200))).To(BeEquivalentTo(5))
		retain(&h, 2, 2100)
		Expect(h.Limit(slotsOf(1), at(2200))).To(BeZero())
	})
})
