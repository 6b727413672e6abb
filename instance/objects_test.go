package instance

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

// spreadFleet is a leader and an entry that exchange reports.
type spreadFleet struct {
	leader *leadingReplica
	entry  *memberFixture
	// reports holds the reports of the entry.
	reports []azurestair.Report
}

// spreadUpstreams is the number of upstreams of the service.
const spreadUpstreams = 12

// newRoutedFleet returns a leader that has accepted a configuration with one route
// to a service, and an entry that has not reported yet.
func newRoutedFleet(service azurestair.Service, defaults azurestair.Defaults) *spreadFleet {
	ginkgo.GinkgoHelper()
	f := &spreadFleet{leader: newLeadingReplica(), entry: newRoutedEntry()}
	cfg := *routedSnapshot("", 0).Config
	cfg.Version, cfg.Services, cfg.Defaults = 1, []azurestair.Service{service}, defaults
	cfg.Routes[0].Services[0].Service = service.Name
	done := make(chan proposeReply, 1)
	f.leader.propose(proposeEvent{reply: done, command: azurestair.Command{Config: &azurestair.ConfigChange{
		Change: azurestair.Change{ID: "c1", Operator: "o", Reason: "first"}, Config: cfg, Highest: true,
	}}}, f.leader.now)
	f.leader.run(2)
	Expect((<-done).result.Code).To(Equal(azurestair.ResultAccepted))
	return f
}

func newRoutedEntry() *memberFixture {
	m := newMemberFixture()
	m.self.CallerAddr, m.self.PeerAddr, m.self.FailureDomain = "127.0.0.1:1", fmt.Sprintf("127.0.0.1:%d", 1000+fixtureIDs.Add(1)), "kigali-a"
	return m
}

func newSpreadFleet(spread bool) *spreadFleet {
	ginkgo.GinkgoHelper()
	f := newRoutedFleet(azurestair.Service{Name: "desk"}, azurestair.Defaults{SpreadObjects: spread})
	for i := range spreadUpstreams {
		a := testAnnouncement(1)
		a.Upstream, a.Addr, a.Service = azurestair.UpstreamID(fmt.Sprintf("w%d", i)), fmt.Sprintf("127.0.0.1:%d", 100+i), "desk"
		a.Region, a.FailureDomain, a.Slots = "kigali", "kigali-a", 3
		Expect(f.leader.registry.Announce(a, f.leader.now)).To(Succeed())
	}
	return f
}

// step lets a second pass and the entry report, over the wire.
func (f *spreadFleet) step() {
	ginkgo.GinkgoHelper()
	for i := range spreadUpstreams {
		f.leader.registry.RenewLeases([]azurestair.UpstreamID{azurestair.UpstreamID(fmt.Sprintf("w%d", i))}, f.leader.now)
	}
	f.leader.run(10)
	f.entry.clock.advance(time.Second)
	f.reports = append(f.reports, f.exchange(f.entry))
}

// exchange lets an entry report, over the wire, and returns the report.
func (f *spreadFleet) exchange(m *memberFixture) azurestair.Report {
	ginkgo.GinkgoHelper()
	q := overWire(m.report())
	reply, err := f.leader.report(q, f.leader.now)
	Expect(err).NotTo(HaveOccurred())
	m.handleReportDone(reportDoneEvent{sent: m.clock.Now(), reply: overWire(reply)}, m.clock.Now())
	return q
}

// overWire returns a message as its receiver decodes it.
func overWire[T azurestair.Validator](m T) T {
	ginkgo.GinkgoHelper()
	data, err := cbor.Marshal(m)
	Expect(err).NotTo(HaveOccurred())
	var out T
	Expect(cbor.Unmarshal(data, &out)).To(Succeed())
	Expect(out.Validate()).To(Succeed())
	return out
}

// request picks upstreams for n requests that concern one object and returns
// how many upstreams were used.
func (f *spreadFleet) request(n int, object string) int {
	ginkgo.GinkgoHelper()
	used := map[azurestair.UpstreamID]bool{}
	d := f.entry.entry.allDispatchers()["desk"]
	for range n {
		c, err := d.pick(azurestair.RequestInfo{Service: "desk", Rank: azurestair.RankInteractive, Object: azurestair.ObjectKeyOf(object)}, nil)
		Expect(err).NotTo(HaveOccurred())
		d.countRequest()
		d.finishAttempt(c, azurestair.AttemptDone, 200*time.Millisecond)
		used[c.Upstream] = true
	}
	return len(used)
}

var _ = ginkgo.Describe("object plans", func() {
	// Guards against a part of the path from the counter of an entry to its
	// picker that is missing: report, leader, snapshot, delta.
	ginkgo.It("spread a frequent object over several upstreams", func() {
		f := newSpreadFleet(true)
		f.step()
		Expect(f.request(10, "frequent")).To(Equal(1))
		for range 12 {
			f.step()
			f.request(10, "frequent")
			f.request(1, "rare")
		}
		Expect(f.entry.snapshot.Objects).To(HaveLen(1))
		Expect(f.entry.snapshot.Objects[0].Objects).To(HaveLen(2))
		Expect(f.request(100, "frequent")).To(BeNumerically(">", 6))
		Expect(f.entry.entry.metrics.registry.Get(plannedObjectsMetric)).NotTo(BeNil())
	})

	// Guards against reports that carry the rates each time anything changes.
	ginkgo.It("are made from one report each second", func() {
		f := newSpreadFleet(true)
		f.step()
		f.step()
		f.request(10, "frequent")
		f.step()
		Expect(f.reports[2].Objects).To(HaveLen(1))
		Expect(f.entry.report().Objects).To(BeEmpty())
	})

	// Guards against other messages and choices where they are not enabled.
	ginkgo.It("are absent without the setting", func() {
		f := newSpreadFleet(false)
		for range 12 {
			f.step()
			Expect(f.request(10, "frequent")).To(Equal(1))
		}
		for _, r := range f.reports {
			Expect(r.Objects).To(BeEmpty())
		}
		Expect(f.entry.snapshot.Objects).To(BeEmpty())
		Expect(f.entry.entry.metrics.registry.Get(plannedObjectsMetric)).To(BeNil())
	})
})
