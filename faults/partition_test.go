package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

// partitionChanges is the number of changes made during a partition. With a
// look at each instance between them it outlasts all leases.
const partitionChanges = 8

var _ = Describe("silent partition", func() {
	// Guards against a cut-off instance that passes for ready or current, does
	// not catch up afterwards, or brings back an older configuration.
	DescribeTable("of a control instance", func(pick func(f *fleet) *node) {
		eachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{})
			watch := f.watchVersions()
			victim := pick(f)
			rest := f.others(victim)
			f.partition(victim)
			v := azurestair.ConfigVersion(1)
			for i := range partitionChanges {
				v = f.apply(rest[rng.IntN(len(rest))], v, fmt.Sprintf("cut-%d", i))
			}
			Eventually(victim.ready).Should(MatchError(errNotReady))
			v = f.apply(rest[0], v, "cut-last")
			Eventually(f.inForce).WithArguments(v, rest[0], rest[1], rest[2]).Should(Succeed())
			Consistently(victim.ready, "500ms").Should(MatchError(errNotReady))
			for _, n := range rest {
				Eventually(n.lookupNames).WithArguments(victim).Should(BeFalse())
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := victim.admin().Apply(ctx, change(1, "cut-off"))
			cancel()
			Expect(err).To(HaveOccurred(), "a change was accepted without a quorum")
			f.expectConfirmed(rest)
			f.heal(victim)
			f.expectCurrentOnly(victim, v)
			Eventually(f.whole).Should(Succeed())
			Expect(f.version(victim)).To(Equal(v))
			watch.expectMonotone()
		})
	},
		Entry("that follows", func(f *fleet) *node { return f.others(f.leader())[0] }),
		Entry("that leads", func(f *fleet) *node { return f.leader() }),
	)
})
