package raft

import (
	"slices"

	"azurestair.example/azurestair"
)

// sendAppends sends every follower the entries that it lacks, as far as its
// in-flight window allows.
func (n *Node) sendAppends() {
	for _, p := range n.leaderState.followers {
		for n.sendAppend(p) {
			continue
		}
	}
}

// sendAppend sends at most one append and reports whether another may be sent
// right after it.
func (n *Node) sendAppend(p *progress) bool {
	windowFull := p.state == ProgressReplicate && p.inflight.full(n.opts.InflightMessages, n.opts.InflightBytes)
	if p.state == ProgressSnapshot || p.paused || (windowFull && !p.forceAppend) {
		return false
	}
	prev := p.next - 1
	prevTerm, ok := n.log.term(prev)
	if !ok {
		n.startSnapshot(p)
		return false
	}
	var entries []azurestair.LogEntry
	var size azurestair.Bytes
	if !windowFull {
		entries, size = n.log.batch(p.next, n.opts.MessageBytes)
	}
	hasUpdate := len(entries) > 0 || p.sentCommit < n.log.commit || p.state == ProgressProbe
	if !hasUpdate && !p.forceAppend {
		return false
	}
	n.send(azurestair.RaftMessage{
		Kind: azurestair.RaftAppend, To: p.id, PrevIndex: prev, PrevTerm: prevTerm,
		Commit: n.log.commit, Entries: entries,
	})
	p.forceAppend, p.lastSentRound, p.sentCommit = false, n.leaderState.heartbeatRound, n.log.commit
	if p.state == ProgressProbe {
		p.paused = true
		return false
	}
	if len(entries) == 0 {
		return false
	}
	p.next += azurestair.Index(len(entries))
	p.inflight.add(inflightAppend{lastIndex: p.next - 1, bytes: size})
	return true
}

func (n *Node) handleAppend(m azurestair.RaftMessage) {
	if n.output.hasPendingRestore() {
		// Entries after a snapshot can be stored only after the snapshot. The
		// append is dropped and the leader retries it.
		return
	}
	reply := azurestair.RaftMessage{Kind: azurestair.RaftAppendReply, To: m.From, PrevIndex: m.PrevIndex}
	switch {
	case m.PrevIndex < n.log.commit:
		reply.Match = n.log.commit
	case !n.log.matchTerm(m.PrevIndex, m.PrevTerm):
		reply.Reject = true
		reply.Match, reply.HintTerm = n.log.findConflictByTerm(m.PrevIndex, m.PrevTerm)
	default:
		n.mergeEntries(m.Entries)
		reply.Match = m.PrevIndex + azurestair.Index(len(m.Entries))
		n.commitTo(min(m.Commit, reply.Match))
	}
	n.sendAfterStore(reply)
}

// mergeEntries adds the entries of an append whose previous entry matched. It
// truncates the log only at a conflicting entry: a delayed append that covers
// fewer entries than the log holds must not remove those of a later append.
func (n *Node) mergeEntries(entries []azurestair.LogEntry) {
	entries = entries[n.log.firstMissing(entries):]
	if len(entries) == 0 {
		return
	}
	if first := entries[0].Index; first <= n.log.last() {
		n.log.truncate(first)
		n.truncateMemberships(first)
	}
	for _, e := range entries {
		n.log.append(e)
	}
	n.addMemberships(entries)
}

func (n *Node) handleAppendReply(p *progress, m azurestair.RaftMessage) {
	if m.Reject {
		hint := m.Match
		if m.HintTerm > 0 {
			hint, _ = n.log.findConflictByTerm(m.Match, m.HintTerm)
		}
		p.decreaseNext(m.PrevIndex, hint)
		return
	}
	n.advanceMatch(p, m.Match)
}

// advanceMatch handles a follower's report that its stored log matches up to
// the given index.
func (n *Node) advanceMatch(p *progress, match azurestair.Index) {
	p.updateMatch(match)
	if p.state == ProgressProbe || (p.state == ProgressSnapshot && p.match >= p.snapshot.Meta.Index) {
		p.becomeReplicate()
	}
	n.advanceCommit()
	n.maybeSendTimeoutNow()
}

// advanceCommit commits the entries that a majority of the voters has stored.
// Only an entry of the leader's own term is committed by counting replicas,
// because a later leader may still replace an older entry that a majority has
// stored (Raft, section 5.4.2).
func (n *Node) advanceCommit() {
	voters := n.membership().Voters
	var buf [azurestair.MaxVoters]azurestair.Index
	match := buf[:0]
	for _, id := range voters {
		if id == n.opts.ID {
			match = append(match, n.log.stored)
			continue
		}
		if p := n.followerProgress(id); p != nil {
			match = append(match, p.match)
		}
	}
	slices.Sort(match)
	i := match[(len(voters)-1)/2]
	if t, ok := n.log.term(i); !ok || t != n.term || i <= n.log.commit {
		return
	}
	n.commitTo(i)
}
