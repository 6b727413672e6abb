package load

import (
	"fmt"
	"time"

	"azurestair.example/azurestair"
)

// Deployment describes the regions, links and upstreams of a measured fleet.
type Deployment struct {
	Name    string
	Regions []azurestair.Region
	// LinkBandwidth is the bandwidth in each direction between two regions.
	LinkBandwidth azurestair.BytesPerSecond
	Pools         []Pool
}

// Pool is a group of identical upstreams of one service.
type Pool struct {
	Service   azurestair.ServiceName
	Upstreams int
	Slots     azurestair.Slots
	// ServiceTime is an assumption, because the design page does not specify
	// it. It is long enough that one machine, which also runs the fleet, can
	// generate ten times the capacity.
	ServiceTime time.Duration
}

// Capacity returns the number of requests per second that the pool can
// complete.
func (p Pool) Capacity() Rate {
	return Rate(float64(p.Upstreams) * float64(p.Slots) / p.ServiceTime.Seconds())
}

// maxConns is the connection limit of an upstream in both deployments.
const maxConns azurestair.Conns = 330

// Deployments returns the two deployments of the design page.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "inkingi", Regions: regions("kigali", "huye", "musanze"), LinkBandwidth: 500_000_000,
			Pools: []Pool{
				{Service: "catalogue", Upstreams: 24, Slots: 9, ServiceTime: 400 * time.Millisecond},
				{Service: "payments", Upstreams: 12, Slots: 3, ServiceTime: 200 * time.Millisecond},
			},
		},
		{
			Name: "addis", Regions: regions("addis", "dire", "bahir"), LinkBandwidth: 35_000_000,
			Pools: []Pool{
				{Service: "script", Upstreams: 20, Slots: 5, ServiceTime: 200 * time.Millisecond},
				{Service: "broadcast", Upstreams: 12, Slots: 3, ServiceTime: 200 * time.Millisecond},
			},
		},
	}
}

func regions(names ...azurestair.RegionName) []azurestair.Region {
	var out []azurestair.Region
	for _, n := range names {
		out = append(out, azurestair.Region{Name: n, FailureDomains: []azurestair.FailureDomainName{
			azurestair.FailureDomainName(n + "-a"), azurestair.FailureDomainName(n + "-b"),
		}})
	}
	return out
}

// location returns the location of the i-th instance or upstream, round robin
// over the regions.
func (d Deployment) location(i int) (azurestair.RegionName, azurestair.FailureDomainName) {
	r := d.Regions[i%len(d.Regions)]
	return r.Name, r.FailureDomains[i/len(d.Regions)%len(r.FailureDomains)]
}

// Timeouts of the operations, by rank.
const (
	interactiveTimeout azurestair.Millis = 1_000
	urgentTimeout      azurestair.Millis = 2_000
	deferredTimeout    azurestair.Millis = 5_000
)

// Config returns the fleet configuration. Each service has one operation per
// rank, named after the rank, so that the ranks compete for its slots.
func (d Deployment) Config() azurestair.Config {
	c := azurestair.Config{Regions: d.Regions}
	c.Defaults.LookupTTLMs = 1_000
	c.Defaults.LookupMovePercent = 100
	c.Defaults.ShiftIntervalMs = 500
	c.Defaults.SlowStartMs = 200
	for _, p := range d.Pools {
		c.Services = append(c.Services, azurestair.Service{Name: p.Service, Operations: []azurestair.Operation{
			{Name: operationName(azurestair.RankInteractive), Rank: azurestair.RankInteractive, Idempotent: true, TimeoutMs: interactiveTimeout},
			{Name: operationName(azurestair.RankUrgent), Rank: azurestair.RankUrgent, TimeoutMs: urgentTimeout},
			{Name: operationName(azurestair.RankDeferred), Rank: azurestair.RankDeferred, TimeoutMs: deferredTimeout},
		}})
	}
	for _, from := range d.Regions {
		for _, to := range d.Regions {
			if from.Name != to.Name {
				c.Links = append(c.Links, azurestair.Link{From: from.Name, To: to.Name, Limit: d.LinkBandwidth})
			}
		}
	}
	return c
}

func operationName(r azurestair.Rank) azurestair.OperationName {
	return azurestair.OperationName(r.String())
}

// upstreamID returns the id of the i-th upstream of the pool.
func (p Pool) upstreamID(i int) azurestair.UpstreamID {
	return azurestair.UpstreamID(fmt.Sprintf("%s-%d", p.Service, i))
}
