package control

import "azurestair.example/azurestair"

// MaxDepartures bounds the remembered departures. An upstream exits within
// seconds of its departure, so the oldest of that many upstreams are gone.
const MaxDepartures = 4096

// departures holds the incarnations of upstreams that accept no more work.
type departures struct {
	order window[azurestair.Departure]
	byID  map[azurestair.UpstreamID]azurestair.Incarnation
}

func (d *departures) add(next azurestair.Departure) bool {
	if d.byID == nil {
		d.byID = map[azurestair.UpstreamID]azurestair.Incarnation{}
	}
	last, ok := d.byID[next.Upstream]
	if ok && last >= next.Incarnation {
		return false
	}
	d.byID[next.Upstream] = next.Incarnation
	for _, old := range d.order.push(next, MaxDepartures) {
		if d.byID[old.Upstream] == old.Incarnation {
			delete(d.byID, old.Upstream)
		}
	}
	return true
}

// Departures returns the remembered departures, oldest first.
func (s *State) Departures() []azurestair.Departure { return s.departures.order.view() }

func (s *State) applyDeparture(d azurestair.Departure) azurestair.Result {
	if !s.departures.add(d) {
		return azurestair.Result{Code: azurestair.ResultUnchanged}
	}
	return azurestair.Result{Code: azurestair.ResultAccepted}
}
