package admission_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/admission"
)

// randomCalls makes random calls of an Admitter and tracks its decisions.
type randomCalls struct {
	admitter *admission.Admitter
	rand     *rand.Rand
	now      time.Time
	slots    int
	limit    int
	nextID   azurestair.AdmissionID
	queued   map[azurestair.AdmissionID]azurestair.RequestInfo
	running  []azurestair.RequestInfo
}

func newRandomCalls(seed uint64) *randomCalls {
	c := &randomCalls{rand: rand.New(rand.NewPCG(seed, 1)), now: epoch, limit: 8, queued: map[azurestair.AdmissionID]azurestair.RequestInfo{}}
	c.admitter = admission.New(admission.Options{QueueLimit: c.limit, Buckets: 4, ResaltInterval: time.Second})
	return c
}

func (c *randomCalls) randomWork() azurestair.RequestInfo {
	w := azurestair.RequestInfo{
		Rank:   azurestair.Rank(c.rand.IntN(azurestair.NumRanks)),
		Caller: azurestair.CallerID(fmt.Sprint(c.rand.IntN(9))),
	}
	if c.rand.IntN(4) > 0 {
		w.Deadline = c.now.Add(time.Duration(c.rand.IntN(400)-20) * time.Millisecond)
	}
	return w
}

func (c *randomCalls) offer() {
	c.nextID++
	w := c.randomWork()
	got, reason := c.admitter.Offer(c.nextID, w, c.now)
	Expect(got == azurestair.Refused).To(Equal(reason != azurestair.ReasonNone))
	c.recordDecision(c.nextID, w, got)
}

func (c *randomCalls) release() {
	if len(c.running) == 0 {
		return
	}
	i := c.rand.IntN(len(c.running))
	c.admitter.Release(c.running[i], c.now)
	c.running = append(c.running[:i], c.running[i+1:]...)
}

// cancel cancels a random request, which may be queued, decided or unknown.
func (c *randomCalls) cancel() {
	c.collectEvents()
	id := azurestair.AdmissionID(c.rand.IntN(int(c.nextID) + 2))
	c.admitter.Cancel(id, c.now)
	delete(c.queued, id)
}

func (c *randomCalls) resize() {
	c.collectEvents()
	c.slots = c.rand.IntN(13)
	c.admitter.SetSlots(azurestair.Slots(c.slots), c.now)
}

func (c *randomCalls) reconfigure() {
	c.limit = 1 + c.rand.IntN(8)
	c.admitter.Configure(azurestair.Defaults{QueueLimit: c.limit}, c.now)
}

// offerAgain offers all queued requests again.
func (c *randomCalls) offerAgain() {
	c.collectEvents()
	for id, w := range c.queued {
		got, _ := c.admitter.Offer(id, w, c.now)
		Expect(got).To(Equal(azurestair.Queued))
	}
}

func (c *randomCalls) step() {
	running := c.totalInProgress()
	switch n := c.rand.IntN(40); {
	case n < 20:
		c.offer()
	case n < 32:
		c.release()
	case n < 34:
		c.cancel()
	case n < 35:
		c.resize()
	case n < 36:
		c.reconfigure()
	case n < 37:
		c.offerAgain()
	default:
		c.now = c.now.Add(time.Duration(c.rand.IntN(50)) * time.Millisecond)
	}
	Expect(c.totalInProgress()).To(BeNumerically("<=", max(c.slots, running)))
	if c.rand.IntN(3) > 0 {
		c.collectEvents()
		c.expectConsistent()
	}
}

func (c *randomCalls) totalInProgress() int {
	sum := 0
	for _, r := range c.admitter.Counts().Ranks {
		sum += r.InProgress
	}
	return sum
}

// expectConsistent asserts the invariants that hold once all events have been
// collected.
func (c *randomCalls) expectConsistent() {
	GinkgoHelper()
	counts := c.admitter.Counts()
	waiting, lower := 0, 0
	for r, n := range counts.Ranks {
		refused := n.RefusedDeadline + n.RefusedQueueFull + n.RefusedCallerShare
		Expect(n.Offered).To(Equal(n.Admitted + n.Cancelled + refused + uint64(n.Waiting)))
		Expect(n.Waiting).To(BeNumerically("<=", c.limit))
		waiting += n.Waiting
		if azurestair.Rank(r) != azurestair.RankUrgent {
			lower += n.InProgress
		}
	}
	Expect(c.totalInProgress()).To(Equal(len(c.running)))
	Expect(waiting).To(Equal(len(c.queued)))
	if next := c.admitter.NextDeadline(); !next.IsZero() {
		Expect(next).To(BeTemporally(">", c.now))
	}
	if c.totalInProgress() < c.slots {
		Expect(counts.Ranks[azurestair.RankUrgent].Waiting).To(BeZero(), "urgent requests are queued while a slot is free")
		Expect(waiting == 0 || lower >= c.slots-int(counts.Reserve)).To(BeTrue(), "requests are queued while a slot is free")
	}
}

func (c *randomCalls) recordDecision(id azurestair.AdmissionID, w azurestair.RequestInfo, got azurestair.Admission) {
	switch got {
	case azurestair.Admitted:
		c.running = append(c.running, w)
	case azurestair.Queued:
		c.queued[id] = w
	}
}

func (c *randomCalls) collectEvents() {
	GinkgoHelper()
	for _, e := range c.admitter.Events(c.now) {
		Expect(c.queued).To(HaveKey(e.ID), "event for a request that is not queued")
		w := c.queued[e.ID]
		delete(c.queued, e.ID)
		Expect(e.Admission).NotTo(Equal(azurestair.Queued))
		Expect(e.Admission == azurestair.Refused).To(Equal(e.Reason != azurestair.ReasonNone))
		c.recordDecision(e.ID, w, e.Admission)
	}
}

// Guards against lost or duplicate decisions, leaked slots and idle slots for
// any sequence of calls, including changes of the salt.
var _ = DescribeTable("random calls keep the invariants",
	func(first uint64) {
		for seed := first; seed < first+50; seed++ {
			c := newRandomCalls(seed)
			for range 1_000 {
				c.step()
			}
			c.admitter.SetSlots(1_000, c.now)
			c.collectEvents()
			Expect(c.queued).To(BeEmpty())
			for len(c.running) > 0 {
				c.release()
			}
			Expect(c.totalInProgress()).To(BeZero())
			c.admitter.Release(azurestair.RequestInfo{}, c.now)
			Expect(c.totalInProgress()).To(BeZero())
		}
	},
	Entry("with seeds from 1", uint64(1)), Entry("with seeds from 1001", uint64(1001)),
)
