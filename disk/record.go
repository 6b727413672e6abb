package disk

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"azurestair.example/azurestair"
)

// A frame is a header of frameHeaderBytes and a payload. The header holds a
// magic number, the length of the payload, a checksum of position and length,
// and a checksum of position, length and payload. Numbers are little-endian and
// checksums are CRC-32C. The position consists of the store, the file and the
// offset, so that neither a frame inside a payload nor one left over from
// another file is accepted as a record.
const (
	frameMagic       = "AzSt"
	frameHeaderBytes = 16
	// maxRecordBytes limits the payload of a frame.
	maxRecordBytes = 64 << 20
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// checksumSeed is the checksum of the store and file that a frame belongs to.
// It is the initial value of the checksums in the file's frames.
type checksumSeed uint32

// seedForFile returns the seed for a file of a store; number identifies the
// file.
func seedForFile(store storeID, number uint64) checksumSeed {
	sum := crc32.Checksum(store[:], castagnoliTable)
	return checksumSeed(crc32.Update(sum, castagnoliTable, binary.LittleEndian.AppendUint64(nil, number)))
}

func (s checksumSeed) headerChecksum(offset int64, length int) uint32 {
	var position [12]byte
	binary.LittleEndian.PutUint64(position[:], uint64(offset))
	binary.LittleEndian.PutUint32(position[8:], uint32(length))
	return crc32.Update(uint32(s), castagnoliTable, position[:])
}

// appendFrame appends the frame of a payload. The frame must be written at the
// given offset of its file.
func (s checksumSeed) appendFrame(dst []byte, offset int64, payload []byte) []byte {
	header := s.headerChecksum(offset, len(payload))
	dst = append(dst, frameMagic...)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(payload)))
	dst = binary.LittleEndian.AppendUint32(dst, header)
	dst = binary.LittleEndian.AppendUint32(dst, crc32.Update(header, castagnoliTable, payload))
	return append(dst, payload...)
}

// readFrame returns the payload of the frame at the offset and the offset after
// the frame. ok is false unless the frame is complete and its checksums match.
func (s checksumSeed) readFrame(data []byte, offset int) (payload []byte, next int, ok bool) {
	rest := data[offset:]
	if len(rest) < frameHeaderBytes || string(rest[:4]) != frameMagic {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(rest[4:])
	header := s.headerChecksum(int64(offset), int(length))
	if length > maxRecordBytes || binary.LittleEndian.Uint32(rest[8:]) != header {
		return nil, 0, false
	}
	if uint64(len(rest)) < frameHeaderBytes+uint64(length) {
		return nil, 0, false
	}
	payload = rest[frameHeaderBytes : frameHeaderBytes+int(length)]
	if crc32.Update(header, castagnoliTable, payload) != binary.LittleEndian.Uint32(rest[12:]) {
		return nil, 0, false
	}
	return payload, offset + frameHeaderBytes + int(length), true
}

// hasFrameAfter reports whether a valid frame starts after the offset.
func (s checksumSeed) hasFrameAfter(data []byte, offset int) bool {
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

// record is the payload of a frame in a segment: either state stored by Append,
// or the segment header, which is the first record of each segment.
type record struct {
	Segment *segmentHeader        `cbor:"1,keyasint,omitempty"`
	Hard    azurestair.HardState  `cbor:"2,keyasint"`
	Entries []azurestair.LogEntry `cbor:"3,keyasint,omitempty"`
	// offset is the position at which Open read the record.
	offset int
}

// segmentHeader identifies a segment and its position in the log.
type segmentHeader struct {
	Number uint64 `cbor:"1,keyasint"`
	// LogStart is true if the log starts with this segment. Older segments are
	// obsolete.
	LogStart bool `cbor:"2,keyasint,omitempty"`
	// BaseIndex and BaseTerm identify the last entry of the snapshot after
	// which the log starts.
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

// recordDecMode raises the codec's limit on array length, because a record can
// hold more small entries than the default limit allows.
var recordDecMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxRecordBytes}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func decodeRecord(payload []byte) (record, error) {
	var r record
	if err := recordDecMode.Unmarshal(payload, &r); err != nil {
		return record{}, fmt.Errorf("%w: %w", azurestair.ErrInvalid, err)
	}
	return r, r.Validate()
}

func corruptError(name string, offset int, detail any) error {
	return fmt.Errorf("%w: %s at offset %d: %v", azurestair.ErrCorrupt, name, offset, detail)
}
