package routing

import (
	"errors"
	"time"

	"azurestair.example/azurestair"
)

// PickError reports that no upstream may take the request, and why. It wraps
// azurestair.ErrNoUpstream.
type PickError struct {
	Reason azurestair.Reason
	// RetryAt is when an upstream takes requests again; zero if that is not
	// known.
	RetryAt time.Time
}

// Error describes the error.
func (e *PickError) Error() string {
	return azurestair.ErrNoUpstream.Error() + ": " + string(e.Reason)
}

// Unwrap returns azurestair.ErrNoUpstream.
func (e *PickError) Unwrap() error { return azurestair.ErrNoUpstream }

// The errors that Pick returns are shared values, so that a refusal does not
// allocate.
var (
	errNoUpstream = &PickError{Reason: azurestair.ReasonNoUpstream}
	errShiftCap   = &PickError{Reason: azurestair.ReasonShiftCap}
	errSaturated  = &PickError{Reason: azurestair.ReasonSaturated}
)

// ErrorFor returns the PickError for a reason.
func ErrorFor(r azurestair.Reason) error {
	switch r {
	case azurestair.ReasonNoUpstream:
		return errNoUpstream
	case azurestair.ReasonSaturated:
		return errSaturated
	}
	return &PickError{Reason: r}
}

// ReasonOf returns the reason of a PickError, ReasonNone for nil, and
// ReasonNoUpstream for any other error.
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

// RetryAtOf returns the RetryAt of a PickError, and the zero time for any other
// error.
func RetryAtOf(err error) time.Time {
	var pe *PickError
	if errors.As(err, &pe) {
		return pe.RetryAt
	}
	return time.Time{}
}
