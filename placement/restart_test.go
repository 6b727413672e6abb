package placement_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/placement"
	"azurestair.example/azurestair/routing"
)

// coldBound is the largest number of requests in one second with which a cold
// upstream of the harness is not flooded: half more than the 9.7 per second that
// it tolerates, and 5.
const coldBound = 19

// restarted returns the upstreams with the first one started again, cold for
// three seconds.
func restarted(list []azurestair.Announcement) []azurestair.Announcement {
	next := append([]azurestair.Announcement{}, list...)
	next[0].Incarnation++
	next[0].Sequence, next[0].ColdMs = 1, 3000
	return next
}

var _ = Describe("an upstream that starts again under its id", func() {
	list := upstreams("huye", 1)
	var h *harness
	BeforeEach(func() { h = newHarness(1, "huye", list...) })

	// Guards against a flood of a cold upstream that leaves no trace of what
	// the entries knew.
	It("is reported with the requests that were sent to it shortly before", func() {
		for i := range 5 {
			h.place(0, workOn(i))
		}
		h.set(restarted(list)...)
		Expect(h.pickers[0].Events()).To(ConsistOf(placement.Event{
			Upstream: list[0].Upstream,
			Restart:  &placement.Restart{Incarnation: 2, Before: 1, ColdMs: 3000, RecentRequests: 5, Quota: 9},
		}))
	})

	// Guards against entries that start their quotas anew when they learn of the
	// new process, although it has got all their requests of the last second.
	It("counts the requests that were sent to it before its start was known", func() {
		h = newHarness(7, "huye", list...)
		sent := 0
		for e := range h.pickers {
			for i := range 2 {
				h.place(e, workOn(i))
				sent++
			}
		}
		h.now = h.now.Add(100 * time.Millisecond)
		h.set(restarted(list)...)
		for e := range h.pickers {
			for {
				c, err := h.pickers[e].Pick(workOn(1), nil, h.now)
				if err != nil {
					break
				}
				h.pickers[e].Done(c, done, latency, h.now)
				sent++
			}
		}
		Expect(sent).To(BeNumerically("<=", coldBound))
	})

	// Guards against failures of the process before, and the end of its
	// requests, that are counted against the new process.
	It("is not judged by attempts to the process before", func() {
		var before []azurestair.Choice
		for i := range 4 {
			c, err := h.pickers[0].Pick(workOn(i), nil, h.now)
			Expect(err).NotTo(HaveOccurred())
			before = append(before, c)
		}
		next := restarted(list)
		next[0].ColdMs = 0
		h.set(next...)
		_, err := h.pickers[0].Pick(workOn(1), nil, h.now)
		Expect(err).NotTo(HaveOccurred())
		for _, c := range before {
			h.pickers[0].Observe(c, azurestair.Observation{Unreachable: true}, h.now)
			h.pickers[0].Done(c, azurestair.AttemptInterrupted, latency, h.now)
		}
		status := h.pickers[0].Status(nil, h.now)
		Expect(status).To(HaveLen(1))
		Expect(status[0].Standing).To(Equal(routing.StandingServing))
		Expect(status[0].InFlight).To(BeEquivalentTo(1))
	})
})

// Guards against a new leader that has only the upstreams stored in the log. It
// may list the process before, and it lists every upstream as warm.
var _ = DescribeTable("a cold upstream stays limited when a new leader lists",
	func(change func(*azurestair.Announcement)) {
		list := restarted(upstreams("huye", 1))
		h := newHarness(7, "huye", list...)
		seeded := h.snap
		a := list[0]
		change(&a)
		seeded.Upstreams = []azurestair.UpstreamInfo{{Announcement: a}}
		sent := 0
		for _, p := range h.pickers {
			p.Update(&seeded, h.now)
			for range coldBound {
				if c, err := p.Pick(workOn(1), nil, h.now); err == nil {
					p.Done(c, done, latency, h.now)
					sent++
				}
			}
		}
		Expect(sent).To(BeNumerically("<=", coldBound))
		Expect(sent).To(BeNumerically(">", 0))
	},
	Entry("it as warm", func(a *azurestair.Announcement) { a.ColdMs, a.Sequence = 0, 0 }),
	Entry("the process before", func(a *azurestair.Announcement) { a.ColdMs, a.Sequence, a.Incarnation = 0, 0, 1 }),
)

// restartLoad sends every entry a request for a new object every few
// milliseconds and counts those that arrive at one upstream.
type restartLoad struct {
	*harness
	target azurestair.UpstreamID
	down   bool
	// startedAt is when the target started, before which no connection to it can
	// have been opened.
	startedAt time.Time
	// running holds the attempts that end at a later time.
	running []runningAttempt
	arrived []time.Time
	object  int
}

type runningAttempt struct {
	entry  int
	choice azurestair.Choice
	endsAt time.Time
}

const (
	restartStep   = 10 * time.Millisecond
	coldLatency   = 300 * time.Millisecond
	requestsEvery = 2 * restartStep
)

// run advances the load.
func (l *restartLoad) run(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(restartStep) {
		l.finish()
		if l.now.Sub(start)%requestsEvery == 0 {
			for e := range l.pickers {
				l.object++
				l.send(e, workOn(l.object))
			}
		}
	}
}

// finish ends the attempts that are due.
func (l *restartLoad) finish() {
	var rest []runningAttempt
	for _, a := range l.running {
		if a.endsAt.After(l.now) {
			rest = append(rest, a)
			continue
		}
		o := azurestair.Observation{ConnectedAt: start}
		if a.choice.Upstream == l.target {
			o.ConnectedAt = l.startedAt
		}
		l.pickers[a.entry].Observe(a.choice, o, l.now)
		l.pickers[a.entry].Done(a.choice, done, coldLatency, l.now)
	}
	l.running = rest
}

func (l *restartLoad) send(entry int, w azurestair.RequestInfo) {
	p := l.pickers[entry]
	c, err := p.Pick(w, nil, l.now)
	switch {
	case err != nil:
		return
	case c.Upstream == l.target && l.down:
		p.Observe(c, azurestair.Observation{Unreachable: true}, l.now)
		p.Done(c, azurestair.AttemptNotRun, 0, l.now)
		return
	case c.Upstream == l.target:
		l.arrived = append(l.arrived, l.now)
	}
	l.running = append(l.running, runningAttempt{entry: entry, choice: c, endsAt: l.now.Add(coldLatency)})
}

// largestSecond returns the largest number of arrivals within one second.
func (l *restartLoad) largestSecond() int {
	largest := 0
	for i, at := range l.arrived {
		n := 0
		for _, other := range l.arrived[i:] {
			if other.Sub(at) < time.Second {
				n++
			}
		}
		largest = max(largest, n)
	}
	return largest
}

// crash interrupts the attempts to the target and closes its port.
func (l *restartLoad) crash() {
	l.down = true
	l.running = slices.DeleteFunc(l.running, func(a runningAttempt) bool {
		if a.choice.Upstream != l.target {
			return false
		}
		l.pickers[a.entry].Observe(a.choice, azurestair.Observation{ConnLost: true}, l.now)
		l.pickers[a.entry].Done(a.choice, azurestair.AttemptInterrupted, latency, l.now)
		return true
	})
}

// Names the load pattern in which upstreams crash and listen again under their
// ids, cold, before the entries can know of the new process.
var _ = Describe("an upstream whose connections failed", func() {
	// Guards against entries that take the first response of the new process
	// for one of the process that they know, and flood it.
	It("is not flooded before it is known whether it has started again", func() {
		list := upstreams("huye", 6)
		h := newHarness(7, "huye", list...)
		h.snap.Config.Services[0].ColdMs = 3000
		h.set(list...)
		l := &restartLoad{harness: h, target: list[0].Upstream}
		l.run(2 * time.Second)
		l.crash()
		l.run(1200 * time.Millisecond)
		l.down, l.arrived, l.startedAt = false, nil, l.now
		l.run(3 * time.Second)
		Expect(l.largestSecond()).To(BeNumerically("<=", coldBound))
		Expect(l.arrived).NotTo(BeEmpty())
	})

	// Guards against limits on a warm upstream after every response that breaks
	// off.
	It("is not limited once a connection that was open before carries a response", func() {
		h := newHarness(7, "huye", upstreams("huye", 1)...)
		h.snap.Config.Services[0].ColdMs = 3000
		h.set(upstreams("huye", 1)...)
		p := h.pickers[0]
		c := h.place(0, workOn(1))
		lost := azurestair.Observation{ConnLost: true}
		p.Observe(h.pick(0), lost, h.now)
		h.pick(0)
		p.Observe(h.pick(0), lost, h.now)
		Expect(p.Events()).To(Equal([]placement.Event{{Upstream: c.Upstream, Suspected: true}}))
		expectRefused(p, workOn(1), h.now, azurestair.ReasonSaturated)
		p.Observe(c, azurestair.Observation{ConnectedAt: h.now.Add(-time.Second)}, h.now)
		for range 20 {
			h.place(0, workOn(1))
		}
	})
})

// Guards against a later failure that makes a connection to the new process look
// older than the crash.
var _ = It("a suspected restart is not refuted by a connection that was opened after the first failure", func() {
	h := newHarness(7, "huye", upstreams("huye", 1)...)
	h.snap.Config.Services[0].ColdMs = 3000
	h.set(upstreams("huye", 1)...)
	sent := 0
	for e, p := range h.pickers {
		lost := azurestair.Observation{ConnLost: true}
		first, second, third := h.pick(e), h.pick(e), h.pick(e)
		p.Observe(first, lost, h.now.Add(10*time.Millisecond))
		p.Observe(second, lost, h.now.Add(10*time.Millisecond))
		p.Observe(third, lost, h.now.Add(1400*time.Millisecond))
		opened := h.now.Add(1300 * time.Millisecond)
		p.Observe(third, azurestair.Observation{ConnectedAt: opened}, h.now.Add(1600*time.Millisecond))
		for range coldBound {
			if _, err := p.Pick(workOn(1), nil, h.now.Add(2600*time.Millisecond)); err == nil {
				sent++
			}
		}
	}
	Expect(sent).To(BeNumerically("<=", coldBound))
	Expect(sent).To(BeNumerically(">", 0))
})

// Guards against entries that each take the whole quota of a cold upstream,
// because a new leader lists no entries yet.
var _ = DescribeTable("a suspected restart is limited although a new leader lists", func(listed int) {
	h := newHarness(7, "huye", upstreams("huye", 1)...)
	h.snap.Config.Services[0].ColdMs = 3000
	h.snap.Instances = h.snap.Instances[:listed]
	h.set(upstreams("huye", 1)...)
	sent := 0
	for e, p := range h.pickers {
		for range 2 {
			p.Observe(h.pick(e), azurestair.Observation{ConnLost: true}, h.now)
		}
		p.Observe(azurestair.Choice{Upstream: "huye-0", Incarnation: 1}, azurestair.Observation{ConnectedAt: h.now}, h.now.Add(2*time.Second))
		for range coldBound {
			if _, err := p.Pick(workOn(1), nil, h.now.Add(2*time.Second)); err == nil {
				sent++
			}
		}
	}
	Expect(sent).To(BeNumerically("<=", coldBound))
	Expect(sent).To(BeNumerically(">", 0))
},
	Entry("no entries", 0),
	Entry("three of seven entries", 3),
	Entry("all entries", 7),
)

// Guards against records of upstreams that are gone, each kept for ever by a
// request that timed out.
var _ = It("an unlisted upstream is forgotten once its late slots have expired", func() {
	h := newHarness(1, "huye", upstreams("huye", 2)...)
	for i := range 6 {
		c, err := h.pickers[0].Pick(workOn(i), nil, h.now)
		Expect(err).NotTo(HaveOccurred())
		h.pickers[0].Done(c, azurestair.AttemptTimeout, latency, h.now)
	}
	h.set()
	Expect(h.pickers[0].Status(nil, h.now)).To(HaveLen(2))
	h.now = h.now.Add(2 * time.Second)
	h.set()
	Expect(h.pickers[0].Status(nil, h.now)).To(BeEmpty())
})

// pick returns where an entry sends a request that does not end.
func (h *harness) pick(entry int) azurestair.Choice {
	GinkgoHelper()
	c, err := h.pickers[entry].Pick(workOn(1), nil, h.now)
	Expect(err).NotTo(HaveOccurred())
	return c
}
