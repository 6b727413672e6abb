package raft

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

// timeToLease returns how long it takes until a replica holds a lease.
func (s *sim) timeToLease() time.Duration {
	from := s.now
	for s.leader() == nil && s.now-from < 10*time.Second {
		s.step()
	}
	return s.now - from
}

// restartTogether crashes the replicas and restarts them the given time apart,
// half a second later.
func (s *sim) restartTogether(apart time.Duration, nodes ...*simNode) {
	for i, n := range nodes {
		s.crash(n)
		n.resumeAt = s.now + 500*time.Millisecond + time.Duration(i)*apart
	}
	s.runFor(500*time.Millisecond + time.Duration(len(nodes)-1)*apart)
}

// maxRestartElection is a small part of the second in which a fleet must serve
// again after a loss of power.
const maxRestartElection = 400 * time.Millisecond

var _ = Describe("replicas that restart together", func() {
	// Guards against a fleet that, after all its instances have stopped, waits
	// for the lease of a leader that has stopped too.
	DescribeTable("elect a leader without waiting for an election timeout",
		func(apart time.Duration, leaderFirst bool) {
			slow := uint64(0)
			for seed := uint64(1); seed <= *numSeeds; seed++ {
				s, l, followers := newSimWithLeader(seed)
				order := append(followers, l)
				if leaderFirst {
					order = append([]*simNode{l}, followers...)
				}
				s.restartTogether(apart, order...)
				if s.timeToLease() > maxRestartElection {
					slow++
				}
			}
			Expect(slow).To(BeZero(), "of %d", *numSeeds)
		},
		Entry("100 ms apart, the leader last", 100*time.Millisecond, false),
		Entry("100 ms apart, the leader first", 100*time.Millisecond, true),
		Entry("10 ms apart", 10*time.Millisecond, true),
		Entry("at once", time.Duration(0), false),
	)

	It("do so again and again", func() {
		s, l, followers := newSimWithLeader(3)
		for range 5 {
			s.restartTogether(100*time.Millisecond, append(followers, l)...)
			Expect(s.timeToLease()).To(BeNumerically("<", maxRestartElection))
			s.runFor(time.Second)
		}
	})

	// Guards against two leaders that both rely on a lease: the last leader may
	// be cut off or suspended and still hold it.
	DescribeTable("wait for the lease of a leader that has not restarted with them",
		func(outage func(s *sim, l *simNode)) {
			for seed := uint64(1); seed <= *numSeeds; seed++ {
				s, l, followers := newSimWithLeader(seed)
				outage(s, l)
				s.restartTogether(100*time.Millisecond, followers...)
				from := s.now
				for s.now-from < 200*time.Millisecond {
					s.step()
					for _, f := range followers {
						Expect(f.node == nil || !f.node.IsLeader()).To(BeTrue(), s.name)
					}
				}
			}
		},
		Entry("because it is cut off", func(s *sim, l *simNode) { s.isolate(l) }),
		Entry("because it is suspended", func(_ *sim, l *simNode) { l.frozen, l.resumeAt = true, time.Hour }),
		Entry("because it is lost", func(s *sim, l *simNode) { s.crash(l); l.resumeAt = time.Hour }),
	)

	// Guards against a vote that relies on a reply from an earlier run, after
	// which the voter may have answered a leader.
	It("grant an early vote only in the run in which they replied", func() {
		s, _, followers := newSimWithLeader(1)
		f := followers[0]
		s.crash(f)
		f.resumeAt = time.Hour
		node, err := New(f.opts, f.disk, s.localTime(f))
		Expect(err).NotTo(HaveOccurred())
		vote := func(run azurestair.ReplicaRun) azurestair.RaftMessage {
			return azurestair.RaftMessage{
				Kind: azurestair.RaftVote, From: followers[1].id, To: f.id, Term: node.term + 1,
				PrevIndex: node.log.last() + 1, PrevTerm: node.term, Run: run,
			}
		}
		run := node.restart.run
		for _, other := range []azurestair.ReplicaRun{0, run + 2} {
			Expect(node.Step(vote(other), s.localTime(f))).To(Succeed())
			Expect(node.vote).NotTo(Equal(followers[1].id))
		}
		heard, err := New(f.opts, f.disk, s.localTime(f))
		Expect(err).NotTo(HaveOccurred())
		contact := azurestair.RaftMessage{Kind: azurestair.RaftHeartbeat, From: f.disk.HardState.Vote, To: f.id, Term: heard.term}
		Expect(heard.Step(contact, s.localTime(f))).To(Succeed())
		Expect(heard.restart.run).To(BeZero())
		Expect(node.Step(vote(run), s.localTime(f))).To(Succeed())
		Expect(node.vote).To(Equal(followers[1].id))
	})
})
