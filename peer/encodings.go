package peer

import (
	"sync"

	"github.com/fxamacker/cbor/v2"

	"azurestair.example/azurestair"
)

// encodings keeps the encoded forms of what many replies to reports share. A
// snapshot of 3,000 upstreams has 0.6 MB, and after a change of leader each of
// hundreds of instances asks for the same one. The zero value is ready.
type encodings struct {
	mu sync.Mutex
	// snapshot and deltas are those of the newest revision asked for.
	snapshot *azurestair.Snapshot
	encoded  cbor.RawMessage
	deltas   map[*azurestair.Delta]cbor.RawMessage
	revision azurestair.Revision
}

// encodedReply is a ReportReply whose update is encoded already.
type encodedReply struct {
	azurestair.ReportReply
	Snapshot cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	Delta    cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// reply returns what to encode for a reply. Snapshots and deltas are immutable.
func (e *encodings) reply(r azurestair.ReportReply) (encodedReply, error) {
	out := encodedReply{ReportReply: r}
	var err error
	switch {
	case r.Snapshot != nil:
		out.Snapshot, err = e.ofSnapshot(r.Snapshot)
	case r.Delta != nil:
		out.Delta, err = e.ofDelta(r.Delta)
	}
	return out, err
}

// ofSnapshot holds the lock while it encodes, so that others wait for the
// result instead of making it again.
func (e *encodings) ofSnapshot(s *azurestair.Snapshot) (cbor.RawMessage, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.snapshot == s {
		return e.encoded, nil
	}
	data, err := Codec{}.Marshal(s)
	if err != nil {
		return nil, err
	}
	e.snapshot, e.encoded = s, data
	return data, nil
}

func (e *encodings) ofDelta(d *azurestair.Delta) (cbor.RawMessage, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if data, ok := e.deltas[d]; ok {
		return data, nil
	}
	data, err := Codec{}.Marshal(d)
	if err != nil {
		return nil, err
	}
	if e.deltas == nil || d.Revision != e.revision {
		e.deltas, e.revision = map[*azurestair.Delta]cbor.RawMessage{}, d.Revision
	}
	e.deltas[d] = data
	return data, nil
}
