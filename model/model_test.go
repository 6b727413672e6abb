package model_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair/model"
)

func TestModel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "model")
}

// pattern returns a load pattern by its name.
func pattern(name string) model.Scenario {
	GinkgoHelper()
	for _, s := range model.Patterns() {
		if s.Pattern == name {
			return s
		}
	}
	Fail("no pattern " + name)
	return model.Scenario{}
}

// eachSeed plays a pattern with a few seeds.
func eachSeed(s model.Scenario, check func(model.Result)) {
	for seed := uint64(1); seed <= 3; seed++ {
		s.Seed = seed
		check(s.Run())
	}
}

var _ = Describe("placement by object", func() {
	// Guards against objects that move between upstreams without need.
	It("keeps objects warm on a calm day", func() {
		eachSeed(pattern("calm"), func(r model.Result) {
			Expect(r.WarmShare).To(BeNumerically(">", 0.9))
			Expect(r.Between(10*time.Second, 40*time.Second).Credit()).To(BeNumerically(">", 0.95))
		})
	})

	// Guards against an overload that keeps itself up: in a burst, work that
	// spreads beyond an object's own upstreams makes objects cold everywhere.
	It("recovers from a burst as soon as it ends", func() {
		s := pattern("burst")
		eachSeed(s, func(r model.Result) {
			Expect(r.Between(16*time.Second, 40*time.Second).Credit()).To(BeNumerically(">", 0.9))
			Expect(r.Between(8*time.Second, 14*time.Second).Credit()).To(BeNumerically(">", 0.4))
		})
		spread := s
		spread.Copies, spread.Reach = 2, 8
		eachSeed(spread, func(r model.Result) {
			Expect(r.Total().Credit()).To(BeNumerically("<", s.Run().Total().Credit()))
		})
	})

	// Guards against a region that refuses work at its busy hour while the others
	// have room.
	It("shares the room of regions whose busy hours differ", func() {
		s := pattern("busyHours")
		fixed := s
		fixed.FixedPlan = true
		var without []model.Result
		eachSeed(fixed, func(r model.Result) { without = append(without, r) })
		eachSeed(s, func(r model.Result) {
			before := without[0].Total()
			without = without[1:]
			Expect(r.Total().Refused).To(BeNumerically("<", before.Refused))
			Expect(r.Total().Credit()).To(BeNumerically(">", before.Credit()))
		})
	})

	// Guards against the loss of half a region's upstreams that makes the others
	// forget their objects, and against a crash of those that come back cold.
	It("bears the loss of a zone and its cold return", func() {
		eachSeed(pattern("zoneLoss"), func(r model.Result) {
			Expect(r.Between(24*time.Second, 40*time.Second).Credit()).To(BeNumerically(">", 0.9))
			Expect(r.MostCold).To(BeNumerically("<=", 19), "9.7 a second, half as much again, and 5")
		})
	})
})
