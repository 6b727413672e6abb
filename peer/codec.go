package peer

import (
	"errors"
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

var (
	decMode = mustDecMode(cbor.ExtraDecErrorNone)
	// strictMode refuses unknown fields.
	strictMode = mustDecMode(cbor.ExtraDecErrorUnknownField)
)

func mustDecMode(extra cbor.ExtraDecErrorCond) cbor.DecMode {
	m, err := cbor.DecOptions{
		ExtraReturnErrors: extra,
		MaxArrayElements:  1 << 20,
		MaxMapPairs:       1 << 16,
		MaxNestedLevels:   32,
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
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

// UnmarshalRecord decodes a record of the replicated log or of its snapshot
// and checks it. An unknown field gives ErrUnknownRecord: a replica that
// ignored it would hold another state than the one that wrote it. The fields
// that are known are decoded all the same.
func (Codec) UnmarshalRecord(data []byte, v any) error {
	var unknown *cbor.UnknownFieldError
	switch err := strictMode.Unmarshal(data, v); {
	case errors.As(err, &unknown):
		return fmt.Errorf("%w: %w", azurestair.ErrUnknownRecord, err)
	case err != nil:
		return fmt.Errorf("%w: %w", azurestair.ErrInvalid, err)
	}
	return validate(v)
}

// Unmarshal decodes data into v and checks it.
func (Codec) Unmarshal(data []byte, v any) error {
	if r, ok := v.(*raw); ok {
		*r = slices.Clone(data)
		return nil
	}
	if err := decMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("%w: %w", azurestair.ErrInvalid, err)
	}
	return validate(v)
}

func validate(v any) error {
	if c, ok := v.(azurestair.Validator); ok {
		return c.Validate()
	}
	return nil
}
