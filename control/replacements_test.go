package control_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// Times of a controlFleet in milliseconds.
const (
	fleetStep      = 50
	reportInterval = 1000
	checkInterval  = 250
	// A lost leader is replaced after minElection to maxElection.
	minElection = 700
	maxElection = 2000
	// learnTime is how long a learner takes to catch up. A learner that has not
	// answered for promoteWindow is not promoted.
	learnTime     = 500
	promoteWindow = 700
	// catchUp is the time after the start of a successor until the next machine
	// may be lost.
	catchUp = 4000
)

// machine is a control instance of a controlFleet.
type machine struct {
	control.Replica
	// reportsAt is when it reports next, reportedAt when it last reported to the
	// present leader, or less than zero.
	reportsAt, reportedAt int
	// ackedAt is when it last answered the present leader, or less than zero.
	ackedAt int
	// learnerSince is when it became a learner.
	learnerSince int
	isLost       bool
}

// controlFleet is a log whose machines are replaced by empty ones at other
// addresses, in virtual time.
type controlFleet struct {
	rng      *rand.Rand
	now      int
	m        azurestair.Membership
	machines []*machine
	leader   *machine
	planner  *control.MembershipPlanner
	electAt  int
	plansAt  int
}

func newControlFleet(size int, seed uint64) *controlFleet {
	f := &controlFleet{rng: rand.New(rand.NewPCG(seed, 0))}
	for range size {
		f.m.Voters = append(f.m.Voters, f.start().ID)
	}
	f.elect(f.machines[0], &control.MembershipPlanner{})
	return f
}

// start starts an empty machine. It reports once it has found the leader.
func (f *controlFleet) start() *machine {
	r := replicas(len(f.machines))[0]
	m := &machine{Replica: r, reportsAt: f.now + 300 + f.rng.IntN(reportInterval), reportedAt: -1, ackedAt: -1}
	f.machines = append(f.machines, m)
	return m
}

// elect makes a machine the leader. Reports and answers to earlier leaders do not
// count for it.
func (f *controlFleet) elect(leader *machine, p *control.MembershipPlanner) {
	f.leader, f.planner, f.plansAt = leader, p, f.now
	for _, m := range f.machines {
		m.reportedAt, m.ackedAt = -1, -1
	}
}

// lose ends a machine for good. Another leader is elected if it led.
func (f *controlFleet) lose(m *machine) {
	m.isLost = true
	if m == f.leader {
		f.planner, f.electAt = &control.MembershipPlanner{LeaderContactAt: at(f.now)}, f.now+minElection+f.rng.IntN(maxElection-minElection)
	}
}

func (f *controlFleet) alive() []*machine {
	var out []*machine
	for _, m := range f.machines {
		if !m.isLost {
			out = append(out, m)
		}
	}
	return out
}

// run lets time pass and checks that the log keeps a quorum.
func (f *controlFleet) run(ms int) {
	GinkgoHelper()
	for end := f.now + ms; f.now < end; f.now += fleetStep {
		f.expectQuorum()
		if f.leader.isLost {
			if f.now < f.electAt {
				continue
			}
			voters := slices.DeleteFunc(f.alive(), func(m *machine) bool { return !slices.Contains(f.m.Voters, m.ID) })
			f.elect(voters[f.rng.IntN(len(voters))], f.planner)
		}
		f.receive()
		if f.now >= f.plansAt {
			f.plansAt = f.now + checkInterval
			f.plan()
		}
	}
}

func (f *controlFleet) expectQuorum() {
	GinkgoHelper()
	n := 0
	for _, m := range f.alive() {
		if slices.Contains(f.m.Voters, m.ID) {
			n++
		}
	}
	Expect(2*n).To(BeNumerically(">", len(f.m.Voters)), "%d ms: %d of the voters %v run", f.now, n, f.m.Voters)
}

// receive delivers reports and answers to heartbeats.
func (f *controlFleet) receive() {
	for _, m := range f.alive() {
		if f.now >= m.reportsAt {
			m.reportsAt, m.reportedAt = f.now+reportInterval, f.now
		}
		if f.isMember(m) {
			m.ackedAt = f.now
		}
	}
}

func (f *controlFleet) isMember(m *machine) bool {
	return slices.Contains(f.m.Voters, m.ID) || slices.Contains(f.m.Learners, m.ID)
}

// plan makes the next change of the membership.
func (f *controlFleet) plan() {
	members := control.LogMembers{}
	var reporting []control.Replica
	for _, m := range f.machines {
		if f.isMember(m) && m.ackedAt >= 0 {
			members[m.ID] = control.LogMember{PeerAddr: m.PeerAddr, AckedAt: at(m.ackedAt)}
		}
		if m.reportedAt >= 0 && at(f.now).Sub(at(m.reportedAt)) < control.InstanceLease {
			r := m.Replica
			r.ReportedAt = at(m.reportedAt)
			r.CaughtUp = slices.Contains(f.m.Learners, m.ID) && m.ackedAt >= m.learnerSince+learnTime
			reporting = append(reporting, r)
		}
	}
	if step, ok := f.planner.Next(f.m, members, reporting, at(f.now)); ok {
		f.apply(step)
	}
}

// apply makes a change of the membership unless the log refuses it.
func (f *controlFleet) apply(step control.MembershipStep) {
	i := slices.IndexFunc(f.machines, func(m *machine) bool { return m.ID == step.Instance })
	target := f.machines[i]
	if target == f.leader || (step.Action == azurestair.MemberPromote && f.now-target.ackedAt >= promoteWindow) {
		return
	}
	is := func(id azurestair.InstanceID) bool { return id == step.Instance }
	f.m.Learners, f.m.Voters = slices.DeleteFunc(f.m.Learners, is), slices.DeleteFunc(f.m.Voters, is)
	switch step.Action {
	case azurestair.MemberAddLearner:
		f.m.Learners, target.learnerSince = append(f.m.Learners, target.ID), f.now
	case azurestair.MemberPromote:
		f.m.Voters = append(f.m.Voters, target.ID)
	}
}

// replacement is the case of a test: which machine is replaced next.
type replacement struct {
	name   string
	victim func(f *controlFleet) *machine
}

func replacementCases() []replacement {
	newest := func(f *controlFleet) *machine { return f.alive()[len(f.alive())-1] }
	leading := func(f *controlFleet) *machine { return f.leader }
	return []replacement{
		{"the leader", leading},
		{"the newest machine", newest},
		{"the oldest machine", func(f *controlFleet) *machine { return f.alive()[0] }},
		{"a random machine", func(f *controlFleet) *machine { return f.alive()[f.rng.IntN(len(f.alive()))] }},
		{"the newest machine or the leader", func(f *controlFleet) *machine {
			return []func(f *controlFleet) *machine{newest, leading}[f.rng.IntN(2)](f)
		}},
	}
}

// Guards against a log that loses its quorum for good while machines are
// replaced one at a time, each as soon as the platform allows. Members that are
// gone were counted as voters, and instances that had just ended took the place
// of those that run.
var _ = Describe("replacing control machines one at a time", func() {
	for _, size := range []int{3, 5} {
		for _, r := range replacementCases() {
			for _, successorAfter := range []int{0, 1000, 2000} {
				It(fmt.Sprintf("keeps a quorum of %d: %s, with a successor after %d ms", size, r.name, successorAfter), func() {
					for seed := range uint64(50) {
						By(fmt.Sprint("seed ", seed))
						f := newControlFleet(size, seed)
						f.run(5000)
						for range 8 {
							f.lose(r.victim(f))
							f.run(successorAfter)
							f.start()
							f.run(catchUp + f.rng.IntN(4)*1000)
						}
						f.run(5000)
						Expect(f.m.Voters).To(HaveLen(size))
					}
				})
			}
		}
	}
})
