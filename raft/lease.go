package raft

import (
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// maxRecentRounds is the number of heartbeat rounds whose send times are kept.
// Replies to older rounds are of no use: 16 rounds take longer than an election
// timeout as long as the heartbeat interval is at least a sixteenth of it.
const maxRecentRounds = 16

// heartbeatRound records when a heartbeat round was sent.
type heartbeatRound struct {
	round  uint64
	sentAt time.Time
}

func (n *Node) tickLeader() {
	if d := n.leaderState.transfer.deadline; !d.IsZero() && !n.now.Before(d) {
		n.abortTransfer()
	}
	if n.role == RoleLeader && !n.now.Before(n.leaderState.nextHeartbeatAt) {
		n.heartbeat()
	}
}

func (n *Node) heartbeat() {
	n.leaderState.heartbeatRound++
	n.leaderState.recentRounds[n.leaderState.heartbeatRound%maxRecentRounds] = heartbeatRound{
		round: n.leaderState.heartbeatRound, sentAt: n.now,
	}
	n.leaderState.nextHeartbeatAt = n.now.Add(n.opts.HeartbeatInterval)
	for _, p := range n.leaderState.followers {
		n.send(azurestair.RaftMessage{
			Kind: azurestair.RaftHeartbeat, To: p.id, Round: n.leaderState.heartbeatRound,
			Commit: min(n.log.commit, p.match),
		})
	}
	if t := n.leaderState.transfer; t.timeoutNowSent {
		// The first TimeoutNow may have been lost, so it is sent with each
		// heartbeat.
		n.send(azurestair.RaftMessage{Kind: azurestair.RaftTimeoutNow, To: t.target})
	}
}

func (n *Node) handleHeartbeat(m azurestair.RaftMessage) {
	if !n.output.hasPendingRestore() {
		n.commitTo(m.Commit)
	}
	n.send(azurestair.RaftMessage{Kind: azurestair.RaftHeartbeatReply, To: m.From, Round: m.Round})
}

func (n *Node) handleHeartbeatReply(p *progress, m azurestair.RaftMessage) {
	if sent := n.leaderState.recentRounds[m.Round%maxRecentRounds]; sent.round == m.Round {
		p.ackedAt = latest(p.ackedAt, sent.sentAt)
	}
	if m.Round <= p.lastSentRound {
		return
	}
	// The follower answered a heartbeat that was sent after the last append or
	// snapshot chunk, so that message or its reply may have been lost.
	p.paused = false
	switch {
	case p.state == ProgressSnapshot:
		p.snapshotOffset = p.requestedOffset
		n.sendSnapshotChunk(p)
	case p.match < n.log.last():
		p.forceAppend = true
	}
}

// quorumContactAt returns the latest time t such that a majority of the voters
// has answered a heartbeat that was sent at t or later. The leader counts as
// having answered now.
func (n *Node) quorumContactAt() time.Time {
	voters := n.membership().Voters
	var buf [azurestair.MaxVoters + 1]time.Time
	at := buf[:0]
	for _, id := range voters {
		if id == n.opts.ID {
			at = append(at, n.now)
			continue
		}
		if p := n.followerProgress(id); p != nil {
			at = append(at, p.ackedAt)
		}
	}
	slices.SortFunc(at, func(a, b time.Time) int { return b.Compare(a) })
	return at[len(voters)/2]
}

// quorumCheckDeadline returns when the leader steps down unless a majority of
// the voters answers a heartbeat by then.
func (n *Node) quorumCheckDeadline() time.Time {
	return latest(n.quorumContactAt(), n.leaderState.electedAt).Add(n.opts.ElectionTimeout)
}

// LeaseDeadline returns the end of the leader's lease: until then no other
// replica can be leader. It is zero if the replica holds no lease. The caller
// compares it with the current time immediately before it relies on the lease.
// TransferLeadership invalidates the values that were returned before it.
func (n *Node) LeaseDeadline() time.Time {
	if n.role != RoleLeader || n.log.commit < n.leaderState.firstIndex || n.leaderState.transfer.target != "" {
		return time.Time{}
	}
	at := n.quorumContactAt()
	if at.IsZero() {
		return at
	}
	return at.Add(n.opts.ElectionTimeout - n.opts.MaxClockDrift)
}

// ReadIndex returns the index up to which the log must be applied for a
// linearizable read that starts now. It fails with ErrNotLeader on replicas
// other than the leader and with ErrNoQuorum on a leader without a valid lease.
func (n *Node) ReadIndex(now time.Time) (azurestair.Index, error) {
	n.advanceTime(now)
	if n.role != RoleLeader {
		return 0, azurestair.ErrNotLeader
	}
	if !n.now.Before(n.LeaseDeadline()) {
		return 0, azurestair.ErrNoQuorum
	}
	return n.log.commit, nil
}
