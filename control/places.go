package control

import (
	"cmp"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

const (
	// holderMemory is how long a silent holder keeps its place when another one
	// needs it. A holder cut off for longer than that still uses its floor.
	holderMemory = 10 * time.Minute
	// listRetry is after which time a change of the list is proposed again.
	listRetry = time.Second
)

type holderPlace struct {
	incarnation azurestair.Incarnation
	seen        time.Time
	left        bool
}

// listChange is a change of the list that is to be proposed at due. After the
// first proposal it stays until the list shows it.
type listChange struct {
	removed  bool
	proposed bool
	due      time.Time
}

// SetHolders sets the list of the holders that may have floors. The caller must
// have applied every log entry that was committed before this leader's term.
// Each listed holder has a place from the start, because it may be cut off with
// its floor. Without a call any possible holder may have a floor, and floors
// are reserved for MaxHolders.
func (a *Allocator) SetHolders(l *HolderList, now time.Time) {
	if l == a.listed {
		return
	}
	first := a.listed == nil
	a.listed = l
	if a.holders == nil {
		a.holders = map[azurestair.InstanceID]*holderPlace{}
	}
	for _, id := range l.IDs {
		if first && a.holders[id] == nil {
			a.holders[id] = &holderPlace{seen: now}
		}
	}
	for id := range a.changes {
		a.review(id)
	}
	for _, b := range a.budgets {
		b.setListed(l)
	}
}

// HolderChanges returns the changes of the list that the leader must propose in
// this order. A change is returned again when the list does not show it in time.
func (a *Allocator) HolderChanges(now time.Time) []azurestair.HolderChange {
	a.dropLeft(now)
	var out []azurestair.HolderChange
	for id, c := range a.changes {
		if now.Before(c.due) {
			continue
		}
		a.changes[id] = listChange{removed: c.removed, proposed: true, due: now.Add(listRetry)}
		out = append(out, azurestair.HolderChange{Instance: id, Removed: c.removed})
	}
	slices.SortFunc(out, func(x, y azurestair.HolderChange) int {
		if x.Removed != y.Removed {
			return cmp.Compare(removedFirst(x), removedFirst(y))
		}
		return cmp.Compare(x.Instance, y.Instance)
	})
	return out
}

// dropLeft forgets the holders that have left and are no longer listed, once
// their last leases have expired. A removal may be committed before that, if it
// was proposed for an earlier incarnation.
func (a *Allocator) dropLeft(now time.Time) {
	if a.listed == nil {
		return
	}
	for id, p := range a.holders {
		if p.left && !a.listed.Has(id) && now.Sub(p.seen) >= LeaseTTL {
			a.dropPlace(id)
		}
	}
}

// removedFirst orders removals first, so that a list does not grow for a moment.
func removedFirst(c azurestair.HolderChange) int {
	if c.Removed {
		return 0
	}
	return 1
}

// review notes the change of the list that a holder needs. A proposed change may
// be in the log already, and counts until the list shows it.
func (a *Allocator) review(id azurestair.InstanceID) {
	if a.listed == nil {
		return
	}
	c, p, listed := a.changes[id], a.holders[id], a.listed.Has(id)
	if c.proposed && listed == c.removed {
		return
	}
	delete(a.changes, id)
	if listed == (p != nil && !p.left) {
		return
	}
	next := listChange{removed: listed}
	if p != nil && p.left {
		next.due = p.seen.Add(LeaseTTL)
	}
	if a.changes == nil {
		a.changes = map[azurestair.InstanceID]listChange{}
	}
	a.changes[id] = next
}

// mayHaveFloor reports whether a floor may be given to the holder: it is listed,
// and no proposal to remove it can still take effect.
func (a *Allocator) mayHaveFloor(id azurestair.InstanceID) bool {
	if a.listed == nil {
		return true
	}
	c := a.changes[id]
	return a.listed.Has(id) && (!c.removed || !c.proposed)
}

// admit gives the holder a place and reports whether it has one.
func (a *Allocator) admit(holder azurestair.InstanceID, inc azurestair.Incarnation, now time.Time) bool {
	p := a.holders[holder]
	if p == nil {
		if !a.makeRoom(now) {
			return false
		}
		p = &holderPlace{}
		a.holders[holder] = p
	}
	if inc < p.incarnation || (p.left && inc == p.incarnation) {
		return false
	}
	p.incarnation, p.seen, p.left = inc, now, false
	a.review(holder)
	return true
}

// Incarnation returns the latest incarnation that has asked for leases as a holder; zero if none is known.
func (a *Allocator) Incarnation(holder azurestair.InstanceID) azurestair.Incarnation {
	if p := a.holders[holder]; p != nil {
		return p.incarnation
	}
	return 0
}

// Leave frees the place of a holder that has sent its last report. Its leases
// still count until they expire. A later incarnation keeps the place.
func (a *Allocator) Leave(holder azurestair.InstanceID, inc azurestair.Incarnation) {
	if p := a.holders[holder]; p != nil && inc >= p.incarnation {
		p.left = true
		a.review(holder)
	}
}

// makeRoom makes room for one more holder.
func (a *Allocator) makeRoom(now time.Time) bool {
	if a.holders == nil {
		a.holders = map[azurestair.InstanceID]*holderPlace{}
	}
	if len(a.holders) < orDefault(a.MaxHolders, DefaultMaxHolders) {
		return true
	}
	for id, p := range a.holders {
		silent := now.Sub(p.seen)
		if silent >= holderMemory || (p.left && silent >= LeaseTTL) {
			a.dropPlace(id)
			a.review(id)
			return true
		}
	}
	return false
}

// dropPlace forgets a holder and its shares.
func (a *Allocator) dropPlace(id azurestair.InstanceID) {
	delete(a.holders, id)
	for _, b := range a.budgets {
		b.forget(id)
	}
}

// setListed sets the holders that may have floors and counts those without a share.
func (b *budget) setListed(l *HolderList) {
	b.listed, b.unseen = l, 0
	if l == nil {
		return
	}
	for _, id := range l.IDs {
		if b.shares[id] == nil {
			b.unseen++
		}
	}
}

// unknown returns the number of holders that may have a floor and have not reported.
func (b *budget) unknown() int64 {
	if b.listed == nil {
		return int64(max(0, b.holders-len(b.shares)))
	}
	return b.unseen
}

// spareFloors returns the floors of possible holders that are neither listed nor
// known. They may be leased, but not to keep idle holders warm: the floors of a
// fleet that starts would wait until such leases run out.
func (b *budget) spareFloors() int64 {
	if b.listed == nil {
		return 0
	}
	return max(0, int64(b.holders-len(b.shares))-b.unseen) * b.limit.Floor
}

// grantedFloor returns the floor that an answer gives. While the allocator is
// quiet, nobody gets a larger floor than it may have: a listed holder may have
// been listed just before the predecessor ended, which then had leased the floor
// to others. For the same reason a larger floor waits until leases leave room.
func (b *budget) grantedFloor(s *share, d azurestair.Demand, quiet bool) int64 {
	floor := b.floorOf(s)
	switch {
	case s.unlisted:
		return 0
	case b.listed == nil && quiet:
		return min(floor, max(d.Floor, b.inherited))
	case b.listed != nil && (quiet || b.held+b.reserve() > b.total()):
		return min(floor, s.floor)
	default:
		return floor
	}
}
