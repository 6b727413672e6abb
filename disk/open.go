package disk

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"azurestair.example/azurestair"
)

// Open locks the data folder of an instance and reads its log. It returns
// ErrNoIdentity for a folder that Init has not made for this instance,
// ErrLocked while another process uses it, and ErrCorrupt with file and offset
// for content that fails its checks. The commit index in the hard state is at
// least the index of the snapshot.
func Open(dir string, id azurestair.InstanceID) (*Store, azurestair.LogState, error) {
	return open(osFiles{dir}, id, defaultSegmentBytes)
}

func open(fs files, id azurestair.InstanceID, segmentBytes azurestair.Bytes) (*Store, azurestair.LogState, error) {
	lock, err := fs.lock()
	if errors.Is(err, os.ErrNotExist) {
		err = fmt.Errorf("%w: it does not exist", azurestair.ErrNoIdentity)
	}
	if err != nil {
		return nil, azurestair.LogState{}, err
	}
	s := &Store{fs: fs, lock: lock, segmentBytes: segmentBytes}
	state, err := s.load(id)
	if err != nil {
		return nil, azurestair.LogState{}, errors.Join(err, s.closeSegment(), lock.Close())
	}
	return s, state, nil
}

func (s *Store) load(id azurestair.InstanceID) (azurestair.LogState, error) {
	none := azurestair.LogState{}
	var err error
	if s.store, err = readIdentity(s.fs, id); err != nil {
		return none, err
	}
	names, err := s.fs.list()
	if err != nil {
		return none, err
	}
	if err := s.removeTemporary(names); err != nil {
		return none, err
	}
	meta, data, err := readSnapshot(s.fs, s.store)
	if err != nil {
		return none, err
	}
	restart, err := s.readLog(segmentNumbers(names))
	if err != nil {
		return none, err
	}
	if err := s.follow(meta, restart); err != nil {
		return none, err
	}
	hard := s.hard
	hard.Commit = max(hard.Commit, meta.Index)
	return azurestair.LogState{
		Hard:         hard,
		Snapshot:     meta,
		SnapshotData: data,
		Entries:      slices.Clone(s.entries),
	}, nil
}

func (s *Store) removeTemporary(names []string) error {
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if err := s.fs.remove(name); err != nil {
			return err
		}
	}
	return nil
}

// readLog reads the segments from the newest one back to the one that holds
// the start of the log, and returns the number of that one.
func (s *Store) readLog(numbers []uint64) (uint64, error) {
	if len(numbers) == 0 {
		return 0, corrupt(segmentName(1), 0, "no segment of the log is left")
	}
	s.numbers = numbers
	s.number = numbers[len(numbers)-1]
	var segments [][]record
	for i := len(numbers) - 1; i >= 0; i-- {
		if i < len(numbers)-1 && numbers[i]+1 != numbers[i+1] {
			return 0, corrupt(segmentName(numbers[i]+1), 0, "segment is missing")
		}
		records, err := s.readSegment(numbers[i])
		if err != nil {
			return 0, err
		}
		segments = append(segments, records)
		if records[0].Segment.Restart {
			slices.Reverse(segments)
			return numbers[i], s.replay(segments)
		}
	}
	return 0, corrupt(segmentName(numbers[0]), 0, "the segments before it are missing")
}

// readSegment reads a segment. It writes the valid part of the last one anew
// and opens it to append: after a failed sync and a restart of the process the
// page cache may hold records that are not on the disk and that no further
// sync of the same file writes.
func (s *Store) readSegment(number uint64) ([]record, error) {
	name := segmentName(number)
	data, err := s.fs.read(name, maxSegmentBytes)
	if err != nil {
		return nil, err
	}
	last := number == s.number
	records, valid, err := decodeSegment(data, seedOf(s.store, number), number, last)
	if err != nil || !last {
		return records, err
	}
	if err := writeAtomic(s.fs, name, data[:valid]); err != nil {
		return nil, err
	}
	s.size = int64(valid)
	s.segment, err = s.fs.open(name)
	return records, err
}

func (s *Store) replay(segments [][]record) error {
	for _, records := range segments {
		h := records[0].Segment
		name := segmentName(h.Number)
		if h.Restart {
			s.base = azurestair.SnapshotMeta{Index: h.BaseIndex, Term: h.BaseTerm}
		}
		if h.BaseIndex != s.base.Index || h.BaseTerm != s.base.Term {
			return corrupt(name, 0, "segment follows a different snapshot")
		}
		for _, r := range records {
			if err := s.checkEntries(r.Entries); err != nil {
				return corrupt(name, r.offset, err)
			}
			s.take(r)
		}
	}
	return nil
}

// follow makes the log follow the snapshot, if a crash came between the two,
// and removes segments that the log no longer needs.
func (s *Store) follow(meta azurestair.SnapshotMeta, restart uint64) error {
	if meta.Index > s.base.Index {
		return s.rebase(meta)
	}
	if meta.Index != s.base.Index || meta.Term != s.base.Term {
		detail := fmt.Sprintf("the log follows a snapshot at %d, the stored one is at %d", s.base.Index, meta.Index)
		return corrupt(snapshotName, 0, detail)
	}
	s.base = meta
	return s.removeBefore(restart)
}
