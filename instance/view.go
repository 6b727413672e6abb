package instance

import (
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/lookup"
)

// view is what traffic works from: the newest snapshot with what follows from
// it. The control goroutine publishes a new view; a published one is immutable.
type view struct {
	snapshot *azurestair.Snapshot
	table    *lookup.Table
	limits   limits
	// controlDeadline is until when this instance may trust that its configuration is the newest.
	controlDeadline time.Time
	// leaving is true once the instance has begun its shutdown.
	leaving bool
}

// limit is a leased part of a budget with the floor that remains after its deadline.
type limit struct {
	amount   int64
	floor    int64
	deadline time.Time
}

// limits holds the budgets of this entry.
type limits map[azurestair.Resource]limit

// at returns what the entry may use of a resource.
func (l limits) at(r azurestair.Resource, now time.Time) int64 {
	v := l[r]
	if now.Before(v.deadline) {
		return max(v.amount, v.floor)
	}
	return v.floor
}

// slots returns how many requests may be in progress at a service's upstreams in a region.
func (l limits) slots(s azurestair.ServiceName, region azurestair.RegionName, now time.Time) azurestair.Slots {
	r := azurestair.Resource{Kind: azurestair.ResourceSlots, Service: s, Region: region}
	return azurestair.Slots(l.at(r, now))
}

// shift returns how many requests that crossed into a region may be in progress there.
func (l limits) shift(s azurestair.ServiceName, region azurestair.RegionName, now time.Time) azurestair.Slots {
	r := azurestair.Resource{Kind: azurestair.ResourceShift, Service: s, Region: region}
	return min(azurestair.Slots(l.at(r, now)), l.slots(s, region, now))
}

// isCurrent reports whether the instance still knows the newest configuration.
func (v *view) isCurrent(now time.Time) bool {
	return v != nil && v.snapshot != nil && v.snapshot.ConfigVersion() > 0 && now.Before(v.controlDeadline)
}
