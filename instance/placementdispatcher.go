package instance

import (
	"math/rand/v2"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/admission"
	"azurestair.example/azurestair/placement"
	"azurestair.example/azurestair/retry"
)

// dispatcherFor returns the dispatcher that the configuration in effect
// requires.
func dispatcherFor(s azurestair.ServiceName, e *Entry, cfg *azurestair.Config) *dispatcher {
	if cfg.LeasesBudgets() {
		return e.makeDispatcher(s, e)
	}
	return placementDispatcher(s, e)
}

// placementDispatcher returns a dispatcher that places requests by object. The
// limits of its picker replace leased slots, so its admitter only counts
// requests.
func placementDispatcher(s azurestair.ServiceName, e *Entry) *dispatcher {
	source := rand.NewPCG(rand.Uint64(), rand.Uint64())
	p := placement.New(placement.Options{Service: s, Region: e.self.Region, Self: e.self.ID, LateSlotTTL: lateSlotHold, Rand: source})
	d := newDispatcher(e.clock, admission.New(admission.Options{Rand: source}), p, source)
	d.log = e.log.With("service", s)
	// Cutting an attempt off to leave time for another one would waste the work
	// that its upstream has done.
	d.retryPolicy.Disabled = retry.Mechanisms{Reserve: true, Hedging: true}
	return d
}
