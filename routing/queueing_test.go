package routing_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/routing"
)

// scenario is an open-loop queueing model: entries with a picker each send
// Poisson arrivals to workers with slots and a first-come queue. Load reports
// reach the pickers every half second and are half a second old by then.
type scenario struct {
	slots   int
	entries int
	load    float64 // share of the nominal capacity
	last    time.Duration
	picker  func(routing.Options) azurestair.Picker
	without routing.Mechanisms
	report  func(worker int, real azurestair.Slots) azurestair.Slots
	// slowdown returns the factor on the service time of a worker.
	slowdown func(worker int, at time.Duration) float64
	failing  int // worker that fails after 1 ms; -1 for none
	joins    time.Duration
}

const (
	workers     = 12
	serviceTime = 10 * time.Millisecond
	reportEvery = 500 * time.Millisecond
)

func base() scenario {
	return scenario{
		slots: 3, entries: 7, load: 0.6, last: 30 * time.Second, failing: -1,
		picker:   func(o routing.Options) azurestair.Picker { return routing.NewWeighted(o) },
		report:   func(_ int, real azurestair.Slots) azurestair.Slots { return real },
		slowdown: func(int, time.Duration) float64 { return 1 },
	}
}

func oneSlow(w int, _ time.Duration) float64 {
	if w == 5 {
		return 10
	}
	return 1
}

type figures struct {
	latencies                []time.Duration
	requests, refused, fails int
	// byWorker counts requests; newcomer those of the last worker by second after it joined.
	byWorker [workers]int
	newcomer [11]int
}

func (f *figures) quantile(q float64) time.Duration {
	return f.latencies[int(float64(len(f.latencies)-1)*q)]
}

func (f *figures) String() string {
	return fmt.Sprintf("p50 %6.1f  p99 %6.1f  p99.9 %6.1f ms  refused %5.2f%%  failed %5.2f%%",
		ms(f.quantile(0.5)), ms(f.quantile(0.99)), ms(f.quantile(0.999)),
		100*float64(f.refused)/float64(f.requests), 100*float64(f.fails)/float64(f.requests))
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

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

type model struct {
	scenario
	figures
	queue   events
	now     time.Duration
	rand    *rand.Rand
	pickers []azurestair.Picker
	busy    [workers]int
	waiting [workers][]func()
	infos   []azurestair.UpstreamInfo
	ids     map[azurestair.UpstreamID]int
}

func (s scenario) run() *figures {
	m := &model{scenario: s, rand: rand.New(rand.NewPCG(11, 13)), ids: map[azurestair.UpstreamID]int{}}
	m.infos = upstreams("x", workers, azurestair.Slots(s.slots))
	for i, u := range m.infos {
		m.ids[u.Announcement.Upstream] = i
	}
	for i := range s.entries {
		m.pickers = append(m.pickers, s.picker(routing.Options{
			Region: "x", FailureDomain: azurestair.FailureDomainName([]string{"x-a", "x-b"}[i%2]),
			Entries: s.entries, Rand: rand.NewPCG(uint64(i), 3), Without: s.without,
		}))
	}
	m.deliver(m.infos)
	m.after(0, m.observe)
	m.after(0, m.arrive)
	for m.now < s.last {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.do()
	}
	slices.Sort(m.latencies)
	return &m.figures
}

func (m *model) after(d time.Duration, do func()) { heap.Push(&m.queue, event{m.now + d, do}) }

func (m *model) time() time.Time { return start.Add(m.now) }

// observe takes the load reports that the pickers get one interval later.
func (m *model) observe() {
	list := slices.Clone(m.infos)
	for i := range list {
		a := &list[i].Announcement
		a.Sequence += azurestair.Sequence(m.now / reportEvery)
		a.Load.InFlight = m.report(i, azurestair.Slots(m.busy[i]))
		a.Load.Queued = m.report(i, azurestair.Slots(len(m.waiting[i])))
	}
	m.after(reportEvery, func() { m.deliver(list) })
	m.after(reportEvery, m.observe)
}

func (m *model) deliver(list []azurestair.UpstreamInfo) {
	if m.now < m.joins {
		list = list[:workers-1]
	}
	s := &azurestair.Snapshot{Upstreams: list}
	for _, p := range m.pickers {
		p.Update(s, m.time())
	}
}

func (m *model) arrive() {
	rate := m.load * float64(workers*m.slots) / serviceTime.Seconds()
	m.after(time.Duration(m.rand.ExpFloat64()/rate*float64(time.Second)), m.arrive)
	m.requests++
	p := m.pickers[m.rand.IntN(len(m.pickers))]
	c, err := p.Pick(azurestair.Work{}, nil, m.time())
	if err != nil {
		m.refused++
		return
	}
	m.send(p, c, m.ids[c.Upstream])
}

func (m *model) send(p azurestair.Picker, c azurestair.Choice, w int) {
	m.byWorker[w]++
	if since := m.now - m.joins; w == workers-1 && since >= 0 {
		m.newcomer[min(since/time.Second, 10)]++
	}
	if w == m.failing {
		m.fails++
		m.after(time.Millisecond, func() { p.Done(c, azurestair.AttemptBroken, time.Millisecond, m.time()) })
		return
	}
	sent := m.now
	m.enqueue(w, func() {
		p.Done(c, azurestair.AttemptDone, m.now-sent, m.time())
		m.latencies = append(m.latencies, m.now-sent)
	})
}

// enqueue serves a request when a slot is free. Half of the service time is
// constant and half exponential, so that the tail without faults is short.
func (m *model) enqueue(w int, done func()) {
	if m.busy[w] >= m.slots {
		m.waiting[w] = append(m.waiting[w], done)
		return
	}
	m.busy[w]++
	d := float64(serviceTime) * (0.5 + 0.5*m.rand.ExpFloat64()) * m.slowdown(w, m.now)
	m.after(time.Duration(d), func() {
		m.busy[w]--
		done()
		if len(m.waiting[w]) > 0 {
			next := m.waiting[w][0]
			m.waiting[w] = m.waiting[w][1:]
			m.enqueue(w, next)
		}
	})
}

func note(name string, f *figures) *figures {
	GinkgoWriter.Printf("%-44s %s\n", name, f)
	return f
}

// expectTail compares the tail with that of the same scenario without a slow worker.
func expectTail(name string, s scenario, most float64) {
	GinkgoHelper()
	slow := note(name+", one slow", s.run())
	s.slowdown = base().slowdown
	even := note(name+", none slow", s.run())
	ratio := float64(slow.quantile(0.99)) / float64(even.quantile(0.99))
	GinkgoWriter.Printf("%-44s p99 ratio %.2f\n", name, ratio)
	Expect(ratio).To(BeNumerically("<=", most))
	Expect(float64(slow.refused)).To(BeNumerically("<=", 0.001*float64(slow.requests)))
}

var _ = Describe("queueing model", func() {
	// Guards the target: p99 with one worker in twelve ten times slower is at
	// most 1.5 times the p99 with none.
	DescribeTable("one slow worker",
		func(change func(*scenario)) {
			s := base()
			s.slowdown = oneSlow
			change(&s)
			expectTail("weighted: "+CurrentSpecReport().LeafNodeText, s, 1.5)
		},
		Entry("3 slots", func(*scenario) {}),
		Entry("5 slots", func(s *scenario) { s.slots = 5 }),
		Entry("9 slots", func(s *scenario) { s.slots = 9 }),
		Entry("high load", func(s *scenario) { s.load = 0.8 }),
		Entry("light load", func(s *scenario) { s.load = 0.2 }),
		Entry("one entry", func(s *scenario) { s.entries = 1 }),
		Entry("no load reports", func(s *scenario) { s.without.LoadReports = true }),
		Entry("reports always zero", func(s *scenario) {
			s.report = func(int, azurestair.Slots) azurestair.Slots { return 0 }
		}),
		Entry("reports always full", func(s *scenario) {
			s.report = func(int, azurestair.Slots) azurestair.Slots { return azurestair.MaxSlots }
		}),
		// The worst lie: the slow worker says idle and the others say full.
		Entry("reports swapped", func(s *scenario) {
			s.report = func(w int, _ azurestair.Slots) azurestair.Slots {
				if w == 5 {
					return 0
				}
				return azurestair.MaxSlots
			}
		}),
	)

	// Shows that the model tells pickers apart: the baselines miss the target.
	DescribeTable("baselines with one slow worker",
		func(picker func(routing.Options) azurestair.Picker, without routing.Mechanisms) {
			s := base()
			s.picker, s.without = picker, without
			name := CurrentSpecReport().LeafNodeText
			even := note(name+", none slow", s.run())
			s.slowdown = oneSlow
			slow := note(name+", one slow", s.run())
			ratio := float64(slow.quantile(0.99)) / float64(even.quantile(0.99))
			GinkgoWriter.Printf("%-44s p99 ratio %.2f\n", name, ratio)
			Expect(ratio).To(BeNumerically(">", 1.5))
		},
		Entry("round robin", func(o routing.Options) azurestair.Picker { return routing.NewRoundRobin(o) }, routing.Mechanisms{}),
		Entry("least loaded", func(o routing.Options) azurestair.Picker { return routing.NewLeastLoaded(o) }, routing.Mechanisms{}),
		Entry("weighted without latency", base().picker, routing.Mechanisms{Latency: true}),
	)

	// Guards against a worker that draws work in because it fails fast.
	DescribeTable("fail-fast worker",
		func(without routing.Mechanisms, atLeast, atMost float64) {
			s := base()
			s.failing, s.without = 5, without
			f := note("fail-fast, "+CurrentSpecReport().LeafNodeText, s.run())
			share := float64(f.fails) / float64(f.requests)
			Expect(share).To(And(BeNumerically(">=", atLeast), BeNumerically("<=", atMost)))
		},
		Entry("weighted", routing.Mechanisms{}, 0.0, 0.002),
		Entry("penalty only", routing.Mechanisms{Ejection: true}, 0.0, 0.01),
		Entry("ejection only", routing.Mechanisms{Penalty: true}, 0.0, 0.005),
		Entry("neither", routing.Mechanisms{Ejection: true, Penalty: true}, 0.08, 1.0),
	)

	// Guards against a herd on a newcomer whose cache is cold.
	DescribeTable("newcomer that is ten times slower for five seconds",
		func(without routing.Mechanisms) {
			s := base()
			s.joins, s.without = 10*time.Second, without
			s.last = 20 * time.Second
			s.slowdown = func(w int, at time.Duration) float64 {
				if w == workers-1 && at < s.joins+5*time.Second {
					return 10
				}
				return 1
			}
			f := note("cold newcomer, "+CurrentSpecReport().LeafNodeText, s.run())
			part := 1.0 / workers * s.load * float64(workers*s.slots) / serviceTime.Seconds()
			GinkgoWriter.Printf("  newcomer by second %v of %.0f\n", f.newcomer, part)
			Expect(float64(slices.Max(f.newcomer[:3]))).To(BeNumerically("<", part))
			s.slowdown = base().slowdown
			even := note("warm newcomer, "+CurrentSpecReport().LeafNodeText, s.run())
			GinkgoWriter.Printf("  newcomer by second %v of %.0f\n", even.newcomer, part)
			Expect(float64(f.quantile(0.99))).To(BeNumerically("<=", 1.5*float64(even.quantile(0.99))))
			Expect(float64(slices.Max(even.newcomer[:3]))).To(BeNumerically("<", math.Ceil(part)))
			Expect(float64(even.newcomer[9])).To(BeNumerically(">", part/2))
		},
		Entry("weighted", routing.Mechanisms{}),
	)
})
