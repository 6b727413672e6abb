package raft

import (
	"time"

	"azurestair.example/azurestair"
)

// ProgressState says how a leader sends entries to a follower.
type ProgressState uint8

const (
	// ProgressProbe sends one append at a time to find where the logs match.
	ProgressProbe ProgressState = iota
	// ProgressReplicate pipelines appends.
	ProgressReplicate
	// ProgressSnapshot sends a snapshot in pieces.
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

// progress is a leader's view of one follower.
type progress struct {
	id      azurestair.InstanceID
	learner bool
	state   ProgressState
	match   azurestair.Index
	next    azurestair.Index
	// sentCommit is the highest commit index sent to the follower.
	sentCommit azurestair.Index
	// paused stops a probe until an answer, or the answer to a heartbeat that
	// was sent after it, shows that the probe or its answer was lost.
	paused bool
	// check asks for an append even if there is nothing new to send.
	check bool
	// sentRound is the heartbeat round of the last append or piece.
	sentRound uint64
	// ackedAt is when the newest answered heartbeat round was sent.
	ackedAt time.Time
	window  window

	// snapshot is the one in transfer. It stays the same when the leader
	// compacts meanwhile, so that a transfer always ends.
	snapshot *Snapshot
	offset   azurestair.Bytes
	// wanted is the offset that the follower asked for last.
	wanted azurestair.Bytes
}

// flight is one unanswered append.
type flight struct {
	last  azurestair.Index
	bytes azurestair.Bytes
}

// window holds the unanswered appends to a follower.
type window struct {
	flights []flight
	bytes   azurestair.Bytes
}

func (w *window) add(f flight) {
	w.flights = append(w.flights, f)
	w.bytes += f.bytes
}

// free removes the appends up to the acknowledged index.
func (w *window) free(match azurestair.Index) {
	n := 0
	for n < len(w.flights) && w.flights[n].last <= match {
		w.bytes -= w.flights[n].bytes
		n++
	}
	w.flights = w.flights[n:]
	if len(w.flights) == 0 {
		w.flights = nil
	}
}

func (w *window) full(messages int, bytes azurestair.Bytes) bool {
	return len(w.flights) >= messages || w.bytes >= bytes
}

func (p *progress) probe(next azurestair.Index) {
	p.state, p.next, p.paused, p.check = ProgressProbe, next, false, false
	p.window, p.snapshot = window{}, nil
}

func (p *progress) replicate() {
	p.state, p.next, p.paused, p.check = ProgressReplicate, p.match+1, false, false
	p.window, p.snapshot = window{}, nil
}

// accept takes over an acknowledged index.
func (p *progress) accept(match azurestair.Index) {
	p.paused = false
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	p.window.free(p.match)
}

// reject moves next back after a rejected append; it reports false for an
// answer that is out of date. A follower that rejects what it once
// acknowledged has lost its log: it is asked again only with each heartbeat,
// because an immediate retry would repeat at the speed of the network.
func (p *progress) reject(rejected, hint azurestair.Index) bool {
	switch {
	case rejected <= p.match:
		return false
	case p.state == ProgressReplicate:
		p.probe(p.match + 1)
		return true
	case p.state == ProgressProbe && p.next == rejected+1:
		p.next = max(min(rejected, hint+1), p.match+1)
		p.paused = false
		return true
	default:
		return false
	}
}
