package faults

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

var _ = Describe("planned change", func() {
	// Guards against an upgrade that interrupts a request, executes one twice
	// or reverts a change while instances of two program versions run side by
	// side.
	It("of all instances by a rolling replacement interrupts no request", func() {
		forEachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{program: *fromFlag})
			watch := f.watchVersions()
			load := f.startTraffic(rng, "roll", 8, allKinds, f.sendThroughLookups())
			version := f.version(f.nodes[0])
			for i, n := range f.upgradeOrder(rng) {
				load.waitForResults(50)
				n.terminate()
				n.program = programUnderTest()
				n.start()
				Eventually(f.checkReady, 20*time.Second).Should(Succeed(), "after the replacement of %s", n.id)
				version = f.apply(f.nodes[rng.IntN(numInstances)], version, fmt.Sprintf("roll-%d", i))
			}
			Eventually(func() error { return f.checkConfigVersion(version, f.nodes...) }).Should(Succeed())
			load.waitForResults(100)
			results := load.stop()
			watch.expectMonotonic()
			f.expectGuarantees(results)
			expectFirstTryDone(results)
			f.expectSameProtocol()
			fmt.Fprintf(GinkgoWriter, "%d requests, %d done, configuration version %d\n", len(results), countDone(results), version)
		})
	})
})

// upgradeOrder returns the instances in the order in which an operator upgrades
// them: first those that do not replicate the log, last the leader.
func (f *fleet) upgradeOrder(rng *rand.Rand) []*node {
	leader := f.leader()
	followers := slices.DeleteFunc(slices.Clone(f.voters()), func(n *node) bool { return n == leader })
	return slices.Concat(shuffled(rng, f.entriesOnly()), shuffled(rng, followers), []*node{leader})
}

// expectSameProtocol checks that all instances have the protocol versions of
// the program under test, that none has refused another instance, and that the
// leader may propose records of the current version.
func (f *fleet) expectSameProtocol() {
	for _, n := range f.nodes {
		st, err := n.status()
		Expect(err).NotTo(HaveOccurred())
		Expect(st.Protocol).To(Equal(azurestair.Protocol()), "%s", n.id)
		Expect(st.VersionMismatch).To(BeEmpty(), "%s", n.id)
	}
	// The instance that was upgraded last announces its version when the leader
	// reaches it again.
	Eventually(func() (map[azurestair.InstanceID]azurestair.ProtocolVersion, error) {
		st, err := f.leader().status()
		if err != nil || st.Replica == nil {
			return nil, err
		}
		return st.Replica.Versions, nil
	}).Should(And(HaveLen(len(controlLocations)-1), HaveEach(azurestair.ProtocolCurrent)))
}
