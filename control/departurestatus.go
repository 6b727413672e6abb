package control

import (
	"time"

	"azurestair.example/azurestair"
)

// DepartureAckTimeout bounds how long a departure waits until all entries hold
// it. An entry that has not reported by then is dead or partitioned, and an
// upstream that gets no acknowledgement exits without one.
const DepartureAckTimeout = 2 * time.Second

// departureRecord is an incarnation of an upstream that accepts no more work.
type departureRecord struct {
	incarnation azurestair.Incarnation
	// acceptedAt is when this leader recorded the departure.
	acceptedAt time.Time
	// shownBy is a revision that includes the departure, or zero if none is
	// known yet.
	shownBy azurestair.Revision
}

// DepartureStatus is the propagation state of a departure.
type DepartureStatus struct {
	// KnownToAll is true once every entry has a snapshot that includes the
	// departure, or DepartureAckTimeout has passed.
	KnownToAll bool `cbor:"1,keyasint"`
}

// SetHeldRevision records the revision that an instance holds, or zero if it
// has no revision of this leader.
func (r *Registry) SetHeldRevision(id azurestair.InstanceID, rev azurestair.Revision) {
	if rec := r.instances[id]; rec != nil {
		rec.heldRevision = rev
	}
}

// DepartureStatus returns the propagation state of a departure. showing is the
// revision that includes the current contents of the registry. Departures that
// are no longer remembered are old enough to be held by all entries.
func (r *Registry) DepartureStatus(d azurestair.Departure, showing azurestair.Revision, now time.Time) DepartureStatus {
	rec := r.departed[d.Upstream]
	if rec == nil || now.Sub(rec.acceptedAt) >= DepartureAckTimeout {
		return DepartureStatus{KnownToAll: true}
	}
	if rec.shownBy == 0 {
		rec.shownBy = showing
	}
	return DepartureStatus{KnownToAll: r.isHeldByAllEntries(rec.shownBy)}
}

// isHeldByAllEntries reports whether every listed entry holds the given
// revision or a later one.
func (r *Registry) isHeldByAllEntries(rev azurestair.Revision) bool {
	for _, rec := range r.instances {
		if rec.listed && rec.info.CallerAddr != "" && rec.heldRevision < rev {
			return false
		}
	}
	return true
}
