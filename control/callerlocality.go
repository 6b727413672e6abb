package control

import (
	"time"

	"azurestair.example/azurestair"
)

const (
	// linkHeadroom is how many times its even share of what the upstreams can
	// serve the links of a region must carry for callers to stay in their
	// region: traffic of a region swings by half around its mean, and bursts
	// double it.
	linkHeadroom = 3.0
	// leaveLinkHeadroom is the headroom below which callers are spread again.
	// Between the two, the decision stays.
	leaveLinkHeadroom = 2.5
	// localityPeriod is how long a changed headroom must last while there is
	// traffic. It is longer than the restart of a zone or a rolling restart of
	// entries, since each change of the decision makes objects cold.
	localityPeriod = 10 * time.Second
	// expectedMessageBytes is the size of a request and its response, as
	// admission.LinkLimiter assumes it before the first response.
	expectedMessageBytes = 6<<10 + 1200
	// defaultWorkTime is the time per request that is assumed for services
	// without a latency objective.
	defaultWorkTime = 500 * time.Millisecond
)

// callerLocality decides whether callers use the entries of their own region
// although the entries are limited by their links. That saves the bytes between
// regions and their latency, but the links of a region must carry its busiest
// time. The zero value spreads callers.
type callerLocality struct {
	// local is the published decision.
	local bool
	// changedAt is when the headroom began to call for the other decision; zero
	// if it does not.
	changedAt time.Time
}

// update returns the decision for the entries and upstreams of a snapshot. It
// continues from the published decision, which may be that of the previous
// leader.
func (c *callerLocality) update(s *azurestair.Snapshot, hasTraffic bool, now time.Time) bool {
	c.local = len(s.Plans) > 0 && s.Plans[0].LocalCallers
	if !s.HasNarrowLinks() {
		c.changedAt = time.Time{}
		return false
	}
	headroom := linkHeadroomOf(s)
	if wanted := headroom >= linkHeadroom || c.local && headroom >= leaveLinkHeadroom; wanted == c.local {
		c.changedAt = time.Time{}
		return c.local
	}
	if c.changedAt.IsZero() {
		c.changedAt = now
	}
	if !hasTraffic || now.Sub(c.changedAt) >= localityPeriod {
		c.changedAt = time.Time{}
		return !c.local
	}
	return c.local
}

// linkHeadroomOf returns how many times a region's even share of the requests
// that all upstreams can serve the links of its entries carry, for the region
// with the smallest value. It returns zero if there are no entries or upstreams.
func linkHeadroomOf(s *azurestair.Snapshot) float64 {
	links := map[azurestair.RegionName]float64{}
	for _, i := range s.Instances {
		if i.CallerAddr != "" {
			links[i.Region] += float64(i.LinkRate)
		}
	}
	requests := servedPerSecond(s)
	if requests <= 0 || len(links) == 0 {
		return 0
	}
	share := requests * expectedMessageBytes / float64(len(links))
	smallest := 0.0
	for _, rate := range links {
		if headroom := rate / share; smallest == 0 || headroom < smallest {
			smallest = headroom
		}
	}
	return smallest
}

// servedPerSecond estimates the requests per second that all listed upstreams
// can serve if requests take as long as their latency objective. Drained and
// unconfirmed upstreams count, because they may return.
func servedPerSecond(s *azurestair.Snapshot) float64 {
	slots := map[azurestair.ServiceName]azurestair.Slots{}
	for _, u := range s.Upstreams {
		slots[u.Announcement.Service] += u.Announcement.Slots
	}
	sum := 0.0
	for name, n := range slots {
		sum += float64(n) / workTime(s.Config, name).Seconds()
	}
	return sum
}

// workTime returns the mean latency objective of the routes to a service.
func workTime(cfg *azurestair.Config, name azurestair.ServiceName) time.Duration {
	sum, n := time.Duration(0), 0
	for _, r := range cfg.Routes {
		for _, part := range r.Services {
			if part.Service == name && part.Weight > 0 && r.TargetMs > 0 {
				sum += r.TargetMs.Duration()
				n++
			}
		}
	}
	if n == 0 {
		return defaultWorkTime
	}
	return sum / time.Duration(n)
}
