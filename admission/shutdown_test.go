package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/admission"
)

// Guards against requests that are accepted late in a grace period and cut at
// its end, and against refusals while lookups still name the instance.
var _ = Describe("shutdown", func() {
	start := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return start.Add(d) }
	workUntil := func(d time.Duration) azurestair.RequestInfo { return azurestair.RequestInfo{Deadline: after(d)} }

	DescribeTable("with a grace period of 6 s",
		func(arrives, deadline time.Duration, want bool) {
			s := admission.NewShutdown(start, 6*time.Second)
			Expect(s.Admits(workUntil(deadline), after(arrives))).To(Equal(want))
		},
		Entry("accepts any request in its first half", 2999*time.Millisecond, time.Hour, true),
		Entry("accepts a request that ends in time", 3*time.Second, 5600*time.Millisecond, true),
		Entry("refuses a request that may be cut", 3*time.Second, 5601*time.Millisecond, false),
		Entry("refuses all requests at its end", 5601*time.Millisecond, 5602*time.Millisecond, false),
	)

	It("of a very short grace period still leaves time to close", func() {
		s := admission.NewShutdown(start, 100*time.Millisecond)
		Expect(s.EndsAt).To(BeTemporally(">", s.OpenUntil))
		Expect(s.EndsAt).To(BeTemporally("<", after(100*time.Millisecond)))
	})

	It("that has not begun accepts everything", func() {
		Expect(admission.Shutdown{}.Admits(workUntil(time.Hour), after(time.Hour))).To(BeTrue())
	})
})
