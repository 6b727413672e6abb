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

var _ = Describe("leader", func() {
	// Guards against a request that runs twice, gets a false "not run" or the
	// answer of another request, and against changes that stay refused, when
	// the leader dies with claims under way.
	It("dies while requests of all ranks are in flight", func() {
		eachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{})
			load := f.startTraffic(rng, "kill", 12, allKinds, f.throughAll())
			load.more(200)
			old := f.leader()
			old.kill()
			f.leader(f.others(old)[:2]...)
			v := f.apply(f.entriesOnly()[0], 1, "after")
			load.more(200)
			Eventually(f.inForce).WithArguments(v, f.others(old)[2]).Should(Succeed())
			results := load.stop()
			f.expectTruth(results)
			expectMost(results, 90)
		})
	})

	// Guards against a former leader that answers reads or accepts changes
	// from the past when it runs again, and against versions that go down.
	It("is frozen, replaced and runs again", func() {
		eachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{})
			watch := f.watchVersions()
			old := f.leader()
			rest := f.others(old)
			old.freeze()
			reads := f.readsInFlight(old, 10)
			v := azurestair.ConfigVersion(1)
			for i := range 5 {
				v = f.apply(rest[rng.IntN(len(rest))], v, fmt.Sprintf("frozen-%d", i))
			}
			stale := f.changesInFlight(old, 5, 1)
			old.thaw()
			for range cap(reads) {
				var r read
				Eventually(reads).Should(Receive(&r))
				if r.err == nil {
					Expect(r.version).To(BeNumerically(">=", v), "read from the past")
				}
			}
			for range cap(stale) {
				var err error
				Eventually(stale, 30*time.Second).Should(Receive(&err))
				Expect(err).To(MatchError(azurestair.ErrConflict))
			}
			Eventually(f.inForce).WithArguments(v, f.nodes[0], f.nodes[1], f.nodes[2], f.nodes[3]).Should(Succeed())
			Expect(f.version(old)).To(Equal(v))
			watch.expectMonotone()
		})
	})
})

// read is the answer to a read of the configuration.
type read struct {
	version azurestair.ConfigVersion
	err     error
}

// readsInFlight sends reads of the configuration to an instance that does not answer yet.
func (f *fleet) readsInFlight(at *node, n int) <-chan read {
	out := make(chan read, n)
	for range n {
		go func() {
			a, err := at.admin().Config(context.Background())
			out <- read{version: a.Version, err: err}
		}()
	}
	return out
}

// changesInFlight sends changes with an old base version to an instance that does not answer yet.
func (f *fleet) changesInFlight(at *node, n int, base azurestair.ConfigVersion) <-chan error {
	out := make(chan error, n)
	for i := range n {
		go func() {
			_, err := at.admin().Apply(context.Background(), change(base, fmt.Sprintf("stale-%d", i)))
			out <- err
		}()
	}
	return out
}
