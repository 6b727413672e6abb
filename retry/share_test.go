package retry_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair/retry"
)

const (
	// fleetStep is the resolution of the virtual time.
	fleetStep = 100 * time.Millisecond
	// countedWindow is the window in which retries are counted.
	countedWindow = 10 * time.Second
	fleetPercent  = 15
)

// fleetSize is a deployment: its entries, the requests per second of each and
// the joint burst.
type fleetSize struct {
	entries int
	rate    float64
	burst   int
}

// The bursts are nine tenths of what the deployments of 7, 31 and 125 entries
// allow for a service: 58, 196 and 314.
var (
	small  = fleetSize{7, 40, 52}
	medium = fleetSize{31, 20, 176}
	large  = fleetSize{125, 5.54, 282}
)

// fleetCounts holds the requests and the retries of one step of all entries.
type fleetCounts struct{ requests, retries int }

// retryFleet runs the budgets of many entries in virtual time.
type retryFleet struct {
	now      time.Time
	rng      *rand.Rand
	machines []*fleetMachine
	steps    []fleetCounts
	wanted   int
	// pool is a budget that all entries use; nil gives each its own.
	pool *retry.Budget
}

// fleetMachine is a machine with one entry, which may be restarted or cut off
// from the leader.
type fleetMachine struct {
	budget *retry.Budget
	burst  int
	// down is true while no entry runs, and fresh until it has received a list;
	// before that it serves nothing.
	down, cutOff, fresh bool
}

func newRetryFleet(size fleetSize, seed uint64, burst int) *retryFleet {
	f := &retryFleet{now: start, rng: rand.New(rand.NewPCG(seed, seed))}
	f.join(size.entries, burst)
	f.distribute()
	return f
}

func (f *retryFleet) join(n, burst int) {
	for range n {
		f.machines = append(f.machines, &fleetMachine{budget: &retry.Budget{Percent: fleetPercent}, burst: burst, fresh: true})
	}
}

// restart replaces the budget of a machine by that of a new run.
func (m *fleetMachine) restart() {
	m.budget, m.fresh = &retry.Budget{Percent: fleetPercent}, true
}

// distribute gives the list of the entries to those that reach the leader. The
// leader lists only these; each entry counts one more, as the process does.
func (f *retryFleet) distribute() {
	listed := f.listed()
	for _, m := range f.machines {
		if !m.down && !m.cutOff {
			m.budget.Share(m.burst, listed+1, f.now)
			m.fresh = false
		}
	}
}

// arrivals returns the number of arrivals of a step.
func (f *retryFleet) arrivals(perSecond float64) int {
	n, mean := 0, perSecond*fleetStep.Seconds()
	for t := f.rng.ExpFloat64(); t < mean; t += f.rng.ExpFloat64() {
		n++
	}
	return n
}

// step sends the requests of one step; wants returns the fraction of a
// machine's requests that need a retry.
func (f *retryFleet) step(rate float64, wants func(machine int) float64) {
	var c fleetCounts
	for i, m := range f.machines {
		if m.down || m.fresh {
			continue
		}
		b := m.budget
		if f.pool != nil {
			b = f.pool
		}
		for range f.arrivals(rate) {
			c.requests++
			b.AddRequest()
			if f.rng.Float64() >= wants(i) {
				continue
			}
			f.wanted++
			if b.Spend(f.now) {
				c.retries++
			}
		}
	}
	f.steps = append(f.steps, c)
	f.now = f.now.Add(fleetStep)
}

func (f *retryFleet) run(d time.Duration, rate float64, wants func(machine int) float64) {
	for range int(d / fleetStep) {
		f.step(rate, wants)
	}
}

// excess returns the largest number of retries beyond a percentage of the
// requests in any window.
func (f *retryFleet) excess(percent int) float64 {
	worst, sum := 0.0, fleetCounts{}
	for i, c := range f.steps {
		sum.requests += c.requests
		sum.retries += c.retries
		if from := i - int(countedWindow/fleetStep); from >= 0 {
			sum.requests -= f.steps[from].requests
			sum.retries -= f.steps[from].retries
		}
		worst = max(worst, float64(sum.retries)-float64(sum.requests*percent)/100)
	}
	return worst
}

// grantedSince returns the fraction of the wanted retries that were granted
// since a step.
func (f *retryFleet) grantedSince(step int) float64 {
	granted := 0
	for _, c := range f.steps[step:] {
		granted += c.retries
	}
	return float64(granted) / float64(f.wanted)
}

func even(fraction float64) func(int) float64 { return func(int) float64 { return fraction } }

func atThree(fraction float64) func(int) float64 {
	return func(machine int) float64 {
		if machine < 3 {
			return fraction
		}
		return 0
	}
}

var _ = Describe("the joint burst", func() {
	// Guards against bursts that add up over the entries. With 125 entries and
	// a burst of 10 for each, 1,780 retries of 6,924 requests reached a service
	// whose limit was 0.2 x 6,924 + 314 = 1,699.
	It("stays within the limit of a service whose upstreams refuse much", func() {
		f := newRetryFleet(large, 1, large.burst)
		f.run(calm, large.rate, even(0.01))
		f.run(countedWindow, large.rate, even(0.4))
		Expect(f.excess(20)).To(BeNumerically("<=", 314))
	})

	// Guards against a sum that exceeds the burst while the lists of the
	// entries differ, after restarts, and with need that moves between entries.
	// The leader always lists half of the parts, as docs/design/retry-budget.md
	// requires: 4 of 7, 16 of 31 and 64 of 125 entries.
	It("is not exceeded in any window of random schedules", func() {
		for seed := range uint64(200) {
			size := []fleetSize{small, medium, large}[seed%3]
			f := newRetryFleet(size, seed, size.burst)
			f.runRandom(60*time.Second, size.rate)
			Expect(f.excess(fleetPercent)).To(BeNumerically("<=", size.burst), "seed %d", seed)
		}
	})

	// Guards against a fleet that grows beyond a power of two while a fifth of
	// its entries is cut off and keeps the larger parts.
	It("is not exceeded when entries join", func() {
		for seed := range uint64(30) {
			f := newRetryFleet(medium, seed, medium.burst)
			f.run(calm, medium.rate, even(0.01))
			for i := range len(f.machines) / 5 {
				f.machines[i].cutOff = true
			}
			f.run(time.Duration(seed)*time.Second, medium.rate, even(0.4))
			f.join(len(f.machines)/2, medium.burst)
			f.distribute()
			f.run(30*time.Second, medium.rate, even(0.4))
			Expect(f.excess(fleetPercent)).To(BeNumerically("<=", medium.burst), "seed %d", seed)
		}
	})

	// Guards against a restart that hands out again what the former run has
	// just used.
	It("is empty after a restart", func() {
		b := retry.Budget{Percent: fleetPercent}
		b.Share(large.burst, 7, start)
		Expect(b.Available(start)).To(BeZero())
		Expect(b.Available(start.Add(countedWindow))).To(BeZero())
		Expect(b.Available(start.Add(countedWindow + time.Second))).To(BeNumerically(">", 0))
	})

	// Guards against entries that take the part of those that the leader does
	// not list, which may still be serving.
	It("is not divided by fewer entries when some are no longer listed", func() {
		b, at := retry.Budget{Percent: fleetPercent}, start.Add(time.Minute)
		b.Share(large.burst, 7, start)
		before := b.Available(at)
		b.Share(large.burst, 3, start)
		Expect(b.Available(at)).To(Equal(before))
	})

	// Guards against a part below one retry that is rounded up: 300 entries
	// with a burst of 200 could then send 300 at once.
	It("allows no retry where it has less than one for each entry", func() {
		b := retry.Budget{Percent: fleetPercent}
		b.Share(200, 300, start)
		for range 1000 {
			b.AddRequest()
		}
		Expect(b.Spend(start.Add(time.Minute))).To(BeFalse())
	})

	// Guards the setting 0, which keeps a burst for each entry.
	It("leaves a budget without one unchanged", func() {
		b := retry.Budget{}
		b.Share(0, 125, start)
		Expect(b.Available(start)).To(Equal(retry.DefaultBurst))
	})
})

// calm is the length of a period with few retries, longer than any window.
const calm = 30 * time.Second

// runRandom runs a random schedule: each second a machine may be cut off,
// reconnected, stopped or restarted, many may be restarted together, the need of
// the entries changes, and the leader's list reaches those that are connected,
// or is lost.
func (f *retryFleet) runRandom(d time.Duration, rate float64) {
	need := make([]float64, len(f.machines))
	for s := range int(d / time.Second) {
		m := f.machines[f.rng.IntN(len(f.machines))]
		switch f.rng.IntN(8) {
		case 0:
			m.cutOff = f.listed() > minListed(len(f.machines))
		case 1:
			m.cutOff = false
		case 2:
			m.down = f.listed() > minListed(len(f.machines))
		case 3:
			m.down = false
			m.restart()
		case 4:
			f.restartMany(f.rng.Float64())
		}
		if s%5 == 0 {
			f.changeNeed(need)
		}
		if f.rng.IntN(4) > 0 {
			f.distribute()
		}
		f.run(time.Second, rate, func(i int) float64 { return need[i] })
	}
}

// restartMany restarts a fraction of the entries that run.
func (f *retryFleet) restartMany(fraction float64) {
	for _, m := range f.machines {
		if !m.down && f.rng.Float64() < fraction {
			m.restart()
		}
	}
}

// listed returns the number of entries that the leader lists.
func (f *retryFleet) listed() int {
	n := 0
	for _, m := range f.machines {
		if !m.down && !m.cutOff {
			n++
		}
	}
	return n
}

// minListed returns half of the parts into which a fleet divides its burst.
func minListed(entries int) int {
	parts := 1
	for parts < entries {
		parts *= 2
	}
	return parts / 2
}

// changeNeed draws the fraction of the requests of each entry that need a
// retry: none, the same for all, or all at three entries.
func (f *retryFleet) changeNeed(need []float64) {
	kind := f.rng.IntN(3)
	for i := range need {
		switch {
		case kind == 0 || (kind == 1 && i >= 3):
			need[i] = 0
		default:
			need[i] = 0.2 + 0.8*f.rng.Float64()
		}
	}
}

var _ = DescribeTable("the parts of the joint burst serve entries in need",
	// Guards against parts that are so small that they serve far fewer retries
	// than one budget for all entries would. The figures are in
	// docs/design/retry-budget.md.
	func(size fleetSize, wants func(int) float64, minOfPool float64) {
		granted := map[string]float64{}
		for scheme, burst := range map[string]int{"own": 0, "parts": size.burst, "pool": size.burst} {
			f := newRetryFleet(size, 1, burst)
			if scheme == "pool" {
				f.pool = &retry.Budget{Percent: fleetPercent}
				f.pool.Share(burst, 1, f.now)
			}
			f.run(calm, size.rate, even(0.01))
			f.wanted = 0
			from := len(f.steps)
			f.run(countedWindow, size.rate, wants)
			granted[scheme] = f.grantedSince(from)
		}
		AddReportEntry("granted", granted)
		Expect(granted["parts"]).To(BeNumerically(">", minOfPool*granted["pool"]))
	},
	Entry("7 entries, even", small, even(0.3), 0.8),
	Entry("31 entries, even", medium, even(0.3), 0.8),
	Entry("125 entries, even", large, even(0.3), 0.8),
	Entry("7 entries, at three", small, atThree(0.5), 0.3),
	Entry("31 entries, at three", medium, atThree(0.5), 0.3),
	Entry("125 entries, at three", large, atThree(0.5), 0.3),
)
