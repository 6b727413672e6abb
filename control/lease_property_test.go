package control_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

const (
	simStep   = 50 * time.Millisecond
	simLength = 40 * time.Second
	// simDrift is the largest difference of a clock's rate from the true one.
	simDrift = 0.01
)

// simClock returns the local time; each clock has its own offset and rate.
type simClock func(t time.Duration) time.Time

type simHolder struct {
	id     azurestair.InstanceID
	inc    azurestair.Incarnation
	clock  simClock
	holder *control.Holder
	// former holds the earlier incarnations, which may still use their leases.
	former []*control.Holder
	want   int64
	sent   int
	// term is that of the leader whose reply came last.
	term int
	// frozen and cut hold the end of a pause of the process and of its connection.
	next, frozen, cut time.Duration
	granted           []azurestair.Grant
}

type simMessage struct {
	due time.Duration
	// to is nil for the leader.
	to  *simHolder
	run func(t time.Duration)
}

// sim drives an allocator and its holders through a random schedule.
type sim struct {
	rng      *rand.Rand
	resource azurestair.Resource
	leader   *control.Allocator
	term     int
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
	// bursts has a holder report each second, and often at once after a reply.
	bursts bool
	// state holds the list of holders, nil where the leader keeps none, and log
	// the changes of it that are proposed and not committed. listRNG leaves the
	// schedules without a list as they are.
	state   *control.State
	log     []simEntry
	listRNG *rand.Rand
	// unlisted counts grants to holders that had no floor yet.
	unlisted int
}

type simEntry struct {
	due    time.Duration
	change azurestair.HolderChange
}

// withList starts from an empty list of holders, which need no quiet time.
func (s *sim) withList(seed uint64) {
	s.state, s.listRNG = &control.State{}, rand.New(rand.NewPCG(seed, 8))
	first := configChange("first", 0, 1)
	first.ListsHolders = true
	s.state.Apply(1, first)
	s.leader = &control.Allocator{}
	_ = s.leader.SetLimit(s.resource, s.limit)
}

// commit applies the proposed changes of the list that are due, in order.
func (s *sim) commit(t time.Duration) {
	for len(s.log) > 0 && s.log[0].due <= t {
		s.state.Apply(s.state.Applied()+1, azurestair.Command{At: epoch, Holder: &s.log[0].change})
		s.log = s.log[1:]
	}
}

// list has the leader propose changes, some of which are dropped at once.
func (s *sim) list(t time.Duration) {
	s.commit(t)
	for _, c := range s.leader.HolderChanges(s.clock(t)) {
		if s.listRNG.IntN(5) > 0 {
			s.log = append(s.log, simEntry{due: t + time.Duration(s.listRNG.Int64N(int64(3*time.Second))), change: c})
		}
	}
}

// churn has a holder leave gracefully and return after a while, or cuts one off
// for longer than any lease.
func (s *sim) churn(t time.Duration) {
	h := s.holders[s.listRNG.IntN(len(s.holders))]
	switch s.listRNG.IntN(200) {
	case 0, 1:
		s.leave(h, t)
	case 2:
		h.cut = t + time.Duration(s.listRNG.Int64N(int64(simLength)))
	}
}

// leave ends a holder's process after its last report, which may come late.
func (s *sim) leave(h *simHolder, t time.Duration) {
	id, inc := h.id, h.inc
	s.send(h, nil, t, func(time.Duration) { s.leader.Leave(id, inc) })
	h.former = append(h.former, h.holder)
	h.holder, h.inc, h.term = &control.Holder{}, inc+1, 0
	h.next = t + time.Duration(s.listRNG.Int64N(int64(6*time.Second)))
}

func newSim(seed uint64, r azurestair.Resource, limitOf func(*rand.Rand) control.Limit) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 7)), limitOf: limitOf, resource: r}
	s.limit = limitOf(s.rng)
	for i := range 7 {
		s.holders = append(s.holders, &simHolder{
			id: azurestair.InstanceID(fmt.Sprint(i)), inc: 1, holder: &control.Holder{}, clock: s.newClock(),
			next: s.upTo(500 * time.Millisecond),
		})
	}
	s.elect(0)
	return s
}

func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

func (s *sim) newClock() simClock {
	offset, rate := s.upTo(time.Hour), 1+simDrift*(2*s.rng.Float64()-1)
	return func(t time.Duration) time.Time { return start.Add(offset + time.Duration(float64(t)*rate)) }
}

// elect replaces the leader. Its knowledge of floors is what one holder has.
func (s *sim) elect(t time.Duration) {
	s.clock, s.leader, s.term = s.newClock(), &control.Allocator{}, s.term+1
	s.leader.Inherit(s.holders[s.rng.IntN(len(s.holders))].granted)
	s.leader.Quiet(s.clock(t).Add(control.QuietTime))
	if s.state != nil {
		// Of the proposed changes, any first part is committed before the next leader acts.
		s.log = s.log[:s.listRNG.IntN(len(s.log)+1)]
		s.commit(simLength * 2)
	}
	_ = s.leader.SetLimit(s.resource, s.limit)
}

// disturb changes something at random.
func (s *sim) disturb(t time.Duration) {
	h := s.holders[s.rng.IntN(len(s.holders))]
	switch s.rng.IntN(60) {
	case 0:
		h.frozen = t + s.upTo(5*time.Second)
	case 1:
		h.cut = t + s.upTo(10*time.Second)
	case 2:
		h.former = append(h.former, h.holder)
		h.holder, h.inc, h.term = &control.Holder{}, h.inc+1, 0
	case 3:
		s.limit = s.limitOf(s.rng)
		_ = s.leader.SetLimit(s.resource, s.limit)
	case 4:
		if s.leaders && s.rng.IntN(4) == 0 {
			s.elect(t)
		}
	case 5, 6, 7, 8, 9, 10:
		h.want = s.rng.Int64N(s.limit.Total + 1)
	}
}

// wantAll has each holder want more than the limit.
func (s *sim) wantAll() {
	for _, h := range s.holders {
		h.want = 10 * s.limit.Total
	}
}

// grow has all holders want more than the limit after 10 s, with a change of
// leader at a time that depends on the seed, and returns what they use.
func (s *sim) grow(seed uint64, t time.Duration) int64 {
	if t == time.Duration(seed%100)*simLength/100 {
		s.elect(t)
	}
	if t > 10*time.Second {
		s.wantAll()
	}
	s.step(t)
	_, used := s.held(t)
	return used
}

func (s *sim) step(t time.Duration) {
	s.limits = append(s.limits, s.limit.Total)
	for _, h := range s.holders {
		if t >= h.frozen && t >= h.next {
			s.report(h, t)
		}
	}
	due := s.messages
	s.messages = nil
	for _, m := range due {
		if m.due > t || (m.to != nil && t < m.to.frozen) {
			s.messages = append(s.messages, m)
		} else {
			m.run(t)
		}
	}
}

// send sends a message from or to a holder, which may be lost, and may come
// after the next one.
func (s *sim) send(h, to *simHolder, t time.Duration, run func(time.Duration)) {
	delay := s.upTo(400 * time.Millisecond)
	if s.lossless {
		delay /= 2
	}
	if t >= h.cut && (s.lossless || s.rng.IntN(10) > 0) {
		s.messages = append(s.messages, simMessage{due: t + delay, to: to, run: run})
	}
}

// report sends a report, which ends the wait for the reply to the one before.
func (s *sim) report(h *simHolder, t time.Duration) {
	h.next = t + 500*time.Millisecond
	if s.bursts {
		h.next = t + time.Second
	}
	h.sent++
	number, inc, now := h.sent, h.inc, h.clock(t)
	d := h.holder.Demand(s.resource, min(h.want, h.holder.Limit(s.resource, now)), h.want)
	d.Held = h.holder.Leased(s.resource, now)
	heard := h.term
	s.send(h, nil, t, func(t time.Duration) {
		term, d := s.term, d
		if s.state != nil {
			s.leader.SetHolders(s.state.Holders(), s.clock(t))
		}
		if heard != term {
			d.Held = 0
		}
		grants := s.leader.Demand(h.id, inc, []azurestair.Demand{d}, s.clock(t))
		if heard != term && s.leader.IsQuiet(s.clock(t)) {
			grants = nil
		}
		for _, g := range grants {
			if s.state != nil && g.Amount > 0 && !s.state.Holders().Has(h.id) {
				Expect(g.Floor).To(BeZero(), "floor of a holder that is not listed")
				s.unlisted++
			}
		}
		s.send(h, h, t, func(t time.Duration) {
			if number == h.sent && inc == h.inc {
				h.holder.Apply(grants, now, h.clock(t))
				h.term = term
				if s.bursts && s.rng.IntN(2) == 0 {
					h.next = t + simStep
				}
				if grants != nil {
					h.granted = grants
				}
			}
		})
	})
}

// held returns what all holders may use at t, and used what they use. Of a
// former incarnation only the lease counts: the next one has its floor.
func (s *sim) held(t time.Duration) (held, used int64) {
	for _, h := range s.holders {
		now := h.clock(t)
		limit := h.holder.Limit(s.resource, now)
		held += limit
		used += min(h.want, limit)
		for _, f := range h.former {
			held += f.Limit(s.resource, now) - f.Limit(s.resource, now.Add(time.Hour))
		}
	}
	return held, used
}

// expectWithinLimit checks that what is held stays within the largest limit
// of the last lease time, and that the schedules come near it.
func expectWithinLimit(leaders, listed bool, limitOf func(*rand.Rand) control.Limit) {
	GinkgoHelper()
	most, unlisted := 0.0, 0
	for seed := range uint64(300) {
		s := newSim(seed, slots, limitOf)
		s.leaders = leaders
		if listed {
			s.withList(seed)
		}
		for t := time.Duration(0); t < simLength; t += simStep {
			s.disturb(t)
			if listed {
				s.churn(t)
				s.list(t)
			}
			s.step(t)
			held, _ := s.held(t)
			recent := s.limits[max(0, len(s.limits)-int(control.LeaseTTL/simStep)-2):]
			most = max(most, float64(held)/float64(slices.Max(recent)))
			if most > 1 {
				Fail(fmt.Sprintf("seed %d at %v: %d held of %d", seed, t, held, slices.Max(recent)))
			}
		}
		unlisted += s.unlisted
	}
	Expect(most).To(BeNumerically(">", 0.9))
	Expect(unlisted > 0).To(Equal(listed), "leases without a floor")
}

// expectRiseWithin runs schedules with a ramp and checks that no value
// exceeds an earlier one of the last interval by more than the step, and that
// the schedules come near it.
func expectRiseWithin(l control.Limit, run func(s *sim, seed uint64, t time.Duration) int64) {
	GinkgoHelper()
	n, most := int(l.Interval/simStep), int64(0)
	for seed := range uint64(200) {
		s := newSim(seed, shiftIn, func(*rand.Rand) control.Limit { return l })
		var values []int64
		for t := time.Duration(0); t < simLength; t += simStep {
			values = append(values, run(s, seed, t))
			most = max(most, values[len(values)-1]-slices.Min(values[max(0, len(values)-n-1):]))
		}
		Expect(most).To(BeNumerically("<=", l.Step), "seed %d", seed)
	}
	Expect(most).To(BeNumerically(">", l.Step*3/4))
}

var _ = Describe("leases", func() {
	// Guards against holders that together use more than the limit, after lost
	// replies, pauses, restarts, cut connections, clock drift, changed limits
	// and, in the first case, changes of leader.
	It("never pass the limit across leaders", func() {
		expectWithinLimit(true, false, func(rng *rand.Rand) control.Limit {
			return control.Limit{Total: 60 + rng.Int64N(140), Floor: 5}
		})
	})
	It("never pass the limit while floors change", func() {
		expectWithinLimit(false, false, func(rng *rand.Rand) control.Limit {
			return control.Limit{Total: 60 + rng.Int64N(140), Floor: 2 + rng.Int64N(5)}
		})
	})

	// Guards against a floor that a new leader does not reserve, because the list
	// that it has lacks a holder that is cut off and uses its floor, and against
	// leases of others that still cover a floor when it is given.
	It("never pass the limit across leaders that reserve floors for listed holders only", func() {
		expectWithinLimit(true, true, func(rng *rand.Rand) control.Limit {
			return control.Limit{Total: 60 + rng.Int64N(140), Floor: 5}
		})
	})
	It("never pass the limit while floors change and holders are listed", func() {
		expectWithinLimit(false, true, func(rng *rand.Rand) control.Limit {
			return control.Limit{Total: 60 + rng.Int64N(140), Floor: 2 + rng.Int64N(5)}
		})
	})

	shift := control.Limit{Total: 100, Floor: 1, Step: 20, Interval: 5 * time.Second}

	// Guards against a region that gets more shifted work within one interval
	// than the cap allows, when another region fails at once, also across
	// leaders.
	It("let shifted work rise at most by the cap", func() {
		expectRiseWithin(shift, func(s *sim, seed uint64, t time.Duration) int64 {
			s.lossless = true
			return s.grow(seed, t)
		})
	})

	// Guards against work that was interrupted by a lost lease and resumes
	// besides the rise of the others, with replies lost and connections cut.
	It("let resumed work rise at most by the cap", func() {
		expectRiseWithin(shift, func(s *sim, seed uint64, t time.Duration) int64 {
			s.bursts = seed%2 == 1
			if h := s.holders[s.rng.IntN(len(s.holders))]; s.rng.IntN(100) == 0 {
				h.cut = t + s.upTo(4*time.Second)
			}
			return s.grow(seed, t)
		})
	})

	// Guards against a rise that was allowed but not used and adds to the next one.
	It("let the outstanding sum rise at most by the cap, whatever the demand", func() {
		expectRiseWithin(shift, func(s *sim, seed uint64, t time.Duration) int64 {
			if seed%2 == 1 && t > simLength/2 {
				s.lossless = true
				s.wantAll()
			} else {
				s.disturb(t)
			}
			s.step(t)
			leased, reserved := s.leader.Outstanding(s.resource, s.clock(t))
			return leased + max(reserved, 8*shift.Floor)
		})
	})
})
