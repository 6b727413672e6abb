package raft

import (
	"slices"

	"azurestair.example/azurestair"
)

// sendAppends sends what the followers lack, within their windows.
func (n *Node) sendAppends() {
	for _, p := range n.lead.peers {
		for n.sendAppend(p) {
			continue
		}
	}
}

// sendAppend sends one append; it reports whether another may follow.
func (n *Node) sendAppend(p *progress) bool {
	full := p.state == ProgressReplicate && p.window.full(n.opts.InflightMessages, n.opts.InflightBytes)
	if p.state == ProgressSnapshot || p.paused || (full && !p.check) {
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
	if !full {
		entries, size = n.log.batch(p.next, n.opts.MessageBytes)
	}
	news := len(entries) > 0 || p.sentCommit < n.log.commit || p.state == ProgressProbe
	if !news && !p.check {
		return false
	}
	n.send(azurestair.RaftMessage{
		Kind: azurestair.RaftAppend, To: p.id, PrevIndex: prev, PrevTerm: prevTerm,
		Commit: n.log.commit, Entries: entries,
	})
	p.check, p.sentRound, p.sentCommit = false, n.lead.round, n.log.commit
	if p.state == ProgressProbe {
		p.paused = true
		return false
	}
	if len(entries) == 0 {
		return false
	}
	p.next += azurestair.Index(len(entries))
	p.window.add(flight{last: p.next - 1, bytes: size})
	return true
}

func (n *Node) handleAppend(m azurestair.RaftMessage) {
	if n.output.restoring() {
		// Entries after a snapshot can be stored only after it; the leader repeats them.
		return
	}
	reply := azurestair.RaftMessage{Kind: azurestair.RaftAppendReply, To: m.From, PrevIndex: m.PrevIndex}
	switch {
	case m.PrevIndex < n.log.commit:
		reply.Match = n.log.commit
	case !n.log.matches(m.PrevIndex, m.PrevTerm):
		reply.Reject = true
		reply.Match, reply.HintTerm = n.log.hint(m.PrevIndex, m.PrevTerm)
	default:
		n.merge(m.Entries)
		reply.Match = m.PrevIndex + azurestair.Index(len(m.Entries))
		n.commitTo(min(m.Commit, reply.Match))
	}
	n.sendAfterStore(reply)
}

// merge appends entries that follow a matching one, and replaces conflicting
// ones. Entries that match are left alone even if more follow them, because a
// delayed append must not drop what a later one brought.
func (n *Node) merge(entries []azurestair.LogEntry) {
	entries = entries[n.log.firstNew(entries):]
	if len(entries) == 0 {
		return
	}
	if first := entries[0].Index; first <= n.log.last() {
		n.log.truncate(first)
		n.dropConfigs(first)
	}
	for _, e := range entries {
		n.log.append(e)
	}
	n.addConfigs(entries)
}

func (n *Node) handleAppendReply(p *progress, m azurestair.RaftMessage) {
	if m.Reject {
		hint := m.Match
		if m.HintTerm > 0 {
			hint, _ = n.log.hint(m.Match, m.HintTerm)
		}
		p.reject(m.PrevIndex, hint)
		return
	}
	n.acknowledge(p, m.Match)
}

// acknowledge takes over how far a follower's stored log matches.
func (n *Node) acknowledge(p *progress, match azurestair.Index) {
	p.accept(match)
	if p.state == ProgressProbe || (p.state == ProgressSnapshot && p.match >= p.snapshot.Meta.Index) {
		p.replicate()
	}
	n.advanceCommit()
	n.continueTransfer()
}

// advanceCommit commits what a majority of the voters has stored. Only an
// entry of the own term commits directly; an older one that a majority has
// stored may still be replaced by a later leader.
func (n *Node) advanceCommit() {
	voters := n.membership().Voters
	var buf [azurestair.MaxVoters]azurestair.Index
	match := buf[:0]
	for _, id := range voters {
		if id == n.opts.ID {
			match = append(match, n.log.stored)
			continue
		}
		if p := n.peer(id); p != nil {
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
