// Package disk keeps the replicated log of one instance in a data folder.
//
// The folder holds a lock file against a second process, a format version, the
// identity of the store, one snapshot, and numbered log segments. A segment is
// a sequence of checksummed records; each Append writes one record and syncs
// it. The snapshot and each new segment are written under a temporary name,
// synced, renamed, and made durable by a sync of the folder, so that a file
// with its final name is whole.
//
// After a snapshot, one new segment replaces all older ones. It holds the hard
// state and the entries behind the snapshot.
//
// A torn record at the end of the last segment was never acknowledged and is
// cut. Every other bad record is an error. A bad last record that was
// acknowledged and then damaged cannot be told from a torn one.
//
// After a failed write or sync it is not known what the disk holds, therefore
// the store refuses all further calls, and the next Open writes the last
// segment anew.
package disk

import (
	"errors"
	"fmt"
	"io"

	"azurestair.example/azurestair"
)

// Store implements azurestair.LogStore in a data folder. It is not safe for
// concurrent use; one goroutine owns it.
type Store struct {
	fs           files
	lock         io.Closer
	store        storeID
	segmentBytes azurestair.Bytes

	segment file
	number  uint64
	size    int64
	// numbers lists the segments in the folder in their order.
	numbers []uint64

	hard azurestair.HardState
	base azurestair.SnapshotMeta
	// entries is the stored log behind the snapshot.
	entries []azurestair.LogEntry
	buffer  []byte
	// failed is the error that made the store unusable.
	failed error
}

var _ azurestair.LogStore = (*Store)(nil)

// Append implements azurestair.LogStore. Entries beyond the size of one record
// are stored and synced in parts.
func (s *Store) Append(hard azurestair.HardState, entries []azurestair.LogEntry) error {
	if s.failed != nil {
		return s.failed
	}
	if err := s.checkEntries(entries); err != nil {
		return s.fail(err)
	}
	for part := range recordParts(entries) {
		partial := hard
		partial.Commit = min(hard.Commit, part[len(part)-1].Index)
		if err := s.appendRecord(record{Hard: partial, Entries: part}); err != nil {
			return s.fail(err)
		}
	}
	if s.hard == hard {
		return nil
	}
	return s.fail(s.appendRecord(record{Hard: hard}))
}

// SaveSnapshot implements azurestair.LogStore. A snapshot that is not newer
// than the stored one changes nothing.
func (s *Store) SaveSnapshot(meta azurestair.SnapshotMeta, data []byte) error {
	if s.failed != nil {
		return s.failed
	}
	if err := checkMeta(meta); err != nil {
		return s.fail(err)
	}
	if meta.Index <= s.base.Index {
		return nil
	}
	if err := writeSnapshot(s.fs, s.store, meta, data); err != nil {
		return s.fail(err)
	}
	return s.fail(s.rebase(meta))
}

// Close releases the data folder. It returns the error that made the store unusable, if any.
func (s *Store) Close() error {
	if errors.Is(s.failed, azurestair.ErrClosed) {
		return s.failed
	}
	err := errors.Join(s.failed, s.closeSegment(), s.lock.Close())
	s.failed = fmt.Errorf("%w: data folder", azurestair.ErrClosed)
	return err
}

// fail makes the store unusable after an error.
func (s *Store) fail(err error) error {
	if err == nil {
		return nil
	}
	s.failed = fmt.Errorf("log store stopped after a failure: %w", err)
	return s.failed
}

func (s *Store) lastIndex() azurestair.Index {
	return s.base.Index + azurestair.Index(len(s.entries))
}

// checkEntries reports whether the entries follow or replace stored ones.
func (s *Store) checkEntries(entries []azurestair.LogEntry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := (record{Entries: entries}).Validate(); err != nil {
		return err
	}
	first := entries[0].Index
	if first <= s.base.Index || first > s.lastIndex()+1 {
		return fmt.Errorf("%w: entry %d does not fit the log of entries %d to %d",
			azurestair.ErrInvalid, first, s.base.Index+1, s.lastIndex())
	}
	return nil
}

func (s *Store) appendRecord(r record) error {
	if azurestair.Bytes(s.size) >= s.segmentBytes {
		if err := s.startSegment(segmentHeader{}, nil); err != nil {
			return err
		}
	}
	data, err := appendRecord(s.buffer[:0], seedOf(s.store, s.number), s.size, r)
	if err != nil {
		return err
	}
	s.keepBuffer(data)
	if err := writeAll(s.segment, data); err != nil {
		return err
	}
	if err := s.segment.Sync(); err != nil {
		return err
	}
	s.size += int64(len(data))
	s.take(r)
	return nil
}

// maxKeptBuffer bounds the buffer that stays allocated between calls.
const maxKeptBuffer = 1 << 20

func (s *Store) keepBuffer(data []byte) {
	if cap(data) <= maxKeptBuffer {
		s.buffer = data
	}
}

// take applies a stored record to the log in memory.
func (s *Store) take(r record) {
	s.hard = r.Hard
	if len(r.Entries) > 0 {
		keep := r.Entries[0].Index - s.base.Index - 1
		s.entries = append(s.entries[:keep], r.Entries...)
	}
}

// rebase makes the log follow a stored snapshot.
func (s *Store) rebase(meta azurestair.SnapshotMeta) error {
	kept := s.entriesBehind(meta)
	s.base = meta
	s.entries = kept
	if err := s.startSegment(segmentHeader{Restart: true}, kept); err != nil {
		return err
	}
	return s.removeBefore(s.number)
}

// entriesBehind returns the entries that follow the snapshot. When the log
// does not hold the snapshot's last entry, its entries belong to another
// leader's log and none are kept.
func (s *Store) entriesBehind(meta azurestair.SnapshotMeta) []azurestair.LogEntry {
	if meta.Index <= s.base.Index || meta.Index > s.lastIndex() {
		return nil
	}
	at := meta.Index - s.base.Index - 1
	if s.entries[at].Term != meta.Term {
		return nil
	}
	return append([]azurestair.LogEntry(nil), s.entries[at+1:]...)
}

// startSegment creates the next segment and appends to it from now on.
func (s *Store) startSegment(h segmentHeader, entries []azurestair.LogEntry) error {
	h.Number = s.number + 1
	h.BaseIndex, h.BaseTerm = s.base.Index, s.base.Term
	size, err := writeSegment(s.fs, s.store, h, s.hard, entries)
	if err != nil {
		return err
	}
	if err := s.closeSegment(); err != nil {
		return err
	}
	s.number, s.size = h.Number, size
	s.numbers = append(s.numbers, h.Number)
	s.segment, err = s.fs.open(segmentName(s.number))
	return err
}

func (s *Store) closeSegment() error {
	if s.segment == nil {
		return nil
	}
	f := s.segment
	s.segment = nil
	return f.Close()
}

// removeBefore removes the segments below a number. A crash may leave any of
// them; Open passes over them.
func (s *Store) removeBefore(number uint64) error {
	if s.numbers[0] >= number {
		return nil
	}
	for s.numbers[0] < number {
		if err := s.fs.remove(segmentName(s.numbers[0])); err != nil {
			return err
		}
		s.numbers = s.numbers[1:]
	}
	return s.fs.sync()
}
