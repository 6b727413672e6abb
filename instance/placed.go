package instance

import (
	"math/rand/v2"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/admission"
	"azurestair.example/azurestair/placement"
	"azurestair.example/azurestair/retry"
)

// gateFor returns the gate that the configuration in effect calls for.
func gateFor(s azurestair.ServiceName, e *Entry, cfg *azurestair.Config) *gate {
	if cfg.IsLeased() {
		return e.makeGate(s, e)
	}
	return placedGate(s, e)
}

// placedGate places requests by object. The picker's own limits take the place
// of leased slots, so that the admitter only counts.
func placedGate(s azurestair.ServiceName, e *Entry) *gate {
	seed := rand.NewPCG(rand.Uint64(), rand.Uint64())
	p := placement.New(placement.Options{Service: s, Region: e.self.Region, Self: e.self.ID, LateSlot: lateFor, Rand: seed})
	g := newGate(e.clock, admission.New(admission.Options{Rand: seed}), p, seed)
	g.log = e.log.With("service", s)
	// An attempt that is cut off to leave time for another one loses the work
	// that its upstream has done on it.
	g.policy.Without = retry.Mechanisms{Reserve: true, Hedging: true}
	return g
}
