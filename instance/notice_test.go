package instance

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

// Guards against entries that learn up to a second late, with their next
// report, that an upstream is another process or has become cold.
var _ = ginkgo.DescribeTable("a snapshot is announced to the instances at once",
	func(change func(*azurestair.Announcement), announced bool) {
		snapshot := func(a azurestair.Announcement) *azurestair.Snapshot {
			return &azurestair.Snapshot{Upstreams: []azurestair.UpstreamInfo{{Announcement: a, Confirmed: true}}}
		}
		before := azurestair.Announcement{
			Upstream: "u1", Service: "shop", Addr: "127.0.0.1:80", State: azurestair.StateServing, Incarnation: 7, Sequence: 9, ColdMs: 100,
		}
		after := before
		change(&after)
		Expect(needsNotice(snapshot(before), snapshot(after))).To(Equal(announced))
	},
	ginkgo.Entry("if an upstream has started again", func(a *azurestair.Announcement) { a.Incarnation, a.Sequence = 8, 1 }, true),
	ginkgo.Entry("if an upstream has become cold", func(a *azurestair.Announcement) { a.ColdMs = 3000 }, true),
	ginkgo.Entry("if an upstream drains", func(a *azurestair.Announcement) { a.State = azurestair.StateDraining }, true),
	ginkgo.Entry("but not if only its load has changed", func(a *azurestair.Announcement) { a.Load.InFlight = 3 }, false),
	ginkgo.Entry("but not if it has become warm", func(a *azurestair.Announcement) { a.ColdMs = 0 }, false),
)
