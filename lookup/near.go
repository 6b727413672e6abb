package lookup

import (
	"cmp"
	"slices"

	"azurestair.example/azurestair"
)

// Near returns up to limit ready entries for a caller in a failure domain of a
// region: those of the region or, where it has none, all others. Drained entries
// are left out while others are left. Entries are in a stable order.
func Near(s *azurestair.Snapshot, region azurestair.RegionName, domain azurestair.FailureDomainName, limit int) []azurestair.InstanceInfo {
	all := EntriesOf(s)
	live := slices.DeleteFunc(slices.Clone(all.Live), func(i azurestair.InstanceInfo) bool { return all.Drained[i.ID] })
	if len(live) == 0 {
		live = all.Live
	}
	near := inRegion(live, region)
	if len(near) == 0 {
		near = live
	}
	slices.SortStableFunc(near, func(a, b azurestair.InstanceInfo) int {
		return cmp.Compare(distance(a, domain), distance(b, domain))
	})
	return near[:min(limit, len(near))]
}

func inRegion(list []azurestair.InstanceInfo, region azurestair.RegionName) []azurestair.InstanceInfo {
	var out []azurestair.InstanceInfo
	for _, i := range list {
		if i.Region == region {
			out = append(out, i)
		}
	}
	return out
}

func distance(i azurestair.InstanceInfo, domain azurestair.FailureDomainName) int {
	if i.FailureDomain == domain {
		return 0
	}
	return 1
}
