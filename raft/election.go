package raft

import (
	"time"

	"azurestair.example/azurestair"
)

// randomDuration returns a random duration in [0, d).
func (n *Node) randomDuration(d time.Duration) time.Duration {
	return time.Duration(n.opts.Rand.Uint64() % uint64(d))
}

// resetElectionTimeout sets the time at which the replica campaigns unless it
// hears from a leader first.
func (n *Node) resetElectionTimeout() {
	t := n.opts.ElectionTimeout
	n.electionDeadline = n.now.Add(t + n.randomDuration(t/2))
}

// resetRetryTimeout sets a shorter election timeout for the time after a
// campaign has started. The leader is already known to be unreachable, so the
// timeout only has to keep candidates from colliding. Its minimum leaves time
// for one round trip and one disk sync.
func (n *Node) resetRetryTimeout() {
	t := n.opts.ElectionTimeout
	n.electionDeadline = n.now.Add(t*3/20 + n.randomDuration(t/4))
}

// canCampaign reports whether the replica may stand for election.
func (n *Node) canCampaign() bool {
	return !n.joining && n.isVoter(n.opts.ID)
}

// canVote reports whether the replica answers a candidate. A replica that is a
// learner in its own log answers only if the candidate's log is ahead of its
// own. Since candidates ask only voters, that log then contains the learner's
// promotion. If a leader stops right after it has appended a promotion, an
// election may be impossible without the vote of the promoted learner.
func (n *Node) canVote(m azurestair.RaftMessage) bool {
	if n.joining {
		return false
	}
	ahead := n.log.isUpToDate(m.PrevIndex, m.PrevTerm) && !n.log.matchTerm(m.PrevIndex, m.PrevTerm)
	return n.isVoter(n.opts.ID) || (n.isMember(n.opts.ID) && ahead)
}

func (n *Node) preCampaign() {
	n.role, n.leader, n.transferVote = RolePreCandidate, "", false
	n.votes = map[azurestair.InstanceID]bool{n.opts.ID: true}
	n.resetRetryTimeout()
	if n.asksEarly() {
		n.restart.replies = nil
		n.electionDeadline = n.now.Add(maxRestartDelay/2 + n.randomDuration(maxRestartDelay))
	}
	if n.hasMajority(true) {
		n.campaign(false)
		return
	}
	n.requestVotes(azurestair.RaftPreVote, n.term+1)
}

// campaign starts a new term as a candidate. The vote requests are sent only
// after the candidate's vote for itself has been stored; otherwise it could
// vote for another candidate of the same term after a crash.
func (n *Node) campaign(transfer bool) {
	n.role, n.leader, n.transferVote = RoleCandidate, "", transfer
	n.term, n.vote = n.term+1, n.opts.ID
	n.receivedSnapshot = snapshotBuffer{}
	n.votes = map[azurestair.InstanceID]bool{}
	n.resetRetryTimeout()
	if transfer {
		// A second campaign would need a pre-vote, which the other voters
		// refuse while the previous leader may still hold a lease. The full
		// election timeout keeps a slow sync from causing one.
		n.electionDeadline = n.now.Add(n.opts.ElectionTimeout)
	}
	n.requestVotes(azurestair.RaftVote, n.term)
	n.restart.replies = nil
}

func (n *Node) requestVotes(kind azurestair.RaftKind, term azurestair.Term) {
	for _, id := range n.membership().Voters {
		if id == n.opts.ID {
			continue
		}
		m := azurestair.RaftMessage{
			Kind: kind, To: id, Term: term, Transfer: n.transferVote,
			PrevIndex: n.log.last(), PrevTerm: n.log.lastTerm(),
		}
		if kind == azurestair.RaftPreVote {
			n.send(m)
			continue
		}
		m.Run = n.restart.replies[id].run
		n.sendAfterStore(m)
	}
}

// handlePreVote answers whether the replica would grant a vote in the given
// term. It changes no state, so the reply does not wait for storage.
func (n *Node) handlePreVote(m azurestair.RaftMessage) {
	if !n.canVote(m) {
		return
	}
	reply := azurestair.RaftMessage{Kind: azurestair.RaftPreVoteReply, To: m.From, Term: m.Term}
	if m.Term <= n.term || n.inLeaderLease() || !n.log.isUpToDate(m.PrevIndex, m.PrevTerm) {
		reply.Reject, reply.Term = true, n.term
		n.addRun(&reply, m)
	}
	n.send(reply)
}

// handleVote grants or rejects a vote. A replica that had recent contact with a
// leader ignores the request and its newer term, unless that leader started the
// election by a leadership transfer.
func (n *Node) handleVote(m azurestair.RaftMessage) {
	if !n.canVote(m) {
		return
	}
	if m.Term > n.term {
		if n.inLeaderLease() && !m.Transfer && !n.grantsRestartVote(m) {
			return
		}
		n.becomeFollower(m.Term, "")
	}
	reply := azurestair.RaftMessage{Kind: azurestair.RaftVoteReply, To: m.From, Reject: true}
	voteAvailable := n.vote == m.From || (n.vote == "" && n.leader == "")
	if m.Term == n.term && voteAvailable && n.log.isUpToDate(m.PrevIndex, m.PrevTerm) {
		n.vote, reply.Reject = m.From, false
		n.resetElectionTimeout()
	}
	n.sendAfterStore(reply)
}

func (n *Node) handleVoteReply(m azurestair.RaftMessage) {
	switch {
	case n.role == RolePreCandidate && m.Kind == azurestair.RaftPreVoteReply:
		if !m.Reject && m.Term != n.term+1 {
			return
		}
		n.votes[m.From] = !m.Reject
		n.addRestartReply(m)
		if n.hasMajority(true) || n.hasRestartMajority() {
			n.campaign(false)
		}
	case n.role == RoleCandidate && m.Kind == azurestair.RaftVoteReply:
		n.votes[m.From] = !m.Reject
		n.becomeLeaderIfElected()
	}
}

// countStoredVote counts a candidate's vote for itself once it is durable.
func (n *Node) countStoredVote(stored azurestair.HardState) {
	if n.role == RoleCandidate && stored.Term == n.term && stored.Vote == n.opts.ID {
		n.votes[n.opts.ID] = true
		n.becomeLeaderIfElected()
	}
}

func (n *Node) becomeLeaderIfElected() {
	if n.hasMajority(true) && n.votes[n.opts.ID] {
		n.becomeLeader()
	}
}

// hasMajority reports whether a majority of the voters gave this answer.
func (n *Node) hasMajority(answer bool) bool {
	voters := n.membership().Voters
	count := 0
	for _, id := range voters {
		if got, ok := n.votes[id]; ok && got == answer {
			count++
		}
	}
	return count > len(voters)/2
}

func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes, n.transferVote = RoleLeader, n.opts.ID, nil, false
	n.endRun()
	n.electionDeadline = time.Time{}
	n.leaderState = leaderState{electedAt: n.now, firstIndex: n.log.last() + 1}
	for _, e := range n.log.slice(n.log.commit, n.log.last()) {
		n.leaderState.uncommittedBytes += entrySize(e)
	}
	n.updateFollowers()
	n.appendEntry(azurestair.LogEntry{Kind: azurestair.EntryEmpty})
	n.heartbeat()
}
