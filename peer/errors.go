package peer

import (
	"context"
	"errors"
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azurestair.example/azurestair"
)

// notLeaderPrefix starts the status message of an ErrNotLeader. The leader's ID
// and address follow.
const notLeaderPrefix = "notLeader:"

// codeErrors maps sentinel errors to gRPC status codes and back. The first
// error listed for a code is the one that the code is converted to.
var codeErrors = []struct {
	code codes.Code
	err  error
}{
	{codes.InvalidArgument, azurestair.ErrInvalid},
	{codes.ResourceExhausted, azurestair.ErrFull},
	{codes.Unavailable, azurestair.ErrNoQuorum},
	{codes.DeadlineExceeded, azurestair.ErrDeadline},
	{codes.Aborted, azurestair.ErrConflict},
	{codes.NotFound, azurestair.ErrNotFound},
	{codes.Unauthenticated, azurestair.ErrUnauthorized},
	{codes.OutOfRange, azurestair.ErrTooLarge},
	{codes.PermissionDenied, azurestair.ErrOtherFleet},
	// NotLeaderError has the same code, but a message that starts with
	// notLeaderPrefix.
	{codes.FailedPrecondition, azurestair.ErrClosed},
	// gRPC itself returns this code for an unknown method.
	{codes.Unimplemented, azurestair.ErrVersion},
	// A receiver that does not know a command runs an older version than the
	// sender.
	{codes.Unimplemented, azurestair.ErrUnknownRecord},
}

// toStatus converts an error of a Handler to a gRPC status.
func toStatus(err error) error {
	if err == nil {
		return nil
	}
	var notLeader azurestair.NotLeaderError
	if errors.As(err, &notLeader) {
		return status.Error(codes.FailedPrecondition, notLeaderPrefix+string(notLeader.Leader)+" "+notLeader.Addr)
	}
	if errors.Is(err, azurestair.ErrNotLeader) {
		return status.Error(codes.FailedPrecondition, notLeaderPrefix)
	}
	for _, c := range codeErrors {
		if errors.Is(err, c.err) {
			return status.Error(c.code, err.Error())
		}
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return status.FromContextError(err).Err()
	}
	return status.Error(codes.Internal, err.Error())
}

// fromStatus converts a gRPC status to the errors of package azurestair.
func fromStatus(err error) error {
	if err == nil {
		return nil
	}
	s, ok := status.FromError(err)
	if !ok {
		return err
	}
	if hint, ok := strings.CutPrefix(s.Message(), notLeaderPrefix); ok && s.Code() == codes.FailedPrecondition {
		leader, addr, _ := strings.Cut(hint, " ")
		return azurestair.NotLeaderError{Leader: azurestair.InstanceID(leader), Addr: addr}
	}
	for _, c := range codeErrors {
		if c.code == s.Code() {
			return remoteError{msg: s.Message(), kind: c.err}
		}
	}
	return err
}

// remoteError is an error from another instance that wraps a sentinel error.
type remoteError struct {
	msg  string
	kind error
}

func (e remoteError) Error() string { return e.msg }
func (e remoteError) Unwrap() error { return e.kind }
