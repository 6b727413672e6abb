package lookup

import (
	"cmp"
	"slices"
	"sync"

	"azurestair.example/azurestair"
)

// Caller describes the location of the caller of a lookup and the host that it
// asks for.
type Caller struct {
	Region        azurestair.RegionName
	FailureDomain azurestair.FailureDomainName
	Host          string
}

// LocationIndex answers lookups by location from one snapshot. It is safe for
// concurrent use.
type LocationIndex struct {
	snapshot *azurestair.Snapshot

	mu sync.Mutex
	// cache holds earlier responses, because most lookups come from a few
	// locations.
	cache map[callerLocation][]azurestair.InstanceInfo
}

// callerLocation holds the parameters that determine a response.
type callerLocation struct {
	region    azurestair.RegionName
	domain    azurestair.FailureDomainName
	homeBound bool
	limit     int
}

// maxCachedResponses limits the size of the cache, because callers may name any
// location.
const maxCachedResponses = 256

// NewLocationIndex returns the LocationIndex of a snapshot. It returns prev,
// which may be nil, if the instances and drains of prev's snapshot are the
// same.
func NewLocationIndex(prev *LocationIndex, s *azurestair.Snapshot) *LocationIndex {
	if prev != nil && slices.Equal(prev.snapshot.Instances, s.Instances) && slices.Equal(prev.snapshot.Drains, s.Drains) {
		return prev
	}
	return &LocationIndex{snapshot: s, cache: map[callerLocation][]azurestair.InstanceInfo{}}
}

// Near returns up to limit ready entries for a caller: those in the caller's
// region, starting with those in its failure domain, or all others if the
// region has none. Drained entries are excluded unless all entries are drained.
// The order is stable. The caller must not modify the result.
//
// If entries are limited by their links, callers are spread over the entries of
// all regions, because the peak load of one region would otherwise fill the
// links there while the links of the other regions are idle. Callers of a host
// with requests bound to home regions (homeBound) stay in their region.
func (x *LocationIndex) Near(c Caller, homeBound bool, limit int) []azurestair.InstanceInfo {
	location := callerLocation{region: c.Region, domain: c.FailureDomain, homeBound: homeBound, limit: limit}
	x.mu.Lock()
	defer x.mu.Unlock()
	if list, ok := x.cache[location]; ok {
		return list
	}
	list := findNear(x.snapshot, location)
	if len(x.cache) < maxCachedResponses {
		x.cache[location] = list
	}
	return list
}

func findNear(s *azurestair.Snapshot, location callerLocation) []azurestair.InstanceInfo {
	all := EntriesOf(s)
	live := slices.DeleteFunc(slices.Clone(all.Live), func(i azurestair.InstanceInfo) bool { return all.Drained[i.ID] })
	if len(live) == 0 {
		live = all.Live
	}
	if s.SpreadsCallers() && !location.homeBound {
		return sampleEntries(live, location.domain, location.limit)
	}
	list := inRegion(live, location.region)
	if len(list) == 0 {
		list = live
	}
	slices.SortStableFunc(list, func(a, b azurestair.InstanceInfo) int {
		return cmp.Compare(domainDistance(a, location.domain), domainDistance(b, location.domain))
	})
	return list[:min(location.limit, len(list))]
}

// sampleEntries returns up to limit entries of all regions. The selection
// depends on the failure domain of the caller, so that all entries are selected
// equally often.
func sampleEntries(live []azurestair.InstanceInfo, domain azurestair.FailureDomainName, limit int) []azurestair.InstanceInfo {
	if len(live) <= limit {
		return live
	}
	seed := hashID(azurestair.InstanceID(domain))
	slices.SortFunc(live, func(a, b azurestair.InstanceInfo) int {
		return cmp.Compare(mix64(seed^hashID(a.ID)), mix64(seed^hashID(b.ID)))
	})
	return live[:limit]
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

func domainDistance(i azurestair.InstanceInfo, domain azurestair.FailureDomainName) int {
	if i.FailureDomain == domain {
		return 0
	}
	return 1
}
