package quota

import (
	"math"
	"time"

	"azurestair.example/azurestair"
)

// demandTime is how long the unmet demand of an entry counts after its ask.
const demandTime = time.Second

// aheadReserve is the fraction of the capacity that is kept for waiting
// requests when entries ask for tokens ahead of their requests.
const aheadReserve = 1.0 / 4

// leaseKey identifies a run of an entry.
type leaseKey struct {
	id          azurestair.InstanceID
	incarnation azurestair.Incarnation
}

// lease is what one entry holds of a bucket.
type lease struct {
	key leaseKey
	// outstanding is the number of tokens that the entry may still use. granted
	// of them were in the answer to its last ask and may never have arrived;
	// adopted of them are from earlier leaders, and revoked were not renewed.
	outstanding, granted, adopted, revoked azurestair.Tokens
	// counts are those of the entry's last ask.
	counts counts
	// sequence is the last ask that named the workspace.
	sequence azurestair.Sequence
	// waiting and ahead are the unmet demand of the last ask.
	waiting, ahead azurestair.Tokens
	askedAt        time.Time
	deadline       time.Time
	prev, next     *lease
}

// bucket is the supply of one workspace. Its invariant is level + outstanding
// <= capacity, except that outstanding tokens may exceed a lowered capacity,
// or one to which the tokens of earlier leaders were added; level is then zero.
type bucket struct {
	rate            float64
	capacity        float64
	allowance       float64
	level           float64
	refilledAt      time.Time
	createdAt       time.Time
	limited         bool
	outstanding     azurestair.Tokens
	adopted         azurestair.Tokens
	revoked         azurestair.Tokens
	waiting, ahead  azurestair.Tokens
	leases          map[leaseKey]*lease
	first, last     *lease
	nextStaleDemand *lease
	usage           usage
}

func newBucket(now time.Time) *bucket {
	return &bucket{createdAt: now, refilledAt: now, leases: map[leaseKey]*lease{}}
}

func (b *bucket) setLimit(l Limit) {
	b.limited = true
	b.rate = float64(l.Rate)
	b.capacity = max(minTokens, l.Total*capacityShare)
	b.allowance = max(minTokens, l.Total*allowanceShare)
}

// removeLimit keeps the bucket only for its outstanding tokens.
func (b *bucket) removeLimit() {
	b.limited = false
	b.rate, b.capacity, b.allowance, b.level = 0, 0, 0, 0
}

// room returns how many tokens may be added at the given time; it is negative
// if there are too many.
func (b *bucket) room(quiet bool) float64 {
	room := b.capacity - b.level - float64(b.outstanding)
	if quiet {
		room = min(room, b.allowance-b.level-float64(b.outstanding-b.adopted))
	}
	return room
}

// clamp lowers the level until the invariant holds.
func (b *bucket) clamp(quiet bool) {
	if room := b.room(quiet); room < 0 {
		b.level = max(0, b.level+room)
	}
}

// refill adds the tokens of the time until t.
func (b *bucket) refill(t, quietUntil time.Time) {
	if b.refilledAt.Before(quietUntil) && t.After(quietUntil) {
		b.refill(quietUntil, quietUntil)
	}
	quiet := b.refilledAt.Before(quietUntil)
	if d := t.Sub(b.refilledAt); d > 0 {
		b.level += max(0, min(b.rate*d.Seconds(), b.room(quiet)))
		b.refilledAt = t
	}
	b.clamp(quiet)
}

// advance refills the bucket until now. Tokens past their deadline count as
// used; only the time after their deadline refills their place.
func (b *bucket) advance(now, quietUntil time.Time) {
	for b.first != nil && !now.Before(b.first.deadline) {
		b.refill(b.first.deadline, quietUntil)
		b.remove(b.first)
	}
	b.refill(now, quietUntil)
	for l := b.nextStaleDemand; l != nil && now.Sub(l.askedAt) >= demandTime; l = l.next {
		b.setDemand(l, 0, 0)
		b.nextStaleDemand = l.next
	}
}

// lease returns the lease of an entry, which it moves to the end of the list.
// The list is thus in the order of the deadlines.
func (b *bucket) lease(key leaseKey, now time.Time) (l *lease, isNew bool) {
	l, ok := b.leases[key]
	if ok {
		b.unlink(l)
	} else {
		l = &lease{key: key}
		b.leases[key] = l
	}
	l.askedAt, l.deadline = now, now.Add(issuerLeaseTime)
	l.prev, l.next = b.last, nil
	if b.last != nil {
		b.last.next = l
	} else {
		b.first = l
	}
	b.last = l
	if b.nextStaleDemand == nil {
		b.nextStaleDemand = l
	}
	return l, !ok
}

func (b *bucket) unlink(l *lease) {
	if b.nextStaleDemand == l {
		b.nextStaleDemand = l.next
	}
	if l.prev != nil {
		l.prev.next = l.next
	} else {
		b.first = l.next
	}
	if l.next != nil {
		l.next.prev = l.prev
	} else {
		b.last = l.prev
	}
}

func (b *bucket) remove(l *lease) {
	b.setDemand(l, 0, 0)
	b.setOutstanding(l, 0, 0)
	b.setRevoked(l, 0)
	b.unlink(l)
	delete(b.leases, l.key)
}

func (b *bucket) setOutstanding(l *lease, outstanding, adopted azurestair.Tokens) {
	b.outstanding += outstanding - l.outstanding
	b.adopted += adopted - l.adopted
	l.outstanding, l.adopted = outstanding, adopted
}

func (b *bucket) setRevoked(l *lease, n azurestair.Tokens) {
	b.revoked += n - l.revoked
	l.revoked = n
}

func (b *bucket) setDemand(l *lease, waiting, ahead azurestair.Tokens) {
	b.waiting += waiting - l.waiting
	b.ahead += ahead - l.ahead
	l.waiting, l.ahead = waiting, ahead
}

// settle accounts for what an entry says it has. Tokens that it neither holds
// nor has used go back to the level: it has returned them, or they were in an
// answer that it has abandoned.
func (b *bucket) settle(l *lease, d azurestair.QuotaDemand, seq azurestair.Sequence, heardThisTerm, isNew bool) {
	var returned azurestair.Tokens
	switch {
	case isNew || !heardThisTerm:
		// Nothing that this leader has granted has arrived. What the entry holds
		// is from earlier leaders.
		returned = l.granted
		b.setOutstanding(l, d.Held, d.Held)
	case d.Answered == l.sequence:
		returned = l.outstanding - d.Held - d.Used
		b.setOutstanding(l, d.Held, max(0, l.adopted-(l.outstanding-d.Held)))
	default:
		held := l.outstanding - l.granted
		returned = l.granted + max(0, held-d.Held-(d.Used-l.counts.used))
		b.setOutstanding(l, d.Held, max(0, l.adopted-(held-d.Held)))
	}
	b.level += float64(max(0, returned))
	b.setRevoked(l, 0)
	l.granted, l.counts, l.sequence = 0, countsOf(d), seq
}

// grant meets the demand of an entry as far as the level permits: waiting
// requests first, in proportion to the demands of all entries.
func (b *bucket) grant(l *lease, d azurestair.QuotaDemand, quiet bool) azurestair.Tokens {
	b.setDemand(l, d.Waiting, d.Ahead)
	level := azurestair.Tokens(b.level)
	waiting := proportion(d.Waiting, level, b.waiting)
	spare := level - b.waiting - azurestair.Tokens(math.Ceil(b.limit(quiet)*aheadReserve))
	ahead := proportion(d.Ahead, spare, b.ahead)
	n := waiting + ahead
	b.level -= float64(n)
	b.setOutstanding(l, l.outstanding+n, l.adopted)
	b.setDemand(l, l.waiting-waiting, l.ahead-ahead)
	l.granted = n
	return n
}

// proportion returns the part of want that is met when the demands of all sum
// to total: at least one while there is any.
func proportion(want, available, total azurestair.Tokens) azurestair.Tokens {
	switch {
	case want <= 0 || available <= 0:
		return 0
	case available >= total:
		return want
	}
	return min(want, available, max(1, azurestair.Tokens(float64(want)*float64(available)/float64(total))))
}

// limit returns the number of tokens that may exist.
func (b *bucket) limit(quiet bool) float64 {
	if quiet {
		return b.allowance
	}
	return b.capacity
}

// existing returns the tokens that exist, during the quiet time without those
// of earlier leaders.
func (b *bucket) existing(quiet bool) float64 {
	n := b.level + float64(b.outstanding)
	if quiet {
		n -= float64(b.adopted)
	}
	return n
}

// isDepleted reports whether requests have used up the workspace's tokens. If
// most tokens exist, but other entries hold them, the workspace is within its
// limit. A bucket starts empty, so it is compared with what it would contain
// without any request.
func (b *bucket) isDepleted(now, quietUntil time.Time) bool {
	quiet := now.Before(quietUntil)
	full := min(b.limit(quiet), b.rate*now.Sub(b.createdAt).Seconds())
	if !quiet && b.createdAt.Before(quietUntil) {
		full = min(full, b.allowance+b.rate*now.Sub(quietUntil).Seconds())
	}
	return b.existing(quiet) < full/2
}

// isOverLimit reports whether a depleted workspace's waiting requests can't be
// met in time. If only one waits, the rate alone does not exceed the limit.
func (b *bucket) isOverLimit() bool { return b.retryAfter() > MaxWait && b.waiting > 1 }

// retryAfter returns the time until the unmet demand of waiting requests can be
// met.
func (b *bucket) retryAfter() time.Duration {
	missing := float64(b.waiting) - b.level
	if missing <= 0 {
		return 0
	}
	return seconds(missing / b.rate)
}

// nextToken returns the time until the level reaches a whole token.
func (b *bucket) nextToken() time.Duration {
	if b.level >= 1 {
		return 0
	}
	return seconds((1 - b.level) / b.rate)
}

// maxRetryAfter bounds the times in a grant.
const maxRetryAfter = 5 * time.Second

func seconds(s float64) time.Duration {
	return min(maxRetryAfter, time.Duration(min(s, maxRetryAfter.Seconds())*float64(time.Second)))
}
