package faults

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

var _ = Describe("region", func() {
	// Guards against requests that fail, are executed twice or are wrongly
	// reported as not run when all instances and upstreams of a region are
	// killed together, and against a fleet that accepts no configuration
	// changes without the region.
	It("is killed as a whole", func() {
		forEachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{})
			load := f.startTraffic(rng, "region", 12, allKinds, f.sendThroughAllEntries())
			load.waitForResults(200)
			survivors := f.killRegion("huye")
			v := f.apply(survivors[0], 1, "without-huye")
			load.waitForResults(200)
			Eventually(f.checkConfigVersion).WithArguments(v, survivors[0], survivors[1]).Should(Succeed())
			results := load.stop()
			f.expectGuarantees(results)
			expectDonePercent(results, 90)
		})
	})
})

// killRegion kills all instances and upstreams of a region and returns the
// other instances.
func (f *fleet) killRegion(name azurestair.RegionName) []*node {
	var survivors []*node
	for _, n := range f.nodes {
		if n.location.region == name {
			n.kill()
			continue
		}
		survivors = append(survivors, n)
	}
	for _, u := range f.upstreams {
		if u.Region() == name {
			u.Close()
		}
	}
	return survivors
}

var _ = Describe("announcements", func() {
	// Guards against an outage when the announcements of the upstreams stop
	// although the upstreams still serve. The last plan, the entry's own
	// responses from the upstreams and probes must keep them in use.
	It("stop for longer than all leases", func() {
		forEachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{})
			for _, u := range f.upstreams {
				u.SetAnnouncementsPaused(true)
			}
			var lapsed atomic.Bool
			time.AfterFunc(2*leaseDuration, func() { lapsed.Store(true) })
			load := f.startTraffic(rng, "silence", 8, []requestKind{browse, pay}, f.sendThroughAllEntries())
			Eventually(lapsed.Load).Should(BeTrue())
			load.waitForResults(200)
			results := load.stop()
			f.expectGuarantees(results)
			expectDonePercent(results, 99)
		})
	})
})

// leaseDuration is the longest validity period in a fleet, that of
// announcements by instances and upstreams and of the leader's responses.
const leaseDuration = 3 * time.Second
