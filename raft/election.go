package raft

import (
	"time"

	"azurestair.example/azurestair"
)

// randomBelow returns a random span below d.
func (n *Node) randomBelow(d time.Duration) time.Duration {
	return time.Duration(n.opts.Rand.Uint64() % uint64(d))
}

// resetElection sets the deadline for hearing a leader again.
func (n *Node) resetElection() {
	t := n.opts.ElectionTimeout
	n.electionDeadline = n.now.Add(t + n.randomBelow(t/2))
}

// retryElection sets a shorter deadline: after a failed attempt the leader is
// already known to be silent, and only other candidates must be avoided. The
// shortest span leaves time for one round trip and a sync.
func (n *Node) retryElection() {
	t := n.opts.ElectionTimeout
	n.electionDeadline = n.now.Add(t*3/20 + n.randomBelow(t/4))
}

// electable reports whether the replica may campaign.
func (n *Node) electable() bool {
	return !n.joining && n.isVoter(n.opts.ID)
}

// mayVote reports whether the replica may answer a candidate. Candidates ask
// only voters. A learner therefore refuses, except if the candidate's log is
// ahead of its own: that log holds its promotion, and without its vote a
// leader that stops right after it appended the promotion may never return.
func (n *Node) mayVote(m azurestair.RaftMessage) bool {
	if n.joining {
		return false
	}
	ahead := n.log.upToDate(m.PrevIndex, m.PrevTerm) && !n.log.matches(m.PrevIndex, m.PrevTerm)
	return n.isVoter(n.opts.ID) || (n.isMember(n.opts.ID) && ahead)
}

func (n *Node) preCampaign() {
	n.role, n.leader, n.transferVote = RolePreCandidate, "", false
	n.votes = map[azurestair.InstanceID]bool{n.opts.ID: true}
	n.retryElection()
	if n.tally(true) {
		n.campaign(false)
		return
	}
	n.askForVotes(azurestair.RaftPreVote, n.term+1)
}

// campaign starts a term. The requests leave only after the own vote was
// stored, because a candidate that forgot it could vote twice.
func (n *Node) campaign(transfer bool) {
	n.role, n.leader, n.transferVote = RoleCandidate, "", transfer
	n.term, n.vote = n.term+1, n.opts.ID
	n.incoming = incoming{}
	n.votes = map[azurestair.InstanceID]bool{}
	n.retryElection()
	if transfer {
		// A second attempt would need a pre-vote, which the others refuse while
		// the former leader may hold a lease; a slow sync must not cause one.
		n.electionDeadline = n.now.Add(n.opts.ElectionTimeout)
	}
	n.askForVotes(azurestair.RaftVote, n.term)
}

func (n *Node) askForVotes(kind azurestair.RaftKind, term azurestair.Term) {
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
		n.sendAfterStore(m)
	}
}

// handlePreVote answers whether a vote in the named term would be granted. It
// changes nothing, so the answer needs no storing.
func (n *Node) handlePreVote(m azurestair.RaftMessage) {
	if !n.mayVote(m) {
		return
	}
	reply := azurestair.RaftMessage{Kind: azurestair.RaftPreVoteReply, To: m.From, Term: m.Term}
	if m.Term <= n.term || n.hearsLeader() || !n.log.upToDate(m.PrevIndex, m.PrevTerm) {
		reply.Reject, reply.Term = true, n.term
	}
	n.send(reply)
}

// handleVote grants or refuses a vote. While the replica hears a leader it
// does not even take over the newer term, unless the leader asked for the vote.
func (n *Node) handleVote(m azurestair.RaftMessage) {
	if !n.mayVote(m) {
		return
	}
	if m.Term > n.term {
		if n.hearsLeader() && !m.Transfer {
			return
		}
		n.becomeFollower(m.Term, "")
	}
	reply := azurestair.RaftMessage{Kind: azurestair.RaftVoteReply, To: m.From, Reject: true}
	free := n.vote == m.From || (n.vote == "" && n.leader == "")
	if m.Term == n.term && free && n.log.upToDate(m.PrevIndex, m.PrevTerm) {
		n.vote, reply.Reject = m.From, false
		n.resetElection()
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
		if n.tally(true) {
			n.campaign(false)
		}
	case n.role == RoleCandidate && m.Kind == azurestair.RaftVoteReply:
		n.votes[m.From] = !m.Reject
		n.winIfElected()
	}
}

// countOwnVote counts a candidate's own vote once it is stored.
func (n *Node) countOwnVote(stored azurestair.HardState) {
	if n.role == RoleCandidate && stored.Term == n.term && stored.Vote == n.opts.ID {
		n.votes[n.opts.ID] = true
		n.winIfElected()
	}
}

func (n *Node) winIfElected() {
	if n.tally(true) && n.votes[n.opts.ID] {
		n.becomeLeader()
	}
}

// tally reports whether a majority of the voters gave this answer.
func (n *Node) tally(answer bool) bool {
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
	n.electionDeadline = time.Time{}
	n.lead = leadership{since: n.now, first: n.log.last() + 1}
	for _, e := range n.log.between(n.log.commit, n.log.last()) {
		n.lead.uncommitted += entryBytes(e)
	}
	n.syncPeers()
	n.appendOwn(azurestair.LogEntry{Kind: azurestair.EntryEmpty})
	n.heartbeat()
}
