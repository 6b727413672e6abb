package raft

import (
	"azurestair.example/azurestair"
)

// Ready is what the owner has to do. It sends Messages at once. It has its
// writer call LogStore.Append if Hard is set, then LogStore.SaveSnapshot if
// Snapshot is set, then send AfterStore, and calls Stored with Seq. Readys are
// stored in the order of their Seq; one without Seq needs none of that. It
// loads Snapshot into the state machine if Restore is set, and then applies Committed.
type Ready struct {
	Seq      uint64
	Hard     *azurestair.HardState
	Entries  []azurestair.LogEntry
	Snapshot *Snapshot
	// Restore is true for a snapshot of another replica, false for one that
	// the owner itself gave to Compact.
	Restore bool
	// Messages may be sent before anything is stored.
	Messages []azurestair.RaftMessage
	// AfterStore must not be sent before this and all earlier Readys are stored.
	AfterStore []azurestair.RaftMessage
	// Committed holds entries of all kinds; the owner skips those that are not commands.
	Committed []azurestair.LogEntry
}

// output is what waits for the next Ready or for Stored.
type output struct {
	seq uint64
	// hard is the hard state in the last Ready that held one.
	hard azurestair.HardState
	// before holds entries to store before a restored snapshot.
	before      []azurestair.LogEntry
	snapshot    *Snapshot
	restore     bool
	outstanding []outstanding
}

// outstanding is a Ready that was not reported as stored yet.
type outstanding struct {
	seq   uint64
	hard  azurestair.HardState
	index azurestair.Index
	term  azurestair.Term
}

// restoring reports whether a received snapshot waits for the next Ready.
func (o *output) restoring() bool { return o.snapshot != nil && o.restore }

// Ready returns what there is to do since the last call; ok is false if
// nothing. The owner calls it after each call or batch of calls, until it
// returns false.
func (n *Node) Ready() (rd Ready, ok bool) {
	n.sendAppends()
	n.fillStore(&rd)
	rd.Committed = n.log.between(n.log.applied, n.log.commit)
	n.log.applied = n.log.commit
	rd.Messages, rd.AfterStore = n.messages, n.afterStore
	n.messages, n.afterStore = nil, nil
	stores := rd.Hard != nil || rd.Snapshot != nil
	waits := len(n.output.outstanding) > 0 && len(rd.AfterStore) > 0
	if stores || waits {
		n.output.seq++
		rd.Seq = n.output.seq
		term, _ := n.log.term(n.log.emitted)
		n.output.outstanding = append(n.output.outstanding, outstanding{
			seq: rd.Seq, hard: n.output.hard, index: n.log.emitted, term: term,
		})
	} else {
		rd.Messages = append(rd.Messages, rd.AfterStore...)
		rd.AfterStore = nil
	}
	return rd, rd.Seq > 0 || len(rd.Messages) > 0 || len(rd.Committed) > 0
}

// fillStore sets what must be stored.
func (n *Node) fillStore(rd *Ready) {
	o := &n.output
	rd.Snapshot, rd.Restore = o.snapshot, o.restore
	hard := azurestair.HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	if o.restoring() {
		// The stored log does not reach the new commit index before the snapshot is saved.
		rd.Entries, hard.Commit = o.before, o.hard.Commit
	} else {
		rd.Entries = n.log.between(n.log.emitted, n.log.last())
		n.log.emitted = n.log.last()
	}
	o.before, o.snapshot, o.restore = nil, nil, false
	// A new commit index alone is not worth a sync: a restarted replica learns it again.
	if len(rd.Entries) > 0 || hard.Term != o.hard.Term || hard.Vote != o.hard.Vote {
		o.hard = hard
		rd.Hard = &hard
	}
}

// Stored reports that the Ready with this Seq and all earlier ones are durable.
func (n *Node) Stored(seq uint64) {
	o := &n.output
	for len(o.outstanding) > 0 && o.outstanding[0].seq <= seq {
		done := o.outstanding[0]
		o.outstanding = o.outstanding[1:]
		// Entries that were replaced meanwhile are stored by a later Ready.
		if n.log.matches(done.index, done.term) {
			n.log.stored = max(n.log.stored, done.index)
		}
		n.countOwnVote(done.hard)
	}
	if len(o.outstanding) == 0 {
		o.outstanding = nil
	}
	n.updateJoining()
	if n.role == RoleLeader {
		n.advanceCommit()
		n.continueTransfer()
	}
}
