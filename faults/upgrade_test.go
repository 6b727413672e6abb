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
	// Guards against an upgrade that cuts a request, runs one twice or takes
	// back a change, while programs of two versions run side by side.
	It("of all instances by a rolling replacement", func() {
		eachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{program: *fromFlag})
			watch := f.watchVersions()
			load := f.startTraffic(rng, "roll", 8, allKinds, f.followLookups())
			version := f.version(f.nodes[0])
			for i, n := range f.upgradeOrder(rng) {
				load.more(50)
				n.terminate()
				n.program = builtProgram()
				n.start()
				Eventually(f.whole, 20*time.Second).Should(Succeed(), "with %s replaced", n.id)
				version = f.apply(f.nodes[rng.IntN(numInstances)], version, fmt.Sprintf("roll-%d", i))
			}
			Eventually(func() error { return f.inForce(version, f.nodes...) }).Should(Succeed())
			load.more(100)
			results := load.stop()
			watch.expectMonotone()
			f.expectTruth(results)
			expectUncut(results)
			f.expectOneVersion()
			fmt.Fprintf(GinkgoWriter, "%d requests, %d done, configuration version %d\n", len(results), done(results), version)
		})
	})
})

// upgradeOrder returns the instances as an operator replaces them: those
// without the log first, the leader last.
func (f *fleet) upgradeOrder(rng *rand.Rand) []*node {
	leader := f.leader()
	followers := slices.DeleteFunc(slices.Clone(f.voters()), func(n *node) bool { return n == leader })
	return slices.Concat(shuffled(rng, f.entriesOnly()), shuffled(rng, followers), []*node{leader})
}

// expectOneVersion checks that all instances run the program under test, that
// none has refused another, and that the leader may propose its records.
func (f *fleet) expectOneVersion() {
	for _, n := range f.nodes {
		st, err := n.status()
		Expect(err).NotTo(HaveOccurred())
		Expect(st.Protocol).To(Equal(azurestair.Protocol()), "%s", n.id)
		Expect(st.VersionMismatch).To(BeEmpty(), "%s", n.id)
	}
	// The instance that was replaced last announces its version when the leader reaches it again.
	Eventually(func() (map[azurestair.InstanceID]azurestair.ProtocolVersion, error) {
		st, err := f.leader().status()
		if err != nil || st.Replica == nil {
			return nil, err
		}
		return st.Replica.Versions, nil
	}).Should(And(HaveLen(len(controlPlaces)-1), HaveEach(azurestair.ProtocolCurrent)))
}
