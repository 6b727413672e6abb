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
	// maxSegmentBytes bounds the segment that Open reads. A segment grows past
	// defaultSegmentBytes by one record, or by the entries kept behind a snapshot.
	maxSegmentBytes azurestair.Bytes = 1 << 30
	// recordDataBytes bounds the entry data that one record takes, well below
	// maxRecordBytes.
	recordDataBytes azurestair.Bytes = 32 << 20
	// entryOverhead is more than the encoding adds to an entry's data, except
	// for a membership, which is at most a few kilobytes.
	entryOverhead azurestair.Bytes = 64
)

func segmentName(number uint64) string { return fmt.Sprintf("%s%020d", segmentPrefix, number) }

// segmentNumbers returns the numbers of the segments in a list of names, in order.
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
// size. The segment gets its name only when its content is durable.
func writeSegment(
	fs files, store storeID, h segmentHeader, hard azurestair.HardState, entries []azurestair.LogEntry,
) (int64, error) {
	where := seedOf(store, h.Number)
	data, err := appendRecord(nil, where, 0, record{Segment: &h, Hard: hard})
	if err != nil {
		return 0, err
	}
	for part := range recordParts(entries) {
		data, err = appendRecord(data, where, int64(len(data)), record{Hard: hard, Entries: part})
		if err != nil {
			return 0, err
		}
	}
	return int64(len(data)), writeAtomic(fs, segmentName(h.Number), data)
}

func appendRecord(dst []byte, where seed, offset int64, r record) ([]byte, error) {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	if len(payload) > maxRecordBytes {
		return nil, fmt.Errorf("%w: log record has %d bytes; allowed %d", azurestair.ErrTooLarge, len(payload), maxRecordBytes)
	}
	return where.appendFrame(dst, offset, payload), nil
}

// recordParts cuts entries into parts that fit a record each.
func recordParts(entries []azurestair.LogEntry) func(yield func([]azurestair.LogEntry) bool) {
	return func(yield func([]azurestair.LogEntry) bool) {
		for len(entries) > 0 {
			n := 0
			for size := azurestair.Bytes(0); n < len(entries); n++ {
				size += azurestair.Bytes(len(entries[n].Data)) + entryOverhead
				if n > 0 && size > recordDataBytes {
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
// part. Only the last segment may end in a torn record, because the others
// were synced before their successor was created. A bad record with a valid
// one behind it is not torn: records are synced one by one.
func decodeSegment(data []byte, where seed, number uint64, last bool) ([]record, int, error) {
	name := segmentName(number)
	var records []record
	offset := 0
	for offset < len(data) {
		payload, next, ok := where.readFrame(data, offset)
		if !ok && last && offset > 0 && !where.hasFrameAfter(data, offset) {
			return records, offset, nil
		}
		if !ok {
			return nil, 0, corrupt(name, offset, "checksum does not match")
		}
		r, err := decodeRecord(payload)
		if err != nil {
			return nil, 0, corrupt(name, offset, err)
		}
		if (offset == 0) != (r.Segment != nil) || (offset == 0 && r.Segment.Number != number) {
			return nil, 0, corrupt(name, offset, "segment header is missing or out of place")
		}
		r.offset = offset
		records = append(records, r)
		offset = next
	}
	if len(records) == 0 {
		return nil, 0, corrupt(name, 0, "segment is empty")
	}
	return records, offset, nil
}
