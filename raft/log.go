package raft

import (
	"fmt"

	"azurestair.example/azurestair"
)

// entryOverhead is counted for each entry in addition to its data.
const entryOverhead azurestair.Bytes = 64

func entryBytes(e azurestair.LogEntry) azurestair.Bytes {
	return azurestair.Bytes(len(e.Data)) + entryOverhead
}

// entryLog is the log in memory. Entries are never changed in place, because
// messages and Readys share them.
//
// Invariants: base <= snapshot index <= applied <= commit <= last; stored <= emitted <= last.
type entryLog struct {
	base     azurestair.Index // index of the entry before entries[0]
	baseTerm azurestair.Term
	entries  []azurestair.LogEntry
	bytes    azurestair.Bytes
	snapshot *Snapshot // nil before the first one
	commit   azurestair.Index
	applied  azurestair.Index
	// emitted is the last entry that a Ready holds in its present form.
	emitted azurestair.Index
	// stored is the last entry that is durable in its present form.
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
		if e.Index != l.last()+1 || e.Term < term || e.Term > state.Hard.Term {
			return nil, fmt.Errorf("%w: stored log entry %d of term %d does not follow entry %d of term %d",
				azurestair.ErrCorrupt, e.Index, e.Term, l.last(), term)
		}
		term = e.Term
		l.append(e)
	}
	l.commit = max(state.Hard.Commit, l.base)
	if l.commit > l.last() || l.baseTerm > state.Hard.Term {
		return nil, fmt.Errorf("%w: stored log ends at %d, before its commit index %d, or lies beyond its term",
			azurestair.ErrCorrupt, l.last(), l.commit)
	}
	l.applied, l.emitted, l.stored = l.base, l.last(), l.last()
	return l, nil
}

func (l *entryLog) last() azurestair.Index { return l.base + azurestair.Index(len(l.entries)) }

func (l *entryLog) lastTerm() azurestair.Term {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of an entry; ok is false when the log does not reach it.
func (l *entryLog) term(i azurestair.Index) (t azurestair.Term, ok bool) {
	if i < l.base || i > l.last() {
		return 0, false
	}
	if i == l.base {
		return l.baseTerm, true
	}
	return l.entries[i-l.base-1].Term, true
}

func (l *entryLog) matches(i azurestair.Index, t azurestair.Term) bool {
	own, ok := l.term(i)
	return ok && own == t
}

// upToDate reports whether a log that ends at i with term t holds at least what l holds.
func (l *entryLog) upToDate(i azurestair.Index, t azurestair.Term) bool {
	own := l.lastTerm()
	return t > own || (t == own && i >= l.last())
}

// between returns the entries after from up to and including to. The result
// has no spare capacity, so that appending to it never writes to the log.
func (l *entryLog) between(from, to azurestair.Index) []azurestair.LogEntry {
	if from < l.base || to <= from {
		return nil
	}
	return l.entries[from-l.base : to-l.base : to-l.base]
}

// batch returns entries from index i on, within the limits but at least one.
func (l *entryLog) batch(i azurestair.Index, limit azurestair.Bytes) ([]azurestair.LogEntry, azurestair.Bytes) {
	if i > l.last() {
		return nil, 0
	}
	all := l.between(i-1, l.last())
	size, n := azurestair.Bytes(0), 0
	for n < len(all) && n < azurestair.MaxEntriesPerMessage {
		next := entryBytes(all[n])
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
	l.bytes += entryBytes(e)
}

// truncate drops the entries from index i on. Cutting the capacity makes the
// next append copy, which keeps entries in shared slices unchanged.
func (l *entryLog) truncate(i azurestair.Index) {
	keep := i - l.base - 1
	for _, e := range l.entries[keep:] {
		l.bytes -= entryBytes(e)
	}
	l.entries = l.entries[:keep:keep]
	l.emitted = min(l.emitted, i-1)
	l.stored = min(l.stored, i-1)
}

// firstNew returns the position of the first of the entries that the log does not hold.
func (l *entryLog) firstNew(entries []azurestair.LogEntry) int {
	for i, e := range entries {
		if !l.matches(e.Index, e.Term) {
			return i
		}
	}
	return len(entries)
}

// hint returns the last entry at or before i whose term is at most t. Entries
// after it cannot match the log of a replica whose entry at i has term t.
func (l *entryLog) hint(i azurestair.Index, t azurestair.Term) (azurestair.Index, azurestair.Term) {
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

// compact installs an own snapshot and drops the entries before the kept tail.
func (l *entryLog) compact(s *Snapshot, keepEntries int, keepBytes azurestair.Bytes) {
	l.snapshot = s
	base, kept := s.Meta.Index, azurestair.Bytes(0)
	for base > l.base && s.Meta.Index-base < azurestair.Index(keepEntries) {
		kept += entryBytes(l.entries[base-l.base-1])
		if kept > keepBytes {
			break
		}
		base--
	}
	term, _ := l.term(base)
	// The copy releases the memory of the dropped entries.
	l.entries = append([]azurestair.LogEntry(nil), l.entries[base-l.base:]...)
	l.base, l.baseTerm, l.bytes = base, term, 0
	for _, e := range l.entries {
		l.bytes += entryBytes(e)
	}
}

// restore replaces the whole log by a snapshot of another replica. It returns
// the entries that must be stored before the snapshot: they make the stored
// log end at the snapshot's index at the latest, because SaveSnapshot keeps
// later entries, which here follow a conflicting one.
func (l *entryLog) restore(s *Snapshot) []azurestair.LogEntry {
	i := s.Meta.Index
	first := min(l.emitted+1, i)
	before := l.between(first-1, min(l.last(), i))
	*l = entryLog{
		base: i, baseTerm: s.Meta.Term, snapshot: s,
		commit: i, applied: i, emitted: i, stored: 0,
	}
	return before
}
