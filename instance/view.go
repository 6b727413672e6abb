package instance

import (
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/lookup"
	"azurestair.example/azurestair/routing"
	"azurestair.example/azurestair/workspace"
)

// view is the state that traffic is served from: the latest snapshot and data
// derived from it. Its times are those of the lease clock. The control goroutine publishes views; a published view is
// immutable.
type view struct {
	snapshot  *azurestair.Snapshot
	table     *lookup.Table
	locations *lookup.LocationIndex
	routes    *routing.Routes
	// workspaces is the index of the API keys.
	workspaces *workspace.Index
	leases     control.Leases
	// controlDeadline is the time until which this instance may assume that its
	// configuration is the newest.
	controlDeadline time.Time
	// heardAt is the send time of the last report to which the leader's answer
	// confirmed the configuration.
	heardAt time.Time
	// contact tells how far the configuration can be trusted to have all API
	// keys, and no revoked ones.
	contact workspace.Contact
	// leaving is true once the instance has begun its shutdown.
	leaving bool
	// starting is true until the instance has received its first budgets.
	starting bool
}

// hasBudgets reports whether requests can be served in a region: every service
// with upstreams there has slots, and the region's links have bandwidth.
func (v *view) hasBudgets(region azurestair.RegionName, now time.Time) bool {
	if !v.snapshot.Config.LeasesBudgets() {
		return true
	}
	for _, u := range v.snapshot.Upstreams {
		a := u.Announcement
		isServing := a.State == azurestair.StateServing && !v.snapshot.IsUpstreamDrained(a)
		if a.Region == region && isServing && v.slotLimit(a.Service, region, now) <= 0 {
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

// slotLimit returns the limit of concurrent requests to a service's upstreams
// in a region.
func (v *view) slotLimit(s azurestair.ServiceName, region azurestair.RegionName, now time.Time) azurestair.Slots {
	r := azurestair.Resource{Kind: azurestair.ResourceSlots, Service: s, Region: region}
	return azurestair.Slots(v.leases.Limit(r, now))
}

// shiftLimit returns the limit of concurrent requests that may be shifted into
// a region.
func (v *view) shiftLimit(s azurestair.ServiceName, region azurestair.RegionName, now time.Time) azurestair.Slots {
	r := azurestair.Resource{Kind: azurestair.ResourceShift, Service: s, Region: region}
	return min(azurestair.Slots(v.leases.Limit(r, now)), v.slotLimit(s, region, now))
}

// isCurrent reports whether the instance still knows the newest configuration.
func (v *view) isCurrent(now time.Time) bool {
	return v != nil && v.snapshot != nil && v.snapshot.ConfigVersion() > 0 && now.Before(v.controlDeadline)
}
