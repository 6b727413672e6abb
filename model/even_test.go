package model_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair/model"
)

// evenPatterns are the three services of the deployment whose load was uneven.
var evenPatterns = []string{"evenMany", "evenFew", "evenSome"}

// evenLoad returns a pattern with a number of entries that use reports of an
// age. The rate of all entries together stays the same.
func evenLoad(name string, entries int, age time.Duration, spread bool) model.Scenario {
	GinkgoHelper()
	s := pattern(name)
	s.Entries, s.ReportAge, s.SpreadObjects = entries, age, spread
	return s
}

// expectEven checks the targets for a calm day, and that the plans do not keep
// changing and make objects cold.
func expectEven(r model.Result) {
	GinkgoHelper()
	Expect(r.BusiestOverMean).To(BeNumerically("<", 1.5))
	Expect(r.TurnedAwayShare()).To(BeNumerically("<", 0.02))
	Expect(r.WarmShare).To(BeNumerically(">", 0.9))
	Expect(r.ChangedDemands).To(BeNumerically("<", 400), "in two minutes")
}

var _ = Describe("load of a service with frequent objects", func() {
	// Guards against upstreams that are overloaded in turn while others are
	// idle, because all requests for an object go to the same one or all
	// entries act on the same old report. The benchmark measures the other
	// combinations.
	DescribeTable("is even", func(name string, entries int, age time.Duration) {
		expectEven(evenLoad(name, entries, age, true).Run())
	},
		Entry("of many objects with 7 entries", "evenMany", 7, time.Second),
		Entry("of some objects with 7 entries", "evenSome", 7, time.Second),
		Entry("of some objects with 31 entries", "evenSome", 31, time.Second),
		Entry("of few objects with current reports", "evenFew", 7, time.Duration(0)),
		Entry("of few objects with 31 entries", "evenFew", 31, time.Second),
		Entry("of few objects with 125 entries", "evenFew", 125, time.Second),
	)

	// Guards against a fleet whose entries see too few requests to learn which
	// objects are frequent.
	It("is even with 690 entries", func() {
		s := evenLoad("evenFew", 690, time.Second, true)
		s.Length = 60 * time.Second
		expectEven(s.Run())
	})

	// Guards against a burst that keeps upstreams overloaded after its end,
	// because objects that are spread over more upstreams evict each other.
	It("recovers from a burst as soon as it ends", func() {
		s := pattern("burst")
		s.Skew, s.SpreadObjects = 0.9, true
		eachSeed(s, func(r model.Result) {
			Expect(r.Between(16*time.Second, 40*time.Second).Score()).To(BeNumerically(">", 0.9))
			Expect(r.Between(8*time.Second, 14*time.Second).Score()).To(BeNumerically(">", 0.4))
		})
	})

	// Guards against plans by which returning upstreams are overloaded while
	// they are cold.
	It("tolerates the loss of a zone and its return with cold caches", func() {
		s := pattern("zoneLoss")
		s.Skew, s.SpreadObjects = 0.9, true
		eachSeed(s, func(r model.Result) {
			Expect(r.Between(24*time.Second, 40*time.Second).Score()).To(BeNumerically(">", 0.9))
			Expect(r.MaxColdRate).To(BeNumerically("<=", 19), "9.7 per second, plus 50%, plus 5")
		})
	})

	// Guards against patterns that would be served evenly without object plans.
	It("is uneven without object plans", func() {
		for _, name := range evenPatterns {
			s := evenLoad(name, 7, time.Second, false)
			s.Length = 60 * time.Second
			r := s.Run()
			Expect(r.BusiestOverMean).To(BeNumerically(">", 5))
			Expect(r.Idle).To(BeNumerically(">=", 3))
		}
	})
})

// BenchmarkEvenRegions reports the busiest upstream over the mean of all
// regions where callers are spread over three regions. The region of an object
// does not depend on its demand.
func BenchmarkEvenRegions(b *testing.B) {
	RegisterFailHandler(func(message string, _ ...int) { b.Fatal(message) })
	for _, name := range evenPatterns {
		for seed := uint64(1); seed <= 4; seed++ {
			b.Run(fmt.Sprintf("%s/seed=%d", name, seed), func(b *testing.B) {
				s := evenLoad(name, 10, time.Second, true)
				s.Regions, s.Upstreams, s.Rate = 3, (s.Upstreams+2)/3, s.Rate/3
				s.Seed, s.SpreadCallers = seed, true
				var r model.Result
				for range b.N {
					r = s.Run()
				}
				b.ReportMetric(r.BusiestOverMean, "busiest/mean")
				b.ReportMetric(100*r.TurnedAwayShare(), "%away")
			})
		}
	}
}

// BenchmarkEvenLoad reports the figures of all patterns with and without object
// plans. The times say nothing.
func BenchmarkEvenLoad(b *testing.B) {
	RegisterFailHandler(func(message string, _ ...int) { b.Fatal(message) })
	for _, name := range evenPatterns {
		for _, entries := range []int{7, 31, 125, 690} {
			for _, age := range []time.Duration{0, time.Second} {
				for _, spread := range []bool{false, true} {
					b.Run(fmt.Sprintf("%s/entries=%d/age=%v/spread=%v", name, entries, age, spread), func(b *testing.B) {
						var r model.Result
						for range b.N {
							r = evenLoad(name, entries, age, spread).Run()
						}
						b.ReportMetric(r.BusiestOverMean, "busiest/mean")
						b.ReportMetric(100*r.TurnedAwayShare(), "%away")
						b.ReportMetric(100*r.Between(20*time.Second, 140*time.Second).Score(), "%inTime")
						b.ReportMetric(float64(r.Idle), "idle")
						b.ReportMetric(float64(r.ChangedDemands), "changes")
					})
				}
			}
		}
	}
}
