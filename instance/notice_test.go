package instance

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

// Guards against entries that learn up to a second late, with their next
// report, that an upstream is another process or has become cold.
var _ = ginkgo.DescribeTable("a snapshot is announced to the instances at once",
	func(change func(*azurestair.UpstreamInfo), announced bool) {
		snapshot := func(u azurestair.UpstreamInfo) *azurestair.Snapshot {
			return &azurestair.Snapshot{Upstreams: []azurestair.UpstreamInfo{u}}
		}
		before := azurestair.UpstreamInfo{Confirmed: true, ColdEnd: time.Unix(100, 0), Announcement: azurestair.Announcement{
			Upstream: "u1", Service: "shop", Addr: "127.0.0.1:80", State: azurestair.StateServing, Incarnation: 7, Sequence: 9, ColdMs: 100,
		}}
		after := before
		change(&after)
		Expect(needsNotice(snapshot(before), snapshot(after))).To(Equal(announced))
	},
	ginkgo.Entry("if an upstream has started again", func(u *azurestair.UpstreamInfo) { u.Announcement.Incarnation, u.Announcement.Sequence = 8, 1 }, true),
	ginkgo.Entry("if an upstream has become cold", func(u *azurestair.UpstreamInfo) { u.Announcement.ColdMs = 3000 }, true),
	ginkgo.Entry("if an upstream has become cold again for as long", func(u *azurestair.UpstreamInfo) { u.ColdEnd = u.ColdEnd.Add(time.Second) }, true),
	ginkgo.Entry("but not if less of its cold time remains", func(u *azurestair.UpstreamInfo) { u.Announcement.ColdMs = 50 }, false),
	ginkgo.Entry("if an upstream drains", func(u *azurestair.UpstreamInfo) { u.Announcement.State = azurestair.StateDraining }, true),
	ginkgo.Entry("but not if only its load has changed", func(u *azurestair.UpstreamInfo) { u.Announcement.Load.InFlight = 3 }, false),
	ginkgo.Entry("but not if it has become warm", func(u *azurestair.UpstreamInfo) { u.Announcement.ColdMs = 0 }, false),
)
