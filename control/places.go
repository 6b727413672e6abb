package control

import (
	"time"

	"azurestair.example/azurestair"
)

// holderMemory is how long a silent holder keeps its place when another one
// needs it. A holder cut off for longer than that still uses its floor.
const holderMemory = 10 * time.Minute

type holderPlace struct {
	incarnation azurestair.Incarnation
	seen        time.Time
	left        bool
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
	return true
}

// Leave frees the place of a holder that has sent its last report. Its leases
// still count until they expire.
func (a *Allocator) Leave(holder azurestair.InstanceID) {
	if p := a.holders[holder]; p != nil {
		p.left = true
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
			delete(a.holders, id)
			for _, b := range a.budgets {
				b.forget(id)
			}
			return true
		}
	}
	return false
}
