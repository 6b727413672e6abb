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

// packFrom is the size of an encoded update from which it is packed. Smaller
// ones are not worth the time.
const packFrom = 4 << 10

// encodedReply is a ReportReply whose update is encoded already: as it is, or
// packed for a program that reads that.
type encodedReply struct {
	azurestair.ReportReply
	Snapshot cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	Delta    cbor.RawMessage `cbor:"5,keyasint,omitempty"`
	// PackedSnapshot and PackedDelta stand for Snapshot and Delta, compressed
	// with flate.
	PackedSnapshot []byte `cbor:"10,keyasint,omitempty"`
	PackedDelta    []byte `cbor:"11,keyasint,omitempty"`
}

// open returns the reply with its update decoded and checked.
func (e encodedReply) open() (azurestair.ReportReply, error) {
	r := e.ReportReply
	var err error
	if r.Snapshot, err = openUpdate[azurestair.Snapshot](e.Snapshot, e.PackedSnapshot); err != nil {
		return azurestair.ReportReply{}, err
	}
	if r.Delta, err = openUpdate[azurestair.Delta](e.Delta, e.PackedDelta); err != nil {
		return azurestair.ReportReply{}, err
	}
	return r, r.Validate()
}

// openUpdate decodes an update in one of its forms; nil without one.
func openUpdate[T any](plain cbor.RawMessage, packed []byte) (*T, error) {
	data := []byte(plain)
	if len(packed) > 0 {
		var err error
		if data, err = unpack(packed); err != nil {
			return nil, err
		}
	}
	if len(data) == 0 {
		return nil, nil //nolint:nilnil // a reply may hold no update
	}
	v := new(T)
	return v, Codec{}.Unmarshal(data, v)
}

func pack(data []byte) ([]byte, error) {
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

// unpack returns the data, which may not be larger than a message.
func unpack(packed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), MaxMessageBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: packed update: %w", azurestair.ErrInvalid, err)
	}
	if len(data) > MaxMessageBytes {
		return nil, fmt.Errorf("%w: packed update of more than %d bytes", azurestair.ErrInvalid, MaxMessageBytes)
	}
	return data, nil
}

// encodings keeps the encoded forms of what many replies to reports share. A
// snapshot of 3,000 upstreams has 0.6 MB, and after a change of leader each of
// hundreds of instances asks for the same one: 180 MB took the leader's link for
// longer than its lease, so that the next leader began with the same. Packed it
// has an eighth. The zero value is ready.
type encodings struct {
	mu sync.Mutex
	// snapshot is the newest one that was asked for, deltas those of its revision.
	snapshot *azurestair.Snapshot
	whole    forms
	deltas   map[*azurestair.Delta]forms
	revision azurestair.Revision
}

// forms are the encoded forms of a value; packed is nil for a small one.
type forms struct {
	plain  cbor.RawMessage
	packed []byte
}

func formsOf(v any) (forms, error) {
	data, err := Codec{}.Marshal(v)
	if err != nil || len(data) < packFrom {
		return forms{plain: data}, err
	}
	packed, err := pack(data)
	return forms{plain: data, packed: packed}, err
}

// reply returns what to encode for a reply to an instance with a program of the
// given version. Snapshots and deltas are immutable.
func (e *encodings) reply(r azurestair.ReportReply, reader azurestair.ProtocolVersion) (encodedReply, error) {
	out := encodedReply{ReportReply: r}
	switch {
	case r.Snapshot != nil:
		f, err := e.ofSnapshot(r.Snapshot)
		out.Snapshot, out.PackedSnapshot = f.forReader(reader)
		return out, err
	case r.Delta != nil:
		f, err := e.ofDelta(r.Delta)
		out.Delta, out.PackedDelta = f.forReader(reader)
		return out, err
	}
	return out, nil
}

func (f forms) forReader(v azurestair.ProtocolVersion) (cbor.RawMessage, []byte) {
	if v >= azurestair.ProtocolPacked && f.packed != nil {
		return nil, f.packed
	}
	return f.plain, nil
}

// ofSnapshot holds the lock while it encodes, so that others wait for the
// result instead of making it again.
func (e *encodings) ofSnapshot(s *azurestair.Snapshot) (forms, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.snapshot == s {
		return e.whole, nil
	}
	f, err := formsOf(s)
	if err != nil {
		return forms{}, err
	}
	e.snapshot, e.whole = s, f
	return f, nil
}

func (e *encodings) ofDelta(d *azurestair.Delta) (forms, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f, ok := e.deltas[d]; ok {
		return f, nil
	}
	f, err := formsOf(d)
	if err != nil {
		return forms{}, err
	}
	if e.deltas == nil || d.Revision != e.revision {
		e.deltas, e.revision = map[*azurestair.Delta]forms{}, d.Revision
	}
	e.deltas[d] = f
	return f, nil
}
