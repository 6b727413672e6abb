package quota

import (
	"math"
	"time"

	"azurestair.example/azurestair"
)

const (
	// horizon is the time for whose expected requests an entry holds tokens.
	horizon = 500 * time.Millisecond
	// spareTime is how long an entry keeps one token of a workspace that sends
	// few requests, while no other entry lacks tokens.
	spareTime = 10 * time.Second
	// idleTime is how long an entry keeps unused tokens while others lack them.
	idleTime = time.Second
	// lowWaterShare is the fraction of the target below which an entry asks
	// before the regular time, if the target is at least lowWaterTarget tokens.
	// Smaller ones would cause an ask for almost each request.
	lowWaterShare  = 4
	lowWaterTarget = 4
)

// waiter is a request that waits for a token.
type waiter struct {
	ticket Ticket
	since  time.Time
}

// account is what an entry knows of one workspace.
type account struct {
	name azurestair.WorkspaceName
	// held are unused tokens. All expire at deadline.
	held     azurestair.Tokens
	deadline time.Time
	// counts are the requests since the last answer, of which sent was reported
	// in the ask that is in flight.
	counts, sent counts
	// reported is the highest number of used tokens that the leader may have been
	// told since the last answer. These can't be refunded any more: the leader
	// has refilled their place.
	reported azurestair.Tokens
	// missed are the requests refused since the last ask for lack of tokens. They
	// count as demand as far as as many more are expected: a token for a caller
	// that does not come back would lie unused.
	missed azurestair.Tokens
	// answered is the last answered ask with this account, in answeredTerm.
	answered     azurestair.Sequence
	answeredTerm azurestair.Term
	answeredAt   time.Time
	// The workspace has used up its tokens and has some again at retryAt; zero if
	// it has not. Until blockedUntil, requests without a token are refused at
	// once.
	blockedUntil time.Time
	retryAt      time.Time
	// scarce is true if other entries lack tokens.
	scarce    bool
	waiting   []waiter
	arrivals  meter
	arrivedAt time.Time
	// askedAt is when the last ask with this account was sent.
	askedAt time.Time
	// target is the number of tokens that the last ask aimed for.
	target azurestair.Tokens
	// isActive is true while the account is in the holder's list of accounts to
	// include in asks.
	isActive bool
	// saidIdle is true if the last ask said that nothing is left of the account,
	// and isFinished if the leader has answered that.
	saidIdle, isFinished bool
}

// isEmpty reports whether nothing has happened that the leader must hear of.
func (a *account) isEmpty() bool {
	return a.held == 0 && a.counts == (counts{}) && a.missed == 0 && len(a.waiting) == 0
}

func (a *account) observe(now time.Time) {
	a.arrivals.add(1, now)
	a.arrivedAt = now
}

// take uses a token if there is one.
func (a *account) take(now time.Time) bool {
	if a.held == 0 || !now.Before(a.deadline) {
		a.held = 0
		return false
	}
	a.held--
	a.counts.used++
	return true
}

func (a *account) expire(now time.Time) {
	if !now.Before(a.deadline) {
		a.held = 0
	}
}

// isLow reports whether most of the expected need is used up.
func (a *account) isLow() bool {
	return a.target >= lowWaterTarget && a.held < a.target/lowWaterShare
}

// isUrgent reports whether the account can't wait for its turn.
func (a *account) isUrgent() bool {
	return len(a.waiting) > 0 || a.missed > 0 || a.isLow() || (a.scarce && a.counts.used > 0)
}

// lacksTokens reports whether the next request would wait, although tokens were
// used lately. That alone causes no ask, but the account takes part in the next.
func (a *account) lacksTokens() bool { return a.held == 0 && a.counts.used > 0 }

// hasTurn reports whether the account takes part in a sweep: in each one unless
// it was just asked for, and in every second one if it only renews its tokens.
func (a *account) hasTurn(now time.Time) bool {
	if a.counts == (counts{}) && now.Sub(a.arrivedAt) >= idleTime && a.held > 0 {
		return now.Sub(a.askedAt) >= AskInterval*3/2
	}
	return now.Sub(a.askedAt) >= AskInterval/2
}

// need returns the expected number of requests until the horizon.
func (a *account) need(now time.Time) float64 {
	return float64(a.arrivals.rate(now)) * horizon.Seconds()
}

// setTarget sets the target and returns how many tokens the account keeps. While
// tokens are scarce, it keeps only whole tokens of the expected need.
func (a *account) setTarget(now time.Time) (keep azurestair.Tokens) {
	need := a.need(now)
	idle := now.Sub(a.arrivedAt)
	switch {
	case a.scarce && idle >= idleTime:
		a.target = 0
		return 0
	case a.scarce:
		a.target = azurestair.Tokens(need)
		return a.target
	case need == 0 && idle < spareTime:
		a.target = 1
		return 1
	}
	a.target = azurestair.Tokens(math.Ceil(need))
	return 2 * a.target
}

// demand returns the account's part of an ask. It gives up tokens that the
// account does not need.
func (a *account) demand(term azurestair.Term, now time.Time) azurestair.QuotaDemand {
	a.expire(now)
	keep := a.setTarget(now)
	a.held = min(a.held, keep)
	a.sent, a.reported = a.counts, max(a.reported, a.counts.used)
	d := azurestair.QuotaDemand{
		Workspace: a.name, Held: a.held, Used: a.counts.used,
		Waiting: azurestair.Tokens(len(a.waiting)) + min(a.missed, azurestair.Tokens(a.need(now))), Ahead: max(0, a.target-a.held),
		OverLimit: a.counts.overLimit, Unreachable: a.counts.unreachable,
	}
	if a.answeredTerm == term {
		d.Answered = a.answered
	}
	a.missed = 0
	a.saidIdle = isIdle(d)
	return d
}

// isIdle reports whether the leader need not hear of the account any more.
func isIdle(d azurestair.QuotaDemand) bool {
	return d.Held == 0 && d.Used == 0 && d.Waiting == 0 && d.Ahead == 0 && d.OverLimit == 0 && d.Unreachable == 0
}

// apply takes over the grant in the answer to an ask sent at sentAt.
func (a *account) apply(g azurestair.QuotaGrant, sentAt, now time.Time) {
	a.held -= min(a.held, g.Revoked)
	a.held += g.Granted
	a.deadline = sentAt.Add(LeaseTime)
	a.expire(now)
	a.counts = a.counts.since(a.sent)
	a.sent, a.reported = counts{}, 0
	a.answeredAt, a.scarce = now, g.Scarce
	a.blockedUntil, a.retryAt = time.Time{}, time.Time{}
	if g.RetryAfterMs > 0 {
		a.retryAt = now.Add(g.RetryAfterMs.Duration())
	}
	if g.OverLimit {
		a.blockedUntil = now.Add(max(MinAskInterval, g.NextMs.Duration()))
	}
}
