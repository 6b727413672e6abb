package raft

import (
	"fmt"

	"azurestair.example/azurestair"
)

// entryOverhead is added to the data size of each entry when log memory is
// accounted for.
const entryOverhead azurestair.Bytes = 64

func entrySize(e azurestair.LogEntry) azurestair.Bytes {
	return azurestair.Bytes(len(e.Data)) + entryOverhead
}

// entryLog is the in-memory log. Entries are never modified in place, because
// messages and Readys share them.
//
// Invariants:
//
//	base <= snapshot index <= applied <= commit <= last
//	stored <= handedOff <= last
type entryLog struct {
	base     azurestair.Index // index of the entry before entries[0]
	baseTerm azurestair.Term
	entries  []azurestair.LogEntry
	bytes    azurestair.Bytes
	snapshot *Snapshot // nil before the first one
	commit   azurestair.Index
	applied  azurestair.Index
	// handedOff is the index up to which entries have been put into a Ready. An
	// entry that replaces an earlier one counts only once it is in a Ready
	// itself.
	handedOff azurestair.Index
	// stored is the index up to which the log is durable. An entry that
	// replaces an earlier one counts only once it is durable itself.
	stored azurestair.Index
}

func newLog(state azurestair.LogState) (*entryLog, error) {
	l := &entryLog{base: state.Snapshot.Index, baseTerm: state.Snapshot.Term}
	if l.base > 0 {
		l.snapshot = &Snapshot{Meta: state.Snapshot, Data: state.SnapshotData}
	}
	term := l.baseTerm
	for _, e := range state.Entries {
		if e.Index <= l.base {
			continue
		}
		if e.Index != l.last()+1 || e.Term < term || e.Term > state.HardState.Term {
			return nil, fmt.Errorf("%w: stored log entry %d of term %d does not follow entry %d of term %d",
				azurestair.ErrCorrupt, e.Index, e.Term, l.last(), term)
		}
		term = e.Term
		l.append(e)
	}
	l.commit = max(state.HardState.Commit, l.base)
	if l.commit > l.last() || l.baseTerm > state.HardState.Term {
		return nil, fmt.Errorf("%w: stored log ends at %d, before its commit index %d, or its snapshot has a later term",
			azurestair.ErrCorrupt, l.last(), l.commit)
	}
	l.applied, l.handedOff, l.stored = l.base, l.last(), l.last()
	return l, nil
}

func (l *entryLog) last() azurestair.Index { return l.base + azurestair.Index(len(l.entries)) }

func (l *entryLog) lastTerm() azurestair.Term {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at i; ok is false if the log does not
// cover that index.
func (l *entryLog) term(i azurestair.Index) (t azurestair.Term, ok bool) {
	if i < l.base || i > l.last() {
		return 0, false
	}
	if i == l.base {
		return l.baseTerm, true
	}
	return l.entries[i-l.base-1].Term, true
}

func (l *entryLog) matchTerm(i azurestair.Index, t azurestair.Term) bool {
	own, ok := l.term(i)
	return ok && own == t
}

// isUpToDate reports whether a log whose last entry has index i and term t is
// at least as up to date as l (Raft, section 5.4.1).
func (l *entryLog) isUpToDate(i azurestair.Index, t azurestair.Term) bool {
	own := l.lastTerm()
	return t > own || (t == own && i >= l.last())
}

// slice returns the entries with indexes in (from, to]. The result has no spare
// capacity, so that appending to it never writes to the log.
func (l *entryLog) slice(from, to azurestair.Index) []azurestair.LogEntry {
	if from < l.base || to <= from {
		return nil
	}
	return l.entries[from-l.base : to-l.base : to-l.base]
}

// batch returns the entries from index i on and their size. It stops at the
// size limit and at MaxEntriesPerMessage, but returns at least one entry if
// there is any.
func (l *entryLog) batch(i azurestair.Index, limit azurestair.Bytes) ([]azurestair.LogEntry, azurestair.Bytes) {
	if i > l.last() {
		return nil, 0
	}
	all := l.slice(i-1, l.last())
	size, n := azurestair.Bytes(0), 0
	for n < len(all) && n < azurestair.MaxEntriesPerMessage {
		next := entrySize(all[n])
		if n > 0 && size+next > limit {
			break
		}
		size += next
		n++
	}
	return all[:n:n], size
}

func (l *entryLog) append(e azurestair.LogEntry) {
	l.entries = append(l.entries, e)
	l.bytes += entrySize(e)
}

// truncate removes the entries from index i on. It also limits the capacity of
// the slice, so that the next append copies it and leaves the entries in shared
// slices unchanged.
func (l *entryLog) truncate(i azurestair.Index) {
	keep := i - l.base - 1
	for _, e := range l.entries[keep:] {
		l.bytes -= entrySize(e)
	}
	l.entries = l.entries[:keep:keep]
	l.handedOff = min(l.handedOff, i-1)
	l.stored = min(l.stored, i-1)
}

// firstMissing returns the position of the first of the entries that the log
// does not hold with the same term, or len(entries) if it holds all of them.
func (l *entryLog) firstMissing(entries []azurestair.LogEntry) int {
	for i, e := range entries {
		if !l.matchTerm(e.Index, e.Term) {
			return i
		}
	}
	return len(entries)
}

// findConflictByTerm returns the last entry at or before i whose term is at
// most t. Entries after it cannot match the log of a replica whose entry at i
// has term t.
func (l *entryLog) findConflictByTerm(i azurestair.Index, t azurestair.Term) (azurestair.Index, azurestair.Term) {
	for i = min(i, l.last()); i > l.base; i-- {
		if own, _ := l.term(i); own <= t {
			return i, own
		}
	}
	if i < l.base {
		return i, 0
	}
	return i, l.baseTerm
}

// compact installs a snapshot that was taken locally. It keeps a tail of the
// entries that the snapshot covers, within both limits, for slow followers.
func (l *entryLog) compact(s *Snapshot, keepEntries int, keepBytes azurestair.Bytes) {
	l.snapshot = s
	base, kept := s.Meta.Index, azurestair.Bytes(0)
	for base > l.base && s.Meta.Index-base < azurestair.Index(keepEntries) {
		kept += entrySize(l.entries[base-l.base-1])
		if kept > keepBytes {
			break
		}
		base--
	}
	term, _ := l.term(base)
	// Copying the tail releases the memory of the dropped entries.
	l.entries = append([]azurestair.LogEntry(nil), l.entries[base-l.base:]...)
	l.base, l.baseTerm, l.bytes = base, term, 0
	for _, e := range l.entries {
		l.bytes += entrySize(e)
	}
}

// restore replaces the whole log with a snapshot from the leader. It returns
// the entries that must be stored before the snapshot. They truncate the stored
// log at the snapshot's index or before it. Without them SaveSnapshot would
// keep stored entries after that index, although they follow a conflicting
// entry.
func (l *entryLog) restore(s *Snapshot) []azurestair.LogEntry {
	i := s.Meta.Index
	first := min(l.handedOff+1, i)
	before := l.slice(first-1, min(l.last(), i))
	*l = entryLog{
		base: i, baseTerm: s.Meta.Term, snapshot: s,
		commit: i, applied: i, handedOff: i, stored: 0,
	}
	return before
}
