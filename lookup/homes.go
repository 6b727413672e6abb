package lookup

import (
	"maps"
	"slices"

	"azurestair.example/azurestair"
)

const (
	// minHomeBoundShare is the minimum fraction of a host's requests on routes
	// with home regions at which its callers are kept in their region. A kind
	// of request that is in regular use makes up a twentieth of the requests or
	// more, while single requests that test a route stay far below the limit.
	minHomeBoundShare = 0.01
	// minHomeSample is the number of requests of a host that must be counted
	// before the fraction is used.
	minHomeSample = 100
	// homeSampleWindow is the number of requests at which the counters are
	// halved, so that older requests lose weight.
	homeSampleWindow = 2000
)

// HomeRegionTracker measures, for each host, the fraction of the requests that
// are on routes with home regions. It is not safe for concurrent use. The zero
// value has counted no requests.
type HomeRegionTracker struct {
	hosts map[string]*hostCount
}

type hostCount struct{ total, homeBound float64 }

// Record adds a request on the route.
func (t *HomeRegionTracker) Record(r *azurestair.Route) {
	c := t.hosts[r.Host]
	if c == nil {
		if t.hosts == nil || len(t.hosts) >= azurestair.MaxRoutes {
			t.hosts = map[string]*hostCount{}
		}
		c = &hostCount{}
		t.hosts[r.Host] = c
	}
	if c.total >= homeSampleWindow {
		c.total, c.homeBound = c.total/2, c.homeBound/2
	}
	c.total++
	if len(r.HomeRegions) > 0 {
		c.homeBound++
	}
}

// Retain forgets the hosts for which keep returns false.
func (t *HomeRegionTracker) Retain(keep func(host string) bool) {
	maps.DeleteFunc(t.hosts, func(host string, _ *hostCount) bool { return !keep(host) })
}

// IsHomeBound reports whether callers of the host should be kept in their
// region. This is the case if the host has routes with home regions, and these
// routes get at least minHomeBoundShare of its requests or too few requests
// have been counted to tell.
func (t *HomeRegionTracker) IsHomeBound(cfg *azurestair.Config, host string) bool {
	hasHomes := slices.ContainsFunc(cfg.Routes, func(r azurestair.Route) bool { return r.Host == host && len(r.HomeRegions) > 0 })
	if !hasHomes {
		return false
	}
	c := t.hosts[host]
	return c == nil || c.total < minHomeSample || c.homeBound/c.total >= minHomeBoundShare
}
