package admission_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// stream is open-loop Poisson work of one rank from a number of callers.
type stream struct {
	name    string
	rank    azurestair.Rank
	callers int
	// load is the offered work as a multiple of the capacity of all slots.
	load    float64
	service time.Duration
	timeout time.Duration
}

// tally counts what became of a stream's work.
type tally struct {
	offered, inTime, late, refused int
	waits                          []time.Duration
}

func (t *tally) share() float64 { return float64(t.inTime) / float64(max(t.offered, 1)) }

func (t *tally) String() string {
	slices.Sort(t.waits)
	wait := time.Duration(0)
	if n := len(t.waits); n > 0 {
		wait = t.waits[n*99/100]
	}
	return fmt.Sprintf("offered=%d inTime=%.3f%% late=%d refused=%d p99WaitMs=%.1f",
		t.offered, 100*t.share(), t.late, t.refused, float64(wait)/1e6)
}

type job struct {
	id      azurestair.WorkID
	work    azurestair.Work
	stream  int
	arrived time.Time
	service time.Duration
}

// happening is an arrival at a stream or, with a job, a completion.
type happening struct {
	at     time.Time
	stream int
	done   *job
}

type agenda []happening

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(v any)        { *a = append(*a, v.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// simulation drives an Admitter in virtual time.
type simulation struct {
	admitter azurestair.Admitter
	slots    int
	streams  []stream
	tallies  []*tally
	agenda   agenda
	jobs     map[azurestair.WorkID]*job
	rand     *rand.Rand
	nextID   azurestair.WorkID
}

var epoch = time.Unix(1_000_000, 0)

func simulate(a azurestair.Admitter, slots int, length time.Duration, streams ...stream) []*tally {
	s := &simulation{admitter: a, slots: slots, streams: streams, jobs: map[azurestair.WorkID]*job{}}
	s.rand = rand.New(rand.NewPCG(7, 11))
	a.SetSlots(azurestair.Slots(slots), epoch)
	for i := range streams {
		s.tallies = append(s.tallies, &tally{})
		s.plan(i, epoch)
	}
	for len(s.agenda) > 0 {
		s.step(epoch.Add(length))
	}
	return s.tallies
}

func (s *simulation) plan(i int, now time.Time) {
	gap := float64(s.streams[i].service) / float64(s.slots) / s.streams[i].load
	heap.Push(&s.agenda, happening{at: now.Add(time.Duration(s.rand.ExpFloat64() * gap)), stream: i})
}

func (s *simulation) step(end time.Time) {
	if t := s.admitter.NextDeadline(); !t.IsZero() && t.Before(s.agenda[0].at) {
		s.collect(t)
		return
	}
	h := heap.Pop(&s.agenda).(happening)
	if h.done != nil {
		s.admitter.Release(h.done.work, h.at)
		s.finish(h.done, h.at)
	} else if h.at.Before(end) {
		s.arrive(h.stream, h.at)
		s.plan(h.stream, h.at)
	}
	s.collect(h.at)
}

func (s *simulation) finish(j *job, now time.Time) {
	if now.After(j.work.Deadline) {
		s.tallies[j.stream].late++
		return
	}
	s.tallies[j.stream].inTime++
}

func (s *simulation) arrive(i int, now time.Time) {
	st := s.streams[i]
	s.nextID++
	caller := azurestair.CallerID(fmt.Sprintf("%s-%d", st.name, s.rand.IntN(st.callers)))
	w := azurestair.Work{Rank: st.rank, Caller: caller, Deadline: now.Add(st.timeout)}
	service := time.Duration(min(s.rand.ExpFloat64(), 10) * float64(st.service))
	j := &job{id: s.nextID, work: w, stream: i, arrived: now, service: service}
	s.tallies[i].offered++
	admission, _ := s.admitter.Offer(j.id, w, now)
	if admission == azurestair.Queued {
		s.jobs[j.id] = j
		return
	}
	s.decide(j, admission, now)
}

func (s *simulation) decide(j *job, admission azurestair.Admission, now time.Time) {
	t := s.tallies[j.stream]
	if admission == azurestair.Refused {
		t.refused++
		return
	}
	t.waits = append(t.waits, now.Sub(j.arrived))
	heap.Push(&s.agenda, happening{at: now.Add(j.service), done: j})
}

func (s *simulation) collect(now time.Time) {
	for _, e := range s.admitter.Events(now) {
		s.decide(s.jobs[e.ID], e.Admission, now)
		delete(s.jobs, e.ID)
	}
}

// fifo is the baseline: one bounded queue for all ranks and callers, whose
// work is refused when its deadline has passed.
type fifo struct {
	slots, inUse, limit int
	queue               []azurestair.AdmitEvent
	deadlines           []time.Time
	events              []azurestair.AdmitEvent
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
	f.queue = append(f.queue, azurestair.AdmitEvent{ID: id, Admission: azurestair.Admitted})
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

func (f *fifo) Events(time.Time) []azurestair.AdmitEvent {
	out := f.events
	f.events = nil
	return out
}

func (f *fifo) NextDeadline() time.Time { return time.Time{} }
