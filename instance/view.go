package instance

import (
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/lookup"
	"azurestair.example/azurestair/routing"
)

// view is what traffic works from: the newest snapshot with what follows from
// it. The control goroutine publishes a new view; a published one is immutable.
type view struct {
	snapshot *azurestair.Snapshot
	table    *lookup.Table
	places   *lookup.Places
	routes   *routing.Routes
	leases   control.Leases
	// controlDeadline is until when this instance may trust that its configuration is the newest.
	controlDeadline time.Time
	// heardAt is when the report was sent that the leader answered last.
	heardAt time.Time
	// leaving is true once the instance has begun its shutdown.
	leaving bool
	// starting is true until the instance has had its first budgets.
	starting bool
}

// hasBudgets reports whether requests of a region can be served: there are
// slots of each service that has upstreams there, and bandwidth on its links.
func (v *view) hasBudgets(region azurestair.RegionName, now time.Time) bool {
	if !v.snapshot.Config.IsLeased() {
		return true
	}
	for _, u := range v.snapshot.Upstreams {
		a := u.Announcement
		isServing := a.State == azurestair.StateServing && !v.snapshot.IsUpstreamDrained(a)
		if a.Region == region && isServing && v.slots(a.Service, region, now) <= 0 {
			return false
		}
	}
	for _, l := range v.snapshot.Config.Links {
		r := azurestair.Resource{Kind: azurestair.ResourceLink, From: l.From, Region: l.To}
		if (l.From == region || l.To == region) && v.leases.Limit(r, now) <= 0 {
			return false
		}
	}
	return true
}

// slots returns how many requests may be in progress at a service's upstreams in a region.
func (v *view) slots(s azurestair.ServiceName, region azurestair.RegionName, now time.Time) azurestair.Slots {
	r := azurestair.Resource{Kind: azurestair.ResourceSlots, Service: s, Region: region}
	return azurestair.Slots(v.leases.Limit(r, now))
}

// shift returns how many requests that crossed into a region may be in progress there.
func (v *view) shift(s azurestair.ServiceName, region azurestair.RegionName, now time.Time) azurestair.Slots {
	r := azurestair.Resource{Kind: azurestair.ResourceShift, Service: s, Region: region}
	return min(azurestair.Slots(v.leases.Limit(r, now)), v.slots(s, region, now))
}

// isCurrent reports whether the instance still knows the newest configuration.
func (v *view) isCurrent(now time.Time) bool {
	return v != nil && v.snapshot != nil && v.snapshot.ConfigVersion() > 0 && now.Before(v.controlDeadline)
}
