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
	// Guards against requests that fail, run twice or get a false "not run"
	// when all instances and upstreams of a region die together, and against a
	// fleet that accepts no changes without the region.
	It("dies as a whole", func() {
		eachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{})
			load := f.startTraffic(rng, "region", 12, allKinds, f.throughAll())
			load.more(200)
			left := f.killRegion("huye")
			v := f.apply(left[0], 1, "without-huye")
			load.more(200)
			Eventually(f.inForce).WithArguments(v, left[0], left[1]).Should(Succeed())
			results := load.stop()
			f.expectTruth(results)
			expectMost(results, 90)
		})
	})
})

// killRegion kills everything in a region and returns the instances that are left.
func (f *fleet) killRegion(name azurestair.RegionName) []*node {
	var left []*node
	for _, n := range f.nodes {
		if n.place.region == name {
			n.kill()
			continue
		}
		left = append(left, n)
	}
	for _, u := range f.upstreams {
		if u.Region() == name {
			u.Close()
		}
	}
	return left
}

var _ = Describe("measurements", func() {
	// Guards against an outage when the upstreams' announcements stop although
	// the upstreams serve: the last plan, own answers and probes keep them in use.
	It("stop for longer than all leases", func() {
		eachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{})
			for _, u := range f.upstreams {
				u.SetAnnouncementsPaused(true)
			}
			var lapsed atomic.Bool
			time.AfterFunc(2*leaseTime, func() { lapsed.Store(true) })
			load := f.startTraffic(rng, "silence", 8, []kind{browse, pay}, f.throughAll())
			Eventually(lapsed.Load).Should(BeTrue())
			load.more(200)
			results := load.stop()
			f.expectTruth(results)
			expectMost(results, 99)
		})
	})
})

// leaseTime is how long an announcement counts.
const leaseTime = 3 * time.Second
