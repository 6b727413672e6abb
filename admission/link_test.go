package admission_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/admission"
)

var _ = Describe("the instance's own link", func() {
	now := time.Unix(1_700_000_000, 0)
	// offer offers perSecond requests of a rank, evenly spread over one second,
	// and returns the number admitted.
	offer := func(l *admission.LinkLimiter, r azurestair.Rank, perSecond int) int {
		n := 0
		for range perSecond {
			now = now.Add(time.Second / time.Duration(perSecond))
			if l.Admit("read", r, now) {
				n++
			}
		}
		return n
	}

	// Guards against a burst that fills the link, so that responses and control
	// messages queue for seconds. The link of a grown deployment, 5.6 Mbit/s,
	// carries about 113 responses of 5 KB per second including headers.
	It("admits no more than its bandwidth allows", func() {
		l := &admission.LinkLimiter{Rate: 700_000}
		for range 200 {
			l.Observe("read", 5000)
		}
		offer(l, azurestair.RankInteractive, 500)
		n := offer(l, azurestair.RankInteractive, 500)
		Expect(n).To(BeNumerically("~", 113, 3))
		Expect(offer(l, azurestair.RankInteractive, 80)).To(BeNumerically(">=", 75))
	})

	// Guards against a flood of other requests that keeps urgent requests off
	// the link.
	It("admits urgent requests when it refuses other requests", func() {
		l := &admission.LinkLimiter{Rate: 700_000}
		offer(l, azurestair.RankDeferred, 1000)
		Expect(l.Admit("read", azurestair.RankDeferred, now)).To(BeFalse())
		Expect(l.Admit("read", azurestair.RankUrgent, now)).To(BeTrue())
	})

	// Guards against one response of an absurd size after which everything is
	// refused for as long as the link would take to carry it.
	It("keeps admitting after one response of any size", func() {
		for _, size := range []azurestair.Bytes{1 << 40, math.MaxInt64, math.MinInt64} {
			l := &admission.LinkLimiter{Rate: 125_000_000}
			l.Observe("read", size)
			Expect(offer(l, azurestair.RankDeferred, 500)).To(Equal(500), "%d bytes", size)
		}
	})

	// Guards against an estimate that follows larger responses too slowly.
	It("learns of larger responses within a few of them", func() {
		l := &admission.LinkLimiter{Rate: 12_500_000}
		for range 40 {
			l.Observe("read", 1<<20)
		}
		Expect(offer(l, azurestair.RankInteractive, 500)).To(BeNumerically("<", 30))
	})

	// Guards against a limit when no rate is set.
	It("admits everything without a rate", func() {
		l := &admission.LinkLimiter{}
		Expect(offer(l, azurestair.RankDeferred, 1000)).To(Equal(1000))
	})
})
