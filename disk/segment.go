package disk

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"azurestair.example/azurestair"
)

const (
	// defaultSegmentBytes is the size at which Append starts a new segment.
	defaultSegmentBytes azurestair.Bytes = 16 << 20
	// maxSegmentBytes limits the segment that Open reads. A segment can exceed
	// defaultSegmentBytes by one record, or by the entries that are kept after
	// a snapshot.
	maxSegmentBytes azurestair.Bytes = 1 << 30
	// maxRecordDataBytes limits the entry data in one record. It is well below
	// maxRecordBytes to leave room for the encoding.
	maxRecordDataBytes azurestair.Bytes = 32 << 20
	// entryOverhead is an upper bound of the bytes that the encoding adds to
	// the data of an entry. It does not cover a membership, which takes at most
	// a few kilobytes.
	entryOverhead azurestair.Bytes = 64
)

func segmentName(number uint64) string { return fmt.Sprintf("%s%020d", segmentPrefix, number) }

// segmentNumbers returns the sorted numbers of the segments among the names.
func segmentNumbers(names []string) []uint64 {
	var numbers []uint64
	for _, name := range names {
		digits, ok := strings.CutPrefix(name, segmentPrefix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 64)
		if err == nil && segmentName(n) == name {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// writeSegment creates a segment with its header and entries and returns its
// size. The file gets its final name only after its content is durable.
func writeSegment(
	fs fileSystem, store storeID, h segmentHeader, hard azurestair.HardState, entries []azurestair.LogEntry,
) (int64, error) {
	seed := seedForFile(store, h.Number)
	data, err := appendRecord(nil, seed, 0, record{Segment: &h, Hard: hard})
	if err != nil {
		return 0, err
	}
	for part := range splitEntries(entries) {
		data, err = appendRecord(data, seed, int64(len(data)), record{Hard: hard, Entries: part})
		if err != nil {
			return 0, err
		}
	}
	return int64(len(data)), writeAtomic(fs, segmentName(h.Number), data)
}

func appendRecord(dst []byte, seed checksumSeed, offset int64, r record) ([]byte, error) {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	if len(payload) > maxRecordBytes {
		return nil, fmt.Errorf("%w: log record has %d bytes; allowed %d", azurestair.ErrTooLarge, len(payload), maxRecordBytes)
	}
	return seed.appendFrame(dst, offset, payload), nil
}

// splitEntries splits entries into parts that each fit into a record.
func splitEntries(entries []azurestair.LogEntry) func(yield func([]azurestair.LogEntry) bool) {
	return func(yield func([]azurestair.LogEntry) bool) {
		for len(entries) > 0 {
			n := 0
			for size := azurestair.Bytes(0); n < len(entries); n++ {
				size += azurestair.Bytes(len(entries[n].Data)) + entryOverhead
				if n > 0 && size > maxRecordDataBytes {
					break
				}
			}
			if !yield(entries[:n]) {
				return
			}
			entries = entries[n:]
		}
	}
}

// decodeSegment returns the records of a segment and the length of its valid
// part. Only the last segment may end in a torn record, because every other
// segment was synced before the next one was created. Even there, an invalid
// record that a valid one follows is corrupt and not torn, because each record
// is synced before the next one is written.
func decodeSegment(data []byte, seed checksumSeed, number uint64, last bool) ([]record, int, error) {
	name := segmentName(number)
	var records []record
	offset := 0
	for offset < len(data) {
		payload, next, ok := seed.readFrame(data, offset)
		if !ok && last && offset > 0 && !seed.hasFrameAfter(data, offset) {
			return records, offset, nil
		}
		if !ok {
			return nil, 0, corruptError(name, offset, "checksum does not match")
		}
		r, err := decodeRecord(payload)
		if err != nil {
			return nil, 0, corruptError(name, offset, err)
		}
		if (offset == 0) != (r.Segment != nil) || (offset == 0 && r.Segment.Number != number) {
			return nil, 0, corruptError(name, offset, "segment header is missing or out of place")
		}
		r.offset = offset
		records = append(records, r)
		offset = next
	}
	if len(records) == 0 {
		return nil, 0, corruptError(name, 0, "segment is empty")
	}
	return records, offset, nil
}
