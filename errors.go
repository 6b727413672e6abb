package azurestair

import "github.com/zeebo/errs"

// Sentinel errors; callers test them with errors.Is.
var (
	// ErrInvalid reports a value that failed its own checks.
	ErrInvalid = errs.New("invalid value")
	// ErrNotLeader reports that another instance must handle the call.
	ErrNotLeader = errs.New("not the leader")
	// ErrNoQuorum reports that a majority of voters could not be reached in time.
	ErrNoQuorum = errs.New("no quorum")
	// ErrConflict reports a change that does not fit the present state, for
	// example a compare-and-set on a version that is no longer current.
	ErrConflict = errs.New("conflict")
	// ErrNotFound reports a name or key that is not known.
	ErrNotFound = errs.New("not found")
	// ErrFull reports that a bounded store has no room.
	ErrFull = errs.New("full")
	// ErrDeadline reports that a deadline passed first.
	ErrDeadline = errs.New("deadline passed")
	// ErrNoUpstream reports that no upstream may take the work now.
	ErrNoUpstream = errs.New("no upstream available")
	// ErrClosed reports use of a component after its shutdown.
	ErrClosed = errs.New("closed")
	// ErrCorrupt reports stored data that fails its checksum away from the end of the log.
	ErrCorrupt = errs.New("corrupt data")
	// ErrNoIdentity reports a data folder that does not hold the identity of this instance.
	ErrNoIdentity = errs.New("data folder has no identity")
	// ErrUnauthorized reports a missing or wrong token.
	ErrUnauthorized = errs.New("unauthorized")
	// ErrTooLarge reports input beyond a size limit.
	ErrTooLarge = errs.New("too large")
	// ErrVersion reports another instance whose protocol version does not fit this program's.
	ErrVersion = errs.New("protocol version not accepted")
	// ErrUnknownRecord reports a record of the replicated log or of its snapshot
	// that this program would not apply as the program that wrote it.
	ErrUnknownRecord = errs.New("unknown record, written by a newer program")
)

// NotLeaderError is an ErrNotLeader that may name the leader.
type NotLeaderError struct {
	Leader InstanceID
	// Addr is where the leader accepts peers, if known.
	Addr string
}

// Error describes the error.
func (e NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader; no leader is known"
	}
	return "not the leader; the leader is " + string(e.Leader)
}

// Is reports whether target is ErrNotLeader.
func (e NotLeaderError) Is(target error) bool { return target == ErrNotLeader }
