package control

import (
	"time"

	"azurestair.example/azurestair"
)

// share is what one holder has of a budget.
type share struct {
	holder      azurestair.InstanceID
	incarnation azurestair.Incarnation
	want, inUse int64
	// lowest is the least use that the latest reports carried.
	lowest lowest
	// remote is true when the budget lies outside the holder's region.
	remote bool
	// unlisted is true while the holder may not be given a floor.
	unlisted bool
	// activeUntil ends one lease time after the last report.
	activeUntil time.Time
	// leases holds the unexpired leases that no later one covers, the oldest first.
	leases []lease
	// former covers the leases of earlier incarnations, which may still run.
	former lease
	// last is the latest amount, and level what the holder may have of what is contended.
	last, level int64
	// floor is the largest floor that the holder may have, and floorSeen when
	// that was last given or reported.
	floor     int64
	floorSeen time.Time
	// held, recent, use and reserved are counted in the sums of the budget.
	// reserved is the floor that is reserved for the holder, and held what it
	// may use above that.
	held, recent, use, reserved int64
}

// lease is an amount above a floor. A holder that has the lease has that floor.
type lease struct {
	amount, floor int64
	until         time.Time
}

// total returns what a holder with the lease may use.
func (l lease) total() int64 { return l.floor + l.amount }

// covers reports whether the lease outlasts an earlier one that is no larger.
func (l lease) covers(earlier lease) bool {
	return earlier.total() <= l.total() && earlier.amount <= l.amount
}

func (l lease) live(now time.Time) bool { return now.Before(l.until) }

// liveAmount returns the amount, zero after the lease has expired.
func (l lease) liveAmount(now time.Time) int64 {
	if l.live(now) {
		return l.amount
	}
	return 0
}

// maxLeases bounds the leases kept for one holder and budget.
const maxLeases = 8

// need returns how much the holder wants above its floor.
func (s *share) need(floor int64) int64 { return max(0, s.want-floor) }

// active reports whether the holder has reported within a lease time.
func (s *share) active(now time.Time) bool { return now.Before(s.activeUntil) }

// add counts a new lease above the given floor.
func (s *share) add(amount, floor int64, now time.Time) {
	s.last = amount
	added := lease{amount: amount, floor: floor, until: now.Add(LeaseTTL)}
	n := len(s.leases)
	for n > 0 && added.covers(s.leases[n-1]) {
		n--
	}
	s.leases = append(s.leases[:n], added)
	if len(s.leases) > maxLeases {
		// One lease stands for the two oldest: the larger amounts, the later time.
		first, second := s.leases[0], &s.leases[1]
		total := max(first.total(), second.total())
		second.amount = max(first.amount, second.amount)
		second.floor = total - second.amount
		s.leases = append(s.leases[:0], s.leases[1:]...)
	}
}

// restart moves the leases of the earlier incarnation aside.
func (s *share) restart(inc azurestair.Incarnation, now time.Time) {
	s.incarnation = inc
	s.former.amount = s.former.liveAmount(now)
	largest := int64(0)
	for _, l := range s.leases {
		if l.live(now) {
			largest = max(largest, l.amount)
			s.former.until = l.until
		}
	}
	s.former.amount += largest
	s.leases, s.last = nil, 0
}

// count drops expired leases and counts the others, and as recent those that
// end at recentUntil or later. A lease counts above the floor that came with
// it, or above the present one if that is larger: a later incarnation may get
// that floor while the earlier one still uses the lease.
func (s *share) count(floor int64, recentUntil, now time.Time) {
	n := 0
	for n < len(s.leases) && !s.leases[n].live(now) {
		n++
	}
	s.leases = append(s.leases[:0], s.leases[n:]...)
	most, mostRecent := floor, floor
	for _, l := range s.leases {
		total := l.amount + max(l.floor, floor)
		most = max(most, total)
		if !l.until.Before(recentUntil) {
			mostRecent = max(mostRecent, total)
		}
	}
	former := s.former.liveAmount(now) - s.reserved
	s.held, s.recent = max(0, most+former), max(0, mostRecent+former)
	s.use = 0
	if now.Before(s.activeUntil.Add(useTTL - LeaseTTL)) {
		s.use = min(s.lowest.of(s.inUse), s.held+s.reserved)
	}
}

// noteFloor counts a floor that the holder has or may get. A smaller one
// counts only after a lease time without a larger one, because messages may
// arrive late and out of order.
func (s *share) noteFloor(floor int64, now time.Time) {
	if floor >= s.floor || !now.Before(s.floorSeen.Add(LeaseTTL)) {
		s.floor, s.floorSeen = floor, now
	}
}

// rampBuckets is the number of parts of an interval for which a ramp keeps the
// least use.
const rampBuckets = 5

// useTTL is how long a reported use counts without a later report.
const useTTL = 1500 * time.Millisecond

// useReports is the number of reports whose least use counts. Reports of
// different holders tell of times that lie up to a report's interval and its
// delay apart, so the sum of the newest uses may exceed the use at any one time.
const useReports = 3

// lowest is the use that the reports before the newest one carried.
type lowest [useReports - 1]int64

func (l *lowest) add(use int64) {
	copy(l[1:], l[:])
	l[0] = use
}

func (l *lowest) of(use int64) int64 {
	for _, u := range l {
		use = min(use, u)
	}
	return use
}
