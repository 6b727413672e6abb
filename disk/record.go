package disk

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"azurestair.example/azurestair"
)

// A frame is a header of frameHeader bytes and a payload. The header holds a
// magic number, the payload's length, a checksum of place and length, and a
// checksum of place and payload; numbers are little-endian and checksums are
// CRC-32C. The place is the store, the file and the offset, so that neither a
// frame inside a payload nor one left over from another file passes for a
// record.
const (
	frameMagic  = "AzSt"
	frameHeader = 16
	// maxRecordBytes bounds the payload of a frame.
	maxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// seed is the checksum of the place of a file's frames.
type seed uint32

// seedOf returns the seed for a file of a store; number tells its files apart.
func seedOf(store storeID, number uint64) seed {
	sum := crc32.Checksum(store[:], castagnoli)
	return seed(crc32.Update(sum, castagnoli, binary.LittleEndian.AppendUint64(nil, number)))
}

func (s seed) header(offset int64, length int) uint32 {
	var place [12]byte
	binary.LittleEndian.PutUint64(place[:], uint64(offset))
	binary.LittleEndian.PutUint32(place[8:], uint32(length))
	return crc32.Update(uint32(s), castagnoli, place[:])
}

// appendFrame appends the frame of a payload that will lie at the offset of its file.
func (s seed) appendFrame(dst []byte, offset int64, payload []byte) []byte {
	header := s.header(offset, len(payload))
	dst = append(dst, frameMagic...)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(payload)))
	dst = binary.LittleEndian.AppendUint32(dst, header)
	dst = binary.LittleEndian.AppendUint32(dst, crc32.Update(header, castagnoli, payload))
	return append(dst, payload...)
}

// readFrame returns the payload of the frame at the offset and the offset that
// follows it; ok is false unless the frame is whole and its checksums match.
func (s seed) readFrame(data []byte, offset int) (payload []byte, next int, ok bool) {
	rest := data[offset:]
	if len(rest) < frameHeader || string(rest[:4]) != frameMagic {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(rest[4:])
	header := s.header(int64(offset), int(length))
	if length > maxRecordBytes || binary.LittleEndian.Uint32(rest[8:]) != header {
		return nil, 0, false
	}
	if uint64(len(rest)) < frameHeader+uint64(length) {
		return nil, 0, false
	}
	payload = rest[frameHeader : frameHeader+int(length)]
	if crc32.Update(header, castagnoli, payload) != binary.LittleEndian.Uint32(rest[12:]) {
		return nil, 0, false
	}
	return payload, offset + frameHeader + int(length), true
}

// hasFrameAfter reports whether a valid frame starts behind the offset.
func (s seed) hasFrameAfter(data []byte, offset int) bool {
	for {
		n := bytes.Index(data[offset+1:], []byte(frameMagic))
		if n < 0 {
			return false
		}
		offset += 1 + n
		if _, _, ok := s.readFrame(data, offset); ok {
			return true
		}
	}
}

// record is the payload of a frame in a segment: what one Append stored, or
// the header of the segment, which is its first record.
type record struct {
	Segment *segmentHeader        `cbor:"1,keyasint,omitempty"`
	Hard    azurestair.HardState  `cbor:"2,keyasint"`
	Entries []azurestair.LogEntry `cbor:"3,keyasint,omitempty"`
	// offset is where Open found the record.
	offset int
}

// segmentHeader describes a segment.
type segmentHeader struct {
	Number uint64 `cbor:"1,keyasint"`
	// Restart says that the segment alone holds the log behind the snapshot;
	// older segments are void.
	Restart bool `cbor:"2,keyasint,omitempty"`
	// BaseIndex and BaseTerm name the last entry of the snapshot that the log follows.
	BaseIndex azurestair.Index `cbor:"3,keyasint,omitempty"`
	BaseTerm  azurestair.Term  `cbor:"4,keyasint,omitempty"`
}

// Validate checks the record.
func (r record) Validate() error {
	if r.Segment != nil && len(r.Entries) > 0 {
		return fmt.Errorf("%w: segment header with entries", azurestair.ErrInvalid)
	}
	for i, e := range r.Entries {
		if err := e.Validate(); err != nil {
			return err
		}
		if i > 0 && e.Index != r.Entries[i-1].Index+1 {
			return fmt.Errorf("%w: entry %d follows entry %d", azurestair.ErrInvalid, e.Index, r.Entries[i-1].Index)
		}
	}
	return nil
}

// recordDecoding raises the codec's limit on array length, which is below the
// number of small entries that fit a record.
var recordDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxRecordBytes}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func decodeRecord(payload []byte) (record, error) {
	var r record
	if err := recordDecoding.Unmarshal(payload, &r); err != nil {
		return record{}, fmt.Errorf("%w: %w", azurestair.ErrInvalid, err)
	}
	return r, r.Validate()
}

func corrupt(name string, offset int, detail any) error {
	return fmt.Errorf("%w: %s at offset %d: %v", azurestair.ErrCorrupt, name, offset, detail)
}
