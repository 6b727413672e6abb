package admission_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// stream is an open-loop Poisson arrival process of requests of one rank.
type stream struct {
	name    string
	rank    azurestair.Rank
	callers int
	// load is the offered load as a multiple of the capacity of all slots.
	load        float64
	serviceTime time.Duration
	timeout     time.Duration
}

// streamStats counts the outcomes of the requests of a stream.
type streamStats struct {
	offered, inTime, late, refused int
	waits                          []time.Duration
}

func (s *streamStats) inTimeShare() float64 { return float64(s.inTime) / float64(max(s.offered, 1)) }

func (s *streamStats) String() string {
	slices.Sort(s.waits)
	wait := time.Duration(0)
	if n := len(s.waits); n > 0 {
		wait = s.waits[n*99/100]
	}
	return fmt.Sprintf("offered=%d inTime=%.3f%% late=%d refused=%d p99WaitMs=%.1f",
		s.offered, 100*s.inTimeShare(), s.late, s.refused, float64(wait)/1e6)
}

type simRequest struct {
	id          azurestair.AdmissionID
	work        azurestair.RequestInfo
	stream      int
	arrived     time.Time
	serviceTime time.Duration
}

// simEvent is an arrival in a stream or, if done is set, a completion.
type simEvent struct {
	at     time.Time
	stream int
	done   *simRequest
}

type eventQueue []simEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(v any)        { *q = append(*q, v.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation drives an Admitter in virtual time.
type simulation struct {
	admitter azurestair.Admitter
	slots    int
	streams  []stream
	stats    []*streamStats
	events   eventQueue
	queued   map[azurestair.AdmissionID]*simRequest
	rand     *rand.Rand
	nextID   azurestair.AdmissionID
}

var epoch = time.Unix(1_000_000, 0)

func simulate(a azurestair.Admitter, slots int, length time.Duration, streams ...stream) []*streamStats {
	s := &simulation{admitter: a, slots: slots, streams: streams, queued: map[azurestair.AdmissionID]*simRequest{}}
	s.rand = rand.New(rand.NewPCG(7, 11))
	a.SetSlots(azurestair.Slots(slots), epoch)
	for i := range streams {
		s.stats = append(s.stats, &streamStats{})
		s.scheduleArrival(i, epoch)
	}
	for len(s.events) > 0 {
		s.step(epoch.Add(length))
	}
	return s.stats
}

func (s *simulation) scheduleArrival(i int, now time.Time) {
	gap := float64(s.streams[i].serviceTime) / float64(s.slots) / s.streams[i].load
	heap.Push(&s.events, simEvent{at: now.Add(time.Duration(s.rand.ExpFloat64() * gap)), stream: i})
}

func (s *simulation) step(end time.Time) {
	if t := s.admitter.NextDeadline(); !t.IsZero() && t.Before(s.events[0].at) {
		s.collectEvents(t)
		return
	}
	e := heap.Pop(&s.events).(simEvent)
	if e.done != nil {
		s.admitter.Release(e.done.work, e.at)
		s.recordCompletion(e.done, e.at)
	} else if e.at.Before(end) {
		s.arrive(e.stream, e.at)
		s.scheduleArrival(e.stream, e.at)
	}
	s.collectEvents(e.at)
}

func (s *simulation) recordCompletion(req *simRequest, now time.Time) {
	if now.After(req.work.Deadline) {
		s.stats[req.stream].late++
		return
	}
	s.stats[req.stream].inTime++
}

func (s *simulation) arrive(i int, now time.Time) {
	st := s.streams[i]
	s.nextID++
	caller := azurestair.CallerID(fmt.Sprintf("%s-%d", st.name, s.rand.IntN(st.callers)))
	w := azurestair.RequestInfo{Rank: st.rank, Caller: caller, Deadline: now.Add(st.timeout)}
	service := time.Duration(min(s.rand.ExpFloat64(), 10) * float64(st.serviceTime))
	req := &simRequest{id: s.nextID, work: w, stream: i, arrived: now, serviceTime: service}
	s.stats[i].offered++
	admission, _ := s.admitter.Offer(req.id, w, now)
	if admission == azurestair.Queued {
		s.queued[req.id] = req
		return
	}
	s.applyDecision(req, admission, now)
}

func (s *simulation) applyDecision(req *simRequest, admission azurestair.Admission, now time.Time) {
	stats := s.stats[req.stream]
	if admission == azurestair.Refused {
		stats.refused++
		return
	}
	stats.waits = append(stats.waits, now.Sub(req.arrived))
	heap.Push(&s.events, simEvent{at: now.Add(req.serviceTime), done: req})
}

func (s *simulation) collectEvents(now time.Time) {
	for _, e := range s.admitter.Events(now) {
		s.applyDecision(s.queued[e.ID], e.Admission, now)
		delete(s.queued, e.ID)
	}
}

// fifo is the baseline: a single bounded queue for all ranks and callers. It
// refuses a request when its turn comes after its deadline.
type fifo struct {
	slots, inUse, limit int
	queue               []azurestair.AdmissionEvent
	deadlines           []time.Time
	events              []azurestair.AdmissionEvent
}

func (f *fifo) SetSlots(n azurestair.Slots, _ time.Time) { f.slots = int(n) }

func (f *fifo) Offer(id azurestair.AdmissionID, w azurestair.RequestInfo, _ time.Time) (azurestair.Admission, azurestair.Reason) {
	if f.inUse < f.slots {
		f.inUse++
		return azurestair.Admitted, azurestair.ReasonNone
	}
	if len(f.queue) >= f.limit {
		return azurestair.Refused, azurestair.ReasonQueueFull
	}
	f.queue = append(f.queue, azurestair.AdmissionEvent{ID: id, Admission: azurestair.Admitted})
	f.deadlines = append(f.deadlines, w.Deadline)
	return azurestair.Queued, azurestair.ReasonNone
}

func (f *fifo) Release(_ azurestair.RequestInfo, now time.Time) {
	f.inUse--
	for len(f.queue) > 0 && f.inUse < f.slots {
		e, deadline := f.queue[0], f.deadlines[0]
		f.queue, f.deadlines = f.queue[1:], f.deadlines[1:]
		if now.Before(deadline) {
			f.inUse++
		} else {
			e.Admission = azurestair.Refused
		}
		f.events = append(f.events, e)
	}
}

func (f *fifo) Cancel(azurestair.AdmissionID, time.Time) {}

func (f *fifo) Events(time.Time) []azurestair.AdmissionEvent {
	out := f.events
	f.events = nil
	return out
}

func (f *fifo) NextDeadline() time.Time { return time.Time{} }
