package azurestair

import (
	"fmt"
	"regexp"
	"strings"
)

// MaxNameLen is the longest accepted identifier in bytes.
const MaxNameLen = 64

// MaxKeyLen is the longest accepted idempotency key in bytes.
const MaxKeyLen = 128

// MaxReasonLen is the longest accepted written reason in bytes.
const MaxReasonLen = 512

type (
	// InstanceID names one instance of azurestair.
	InstanceID string
	// UpstreamID names one upstream process.
	UpstreamID string
	// ServiceName names a group of interchangeable upstreams.
	ServiceName string
	// OperationName names a kind of request within a service.
	OperationName string
	// RegionName names a region.
	RegionName string
	// FailureDomainName names a failure domain within a region.
	FailureDomainName string
	// CallerID identifies a caller for fair sharing: a name or a client block.
	CallerID string
	// OperatorName names the operator that made a change.
	OperatorName string
	// RequestKey is the idempotency key that a caller gives a request.
	RequestKey string
	// RequestID identifies one attempt of a request at an upstream.
	RequestID string
	// ChangeID identifies a change of the control state across resends.
	ChangeID string
	// Incarnation tells the runs of one process apart; a later run has a larger value.
	Incarnation uint64
	// Sequence orders the messages of one sender within an incarnation.
	Sequence uint64
	// ConfigVersion is the version of the fleet configuration; it only grows.
	ConfigVersion uint64
	// Revision orders the snapshots that a leader publishes within its term.
	Revision uint64
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// CheckName reports whether s is a valid identifier; field names it in the error.
func CheckName(field, s string) error {
	if s == "" {
		return fmt.Errorf("%w: %s is empty", ErrInvalid, field)
	}
	if len(s) > MaxNameLen {
		return fmt.Errorf("%w: %s is longer than %d bytes", ErrInvalid, field, MaxNameLen)
	}
	if !namePattern.MatchString(s) {
		return fmt.Errorf("%w: %s %q may hold letters, digits, '.', '_' and '-' only", ErrInvalid, field, s)
	}
	return nil
}

// CheckReason reports whether s is an acceptable written reason.
func CheckReason(s string) error {
	if strings.TrimSpace(s) == "" {
		return fmt.Errorf("%w: reason is empty", ErrInvalid)
	}
	if len(s) > MaxReasonLen {
		return fmt.Errorf("%w: reason is longer than %d bytes", ErrInvalid, MaxReasonLen)
	}
	return nil
}

// Validate reports whether the key is usable as an idempotency key.
func (k RequestKey) Validate() error {
	if k == "" {
		return fmt.Errorf("%w: idempotency key is empty", ErrInvalid)
	}
	if len(k) > MaxKeyLen {
		return fmt.Errorf("%w: idempotency key is longer than %d bytes", ErrInvalid, MaxKeyLen)
	}
	for _, c := range []byte(k) {
		if c <= ' ' || c > '~' {
			return fmt.Errorf("%w: idempotency key holds a byte outside printable ASCII", ErrInvalid)
		}
	}
	return nil
}
