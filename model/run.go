package model

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/placement"
)

const (
	service azurestair.ServiceName = "desk"
	// returnAfter is when a refused client tries again.
	returnAfter = 300 * time.Millisecond
	// workSpread is the relative spread of the work.
	workSpread = 0.15
)

// event is something that happens at a time.
type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// upstream is one worker of the service.
type upstream struct {
	info    azurestair.Announcement
	running int
	waiting []func()
	// memory holds the remembered objects, the latest last.
	memory []azurestair.ObjectKey
	gone   bool
	cold   time.Duration
	sent   []time.Duration
}

type world struct {
	Scenario
	rng       *rand.Rand
	now       time.Duration
	queue     events
	upstreams map[azurestair.UpstreamID]*upstream
	order     []*upstream
	pickers   [][]*placement.Picker
	planner   control.Planner
	plans     []azurestair.RegionPlan
	// meters and counts hold the traffic of each region.
	meters    []control.TrafficMeter
	counts    []control.TrafficCount
	result    Result
	warm, all float64
}

// start is the virtual time of the beginning.
var start = time.Unix(1_700_000_000, 0)

// Run plays the scenario.
func (s Scenario) Run() Result {
	s = s.withDefaults()
	w := &world{Scenario: s, rng: rand.New(rand.NewPCG(s.Seed, s.Seed)), upstreams: map[azurestair.UpstreamID]*upstream{}}
	w.result.Windows = make([]Window, int(s.Length/windowLength)+1)
	w.build()
	w.publishAgain()
	for region := range s.Regions {
		w.arrive(region)
	}
	w.planLoss()
	for w.queue.Len() > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.result.WarmShare = w.warm / max(w.all, 1)
	return w.result
}

func (w *world) time() time.Time { return start.Add(w.now) }

func (w *world) after(d time.Duration, do func()) {
	heap.Push(&w.queue, event{at: w.now + d, do: do})
}

func region(n int) azurestair.RegionName { return azurestair.RegionName(fmt.Sprintf("r%d", n)) }

func (w *world) build() {
	for r := range w.Regions {
		for i := range w.Upstreams {
			u := &upstream{info: azurestair.Announcement{
				Upstream: azurestair.UpstreamID(fmt.Sprintf("w%d-%d", r, i)), Service: service, Addr: "127.0.0.1:80",
				Region: region(r), FailureDomain: azurestair.FailureDomainName(region(r)), Slots: w.Slots, MaxConns: 330,
				State: azurestair.StateServing, Incarnation: 1,
			}}
			w.upstreams[u.info.Upstream] = u
			w.order = append(w.order, u)
		}
		var list []*placement.Picker
		for i := range w.Entries {
			list = append(list, placement.New(placement.Options{
				Service: service, Region: region(r), Self: entryID(r, i), LateSlot: time.Second,
				Copies: w.Copies, Reach: w.Reach, Rand: rand.NewPCG(w.Seed, uint64(i)),
			}))
		}
		w.pickers = append(w.pickers, list)
		w.meters = append(w.meters, control.TrafficMeter{})
		w.counts = append(w.counts, control.TrafficCount{})
	}
}

func entryID(r, i int) azurestair.InstanceID {
	return azurestair.InstanceID(fmt.Sprintf("e%d-%d", r, i))
}

// publish gives all entries a snapshot of the upstreams that are there.
func (w *world) publish() {
	s := &azurestair.Snapshot{Config: &azurestair.Config{
		Version: 1, Services: []azurestair.Service{{Name: service, ColdPerSecond: w.Loss.ColdPerSecond}},
	}}
	for _, u := range w.order {
		if u.gone {
			continue
		}
		a := u.info
		a.ColdMs = azurestair.MillisOf(max(0, u.cold-w.now))
		s.Upstreams = append(s.Upstreams, azurestair.UpstreamInfo{Announcement: a, Confirmed: true})
	}
	for r, list := range w.pickers {
		for i := range list {
			s.Instances = append(s.Instances, azurestair.InstanceInfo{ID: entryID(r, i), CallerAddr: "127.0.0.1:81", Region: region(r)})
		}
	}
	s.Plans = w.plans
	s.Plans = w.planner.Step(s, w.traffic(), w.time())
	w.plans = s.Plans
	for _, list := range w.pickers {
		for _, p := range list {
			p.Update(s, w.time())
		}
	}
}

// traffic returns what the requests of each region ask for.
func (w *world) traffic() map[azurestair.RegionName][]azurestair.Traffic {
	out := map[azurestair.RegionName][]azurestair.Traffic{}
	for r := range w.counts {
		list := w.meters[r].Rates(map[azurestair.ServiceName]control.TrafficCount{service: w.counts[r]}, w.time())
		if !w.FixedPlan {
			out[region(r)] = list
		}
	}
	return out
}

// publishEvery is the interval of snapshots while the traffic changes.
const publishEvery = time.Second

func (w *world) publishAgain() {
	if w.now < w.Length {
		w.publish()
		w.after(publishEvery, w.publishAgain)
	}
}

func (w *world) planLoss() {
	if w.Loss.Upstreams == 0 {
		return
	}
	lost := w.order[:w.Loss.Upstreams]
	w.after(w.Loss.From, func() {
		for _, u := range lost {
			u.gone, u.memory = true, nil
		}
		w.publish()
	})
	w.after(w.Loss.To, func() {
		for _, u := range lost {
			u.gone, u.cold = false, w.now+w.Loss.Cold
			u.info.Incarnation++
		}
		w.publish()
		w.after(w.Loss.Cold, w.publish)
	})
}

// arrive plans the next request of a region.
func (w *world) arrive(r int) {
	rate := w.Rate
	if w.Wave.Period > 0 {
		phase := float64(w.now)/float64(w.Wave.Period) + float64(r)/float64(w.Regions)
		rate *= 1 + w.Wave.Swing*math.Sin(2*math.Pi*phase)
	}
	if w.now >= w.Burst.From && w.now < w.Burst.To {
		rate *= w.Burst.Factor
	}
	gap := time.Duration(-math.Log(1-w.rng.Float64()) / rate * float64(time.Second))
	if w.now+gap > w.Length {
		return
	}
	w.after(gap, func() {
		object := azurestair.ObjectKeyOf(fmt.Sprintf("%d/%d", r, w.rng.IntN(w.Objects)))
		q := &request{world: w, region: r, object: object, asked: w.now}
		w.window(q.asked).Asked++
		q.try()
		w.arrive(r)
	})
}

func (w *world) window(at time.Duration) *Window { return &w.result.Windows[int(at/windowLength)] }

// request is one client's request with its further try.
type request struct {
	*world
	region int
	object azurestair.ObjectKey
	asked  time.Duration
	sent   time.Duration
	tries  int
}

func (q *request) try() {
	q.tries++
	q.counts[q.region].Asked++
	p := q.pickers[q.region][q.rng.IntN(q.Entries)]
	work := azurestair.Work{Service: service, Rank: azurestair.RankInteractive, Idempotent: true, Object: q.object}
	c, err := p.Pick(work, nil, q.time())
	if err != nil {
		q.refused()
		return
	}
	u := q.upstreams[c.Upstream]
	sent := q.now
	q.sent = sent
	end := func(r azurestair.AttemptResult) {
		load := azurestair.Load{InFlight: azurestair.Slots(u.running), Queued: azurestair.Slots(len(u.waiting))}
		p.Observe(c, azurestair.Observation{Load: &load, Shed: r == azurestair.AttemptNotRun, Unreachable: u.gone}, q.time())
		p.Done(c, r, q.now-sent, q.time())
	}
	if u.gone || len(u.waiting) >= q.Queue {
		end(azurestair.AttemptNotRun)
		q.refused()
		return
	}
	q.noteCold(u)
	begin := func() { q.work(u, end) }
	if u.running < int(q.Slots) {
		begin()
		return
	}
	u.waiting = append(u.waiting, begin)
}

// noteCold counts the requests that reach a cold upstream within a second.
func (q *request) noteCold(u *upstream) {
	if q.now >= u.cold {
		return
	}
	u.sent = append(slices.DeleteFunc(u.sent, func(at time.Duration) bool { return q.now-at >= time.Second }), q.now)
	q.result.MostCold = max(q.result.MostCold, len(u.sent))
}

func (q *request) refused() {
	if q.tries == 1 {
		q.after(returnAfter, q.try)
		return
	}
	q.window(q.asked).Refused++
}

// work runs the request at an upstream.
func (q *request) work(u *upstream, end func(azurestair.AttemptResult)) {
	u.running++
	d := float64(q.Work) * (1 + workSpread*(2*q.rng.Float64()-1))
	q.all++
	if at := slices.Index(u.memory, q.object); at >= 0 {
		u.memory = slices.Delete(u.memory, at, at+1)
		d *= q.WarmPart
		q.warm++
	}
	u.memory = append(u.memory, q.object)
	if len(u.memory) > q.Memory {
		u.memory = u.memory[1:]
	}
	q.after(time.Duration(d), func() {
		u.running--
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			next()
		}
		end(azurestair.AttemptDone)
		q.counts[q.region].Ended++
		q.counts[q.region].Busy += q.now - q.sent
		q.done()
	})
}

func (q *request) done() {
	switch took := q.now - q.asked; {
	case took <= q.Target:
		q.window(q.asked).InTarget++
	case took <= q.Deadline:
		q.window(q.asked).Late++
	}
}
