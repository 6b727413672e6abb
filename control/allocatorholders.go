package control

import (
	"cmp"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

const (
	// holderRetention is how long a holder that does not report still counts
	// towards MaxHolders. After that another holder may replace it. A holder
	// that is partitioned for longer than that still uses its floor.
	holderRetention = 10 * time.Minute
	// listRetryInterval is the time after which a change of the holder list is
	// proposed again.
	listRetryInterval = time.Second
)

type holderState struct {
	incarnation azurestair.Incarnation
	lastReport  time.Time
	departed    bool
}

// listChange is a change of the holder list that is proposed at due. Once
// proposed it stays pending until the list reflects it.
type listChange struct {
	removed  bool
	proposed bool
	due      time.Time
}

// SetHolders sets the list of holders that may have floors. The caller must
// have applied every log entry that was committed before this leader's term.
// Every listed holder counts towards MaxHolders from the start, because it may
// be partitioned and still use its floor. If SetHolders is never called, any
// holder may have a floor, and floors are reserved for MaxHolders holders.
func (a *Allocator) SetHolders(l *HolderList, now time.Time) {
	if l == a.listed {
		return
	}
	first := a.listed == nil
	a.listed = l
	if a.holders == nil {
		a.holders = map[azurestair.InstanceID]*holderState{}
	}
	for _, id := range l.IDs {
		if first && a.holders[id] == nil {
			a.holders[id] = &holderState{lastReport: now}
		}
	}
	for id := range a.changes {
		a.scheduleListChange(id)
	}
	for _, b := range a.budgets {
		b.setListed(l)
	}
}

// HolderChanges returns the changes of the holder list that the leader must
// propose, in this order. A change is returned again if the list does not
// reflect it within listRetryInterval.
func (a *Allocator) HolderChanges(now time.Time) []azurestair.HolderChange {
	a.removeDeparted(now)
	var out []azurestair.HolderChange
	for id, c := range a.changes {
		if now.Before(c.due) {
			continue
		}
		a.changes[id] = listChange{removed: c.removed, proposed: true, due: now.Add(listRetryInterval)}
		out = append(out, azurestair.HolderChange{Instance: id, Removed: c.removed})
	}
	slices.SortFunc(out, func(x, y azurestair.HolderChange) int {
		if x.Removed != y.Removed {
			return cmp.Compare(removalOrder(x), removalOrder(y))
		}
		return cmp.Compare(x.Instance, y.Instance)
	})
	return out
}

// removeDeparted removes the holders that have left and are no longer listed,
// once their last leases have expired. The removal from the list may be
// committed before that if it was proposed for an earlier incarnation.
func (a *Allocator) removeDeparted(now time.Time) {
	if a.listed == nil {
		return
	}
	for id, h := range a.holders {
		if h.departed && !a.listed.Has(id) && now.Sub(h.lastReport) >= LeaseTTL {
			a.removeHolder(id)
		}
	}
}

// removalOrder sorts removals before additions, so that the list does not grow
// by one holder in between.
func removalOrder(c azurestair.HolderChange) int {
	if c.Removed {
		return 0
	}
	return 1
}

// scheduleListChange schedules the change of the holder list that a holder
// needs, if any. A proposed change may already be in the log, so it stays
// pending until the list reflects it.
func (a *Allocator) scheduleListChange(id azurestair.InstanceID) {
	if a.listed == nil {
		return
	}
	c, h, listed := a.changes[id], a.holders[id], a.listed.Has(id)
	if c.proposed && listed == c.removed {
		return
	}
	delete(a.changes, id)
	if listed == (h != nil && !h.departed) {
		return
	}
	next := listChange{removed: listed}
	if h != nil && h.departed {
		next.due = h.lastReport.Add(LeaseTTL)
	}
	if a.changes == nil {
		a.changes = map[azurestair.InstanceID]listChange{}
	}
	a.changes[id] = next
}

// mayHaveFloor reports whether the holder may be granted a floor: it must be
// listed, and no proposal to remove it may still take effect.
func (a *Allocator) mayHaveFloor(id azurestair.InstanceID) bool {
	if a.listed == nil {
		return true
	}
	c := a.changes[id]
	return a.listed.Has(id) && (!c.removed || !c.proposed)
}

// admit registers the holder and reports whether it may get grants.
func (a *Allocator) admit(holder azurestair.InstanceID, inc azurestair.Incarnation, now time.Time) bool {
	h := a.holders[holder]
	if h == nil {
		if !a.ensureCapacity(now) {
			return false
		}
		h = &holderState{}
		a.holders[holder] = h
	}
	if inc < h.incarnation || (h.departed && inc == h.incarnation) {
		return false
	}
	h.incarnation, h.lastReport, h.departed = inc, now, false
	a.scheduleListChange(holder)
	return true
}

// Incarnation returns the latest incarnation of a holder that has requested
// leases, or zero if none has.
func (a *Allocator) Incarnation(holder azurestair.InstanceID) azurestair.Incarnation {
	if h := a.holders[holder]; h != nil {
		return h.incarnation
	}
	return 0
}

// MarkDeparted marks a holder as departed after its last report. Its leases
// count until they expire. A call for an earlier incarnation has no effect.
func (a *Allocator) MarkDeparted(holder azurestair.InstanceID, inc azurestair.Incarnation) {
	if h := a.holders[holder]; h != nil && inc >= h.incarnation {
		h.departed = true
		a.scheduleListChange(holder)
	}
}

// ensureCapacity reports whether another holder can be added, and removes an
// inactive one if necessary.
func (a *Allocator) ensureCapacity(now time.Time) bool {
	if a.holders == nil {
		a.holders = map[azurestair.InstanceID]*holderState{}
	}
	if len(a.holders) < valueOrDefault(a.MaxHolders, DefaultMaxHolders) {
		return true
	}
	for id, h := range a.holders {
		sinceReport := now.Sub(h.lastReport)
		if sinceReport >= holderRetention || (h.departed && sinceReport >= LeaseTTL) {
			a.removeHolder(id)
			a.scheduleListChange(id)
			return true
		}
	}
	return false
}

// removeHolder removes a holder and its allocations.
func (a *Allocator) removeHolder(id azurestair.InstanceID) {
	delete(a.holders, id)
	for _, b := range a.budgets {
		b.removeHolder(id)
	}
}

// setListed sets the holders that may have floors and counts those without an
// allocation.
func (b *budget) setListed(l *HolderList) {
	b.listed, b.unreportedListed = l, 0
	if l == nil {
		return
	}
	for _, id := range l.IDs {
		if b.allocations[id] == nil {
			b.unreportedListed++
		}
	}
}

// unreportedHolders returns the number of holders that may have a floor and
// have not reported.
func (b *budget) unreportedHolders() int64 {
	if b.listed == nil {
		return int64(max(0, b.holders-len(b.allocations)))
	}
	return b.unreportedListed
}

// unassignedFloors returns the floors of possible holders that are neither
// listed nor known. They may be leased, but not as idle leases: otherwise the
// instances of a starting fleet would have to wait for their floors until such
// leases expire.
func (b *budget) unassignedFloors() int64 {
	if b.listed == nil {
		return 0
	}
	return max(0, int64(b.holders-len(b.allocations))-b.unreportedListed) * b.limit.Floor
}

// grantedFloor returns the floor for a grant. During the grace period no holder
// gets a larger floor than it may already have: a holder may have been listed
// just before the previous leader ended, when that leader had leased its floor
// to others. For the same reason a larger floor waits until leases leave enough
// capacity.
func (b *budget) grantedFloor(a *allocation, d azurestair.Demand, inGracePeriod bool) int64 {
	floor := b.currentFloor(a)
	switch {
	case a.withoutFloor:
		return 0
	case b.listed == nil && inGracePeriod:
		return min(floor, max(d.Floor, b.inherited))
	case b.listed != nil && (inGracePeriod || b.leasedSum+b.reservedFloors() > b.currentTotal()):
		return min(floor, a.floor)
	default:
		return floor
	}
}
