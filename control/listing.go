package control

import (
	"maps"
	"slices"

	"azurestair.example/azurestair"
)

// applyListing takes over which upstreams a leader listed.
func (s *State) applyListing(c azurestair.ListingChange) azurestair.Result {
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
		return azurestair.Result{Code: azurestair.ResultFull, Detail: "too many upstreams"}
	}
	s.listed = next
	return azurestair.Result{Code: azurestair.ResultAccepted}
}

// Listed returns the upstreams that a leader listed last, in the order of
// their ids and without their loads.
func (s *State) Listed() []azurestair.Announcement {
	out := make([]azurestair.Announcement, 0, len(s.listed))
	for _, id := range slices.Sorted(maps.Keys(s.listed)) {
		out = append(out, s.listed[id])
	}
	return out
}

// LastListing returns a snapshot with the upstreams of the last listing, from
// which the registry of a leader without a snapshot of its own starts.
func (s *State) LastListing() *azurestair.Snapshot {
	snap := &azurestair.Snapshot{}
	for _, a := range s.Listed() {
		snap.Upstreams = append(snap.Upstreams, azurestair.UpstreamInfo{Announcement: a})
	}
	return snap
}

// ListingChange returns how the listing differs from what the registry lists
// now; false if it does not.
func (s *State) ListingChange(r *Registry) (azurestair.ListingChange, bool) {
	var c azurestair.ListingChange
	now := map[azurestair.UpstreamID]bool{}
	for _, u := range r.Upstreams() {
		a := u.Announcement
		a.Load, a.Sequence, a.ColdMs = azurestair.Load{}, 0, 0
		now[a.Upstream] = true
		if old, ok := s.listed[a.Upstream]; !ok || old != a {
			c.Listed = append(c.Listed, a)
		}
	}
	for id := range s.listed {
		if !now[id] {
			c.Removed = append(c.Removed, id)
		}
	}
	slices.Sort(c.Removed)
	return c, len(c.Listed)+len(c.Removed) > 0
}
