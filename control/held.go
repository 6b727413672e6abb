package control

import (
	"time"

	"azurestair.example/azurestair"
)

// DepartureHold is the longest time for which a departure waits to be held by
// all entries. An entry that has not reported by then is dead or cut off, and
// an upstream that gets no acknowledgement exits without one.
const DepartureHold = 2 * time.Second

// departureRecord is an incarnation of an upstream that takes no more work.
type departureRecord struct {
	incarnation azurestair.Incarnation
	// at is when this leader took the departure over.
	at time.Time
	// shown is a revision that shows the departure, zero until one is known.
	shown azurestair.Revision
}

// DepartureStatus says how far a departure has spread.
type DepartureStatus struct {
	// Held is true once every entry has a snapshot that shows the departure, or
	// DepartureHold has passed.
	Held bool `cbor:"1,keyasint"`
}

// SetHeld records the revision that an instance holds, zero for none of this leader's.
func (r *Registry) SetHeld(id azurestair.InstanceID, rev azurestair.Revision) {
	if rec := r.instances[id]; rec != nil {
		rec.held = rev
	}
}

// DepartureStatus returns how far a departure has spread, where a revision shows
// what the registry lists now. Departures that are not remembered are old enough
// to be held.
func (r *Registry) DepartureStatus(d azurestair.Departure, showing azurestair.Revision, now time.Time) DepartureStatus {
	rec := r.departed[d.Upstream]
	if rec == nil || now.Sub(rec.at) >= DepartureHold {
		return DepartureStatus{Held: true}
	}
	if rec.shown == 0 {
		rec.shown = showing
	}
	return DepartureStatus{Held: r.isHeld(rec.shown)}
}

// isHeld reports whether every listed entry holds a revision or a later one.
func (r *Registry) isHeld(rev azurestair.Revision) bool {
	for _, rec := range r.instances {
		if rec.listed && rec.info.CallerAddr != "" && rec.held < rev {
			return false
		}
	}
	return true
}
