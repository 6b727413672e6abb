package load

import (
	"fmt"
	"time"

	"azurestair.example/azurestair"
)

// Deployment is the part of a deployment that a measurement needs.
type Deployment struct {
	Name    string
	Regions []azurestair.Region
	// LinkBs is the bandwidth in each direction between two regions.
	LinkBs azurestair.BytesPerSecond
	Pools  []Pool
}

// Pool is a group of equal upstreams of one service.
type Pool struct {
	Service azurestair.ServiceName
	Workers int
	Slots   azurestair.Slots
	// ServiceTime is assumed; the design page gives none. It is long enough
	// that ten times the capacity can be sent from a part of one machine.
	ServiceTime time.Duration
}

// Capacity returns the requests that the pool can finish in a second.
func (p Pool) Capacity() Rate {
	return Rate(float64(p.Workers) * float64(p.Slots) / p.ServiceTime.Seconds())
}

// maxConns is the connection limit of an upstream in both deployments.
const maxConns azurestair.Conns = 330

// Deployments returns the two deployments of the design page.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "inkingi", Regions: regions("kigali", "huye", "musanze"), LinkBs: 500_000_000,
			Pools: []Pool{
				{Service: "catalogue", Workers: 24, Slots: 9, ServiceTime: 400 * time.Millisecond},
				{Service: "payments", Workers: 12, Slots: 3, ServiceTime: 200 * time.Millisecond},
			},
		},
		{
			Name: "addis", Regions: regions("addis", "dire", "bahir"), LinkBs: 35_000_000,
			Pools: []Pool{
				{Service: "script", Workers: 20, Slots: 5, ServiceTime: 200 * time.Millisecond},
				{Service: "broadcast", Workers: 12, Slots: 3, ServiceTime: 200 * time.Millisecond},
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

// place returns where the i-th instance or upstream stands: regions take turns.
func (d Deployment) place(i int) (azurestair.RegionName, azurestair.FailureDomainName) {
	r := d.Regions[i%len(d.Regions)]
	return r.Name, r.FailureDomains[i/len(d.Regions)%len(r.FailureDomains)]
}

// Timeouts of the operations.
const (
	interactiveTimeout azurestair.Millis = 1_000
	urgentTimeout      azurestair.Millis = 2_000
	deferredTimeout    azurestair.Millis = 5_000
)

// Config returns the fleet configuration: each service has an operation of
// each rank, named after the rank, so that the ranks compete for its slots.
func (d Deployment) Config() azurestair.Config {
	c := azurestair.Config{Regions: d.Regions}
	c.Defaults.LookupTTLMs = 1_000
	c.Defaults.LookupMovePercent = 100
	c.Defaults.ShiftIntervalMs = 500
	c.Defaults.SlowStartMs = 200
	for _, p := range d.Pools {
		c.Services = append(c.Services, azurestair.Service{Name: p.Service, Operations: []azurestair.Operation{
			{Name: operation(azurestair.RankInteractive), Rank: azurestair.RankInteractive, Idempotent: true, TimeoutMs: interactiveTimeout},
			{Name: operation(azurestair.RankUrgent), Rank: azurestair.RankUrgent, TimeoutMs: urgentTimeout},
			{Name: operation(azurestair.RankDeferred), Rank: azurestair.RankDeferred, TimeoutMs: deferredTimeout},
		}})
	}
	for _, from := range d.Regions {
		for _, to := range d.Regions {
			if from.Name != to.Name {
				c.Links = append(c.Links, azurestair.Link{From: from.Name, To: to.Name, LimitBs: d.LinkBs})
			}
		}
	}
	return c
}

func operation(r azurestair.Rank) azurestair.OperationName {
	return azurestair.OperationName(r.String())
}

// upstreamID names the i-th upstream of a pool.
func (p Pool) upstreamID(i int) azurestair.UpstreamID {
	return azurestair.UpstreamID(fmt.Sprintf("%s-%d", p.Service, i))
}
