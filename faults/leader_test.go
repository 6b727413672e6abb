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
	// Guards against a request that is executed twice, is wrongly reported as
	// not run or gets the response to another request, and against configuration
	// changes that remain refused, when the leader is killed with claims in
	// progress.
	It("is killed while requests of all ranks are in flight", func() {
		forEachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{})
			load := f.startTraffic(rng, "kill", 12, allKinds, f.sendThroughAllEntries())
			load.waitForResults(200)
			oldLeader := f.leader()
			oldLeader.kill()
			f.leader(f.others(oldLeader)[:2]...)
			v := f.apply(f.entriesOnly()[0], 1, "after")
			load.waitForResults(200)
			Eventually(f.checkConfigVersion).WithArguments(v, f.others(oldLeader)[2]).Should(Succeed())
			results := load.stop()
			f.expectGuarantees(results)
			expectDonePercent(results, 90)
		})
	})

	// Guards against a former leader that, when it is resumed, answers reads
	// from old state or accepts changes of an old version, and against
	// configuration versions that decrease.
	It("is suspended, replaced and resumed", func() {
		forEachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{})
			watch := f.watchVersions()
			oldLeader := f.leader()
			rest := f.others(oldLeader)
			oldLeader.suspend()
			reads := f.startReads(oldLeader, 10)
			v := azurestair.ConfigVersion(1)
			for i := range 5 {
				v = f.apply(rest[rng.IntN(len(rest))], v, fmt.Sprintf("frozen-%d", i))
			}
			staleChanges := f.startStaleChanges(oldLeader, 5, 1)
			oldLeader.resume()
			for range cap(reads) {
				var r configRead
				Eventually(reads).Should(Receive(&r))
				if r.err == nil {
					Expect(r.version).To(BeNumerically(">=", v), "read returned an old version")
				}
			}
			for range cap(staleChanges) {
				var err error
				Eventually(staleChanges, 30*time.Second).Should(Receive(&err))
				Expect(err).To(MatchError(azurestair.ErrConflict))
			}
			Eventually(f.checkConfigVersion).WithArguments(v, f.nodes[0], f.nodes[1], f.nodes[2], f.nodes[3]).Should(Succeed())
			Expect(f.version(oldLeader)).To(Equal(v))
			watch.expectMonotonic()
		})
	})
})

// configRead is the response to a read of the configuration.
type configRead struct {
	version azurestair.ConfigVersion
	err     error
}

// startReads sends reads of the configuration to a suspended instance, which
// answers after resume.
func (f *fleet) startReads(via *node, n int) <-chan configRead {
	out := make(chan configRead, n)
	for range n {
		go func() {
			resp, err := via.operatorClient().Config(context.Background())
			out <- configRead{version: resp.Version, err: err}
		}()
	}
	return out
}

// startStaleChanges sends changes with an old base version to a suspended
// instance, which answers after resume.
func (f *fleet) startStaleChanges(via *node, n int, base azurestair.ConfigVersion) <-chan error {
	out := make(chan error, n)
	for i := range n {
		go func() {
			_, err := via.operatorClient().Apply(context.Background(), newConfigRequest(base, fmt.Sprintf("stale-%d", i)))
			out <- err
		}()
	}
	return out
}
