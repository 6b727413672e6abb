package retry

import (
	"math/bits"
	"time"
)

// burstHold is how long a retry of the joint burst counts as used. It is the
// window of 10 s in which retries are counted, and one second for the backoff
// and the wait for a slot between the decision and the arrival.
const burstHold = 11 * time.Second

// minCredit is the number of retries that the percentage may save up before any
// slots are given. With one, credit is lost between two retries: in the model of
// 125 entries under even need, 48% of the wanted retries were granted in 10 s
// instead of 54%.
const minCredit = 2

// share is the part of one entry in a burst that all entries have in common. It
// consists of credit and slots: credit is earned by requests and is the part of
// the percentage that may be saved up; each slot allows one retry in burstHold.
// In any window, the entry sends at most as many retries beyond the percentage
// as both together.
//
// A share starts without credit and without slots, because an earlier run of
// the entry may just have used them.
type share struct {
	active bool
	// holders is the number by which the burst is divided. It never falls: an
	// entry that the leader no longer lists may still be serving.
	holders int
	// credit is in units of 1/unitsPerToken, slots is a number of retries.
	credit, slots int
	// usedAt holds the times at which slots were used, oldest first.
	usedAt []time.Time
	// slotsFrom is when the slots become usable.
	slotsFrom time.Time
}

// Share limits the budget to the part of one entry in a burst that all entries
// together may send, for a fleet with the given number of entries. A burst of
// zero restores the limits of the budget's own.
//
// The divisor is the largest number of entries so far, rounded up to a power of
// two, so that entries whose lists differ by a few divide by the same number.
func (b *Budget) Share(burst, entries int, now time.Time) {
	s := &b.share
	s.holders = max(s.holders, ceilPowerOfTwo(entries))
	if burst == 0 {
		s.active = false
		return
	}
	level := b.capacity() - b.deficit
	if !s.active {
		level = 0
		s.active, s.usedAt, s.slotsFrom = true, nil, now.Add(burstHold)
	}
	units := burst * unitsPerToken / s.holders
	s.slots = max(0, units/unitsPerToken-minCredit)
	s.credit = units - s.slots*unitsPerToken
	b.deficit = b.capacity() - min(level, b.capacity())
}

// Shares reports whether the budget is part of a joint burst.
func (b *Budget) Shares() bool { return b.share.active }

// activeSlots returns the number of slots, used or not.
func (s *share) activeSlots() int {
	if !s.active {
		return 0
	}
	return s.slots
}

// freeSlots returns the number of slots that can be used now.
func (s *share) freeSlots(now time.Time) int {
	if !s.active || now.Before(s.slotsFrom) {
		return 0
	}
	n := 0
	for n < len(s.usedAt) && now.Sub(s.usedAt[n]) >= burstHold {
		n++
	}
	s.usedAt = s.usedAt[n:]
	return max(0, s.slots-len(s.usedAt))
}

// ceilPowerOfTwo returns the smallest power of two that is at least n.
func ceilPowerOfTwo(n int) int { return 1 << bits.Len(uint(max(n, 1)-1)) }
