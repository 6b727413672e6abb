package peer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"azurestair.example/azurestair"
)

// minCompressBytes is the smallest encoded update that is compressed.
// Compressing smaller ones is not worth the processor time.
const minCompressBytes = 4 << 10

// encodedReply is a ReportReply whose update is already encoded, either plain
// or compressed, depending on the receiver's protocol version.
type encodedReply struct {
	azurestair.ReportReply
	Snapshot cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	Delta    cbor.RawMessage `cbor:"5,keyasint,omitempty"`
	// CompressedSnapshot and CompressedDelta replace Snapshot and Delta and are
	// compressed with DEFLATE.
	CompressedSnapshot []byte `cbor:"10,keyasint,omitempty"`
	CompressedDelta    []byte `cbor:"11,keyasint,omitempty"`
}

// decode returns the reply with its update decoded and validated.
func (e encodedReply) decode() (azurestair.ReportReply, error) {
	r := e.ReportReply
	var err error
	if r.Snapshot, err = decodeUpdate[azurestair.Snapshot](e.Snapshot, e.CompressedSnapshot); err != nil {
		return azurestair.ReportReply{}, err
	}
	if r.Delta, err = decodeUpdate[azurestair.SnapshotDelta](e.Delta, e.CompressedDelta); err != nil {
		return azurestair.ReportReply{}, err
	}
	return r, r.Validate()
}

// decodeUpdate decodes an update from its plain or compressed form. It returns
// nil if both are empty.
func decodeUpdate[T any](plain cbor.RawMessage, compressed []byte) (*T, error) {
	data := []byte(plain)
	if len(compressed) > 0 {
		var err error
		if data, err = decompress(compressed); err != nil {
			return nil, err
		}
	}
	if len(data) == 0 {
		return nil, nil //nolint:nilnil // a reply may hold no update
	}
	v := new(T)
	return v, Codec{}.Unmarshal(data, v)
}

// EncodeSnapshot encodes a snapshot in the compressed form for storing it.
func EncodeSnapshot(s *azurestair.Snapshot) ([]byte, error) {
	data, err := Codec{}.Marshal(s)
	if err != nil {
		return nil, err
	}
	return compress(data)
}

// DecodeSnapshot decodes and validates what EncodeSnapshot returned.
func DecodeSnapshot(data []byte) (*azurestair.Snapshot, error) {
	return decodeUpdate[azurestair.Snapshot](nil, data)
}

func compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// decompress returns the decompressed data. It fails if the data exceeds
// MaxMessageBytes.
func decompress(compressed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), MaxMessageBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: compressed update: %w", azurestair.ErrInvalid, err)
	}
	if len(data) > MaxMessageBytes {
		return nil, fmt.Errorf("%w: compressed update expands to more than %d bytes", azurestair.ErrInvalid, MaxMessageBytes)
	}
	return data, nil
}

// replyCache caches the encoded snapshot and deltas that many replies to
// reports share. A snapshot of 3,000 upstreams takes 0.6 MB, and after a change
// of leader hundreds of instances request the same one. Uncompressed, these
// 180 MB saturated the new leader's link for longer than its lease, so that it
// lost the leadership and the next leader had to send them again. Compression
// reduces the size to an eighth. The zero value is ready to use.
type replyCache struct {
	mu sync.Mutex
	// snapshot is the last one requested. deltaForms holds the deltas that lead
	// to revision, and deltaBytes their size.
	snapshot      *azurestair.Snapshot
	snapshotForms encodedForms
	deltaForms    map[*azurestair.SnapshotDelta]encodedForms
	deltaBytes    azurestair.Bytes
	revision      azurestair.Revision
}

// maxDeltaBytes bounds the encoded deltas. After a change of the configuration
// each delta holds it, and there is one for each revision that instances hold.
const maxDeltaBytes azurestair.Bytes = 8 << 20

// encodedForms holds the encoded forms of a value. compressed is nil for values
// smaller than minCompressBytes.
type encodedForms struct {
	plain      cbor.RawMessage
	compressed []byte
}

func encodeForms(v any) (encodedForms, error) {
	data, err := Codec{}.Marshal(v)
	if err != nil || len(data) < minCompressBytes {
		return encodedForms{plain: data}, err
	}
	compressed, err := compress(data)
	return encodedForms{plain: data, compressed: compressed}, err
}

// encodeReply returns the reply in the form for an instance with the given
// protocol version. Snapshots and deltas are immutable, so their pointers serve
// as cache keys.
func (c *replyCache) encodeReply(r azurestair.ReportReply, version azurestair.ProtocolVersion) (encodedReply, error) {
	out := encodedReply{ReportReply: r}
	switch {
	case r.Snapshot != nil:
		f, err := c.encodeSnapshot(r.Snapshot)
		out.Snapshot, out.CompressedSnapshot = f.forVersion(version)
		return out, err
	case r.Delta != nil:
		f, err := c.encodeDelta(r.Delta)
		out.Delta, out.CompressedDelta = f.forVersion(version)
		return out, err
	}
	return out, nil
}

func (f encodedForms) size() azurestair.Bytes {
	return azurestair.Bytes(len(f.plain) + len(f.compressed))
}

func (f encodedForms) forVersion(v azurestair.ProtocolVersion) (cbor.RawMessage, []byte) {
	if v >= azurestair.ProtocolCompressed && f.compressed != nil {
		return nil, f.compressed
	}
	return f.plain, nil
}

// encodeSnapshot holds the lock while it encodes, so that concurrent callers
// wait for the result instead of encoding the snapshot again.
func (c *replyCache) encodeSnapshot(s *azurestair.Snapshot) (encodedForms, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot == s {
		return c.snapshotForms, nil
	}
	f, err := encodeForms(s)
	if err != nil {
		return encodedForms{}, err
	}
	c.snapshot, c.snapshotForms = s, f
	return f, nil
}

func (c *replyCache) encodeDelta(d *azurestair.SnapshotDelta) (encodedForms, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f, ok := c.deltaForms[d]; ok {
		return f, nil
	}
	f, err := encodeForms(d)
	if err != nil {
		return encodedForms{}, err
	}
	if c.deltaForms == nil || d.Revision != c.revision || c.deltaBytes+f.size() > maxDeltaBytes {
		c.deltaForms, c.deltaBytes, c.revision = map[*azurestair.SnapshotDelta]encodedForms{}, 0, d.Revision
	}
	c.deltaForms[d] = f
	c.deltaBytes += f.size()
	return f, nil
}
