package control

import (
	"maps"
	"slices"

	"azurestair.example/azurestair"
)

// applyListing updates the upstreams that a leader listed.
func (s *State) applyListing(c azurestair.UpstreamListChange) azurestair.Result {
	next := maps.Clone(s.listed)
	if next == nil {
		next = map[azurestair.UpstreamID]azurestair.Announcement{}
	}
	for _, a := range c.Listed {
		next[a.Upstream] = a
	}
	for _, id := range c.Removed {
		delete(next, id)
	}
	if len(next) > DefaultMaxUpstreams {
		return azurestair.Result{Code: azurestair.ResultFull, Detail: "too many upstreams in the listing"}
	}
	s.listed = next
	return azurestair.Result{Code: azurestair.ResultAccepted}
}

// ListedUpstreams returns the upstreams that a leader listed last, sorted by id
// and without their loads.
func (s *State) ListedUpstreams() []azurestair.Announcement {
	out := make([]azurestair.Announcement, 0, len(s.listed))
	for _, id := range slices.Sorted(maps.Keys(s.listed)) {
		out = append(out, s.listed[id])
	}
	return out
}

// ListingSnapshot returns a snapshot with the upstreams of the last listing, to
// seed the registry of a leader that has no confirmed snapshot of its own, and
// the instances of an earlier snapshot, which may be nil. The plans of regions
// are left out: they follow the traffic slowly, and that of before is over.
func (s *State) ListingSnapshot(earlier *azurestair.Snapshot) *azurestair.Snapshot {
	snap := &azurestair.Snapshot{}
	if earlier != nil {
		snap.Instances = earlier.Instances
	}
	for _, a := range s.ListedUpstreams() {
		snap.Upstreams = append(snap.Upstreams, azurestair.UpstreamInfo{Announcement: a})
	}
	return snap
}

// UpstreamListDiff returns the change that makes the stored listing match the
// current contents of the registry, or false if they already match. A later leader
// does not know when the listing was written, so a cold time in it is the longest
// that may remain.
func (s *State) UpstreamListDiff(r *Registry) (azurestair.UpstreamListChange, bool) {
	var c azurestair.UpstreamListChange
	listed := map[azurestair.UpstreamID]bool{}
	for _, u := range r.Upstreams() {
		a := u.Announcement
		a.Load, a.Sequence = azurestair.Load{}, 0
		listed[a.Upstream] = true
		if old, ok := s.listed[a.Upstream]; !ok || !old.IsRepeatedBy(a) || a.ColdMs > old.ColdMs {
			c.Listed = append(c.Listed, a)
		}
	}
	for id := range s.listed {
		if !listed[id] {
			c.Removed = append(c.Removed, id)
		}
	}
	slices.Sort(c.Removed)
	return c, len(c.Listed)+len(c.Removed) > 0
}
