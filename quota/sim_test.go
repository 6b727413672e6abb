package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"azurestair.example/azurestair"
)

// simOptions describe a schedule.
type simOptions struct {
	entries  int
	limits   []Limit
	demand   []float64 // requests per second of each workspace
	duration time.Duration
	// faults draws losses, delays, cuts, kills, suspensions and changes of limits.
	faults  bool
	refunds float64 // fraction of the admitted requests
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

func (e simEvent) before(o simEvent) bool { return e.at < o.at || (e.at == o.at && e.seq < o.seq) }

// eventHeap is a binary heap. container/heap allocates for each event.
type eventHeap []simEvent

func (h *eventHeap) push(e simEvent) {
	*h = append(*h, e)
	l := *h
	for i := len(l) - 1; i > 0 && l[i].before(l[(i-1)/2]); i = (i - 1) / 2 {
		l[i], l[(i-1)/2] = l[(i-1)/2], l[i]
	}
}

func (h *eventHeap) pop() simEvent {
	l := *h
	top, n := l[0], len(l)-1
	l[0], l[n] = l[n], simEvent{}
	l = l[:n]
	*h = l
	for i := 0; ; {
		c := 2*i + 1
		if c >= n {
			return top
		}
		if c+1 < n && l[c+1].before(l[c]) {
			c++
		}
		if !l[c].before(l[i]) {
			return top
		}
		l[i], l[c] = l[c], l[i]
		i = c
	}
}

// simClock is a clock that runs at another rate than the time of the
// simulation.
type simClock struct {
	offset time.Duration
	rate   float64
}

func (c simClock) at(t time.Duration) time.Time {
	return start.Add(c.offset + time.Duration(float64(t)*c.rate))
}

// simEntry is an entry with its holder.
type simEntry struct {
	id          azurestair.InstanceID
	incarnation azurestair.Incarnation
	holder      *Holder
	clock       simClock
	// An entry does nothing until suspendedUntil, and no message of its passes
	// until cutUntil. A dead one gets no requests.
	suspendedUntil, cutUntil time.Duration
	dead                     bool
	armedAt                  time.Duration
	// underway are the grants in the answer to the ask underwaySequence.
	underway         []azurestair.Tokens
	underwaySequence azurestair.Sequence
	waiting          map[Ticket]*simRequest
}

// simRequest is one request and what became of it.
type simRequest struct {
	at        time.Duration
	workspace int
	decidedAt time.Duration
	verdict   Verdict
	refunded  bool
}

// simulation runs holders and issuers in virtual time.
type simulation struct {
	simOptions
	rng     *rand.Rand
	now     time.Duration
	events  eventHeap
	seq     int
	list    []*simEntry
	weights [][]float64 // of each workspace over the entries
	names   []azurestair.WorkspaceName
	rates   []float64 // times the usual demand

	issuer      *Issuer
	leaderClock simClock
	term        azurestair.Term
	// configured are the limits before any change.
	configured []Limit
	requests   []*simRequest
	changes    []time.Duration
	// observe is called with each ask and its answer; it may be nil.
	observe  func(azurestair.QuotaAsk, azurestair.QuotaAnswer)
	maxTotal []float64
	maxRate  []float64
	// err is the first violation of the bound on the tokens that exist.
	err error
}

func newSimulation(seed uint64, o simOptions) *simulation {
	s := &simulation{simOptions: o, configured: o.limits, rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range o.entries {
		e := &simEntry{id: azurestair.InstanceID("entry-" + strconv.Itoa(i))}
		s.list = append(s.list, e)
		s.startEntry(e)
	}
	for i, l := range o.limits {
		s.names = append(s.names, l.Workspace)
		s.rates = append(s.rates, 1)
		s.maxTotal = append(s.maxTotal, l.Total)
		s.maxRate = append(s.maxRate, float64(l.Rate))
		s.weights = append(s.weights, nil)
		s.shiftDemand(i)
		s.nextArrival(i)
	}
	s.startLeader()
	return s
}

func (s *simulation) clock() simClock {
	return simClock{offset: time.Duration(s.rng.Int64N(int64(time.Hour))), rate: 0.98 + 0.04*s.rng.Float64()}
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	s.events.push(simEvent{at: s.now + max(0, d), seq: s.seq, do: do})
}

func (s *simulation) run() {
	for len(s.events) > 0 {
		e := s.events.pop()
		if e.at > s.duration {
			return
		}
		s.now = e.at
		e.do()
	}
}

func (s *simulation) uniform(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Float64()*float64(to-from))
}

// startEntry starts a new run of an entry.
func (s *simulation) startEntry(e *simEntry) {
	e.incarnation++
	e.holder = NewHolder(e.id, e.incarnation)
	e.clock, e.dead, e.armedAt = s.clock(), false, -1
	e.waiting, e.underway = map[Ticket]*simRequest{}, nil
}

// killEntry ends a run of an entry, with its tokens and its waiting requests.
func (s *simulation) killEntry(e *simEntry) {
	e.dead = true
	for _, r := range e.waiting {
		r.verdict, r.decidedAt = Unreachable, s.now
	}
	e.waiting = map[Ticket]*simRequest{}
}

// onEntry runs do at the entry now or, if it is suspended, when it resumes. A
// later run of the entry does not see it.
func (s *simulation) onEntry(e *simEntry, do func()) {
	incarnation := e.incarnation
	if s.now < e.suspendedUntil {
		s.after(e.suspendedUntil-s.now, func() { s.onEntry(e, do) })
		return
	}
	if !e.dead && e.incarnation == incarnation {
		do()
	}
}

// shiftDemand gives a workspace new weights of the entries.
func (s *simulation) shiftDemand(w int) {
	weights, sum := make([]float64, len(s.list)), 0.0
	for i := range weights {
		weights[i] = 0.2 + s.rng.Float64()
		sum += weights[i]
	}
	for i := range weights {
		weights[i] /= sum
	}
	s.weights[w] = weights
}

func (s *simulation) nextArrival(w int) {
	gap := s.rng.ExpFloat64() / (s.demand[w] * s.rates[w])
	s.after(time.Duration(gap*float64(time.Second)), func() {
		s.arrive(w)
		s.nextArrival(w)
	})
}

// pickEntry draws the entry of a request. Callers avoid entries that are dead
// or suspended.
func (s *simulation) pickEntry(w int) *simEntry {
	for range 8 {
		x := s.rng.Float64()
		for i, e := range s.list {
			if x -= s.weights[w][i]; x < 0 && !e.dead && s.now >= e.suspendedUntil {
				return e
			}
		}
	}
	return nil
}

func (s *simulation) arrive(w int) {
	e := s.pickEntry(w)
	if e == nil {
		return
	}
	r := &simRequest{at: s.now, workspace: w}
	s.requests = append(s.requests, r)
	d := e.holder.Take(s.names[w], e.clock.at(s.now))
	if d.Verdict != Waiting {
		s.decide(e, r, d)
		s.arm(e)
		return
	}
	e.waiting[d.Ticket] = r
	s.arm(e)
	incarnation := e.incarnation
	s.after(MaxWait, func() {
		s.onEntry(e, func() {
			if e.incarnation != incarnation {
				return
			}
			if final, ok := e.holder.Cancel(s.names[w], d.Ticket, e.clock.at(s.now)); ok {
				delete(e.waiting, d.Ticket)
				s.decide(e, r, final)
			}
		})
	})
}

func (s *simulation) decide(e *simEntry, r *simRequest, d Decision) {
	r.verdict, r.decidedAt = d.Verdict, s.now
	if d.Verdict != Admitted || s.rng.Float64() >= s.refunds {
		return
	}
	// No upstream gets the request.
	r.refunded = true
	incarnation := e.incarnation
	s.after(s.uniform(0, 300*time.Millisecond), func() {
		s.onEntry(e, func() {
			if e.incarnation == incarnation {
				e.holder.Refund(s.names[r.workspace], e.clock.at(s.now))
				s.checkExisting()
			}
		})
	})
}

// arm schedules the next ask of an entry.
func (s *simulation) arm(e *simEntry) {
	due := e.holder.NextAsk()
	if due.IsZero() {
		return
	}
	wait := due.Sub(e.clock.at(s.now))
	at := s.now + max(0, time.Duration(float64(wait)/e.clock.rate)) + time.Microsecond
	if e.armedAt > s.now && e.armedAt <= at {
		return
	}
	e.armedAt = at
	incarnation := e.incarnation
	s.after(at-s.now, func() {
		s.onEntry(e, func() {
			due := e.holder.NextAsk()
			if e.incarnation != incarnation || due.IsZero() {
				return
			}
			if e.clock.at(s.now).Before(due) {
				s.arm(e)
				return
			}
			s.ask(e)
		})
	})
}

// callTimeout is how long an entry waits for an answer.
const callTimeout = 400 * time.Millisecond

func (s *simulation) ask(e *simEntry) {
	ask := e.holder.Ask(e.clock.at(s.now))
	incarnation := e.incarnation
	abandon := func() {
		s.onEntry(e, func() {
			if e.incarnation == incarnation {
				e.holder.Abandon(ask.Sequence)
				s.arm(e)
			}
		})
	}
	s.after(callTimeout, abandon)
	copies := 1
	if s.faults && s.rng.Float64() < 0.01 {
		copies = 2
	}
	for range copies {
		s.send(e, func() { s.deliver(e, incarnation, ask) })
	}
}

// send delivers a message between an entry and the leader, unless it is lost.
func (s *simulation) send(e *simEntry, deliver func()) {
	delay := s.uniform(time.Millisecond, 25*time.Millisecond)
	if s.faults {
		switch x := s.rng.Float64(); {
		case x < 0.05:
			return
		case x < 0.15:
			delay = s.uniform(0, 1500*time.Millisecond)
		}
	}
	if s.now < e.cutUntil {
		return
	}
	s.after(delay, func() {
		if s.now >= e.cutUntil {
			deliver()
		}
	})
}

// deliver hands an ask to the leader. A late one may reach a later leader than
// the one that it was sent to.
func (s *simulation) deliver(e *simEntry, incarnation azurestair.Incarnation, ask azurestair.QuotaAsk) {
	if s.issuer == nil {
		return
	}
	answer, err := s.issuer.Answer(ask, s.leaderClock.at(s.now))
	if err != nil {
		return
	}
	if s.observe != nil {
		s.observe(ask, answer)
	}
	if e.incarnation == incarnation {
		e.underway, e.underwaySequence = make([]azurestair.Tokens, len(s.names)), ask.Sequence
		for i, d := range ask.Demands {
			e.underway[slices.Index(s.names, d.Workspace)] = answer.Grants[i].Granted
		}
	}
	s.checkExisting()
	s.send(e, func() {
		s.onEntry(e, func() {
			if e.incarnation == incarnation {
				s.answer(e, answer)
			}
		})
	})
}

func (s *simulation) answer(e *simEntry, answer azurestair.QuotaAnswer) {
	for _, d := range e.holder.Answer(answer, e.clock.at(s.now)) {
		r := e.waiting[d.Ticket]
		delete(e.waiting, d.Ticket)
		s.decide(e, r, d)
	}
	s.checkExisting()
	s.arm(e)
}

// existing returns the tokens of a workspace that exist: those of the leader,
// those that entries may still use, and those in answers that may arrive.
func (s *simulation) existing(w int) float64 {
	sum := 0.0
	if s.issuer != nil {
		if b, ok := s.issuer.buckets[s.names[w]]; ok {
			sum += b.level
		}
	}
	for _, e := range s.list {
		if e.dead {
			continue
		}
		if a, ok := e.holder.accounts[s.names[w]]; ok && e.clock.at(s.now).Before(a.deadline) {
			sum += float64(a.held)
		}
		if e.underway != nil && e.holder.inFlight != nil && e.holder.sequence == e.underwaySequence &&
			e.clock.at(s.now).Before(e.holder.sentAt.Add(LeaseTime)) {
			sum += float64(e.underway[w])
		}
	}
	return sum
}

// checkExisting records an error if more tokens exist than 5/8 of the total and
// an eighth for each change of leader within the lease time.
func (s *simulation) checkExisting() {
	if s.err != nil {
		return
	}
	share := capacityShare
	for _, c := range s.changes[1:] {
		if s.now-c <= leaseSpan {
			share += allowanceShare
		}
	}
	for w, name := range s.names {
		if n, bound := s.existing(w), s.maxTotal[w]*share; n > bound+1e-6 {
			s.err = fmt.Errorf("%s at %v: %.2f tokens exist, allowed %.2f", name, s.now, n, bound)
		}
	}
}

func (s *simulation) startLeader() {
	s.term++
	s.leaderClock = s.clock()
	s.issuer = NewIssuer(s.term, s.leaderClock.at(s.now))
	s.issuer.SetLimits(s.limits, s.leaderClock.at(s.now))
	s.changes = append(s.changes, s.now)
}

func (s *simulation) loseLeader(gap time.Duration) {
	s.issuer = nil
	s.after(gap, s.startLeader)
}
