package admission

import (
	"math/rand/v2"
	"time"

	"azurestair.example/azurestair"
)

// Options configures an Admitter. Zero fields are replaced by defaults.
type Options struct {
	// Floors is the guaranteed share of the slots of each rank.
	Floors [azurestair.NumRanks]azurestair.Percent
	// QueueLimit is the maximum number of queued requests of each rank.
	QueueLimit int
	// Buckets is the number of buckets into which the callers of a rank are
	// hashed.
	Buckets int
	// ServiceTime is the service time that is assumed until one has been
	// measured.
	ServiceTime time.Duration
	// ResaltInterval is the interval at which the salt of the caller hash
	// changes.
	ResaltInterval time.Duration
	// Rand generates the salts. Without it the salts are predictable, and a
	// caller could choose names that hash to the bucket of another caller.
	Rand azurestair.Rand
}

// Default values of Options.
const (
	// defaultBuckets gives a probability of 1 in 256 that a caller shares a
	// bucket with a given flooding caller.
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
// After each call, no queued request can be started: a request is queued only
// while all slots that its rank may use are in use.
type Admitter struct {
	options      Options
	allocation   slotAllocation
	scheduler    creditScheduler
	queues       [azurestair.NumRanks]*queue
	inUse        [azurestair.NumRanks]int
	serviceTimes [azurestair.NumRanks]serviceTimeEstimator
	counts       [azurestair.NumRanks]RankCounts
	queued       map[azurestair.AdmissionID]*queuedRequest
	freeList     []*queuedRequest
	salts        hashSalts
	resaltAt     time.Time
	// events collects new events while the caller may still read the slice
	// returned by the last call of Events, which becomes spareEvents.
	events, spareEvents []azurestair.AdmissionEvent
}

var _ azurestair.Admitter = (*Admitter)(nil)

// New returns an Admitter with zero slots.
func New(o Options) *Admitter {
	a := &Admitter{options: o.withDefaults(), queued: map[azurestair.AdmissionID]*queuedRequest{}}
	for r := range a.queues {
		a.queues[r] = newQueue(a.options.Buckets)
		a.serviceTimes[r].mean = float64(a.options.ServiceTime)
	}
	a.salts.rotate(a.options.Rand)
	return a
}

// Configure applies the rank floors and the queue limit of the fleet
// configuration. Queued requests that exceed a lowered queue limit are refused.
func (a *Admitter) Configure(d azurestair.Defaults, now time.Time) {
	d = d.WithDefaults()
	a.options.Floors, a.options.QueueLimit = d.RankFloors, d.QueueLimit
	for _, q := range a.queues {
		for q.waiting > a.options.QueueLimit {
			a.refuse(q.byLength.items[0].tail, azurestair.ReasonQueueFull)
		}
	}
	a.SetSlots(azurestair.Slots(a.allocation.slots), now)
}

// SetSlots sets the maximum number of requests in progress. If more are in
// progress, they continue, and new requests start once the number has fallen
// below the limit.
func (a *Admitter) SetSlots(n azurestair.Slots, now time.Time) {
	a.allocation = allocateSlots(max(int(n), 0), a.options.Floors)
	a.dispatch(now)
}

// Offer admits, queues or refuses a request. Offering an id that is already
// queued has no effect.
func (a *Admitter) Offer(id azurestair.AdmissionID, w azurestair.RequestInfo, now time.Time) (azurestair.Admission, azurestair.Reason) {
	if w.Rank.Validate() != nil {
		return azurestair.Refused, azurestair.ReasonBadRequest
	}
	if _, ok := a.queued[id]; ok {
		return azurestair.Queued, azurestair.ReasonNone
	}
	a.rotateSalt(now)
	a.dispatch(now)
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
	if a.willMissDeadline(w, b, now) {
		return a.refuseOffer(w.Rank, azurestair.ReasonDeadline)
	}
	if reason := a.makeRoom(q, b); reason != azurestair.ReasonNone {
		return a.refuseOffer(w.Rank, reason)
	}
	a.enqueue(id, w, b, now)
	return azurestair.Queued, azurestair.ReasonNone
}

// Release ends an admitted request. It does nothing if no request of the rank
// is in progress.
func (a *Admitter) Release(w azurestair.RequestInfo, now time.Time) {
	if w.Rank.Validate() != nil || a.inUse[w.Rank] == 0 {
		return
	}
	q := a.queues[w.Rank]
	n := len(q.buckets)
	q.finish(a.salts.index(w.Caller, n), a.salts.previousIndex(w.Caller, n))
	a.inUse[w.Rank]--
	a.serviceTimes[w.Rank].addInUse(-1, now)
	a.dispatch(now)
}

// Cancel removes a queued request. A request that has been admitted, even if
// its event has not been collected yet, must be released instead.
func (a *Admitter) Cancel(id azurestair.AdmissionID, _ time.Time) {
	req, ok := a.queued[id]
	if !ok {
		return
	}
	a.counts[req.rank].Cancelled++
	a.removeQueued(req)
}

// Events returns the decisions on queued requests since the last call. The
// slice is valid until the next call.
func (a *Admitter) Events(now time.Time) []azurestair.AdmissionEvent {
	a.dispatch(now)
	out := a.events
	a.events, a.spareEvents = a.spareEvents[:0], out
	return out
}

// NextDeadline returns the earliest time at which a queued request must be
// refused, or the zero time if there is none.
func (a *Admitter) NextDeadline() time.Time {
	var first time.Time
	for _, q := range a.queues {
		if q.expiry.Len() == 0 {
			continue
		}
		if t := q.expiry.items[0].refuseAt; first.IsZero() || t.Before(first) {
			first = t
		}
	}
	return first
}

// dispatch refuses the queued requests that have expired and starts those that
// can start.
func (a *Admitter) dispatch(now time.Time) {
	for _, q := range a.queues {
		for req := q.nextExpired(now); req != nil; req = q.nextExpired(now) {
			a.refuse(req, azurestair.ReasonDeadline)
		}
	}
	for {
		r, ok := a.nextRank()
		if !ok {
			return
		}
		req := a.queues[r].dequeue()
		a.start(r, now)
		a.events = append(a.events, azurestair.AdmissionEvent{ID: req.id, Admission: azurestair.Admitted})
		a.recycle(req)
	}
}

// nextRank returns the rank that gets the next free slot. It returns false if
// no request can start.
func (a *Admitter) nextRank() (azurestair.Rank, bool) {
	if len(a.queued) == 0 || a.totalInUse() >= a.allocation.slots {
		return 0, false
	}
	if a.allocation.slots < azurestair.NumRanks {
		return a.scheduler.nextRank(a.ranksWaiting(), a.options.Floors), true
	}
	if r, ok := a.mostUrgent(func(r azurestair.Rank) bool { return a.inUse[r] < a.allocation.floors[r] }); ok {
		return r, true
	}
	return a.mostUrgent(func(azurestair.Rank) bool { return true })
}

// mostUrgent returns the most urgent rank that satisfies ok and has a queued
// request that can start.
func (a *Admitter) mostUrgent(ok func(azurestair.Rank) bool) (azurestair.Rank, bool) {
	for i := range azurestair.Rank(azurestair.NumRanks) {
		r := azurestair.RankUrgent - i
		if a.queues[r].waiting > 0 && a.canStart(r) && ok(r) {
			return r, true
		}
	}
	return 0, false
}

func (a *Admitter) ranksWaiting() [azurestair.NumRanks]bool {
	var waiting [azurestair.NumRanks]bool
	for r, q := range a.queues {
		waiting[r] = q.waiting > 0
	}
	return waiting
}

// canStart reports whether a slot that the rank may use is free.
func (a *Admitter) canStart(r azurestair.Rank) bool {
	total := a.totalInUse()
	if total >= a.allocation.slots {
		return false
	}
	lower := total - a.inUse[azurestair.RankUrgent]
	return r == azurestair.RankUrgent || lower < a.allocation.slots-a.allocation.reserve
}

func (a *Admitter) totalInUse() int {
	sum := 0
	for _, n := range a.inUse {
		sum += n
	}
	return sum
}

func (a *Admitter) start(r azurestair.Rank, now time.Time) {
	a.inUse[r]++
	a.counts[r].Admitted++
	a.serviceTimes[r].addInUse(1, now)
}

// willMissDeadline reports whether the request would miss its deadline even if
// its rank could use all slots.
func (a *Admitter) willMissDeadline(w azurestair.RequestInfo, b *bucket, now time.Time) bool {
	if w.Deadline.IsZero() {
		return false
	}
	ahead := a.queues[w.Rank].requestsAhead(b)
	wait := time.Duration(float64(ahead) * a.serviceTimes[w.Rank].mean / float64(max(a.allocation.slots, 1)))
	return now.Add(wait).After(a.refuseAt(w, now))
}

// refuseAt returns the time at which too little time is left to serve the
// request. At least half of the remaining time may be spent waiting; otherwise
// an overestimated service time, for example after a stall, would refuse all
// queued requests.
func (a *Admitter) refuseAt(w azurestair.RequestInfo, now time.Time) time.Time {
	if w.Deadline.IsZero() {
		return time.Time{}
	}
	return w.Deadline.Add(-min(a.serviceTimes[w.Rank].withMargin(), w.Deadline.Sub(now)/2))
}

// makeRoom ensures that the queue has room for a new request in the bucket, or
// returns the reason for refusing it. If the bucket is shorter than the longest
// bucket, the newest request of the longest bucket is refused instead.
func (a *Admitter) makeRoom(q *queue, b *bucket) azurestair.Reason {
	limit := a.options.QueueLimit
	if q.waiting < limit {
		return azurestair.ReasonNone
	}
	longest := q.byLength.items[0]
	if b.waiting+1 < longest.waiting {
		a.refuse(longest.tail, azurestair.ReasonCallerShare)
		return azurestair.ReasonNone
	}
	if q.activeBuckets() > 1 && b.waiting >= limit/q.activeBuckets() {
		return azurestair.ReasonCallerShare
	}
	return azurestair.ReasonQueueFull
}

func (a *Admitter) enqueue(id azurestair.AdmissionID, w azurestair.RequestInfo, b *bucket, now time.Time) {
	req := a.newRequest()
	*req = queuedRequest{id: id, caller: w.Caller, rank: w.Rank, refuseAt: a.refuseAt(w, now)}
	a.queued[id] = req
	a.queues[w.Rank].enqueue(req, b)
}

// refuseOffer counts and returns the refusal of a new request.
func (a *Admitter) refuseOffer(r azurestair.Rank, reason azurestair.Reason) (azurestair.Admission, azurestair.Reason) {
	a.counts[r].countRefusal(reason)
	return azurestair.Refused, reason
}

// refuse removes a queued request and records the refusal as an event.
func (a *Admitter) refuse(req *queuedRequest, reason azurestair.Reason) {
	a.counts[req.rank].countRefusal(reason)
	a.events = append(a.events, azurestair.AdmissionEvent{ID: req.id, Admission: azurestair.Refused, Reason: reason})
	a.removeQueued(req)
}

// removeQueued removes a queued request without recording an event.
func (a *Admitter) removeQueued(req *queuedRequest) {
	a.queues[req.rank].remove(req)
	a.recycle(req)
}

// recycle adds a request that has left its queue to the free list.
func (a *Admitter) recycle(req *queuedRequest) {
	delete(a.queued, req.id)
	*req = queuedRequest{}
	a.freeList = append(a.freeList, req)
}

func (a *Admitter) newRequest() *queuedRequest {
	n := len(a.freeList)
	if n == 0 {
		return &queuedRequest{}
	}
	req := a.freeList[n-1]
	a.freeList = a.freeList[:n-1]
	return req
}

// rotateSalt changes the salt and rehashes the queued requests when the
// interval has elapsed.
func (a *Admitter) rotateSalt(now time.Time) {
	if now.Before(a.resaltAt) {
		return
	}
	first := a.resaltAt.IsZero()
	a.resaltAt = now.Add(a.options.ResaltInterval)
	if first {
		return
	}
	a.salts.rotate(a.options.Rand)
	for _, q := range a.queues {
		q.rehash(func(c azurestair.CallerID) int { return a.salts.index(c, len(q.buckets)) })
	}
}
