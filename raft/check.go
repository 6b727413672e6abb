package raft

import (
	"fmt"

	"azurestair.example/azurestair"
)

func invalid(m azurestair.RaftMessage, reason string) error {
	return fmt.Errorf("%w: raft message of kind %d from %s: %s", azurestair.ErrInvalid, m.Kind, m.From, reason)
}

// checkMessage refuses messages that no correct replica sends.
func (n *Node) checkMessage(m azurestair.RaftMessage) error {
	if err := m.Validate(); err != nil {
		return err
	}
	switch {
	case m.To != n.opts.ID:
		return invalid(m, fmt.Sprintf("addressed to %q", m.To))
	case m.From == n.opts.ID:
		return invalid(m, "sent by the receiver itself")
	case m.Term == 0 || m.Term > maxTerm || m.PrevTerm > m.Term || m.HintTerm > m.Term:
		return invalid(m, "term out of range")
	}
	switch m.Kind {
	case azurestair.RaftAppend, azurestair.RaftHeartbeat, azurestair.RaftSnapshot, azurestair.RaftTimeoutNow:
		return n.checkFromLeader(m)
	case azurestair.RaftAppendReply, azurestair.RaftHeartbeatReply, azurestair.RaftSnapshotReply:
		return n.checkToLeader(m)
	}
	return nil
}

func (n *Node) checkFromLeader(m azurestair.RaftMessage) error {
	if m.Term == n.term && n.leader != "" && n.leader != m.From {
		return invalid(m, "second leader in the term")
	}
	term := m.PrevTerm
	for _, e := range m.Entries {
		if e.Term < term || e.Term > m.Term {
			return invalid(m, "terms of the entries are out of order")
		}
		term = e.Term
	}
	if m.Kind != azurestair.RaftSnapshot {
		return nil
	}
	if m.Snapshot.Index == 0 || m.Snapshot.Term == 0 || m.Snapshot.Term > m.Term {
		return invalid(m, "index or term of the snapshot out of range")
	}
	if m.Piece.Total > n.opts.MaxSnapshotBytes {
		return invalid(m, "snapshot too large")
	}
	if len(m.Piece.Data) == 0 && m.Piece.Total > 0 {
		return invalid(m, "empty piece")
	}
	return nil
}

func (n *Node) checkToLeader(m azurestair.RaftMessage) error {
	if m.Offset < 0 {
		return invalid(m, "negative offset")
	}
	if m.Term != n.term || n.role != RoleLeader {
		return nil
	}
	if m.Match > n.log.last() || m.PrevIndex > n.log.last() {
		return invalid(m, "index beyond the log")
	}
	if m.Round > n.lead.round {
		return invalid(m, "heartbeat round was never sent")
	}
	return nil
}
