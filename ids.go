package azurestair

import (
	"fmt"
	"regexp"
	"strings"
)

// MaxNameLen is the maximum length of a name in bytes.
const MaxNameLen = 64

// MaxKeyLen is the maximum length of an idempotency key in bytes.
const MaxKeyLen = 128

// MaxReasonLen is the maximum length of the reason of a change in bytes.
const MaxReasonLen = 512

type (
	// InstanceID identifies an instance of azurestair.
	InstanceID string
	// UpstreamID identifies an upstream process.
	UpstreamID string
	// ServiceName is the name of a group of interchangeable upstreams.
	ServiceName string
	// OperationName is the name of a kind of request within a service.
	OperationName string
	// RegionName is the name of a region.
	RegionName string
	// FailureDomainName is the name of a failure domain within a region.
	FailureDomainName string
	// CallerID identifies a caller for fair queueing: a name or a client block.
	CallerID string
	// OperatorName is the name of the operator that made a change.
	OperatorName string
	// RequestKey is the idempotency key of a request.
	RequestKey string
	// RequestID identifies a request or one of its attempts at an upstream.
	RequestID string
	// ChangeID identifies a change of the control state; a resend has the same
	// id.
	ChangeID string
	// Incarnation distinguishes the runs of a process; a later run has a larger
	// value.
	Incarnation uint64
	// Sequence orders the messages of a sender within an incarnation.
	Sequence uint64
	// ConfigVersion is the version of the fleet configuration; it increases
	// monotonically.
	ConfigVersion uint64
	// FleetID identifies a fleet: the instances that share one replicated log.
	// It is empty until the log holds a configuration that assigns it.
	FleetID string
	// Revision orders the snapshots that a leader publishes within a term.
	Revision uint64
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// CheckName returns an error if s is not a valid name. field is the name of the
// field in the error.
func CheckName(field, s string) error {
	if s == "" {
		return fmt.Errorf("%w: %s is empty", ErrInvalid, field)
	}
	if len(s) > MaxNameLen {
		return fmt.Errorf("%w: %s is longer than %d bytes", ErrInvalid, field, MaxNameLen)
	}
	if !namePattern.MatchString(s) {
		return fmt.Errorf("%w: %s %q may contain only letters, digits, '.', '_' and '-'", ErrInvalid, field, s)
	}
	return nil
}

// CheckReason returns an error if s is not a valid reason of a change.
func CheckReason(s string) error {
	if strings.TrimSpace(s) == "" {
		return fmt.Errorf("%w: reason is empty", ErrInvalid)
	}
	if len(s) > MaxReasonLen {
		return fmt.Errorf("%w: reason is longer than %d bytes", ErrInvalid, MaxReasonLen)
	}
	return nil
}

// Validate checks the key.
func (k RequestKey) Validate() error {
	if k == "" {
		return fmt.Errorf("%w: idempotency key is empty", ErrInvalid)
	}
	if len(k) > MaxKeyLen {
		return fmt.Errorf("%w: idempotency key is longer than %d bytes", ErrInvalid, MaxKeyLen)
	}
	for _, c := range []byte(k) {
		if c <= ' ' || c > '~' {
			return fmt.Errorf("%w: idempotency key contains a byte outside printable ASCII", ErrInvalid)
		}
	}
	return nil
}

// Validate checks the id, which may be empty.
func (f FleetID) Validate() error {
	if f == "" {
		return nil
	}
	return CheckName("fleet", string(f))
}

// Conflicts reports whether both ids are known and differ.
func (f FleetID) Conflicts(other FleetID) bool { return f != "" && other != "" && f != other }
