// Package disk stores the replicated log of one instance in a data directory.
//
// The directory holds a lock file that excludes other processes, a format
// version, the identity of the store, one snapshot, and numbered log segments.
// A segment is a sequence of checksummed records. Append writes and syncs one
// record, or several if the entries do not fit into one. The snapshot and each
// new segment are written under a temporary name, synced and renamed, and the
// directory is synced, so that a file with its final name is complete.
//
// After a snapshot, a new segment replaces all older ones. It holds the hard
// state and the entries after the snapshot.
//
// A torn record at the end of the last segment was never acknowledged and is
// truncated. Every other invalid record is an error. If the last record is
// damaged after it was acknowledged, it cannot be distinguished from a torn
// one.
//
// After a failed write or sync the content of the disk is unknown. The store
// therefore rejects all further calls, and the next Open rewrites the last
// segment. Only a full disk is no reason to stop: the store then writes the
// acknowledged log, of which it holds a copy in memory, to a new segment as
// soon as there is space, and the failed call can be repeated.
//
// The store uses a bounded part of the disk: the snapshot, the log up to the
// size at which it is compacted, and one new copy of each while they are
// replaced. Nothing is written while the disk is full, so that no space has to
// be reserved.
package disk

import (
	"errors"
	"fmt"
	"io"
	"syscall"

	"azurestair.example/azurestair"
)

// Store implements azurestair.LogStore in a data directory. It is not safe for
// concurrent use; one goroutine owns it.
type Store struct {
	fileSystem   fileSystem
	lock         io.Closer
	id           storeID
	segmentBytes azurestair.Bytes

	segment       file
	segmentNumber uint64
	segmentSize   int64
	// segments lists the numbers of the segments in the directory in order.
	segments []uint64

	hardState azurestair.HardState
	base      azurestair.SnapshotMeta
	// entries is the stored log after the snapshot.
	entries []azurestair.LogEntry
	buffer  []byte
	// needsRewrite is true after the disk was full: the last segment may end in
	// a part of a record, or is not known to be durable.
	needsRewrite bool
	// err is the error that made the store unusable.
	err error
}

var _ azurestair.LogStore = (*Store)(nil)

// Append implements azurestair.LogStore. Entries that exceed the size of one
// record are split into several records, each of which is synced.
func (s *Store) Append(hard azurestair.HardState, entries []azurestair.LogEntry) error {
	if err := s.prepare(); err != nil {
		return err
	}
	if err := s.checkEntries(entries); err != nil {
		return s.fail(err)
	}
	for part := range splitEntries(entries) {
		partial := hard
		partial.Commit = min(hard.Commit, part[len(part)-1].Index)
		if err := s.appendRecord(record{Hard: partial, Entries: part}); err != nil {
			return s.fail(err)
		}
	}
	if s.hardState == hard {
		return nil
	}
	return s.fail(s.appendRecord(record{Hard: hard}))
}

// SaveSnapshot implements azurestair.LogStore. It ignores a snapshot that is
// not newer than the stored one.
func (s *Store) SaveSnapshot(meta azurestair.SnapshotMeta, data []byte) error {
	if err := s.prepare(); err != nil {
		return err
	}
	if err := validateSnapshotMeta(meta); err != nil {
		return s.fail(err)
	}
	if meta.Index <= s.base.Index {
		return nil
	}
	if err := writeSnapshot(s.fileSystem, s.id, meta, data); err != nil {
		return s.fail(err)
	}
	return s.fail(s.compactTo(meta))
}

// Close releases the data directory. It returns the error that made the store
// unusable, if any.
func (s *Store) Close() error {
	if errors.Is(s.err, azurestair.ErrClosed) {
		return s.err
	}
	err := errors.Join(s.err, s.closeSegment(), s.lock.Close())
	s.err = fmt.Errorf("%w: data folder", azurestair.ErrClosed)
	return err
}

// NeedsRepair reports whether the disk was full when the store was opened. The
// log that Open returned is not durable before Repair has succeeded.
func (s *Store) NeedsRepair() bool { return s.needsRewrite }

// Repair makes the log durable after the disk was full. It can be repeated
// after ErrNoSpace.
func (s *Store) Repair() error { return s.prepare() }

// prepare returns the error that made the store unusable, or rewrites the log
// if the disk was full.
func (s *Store) prepare() error {
	if s.err != nil || !s.needsRewrite {
		return s.err
	}
	if err := s.startSegment(segmentHeader{LogStart: true}, s.entries); err != nil {
		return s.fail(err)
	}
	s.needsRewrite = false
	return s.fail(s.removeSegmentsBefore(s.segmentNumber))
}

// isNoSpace reports whether an error means that the disk takes no more data.
func isNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// wrapNoSpace adds ErrNoSpace to the error of a full disk.
func wrapNoSpace(err error) error {
	if !isNoSpace(err) {
		return err
	}
	return fmt.Errorf("%w: %w", azurestair.ErrNoSpace, err)
}

// fail makes the store unusable if err is not nil, unless the disk is full.
func (s *Store) fail(err error) error {
	if err == nil {
		return nil
	}
	if isNoSpace(err) {
		s.needsRewrite = true
		return wrapNoSpace(err)
	}
	s.err = fmt.Errorf("log store stopped after a failure: %w", err)
	return s.err
}

func (s *Store) lastIndex() azurestair.Index {
	return s.base.Index + azurestair.Index(len(s.entries))
}

// checkEntries checks that the entries are valid and that they follow or
// replace stored entries without a gap.
func (s *Store) checkEntries(entries []azurestair.LogEntry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := (record{Entries: entries}).Validate(); err != nil {
		return err
	}
	first := entries[0].Index
	if first <= s.base.Index || first > s.lastIndex()+1 {
		return fmt.Errorf("%w: entry %d cannot be appended to a log with entries %d to %d",
			azurestair.ErrInvalid, first, s.base.Index+1, s.lastIndex())
	}
	return nil
}

func (s *Store) appendRecord(r record) error {
	if azurestair.Bytes(s.segmentSize) >= s.segmentBytes {
		if err := s.startSegment(segmentHeader{}, nil); err != nil {
			return err
		}
	}
	data, err := appendRecord(s.buffer[:0], seedForFile(s.id, s.segmentNumber), s.segmentSize, r)
	if err != nil {
		return err
	}
	s.retainBuffer(data)
	if err := writeAll(s.segment, data); err != nil {
		return err
	}
	if err := s.segment.Sync(); err != nil {
		return err
	}
	s.segmentSize += int64(len(data))
	s.applyRecord(r)
	return nil
}

// maxRetainedBuffer limits the size of the encoding buffer that is kept between
// calls.
const maxRetainedBuffer = 1 << 20

func (s *Store) retainBuffer(data []byte) {
	if cap(data) <= maxRetainedBuffer {
		s.buffer = data
	}
}

// applyRecord applies a stored record to the in-memory copy of the log.
func (s *Store) applyRecord(r record) {
	s.hardState = r.Hard
	if len(r.Entries) > 0 {
		keep := r.Entries[0].Index - s.base.Index - 1
		s.entries = append(s.entries[:keep], r.Entries...)
	}
}

// compactTo drops the entries that a stored snapshot covers, or the whole log
// if the log does not match the snapshot.
func (s *Store) compactTo(meta azurestair.SnapshotMeta) error {
	kept := s.entriesAfter(meta)
	s.base = meta
	s.entries = kept
	if err := s.startSegment(segmentHeader{LogStart: true}, kept); err != nil {
		return err
	}
	return s.removeSegmentsBefore(s.segmentNumber)
}

// entriesAfter returns a copy of the stored entries after the snapshot. If the
// log does not hold the last entry of the snapshot, its entries come from a
// different leader's log and none are kept.
func (s *Store) entriesAfter(meta azurestair.SnapshotMeta) []azurestair.LogEntry {
	if meta.Index <= s.base.Index || meta.Index > s.lastIndex() {
		return nil
	}
	at := meta.Index - s.base.Index - 1
	if s.entries[at].Term != meta.Term {
		return nil
	}
	return append([]azurestair.LogEntry(nil), s.entries[at+1:]...)
}

// startSegment creates the next segment and makes it the one to append to.
func (s *Store) startSegment(h segmentHeader, entries []azurestair.LogEntry) error {
	h.Number = s.segmentNumber + 1
	h.BaseIndex, h.BaseTerm = s.base.Index, s.base.Term
	size, err := writeSegment(s.fileSystem, s.id, h, s.hardState, entries)
	if err != nil {
		return err
	}
	if err := s.closeSegment(); err != nil {
		return err
	}
	s.segmentNumber, s.segmentSize = h.Number, size
	s.segments = append(s.segments, h.Number)
	s.segment, err = s.fileSystem.open(segmentName(s.segmentNumber))
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

// removeSegmentsBefore removes the segments with smaller numbers. After a crash
// some of them may remain; Open ignores them.
func (s *Store) removeSegmentsBefore(number uint64) error {
	if s.segments[0] >= number {
		return nil
	}
	for s.segments[0] < number {
		if err := s.fileSystem.remove(segmentName(s.segments[0])); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	return s.fileSystem.sync()
}
