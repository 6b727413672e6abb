package raft

import (
	"fmt"

	"azurestair.example/azurestair"
)

func invalidMessage(m azurestair.RaftMessage, reason string) error {
	return fmt.Errorf("%w: raft message of kind %d from %s: %s", azurestair.ErrInvalid, m.Kind, m.From, reason)
}

// validateMessage rejects messages that no correct replica sends.
func (n *Node) validateMessage(m azurestair.RaftMessage) error {
	if err := m.Validate(); err != nil {
		return err
	}
	switch {
	case m.To != n.opts.ID:
		return invalidMessage(m, fmt.Sprintf("addressed to %q", m.To))
	case m.From == n.opts.ID:
		return invalidMessage(m, "sender and receiver are the same")
	case m.Term == 0 || m.Term > maxTerm || m.PrevTerm > m.Term || m.HintTerm > m.Term:
		return invalidMessage(m, "term out of range")
	}
	switch m.Kind {
	case azurestair.RaftAppend, azurestair.RaftHeartbeat, azurestair.RaftSnapshot, azurestair.RaftTimeoutNow:
		return n.validateLeaderMessage(m)
	case azurestair.RaftAppendReply, azurestair.RaftHeartbeatReply, azurestair.RaftSnapshotReply:
		return n.validateReply(m)
	}
	return nil
}

func (n *Node) validateLeaderMessage(m azurestair.RaftMessage) error {
	if m.Term == n.term && n.leader != "" && n.leader != m.From {
		return invalidMessage(m, "term already has another leader")
	}
	term := m.PrevTerm
	for _, e := range m.Entries {
		if e.Term < term || e.Term > m.Term {
			return invalidMessage(m, "entry terms are out of order")
		}
		term = e.Term
	}
	if m.Kind != azurestair.RaftSnapshot {
		return nil
	}
	if m.Snapshot.Index == 0 || m.Snapshot.Term == 0 || m.Snapshot.Term > m.Term {
		return invalidMessage(m, "snapshot index or term out of range")
	}
	if m.Chunk.Total > n.opts.MaxSnapshotBytes {
		return invalidMessage(m, "snapshot too large")
	}
	if len(m.Chunk.Data) == 0 && m.Chunk.Total > 0 {
		return invalidMessage(m, "empty snapshot chunk")
	}
	return nil
}

func (n *Node) validateReply(m azurestair.RaftMessage) error {
	if m.Offset < 0 {
		return invalidMessage(m, "negative offset")
	}
	if m.Term != n.term || n.role != RoleLeader {
		return nil
	}
	if m.Match > n.log.last() || m.PrevIndex > n.log.last() {
		return invalidMessage(m, "index is past the end of the log")
	}
	if m.Round > n.leaderState.heartbeatRound {
		return invalidMessage(m, "heartbeat round was not sent yet")
	}
	return nil
}
