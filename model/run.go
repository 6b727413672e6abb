package model

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/placement"
	"azurestair.example/azurestair/retry"
)

const (
	service azurestair.ServiceName = "desk"
	// retryDelay is the time after which a client retries a refused request.
	retryDelay = 300 * time.Millisecond
	// serviceTimeSpread is the maximum relative deviation of a service time
	// from its mean.
	serviceTimeSpread = 0.15
)

// event is a function to be run at a point in virtual time.
type event struct {
	at  time.Duration
	run func()
}

type eventQueue []event

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at < e[j].at }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// upstream is one simulated upstream process of the service.
type upstream struct {
	info       azurestair.Announcement
	inProgress int
	waiting    []func()
	// cached holds the cached objects, the most recently used one last.
	cached    []azurestair.ObjectKey
	down      bool
	coldUntil time.Duration
	// startedAt is when the process started; no connection is older.
	startedAt time.Duration
	// accepted holds the attempts that a crash would interrupt, in the order of
	// their arrival.
	accepted []*accepted
	// listed replaces the upstream in snapshots while its restart is unnoticed.
	listed *azurestair.Announcement
	// recentCold holds the times of the requests within the last second while
	// the upstream is cold.
	recentCold []time.Duration
	// reported is the load that the upstream reports if reports are old.
	reported azurestair.Load
	// arrivals counts the attempts after the warm-up.
	arrivals int
}

func (u *upstream) load() azurestair.Load {
	return azurestair.Load{InFlight: azurestair.Slots(u.inProgress), Queued: azurestair.Slots(len(u.waiting))}
}

// accepted is an attempt that an upstream runs or that waits there.
type accepted struct {
	finish      func(azurestair.AttemptResult)
	interrupted bool
}

// crash interrupts the accepted attempts.
func (u *upstream) crash() {
	list := u.accepted
	u.accepted, u.waiting, u.inProgress = nil, nil, 0
	for _, a := range list {
		a.interrupted = true
		a.finish(azurestair.AttemptInterrupted)
	}
}

type simulation struct {
	Scenario
	rng          *rand.Rand
	now          time.Duration
	events       eventQueue
	upstreams    map[azurestair.UpstreamID]*upstream
	allUpstreams []*upstream
	// pickers holds the pickers of the entries of each region.
	pickers [][]*placement.Picker
	// budgets holds the retry budgets of the entries of each region.
	budgets [][]*retry.Budget
	planner control.RegionPlanner
	plans   []azurestair.RegionPlan
	// registry holds the rates of objects that the entries report.
	registry      control.Registry
	objectPlanner control.ObjectPlanner
	published     *azurestair.Snapshot
	// meters and counts hold the traffic of each region.
	// popularity holds the cumulative popularity of the objects if it is skewed.
	popularity                  []float64
	meters                      []control.TrafficMeter
	counts                      []control.TrafficCount
	result                      Result
	warmRequests, totalRequests float64
}

// startTime is the wall-clock time at which virtual time starts.
var startTime = time.Unix(1_700_000_000, 0)

// Run simulates the scenario.
func (s Scenario) Run() Result {
	s = s.withDefaults()
	sim := &simulation{Scenario: s, rng: rand.New(rand.NewPCG(s.Seed, s.Seed)), upstreams: map[azurestair.UpstreamID]*upstream{}}
	sim.result.Windows = make([]Window, int(s.Length/windowLength)+1)
	sim.build()
	sim.publishPeriodically()
	sim.scheduleLoadReports()
	for region := range s.Regions {
		sim.scheduleArrival(region)
	}
	sim.scheduleOutage()
	for sim.events.Len() > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	sim.summarizeArrivals()
	sim.result.WarmShare = sim.warmRequests / max(sim.totalRequests, 1)
	return sim.result
}

func (sim *simulation) virtualTime() time.Time { return startTime.Add(sim.now) }

func (sim *simulation) schedule(d time.Duration, run func()) {
	heap.Push(&sim.events, event{at: sim.now + d, run: run})
}

func region(n int) azurestair.RegionName { return azurestair.RegionName(fmt.Sprintf("r%d", n)) }

func (sim *simulation) build() {
	for r := range sim.Regions {
		for i := range sim.Upstreams {
			u := &upstream{info: azurestair.Announcement{
				Upstream: azurestair.UpstreamID(fmt.Sprintf("w%d-%d", r, i)), Service: service, Addr: "127.0.0.1:80",
				Region: region(r), FailureDomain: azurestair.FailureDomainName(region(r)), Slots: sim.Slots, MaxConns: 330,
				State: azurestair.StateServing, Incarnation: 1,
			}}
			sim.upstreams[u.info.Upstream] = u
			sim.allUpstreams = append(sim.allUpstreams, u)
		}
		var list []*placement.Picker
		for i := range sim.Entries {
			list = append(list, placement.New(placement.Options{
				Service: service, Region: region(r), Self: entryID(r, i), LateSlotTTL: time.Second,
				Copies: sim.Copies, Reach: sim.Reach, Rand: rand.NewPCG(sim.Seed, uint64(i)),
			}))
		}
		sim.pickers = append(sim.pickers, list)
		sim.budgets = append(sim.budgets, sim.newBudgets())
		sim.meters = append(sim.meters, control.TrafficMeter{})
		sim.counts = append(sim.counts, control.TrafficCount{})
	}
}

// newBudgets returns the retry budgets of the entries of a region.
func (sim *simulation) newBudgets() []*retry.Budget {
	var out []*retry.Budget
	for range sim.Entries {
		b := &retry.Budget{Percent: sim.RetryPercent}
		b.Share(sim.RetryBurst, sim.Regions*sim.Entries+1, sim.virtualTime())
		out = append(out, b)
	}
	return out
}

func entryID(r, i int) azurestair.InstanceID {
	return azurestair.InstanceID(fmt.Sprintf("e%d-%d", r, i))
}

// publish gives all entries a snapshot of the upstreams that are up.
func (sim *simulation) publish() {
	s := &azurestair.Snapshot{Config: &azurestair.Config{
		Version: 1, Services: []azurestair.Service{{
			Name: service, ColdPerSecond: sim.Outage.ColdPerSecond, ColdMs: azurestair.MillisOf(sim.Outage.Cold),
		}},
		Defaults: azurestair.Defaults{SpreadObjects: sim.SpreadObjects}, Routes: make([]azurestair.Route, 1),
	}}
	for _, u := range sim.allUpstreams {
		if u.down && u.listed == nil {
			continue
		}
		a := u.info
		a.ColdMs = azurestair.MillisOf(max(0, u.coldUntil-sim.now))
		if u.listed != nil {
			a = *u.listed
		}
		s.Upstreams = append(s.Upstreams, azurestair.UpstreamInfo{Announcement: a, Confirmed: true})
	}
	for r, list := range sim.pickers {
		for i := range list {
			s.Instances = append(s.Instances, azurestair.InstanceInfo{ID: entryID(r, i), CallerAddr: "127.0.0.1:81", Region: region(r), LinkRate: sim.linkRate()})
		}
	}
	s.Plans = sim.plans
	traffic := sim.regionTraffic()
	s.Plans = sim.planner.Step(s, traffic, sim.virtualTime())
	sim.plans = s.Plans
	if sim.SpreadObjects {
		s.Objects = sim.planObjects(traffic)
	}
	if reflect.DeepEqual(s, sim.published) {
		return
	}
	sim.published = s
	for _, list := range sim.pickers {
		for _, p := range list {
			p.Update(s, sim.virtualTime())
		}
	}
}

// regionTraffic returns the traffic of each region for the planner.
func (sim *simulation) regionTraffic() map[azurestair.RegionName][]azurestair.Traffic {
	out := map[azurestair.RegionName][]azurestair.Traffic{}
	for r := range sim.counts {
		list := sim.meters[r].Rates(map[azurestair.ServiceName]control.TrafficCount{service: sim.counts[r]}, sim.virtualTime())
		if !sim.FixedPlan {
			out[region(r)] = list
		}
	}
	return out
}

// publishInterval is the interval at which snapshots are published.
const publishInterval = time.Second

func (sim *simulation) publishPeriodically() {
	if sim.now < sim.Length {
		sim.publish()
		sim.schedule(publishInterval, sim.publishPeriodically)
	}
}

func (sim *simulation) scheduleOutage() {
	if sim.Outage.Upstreams == 0 {
		return
	}
	failed := sim.allUpstreams[:sim.Outage.Upstreams]
	sim.schedule(sim.Outage.From, func() {
		for _, u := range failed {
			u.down, u.cached = true, nil
			if before := u.info; sim.Outage.Unnoticed > 0 {
				u.listed = &before
				u.crash()
			}
		}
		sim.publish()
	})
	sim.schedule(sim.Outage.To, func() {
		for _, u := range failed {
			u.down, u.coldUntil = false, sim.now+sim.Outage.Cold
			u.info.Incarnation++
			u.startedAt = sim.now
		}
		sim.publish()
		sim.schedule(sim.Outage.Cold, sim.publish)
		sim.schedule(sim.Outage.Unnoticed, func() {
			for _, u := range failed {
				u.listed = nil
			}
			sim.publish()
		})
	})
}

// scheduleArrival schedules the next request of a region.
func (sim *simulation) scheduleArrival(r int) {
	rate := sim.Rate
	if sim.Wave.Period > 0 {
		phase := float64(sim.now)/float64(sim.Wave.Period) + float64(r)/float64(sim.Regions)
		rate *= 1 + sim.Wave.Amplitude*math.Sin(2*math.Pi*phase)
	}
	if sim.now >= sim.Burst.From && sim.now < sim.Burst.To {
		rate *= sim.Burst.Factor
	}
	gap := time.Duration(-math.Log(1-sim.rng.Float64()) / rate * float64(time.Second))
	if sim.now+gap > sim.Length {
		return
	}
	sim.schedule(gap, func() {
		object := sim.objectKey(r, sim.nextObject())
		q := &request{simulation: sim, region: r, object: object, firstSentAt: sim.now}
		sim.window(q.firstSentAt).Requests++
		q.attempt()
		sim.scheduleArrival(r)
	})
}

func (sim *simulation) window(at time.Duration) *Window {
	return &sim.result.Windows[int(at/windowLength)]
}

// request is a client request with its retry.
type request struct {
	*simulation
	region        int
	object        azurestair.ObjectKey
	firstSentAt   time.Duration
	attemptSentAt time.Duration
	attempts      int
}

func (q *request) attempt() {
	q.attempts++
	q.counts[q.region].Requests++
	if q.isMeasured() {
		q.result.Arrivals++
	}
	entry := q.rng.IntN(q.Entries)
	q.budgets[q.region][entry].AddRequest()
	q.send(entry, nil)
}

// send sends the request from an entry to an upstream that was not tried.
func (q *request) send(entry int, tried []azurestair.UpstreamID) {
	p := q.pickers[q.region][entry]
	work := azurestair.RequestInfo{Service: service, Rank: azurestair.RankInteractive, Idempotent: true, Object: q.object}
	c, err := p.Pick(work, tried, q.virtualTime())
	if err != nil {
		q.handleRefusal()
		return
	}
	q.countArrival(len(tried) > 0)
	u := q.upstreams[c.Upstream]
	sent := q.now
	q.attemptSentAt = sent
	end := func(r azurestair.AttemptResult) {
		load := q.reportedLoad(u)
		o := azurestair.Observation{Load: &load, Shed: r == azurestair.AttemptNotRun, ConnectedAt: startTime.Add(u.startedAt)}
		switch {
		case r == azurestair.AttemptInterrupted:
			o = azurestair.Observation{ConnLost: true}
		case u.down:
			o = azurestair.Observation{Unreachable: true}
		}
		p.Observe(c, o, q.virtualTime())
		p.Done(c, r, q.now-sent, q.virtualTime())
	}
	if q.isMeasured() {
		u.arrivals++
	}
	if u.down || len(u.waiting) >= q.QueueLimit {
		end(azurestair.AttemptNotRun)
		if q.mayRetry(entry, tried) {
			q.send(entry, append(tried, c.Upstream))
			return
		}
		q.handleRefusal()
		return
	}
	q.countCold(u)
	a := &accepted{finish: func(r azurestair.AttemptResult) {
		end(r)
		if r == azurestair.AttemptInterrupted {
			q.handleRefusal()
		}
	}}
	u.accepted = append(u.accepted, a)
	begin := func() { q.execute(u, a) }
	if u.inProgress < int(q.Slots) {
		begin()
		return
	}
	u.waiting = append(u.waiting, begin)
}

// maxRetries is the number of upstreams to which an entry sends a request again.
const maxRetries = 2

// mayRetry reports whether an entry may send the request again, and takes the
// retry from its budget.
func (q *request) mayRetry(entry int, tried []azurestair.UpstreamID) bool {
	return q.RetryPercent > 0 && len(tried) < maxRetries && q.budgets[q.region][entry].Spend(q.virtualTime())
}

func (q *request) countArrival(isRetry bool) {
	if isRetry {
		q.window(q.now).Retries++
	} else {
		q.window(q.now).FirstArrivals++
	}
}

// countCold counts the requests that a cold upstream received within the last
// second and updates MaxColdRate.
func (q *request) countCold(u *upstream) {
	if q.now >= u.coldUntil {
		return
	}
	u.recentCold = append(slices.DeleteFunc(u.recentCold, func(at time.Duration) bool { return q.now-at >= time.Second }), q.now)
	q.result.MaxColdRate = max(q.result.MaxColdRate, len(u.recentCold))
}

func (q *request) handleRefusal() {
	if q.isMeasured() {
		q.result.TurnedAway++
	}
	if q.attempts == 1 {
		q.schedule(retryDelay, q.attempt)
		return
	}
	q.window(q.firstSentAt).Refused++
}

// execute runs an accepted attempt at an upstream.
func (q *request) execute(u *upstream, a *accepted) {
	u.inProgress++
	d := float64(q.ServiceTime) * (1 + serviceTimeSpread*(2*q.rng.Float64()-1))
	q.totalRequests++
	if at := slices.Index(u.cached, q.object); at >= 0 {
		u.cached = slices.Delete(u.cached, at, at+1)
		d *= q.WarmFactor
		q.warmRequests++
	}
	u.cached = append(u.cached, q.object)
	if len(u.cached) > q.CacheSize {
		u.cached = u.cached[1:]
	}
	q.schedule(time.Duration(d), func() {
		if a.interrupted {
			return
		}
		u.accepted = slices.DeleteFunc(u.accepted, func(o *accepted) bool { return o == a })
		u.inProgress--
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			next()
		}
		a.finish(azurestair.AttemptDone)
		q.counts[q.region].Finished++
		q.counts[q.region].BusyTime += q.now - q.attemptSentAt
		q.recordLatency()
	})
}

func (q *request) recordLatency() {
	switch took := q.now - q.firstSentAt; {
	case took <= q.Target:
		q.window(q.firstSentAt).WithinTarget++
	case took <= q.Deadline:
		q.window(q.firstSentAt).Late++
	}
}
