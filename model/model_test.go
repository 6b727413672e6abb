package model_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair/knownred"
	"azurestair.example/azurestair/model"
)

func TestModel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "model")
}

// pattern returns the load pattern with the given name.
func pattern(name string) model.Scenario {
	GinkgoHelper()
	for _, s := range model.Patterns() {
		if s.Pattern == name {
			return s
		}
	}
	Fail("no load pattern named " + name)
	return model.Scenario{}
}

// eachSeed runs the scenario with three seeds and checks each result.
func eachSeed(s model.Scenario, check func(model.Result)) {
	for seed := uint64(1); seed <= 3; seed++ {
		s.Seed = seed
		check(s.Run())
	}
}

var _ = Describe("placement by object", func() {
	// Guards against objects that move between upstreams without a reason.
	It("keeps objects warm on a calm day", func() {
		eachSeed(pattern("calm"), func(r model.Result) {
			Expect(r.WarmShare).To(BeNumerically(">", 0.9))
			Expect(r.Between(10*time.Second, 40*time.Second).Score()).To(BeNumerically(">", 0.95))
		})
	})

	// Guards against a metastable overload: in a burst, requests that spread
	// beyond the upstreams assigned to their object evict cached objects
	// everywhere.
	It("recovers from a burst as soon as it ends", func() {
		s := pattern("burst")
		eachSeed(s, func(r model.Result) {
			Expect(r.Between(16*time.Second, 40*time.Second).Score()).To(BeNumerically(">", 0.9))
			Expect(r.Between(8*time.Second, 14*time.Second).Score()).To(BeNumerically(">", 0.4))
		})
		spread := s
		spread.Copies, spread.Reach = 2, 8
		eachSeed(spread, func(r model.Result) {
			Expect(r.Total().Score()).To(BeNumerically("<", s.Run().Total().Score()))
		})
	})

	// Guards against a region that refuses requests at its peak while other
	// regions have free slots.
	It("uses the free slots of other regions when their busy hours differ", func() {
		s := pattern("busyHours")
		fixed := s
		fixed.FixedPlan = true
		var without []model.Result
		eachSeed(fixed, func(r model.Result) { without = append(without, r) })
		eachSeed(s, func(r model.Result) {
			before := without[0].Total()
			without = without[1:]
			Expect(r.Total().Refused).To(BeNumerically("<", before.Refused))
			Expect(r.Total().Score()).To(BeNumerically(">", before.Score()))
		})
	})

	// Guards against two faults after the loss of half of the upstreams of a
	// region: the remaining upstreams evict the objects in their caches, and
	// the upstreams that return with an empty cache are overloaded.
	It("tolerates the loss of a zone and its return with cold caches", func() {
		eachSeed(pattern("zoneLoss"), func(r model.Result) {
			Expect(r.Between(24*time.Second, 40*time.Second).Score()).To(BeNumerically(">", 0.9))
			Expect(r.MaxColdRate).To(BeNumerically("<=", 19), "9.7 per second, plus 50%, plus 5")
		})
	})
})

var _ = Describe("upstreams that crash and start again under their ids", func() {
	// Guards against entries that flood a cold upstream before its restart is
	// listed.
	It("are not flooded while they are listed as the processes before", func() {
		eachSeed(pattern("unnoticedRestart"), func(r model.Result) {
			Expect(r.MaxColdRate).To(BeNumerically("<=", 19), "9.7 per second, plus 50%, plus 5")
			Expect(r.Between(16*time.Second, 40*time.Second).Score()).To(BeNumerically(">", 0.9))
		})
	})

	// Guards against the same flood where few entries notice the crash, and where
	// the sum of one request for each entry exceeds what a cold upstream tolerates.
	DescribeTable("are not flooded while unnoticed, with", func(entries int, outage time.Duration) {
		knownred.Skip()
		s := pattern("unnoticedRestart")
		s.Entries, s.Outage.To = entries, s.Outage.From+outage
		eachSeed(s, func(r model.Result) {
			Expect(r.MaxColdRate).To(BeNumerically("<=", 19), "9.7 per second, plus 50%, plus 5")
		})
	},
		Entry("an outage of 200 ms", 6, 200*time.Millisecond),
		Entry("an outage of 20 ms", 6, 20*time.Millisecond),
		Entry("30 entries in each region", 30, 200*time.Millisecond),
	)
})

var _ = Describe("retries of many entries", func() {
	// Guards against bursts that add up over the entries: 125 entries with a
	// burst of 10 each sent 1,780 retries of 6,924 requests to a service that
	// allowed 0.2 x 6,924 + 314.
	It("stay within what a service allows while its upstreams refuse much", func() {
		s := pattern("manyEntries")
		eachSeed(s, func(r model.Result) {
			Expect(r.RetryExcess(20)).To(BeNumerically("<=", 314))
		})
		// The load is only a test if a burst for each entry exceeds the limit.
		s.RetryBurst = 0
		eachSeed(s, func(r model.Result) {
			Expect(r.RetryExcess(20)).To(BeNumerically(">", 314))
		})
	})
})
