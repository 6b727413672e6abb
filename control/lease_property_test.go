package control_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

const (
	simStep     = 50 * time.Millisecond
	simLength   = 40 * time.Second
	simInterval = 500 * time.Millisecond
	simHolders  = 7
	// simDrift is the largest difference of a clock's rate from the true one.
	simDrift = 0.01
)

// simClock has its own offset and rate.
type simClock struct {
	offset time.Duration
	rate   float64
}

func (c simClock) at(t time.Duration) time.Time {
	return start.Add(c.offset + time.Duration(float64(t)*c.rate))
}

// simMessage is a report or a reply on its way.
type simMessage struct {
	due     time.Duration
	holder  *simHolder
	inc     azurestair.Incarnation
	number  int
	sentAt  time.Time
	demands []azurestair.Demand
	grants  []azurestair.Grant
}

type simHolder struct {
	id     azurestair.InstanceID
	inc    azurestair.Incarnation
	holder *control.Holder
	// former holds the earlier incarnations, which may still use their leases.
	former []*control.Holder
	clock  simClock
	want   int64
	number int
	next   time.Duration
	// frozen and cut hold the end of a pause of the process and of its connection.
	frozen, cut time.Duration
	granted     []azurestair.Grant
}

// sim drives an allocator and its holders through a random schedule.
type sim struct {
	resource azurestair.Resource
	rng      *rand.Rand
	leader   *control.Allocator
	clock    simClock
	limit    control.Limit
	limits   []int64
	holders  []*simHolder
	messages []simMessage
	limitOf  func(*rand.Rand) control.Limit
	// lossless lets every reply arrive before the next report is due.
	lossless bool
	// leaders allows changes of leader.
	leaders bool
	// wants replaces the random wants.
	wants func(t time.Duration) int64
}

func newSim(seed uint64, limitOf func(*rand.Rand) control.Limit) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 7)), limitOf: limitOf, resource: slots}
	s.limit = limitOf(s.rng)
	if s.limit.Interval > 0 {
		s.resource.Kind = azurestair.ResourceShift
	}
	for i := range simHolders {
		h := &simHolder{id: azurestair.InstanceID(fmt.Sprint(i)), inc: 1, holder: &control.Holder{}, clock: s.newClock()}
		h.next = time.Duration(s.rng.Int64N(int64(simInterval)))
		s.holders = append(s.holders, h)
	}
	s.elect(0)
	return s
}

func (s *sim) newClock() simClock {
	return simClock{
		offset: time.Duration(s.rng.Int64N(int64(time.Hour))),
		rate:   1 + simDrift*(2*s.rng.Float64()-1),
	}
}

// elect replaces the leader. Its knowledge of floors is what one holder has.
func (s *sim) elect(t time.Duration) {
	s.clock = s.newClock()
	s.leader = &control.Allocator{}
	s.leader.Inherit(s.holders[s.rng.IntN(simHolders)].granted)
	s.leader.Quiet(s.clock.at(t).Add(control.QuietTime))
	_ = s.leader.SetLimit(s.resource, s.limit)
}

func (s *sim) chance(n int) bool { return s.rng.IntN(n) == 0 }

func (s *sim) lost() bool { return !s.lossless && s.chance(10) }

// delay returns the time that a message takes.
func (s *sim) delay() time.Duration {
	most := 400 * time.Millisecond
	if s.lossless {
		most /= 2
	}
	return time.Duration(s.rng.Int64N(int64(most)))
}

// disturb changes something at random.
func (s *sim) disturb(t time.Duration) {
	h := s.holders[s.rng.IntN(simHolders)]
	switch s.rng.IntN(60) {
	case 0:
		h.frozen = t + time.Duration(s.rng.Int64N(int64(5*time.Second)))
	case 1:
		h.cut = t + time.Duration(s.rng.Int64N(int64(10*time.Second)))
	case 2:
		h.former = append(h.former, h.holder)
		h.holder, h.inc = &control.Holder{}, h.inc+1
	case 3:
		s.limit = s.limitOf(s.rng)
		_ = s.leader.SetLimit(s.resource, s.limit)
	case 4:
		if s.leaders && s.chance(4) {
			s.elect(t)
		}
	}
}

func (s *sim) step(t time.Duration) {
	s.limits = append(s.limits, s.limit.Total)
	for _, h := range s.holders {
		if s.wants != nil {
			h.want = s.wants(t)
		} else if s.chance(40) {
			h.want = s.rng.Int64N(s.limit.Total + 1)
		}
		if t >= h.frozen && t >= h.next {
			s.report(h, t)
		}
	}
	s.deliver(t)
}

// report sends a report, which ends the wait for the reply to the one before.
func (s *sim) report(h *simHolder, t time.Duration) {
	h.next = t + simInterval
	h.number++
	if t < h.cut || s.lost() {
		return
	}
	now := h.clock.at(t)
	d := h.holder.Demand(s.resource, min(h.want, h.holder.Limit(s.resource, now)), h.want)
	s.messages = append(s.messages, simMessage{
		due: t + s.delay(), holder: h, inc: h.inc, number: h.number, sentAt: now, demands: []azurestair.Demand{d},
	})
}

func (s *sim) deliver(t time.Duration) {
	due := s.messages
	s.messages = nil
	for _, m := range due {
		switch {
		case m.due > t || (m.grants != nil && t < m.holder.frozen):
			s.messages = append(s.messages, m)
		case m.grants != nil:
			if m.inc == m.holder.inc && m.number == m.holder.number {
				m.holder.holder.Apply(m.grants, m.sentAt, m.holder.clock.at(t))
				m.holder.granted = m.grants
			}
		default:
			m.grants = s.leader.Demand(m.holder.id, m.inc, m.demands, s.clock.at(t))
			m.due = t + s.delay()
			if m.grants != nil && !s.lost() && t >= m.holder.cut {
				s.messages = append(s.messages, m)
			}
		}
	}
}

// held returns what all holders may use at t. Of a former incarnation only
// the lease counts, because the next one has taken over its floor.
func (s *sim) held(t time.Duration) (sum int64) {
	for _, h := range s.holders {
		now := h.clock.at(t)
		sum += h.holder.Limit(s.resource, now)
		for _, f := range h.former {
			sum += f.Limit(s.resource, now) - f.Limit(s.resource, now.Add(time.Hour))
		}
	}
	return sum
}

// used returns what all holders use at t.
func (s *sim) used(t time.Duration) (sum int64) {
	for _, h := range s.holders {
		sum += min(h.want, h.holder.Limit(s.resource, h.clock.at(t)))
	}
	return sum
}

// allowed returns the largest limit in force within the last lease time.
func (s *sim) allowed() int64 {
	steps := int(control.LeaseTTL/simStep) + 2
	most := int64(0)
	for _, l := range s.limits[max(0, len(s.limits)-steps):] {
		most = max(most, l)
	}
	return most
}

func expectWithinLimit(seeds uint64, leaders bool, limitOf func(*rand.Rand) control.Limit) {
	GinkgoHelper()
	most := 0.0
	for seed := range seeds {
		s := newSim(seed, limitOf)
		s.leaders = leaders
		for t := time.Duration(0); t < simLength; t += simStep {
			s.disturb(t)
			s.step(t)
			most = max(most, float64(s.held(t))/float64(s.allowed()))
			if s.held(t) > s.allowed() {
				Fail(fmt.Sprintf("seed %d at %v: %d held, %d allowed", seed, t, s.held(t), s.allowed()))
			}
		}
	}
	Expect(most).To(BeNumerically(">", 0.9), "the schedules never came near the limit")
}

// expectRiseWithin checks that no value exceeds an earlier one of the last
// interval by more than step, and that the values rise at all.
func expectRiseWithin(values []int64, interval time.Duration, step int64) {
	GinkgoHelper()
	n := int(interval / simStep)
	most := int64(0)
	for i, v := range values {
		for _, earlier := range values[max(0, i-n):i] {
			most = max(most, v-earlier)
		}
	}
	Expect(most).To(And(BeNumerically(">", step/2), BeNumerically("<=", step)))
}

var _ = Describe("leases", func() {
	// Guards against holders that together use more than the limit, after lost
	// replies, pauses, restarts, cut connections, clock drift, changed limits
	// and, in the first case, changes of leader.
	It("never pass the limit across leaders", func() {
		expectWithinLimit(300, true, func(rng *rand.Rand) control.Limit {
			return control.Limit{Total: 60 + rng.Int64N(140), Floor: 5}
		})
	})

	It("never pass the limit while floors change", func() {
		expectWithinLimit(300, false, func(rng *rand.Rand) control.Limit {
			return control.Limit{Total: 60 + rng.Int64N(140), Floor: 2 + rng.Int64N(5)}
		})
	})

	shift := control.Limit{Total: 100, Floor: 1, Step: 20, Interval: 5 * time.Second}
	fixed := func(*rand.Rand) control.Limit { return shift }

	// Guards against a region that gets more shifted work within one interval
	// than the cap allows, when another region fails at once, also across
	// leaders. No reply is lost here: work that was interrupted by a lost lease
	// and resumes under a later one counts as a rise that the leader cannot see.
	It("let shifted work rise at most by the cap", func() {
		for seed := range uint64(100) {
			s := newSim(seed, fixed)
			s.lossless = true
			s.wants = func(t time.Duration) int64 {
				if t < 10*time.Second {
					return 0
				}
				return 1000
			}
			var used []int64
			for t := time.Duration(0); t < simLength; t += simStep {
				if t == time.Duration(seed)*simLength/100 {
					s.elect(t)
				}
				s.step(t)
				used = append(used, s.used(t))
			}
			expectRiseWithin(used, shift.Interval, shift.Step)
		}
	})

	// Guards against a rise that was allowed but not used and adds to the next one.
	It("let the outstanding sum rise at most by the cap, whatever the demand", func() {
		for seed := range uint64(100) {
			s := newSim(seed, fixed)
			var sums []int64
			for t := time.Duration(0); t < simLength; t += simStep {
				s.disturb(t)
				s.step(t)
				if leased, reserved := s.leader.Outstanding(s.resource, s.clock.at(t)); reserved > 0 {
					sums = append(sums, leased+reserved)
				}
			}
			expectRiseWithin(sums, shift.Interval, shift.Step)
		}
	})
})
