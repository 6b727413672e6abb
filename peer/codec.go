package peer

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"azurestair.example/azurestair"
)

// Codec encodes domain values as CBOR for gRPC and for stored records. It
// checks every decoded azurestair.Validator. The zero value works.
type Codec struct{}

// MaxMessageBytes bounds a message between two processes.
const MaxMessageBytes = 8 << 20

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 16,
		MaxNestedLevels:  32,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Name returns the codec's content subtype.
func (Codec) Name() string { return "cbor" }

// Marshal encodes v.
func (Codec) Marshal(v any) ([]byte, error) { return cbor.Marshal(v) }

// raw is an encoded message. A server decodes it itself: gRPC answers an error
// of the codec with a status that does not tell its kind.
type raw []byte

// Unmarshal decodes data into v and checks it.
func (Codec) Unmarshal(data []byte, v any) error {
	if r, ok := v.(*raw); ok {
		*r = slices.Clone(data)
		return nil
	}
	if err := decMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("%w: %w", azurestair.ErrInvalid, err)
	}
	if c, ok := v.(azurestair.Validator); ok {
		return c.Validate()
	}
	return nil
}
