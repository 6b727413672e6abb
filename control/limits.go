package control

import (
	"time"

	"azurestair.example/azurestair"
)

// FloorPercent is the share of a budget that is reserved for floors. At 50% the
// entry instances handle almost half of the load while there is no leader, and
// a budget with evenly distributed demand loses nothing.
const FloorPercent azurestair.Percent = 50

// Limit bounds one budget. The zero value allows nothing.
type Limit struct {
	// Total bounds what all holders may use together.
	Total int64
	// Floor is the part of Total that each possible holder may use without a
	// lease.
	Floor int64
	// RemoteFloor is the floor of a holder in another region.
	RemoteFloor int64
	// Step bounds how far the sum of leases and floors may rise above the use
	// within Interval. If Interval is zero, the rise is not bounded.
	Step     int64
	Interval time.Duration
}

// ResourceLimit is the limit of the budget of a resource.
type ResourceLimit struct {
	Resource azurestair.Resource
	Limit    Limit
}

// Limits derives the limits of all budgets from the configuration and the
// listed upstreams. Each configured service has a slots budget and a shift
// budget in each region, with a limit of zero where no upstream serves it, and
// each link has one budget. Unconfirmed upstreams count: they stay listed while
// their listener is suspected to have failed, and the last plan stays in effect
// in that case.
func Limits(cfg *azurestair.Config, drains []azurestair.Drain, upstreams []azurestair.UpstreamInfo, maxHolders int) []ResourceLimit {
	return LimitsFromSnapshot(&azurestair.Snapshot{Config: cfg, Drains: drains, Upstreams: upstreams}, maxHolders)
}

// LimitsFromSnapshot derives the limits from a snapshot. The floors of a
// region's slots are divided among the entries that may be in the region,
// because entries of other regions get only what they may shift.
func LimitsFromSnapshot(snap *azurestair.Snapshot, maxHolders int) []ResourceLimit {
	cfg, drains, upstreams := snap.Config, snap.Drains, snap.Upstreams
	if cfg == nil {
		return nil
	}
	holders := holdersPerRegion(snap.Instances, maxHolders)
	slots := slotsPerRegion(cfg, drains, upstreams)
	var out []ResourceLimit
	for _, s := range cfg.Services {
		for _, r := range cfg.Regions {
			n := slots[serviceRegion{s.Name, r.Name}]
			shift := shiftLimit(cfg, s.Name, r.Name, n, maxHolders)
			out = append(out, slotsLimit(s.Name, r.Name, n, shift.Limit.Floor, holders(r.Name), maxHolders), shift)
		}
	}
	for _, l := range cfg.Links {
		out = append(out, ResourceLimit{
			Resource: azurestair.Resource{Kind: azurestair.ResourceLink, From: l.From, Region: l.To},
			Limit:    Limit{Total: int64(l.Limit), Floor: floorPerHolder(int64(l.Limit), maxHolders)},
		})
	}
	return out
}

// holdersPerRegion returns a function that gives the number of holders among
// which the floors of a region are divided: the entries listed in the region
// and all possible holders that are not listed anywhere.
func holdersPerRegion(instances []azurestair.InstanceInfo, maxHolders int) func(azurestair.RegionName) int {
	unlisted := valueOrDefault(maxHolders, DefaultMaxHolders)
	listed := map[azurestair.RegionName]int{}
	for _, i := range instances {
		if i.CallerAddr != "" {
			listed[i.Region]++
			unlisted--
		}
	}
	return func(r azurestair.RegionName) int { return max(1, listed[r]+max(0, unlisted)) }
}

// slotsLimit gives a holder of another region no larger floor than it may shift
// without a lease. It could not use more, and what is reserved for it is not
// available to the holders of the region.
func slotsLimit(s azurestair.ServiceName, r azurestair.RegionName, n, shiftFloor int64, holders, maxHolders int) ResourceLimit {
	// A new leader reserves the floor for each possible holder until the holder
	// has reported.
	floor := min(floorPerHolder(n, holders), n/int64(valueOrDefault(maxHolders, DefaultMaxHolders)))
	return ResourceLimit{
		Resource: azurestair.Resource{Kind: azurestair.ResourceSlots, Service: s, Region: r},
		Limit:    Limit{Total: n, Floor: floor, RemoteFloor: min(floor, shiftFloor)},
	}
}

// shiftLimit derives the floors from the step: they may come into use at any
// time and must not exceed the allowed rise when they do.
func shiftLimit(cfg *azurestair.Config, s azurestair.ServiceName, r azurestair.RegionName, n int64, maxHolders int) ResourceLimit {
	d := cfg.Defaults.WithDefaults()
	step := n * int64(d.ShiftPercent) / 100
	return ResourceLimit{
		Resource: azurestair.Resource{Kind: azurestair.ResourceShift, Service: s, Region: r},
		Limit:    Limit{Total: n, Floor: floorPerHolder(step, maxHolders), Step: step, Interval: d.ShiftIntervalMs.Duration()},
	}
}

// floorPerHolder returns the floor of one of maxHolders holders. If
// FloorPercent results in less than one, the floor is one if at least a third
// of the total then remains for leases.
func floorPerHolder(total int64, maxHolders int) int64 {
	n := int64(valueOrDefault(maxHolders, DefaultMaxHolders))
	floor := total * int64(FloorPercent) / 100 / n
	if floor == 0 && 2*total >= 3*n {
		return 1
	}
	return floor
}

// serviceRegion is a service in a region.
type serviceRegion struct {
	service azurestair.ServiceName
	region  azurestair.RegionName
}

// slotsPerRegion returns the total of the usable slots of each service in each
// region.
func slotsPerRegion(cfg *azurestair.Config, drains []azurestair.Drain, upstreams []azurestair.UpstreamInfo) map[serviceRegion]int64 {
	drained := map[azurestair.Target]bool{}
	for _, d := range drains {
		drained[d.Target] = true
	}
	sum := map[serviceRegion]int64{}
	for _, u := range upstreams {
		a := u.Announcement
		if a.State != azurestair.StateServing || drained[upstreamTarget(a)] || drained[domainTarget(a)] {
			continue
		}
		sum[serviceRegion{a.Service, a.Region}] += EffectiveSlots(cfg, a)
	}
	return sum
}

// EffectiveSlots returns the usable slots of an upstream after applying the
// exceptions of the configuration. A weight above 100 adds no slots.
func EffectiveSlots(cfg *azurestair.Config, a azurestair.Announcement) int64 {
	slots, percent := int64(a.Slots), int64(100)
	for _, e := range cfg.Exceptions {
		if e.Target != upstreamTarget(a) && e.Target != domainTarget(a) {
			continue
		}
		switch e.Setting {
		case azurestair.SettingSlots:
			slots = min(slots, e.Value)
		case azurestair.SettingWeight:
			percent = percent * min(e.Value, 100) / 100
		}
	}
	return slots * percent / 100
}

func upstreamTarget(a azurestair.Announcement) azurestair.Target {
	return azurestair.Target{Kind: azurestair.TargetUpstream, Name: string(a.Upstream)}
}

func domainTarget(a azurestair.Announcement) azurestair.Target {
	return azurestair.Target{Kind: azurestair.TargetFailureDomain, Name: string(a.FailureDomain)}
}
