package quota

import (
	"fmt"
	"math"
	"time"

	"azurestair.example/azurestair"
)

// Issuer leases the tokens of all workspaces at the leader. It is soft state: a
// new leader starts with a new Issuer.
//
// For the first issuerLeaseTime, in which entries may have tokens of earlier
// leaders, it adds no more than the allowance to them. The time does not end
// when all known entries have reported: one that is cut off is in no list that
// a new leader can be sure of, and uses what it holds.
type Issuer struct {
	term       azurestair.Term
	quietUntil time.Time
	buckets    map[azurestair.WorkspaceName]*bucket
	holders    map[azurestair.InstanceID]*holderState
}

// holderState is the last ask of an entry.
type holderState struct {
	incarnation azurestair.Incarnation
	sequence    azurestair.Sequence
	askedAt     time.Time
}

// NewIssuer returns the Issuer of a leader whose term has started at now, after
// all earlier leaders have stopped answering.
func NewIssuer(term azurestair.Term, now time.Time) *Issuer {
	return &Issuer{
		term: term, quietUntil: now.Add(issuerLeaseTime),
		buckets: map[azurestair.WorkspaceName]*bucket{}, holders: map[azurestair.InstanceID]*holderState{},
	}
}

// Term returns the term of the leader.
func (i *Issuer) Term() azurestair.Term { return i.term }

// SetLimits replaces the limits. A workspace that is not listed has no limit;
// its tokens are remembered until they expire, in case it comes back.
func (i *Issuer) SetLimits(limits []Limit, now time.Time) {
	listed := make(map[azurestair.WorkspaceName]bool, len(limits))
	for _, l := range limits {
		listed[l.Workspace] = true
		b, ok := i.buckets[l.Workspace]
		if !ok {
			b = newBucket(now)
			i.buckets[l.Workspace] = b
		}
		b.advance(now, i.quietUntil)
		b.setLimit(l)
		b.clamp(i.isQuiet(now))
	}
	for name, b := range i.buckets {
		if listed[name] {
			continue
		}
		b.advance(now, i.quietUntil)
		b.removeLimit()
		if b.outstanding == 0 {
			delete(i.buckets, name)
		}
	}
	for id, h := range i.holders {
		if now.Sub(h.askedAt) > holderRetention {
			delete(i.holders, id)
		}
	}
}

// holderRetention is how long the last ask of an entry is remembered, so that
// one that is delivered late is recognized. Calls time out long before.
const holderRetention = time.Minute

// overtakes reports whether an ask was sent before the last known one. A clock
// that was set back gives a later run a lower incarnation, which counts once the
// earlier one has no tokens left.
func (h *holderState) overtakes(ask azurestair.QuotaAsk, now time.Time) bool {
	if ask.Incarnation < h.incarnation {
		return now.Sub(h.askedAt) < issuerLeaseTime
	}
	return ask.Incarnation == h.incarnation && ask.Sequence <= h.sequence
}

func (i *Issuer) isQuiet(now time.Time) bool { return now.Before(i.quietUntil) }

// Answer answers an ask. It returns ErrConflict for one that was overtaken by a
// later ask, or by a later run of the entry.
func (i *Issuer) Answer(ask azurestair.QuotaAsk, now time.Time) (azurestair.QuotaAnswer, error) {
	h, ok := i.holders[ask.Holder]
	if !ok {
		h = &holderState{}
		i.holders[ask.Holder] = h
	}
	if h.overtakes(ask, now) {
		return azurestair.QuotaAnswer{}, fmt.Errorf("%w: quota ask %d of %s was overtaken", azurestair.ErrConflict, ask.Sequence, ask.Holder)
	}
	*h = holderState{incarnation: ask.Incarnation, sequence: ask.Sequence, askedAt: now}
	answer := azurestair.QuotaAnswer{Term: i.term, Sequence: ask.Sequence, Grants: make([]azurestair.QuotaGrant, len(ask.Demands))}
	for n, d := range ask.Demands {
		answer.Grants[n] = i.answerDemand(ask, d, now)
	}
	return answer, nil
}

func (i *Issuer) answerDemand(ask azurestair.QuotaAsk, d azurestair.QuotaDemand, now time.Time) azurestair.QuotaGrant {
	b, ok := i.buckets[d.Workspace]
	if !ok {
		return azurestair.QuotaGrant{Unlimited: true, Revoked: d.Held}
	}
	b.advance(now, i.quietUntil)
	quiet := i.isQuiet(now)
	l, isNew := b.lease(leaseKey{id: ask.Holder, incarnation: ask.Incarnation}, now)
	before := l.counts
	if d.Answered == l.sequence || ask.Term != i.term {
		before = counts{}
	}
	b.usage.observe(countsOf(d).since(before), now)
	b.settle(l, d, ask.Sequence, ask.Term == i.term, isNew)
	b.clamp(quiet)
	if !b.limited {
		return azurestair.QuotaGrant{Unlimited: true, Revoked: d.Held}
	}
	g := azurestair.QuotaGrant{Granted: b.grant(l, d, quiet), Revoked: b.excess(l)}
	b.setRevoked(l, g.Revoked)
	if depleted := b.isDepleted(now, i.quietUntil); l.waiting > 0 && (depleted || !quiet) {
		g.OverLimit = depleted && b.isOverLimit()
		g.NextMs = azurestair.MillisOf(b.nextToken())
		g.RetryAfterMs = max(1, azurestair.MillisOf(b.retryAfter()))
	}
	g.Scarce = quiet || azurestair.Tokens(b.level) < b.waiting
	return g
}

// excess returns how many of the tokens of a lease are not renewed, because the
// capacity was lowered or earlier leaders have leased more. The tokens that
// answers have renewed thus never exceed the capacity.
func (b *bucket) excess(l *lease) azurestair.Tokens {
	over := azurestair.Tokens(math.Ceil(float64(b.outstanding-b.revoked) - b.capacity))
	return max(0, min(l.outstanding-l.granted, over))
}
