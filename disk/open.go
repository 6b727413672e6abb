package disk

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"azurestair.example/azurestair"
)

// Open locks the data directory of an instance and reads its log. It returns
// ErrNoIdentity if Init has not initialized the directory for this instance,
// ErrLocked while another process uses it, and ErrCorrupt with the file and
// offset of invalid content. A full disk is no error, but the log is then not
// known to be durable; see Store.NeedsRepair. The commit index of the returned hard state is at
// least the index of the snapshot.
func Open(dir string, id azurestair.InstanceID) (*Store, azurestair.LogState, error) {
	return open(osFileSystem{dir}, id, defaultSegmentBytes)
}

func open(fs fileSystem, id azurestair.InstanceID, segmentBytes azurestair.Bytes) (*Store, azurestair.LogState, error) {
	lock, err := fs.lock()
	if errors.Is(err, os.ErrNotExist) {
		err = fmt.Errorf("%w: it does not exist", azurestair.ErrNoIdentity)
	}
	if err != nil {
		return nil, azurestair.LogState{}, err
	}
	s := &Store{fileSystem: fs, lock: lock, segmentBytes: segmentBytes}
	state, err := s.load(id)
	if err != nil {
		return nil, azurestair.LogState{}, errors.Join(err, s.closeSegment(), lock.Close())
	}
	return s, state, nil
}

func (s *Store) load(id azurestair.InstanceID) (azurestair.LogState, error) {
	none := azurestair.LogState{}
	var err error
	if s.id, err = verifyIdentity(s.fileSystem, id); err != nil {
		return none, err
	}
	names, err := s.fileSystem.list()
	if err != nil {
		return none, err
	}
	if err := s.removeTempFiles(names); err != nil {
		return none, err
	}
	meta, data, err := readSnapshot(s.fileSystem, s.id)
	if err != nil {
		return none, err
	}
	firstSegment, err := s.readLog(segmentNumbers(names))
	if err != nil {
		return none, err
	}
	if err := s.alignWithSnapshot(meta, firstSegment); err != nil {
		return none, err
	}
	hard := s.hardState
	hard.Commit = max(hard.Commit, meta.Index)
	return azurestair.LogState{
		HardState:    hard,
		Snapshot:     meta,
		SnapshotData: data,
		Entries:      slices.Clone(s.entries),
	}, nil
}

func (s *Store) removeTempFiles(names []string) error {
	for _, name := range names {
		if !strings.HasSuffix(name, tempSuffix) {
			continue
		}
		if err := s.fileSystem.remove(name); err != nil {
			return err
		}
	}
	return nil
}

// readLog reads the segments backwards from the newest one to the one at which
// the log starts, replays them, and returns the number of the latter.
func (s *Store) readLog(numbers []uint64) (uint64, error) {
	if len(numbers) == 0 {
		return 0, corruptError(segmentName(1), 0, "log has no segments")
	}
	s.segments = numbers
	s.segmentNumber = numbers[len(numbers)-1]
	var segments [][]record
	for i := len(numbers) - 1; i >= 0; i-- {
		if i < len(numbers)-1 && numbers[i]+1 != numbers[i+1] {
			return 0, corruptError(segmentName(numbers[i]+1), 0, "segment is missing")
		}
		records, err := s.readSegment(numbers[i])
		if err != nil {
			return 0, err
		}
		segments = append(segments, records)
		if records[0].Segment.LogStart {
			slices.Reverse(segments)
			return numbers[i], s.replay(segments)
		}
	}
	return 0, corruptError(segmentName(numbers[0]), 0, "earlier segments are missing")
}

// readSegment reads a segment. It copies the valid part of the last segment to
// a new file and opens the new file for appending, because the page cache may
// hold records that are not on disk: after a failed sync and a restart of the
// process, a later sync of the same file does not write them.
func (s *Store) readSegment(number uint64) ([]record, error) {
	name := segmentName(number)
	data, err := s.fileSystem.read(name, maxSegmentBytes)
	if err != nil {
		return nil, err
	}
	last := number == s.segmentNumber
	records, valid, err := decodeSegment(data, seedForFile(s.id, number), number, last)
	if err != nil || !last {
		return records, err
	}
	if err := writeAtomic(s.fileSystem, name, data[:valid]); err != nil {
		return records, s.tolerateNoSpace(err)
	}
	s.segmentSize = int64(valid)
	s.segment, err = s.fileSystem.open(name)
	return records, err
}

// tolerateNoSpace returns nil for the error of a full disk and records that the
// log must be rewritten.
func (s *Store) tolerateNoSpace(err error) error {
	if !isNoSpace(err) {
		return err
	}
	s.needsRewrite = true
	return nil
}

func (s *Store) replay(segments [][]record) error {
	for _, records := range segments {
		h := records[0].Segment
		name := segmentName(h.Number)
		if h.LogStart {
			s.base = azurestair.SnapshotMeta{Index: h.BaseIndex, Term: h.BaseTerm}
		}
		if h.BaseIndex != s.base.Index || h.BaseTerm != s.base.Term {
			return corruptError(name, 0, "segment starts after a different snapshot")
		}
		for _, r := range records {
			if err := s.checkEntries(r.Entries); err != nil {
				return corruptError(name, r.offset, err)
			}
			s.applyRecord(r)
		}
	}
	return nil
}

// alignWithSnapshot compacts the log to the snapshot if a crash came between
// the writing of the snapshot and the compaction. It removes obsolete segments.
func (s *Store) alignWithSnapshot(meta azurestair.SnapshotMeta, firstSegment uint64) error {
	if meta.Index > s.base.Index {
		return s.tolerateNoSpace(s.compactTo(meta))
	}
	if meta.Index != s.base.Index || meta.Term != s.base.Term {
		detail := fmt.Sprintf("log starts after a snapshot at %d, but the stored snapshot is at %d", s.base.Index, meta.Index)
		return corruptError(snapshotName, 0, detail)
	}
	s.base = meta
	return s.removeSegmentsBefore(firstSegment)
}
