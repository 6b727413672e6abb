package admission

import (
	"math/rand/v2"
	"time"

	"azurestair.example/azurestair"
)

// Options configures an Admitter; zero fields take built-in values.
type Options struct {
	// Floors gives each rank its guaranteed share of the slots.
	Floors [azurestair.NumRanks]azurestair.Percent
	// QueueLimit bounds the waiting requests of each rank.
	QueueLimit int
	// Buckets is the number of buckets that share the capacity of a rank.
	Buckets int
	// ServiceTime is the expected service time before one has been measured.
	ServiceTime time.Duration
	// ResaltInterval is the time after which callers are hashed anew.
	ResaltInterval time.Duration
	// Rand gives the salts. Without it they are predictable, and a caller could
	// choose names that share a bucket with another caller.
	Rand azurestair.Rand
}

// Built-in values of Options.
const (
	// defaultBuckets makes it unlikely (1 in 256) that a caller shares a bucket with a flooding one.
	defaultBuckets        = 256
	defaultServiceTime    = 20 * time.Millisecond
	defaultResaltInterval = time.Minute
)

func (o Options) withDefaults() Options {
	d := azurestair.Defaults{RankFloors: o.Floors, QueueLimit: o.QueueLimit}.WithDefaults()
	o.Floors, o.QueueLimit = d.RankFloors, d.QueueLimit
	if o.Buckets <= 0 {
		o.Buckets = defaultBuckets
	}
	if o.ServiceTime <= 0 {
		o.ServiceTime = defaultServiceTime
	}
	if o.ResaltInterval <= 0 {
		o.ResaltInterval = defaultResaltInterval
	}
	if o.Rand == nil {
		o.Rand = rand.NewPCG(0, 0)
	}
	return o
}

// Admitter implements azurestair.Admitter. It is not safe for concurrent use.
//
// After each call, no waiting request could start: a request waits only while
// all slots that its rank may use are taken.
type Admitter struct {
	options  Options
	shares   shares
	turns    turns
	queues   [azurestair.NumRanks]*queue
	inUse    [azurestair.NumRanks]int
	service  [azurestair.NumRanks]estimate
	counts   [azurestair.NumRanks]RankCounts
	waiting  map[azurestair.WorkID]*item
	free     []*item
	salts    salts
	resaltAt time.Time
	// events is filled while spare may still be read by the caller.
	events, spare []azurestair.AdmitEvent
}

var _ azurestair.Admitter = (*Admitter)(nil)

// New returns an Admitter without slots.
func New(o Options) *Admitter {
	a := &Admitter{options: o.withDefaults(), waiting: map[azurestair.WorkID]*item{}}
	for r := range a.queues {
		a.queues[r] = newQueue(a.options.Buckets)
		a.service[r].mean = float64(a.options.ServiceTime)
	}
	a.salts.renew(a.options.Rand)
	return a
}

// Configure takes over floors and queue limit from the fleet configuration.
// Requests beyond a lower queue limit are refused.
func (a *Admitter) Configure(d azurestair.Defaults, now time.Time) {
	d = d.WithDefaults()
	a.options.Floors, a.options.QueueLimit = d.RankFloors, d.QueueLimit
	for _, q := range a.queues {
		for q.waiting > a.options.QueueLimit {
			a.refuse(q.longest.list[0].tail, azurestair.ReasonQueueFull)
		}
	}
	a.SetSlots(azurestair.Slots(a.shares.slots), now)
}

// SetSlots sets how many requests may be in progress at once. Work in progress
// beyond a smaller number goes on; new work starts when it has ended.
func (a *Admitter) SetSlots(n azurestair.Slots, now time.Time) {
	a.shares = divide(max(int(n), 0), a.options.Floors)
	a.advance(now)
}

// Offer asks to start work. An id that already waits stays queued.
func (a *Admitter) Offer(id azurestair.WorkID, w azurestair.Work, now time.Time) (azurestair.Admission, azurestair.Reason) {
	if w.Rank.Validate() != nil {
		return azurestair.Refused, azurestair.ReasonBadRequest
	}
	if _, ok := a.waiting[id]; ok {
		return azurestair.Queued, azurestair.ReasonNone
	}
	a.resalt(now)
	a.advance(now)
	a.counts[w.Rank].Offered++
	if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
		return a.refuseOffer(w.Rank, azurestair.ReasonDeadline)
	}
	q := a.queues[w.Rank]
	b := &q.buckets[a.salts.index(w.Caller, len(q.buckets))]
	if q.waiting == 0 && a.canStart(w.Rank) {
		q.start(b)
		a.start(w.Rank, now)
		return azurestair.Admitted, azurestair.ReasonNone
	}
	if a.isTooLate(w, b, now) {
		return a.refuseOffer(w.Rank, azurestair.ReasonDeadline)
	}
	if reason := a.makeRoom(q, b); reason != azurestair.ReasonNone {
		return a.refuseOffer(w.Rank, reason)
	}
	a.enqueue(id, w, b, now)
	return azurestair.Queued, azurestair.ReasonNone
}

// Release ends admitted work. A release without work in progress is ignored.
func (a *Admitter) Release(w azurestair.Work, now time.Time) {
	if w.Rank.Validate() != nil || a.inUse[w.Rank] == 0 {
		return
	}
	q := a.queues[w.Rank]
	n := len(q.buckets)
	q.finish(a.salts.index(w.Caller, n), a.salts.oldIndex(w.Caller, n))
	a.inUse[w.Rank]--
	a.service[w.Rank].change(-1, now)
	a.advance(now)
}

// Cancel withdraws queued work. Work that has been admitted, even if the event
// has not been collected, must be released instead.
func (a *Admitter) Cancel(id azurestair.WorkID, _ time.Time) {
	it, ok := a.waiting[id]
	if !ok {
		return
	}
	a.counts[it.rank].Cancelled++
	a.drop(it)
}

// Events returns what happened to queued work since the last call; the slice
// is valid until the next call.
func (a *Admitter) Events(now time.Time) []azurestair.AdmitEvent {
	a.advance(now)
	out := a.events
	a.events, a.spare = a.spare[:0], out
	return out
}

// NextDeadline returns when the next queued request must be refused; zero if none.
func (a *Admitter) NextDeadline() time.Time {
	var first time.Time
	for _, q := range a.queues {
		if q.expiry.Len() == 0 {
			continue
		}
		if t := q.expiry.list[0].refuseAt; first.IsZero() || t.Before(first) {
			first = t
		}
	}
	return first
}

// advance refuses what has run out of time and starts what can start.
func (a *Admitter) advance(now time.Time) {
	for _, q := range a.queues {
		for it := q.due(now); it != nil; it = q.due(now) {
			a.refuse(it, azurestair.ReasonDeadline)
		}
	}
	for {
		r, ok := a.nextRank()
		if !ok {
			return
		}
		it := a.queues[r].next()
		a.start(r, now)
		a.events = append(a.events, azurestair.AdmitEvent{ID: it.id, Admission: azurestair.Admitted})
		a.forget(it)
	}
}

// nextRank returns the rank that gets the next free slot.
func (a *Admitter) nextRank() (azurestair.Rank, bool) {
	if len(a.waiting) == 0 || a.total() >= a.shares.slots {
		return 0, false
	}
	if a.shares.slots < azurestair.NumRanks {
		return a.turns.next(a.waitingRanks(), a.options.Floors), true
	}
	if r, ok := a.mostUrgent(func(r azurestair.Rank) bool { return a.inUse[r] < a.shares.floors[r] }); ok {
		return r, true
	}
	return a.mostUrgent(func(azurestair.Rank) bool { return true })
}

// mostUrgent returns the most urgent rank with work that can start and for which ok holds.
func (a *Admitter) mostUrgent(ok func(azurestair.Rank) bool) (azurestair.Rank, bool) {
	for i := range azurestair.Rank(azurestair.NumRanks) {
		r := azurestair.RankUrgent - i
		if a.queues[r].waiting > 0 && a.canStart(r) && ok(r) {
			return r, true
		}
	}
	return 0, false
}

func (a *Admitter) waitingRanks() [azurestair.NumRanks]bool {
	var waiting [azurestair.NumRanks]bool
	for r, q := range a.queues {
		waiting[r] = q.waiting > 0
	}
	return waiting
}

// canStart reports whether a slot is free that the rank may use.
func (a *Admitter) canStart(r azurestair.Rank) bool {
	total := a.total()
	if total >= a.shares.slots {
		return false
	}
	lower := total - a.inUse[azurestair.RankUrgent]
	return r == azurestair.RankUrgent || lower < a.shares.slots-a.shares.reserve
}

func (a *Admitter) total() int {
	sum := 0
	for _, n := range a.inUse {
		sum += n
	}
	return sum
}

func (a *Admitter) start(r azurestair.Rank, now time.Time) {
	a.inUse[r]++
	a.counts[r].Admitted++
	a.service[r].change(1, now)
}

// isTooLate reports whether the work would miss its deadline even if its rank
// got all slots from now on.
func (a *Admitter) isTooLate(w azurestair.Work, b *bucket, now time.Time) bool {
	if w.Deadline.IsZero() {
		return false
	}
	ahead := a.queues[w.Rank].ahead(b)
	wait := time.Duration(float64(ahead) * a.service[w.Rank].mean / float64(max(a.shares.slots, 1)))
	return now.Add(wait).After(a.refuseAt(w, now))
}

// refuseAt returns when too little time is left for the work. At least half of
// its time is left for waiting, so that a service time that was overestimated,
// for example after a stall, cannot refuse all queued work.
func (a *Admitter) refuseAt(w azurestair.Work, now time.Time) time.Time {
	if w.Deadline.IsZero() {
		return time.Time{}
	}
	return w.Deadline.Add(-min(a.service[w.Rank].expected(), w.Deadline.Sub(now)/2))
}

// makeRoom ensures that the queue has room for a newcomer of the bucket, or
// returns why it has not. A bucket shorter than the longest one displaces the
// newest request of the longest.
func (a *Admitter) makeRoom(q *queue, b *bucket) azurestair.Reason {
	limit := a.options.QueueLimit
	if q.waiting < limit {
		return azurestair.ReasonNone
	}
	longest := q.longest.list[0]
	if b.waiting+1 < longest.waiting {
		a.refuse(longest.tail, azurestair.ReasonCallerShare)
		return azurestair.ReasonNone
	}
	if q.active() > 1 && b.waiting >= limit/q.active() {
		return azurestair.ReasonCallerShare
	}
	return azurestair.ReasonQueueFull
}

func (a *Admitter) enqueue(id azurestair.WorkID, w azurestair.Work, b *bucket, now time.Time) {
	it := a.newItem()
	*it = item{id: id, caller: w.Caller, rank: w.Rank, refuseAt: a.refuseAt(w, now)}
	a.waiting[id] = it
	a.queues[w.Rank].add(it, b)
}

// refuseOffer counts the refusal of a newcomer.
func (a *Admitter) refuseOffer(r azurestair.Rank, reason azurestair.Reason) (azurestair.Admission, azurestair.Reason) {
	a.counts[r].refused(reason)
	return azurestair.Refused, reason
}

// refuse ends the wait of a queued request.
func (a *Admitter) refuse(it *item, reason azurestair.Reason) {
	a.counts[it.rank].refused(reason)
	a.events = append(a.events, azurestair.AdmitEvent{ID: it.id, Admission: azurestair.Refused, Reason: reason})
	a.drop(it)
}

// drop removes a queued request without an event.
func (a *Admitter) drop(it *item) {
	a.queues[it.rank].remove(it)
	a.forget(it)
}

// forget keeps an item that has left its queue for reuse.
func (a *Admitter) forget(it *item) {
	delete(a.waiting, it.id)
	*it = item{}
	a.free = append(a.free, it)
}

func (a *Admitter) newItem() *item {
	n := len(a.free)
	if n == 0 {
		return &item{}
	}
	it := a.free[n-1]
	a.free = a.free[:n-1]
	return it
}

// resalt hashes callers anew when the interval has passed.
func (a *Admitter) resalt(now time.Time) {
	if now.Before(a.resaltAt) {
		return
	}
	first := a.resaltAt.IsZero()
	a.resaltAt = now.Add(a.options.ResaltInterval)
	if first {
		return
	}
	a.salts.renew(a.options.Rand)
	for _, q := range a.queues {
		q.rehash(func(c azurestair.CallerID) int { return a.salts.index(c, len(q.buckets)) })
	}
}
