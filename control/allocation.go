package control

import (
	"time"

	"azurestair.example/azurestair"
)

// allocation is the state of one holder in one budget.
type allocation struct {
	holder      azurestair.InstanceID
	incarnation azurestair.Incarnation
	want, inUse int64
	// recentUse holds the use from the latest reports before the newest one.
	recentUse recentUse
	// remote is true when the budget belongs to a region other than the
	// holder's.
	remote bool
	// withoutFloor is true while the holder must not be granted a floor.
	withoutFloor bool
	// activeUntil is one lease time after the last report.
	activeUntil time.Time
	// leases holds the unexpired leases that no later lease covers, oldest
	// first.
	leases []lease
	// previous covers the leases of earlier incarnations, which may still be in
	// use.
	previous lease
	// lastAmount is the latest leased amount. fairLevel caps what the holder
	// gets of a contended budget.
	lastAmount, fairLevel int64
	// floor is the largest floor that the holder may have, and floorSeen is
	// when that floor was last granted or reported.
	floor     int64
	floorSeen time.Time
	// leased, recent, use and reserved are what this allocation contributes to
	// the sums of the budget. reserved is the floor that is reserved for the
	// holder, and leased is what the holder may use above that floor. recent is
	// the same as leased for recent leases only.
	leased, recent, use, reserved int64
}

// lease is an amount above a floor. A holder that has the lease also has that
// floor.
type lease struct {
	amount, floor int64
	until         time.Time
}

// total returns the floor plus the amount.
func (l lease) total() int64 { return l.floor + l.amount }

// covers reports whether l, which expires later than earlier, is at least as
// large.
func (l lease) covers(earlier lease) bool {
	return earlier.total() <= l.total() && earlier.amount <= l.amount
}

func (l lease) live(now time.Time) bool { return now.Before(l.until) }

// liveAmount returns the amount, or zero after the lease has expired.
func (l lease) liveAmount(now time.Time) int64 {
	if l.live(now) {
		return l.amount
	}
	return 0
}

// maxLeases bounds the leases that are kept for one holder and budget.
const maxLeases = 8

// demandAbove returns how much the holder wants above a floor.
func (a *allocation) demandAbove(floor int64) int64 { return max(0, a.want-floor) }

// active reports whether the holder has reported within one lease time.
func (a *allocation) active(now time.Time) bool { return now.Before(a.activeUntil) }

// add records a new lease above the given floor.
func (a *allocation) add(amount, floor int64, now time.Time) {
	a.lastAmount = amount
	added := lease{amount: amount, floor: floor, until: now.Add(LeaseTTL)}
	n := len(a.leases)
	for n > 0 && added.covers(a.leases[n-1]) {
		n--
	}
	a.leases = append(a.leases[:n], added)
	if len(a.leases) > maxLeases {
		// Merge the two oldest leases: larger amounts, later expiry.
		first, second := a.leases[0], &a.leases[1]
		total := max(first.total(), second.total())
		second.amount = max(first.amount, second.amount)
		second.floor = total - second.amount
		a.leases = append(a.leases[:0], a.leases[1:]...)
	}
}

// startIncarnation records that the holder has restarted, and moves the leases
// of the earlier incarnation to previous.
func (a *allocation) startIncarnation(inc azurestair.Incarnation, now time.Time) {
	a.incarnation = inc
	a.previous.amount = a.previous.liveAmount(now)
	largest := int64(0)
	for _, l := range a.leases {
		if l.live(now) {
			largest = max(largest, l.amount)
			a.previous.until = l.until
		}
	}
	a.previous.amount += largest
	a.leases, a.lastAmount = nil, 0
}

// updateSums drops expired leases and recomputes leased, recent and use. Leases
// that expire at recentUntil or later count as recent. A lease counts above the
// floor it was granted with, or above the current floor if that is larger: a
// later incarnation may get that floor while the earlier one still uses the
// lease.
func (a *allocation) updateSums(floor int64, recentUntil, now time.Time) {
	n := 0
	for n < len(a.leases) && !a.leases[n].live(now) {
		n++
	}
	a.leases = append(a.leases[:0], a.leases[n:]...)
	maxTotal, maxRecent := floor, floor
	for _, l := range a.leases {
		total := l.amount + max(l.floor, floor)
		maxTotal = max(maxTotal, total)
		if !l.until.Before(recentUntil) {
			maxRecent = max(maxRecent, total)
		}
	}
	previous := a.previous.liveAmount(now) - a.reserved
	a.leased, a.recent = max(0, maxTotal+previous), max(0, maxRecent+previous)
	a.use = 0
	if now.Before(a.activeUntil.Add(useTTL - LeaseTTL)) {
		a.use = min(a.recentUse.minWith(a.inUse), a.leased+a.reserved)
	}
}

// noteFloor records a floor that the holder has or may get. A smaller floor
// takes effect only after one lease time without a larger one, because messages
// may arrive late and out of order.
func (a *allocation) noteFloor(floor int64, now time.Time) {
	if floor >= a.floor || !now.Before(a.floorSeen.Add(LeaseTTL)) {
		a.floor, a.floorSeen = floor, now
	}
}

// rampBucketCount is the number of buckets per interval in which a ramp tracks
// the minimum use.
const rampBucketCount = 5

// useTTL is how long a reported use counts without a later report.
const useTTL = 1500 * time.Millisecond

// useWindow is the number of reports whose minimum use counts. Reports of
// different holders describe times that are up to a report interval plus its
// delay apart, so the sum of the newest values may exceed the use at any single
// time.
const useWindow = 3

// recentUse holds the use values of the reports before the newest one, the
// newest of them first.
type recentUse [useWindow - 1]int64

func (r *recentUse) add(use int64) {
	copy(r[1:], r[:])
	r[0] = use
}

func (r *recentUse) minWith(use int64) int64 {
	for _, u := range r {
		use = min(use, u)
	}
	return use
}
