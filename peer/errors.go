package peer

import (
	"context"
	"errors"
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azurestair.example/azurestair"
)

// notLeaderPrefix starts the status message of an ErrNotLeader; the leader's id
// and address follow.
const notLeaderPrefix = "notLeader:"

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
	// A NotLeaderError has this code too, and a message with its prefix.
	{codes.FailedPrecondition, azurestair.ErrClosed},
	// gRPC itself answers a call of an unknown method with this code.
	{codes.Unimplemented, azurestair.ErrVersion},
	// The receiver of a command that it does not know has too old a version.
	{codes.Unimplemented, azurestair.ErrUnknownRecord},
}

// toStatus turns an error of a Handler into a gRPC status.
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

// fromStatus turns a gRPC status into the project's errors.
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
			return wrapped{msg: s.Message(), kind: c.err}
		}
	}
	return err
}

// wrapped is a remote error of a known kind.
type wrapped struct {
	msg  string
	kind error
}

func (w wrapped) Error() string { return w.msg }
func (w wrapped) Unwrap() error { return w.kind }
