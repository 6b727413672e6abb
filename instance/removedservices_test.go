package instance

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

// serviceChanges is how many configurations the tests of removed services apply.
// Each names two new services, so that more occur than any list may hold.
const serviceChanges = azurestair.MaxTraffic

// serviceNames returns the names of the new services of a configuration.
func serviceNames(version int) []azurestair.ServiceName {
	return []azurestair.ServiceName{azurestair.ServiceName(fmt.Sprintf("desk-%d", version)), azurestair.ServiceName(fmt.Sprintf("pay-%d", version))}
}

// applyServices gives the member a configuration with the named services and lets
// it report. The report must be one that a leader accepts.
func (m *memberFixture) applyServices(version int, routed bool, upstreams []azurestair.UpstreamInfo, names ...azurestair.ServiceName) azurestair.Report {
	ginkgo.GinkgoHelper()
	reply := snapshotReply(1, azurestair.Revision(version), azurestair.ConfigVersion(version))
	cfg := reply.Snapshot.Config
	if routed {
		cfg.Routes = routedSnapshot("", 0).Config.Routes
	}
	template := cfg.Services[0]
	cfg.Services = nil
	for _, name := range names {
		template.Name = name
		cfg.Services = append(cfg.Services, template)
	}
	reply.Snapshot.Upstreams = upstreams
	m.exchange(reply)
	m.entry.tick(m.clock.Now())
	return overWire(m.exchange(azurestair.ReportReply{Term: 1, ControlTTLMs: controlTTL}))
}

// Guards against an entry whose reports are all refused, so that it follows no
// configuration any more, because it reports each service that it has ever had.
var _ = ginkgo.Describe("an entry whose services come and go", func() {
	var m *memberFixture
	ginkgo.BeforeEach(func() {
		m = newMemberFixture()
		m.self.FailureDomain, m.self.PeerAddr = "kigali-a", "127.0.0.1:1"
	})

	ginkgo.DescribeTable("reports and keeps only those of its configuration", func(routed bool) {
		for v := 2; v < 2+serviceChanges; v++ {
			q := m.applyServices(v, routed, nil, serviceNames(v)...)
			Expect(len(q.Traffic)).To(BeNumerically("<=", 2))
			Expect(m.snapshot.ConfigVersion()).To(BeEquivalentTo(v))
			Expect(m.entry.allDispatchers()).To(HaveLen(2))
		}
	},
		ginkgo.Entry("with leased budgets", false),
		ginkgo.Entry("with routes", true),
	)

	ginkgo.DescribeTable("keeps what it knows of a removed service",
		func(upstreams []azurestair.UpstreamInfo, begin, end func(d *dispatcher)) {
			m.applyServices(2, true, upstreams, "desk")
			d := m.entry.allDispatchers()["desk"]
			begin(d)
			q := m.applyServices(3, true, upstreams, "pay")
			Expect(q.Traffic).To(HaveLen(1))
			Expect(m.entry.allDispatchers()["desk"]).To(BeIdenticalTo(d))
			end(d)
			m.applyServices(4, true, nil, "pay")
			Expect(m.entry.allDispatchers()).To(HaveLen(1))
			Expect(d.beginRequest()).To(BeFalse())
		},
		ginkgo.Entry("until its requests have ended", nil,
			func(d *dispatcher) { Expect(d.beginRequest()).To(BeTrue()) }, (*dispatcher).endRequest),
		ginkgo.Entry("until its upstreams are gone", []azurestair.UpstreamInfo{{Announcement: azurestair.Announcement{
			Upstream: "w1", Service: "desk", Addr: "127.0.0.1:80", Region: "kigali", FailureDomain: "kigali-a", Slots: 4,
			MaxConns: 10, State: azurestair.StateServing,
		}}}, func(*dispatcher) {}, func(*dispatcher) {}),
	)

	// Guards against memory that grows with each name of a route.
	ginkgo.It("forgets the routes that it does not have any more", func() {
		for v := 2; v < 10; v++ {
			s := routedSnapshot("", azurestair.ConfigVersion(v))
			s.Config.Routes[0].Name = azurestair.RouteName(fmt.Sprintf("read-%d", v))
			m.entry.update(s)
			Expect(m.entry.nextRouteService(&s.Config.Routes[0])).To(BeEquivalentTo("shop"))
			Expect(m.entry.splitters).To(HaveLen(1))
		}
	})

	// Guards against a configuration that is accepted although its entries can't
	// report the budgets that it needs.
	ginkgo.It("reports the budgets of the largest configuration", func() {
		cfg := *testSnapshot(2).Config
		cfg.Services, cfg.Regions, cfg.Links = nil, nil, nil
		for i := range azurestair.MaxRegions {
			cfg.Regions = append(cfg.Regions, azurestair.Region{Name: azurestair.RegionName(fmt.Sprintf("region-%d", i))})
			for j := range i {
				a, b := cfg.Regions[i].Name, cfg.Regions[j].Name
				cfg.Links = append(cfg.Links, azurestair.Link{From: a, To: b, Limit: 1}, azurestair.Link{From: b, To: a, Limit: 1})
			}
		}
		for i := range azurestair.MaxServices {
			s := testSnapshot(2).Config.Services[0]
			s.Name = azurestair.ServiceName(fmt.Sprintf("service-%d", i))
			cfg.Services = append(cfg.Services, s)
		}
		Expect(cfg.Validate()).To(Succeed())
		m.self.Region, m.entry.self.Region = "region-0", "region-0"
		m.exchange(azurestair.ReportReply{Term: 1, ControlTTLMs: controlTTL, Snapshot: &azurestair.Snapshot{Term: 1, Revision: 2, Config: &cfg}})
		m.clock.advance(time.Second)
		Expect(overWire(m.report()).Demands).NotTo(BeEmpty())
	})
})
