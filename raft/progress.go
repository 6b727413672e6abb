package raft

import (
	"time"

	"azurestair.example/azurestair"
)

// ProgressState is the mode in which a leader replicates to a follower.
type ProgressState uint8

const (
	// ProgressProbe sends one append at a time until the logs are known to
	// match.
	ProgressProbe ProgressState = iota
	// ProgressReplicate pipelines appends.
	ProgressReplicate
	// ProgressSnapshot sends a snapshot in chunks.
	ProgressSnapshot
)

// String returns the name of the state.
func (s ProgressState) String() string {
	switch s {
	case ProgressProbe:
		return "probe"
	case ProgressReplicate:
		return "replicate"
	default:
		return "snapshot"
	}
}

// progress tracks the replication to one follower.
type progress struct {
	id      azurestair.InstanceID
	learner bool
	state   ProgressState
	match   azurestair.Index
	next    azurestair.Index
	// sentCommit is the highest commit index sent to the follower.
	sentCommit azurestair.Index
	// paused is true while a probe is unanswered. It is reset by the reply to
	// the probe or to a heartbeat that was sent after the probe. In the latter
	// case the probe or its reply may have been lost.
	paused bool
	// forceAppend requests an append even if there is nothing new to send.
	forceAppend bool
	// lastSentRound is the heartbeat round at which the last append or snapshot
	// chunk was sent.
	lastSentRound uint64
	// ackedAt is the send time of the latest heartbeat round that was answered.
	ackedAt  time.Time
	inflight inflightWindow

	// snapshot is the snapshot being sent. A compaction by the leader does not
	// replace it, so that a transfer can complete.
	snapshot       *Snapshot
	snapshotOffset azurestair.Bytes
	// requestedOffset is the offset that the follower requested last.
	requestedOffset azurestair.Bytes
}

// inflightAppend is one unacknowledged append.
type inflightAppend struct {
	lastIndex azurestair.Index
	bytes     azurestair.Bytes
}

// inflightWindow holds the unacknowledged appends to a follower.
type inflightWindow struct {
	appends []inflightAppend
	bytes   azurestair.Bytes
}

func (w *inflightWindow) add(f inflightAppend) {
	w.appends = append(w.appends, f)
	w.bytes += f.bytes
}

// freeTo removes the appends up to an acknowledged index.
func (w *inflightWindow) freeTo(match azurestair.Index) {
	n := 0
	for n < len(w.appends) && w.appends[n].lastIndex <= match {
		w.bytes -= w.appends[n].bytes
		n++
	}
	w.appends = w.appends[n:]
	if len(w.appends) == 0 {
		w.appends = nil
	}
}

func (w *inflightWindow) full(messages int, bytes azurestair.Bytes) bool {
	return len(w.appends) >= messages || w.bytes >= bytes
}

func (p *progress) becomeProbe(next azurestair.Index) {
	p.state, p.next, p.paused, p.forceAppend = ProgressProbe, next, false, false
	p.inflight, p.snapshot = inflightWindow{}, nil
}

func (p *progress) becomeReplicate() {
	p.state, p.next, p.paused, p.forceAppend = ProgressReplicate, p.match+1, false, false
	p.inflight, p.snapshot = inflightWindow{}, nil
}

// updateMatch handles an acknowledged index.
func (p *progress) updateMatch(match azurestair.Index) {
	p.paused = false
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	p.inflight.freeTo(p.match)
}

// decreaseNext moves next back after a rejected append. It reports false if it
// ignores the rejection because it is stale. A rejection of an index that the
// follower has acknowledged is ignored too: it means that the follower has lost
// its log, and an immediate retry would be rejected again, in a loop at the
// speed of the network. Such a follower is retried only once per heartbeat.
func (p *progress) decreaseNext(rejected, hint azurestair.Index) bool {
	switch {
	case rejected <= p.match:
		return false
	case p.state == ProgressReplicate:
		p.becomeProbe(p.match + 1)
		return true
	case p.state == ProgressProbe && p.next == rejected+1:
		p.next = max(min(rejected, hint+1), p.match+1)
		p.paused = false
		return true
	default:
		return false
	}
}
