package azurestair_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

// rates returns the traffic of n objects with one rate.
func rates(n int, r azurestair.MilliPerSecond) azurestair.ObjectTraffic {
	t := azurestair.ObjectTraffic{Service: "desk", Region: "huye"}
	for i := range n {
		t.Objects = append(t.Objects, azurestair.ObjectRate{Object: azurestair.ObjectKey(i + 1), Rate: r})
	}
	return t
}

// objectPlan returns a plan of n objects with one demand.
func objectPlan(n int, d azurestair.MilliSlots) azurestair.ObjectPlan {
	p := azurestair.ObjectPlan{Service: "desk", Region: "huye"}
	for i := range n {
		p.Objects = append(p.Objects, azurestair.ObjectDemand{Object: azurestair.ObjectKey(i + 1), Demand: d})
	}
	return p
}

var _ = Describe("objects in messages", func() {
	It("are valid within their bounds", func() {
		for _, v := range []azurestair.Validator{
			rates(azurestair.MaxReportedObjects, 1), rates(1, 0), objectPlan(2*azurestair.MaxPlannedObjects, azurestair.MaxObjectDemand), objectPlan(1, 0),
		} {
			Expect(v.Validate()).To(Succeed())
		}
	})

	// Guards against reports and snapshots whose size is not bounded, and
	// against values whose sums overflow.
	It("are rejected beyond their bounds", func() {
		for _, v := range []azurestair.Validator{
			rates(azurestair.MaxReportedObjects+1, 1), rates(1, -1), rates(1, 2e12),
			azurestair.ObjectTraffic{Service: "desk"},
			objectPlan(2*azurestair.MaxPlannedObjects+1, 1), objectPlan(1, -1), objectPlan(1, azurestair.MaxObjectDemand+1),
			azurestair.ObjectPlan{Region: "huye"},
			azurestair.Report{Objects: []azurestair.ObjectTraffic{rates(1, -1)}},
			&azurestair.Snapshot{Objects: []azurestair.ObjectPlan{objectPlan(1, -1)}},
			&azurestair.SnapshotDelta{Revision: 1, Objects: []azurestair.ObjectPlan{objectPlan(1, -1)}},
		} {
			expectInvalid(v)
		}
	})
})
