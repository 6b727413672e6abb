package peer

import (
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"azurestair.example/azurestair"
)

// Codec encodes domain values as CBOR for gRPC and for stored records. It
// validates every decoded azurestair.Validator. The zero value is ready to use.
type Codec struct{}

// MaxMessageBytes is the maximum size of a message between two processes.
const MaxMessageBytes = 8 << 20

var (
	decMode = mustDecMode(cbor.ExtraDecErrorNone)
	// strictMode rejects unknown fields.
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

// rawMessage is an encoded message. The server decodes it itself, because gRPC
// maps every codec error to the same status code.
type rawMessage []byte

// UnmarshalRecord decodes and validates a record of the replicated log or of
// its snapshot. It returns ErrUnknownRecord for an unknown field: a replica
// that ignored the field would diverge from the one that wrote it. The known
// fields are decoded in that case too.
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

// Unmarshal decodes data into v and validates it.
func (Codec) Unmarshal(data []byte, v any) error {
	if r, ok := v.(*rawMessage); ok {
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
