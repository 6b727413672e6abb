package quota

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

// scheduleFaults draws the faults of a random schedule.
func (s *simulation) scheduleFaults() {
	if s.rng.IntN(4) == 0 {
		s.scheduleIsolation()
		return
	}
	leaderAt := s.uniform(0, 9*time.Second)
	for range s.rng.IntN(5) {
		gap := s.uniform(0, time.Second)
		if s.rng.IntN(4) == 0 {
			gap = 2 * time.Second
		}
		s.after(leaderAt, func() { s.loseLeader(gap) })
		leaderAt += gap + s.uniform(0, 1500*time.Millisecond)
	}
	for range s.rng.IntN(6) {
		e := s.list[s.rng.IntN(len(s.list))]
		at, lasts := s.uniform(0, s.duration), s.uniform(0, 6*time.Second)
		switch s.rng.IntN(3) {
		case 0:
			s.after(at, func() { e.cutUntil = max(e.cutUntil, s.now+lasts) })
		case 1:
			s.after(at, func() { e.suspendedUntil = max(e.suspendedUntil, s.now+lasts) })
		case 2:
			s.after(at, func() {
				if !e.dead {
					s.killEntry(e)
					s.after(lasts, func() { s.startEntry(e) })
				}
			})
		}
	}
	for range s.rng.IntN(4) {
		w := s.rng.IntN(len(s.limits))
		s.after(s.uniform(0, s.duration), func() { s.shiftDemand(w) })
	}
	// Quiet phases fill the bucket and leave tokens at many entries; the surges
	// after them use all that exist.
	w := s.rng.IntN(len(s.limits))
	for at := s.uniform(0, 5*time.Second); at < s.duration; at += s.uniform(time.Second, 4*time.Second) {
		times := []float64{0.2, 1, 4, 7.5}[s.rng.IntN(4)]
		s.after(at, func() { s.rates[w] = times })
	}
	for range s.rng.IntN(3) {
		s.after(s.uniform(0, s.duration), s.changeLimit)
	}
}

// scheduleIsolation lets the demand of most entries move to one of them while
// the others, which hold unused tokens, are cut off and the leader changes.
func (s *simulation) scheduleIsolation() {
	at, lasts := s.uniform(5*time.Second, 8*time.Second), s.uniform(time.Second, 5*time.Second)
	s.after(at-600*time.Millisecond, func() { s.rates[0] = 2 })
	s.after(at, func() {
		s.rates[0] = 0.2
		for i, e := range s.list[1:] {
			e.cutUntil = s.now + lasts
			s.weights[0][i+1] = 0.01
		}
		s.loseLeader(0)
	})
	s.after(at+lasts*9/10, func() { s.rates[0] = 20 })
}

// changeLimit raises or lowers a limit, or removes a workspace for a time.
func (s *simulation) changeLimit() {
	w := s.rng.IntN(len(s.names))
	limits := slices.Clone(s.configured)
	if s.rng.IntN(3) == 0 {
		s.after(s.uniform(0, 6*time.Second), func() { s.setLimits(s.configured) })
		s.setLimits(slices.Delete(limits, w, w+1))
		return
	}
	factor := 0.3 + 1.7*s.rng.Float64()
	limits[w].Rate *= azurestair.PerSecond(factor)
	limits[w].Total *= factor
	s.setLimits(limits)
}

// moveDemand moves all demand to a sixth of the entries, as many as a failure
// domain has.
func (s *simulation) moveDemand() {
	clear(s.weights[0])
	n := max(1, len(s.list)/6)
	for range n {
		s.weights[0][s.rng.IntN(len(s.list))] += 1 / float64(n)
	}
}

func (s *simulation) setLimits(limits []Limit) {
	s.limits = limits
	for _, l := range limits {
		w := slices.Index(s.names, l.Workspace)
		s.maxRate[w], s.maxTotal[w] = max(s.maxRate[w], float64(l.Rate)), max(s.maxTotal[w], l.Total)
	}
	if s.issuer != nil {
		s.issuer.SetLimits(limits, s.leaderClock.at(s.now))
	}
}

// clockError is the largest rate of a leader's clock in a simulation.
const clockError = 1.02

// leaseSpan is the time in which tokens of an earlier leader may exist, if the
// clock of the holder is slow.
const leaseSpan = time.Duration(float64(LeaseTime) * clockError)

// maxChanges returns the maximum number of leader changes within the time in
// which tokens of an earlier leader may exist.
func (s *simulation) maxChanges() int {
	most := 0
	for i, from := range s.changes[1:] {
		n := 0
		for _, c := range s.changes[1+i:] {
			if c <= from+leaseSpan {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// checkBound returns an error if more requests were admitted in any window, of
// any length, than the rate times the window plus the tokens that may exist at
// its start: 5/8 of the total and an eighth for each change of leader within
// the lease time. Up to three changes thus stay within the total.
func (s *simulation) checkBound() error {
	if s.err != nil {
		return s.err
	}
	for w, name := range s.names {
		share := capacityShare + allowanceShare*float64(s.maxChanges())
		bound := s.maxTotal[w] * share
		rate := s.maxRate[w] * clockError
		excess, last := 0.0, time.Duration(0)
		for _, t := range s.admittedAt(w) {
			excess = max(0, excess-rate*(t-last).Seconds()) + 1
			last = t
			if excess > bound+1e-6 {
				return fmt.Errorf("%s at %v: %.2f requests beyond the rate, allowed %.2f", name, t, excess, bound)
			}
		}
	}
	return nil
}

// admittedAt returns the sorted times at which requests of a workspace were
// admitted that were not refunded.
func (s *simulation) admittedAt(w int) []time.Duration {
	var times []time.Duration
	for _, r := range s.requests {
		if r.workspace == w && r.decidedAt > 0 && r.verdict == Admitted && !r.refunded {
			times = append(times, r.decidedAt)
		}
	}
	slices.Sort(times)
	return times
}

// randomOptions returns the sizes of a random schedule.
func randomOptions(seed uint64) simOptions {
	rate := []float64{5, 10, 20, 40}[seed%4]
	return simOptions{
		entries: 2 + int(seed%7), duration: 12 * time.Second, faults: true, refunds: 0.05,
		limits: []Limit{{Workspace: "jars", Rate: azurestair.PerSecond(rate), Total: rate + slack}},
		demand: []float64{rate / 1.6},
	}
}

// schedules is the number of random schedules.
const schedules = 10_000

// scheduleWorkers run the schedules beside each other.
const scheduleWorkers = 4

// runSchedules runs random schedules and returns the errors that check finds.
func runSchedules(check func(*simulation) error) []error {
	errs := make([]error, schedules)
	var wg sync.WaitGroup
	for worker := range scheduleWorkers {
		wg.Go(func() {
			for seed := worker; seed < schedules; seed += scheduleWorkers {
				s := newSimulation(uint64(seed), randomOptions(uint64(seed)))
				s.scheduleFaults()
				s.run()
				if err := check(s); err != nil {
					errs[seed] = fmt.Errorf("seed %d: %w", seed, err)
				}
			}
		})
	}
	wg.Wait()
	return slices.DeleteFunc(errs, func(err error) bool { return err == nil })
}

var _ = Describe("random schedules", func() {
	// Guards against any way by which the entries together admit more than the
	// limit: tokens of lost answers, of killed and cut entries, of several
	// leaders, refunds, and clocks that differ.
	It("stay under the limit in every window", func() {
		Expect(runSchedules((*simulation).checkBound)).To(BeEmpty())
	})
})

// refusedShare returns the refused part of the requests after a time that a
// bucket with the rate and burst of the limit admits.
func (s *simulation) refusedShare(from time.Duration, burst float64) (refused, all int) {
	level, last := burst, time.Duration(0)
	for _, r := range s.requests {
		level = min(burst, level+float64(s.limits[0].Rate)*(r.at-last).Seconds())
		last = r.at
		if level < 1 {
			continue
		}
		level--
		if r.at < from || r.decidedAt == 0 {
			continue
		}
		all++
		if r.verdict != Admitted && r.verdict != Unlimited {
			refused++
		}
	}
	return refused, all
}

// workspaceSize is a workspace of the platform's largest deployment.
type workspaceSize struct {
	name   string
	demand float64
	seeds  int
}

var sizes = []workspaceSize{{name: "largest", demand: 600, seeds: 4}, {name: "smallest", demand: 3, seeds: 100}}

// slack is the platform's quota_slack.
const slack = 20

// warmUp is the time until the first leader's quiet time is over and the bucket
// has filled.
const warmUp = 8 * time.Second

// refusedOf returns the share of the admissible requests that 31 entries
// refuse in the 20 s after the warm-up, over all seeds.
func refusedOf(size workspaceSize, prepare func(*simulation)) float64 {
	rate := size.demand * 1.6
	refused, all := 0, 0
	for seed := range size.seeds {
		s := newSimulation(uint64(seed), simOptions{
			entries: 31, duration: warmUp + 20*time.Second, refunds: 0.01,
			limits: []Limit{{Workspace: "jars", Rate: azurestair.PerSecond(rate), Total: rate + slack}},
			demand: []float64{size.demand},
		})
		prepare(s)
		s.run()
		r, n := s.refusedShare(warmUp, rate)
		refused, all = refused+r, all+n
	}
	return float64(refused) / math.Max(1, float64(all))
}

var _ = Describe("the share of admissible requests that is refused", func() {
	for _, size := range sizes {
		// Guards against tokens that lie unused at some entries while requests
		// wait at others.
		It("is under 2% in calm conditions for the "+size.name+" workspace", func() {
			Expect(refusedOf(size, func(*simulation) {})).To(BeNumerically("<", 0.02))
		})
		It("is under 2% while demand shifts each second for the "+size.name+" workspace", func() {
			Expect(refusedOf(size, func(s *simulation) {
				for t := time.Second; t < s.duration; t += time.Second {
					s.after(t, func() { s.shiftDemand(0) })
				}
			})).To(BeNumerically("<", 0.02))
		})
		It("is under 2% while all demand moves to other entries each second for the "+size.name+" workspace", func() {
			Expect(refusedOf(size, func(s *simulation) {
				for t := time.Second; t < s.duration; t += time.Second {
					s.after(t, s.moveDemand)
				}
			})).To(BeNumerically("<", 0.02))
		})
		// Guards against a new leader that admits little until it knows what the
		// entries hold.
		It("is under 10% over 20 s in which the leader is lost for 2 s for the "+size.name+" workspace", func() {
			Expect(refusedOf(size, func(s *simulation) {
				s.after(warmUp+s.uniform(0, 10*time.Second), func() { s.loseLeader(2 * time.Second) })
			})).To(BeNumerically("<", 0.10))
		})
	}
})
