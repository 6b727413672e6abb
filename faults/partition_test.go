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

// partitionChanges is the number of configuration changes during a partition.
// After them the test waits until the partitioned instance is no longer ready,
// which is when its leases have expired.
const partitionChanges = 8

var _ = Describe("silent partition", func() {
	// Guards against a partitioned instance that reports itself ready or
	// current, does not catch up after the partition, or restores an older
	// configuration.
	DescribeTable("of a control instance", func(pick func(f *fleet) *node) {
		forEachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{})
			watch := f.watchVersions()
			victim := pick(f)
			rest := f.others(victim)
			f.partition(victim)
			v := azurestair.ConfigVersion(1)
			for i := range partitionChanges {
				v = f.apply(rest[rng.IntN(len(rest))], v, fmt.Sprintf("cut-%d", i))
			}
			Eventually(victim.checkReady).Should(MatchError(errNotReady))
			v = f.apply(rest[0], v, "cut-last")
			Eventually(f.checkConfigVersion).WithArguments(v, rest[0], rest[1], rest[2]).Should(Succeed())
			Consistently(victim.checkReady, "500ms").Should(MatchError(errNotReady))
			for _, n := range rest {
				Eventually(n.lookupIncludes).WithArguments(victim).Should(BeFalse())
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := victim.operatorClient().Apply(ctx, newConfigRequest(1, "cut-off"))
			cancel()
			Expect(err).To(HaveOccurred(), "a change was accepted without a quorum")
			f.expectUpstreamsConfirmed(rest)
			f.heal(victim)
			f.expectReadyOnlyWithVersion(victim, v)
			Eventually(f.checkReady).Should(Succeed())
			Expect(f.version(victim)).To(Equal(v))
			watch.expectMonotonic()
		})
	},
		Entry("that follows", func(f *fleet) *node { return f.others(f.leader())[0] }),
		Entry("that leads", func(f *fleet) *node { return f.leader() }),
	)
})
