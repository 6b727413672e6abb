package routing

import (
	"errors"

	"azurestair.example/azurestair"
)

// PickError reports that no upstream may take the work, and why.
// errors.Is finds azurestair.ErrNoUpstream in it.
type PickError struct {
	Reason azurestair.Reason
}

// Error returns the message.
func (e *PickError) Error() string {
	return azurestair.ErrNoUpstream.Error() + ": " + string(e.Reason)
}

// Unwrap returns azurestair.ErrNoUpstream.
func (e *PickError) Unwrap() error { return azurestair.ErrNoUpstream }

// The errors of Pick are shared values, so that a refusal allocates nothing.
var (
	errNoUpstream = &PickError{Reason: azurestair.ReasonNoUpstream}
	errShiftCap   = &PickError{Reason: azurestair.ReasonShiftCap}
	errSaturated  = &PickError{Reason: azurestair.ReasonSaturated}
)

// ErrorFor returns the error of a choice that failed for the reason.
func ErrorFor(r azurestair.Reason) error {
	switch r {
	case azurestair.ReasonNoUpstream:
		return errNoUpstream
	case azurestair.ReasonSaturated:
		return errSaturated
	}
	return &PickError{Reason: r}
}

// ReasonOf returns the reason that an error of Pick carries; an error of
// another kind counts as ReasonNoUpstream, and nil as ReasonNone.
func ReasonOf(err error) azurestair.Reason {
	if err == nil {
		return azurestair.ReasonNone
	}
	var pe *PickError
	if errors.As(err, &pe) {
		return pe.Reason
	}
	return azurestair.ReasonNoUpstream
}
