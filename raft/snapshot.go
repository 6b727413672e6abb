package raft

import (
	"fmt"

	"azurestair.example/azurestair"
)

// Snapshot is an encoded state machine with its position in the log. It is
// immutable.
type Snapshot struct {
	Meta azurestair.SnapshotMeta
	Data []byte
}

// snapshotBuffer collects the chunks of a snapshot. It is cleared when the term
// changes, because two leaders may encode the same state differently.
type snapshotBuffer struct {
	meta  azurestair.SnapshotMeta
	total azurestair.Bytes
	data  []byte
}

// Compact replaces the log up to index, which must be applied, with a snapshot
// of the state machine at that index. It keeps a tail of the replaced entries
// in memory for slow followers. The next Ready stores the snapshot. The node
// retains data, so the caller must not modify it.
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
	n.compactMemberships()
	n.output.snapshot, n.output.restore = s, false
	return meta, nil
}

func (n *Node) startSnapshot(p *progress) {
	if n.log.snapshot == nil {
		return
	}
	p.state, p.snapshot, p.inflight = ProgressSnapshot, n.log.snapshot, inflightWindow{}
	p.snapshotOffset, p.requestedOffset = 0, 0
	n.sendSnapshotChunk(p)
}

// sendSnapshotChunk sends the chunk at the current offset. The next chunk is
// sent only when this one is answered, which limits the bytes in flight.
func (n *Node) sendSnapshotChunk(p *progress) {
	total := azurestair.Bytes(len(p.snapshot.Data))
	end := min(p.snapshotOffset+azurestair.MaxChunkBytes, total)
	meta := p.snapshot.Meta
	n.send(azurestair.RaftMessage{
		Kind: azurestair.RaftSnapshot, To: p.id, Snapshot: &meta,
		Chunk: &azurestair.SnapshotChunk{Offset: p.snapshotOffset, Total: total, Data: p.snapshot.Data[p.snapshotOffset:end]},
	})
	p.lastSentRound = n.leaderState.heartbeatRound
}

// handleSnapshot buffers a chunk and replies with the next offset that it
// needs.
func (n *Node) handleSnapshot(m azurestair.RaftMessage) {
	meta, chunk := *m.Snapshot, m.Chunk
	if n.output.hasPendingRestore() || meta.Index <= n.log.commit {
		n.sendAfterStore(azurestair.RaftMessage{
			Kind: azurestair.RaftSnapshotReply, To: m.From, PrevIndex: meta.Index, Match: n.log.commit,
		})
		return
	}
	buf := &n.receivedSnapshot
	same := buf.meta.Index == meta.Index && buf.meta.Term == meta.Term && buf.total == chunk.Total
	if !same {
		n.receivedSnapshot = snapshotBuffer{meta: meta, total: chunk.Total}
	}
	if chunk.Offset == azurestair.Bytes(len(buf.data)) {
		buf.data = append(buf.data, chunk.Data...)
	}
	if azurestair.Bytes(len(buf.data)) == buf.total {
		n.installSnapshot(m.From)
		return
	}
	n.send(azurestair.RaftMessage{
		Kind: azurestair.RaftSnapshotReply, To: m.From, PrevIndex: meta.Index,
		Offset: azurestair.Bytes(len(buf.data)),
	})
}

// installSnapshot replaces the log with the complete snapshot, unless the log
// already holds the snapshot's last entry.
func (n *Node) installSnapshot(from azurestair.InstanceID) {
	s := &Snapshot{Meta: n.receivedSnapshot.meta, Data: n.receivedSnapshot.data}
	n.receivedSnapshot = snapshotBuffer{}
	if n.log.matchTerm(s.Meta.Index, s.Meta.Term) {
		n.commitTo(s.Meta.Index)
	} else {
		n.output.entriesBeforeSnapshot = append(n.output.entriesBeforeSnapshot, n.log.restore(s)...)
		n.output.snapshot, n.output.restore = s, true
		n.memberships = []membershipRecord{{index: s.Meta.Index, membership: s.Meta.Membership}}
	}
	n.sendAfterStore(azurestair.RaftMessage{
		Kind: azurestair.RaftSnapshotReply, To: from, PrevIndex: s.Meta.Index, Match: n.log.commit,
	})
}

func (n *Node) handleSnapshotReply(p *progress, m azurestair.RaftMessage) {
	if m.Match >= m.PrevIndex {
		n.advanceMatch(p, m.Match)
		return
	}
	if p.state != ProgressSnapshot || p.snapshot.Meta.Index != m.PrevIndex {
		return
	}
	if m.Offset >= azurestair.Bytes(len(p.snapshot.Data)) {
		return
	}
	p.requestedOffset = m.Offset
	if m.Offset <= p.snapshotOffset {
		// The reply is late, or the follower lost its chunks. The reply to the
		// next heartbeat resumes at the requested offset.
		return
	}
	p.snapshotOffset = m.Offset
	n.sendSnapshotChunk(p)
}
