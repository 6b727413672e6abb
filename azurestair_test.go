package azurestair_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

func TestAzurestair(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "domain types")
}

func expectInvalid(v azurestair.Validator) {
	GinkgoHelper()
	Expect(v.Validate()).To(MatchError(azurestair.ErrInvalid))
}

func announcement() azurestair.Announcement {
	return azurestair.Announcement{
		Upstream: "u1", Service: "catalogue", Addr: "127.0.0.1:80", Region: "kigali", FailureDomain: "kigali-a",
		Slots: 9, MaxConns: 330, State: azurestair.StateServing,
	}
}

var _ = Describe("announcements", func() {
	It("are accepted when they are complete", func() {
		Expect(announcement().Validate()).To(Succeed())
	})

	// Guards against invalid announcements and load reports that would distort
	// the selection of upstreams.
	DescribeTable("are rejected with invalid values",
		func(change func(*azurestair.Announcement)) {
			a := announcement()
			change(&a)
			expectInvalid(a)
		},
		Entry("no name", func(a *azurestair.Announcement) { a.Upstream = "" }),
		Entry("host name as address", func(a *azurestair.Announcement) { a.Addr = "localhost:80" }),
		Entry("negative load", func(a *azurestair.Announcement) { a.Load.InFlight = -1 }),
		Entry("no slots", func(a *azurestair.Announcement) { a.Slots = 0 }),
		Entry("unknown state", func(a *azurestair.Announcement) { a.State = "sleeping" }),
	)

	It("are ordered by incarnation before sequence", func() {
		a, b := announcement(), announcement()
		a.Incarnation, b.Sequence = 1, 9
		Expect(a.IsNewerThan(b)).To(BeTrue())
		Expect(b.IsNewerThan(a)).To(BeFalse())
	})
})
