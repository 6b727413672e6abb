package quota

import (
	"cmp"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// Verdict says what happens to a request.
type Verdict uint8

const (
	// Admitted means that the request has a token.
	Admitted Verdict = iota
	// Unlimited means that the request needs no token: by the leader's
	// configuration, the workspace has no limit.
	Unlimited
	// Waiting means that the request waits for the next answer of the leader.
	Waiting
	// OverLimit means that the workspace is over its limit.
	OverLimit
	// Unreachable means that the entry has no tokens and has not reached the
	// leader in time.
	Unreachable
)

// Ticket identifies a waiting request.
type Ticket uint64

// Decision is the decision on a request.
type Decision struct {
	Verdict Verdict
	// Ticket is set if the request waits or has waited.
	Ticket Ticket
	// RetryAfter is set for a refused request.
	RetryAfter azurestair.Millis
}

// maxWaiting bounds the waiting requests of a workspace. In MaxWait, an entry
// that serves 2,000 requests per second receives 300.
const maxWaiting = 1024

// Holder uses the tokens of an entry.
type Holder struct {
	id          azurestair.InstanceID
	incarnation azurestair.Incarnation
	accounts    map[azurestair.WorkspaceName]*account
	// active are the accounts to include in asks. All of them had their turn at
	// sweptAt; between, only urgent ones have.
	active     []*account
	sweptAt    time.Time
	lastTicket Ticket

	sequence azurestair.Sequence
	// term is the term of the last answer.
	term azurestair.Term
	// inFlight are the accounts of the ask in flight, sent at sentAt; nil if there
	// is none.
	inFlight []*account
	sentAt   time.Time
	// urgentAt is when an ask is due that can't wait for AskInterval; zero means
	// none.
	urgentAt time.Time
	// failures counts the asks in a row that were abandoned.
	failures int
}

// NewHolder returns the Holder of a run of an entry.
func NewHolder(id azurestair.InstanceID, incarnation azurestair.Incarnation) *Holder {
	return &Holder{id: id, incarnation: incarnation, accounts: map[azurestair.WorkspaceName]*account{}}
}

// Take decides on a request of a workspace with a rate limit. If the request
// waits, Answer or Cancel returns the final decision.
func (h *Holder) Take(name azurestair.WorkspaceName, now time.Time) Decision {
	a := h.accounts[name]
	if a == nil {
		a = &account{name: name}
		h.accounts[name] = a
	}
	a.observe(now)
	h.activate(a)
	if a.take(now) {
		if a.isLow() || a.scarce {
			// While tokens are scarce, used ones are reported early, because their
			// place is refilled only then.
			h.setUrgent(h.sentAt.Add(refillInterval))
		}
		return Decision{Verdict: Admitted}
	}
	if now.Before(a.blockedUntil) {
		a.missed++
		h.setUrgent(a.blockedUntil)
		return a.refuseOverLimit(now)
	}
	if len(a.waiting) >= maxWaiting {
		a.counts.unreachable++
		return Decision{Verdict: Unreachable, RetryAfter: azurestair.MillisOf(MaxWait)}
	}
	h.lastTicket++
	a.waiting = append(a.waiting, waiter{ticket: h.lastTicket, since: now})
	h.setUrgent(now)
	return Decision{Verdict: Waiting, Ticket: h.lastTicket}
}

func (a *account) refuseOverLimit(now time.Time) Decision {
	a.counts.overLimit++
	return Decision{Verdict: OverLimit, RetryAfter: azurestair.MillisOf(max(MinAskInterval, a.retryAt.Sub(now)))}
}

// Cancel ends the wait of a request. It returns false if the request no longer
// waits: an earlier Answer has returned its decision.
func (h *Holder) Cancel(name azurestair.WorkspaceName, t Ticket, now time.Time) (Decision, bool) {
	a := h.accounts[name]
	if a == nil {
		return Decision{}, false
	}
	i, ok := slices.BinarySearchFunc(a.waiting, t, func(w waiter, t Ticket) int { return cmp.Compare(w.ticket, t) })
	if !ok {
		return Decision{}, false
	}
	w := a.waiting[i]
	a.waiting = slices.Delete(a.waiting, i, i+1)
	a.missed++
	if a.answeredAt.After(w.since) && !a.retryAt.IsZero() {
		// The leader has answered meanwhile, but the tokens are used up.
		d := a.refuseOverLimit(now)
		d.Ticket = t
		return d, true
	}
	a.counts.unreachable++
	return Decision{Verdict: Unreachable, Ticket: t, RetryAfter: azurestair.MillisOf(AskInterval)}, true
}

// Refund returns the token of a request that no upstream has received. The
// token is lost if the leader may already have been told that it was used.
func (h *Holder) Refund(name azurestair.WorkspaceName, now time.Time) {
	a := h.accounts[name]
	if a == nil || a.counts.used <= a.reported || !now.Before(a.deadline) {
		return
	}
	a.counts.used--
	a.held++
}

func (h *Holder) activate(a *account) {
	if a.isActive {
		return
	}
	a.isActive = true
	h.active = append(h.active, a)
}

func (h *Holder) setUrgent(t time.Time) {
	if h.urgentAt.IsZero() || t.Before(h.urgentAt) {
		h.urgentAt = t
	}
}

// NextAsk returns when the next ask is due, or the zero time if none is: one is
// in flight, or the entry has no traffic of workspaces with a limit.
func (h *Holder) NextAsk() time.Time {
	if h.inFlight != nil || len(h.active) == 0 {
		return time.Time{}
	}
	due := h.sweptAt.Add(AskInterval)
	if !h.urgentAt.IsZero() && h.urgentAt.Before(due) {
		due = h.urgentAt
	}
	if earliest := h.sentAt.Add(h.minInterval()); due.Before(earliest) {
		return earliest
	}
	return due
}

// minInterval returns the minimum time between two asks. It doubles while no
// leader answers: hundreds of entries that each look for one every 25 ms kept
// control instances from electing one.
func (h *Holder) minInterval() time.Duration {
	return min(MinAskInterval<<min(h.failures, 8), maxAskInterval)
}

// Ask returns the next ask, which the caller sends at once to one instance. It
// must be followed by Answer or Abandon.
func (h *Holder) Ask(now time.Time) azurestair.QuotaAsk {
	h.sequence++
	h.sentAt, h.urgentAt = now, time.Time{}
	h.inFlight = h.selectAccounts(now)
	ask := azurestair.QuotaAsk{
		Holder: h.id, Incarnation: h.incarnation, Sequence: h.sequence, Term: h.term,
		Demands: make([]azurestair.QuotaDemand, len(h.inFlight)),
	}
	for i, a := range h.inFlight {
		ask.Demands[i] = a.demand(h.term, now)
	}
	return ask
}

// selectAccounts returns the accounts of the next ask: those with waiting
// requests first, then other urgent ones, those that lack tokens and, every
// AskInterval, those whose turn it is. If there are more than fit into an ask, the next one follows soon.
func (h *Holder) selectAccounts(now time.Time) []*account {
	sweep := !now.Before(h.sweptAt.Add(AskInterval))
	selected := make([]*account, 0, min(len(h.active), azurestair.MaxQuotaDemands))
	isComplete := true
	add := func(a *account) {
		if len(selected) == azurestair.MaxQuotaDemands {
			isComplete = false
			return
		}
		a.askedAt = now
		selected = append(selected, a)
	}
	for _, a := range h.active {
		if len(a.waiting) > 0 {
			add(a)
		}
	}
	for _, a := range h.active {
		if len(a.waiting) == 0 && (a.isUrgent() || a.lacksTokens() || (sweep && a.hasTurn(now))) {
			add(a)
		}
	}
	if len(selected) == 0 {
		// What made the ask due is over.
		for _, a := range h.active {
			add(a)
		}
	}
	if sweep && isComplete {
		h.sweptAt = now
	}
	return selected
}

// Abandon ends an ask that failed or was not answered in time. A late answer to
// it is ignored.
func (h *Holder) Abandon(seq azurestair.Sequence) {
	if h.inFlight == nil || seq != h.sequence {
		return
	}
	for _, a := range h.inFlight {
		if len(a.waiting) > 0 {
			h.setUrgent(h.sentAt)
		}
	}
	h.inFlight = nil
	h.failures++
}

// Answer processes an answer and returns the decisions on waiting requests. It
// ignores an answer that is not to the ask in flight, and abandons the ask if
// the answer can't be one of the leader's.
func (h *Holder) Answer(ans azurestair.QuotaAnswer, now time.Time) []Decision {
	if h.inFlight == nil || ans.Sequence != h.sequence {
		return nil
	}
	if len(ans.Grants) != len(h.inFlight) || ans.Term < h.term {
		h.Abandon(ans.Sequence)
		return nil
	}
	h.term, h.failures = ans.Term, 0
	var decisions []Decision
	idle := false
	for i, a := range h.inFlight {
		g := ans.Grants[i]
		a.answered, a.answeredTerm = ans.Sequence, ans.Term
		a.apply(g, h.sentAt, now)
		decisions = a.decide(g, now, decisions)
		if len(a.waiting) > 0 {
			h.setUrgent(now)
		}
		if a.missed > 0 {
			h.setUrgent(a.blockedUntil)
		}
		if a.scarce && a.counts.used > 0 {
			h.setUrgent(h.sentAt.Add(refillInterval))
		}
		a.isFinished = a.saidIdle && g.Granted == 0 && a.isEmpty()
		idle = idle || a.isFinished
	}
	h.inFlight = nil
	if idle {
		h.dropFinished()
	}
	return decisions
}

// dropFinished removes the accounts from asks of which the leader has been told
// that nothing is left. The next request adds them again.
func (h *Holder) dropFinished() {
	h.active = slices.DeleteFunc(h.active, func(a *account) bool {
		if a.isFinished {
			a.isActive, a.isFinished = false, false
			return true
		}
		return false
	})
}

// Retain forgets the workspaces that have no limit any more.
func (h *Holder) Retain(isLimited func(azurestair.WorkspaceName) bool) {
	for name, a := range h.accounts {
		if !a.isActive && !isLimited(name) {
			delete(h.accounts, name)
		}
	}
}

// decide distributes the tokens of an account over its waiting requests.
func (a *account) decide(g azurestair.QuotaGrant, now time.Time, decisions []Decision) []Decision {
	n := 0
	for ; n < len(a.waiting); n++ {
		t := a.waiting[n].ticket
		switch {
		case g.Unlimited:
			decisions = append(decisions, Decision{Verdict: Unlimited, Ticket: t})
		case a.take(now):
			decisions = append(decisions, Decision{Verdict: Admitted, Ticket: t})
		case g.OverLimit:
			d := a.refuseOverLimit(now)
			d.Ticket = t
			a.missed++
			decisions = append(decisions, d)
		default:
			a.waiting = slices.Delete(a.waiting, 0, n)
			return decisions
		}
	}
	a.waiting = a.waiting[:0]
	return decisions
}
