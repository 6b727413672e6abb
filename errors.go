package azurestair

import "github.com/zeebo/errs"

// Sentinel errors, to be tested with errors.Is.
var (
	// ErrInvalid reports a value that failed validation.
	ErrInvalid = errs.New("invalid value")
	// ErrNotLeader reports that another instance, the leader, must handle the
	// call.
	ErrNotLeader = errs.New("not the leader")
	// ErrNoQuorum reports that a majority of the voters was not reached in
	// time.
	ErrNoQuorum = errs.New("no quorum")
	// ErrConflict reports a change that conflicts with the current state, for
	// example a compare-and-set on an outdated version.
	ErrConflict = errs.New("conflict")
	// ErrNotFound reports an unknown name or key.
	ErrNotFound = errs.New("not found")
	// ErrFull reports that a bounded store is full.
	ErrFull = errs.New("full")
	// ErrDeadline reports that the deadline passed before the call completed.
	ErrDeadline = errs.New("deadline passed")
	// ErrNoUpstream reports that no upstream can take the request at present.
	ErrNoUpstream = errs.New("no upstream available")
	// ErrClosed reports the use of a component after its shutdown.
	ErrClosed = errs.New("closed")
	// ErrCorrupt reports stored data that fails its checksum. At the end of the
	// log such data is not an error, because a crash can leave a torn write
	// there.
	ErrCorrupt = errs.New("corrupt data")
	// ErrNoIdentity reports a data directory that does not contain the identity
	// of this instance.
	ErrNoIdentity = errs.New("data folder has no identity")
	// ErrUnauthorized reports a missing or invalid token.
	ErrUnauthorized = errs.New("unauthorized")
	// ErrTooLarge reports input that exceeds a size limit.
	ErrTooLarge = errs.New("too large")
	// ErrVersion reports another instance whose protocol version is
	// incompatible with that of this program.
	ErrVersion = errs.New("protocol version not accepted")
	// ErrNoSpace reports a disk that takes no more data. The call can be repeated
	// later.
	ErrNoSpace = errs.New("no space left on the disk")
	// ErrOtherFleet reports an instance that belongs to another fleet.
	ErrOtherFleet = errs.New("instance of another fleet")
	// ErrUnknownRecord reports a record of the replicated log or its snapshot
	// that this program would apply differently from the program that wrote it.
	ErrUnknownRecord = errs.New("unknown record, written by a newer program")
)

// NotLeaderError is an ErrNotLeader that may identify the leader.
type NotLeaderError struct {
	Leader InstanceID
	// Addr is the peer address of the leader, if known.
	Addr string
}

// Error returns the error message.
func (e NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader; no leader is known"
	}
	return "not the leader; the leader is " + string(e.Leader)
}

// Is reports whether target is ErrNotLeader.
func (e NotLeaderError) Is(target error) bool { return target == ErrNotLeader }
