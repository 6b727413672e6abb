package control

import (
	"time"

	"azurestair.example/azurestair"
)

// Leases is an immutable copy of the budgets of a LeaseHolder.
type Leases map[azurestair.Resource]Lease

// Lease is what a holder may use of one budget: Floor at any time, and Amount
// on top of it until Deadline.
type Lease struct {
	Amount   int64
	Floor    int64
	Deadline time.Time
}

// Leases returns the current budgets.
func (h *LeaseHolder) Leases() Leases {
	out := make(Leases, len(h.held))
	for r, g := range h.held {
		out[r] = Lease{Amount: g.amount, Floor: g.floor, Deadline: g.deadline}
	}
	return out
}

// Limit returns how much of a budget may be used at now.
func (l Leases) Limit(r azurestair.Resource, now time.Time) int64 {
	v := l[r]
	if now.Before(v.Deadline) {
		return v.Floor + v.Amount
	}
	return v.Floor
}

// Grants returns the current budgets as grants.
func (h *LeaseHolder) Grants() []azurestair.Grant {
	out := make([]azurestair.Grant, 0, len(h.held))
	for r, g := range h.held {
		out = append(out, azurestair.Grant{Resource: r, Amount: g.amount, Floor: g.floor, MaxFloor: g.maxFloor})
	}
	return out
}
