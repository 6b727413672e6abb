package lookup

import (
	"cmp"
	"slices"
	"sync"

	"azurestair.example/azurestair"
)

// Caller says where the caller of a look-up is, and for which host it asks.
type Caller struct {
	Region        azurestair.RegionName
	FailureDomain azurestair.FailureDomainName
	Host          string
}

// Places answers look-ups by place from one snapshot. It is safe for concurrent use.
type Places struct {
	snapshot *azurestair.Snapshot

	mu sync.Mutex
	// answers holds what was found, since few places ask again and again.
	answers map[place][]azurestair.InstanceInfo
}

// place is what an answer depends on.
type place struct {
	region  azurestair.RegionName
	domain  azurestair.FailureDomainName
	isBound bool
	limit   int
}

// maxPlaces bounds the answers that are kept; callers may name any place.
const maxPlaces = 256

// NewPlaces returns the places of a snapshot. It returns prev, which may be nil,
// if that answers the same.
func NewPlaces(prev *Places, s *azurestair.Snapshot) *Places {
	if prev != nil && slices.Equal(prev.snapshot.Instances, s.Instances) && slices.Equal(prev.snapshot.Drains, s.Drains) {
		return prev
	}
	return &Places{snapshot: s, answers: map[place][]azurestair.InstanceInfo{}}
}

// Near returns up to limit ready entries for a caller: those of its region,
// the ones of its failure domain first, or, where the region has none, all
// others. Drained entries are left out while others are left. Entries are in a
// stable order. The result must not be changed.
//
// Where the links of entries are what limits them, callers are spread over the
// entries of all regions: one region's busy hour would fill the links there
// while those elsewhere are idle. Callers whose requests are bound to homes stay
// in their region.
func (p *Places) Near(c Caller, isBound bool, limit int) []azurestair.InstanceInfo {
	at := place{region: c.Region, domain: c.FailureDomain, isBound: isBound, limit: limit}
	p.mu.Lock()
	defer p.mu.Unlock()
	if list, ok := p.answers[at]; ok {
		return list
	}
	list := near(p.snapshot, at)
	if len(p.answers) < maxPlaces {
		p.answers[at] = list
	}
	return list
}

func near(s *azurestair.Snapshot, p place) []azurestair.InstanceInfo {
	all := EntriesOf(s)
	live := slices.DeleteFunc(slices.Clone(all.Live), func(i azurestair.InstanceInfo) bool { return all.Drained[i.ID] })
	if len(live) == 0 {
		live = all.Live
	}
	if s.SpreadsCallers() && !p.isBound {
		return sample(live, p.domain, p.limit)
	}
	list := inRegion(live, p.region)
	if len(list) == 0 {
		list = live
	}
	slices.SortStableFunc(list, func(a, b azurestair.InstanceInfo) int {
		return cmp.Compare(distance(a, p.domain), distance(b, p.domain))
	})
	return list[:min(p.limit, len(list))]
}

// sample returns up to limit entries of all regions, others for each failure
// domain of callers, so that all are named as often.
func sample(live []azurestair.InstanceInfo, domain azurestair.FailureDomainName, limit int) []azurestair.InstanceInfo {
	if len(live) <= limit {
		return live
	}
	seed := hashID(azurestair.InstanceID(domain))
	slices.SortFunc(live, func(a, b azurestair.InstanceInfo) int {
		return cmp.Compare(mix(seed^hashID(a.ID)), mix(seed^hashID(b.ID)))
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

func distance(i azurestair.InstanceInfo, domain azurestair.FailureDomainName) int {
	if i.FailureDomain == domain {
		return 0
	}
	return 1
}
