package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// item is a queued request.
type item struct {
	id     azurestair.WorkID
	caller azurestair.CallerID
	rank   azurestair.Rank
	// refuseAt is when too little time is left; zero for work without a deadline.
	refuseAt   time.Time
	order      uint64
	bucket     *bucket
	prev, next *item
	expiry     int
}

// bucket holds the requests of the callers that hash to it.
type bucket struct {
	head, tail *item
	waiting    int
	inUse      int
	// turn orders buckets by when they were last served or last became non-empty.
	turn     uint64
	byTurn   int
	byLength int
}

// queue holds the waiting requests of one rank.
type queue struct {
	buckets []bucket
	byTurn  indexHeap[*bucket]
	longest indexHeap[*bucket]
	expiry  indexHeap[*item]
	waiting int
	turn    uint64
	order   uint64
	// before counts work by the buckets of the previous salt; it was admitted
	// before the salt changed and may still be in progress.
	before []int
}

func newQueue(buckets int) *queue {
	q := &queue{buckets: make([]bucket, buckets), before: make([]int, buckets)}
	q.byTurn.less = servedBefore
	q.byTurn.place = func(b *bucket, i int) { b.byTurn = i }
	q.longest.less = func(a, b *bucket) bool { return a.waiting > b.waiting }
	q.longest.place = func(b *bucket, i int) { b.byLength = i }
	q.expiry.less = func(a, b *item) bool { return a.refuseAt.Before(b.refuseAt) }
	q.expiry.place = func(it *item, i int) { it.expiry = i }
	return q
}

func servedBefore(a, b *bucket) bool {
	if a.inUse != b.inUse {
		return a.inUse < b.inUse
	}
	return a.turn < b.turn
}

// active returns the number of buckets with waiting requests.
func (q *queue) active() int { return q.byTurn.Len() }

// add appends the request to the bucket.
func (q *queue) add(it *item, b *bucket) {
	q.order++
	it.order = q.order
	it.expiry = notInHeap
	q.append(it, b)
	if !it.refuseAt.IsZero() {
		heap.Push(&q.expiry, it)
	}
}

func (q *queue) append(it *item, b *bucket) {
	it.bucket, it.prev, it.next = b, b.tail, nil
	if b.tail != nil {
		b.tail.next = it
	} else {
		b.head = it
	}
	b.tail = it
	b.waiting++
	q.waiting++
	if b.waiting > 1 {
		heap.Fix(&q.longest, b.byLength)
		return
	}
	q.takeTurn(b)
	heap.Push(&q.byTurn, b)
	heap.Push(&q.longest, b)
}

// takeTurn places the bucket behind all others of its kind.
func (q *queue) takeTurn(b *bucket) {
	q.turn++
	b.turn = q.turn
}

// remove takes a waiting request out of the queue.
func (q *queue) remove(it *item) {
	b := it.bucket
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		b.head = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		b.tail = it.prev
	}
	b.waiting--
	q.waiting--
	if it.expiry != notInHeap {
		heap.Remove(&q.expiry, it.expiry)
	}
	if b.waiting > 0 {
		heap.Fix(&q.longest, b.byLength)
		return
	}
	heap.Remove(&q.byTurn, b.byTurn)
	heap.Remove(&q.longest, b.byLength)
}

// next removes the request that is served next; the queue must not be empty.
func (q *queue) next() *item {
	b := q.byTurn.list[0]
	it := b.head
	q.remove(it)
	q.takeTurn(b)
	q.start(b)
	return it
}

// start counts a request of the bucket as in progress.
func (q *queue) start(b *bucket) { q.setInUse(b, b.inUse+1) }

// finish ends a request in progress. i and old are the indices of its bucket
// under the current and the previous salt.
func (q *queue) finish(i, old int) {
	if q.before[old] > 0 {
		q.before[old]--
		return
	}
	b := &q.buckets[i]
	q.setInUse(b, max(b.inUse-1, 0))
}

func (q *queue) setInUse(b *bucket, n int) {
	b.inUse = n
	if b.waiting > 0 {
		heap.Fix(&q.byTurn, b.byTurn)
	}
}

// due returns a request whose time to be refused has come, or nil.
func (q *queue) due(now time.Time) *item {
	if q.expiry.Len() == 0 || now.Before(q.expiry.list[0].refuseAt) {
		return nil
	}
	return q.expiry.list[0]
}

// ahead estimates how many requests are served before a newcomer in the bucket:
// one of each active bucket for each request that already waits in its own.
func (q *queue) ahead(b *bucket) int {
	return min(q.waiting, (b.waiting+1)*q.active())
}

// rehash moves all waiting requests to the buckets that index gives.
func (q *queue) rehash(index func(azurestair.CallerID) int) {
	items := make([]*item, 0, q.waiting)
	for i := range q.buckets {
		b := &q.buckets[i]
		for it := b.head; it != nil; it = it.next {
			items = append(items, it)
		}
		q.before[i] = b.inUse
		*b = bucket{}
	}
	slices.SortFunc(items, func(a, b *item) int { return cmp.Compare(a.order, b.order) })
	q.byTurn.list = q.byTurn.list[:0]
	q.longest.list = q.longest.list[:0]
	q.waiting = 0
	for _, it := range items {
		q.append(it, &q.buckets[index(it.caller)])
	}
}
