package raft

import (
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// maxRounds bounds the heartbeat rounds whose answers still count. An older
// answer would not extend anything: 16 rounds last longer than an election
// timeout as long as the interval is at least a sixteenth of it.
const maxRounds = 16

// sentRound is when a heartbeat round was sent.
type sentRound struct {
	round uint64
	at    time.Time
}

func (n *Node) tickLeader() {
	if d := n.lead.transfer.deadline; !d.IsZero() && !n.now.Before(d) {
		n.abortTransfer()
	}
	if n.role == RoleLeader && !n.now.Before(n.lead.heartbeatAt) {
		n.heartbeat()
	}
}

func (n *Node) heartbeat() {
	n.lead.round++
	n.lead.rounds[n.lead.round%maxRounds] = sentRound{round: n.lead.round, at: n.now}
	n.lead.heartbeatAt = n.now.Add(n.opts.HeartbeatInterval)
	for _, p := range n.lead.peers {
		n.send(azurestair.RaftMessage{
			Kind: azurestair.RaftHeartbeat, To: p.id, Round: n.lead.round,
			Commit: min(n.log.commit, p.match),
		})
	}
	if t := n.lead.transfer; t.sent {
		// The message that asks the target to campaign may have been lost.
		n.send(azurestair.RaftMessage{Kind: azurestair.RaftTimeoutNow, To: t.to})
	}
}

func (n *Node) handleHeartbeat(m azurestair.RaftMessage) {
	if !n.output.restoring() {
		n.commitTo(m.Commit)
	}
	n.send(azurestair.RaftMessage{Kind: azurestair.RaftHeartbeatReply, To: m.From, Round: m.Round})
}

func (n *Node) handleHeartbeatReply(p *progress, m azurestair.RaftMessage) {
	if sent := n.lead.rounds[m.Round%maxRounds]; sent.round == m.Round {
		p.ackedAt = latest(p.ackedAt, sent.at)
	}
	if m.Round <= p.sentRound {
		return
	}
	// The follower answered something sent later than the last append or
	// piece, so that one or its answer may be lost.
	p.paused = false
	switch {
	case p.state == ProgressSnapshot:
		p.offset = p.wanted
		n.sendPiece(p)
	case p.match < n.log.last():
		p.check = true
	}
}

// quorumAt returns the newest time such that a majority of the voters answered
// a heartbeat that was sent then or later.
func (n *Node) quorumAt() time.Time {
	voters := n.membership().Voters
	var buf [azurestair.MaxVoters + 1]time.Time
	at := buf[:0]
	for _, id := range voters {
		if id == n.opts.ID {
			at = append(at, n.now)
			continue
		}
		if p := n.peer(id); p != nil {
			at = append(at, p.ackedAt)
		}
	}
	slices.SortFunc(at, func(a, b time.Time) int { return b.Compare(a) })
	return at[len(voters)/2]
}

// quorumDeadline is when a leader steps down unless a majority answers.
func (n *Node) quorumDeadline() time.Time {
	return latest(n.quorumAt(), n.lead.since).Add(n.opts.ElectionTimeout)
}

// LeaseDeadline returns until when this replica may act as the only leader
// without asking the others; zero means not at all. The owner compares it with
// the present time immediately before it acts. A call of TransferLeadership
// makes values that were returned before it void.
func (n *Node) LeaseDeadline() time.Time {
	if n.role != RoleLeader || n.log.commit < n.lead.first || n.lead.transfer.to != "" {
		return time.Time{}
	}
	at := n.quorumAt()
	if at.IsZero() {
		return at
	}
	return at.Add(n.opts.ElectionTimeout - n.opts.ClockDrift)
}

// ReadIndex returns the index that must be applied before a read that starts
// now sees all earlier writes. It fails with ErrNotLeader on other replicas and
// with ErrNoQuorum on a leader without a valid lease.
func (n *Node) ReadIndex(now time.Time) (azurestair.Index, error) {
	n.observe(now)
	if n.role != RoleLeader {
		return 0, azurestair.ErrNotLeader
	}
	if !n.now.Before(n.LeaseDeadline()) {
		return 0, azurestair.ErrNoQuorum
	}
	return n.log.commit, nil
}
