package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// scaleFixture is the unreplicated state of a leader for a fleet of a given
// size.
type scaleFixture struct {
	registry  control.Registry
	publisher control.Publisher
	allocator control.Allocator
	receiver  control.ReportReceiver
	source    control.SnapshotSource
	senders   []control.ReportSender
	reports   []azurestair.Report
}

// scaleServices, scaleRegions and scaleDomains are the numbers at the expected
// scale.
const (
	scaleServices = 3
	scaleRegions  = 4
	scaleDomains  = 13
)

func scaleLocation(i int) (azurestair.RegionName, azurestair.FailureDomainName) {
	d := i % scaleDomains
	return azurestair.RegionName(fmt.Sprintf("region-%d", d%scaleRegions)), azurestair.FailureDomainName(fmt.Sprintf("domain-%d", d))
}

func scaleConfig(version azurestair.ConfigVersion) *azurestair.Config {
	c := &azurestair.Config{Version: version}
	for i := range scaleServices {
		c.Services = append(c.Services, azurestair.Service{
			Name:       azurestair.ServiceName(fmt.Sprintf("service-%d", i)),
			Operations: []azurestair.Operation{{Name: "read", Rank: azurestair.RankInteractive, Idempotent: true, TimeoutMs: 1000}},
		})
	}
	for i := range scaleRegions {
		c.Regions = append(c.Regions, azurestair.Region{Name: azurestair.RegionName(fmt.Sprintf("region-%d", i))})
	}
	for i := range scaleDomains {
		region, domain := scaleLocation(i)
		for j := range c.Regions {
			if c.Regions[j].Name == region {
				c.Regions[j].FailureDomains = append(c.Regions[j].FailureDomains, domain)
			}
		}
	}
	return c
}

func newScaleFixture(instances, upstreams int) *scaleFixture {
	s := &scaleFixture{allocator: control.Allocator{MaxHolders: instances + 1}}
	s.registry.Seed(&azurestair.Snapshot{}, start)
	for i := range upstreams {
		region, domain := scaleLocation(i)
		_ = s.registry.Announce(azurestair.Announcement{
			Upstream: azurestair.UpstreamID(fmt.Sprintf("upstream-%d", i)), Service: azurestair.ServiceName(fmt.Sprintf("service-%d", i%scaleServices)),
			Addr: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250), Region: region, FailureDomain: domain, Slots: 9, MaxConns: 330,
			State: azurestair.StateServing, Incarnation: 1, Sequence: 1,
		}, start)
	}
	s.senders, s.reports = make([]control.ReportSender, instances), make([]azurestair.Report, instances)
	for i := range instances {
		region, domain := scaleLocation(i)
		info := azurestair.InstanceInfo{
			ID: azurestair.InstanceID(fmt.Sprintf("entry-%d", i)), Incarnation: 1_790_000_000_000_000_000, Region: region, FailureDomain: domain,
			CallerAddr: fmt.Sprintf("10.2.%d.%d:7111", i/250, i%250), UpstreamAddr: fmt.Sprintf("10.2.%d.%d:7112", i/250, i%250),
			PeerAddr: fmt.Sprintf("10.2.%d.%d:7114", i/250, i%250), Ready: true, ActiveConfig: 1,
		}
		_ = s.registry.UpdateInstance(info, start)
		r := azurestair.Report{Instance: info, SnapshotTerm: 1, SnapshotRevision: 1}
		for n := i; n < upstreams; n += instances {
			r.Alive = append(r.Alive, azurestair.UpstreamID(fmt.Sprintf("upstream-%d", n)))
		}
		for service := range scaleServices {
			for to := range scaleRegions {
				resource := azurestair.Resource{
					Kind: azurestair.ResourceSlots, Service: azurestair.ServiceName(fmt.Sprintf("service-%d", service)),
					Region: azurestair.RegionName(fmt.Sprintf("region-%d", to)),
				}
				shift := resource
				shift.Kind = azurestair.ResourceShift
				r.Demands = append(r.Demands, azurestair.Demand{Resource: resource}, azurestair.Demand{Resource: shift})
			}
		}
		s.reports[i] = r
	}
	s.source = control.SnapshotSource{Term: 1, Commit: 1, Config: scaleConfig(1), Registry: &s.registry}
	snap, _ := s.publisher.Publish(s.source, start)
	_ = s.allocator.SetLimits(control.Limits(snap.Config, nil, snap.Upstreams, instances+1), start)
	return s
}

// exchange processes one report and its reply on both sides.
func (s *scaleFixture) exchange(i int, now time.Time) (q azurestair.Report, reply azurestair.ReportReply) {
	n := i % len(s.senders)
	r := s.reports[n]
	r.SnapshotRevision = s.publisher.Current().Revision
	q = s.senders[n].Prepare(r)
	full, _ := s.receiver.Expand(q)
	_ = s.registry.UpdateInstance(full.Instance, now)
	_ = s.registry.RenewLeases(full.Alive, now)
	s.publisher.Publish(s.source, now)
	s.receiver.SetGrants(full, s.allocator.Grant(full.Instance.ID, full.Instance.Incarnation, full.Demands, now), &reply)
	reply.Term, reply.ControlTTLMs = 1, 3000
	s.senders[n].HandleReply(reply)
	return q, reply
}

func sizeOf(v any) float64 {
	data, _ := cbor.Marshal(v)
	return float64(len(data))
}

// BenchmarkScaleReport measures one idle report at the leader, and reports the
// encoded sizes of the first report, of a repeated report (each with its reply)
// and of a snapshot.
func BenchmarkScaleReport(b *testing.B) {
	for _, size := range [][2]int{{7, 40}, {50, 40}, {50, 240}, {200, 240}, {690, 40}, {690, 240}} {
		b.Run(fmt.Sprintf("instances=%d/upstreams=%d", size[0], size[1]), func(b *testing.B) {
			s := newScaleFixture(size[0], size[1])
			first, firstReply := s.exchange(0, start)
			i := 1
			step := time.Second / time.Duration(size[0])
			for ; i < 3*size[0]; i++ {
				s.exchange(i, start.Add(time.Duration(i)*step))
			}
			var q azurestair.Report
			var a azurestair.ReportReply
			b.ReportAllocs()
			for b.Loop() {
				q, a = s.exchange(i, start.Add(time.Duration(i)*step))
				i++
			}
			b.ReportMetric(sizeOf(first)+sizeOf(firstReply), "B/firstReport")
			b.ReportMetric(sizeOf(q)+sizeOf(a), "B/report")
			b.ReportMetric(sizeOf(s.publisher.Current()), "B/snapshot")
		})
	}
}

// BenchmarkScaleChange measures a configuration change at the leader, including
// the encoded delta for each watcher.
func BenchmarkScaleChange(b *testing.B) {
	for _, watchers := range []int{7, 50, 200, 690} {
		b.Run(fmt.Sprintf("watchers=%d", watchers), func(b *testing.B) {
			s := newScaleFixture(watchers, 240)
			version := azurestair.ConfigVersion(1)
			size := 0.0
			for b.Loop() {
				version++
				base := s.publisher.Current().Revision
				s.source.Config = scaleConfig(version)
				s.publisher.Publish(s.source, start)
				for range watchers {
					d, _ := s.publisher.Delta(1, base)
					data, _ := cbor.Marshal(&azurestair.ReportReply{Term: 1, ControlTTLMs: 3000, Delta: d})
					size = float64(len(data))
				}
			}
			b.ReportMetric(size, "B/delta")
			b.ReportMetric(size*float64(watchers), "B/change")
		})
	}
}

// BenchmarkScalePlan measures a step of the region plans at the leader, and
// reports the encoded sizes of the traffic in a report and of the plans.
func BenchmarkScalePlan(b *testing.B) {
	for _, size := range [][2]int{{7, 40}, {690, 240}} {
		b.Run(fmt.Sprintf("instances=%d/upstreams=%d", size[0], size[1]), func(b *testing.B) {
			s := newScaleFixture(size[0], size[1])
			traffic := make([]azurestair.Traffic, scaleServices)
			for n := range traffic {
				traffic[n] = azurestair.Traffic{Service: azurestair.ServiceName(fmt.Sprintf("service-%d", n)), Rate: 12.34, MeanSlots: 5.67}
			}
			now := start
			for i := range s.reports {
				s.exchange(i, now)
				s.registry.SetTraffic(s.reports[i].Instance.ID, traffic)
			}
			snap := *s.publisher.Current()
			var planner control.RegionPlanner
			for b.Loop() {
				now = now.Add(time.Second)
				snap.Plans = planner.Step(&snap, s.registry.Traffic(), now)
			}
			b.ReportMetric(sizeOf(traffic), "B/traffic")
			b.ReportMetric(sizeOf(snap.Plans), "B/plans")
		})
	}
}
