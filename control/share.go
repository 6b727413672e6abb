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
	// remote is true when the budget lies outside the holder's region.
	remote bool
	// unlisted is true while the holder may not be given a floor.
	unlisted bool
	// activeUntil ends one lease time after the last report.
	activeUntil time.Time
	// leases holds the unexpired leases that no later and larger one covers:
	// the oldest and largest first.
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
	held, recent, use, reserved int64
}

type lease struct {
	amount int64
	until  time.Time
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

// add counts a new lease.
func (s *share) add(amount int64, now time.Time) {
	s.last = amount
	n := len(s.leases)
	for n > 0 && s.leases[n-1].amount <= amount {
		n--
	}
	s.leases = append(s.leases[:n], lease{amount: amount, until: now.Add(LeaseTTL)})
	if len(s.leases) > maxLeases {
		// One lease stands for the two oldest: the larger amount, the later time.
		s.leases[1].amount = s.leases[0].amount
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
// end at recentUntil or later.
func (s *share) count(recentUntil, now time.Time) {
	n := 0
	for n < len(s.leases) && !s.leases[n].live(now) {
		n++
	}
	s.leases = append(s.leases[:0], s.leases[n:]...)
	s.held, s.recent = 0, 0
	for i := len(s.leases) - 1; i >= 0; i-- {
		s.held = s.leases[i].amount
		if !s.leases[i].until.Before(recentUntil) {
			s.recent = s.held
		}
	}
	s.held += s.former.liveAmount(now)
	s.recent += s.former.liveAmount(now)
	s.use = 0
	if s.active(now) {
		s.use = min(s.inUse, s.held+s.floor)
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
