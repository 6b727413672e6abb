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
	// simDrift is the maximum deviation of a clock's rate from real time.
	simDrift = 0.01
)

// simClock returns the local time. Each clock has its own offset and rate.
type simClock func(t time.Duration) time.Time

type simHolder struct {
	id     azurestair.InstanceID
	inc    azurestair.Incarnation
	clock  simClock
	holder *control.LeaseHolder
	// previous holds the earlier incarnations, which may still use their
	// leases.
	previous    []*control.LeaseHolder
	want        int64
	reportCount int
	// term is the term of the leader that sent the last applied reply.
	term int
	// The process is paused until pausedUntil, and its connection is down until
	// disconnectedUntil.
	nextReport, pausedUntil, disconnectedUntil time.Duration
	granted                                    []azurestair.Grant
}

type simMessage struct {
	due time.Duration
	// to is nil for messages to the leader.
	to  *simHolder
	run func(t time.Duration)
}

// sim runs an allocator and its holders through a random schedule.
type sim struct {
	rng      *rand.Rand
	resource azurestair.Resource
	leader   *control.Allocator
	term     int
	clock    simClock
	limit    control.Limit
	// totals holds the total of the limit at each step.
	totals   []int64
	holders  []*simHolder
	messages []simMessage
	limitOf  func(*rand.Rand) control.Limit
	// lossless delivers every reply before the next report is due.
	lossless bool
	// leaderChanges enables changes of leader.
	leaderChanges bool
	// bursts makes holders report every second, and often again immediately
	// after a reply.
	bursts bool
	// state holds the holder list, or is nil if the leader keeps none. proposed
	// holds the changes of the list that are not committed yet. listRNG is
	// separate so that the schedules without a list stay the same.
	state    *control.State
	proposed []simProposal
	listRNG  *rand.Rand
	// unlisted counts leases granted to holders that were not listed and
	// therefore had no floor.
	unlisted int
}

type simProposal struct {
	due    time.Duration
	change azurestair.HolderChange
}

// useHolderList starts from an empty holder list, which needs no grace period.
func (s *sim) useHolderList(seed uint64) {
	s.state, s.listRNG = &control.State{}, rand.New(rand.NewPCG(seed, 8))
	first := configChange("first", 0, 1)
	first.ListsHolders = true
	s.state.Apply(1, first)
	s.leader = &control.Allocator{}
	_ = s.leader.SetLimit(s.resource, s.limit)
}

// commitDue applies the proposed changes of the holder list that are due, in
// order.
func (s *sim) commitDue(t time.Duration) {
	for len(s.proposed) > 0 && s.proposed[0].due <= t {
		s.state.Apply(s.state.Applied()+1, azurestair.Command{At: epoch, HolderChange: &s.proposed[0].change})
		s.proposed = s.proposed[1:]
	}
}

// proposeChanges proposes the changes that the leader requests. Some of them
// are lost.
func (s *sim) proposeChanges(t time.Duration) {
	s.commitDue(t)
	for _, c := range s.leader.HolderChanges(s.clock(t)) {
		if s.listRNG.IntN(5) > 0 {
			s.proposed = append(s.proposed, simProposal{due: t + time.Duration(s.listRNG.Int64N(int64(3*time.Second))), change: c})
		}
	}
}

// injectChurn makes a holder leave gracefully and return later, or disconnects
// one for longer than any lease.
func (s *sim) injectChurn(t time.Duration) {
	h := s.holders[s.listRNG.IntN(len(s.holders))]
	switch s.listRNG.IntN(200) {
	case 0, 1:
		s.leave(h, t)
	case 2:
		h.disconnectedUntil = t + time.Duration(s.listRNG.Int64N(int64(simLength)))
	}
}

// leave ends a holder's process after its last report, which may arrive late.
func (s *sim) leave(h *simHolder, t time.Duration) {
	id, inc := h.id, h.inc
	s.send(h, nil, t, func(time.Duration) { s.leader.MarkDeparted(id, inc) })
	h.previous = append(h.previous, h.holder)
	h.holder, h.inc, h.term = &control.LeaseHolder{}, inc+1, 0
	h.nextReport = t + time.Duration(s.listRNG.Int64N(int64(6*time.Second)))
}

func newSim(seed uint64, r azurestair.Resource, limitOf func(*rand.Rand) control.Limit) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 7)), limitOf: limitOf, resource: r}
	s.limit = limitOf(s.rng)
	for i := range 7 {
		s.holders = append(s.holders, &simHolder{
			id: azurestair.InstanceID(fmt.Sprint(i)), inc: 1, holder: &control.LeaseHolder{}, clock: s.newClock(),
			nextReport: s.randomDuration(500 * time.Millisecond),
		})
	}
	s.changeLeader(0)
	return s
}

func (s *sim) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)))
}

func (s *sim) newClock() simClock {
	offset, rate := s.randomDuration(time.Hour), 1+simDrift*(2*s.rng.Float64()-1)
	return func(t time.Duration) time.Time { return start.Add(offset + time.Duration(float64(t)*rate)) }
}

// changeLeader replaces the leader. The new leader inherits the grants of one
// random holder.
func (s *sim) changeLeader(t time.Duration) {
	s.clock, s.leader, s.term = s.newClock(), &control.Allocator{}, s.term+1
	s.leader.Inherit(s.holders[s.rng.IntN(len(s.holders))].granted)
	s.leader.StartGracePeriod(s.clock(t).Add(control.GracePeriod))
	if s.state != nil {
		// A random prefix of the proposed changes is committed before the next
		// leader acts.
		s.proposed = s.proposed[:s.listRNG.IntN(len(s.proposed)+1)]
		s.commitDue(simLength * 2)
	}
	_ = s.leader.SetLimit(s.resource, s.limit)
}

// injectFault applies a random fault or change of demand or limit.
func (s *sim) injectFault(t time.Duration) {
	h := s.holders[s.rng.IntN(len(s.holders))]
	switch s.rng.IntN(60) {
	case 0:
		h.pausedUntil = t + s.randomDuration(5*time.Second)
	case 1:
		h.disconnectedUntil = t + s.randomDuration(10*time.Second)
	case 2:
		h.previous = append(h.previous, h.holder)
		h.holder, h.inc, h.term = &control.LeaseHolder{}, h.inc+1, 0
	case 3:
		s.limit = s.limitOf(s.rng)
		_ = s.leader.SetLimit(s.resource, s.limit)
	case 4:
		if s.leaderChanges && s.rng.IntN(4) == 0 {
			s.changeLeader(t)
		}
	case 5, 6, 7, 8, 9, 10:
		h.want = s.rng.Int64N(s.limit.Total + 1)
	}
}

// saturateDemand makes each holder demand more than the limit.
func (s *sim) saturateDemand() {
	for _, h := range s.holders {
		h.want = 10 * s.limit.Total
	}
}

// stepWithRisingDemand makes all holders demand more than the limit after 10 s,
// changes the leader at a time that depends on the seed, and returns the amount
// in use.
func (s *sim) stepWithRisingDemand(seed uint64, t time.Duration) int64 {
	if t == time.Duration(seed%100)*simLength/100 {
		s.changeLeader(t)
	}
	if t > 10*time.Second {
		s.saturateDemand()
	}
	s.step(t)
	_, used := s.usage(t)
	return used
}

func (s *sim) step(t time.Duration) {
	s.totals = append(s.totals, s.limit.Total)
	for _, h := range s.holders {
		if t >= h.pausedUntil && t >= h.nextReport {
			s.report(h, t)
		}
	}
	due := s.messages
	s.messages = nil
	for _, m := range due {
		if m.due > t || (m.to != nil && t < m.to.pausedUntil) {
			s.messages = append(s.messages, m)
		} else {
			m.run(t)
		}
	}
}

// send delivers a message from or to a holder. The message may be lost, and may
// arrive after a later one.
func (s *sim) send(h, to *simHolder, t time.Duration, run func(time.Duration)) {
	delay := s.randomDuration(400 * time.Millisecond)
	if s.lossless {
		delay /= 2
	}
	if t >= h.disconnectedUntil && (s.lossless || s.rng.IntN(10) > 0) {
		s.messages = append(s.messages, simMessage{due: t + delay, to: to, run: run})
	}
}

// report sends a report and stops waiting for the reply to the previous one.
func (s *sim) report(h *simHolder, t time.Duration) {
	h.nextReport = t + 500*time.Millisecond
	if s.bursts {
		h.nextReport = t + time.Second
	}
	h.reportCount++
	number, inc, now := h.reportCount, h.inc, h.clock(t)
	d := h.holder.Demand(s.resource, min(h.want, h.holder.Limit(s.resource, now)), h.want)
	d.Leased = h.holder.Leased(s.resource, now)
	lastTerm := h.term
	s.send(h, nil, t, func(t time.Duration) {
		term, d := s.term, d
		if s.state != nil {
			s.leader.SetHolders(s.state.Holders(), s.clock(t))
		}
		if lastTerm != term {
			d.Leased = 0
		}
		grants := s.leader.Grant(h.id, inc, []azurestair.Demand{d}, s.clock(t))
		if lastTerm != term && s.leader.InGracePeriod(s.clock(t)) {
			grants = nil
		}
		for _, g := range grants {
			if s.state != nil && g.Amount > 0 && !s.state.Holders().Has(h.id) {
				Expect(g.Floor).To(BeZero(), "floor granted to a holder that is not listed")
				s.unlisted++
			}
		}
		s.send(h, h, t, func(t time.Duration) {
			if number == h.reportCount && inc == h.inc {
				h.holder.Apply(grants, now, h.clock(t))
				h.term = term
				if s.bursts && s.rng.IntN(2) == 0 {
					h.nextReport = t + simStep
				}
				if grants != nil {
					h.granted = grants
				}
			}
		})
	})
}

// usage returns what all holders may use at t and what they do use. For a
// previous incarnation only the lease counts, because the next incarnation has
// its floor.
func (s *sim) usage(t time.Duration) (held, used int64) {
	for _, h := range s.holders {
		now := h.clock(t)
		limit := h.holder.Limit(s.resource, now)
		held += limit
		used += min(h.want, limit)
		for _, p := range h.previous {
			held += p.Limit(s.resource, now) - p.Limit(s.resource, now.Add(time.Hour))
		}
	}
	return held, used
}

// expectWithinLimit checks that the amount that may be used stays within the
// largest limit of the last lease time, and that the schedules get close to it.
func expectWithinLimit(leaderChanges, withHolderList bool, limitOf func(*rand.Rand) control.Limit) {
	GinkgoHelper()
	maxRatio, unlisted := 0.0, 0
	for seed := range uint64(300) {
		s := newSim(seed, slotsBudget, limitOf)
		s.leaderChanges = leaderChanges
		if withHolderList {
			s.useHolderList(seed)
		}
		for t := time.Duration(0); t < simLength; t += simStep {
			s.injectFault(t)
			if withHolderList {
				s.injectChurn(t)
				s.proposeChanges(t)
			}
			s.step(t)
			held, _ := s.usage(t)
			recent := s.totals[max(0, len(s.totals)-int(control.LeaseTTL/simStep)-2):]
			maxRatio = max(maxRatio, float64(held)/float64(slices.Max(recent)))
			if maxRatio > 1 {
				Fail(fmt.Sprintf("seed %d at %v: %d held of %d", seed, t, held, slices.Max(recent)))
			}
		}
		unlisted += s.unlisted
	}
	Expect(maxRatio).To(BeNumerically(">", 0.9))
	Expect(unlisted > 0).To(Equal(withHolderList), "leases without a floor")
}

// expectRiseWithin runs schedules with a ramp and checks that no value exceeds
// an earlier value of the last interval by more than the step, and that the
// schedules get close to it.
func expectRiseWithin(l control.Limit, run func(s *sim, seed uint64, t time.Duration) int64) {
	GinkgoHelper()
	n, maxRise := int(l.Interval/simStep), int64(0)
	for seed := range uint64(200) {
		s := newSim(seed, shiftBudget, func(*rand.Rand) control.Limit { return l })
		var values []int64
		for t := time.Duration(0); t < simLength; t += simStep {
			values = append(values, run(s, seed, t))
			maxRise = max(maxRise, values[len(values)-1]-slices.Min(values[max(0, len(values)-n-1):]))
		}
		Expect(maxRise).To(BeNumerically("<=", l.Step), "seed %d", seed)
	}
	Expect(maxRise).To(BeNumerically(">", l.Step*3/4))
}

var _ = Describe("leases", func() {
	// Guards against holders that together use more than the limit after lost
	// replies, pauses, restarts, disconnects, clock drift, changed limits and,
	// in the first case, changes of leader.
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

	// Guards against a floor that a new leader does not reserve because its
	// list lacks a partitioned holder that uses the floor, and against a floor
	// that is granted while leases of others still cover it.
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

	shiftLimit := control.Limit{Total: 100, Floor: 1, Step: 20, Interval: 5 * time.Second}

	// Guards against a region that gets more shifted work within one interval
	// than the cap allows when another region fails, also across changes of
	// leader.
	It("let shifted work rise at most by the cap", func() {
		expectRiseWithin(shiftLimit, func(s *sim, seed uint64, t time.Duration) int64 {
			s.lossless = true
			return s.stepWithRisingDemand(seed, t)
		})
	})

	// Guards against work that was interrupted by a lost lease and resumes in
	// addition to the increase of other holders, with lost replies and
	// disconnects.
	It("let resumed work rise at most by the cap", func() {
		expectRiseWithin(shiftLimit, func(s *sim, seed uint64, t time.Duration) int64 {
			s.bursts = seed%2 == 1
			if h := s.holders[s.rng.IntN(len(s.holders))]; s.rng.IntN(100) == 0 {
				h.disconnectedUntil = t + s.randomDuration(4*time.Second)
			}
			return s.stepWithRisingDemand(seed, t)
		})
	})

	// Guards against an increase that was allowed but not used and adds to the
	// next one.
	It("let the outstanding sum rise at most by the cap, whatever the demand", func() {
		expectRiseWithin(shiftLimit, func(s *sim, seed uint64, t time.Duration) int64 {
			if seed%2 == 1 && t > simLength/2 {
				s.lossless = true
				s.saturateDemand()
			} else {
				s.injectFault(t)
			}
			s.step(t)
			leased, reserved := s.leader.Leased(s.resource, s.clock(t))
			return leased + max(reserved, 8*shiftLimit.Floor)
		})
	})
})
