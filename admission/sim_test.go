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
	load    float64
	service time.Duration
	timeout time.Duration
}

// streamStats counts the outcomes of the requests of a stream.
type streamStats struct {
	offered, inTime, late, refused int
	waits                          []time.Duration
}

func (t *streamStats) inTimeShare() float64 { return float64(t.inTime) / float64(max(t.offered, 1)) }

func (t *streamStats) String() string {
	slices.Sort(t.waits)
	wait := time.Duration(0)
	if n := len(t.waits); n > 0 {
		wait = t.waits[n*99/100]
	}
	return fmt.Sprintf("offered=%d inTime=%.3f%% late=%d refused=%d p99WaitMs=%.1f",
		t.offered, 100*t.inTimeShare(), t.late, t.refused, float64(wait)/1e6)
}

type simRequest struct {
	id      azurestair.WorkID
	work    azurestair.Work
	stream  int
	arrived time.Time
	service time.Duration
}

// simEvent is an arrival in a stream or, if done is set, a completion.
type simEvent struct {
	at     time.Time
	stream int
	done   *simRequest
}

type eventQueue []simEvent

func (a eventQueue) Len() int           { return len(a) }
func (a eventQueue) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a eventQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(v any)        { *a = append(*a, v.(simEvent)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// simulation drives an Admitter in virtual time.
type simulation struct {
	admitter azurestair.Admitter
	slots    int
	streams  []stream
	stats    []*streamStats
	events   eventQueue
	queued   map[azurestair.WorkID]*simRequest
	rand     *rand.Rand
	nextID   azurestair.WorkID
}

var epoch = time.Unix(1_000_000, 0)

func simulate(a azurestair.Admitter, slots int, length time.Duration, streams ...stream) []*streamStats {
	s := &simulation{admitter: a, slots: slots, streams: streams, queued: map[azurestair.WorkID]*simRequest{}}
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
	gap := float64(s.streams[i].service) / float64(s.slots) / s.streams[i].load
	heap.Push(&s.events, simEvent{at: now.Add(time.Duration(s.rand.ExpFloat64() * gap)), stream: i})
}

func (s *simulation) step(end time.Time) {
	if t := s.admitter.NextDeadline(); !t.IsZero() && t.Before(s.events[0].at) {
		s.collectEvents(t)
		return
	}
	h := heap.Pop(&s.events).(simEvent)
	if h.done != nil {
		s.admitter.Release(h.done.work, h.at)
		s.recordCompletion(h.done, h.at)
	} else if h.at.Before(end) {
		s.arrive(h.stream, h.at)
		s.scheduleArrival(h.stream, h.at)
	}
	s.collectEvents(h.at)
}

func (s *simulation) recordCompletion(j *simRequest, now time.Time) {
	if now.After(j.work.Deadline) {
		s.stats[j.stream].late++
		return
	}
	s.stats[j.stream].inTime++
}

func (s *simulation) arrive(i int, now time.Time) {
	st := s.streams[i]
	s.nextID++
	caller := azurestair.CallerID(fmt.Sprintf("%s-%d", st.name, s.rand.IntN(st.callers)))
	w := azurestair.Work{Rank: st.rank, Caller: caller, Deadline: now.Add(st.timeout)}
	service := time.Duration(min(s.rand.ExpFloat64(), 10) * float64(st.service))
	j := &simRequest{id: s.nextID, work: w, stream: i, arrived: now, service: service}
	s.stats[i].offered++
	admission, _ := s.admitter.Offer(j.id, w, now)
	if admission == azurestair.Queued {
		s.queued[j.id] = j
		return
	}
	s.applyDecision(j, admission, now)
}

func (s *simulation) applyDecision(j *simRequest, admission azurestair.Admission, now time.Time) {
	t := s.stats[j.stream]
	if admission == azurestair.Refused {
		t.refused++
		return
	}
	t.waits = append(t.waits, now.Sub(j.arrived))
	heap.Push(&s.events, simEvent{at: now.Add(j.service), done: j})
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

func (f *fifo) Offer(id azurestair.WorkID, w azurestair.Work, _ time.Time) (azurestair.Admission, azurestair.Reason) {
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

func (f *fifo) Release(_ azurestair.Work, now time.Time) {
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

func (f *fifo) Cancel(azurestair.WorkID, time.Time) {}

func (f *fifo) Events(time.Time) []azurestair.AdmissionEvent {
	out := f.events
	f.events = nil
	return out
}

func (f *fifo) NextDeadline() time.Time { return time.Time{} }
