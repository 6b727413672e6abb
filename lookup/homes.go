package lookup

import (
	"slices"

	"azurestair.example/azurestair"
)

const (
	// minHomeBoundShare is the fraction of a host's requests on routes with home
	// regions from which its callers are kept in their region. Each kind of request
	// makes up at least a twentieth of the requests; single requests that test a
	// route are far below the limit.
	minHomeBoundShare = 0.01
	// minHomeSample is the number of requests of a host from which the fraction is
	// used.
	minHomeSample = 100
	// homeSampleWindow is the number of requests at which the counters are halved,
	// so that older requests lose weight.
	homeSampleWindow = 2000
)

// HomeRegionTracker measures, for each host, which fraction of the requests is on routes
// with home regions. It is not safe for concurrent use. The zero value has no
// requests counted.
type HomeRegionTracker struct {
	hosts map[string]*hostCount
}

type hostCount struct{ total, homeBound float64 }

// Record adds a request on the route.
func (m *HomeRegionTracker) Record(r *azurestair.Route) {
	c := m.hosts[r.Host]
	if c == nil {
		if m.hosts == nil || len(m.hosts) >= azurestair.MaxRoutes {
			m.hosts = map[string]*hostCount{}
		}
		c = &hostCount{}
		m.hosts[r.Host] = c
	}
	if c.total >= homeSampleWindow {
		c.total, c.homeBound = c.total/2, c.homeBound/2
	}
	c.total++
	if len(r.HomeRegions) > 0 {
		c.homeBound++
	}
}

// IsHomeBound reports whether callers of the host should be kept in their region. They
// are if the host has routes with home regions and these routes get at least
// minHomeBoundShare of its requests, or too few requests have been counted yet.
func (m *HomeRegionTracker) IsHomeBound(cfg *azurestair.Config, host string) bool {
	hasHomes := slices.ContainsFunc(cfg.Routes, func(r azurestair.Route) bool { return r.Host == host && len(r.HomeRegions) > 0 })
	if !hasHomes {
		return false
	}
	c := m.hosts[host]
	return c == nil || c.total < minHomeSample || c.homeBound/c.total >= minHomeBoundShare
}
