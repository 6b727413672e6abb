package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// queuedRequest is a request that waits in the list of its bucket.
type queuedRequest struct {
	id     azurestair.AdmissionID
	caller azurestair.CallerID
	rank   azurestair.Rank
	// refuseAt is the time at which too little time is left to serve the
	// request; zero without a deadline.
	refuseAt    time.Time
	arrivalSeq  uint64
	bucket      *bucket
	prev, next  *queuedRequest
	expiryIndex int
}

// bucket holds the queued requests of the callers that hash to it.
type bucket struct {
	head, tail *queuedRequest
	waiting    int
	inUse      int
	// serveSeq orders buckets by the time at which they were last served or
	// last became non-empty.
	serveSeq    uint64
	serveIndex  int
	lengthIndex int
}

// queue holds the queued requests of one rank.
type queue struct {
	buckets      []bucket
	byServeOrder indexHeap[*bucket]
	byLength     indexHeap[*bucket]
	expiry       indexHeap[*queuedRequest]
	waiting      int
	serveSeq     uint64
	arrivalSeq   uint64
	// previousInUse counts the requests in progress that were admitted under
	// the previous salt, by their bucket under that salt.
	previousInUse []int
}

func newQueue(buckets int) *queue {
	q := &queue{buckets: make([]bucket, buckets), previousInUse: make([]int, buckets)}
	q.byServeOrder.less = isServedBefore
	q.byServeOrder.setIndex = func(b *bucket, i int) { b.serveIndex = i }
	q.byLength.less = func(a, b *bucket) bool { return a.waiting > b.waiting }
	q.byLength.setIndex = func(b *bucket, i int) { b.lengthIndex = i }
	q.expiry.less = func(a, b *queuedRequest) bool { return a.refuseAt.Before(b.refuseAt) }
	q.expiry.setIndex = func(req *queuedRequest, i int) { req.expiryIndex = i }
	return q
}

// isServedBefore reports whether a is served before b: the bucket with fewer
// requests in progress first, then the least recently served one.
func isServedBefore(a, b *bucket) bool {
	if a.inUse != b.inUse {
		return a.inUse < b.inUse
	}
	return a.serveSeq < b.serveSeq
}

// activeBuckets returns the number of buckets with queued requests.
func (q *queue) activeBuckets() int { return q.byServeOrder.Len() }

// enqueue appends the request to the bucket.
func (q *queue) enqueue(req *queuedRequest, b *bucket) {
	q.arrivalSeq++
	req.arrivalSeq = q.arrivalSeq
	req.expiryIndex = notInHeap
	q.appendToBucket(req, b)
	if !req.refuseAt.IsZero() {
		heap.Push(&q.expiry, req)
	}
}

func (q *queue) appendToBucket(req *queuedRequest, b *bucket) {
	req.bucket, req.prev, req.next = b, b.tail, nil
	if b.tail != nil {
		b.tail.next = req
	} else {
		b.head = req
	}
	b.tail = req
	b.waiting++
	q.waiting++
	if b.waiting > 1 {
		heap.Fix(&q.byLength, b.lengthIndex)
		return
	}
	q.moveToBack(b)
	heap.Push(&q.byServeOrder, b)
	heap.Push(&q.byLength, b)
}

// moveToBack orders the bucket after all others that have the same number of
// requests in progress.
func (q *queue) moveToBack(b *bucket) {
	q.serveSeq++
	b.serveSeq = q.serveSeq
}

// remove removes a request from the queue.
func (q *queue) remove(req *queuedRequest) {
	b := req.bucket
	if req.prev != nil {
		req.prev.next = req.next
	} else {
		b.head = req.next
	}
	if req.next != nil {
		req.next.prev = req.prev
	} else {
		b.tail = req.prev
	}
	b.waiting--
	q.waiting--
	if req.expiryIndex != notInHeap {
		heap.Remove(&q.expiry, req.expiryIndex)
	}
	if b.waiting > 0 {
		heap.Fix(&q.byLength, b.lengthIndex)
		return
	}
	heap.Remove(&q.byServeOrder, b.serveIndex)
	heap.Remove(&q.byLength, b.lengthIndex)
}

// dequeue removes and returns the request that is served next. The queue must
// not be empty.
func (q *queue) dequeue() *queuedRequest {
	b := q.byServeOrder.items[0]
	req := b.head
	q.remove(req)
	q.moveToBack(b)
	q.start(b)
	return req
}

// start increments the number of requests in progress of the bucket.
func (q *queue) start(b *bucket) { q.setInUse(b, b.inUse+1) }

// finish decrements the number of requests in progress of a bucket. i and old
// are the bucket indices of the caller under the current and the previous salt.
func (q *queue) finish(i, old int) {
	if q.previousInUse[old] > 0 {
		q.previousInUse[old]--
		return
	}
	b := &q.buckets[i]
	q.setInUse(b, max(b.inUse-1, 0))
}

func (q *queue) setInUse(b *bucket, n int) {
	b.inUse = n
	if b.waiting > 0 {
		heap.Fix(&q.byServeOrder, b.serveIndex)
	}
}

// nextExpired returns a request whose refusal time has been reached, or nil.
func (q *queue) nextExpired(now time.Time) *queuedRequest {
	if q.expiry.Len() == 0 || now.Before(q.expiry.items[0].refuseAt) {
		return nil
	}
	return q.expiry.items[0]
}

// requestsAhead estimates how many requests are served before a new request in
// the bucket: each active bucket is served once per round, and the new request
// is served in the round after all requests that the bucket already holds.
func (q *queue) requestsAhead(b *bucket) int {
	return min(q.waiting, (b.waiting+1)*q.activeBuckets())
}

// rehash moves all queued requests to the buckets that index returns.
func (q *queue) rehash(index func(azurestair.CallerID) int) {
	requests := make([]*queuedRequest, 0, q.waiting)
	for i := range q.buckets {
		b := &q.buckets[i]
		for req := b.head; req != nil; req = req.next {
			requests = append(requests, req)
		}
		q.previousInUse[i] = b.inUse
		*b = bucket{}
	}
	slices.SortFunc(requests, func(a, b *queuedRequest) int { return cmp.Compare(a.arrivalSeq, b.arrivalSeq) })
	q.byServeOrder.items = q.byServeOrder.items[:0]
	q.byLength.items = q.byLength.items[:0]
	q.waiting = 0
	for _, req := range requests {
		q.appendToBucket(req, &q.buckets[index(req.caller)])
	}
}
