package raft

import (
	"azurestair.example/azurestair"
)

// Ready lists the work that the caller has to do. The caller sends Messages at
// once, restores the state machine from Snapshot if Restore is set, and then
// applies Committed.
//
// If Seq is set, the caller also passes the Ready to its writer. The writer
// calls LogStore.Append if HardState is set, then LogStore.SaveSnapshot if
// Snapshot is set, and then sends AfterStore. After that the caller passes Seq
// to Stored. Readys are stored in the order of Seq.
type Ready struct {
	Seq       uint64
	HardState *azurestair.HardState
	Entries   []azurestair.LogEntry
	Snapshot  *Snapshot
	// Restore is true for a snapshot received from the leader and false for one
	// that the caller passed to Compact.
	Restore bool
	// Messages can be sent at once.
	Messages []azurestair.RaftMessage
	// AfterStore must not be sent before this Ready and all earlier ones are
	// durable.
	AfterStore []azurestair.RaftMessage
	// Committed holds the newly committed entries of all kinds. The caller
	// skips those that are not commands.
	Committed []azurestair.LogEntry
}

// pendingOutput is the state to put into the next Ready and the Readys that
// Stored has not reported yet.
type pendingOutput struct {
	seq uint64
	// hardState is the hard state of the last Ready that had one.
	hardState azurestair.HardState
	// entriesBeforeSnapshot holds the entries to store before the snapshot; see
	// entryLog.restore.
	entriesBeforeSnapshot []azurestair.LogEntry
	snapshot              *Snapshot
	restore               bool
	unstored              []unstoredReady
}

// unstoredReady is a Ready that Stored has not reported yet. It records the
// hard state and the last entry that are durable once it is stored.
type unstoredReady struct {
	seq       uint64
	hardState azurestair.HardState
	index     azurestair.Index
	term      azurestair.Term
}

// hasPendingRestore reports whether a snapshot from the leader waits for the
// next Ready.
func (o *pendingOutput) hasPendingRestore() bool { return o.snapshot != nil && o.restore }

// Ready returns the work that has accumulated since the last call. ok is false
// if there is none. The caller calls it after each other call, or batch of
// calls, until ok is false.
func (n *Node) Ready() (rd Ready, ok bool) {
	n.sendAppends()
	n.fillDurable(&rd)
	rd.Committed = n.log.slice(n.log.applied, n.log.commit)
	n.log.applied = n.log.commit
	rd.Messages, rd.AfterStore = n.messages, n.afterStore
	n.messages, n.afterStore = nil, nil
	mustStore := rd.HardState != nil || rd.Snapshot != nil
	mustWait := len(n.output.unstored) > 0 && len(rd.AfterStore) > 0
	if mustStore || mustWait {
		n.output.seq++
		rd.Seq = n.output.seq
		term, _ := n.log.term(n.log.handedOff)
		n.output.unstored = append(n.output.unstored, unstoredReady{
			seq: rd.Seq, hardState: n.output.hardState, index: n.log.handedOff, term: term,
		})
	} else {
		rd.Messages = append(rd.Messages, rd.AfterStore...)
		rd.AfterStore = nil
	}
	return rd, rd.Seq > 0 || len(rd.Messages) > 0 || len(rd.Committed) > 0
}

// NeedsStore reports whether the next Ready must be stored.
func (n *Node) NeedsStore() bool {
	o := &n.output
	return o.snapshot != nil || n.log.handedOff < n.log.last() || n.term != o.hardState.Term || n.vote != o.hardState.Vote ||
		(len(o.unstored) > 0 && len(n.afterStore) > 0)
}

// fillDurable sets the fields of rd that must be stored.
func (n *Node) fillDurable(rd *Ready) {
	o := &n.output
	rd.Snapshot, rd.Restore = o.snapshot, o.restore
	hard := azurestair.HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	if o.hasPendingRestore() {
		// The stored log ends before the new commit index until the snapshot is
		// saved.
		rd.Entries, hard.Commit = o.entriesBeforeSnapshot, o.hardState.Commit
	} else {
		rd.Entries = n.log.slice(n.log.handedOff, n.log.last())
		n.log.handedOff = n.log.last()
	}
	o.entriesBeforeSnapshot, o.snapshot, o.restore = nil, nil, false
	// A new commit index alone does not justify a sync, because a restarted
	// replica learns it from the leader.
	if len(rd.Entries) > 0 || hard.Term != o.hardState.Term || hard.Vote != o.hardState.Vote {
		o.hardState = hard
		rd.HardState = &hard
	}
}

// Stored reports that the Ready with this Seq and all earlier ones are durable.
func (n *Node) Stored(seq uint64) {
	o := &n.output
	for len(o.unstored) > 0 && o.unstored[0].seq <= seq {
		done := o.unstored[0]
		o.unstored = o.unstored[1:]
		// If the term differs, the entries were replaced after this Ready, and
		// a later Ready stores their replacements.
		if n.log.matchTerm(done.index, done.term) {
			n.log.stored = max(n.log.stored, done.index)
		}
		n.countStoredVote(done.hardState)
	}
	if len(o.unstored) == 0 {
		o.unstored = nil
	}
	n.updateJoining()
	if n.role == RoleLeader {
		n.advanceCommit()
		n.maybeSendTimeoutNow()
	}
}
