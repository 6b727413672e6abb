package control

import (
	"maps"
	"time"

	"azurestair.example/azurestair"
)

// clockDriftMargin is how much earlier than the leader a holder ends a lease.
// It covers clocks whose rates differ by up to 2% during a lease.
const clockDriftMargin = LeaseTTL / 20

// LeaseHolder keeps the leases of one entry instance. It is not safe for
// concurrent use. The zero value holds no leases and allows no use.
type LeaseHolder struct {
	held map[azurestair.Resource]heldGrant
	// sentAt is when the report that the last applied reply answers was sent.
	sentAt time.Time
}

type heldGrant struct {
	amount   int64
	deadline time.Time
	floor    int64
	maxFloor int64
}

// Apply applies the grants in the reply to a report that was sent at sentAt.
// The caller must take sentAt before it sends the report, and must have only
// one report in flight. A reply older than the last applied one is ignored, and
// so is a malformed grant. A budget that the reply does not mention keeps its
// lease until the deadline.
func (h *LeaseHolder) Apply(grants []azurestair.Grant, sentAt, now time.Time) {
	if sentAt.After(now) || !sentAt.After(h.sentAt) {
		return
	}
	h.sentAt = sentAt
	if h.held == nil {
		h.held = map[azurestair.Resource]heldGrant{}
	}
	for _, g := range grants {
		if g.Amount < 0 || g.Floor < 0 || g.TTLMs < 0 || g.MaxFloor < 0 {
			continue
		}
		if _, ok := h.held[g.Resource]; !ok && len(h.held) >= MaxBudgets {
			continue
		}
		ttl := min(g.TTLMs.Duration(), LeaseTTL)
		next := heldGrant{amount: g.Amount, deadline: sentAt.Add(ttl - clockDriftMargin), floor: g.Floor, maxFloor: g.MaxFloor}
		if g.Resource.Kind == azurestair.ResourceShift && h.held[g.Resource].expiredBetween(sentAt, now) {
			// The leader renewed work that has been interrupted since. Resuming
			// it is an increase, which only the reply to a later report may
			// allow.
			next.amount = 0
		}
		h.held[g.Resource] = next
	}
}

// Retain forgets the budgets for which keep returns false, except those with a lease
// that has not expired. MaxBudgets then bounds only budgets in use, and not all that
// there have ever been.
func (h *LeaseHolder) Retain(keep func(azurestair.Resource) bool, now time.Time) {
	maps.DeleteFunc(h.held, func(r azurestair.Resource, g heldGrant) bool {
		return !keep(r) && !now.Before(g.deadline)
	})
}

// expiredBetween reports whether the lease expired after from and not later
// than now.
func (g heldGrant) expiredBetween(from, now time.Time) bool {
	return g.amount > 0 && g.deadline.After(from) && !now.Before(g.deadline)
}

// Limit returns how much of a budget the instance may use at now: its floor
// plus, until the deadline, the leased amount.
func (h *LeaseHolder) Limit(r azurestair.Resource, now time.Time) int64 {
	g := h.held[r]
	if now.Before(g.deadline) {
		return g.floor + g.amount
	}
	return g.floor
}

// Leased returns the amount that the instance leases above its floor at now.
func (h *LeaseHolder) Leased(r azurestair.Resource, now time.Time) int64 {
	if g := h.held[r]; now.Before(g.deadline) {
		return g.amount
	}
	return 0
}

// Demand returns the demand for a budget to include in the next report.
func (h *LeaseHolder) Demand(r azurestair.Resource, inUse, want int64) azurestair.Demand {
	return azurestair.Demand{Resource: r, InUse: inUse, Want: want, Floor: h.held[r].floor}
}
