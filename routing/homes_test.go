package routing_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/routing"
)

// Guards against requests of a workspace that run outside the regions in which
// its data must stay, also when these have no free slot.
var _ = DescribeTable("a choice for a request with home regions is made in these only",
	func(homes, want []azurestair.RegionName) {
		shift := func(azurestair.RegionName, azurestair.Slots, time.Time) bool { return true }
		list := slices.Concat(upstreams("kigali", 2, 9), upstreams("huye", 2, 9), upstreams("musanze", 2, 9))
		h := newHarness(routing.Options{Region: "kigali", FailureDomain: "kigali-a", ShiftBudget: shift}, list...)
		work := idempotentWork
		work.HomeRegions = homes
		seen := map[azurestair.RegionName]bool{}
		for {
			c, err := h.Pick(work, nil, h.now)
			if err != nil {
				Expect(routing.ReasonOf(err)).To(Equal(azurestair.ReasonNoUpstream))
				break
			}
			seen[c.Region] = true
		}
		Expect(seen).To(HaveLen(len(want)))
		for _, r := range want {
			Expect(seen).To(HaveKey(r))
		}
	},
	Entry("own region", []azurestair.RegionName{"kigali"}, []azurestair.RegionName{"kigali"}),
	Entry("another region", []azurestair.RegionName{"huye"}, []azurestair.RegionName{"huye"}),
	Entry("two regions", []azurestair.RegionName{"kigali", "musanze"}, []azurestair.RegionName{"kigali", "musanze"}),
	Entry("an unknown region", []azurestair.RegionName{"nosuch"}, nil),
	Entry("all regions", nil, []azurestair.RegionName{"kigali", "huye", "musanze"}),
)
