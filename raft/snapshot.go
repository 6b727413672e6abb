package raft

import (
	"fmt"

	"azurestair.example/azurestair"
)

// Snapshot is an encoded state machine with its place in the log. It is immutable.
type Snapshot struct {
	Meta azurestair.SnapshotMeta
	Data []byte
}

// incoming is a snapshot that arrives in pieces. A new term drops it, because
// two leaders may encode the same state differently.
type incoming struct {
	meta  azurestair.SnapshotMeta
	total azurestair.Bytes
	data  []byte
}

// Compact replaces the log up to index, which must be applied, by the encoded
// state machine at that index, and keeps a tail of entries in memory for slow
// followers. The next Ready stores the snapshot. The node keeps data.
func (n *Node) Compact(index azurestair.Index, data []byte) (azurestair.SnapshotMeta, error) {
	var last azurestair.Index
	if n.log.snapshot != nil {
		last = n.log.snapshot.Meta.Index
	}
	if index <= last || index > n.log.applied {
		return azurestair.SnapshotMeta{}, fmt.Errorf("%w: snapshot at %d; allowed after %d up to %d",
			azurestair.ErrInvalid, index, last, n.log.applied)
	}
	term, _ := n.log.term(index)
	meta := azurestair.SnapshotMeta{Index: index, Term: term, Membership: cloneMembership(n.membershipAt(index))}
	s := &Snapshot{Meta: meta, Data: data}
	n.log.compact(s, n.opts.KeepEntries, n.opts.KeepBytes)
	n.trimConfigs()
	n.output.snapshot, n.output.restore = s, false
	return meta, nil
}

func (n *Node) startSnapshot(p *progress) {
	if n.log.snapshot == nil {
		return
	}
	p.state, p.snapshot, p.window = ProgressSnapshot, n.log.snapshot, window{}
	p.offset, p.wanted = 0, 0
	n.sendPiece(p)
}

// sendPiece sends one piece. The next one leaves when this one is answered,
// which bounds the bytes in flight.
func (n *Node) sendPiece(p *progress) {
	total := azurestair.Bytes(len(p.snapshot.Data))
	end := min(p.offset+azurestair.MaxPieceBytes, total)
	meta := p.snapshot.Meta
	n.send(azurestair.RaftMessage{
		Kind: azurestair.RaftSnapshot, To: p.id, Snapshot: &meta,
		Piece: &azurestair.SnapshotPiece{Offset: p.offset, Total: total, Data: p.snapshot.Data[p.offset:end]},
	})
	p.sentRound = n.lead.round
}

// handleSnapshot collects a piece and answers which byte it needs next.
func (n *Node) handleSnapshot(m azurestair.RaftMessage) {
	meta, piece := *m.Snapshot, m.Piece
	if n.output.restoring() || meta.Index <= n.log.commit {
		n.sendAfterStore(azurestair.RaftMessage{
			Kind: azurestair.RaftSnapshotReply, To: m.From, PrevIndex: meta.Index, Match: n.log.commit,
		})
		return
	}
	in := &n.incoming
	same := in.meta.Index == meta.Index && in.meta.Term == meta.Term && in.total == piece.Total
	if !same {
		n.incoming = incoming{meta: meta, total: piece.Total}
	}
	if piece.Offset == azurestair.Bytes(len(in.data)) {
		in.data = append(in.data, piece.Data...)
	}
	if azurestair.Bytes(len(in.data)) == in.total {
		n.install(m.From)
		return
	}
	n.send(azurestair.RaftMessage{
		Kind: azurestair.RaftSnapshotReply, To: m.From, PrevIndex: meta.Index,
		Offset: azurestair.Bytes(len(in.data)),
	})
}

// install takes over a complete snapshot, unless the log reaches its index anyway.
func (n *Node) install(from azurestair.InstanceID) {
	s := &Snapshot{Meta: n.incoming.meta, Data: n.incoming.data}
	n.incoming = incoming{}
	if n.log.matches(s.Meta.Index, s.Meta.Term) {
		n.commitTo(s.Meta.Index)
	} else {
		n.output.before = append(n.output.before, n.log.restore(s)...)
		n.output.snapshot, n.output.restore = s, true
		n.configs = []config{{index: s.Meta.Index, membership: s.Meta.Membership}}
	}
	n.sendAfterStore(azurestair.RaftMessage{
		Kind: azurestair.RaftSnapshotReply, To: from, PrevIndex: s.Meta.Index, Match: n.log.commit,
	})
}

func (n *Node) handleSnapshotReply(p *progress, m azurestair.RaftMessage) {
	if m.Match >= m.PrevIndex {
		n.acknowledge(p, m.Match)
		return
	}
	if p.state != ProgressSnapshot || p.snapshot.Meta.Index != m.PrevIndex {
		return
	}
	if m.Offset >= azurestair.Bytes(len(p.snapshot.Data)) {
		return
	}
	p.wanted = m.Offset
	if m.Offset <= p.offset {
		// A late answer, or a follower that lost its pieces: the next
		// heartbeat's answer repeats from there.
		return
	}
	p.offset = m.Offset
	n.sendPiece(p)
}
