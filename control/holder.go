package control

import (
	"time"

	"azurestair.example/azurestair"
)

// driftMargin is how much earlier than the grantor a holder ends a lease. It
// covers clocks that run at rates up to 2% apart during a lease.
const driftMargin = LeaseTTL / 20

// Holder keeps the leases of one entry instance. It does not lock; its owner
// does. The zero value holds nothing and allows nothing.
type Holder struct {
	held map[azurestair.Resource]holding
	// sentAt is when the report behind the last applied reply was sent.
	sentAt time.Time
}

type holding struct {
	amount   int64
	deadline time.Time
	floor    int64
	maxFloor int64
}

// Apply takes over the grants of a reply to a report that was sent at sentAt.
// The sender must have noted sentAt before it sent the report, and have only
// one report on its way at a time. A reply older than the last applied one is
// ignored, and so is a malformed grant. A budget that the reply does not
// mention keeps its lease until the deadline.
func (h *Holder) Apply(grants []azurestair.Grant, sentAt, now time.Time) {
	if sentAt.After(now) || !sentAt.After(h.sentAt) {
		return
	}
	h.sentAt = sentAt
	if h.held == nil {
		h.held = map[azurestair.Resource]holding{}
	}
	for _, g := range grants {
		if g.Amount < 0 || g.Floor < 0 || g.TTLMs < 0 || g.MaxFloor < 0 {
			continue
		}
		if _, ok := h.held[g.Resource]; !ok && len(h.held) >= MaxBudgets {
			continue
		}
		ttl := min(g.TTLMs.Duration(), LeaseTTL)
		next := holding{amount: g.Amount, deadline: sentAt.Add(ttl - driftMargin), floor: g.Floor, maxFloor: g.MaxFloor}
		if g.Resource.Kind == azurestair.ResourceShift && h.held[g.Resource].endedBetween(sentAt, now) {
			// The leader renewed work that has been interrupted since; resuming
			// it is a rise, which only the answer to a later report may allow.
			next.amount = 0
		}
		h.held[g.Resource] = next
	}
}

// endedBetween reports whether the lease ran out after from and up to now.
func (g holding) endedBetween(from, now time.Time) bool {
	return g.amount > 0 && g.deadline.After(from) && !now.Before(g.deadline)
}

// Limit returns how much of a budget the instance may use at now: its floor,
// and what it leases on top of that until the deadline.
func (h *Holder) Limit(r azurestair.Resource, now time.Time) int64 {
	g := h.held[r]
	if now.Before(g.deadline) {
		return g.floor + g.amount
	}
	return g.floor
}

// Leased returns what the instance leases of a budget above its floor at now.
func (h *Holder) Leased(r azurestair.Resource, now time.Time) int64 {
	if g := h.held[r]; now.Before(g.deadline) {
		return g.amount
	}
	return 0
}

// Demand returns the demand for a budget as the next report carries it.
func (h *Holder) Demand(r azurestair.Resource, inUse, want int64) azurestair.Demand {
	return azurestair.Demand{Resource: r, InUse: inUse, Want: want, Floor: h.held[r].floor}
}
