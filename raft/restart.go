package raft

import (
	"time"

	"azurestair.example/azurestair"
)

// A voter that has just started refuses votes for an election timeout, because
// it may have answered a leader's heartbeat just before it stopped, and that
// leader may still rely on its lease. When all voters have stopped, no such
// leader is left, and they need not wait for it:
//
// Each replica keeps in its vote which leader its term had. If a majority of the
// voters have started without hearing from a leader since, are in the same term
// and name the same leader of it, and that leader is itself one of them, then
// its lease ended with its former run. A lease of an earlier term ended before
// that leader was elected. A candidate that has these replies in one round of
// preliminary votes requests votes at once. A voter grants one only in the run
// in which it replied, and only if it has not heard from a leader in it.

// restartState is the part of a replica's state that concerns such elections.
type restartState struct {
	// run identifies this run until the replica hears from a leader; then it is
	// zero.
	run azurestair.ReplicaRun
	// replies holds the replies of other restarted voters to the current round
	// of preliminary votes.
	replies map[azurestair.InstanceID]restartReply
	// until is the end of the time in which the replica asks for preliminary
	// votes early.
	until time.Time
}

type restartReply struct {
	run   azurestair.ReplicaRun
	voted azurestair.InstanceID
}

// maxRestartDelay bounds the random delay before a restarted replica asks for
// preliminary votes, and before it asks again. The last leader asks at once.
// Replicas that restart together are ready a few hundred milliseconds apart.
const maxRestartDelay = 100 * time.Millisecond

// startRun marks a replica that starts with a log as restarted.
func (n *Node) startRun() {
	if n.term == 0 || n.log.last() <= 1 || n.joining {
		return
	}
	n.restart.run = azurestair.ReplicaRun(n.opts.Rand.Uint64() | 1)
	n.restart.until = n.now.Add(n.opts.ElectionTimeout)
	n.electionDeadline = n.now
	if n.vote != n.opts.ID {
		n.electionDeadline = n.now.Add(n.randomDuration(maxRestartDelay))
	}
}

// endRun records that the replica has heard from a leader, or leads.
func (n *Node) endRun() { n.restart = restartState{} }

// asksEarly reports whether the replica asks for preliminary votes before its
// first election timeout.
func (n *Node) asksEarly() bool { return n.restart.run != 0 && n.now.Before(n.restart.until) }

// addRun adds to the refusal of a preliminary vote what a restarted candidate
// needs. The last leader does so only for a replica whose log is ahead of its
// own: otherwise it asks for votes itself, so that replicas that start together
// do not share the votes. A candidate whose log is behind gets nothing, since the
// others would refuse its term and could no longer elect another one at once.
func (n *Node) addRun(reply *azurestair.RaftMessage, m azurestair.RaftMessage) {
	isLastLeader := n.vote == n.opts.ID
	if !n.log.isUpToDate(m.PrevIndex, m.PrevTerm) || (isLastLeader && n.log.matchTerm(m.PrevIndex, m.PrevTerm)) {
		return
	}
	reply.Run, reply.Voted = n.restart.run, n.vote
}

// addRestartReply records the reply of a restarted voter to a preliminary vote.
func (n *Node) addRestartReply(m azurestair.RaftMessage) {
	if n.restart.run == 0 || m.Run == 0 || !m.Reject || m.Term != n.term {
		return
	}
	if n.restart.replies == nil {
		n.restart.replies = map[azurestair.InstanceID]restartReply{}
	}
	n.restart.replies[m.From] = restartReply{run: m.Run, voted: m.Voted}
}

// hasRestartMajority reports whether the replies prove that the leader of the
// replica's term has stopped.
func (n *Node) hasRestartMajority() bool {
	leader := n.vote
	if n.restart.run == 0 || leader == "" {
		return false
	}
	if _, replied := n.restart.replies[leader]; !replied && leader != n.opts.ID {
		return false
	}
	voters := n.membership().Voters
	count := 0
	for _, id := range voters {
		if reply, ok := n.restart.replies[id]; id == n.opts.ID || (ok && reply.voted == leader) {
			count++
		}
	}
	return count > len(voters)/2
}

// grantsRestartVote reports whether the replica may vote although it started
// less than an election timeout ago.
func (n *Node) grantsRestartVote(m azurestair.RaftMessage) bool {
	return m.Run != 0 && m.Run == n.restart.run
}
