package azurestair

import (
	"context"
	"time"
)

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// LeaseClock is the clock of leases. Its time also advances while the machine is
// suspended, which the monotonic clock does not count: a process that resumes
// would otherwise trust a lease that others consider over.
//
// Its times must be compared with each other only. They are no deadlines of
// sockets, contexts and timers, which follow the monotonic clock, and they are
// ahead of the time of day by SuspendedFor.
type LeaseClock interface {
	Clock
	// SuspendedFor returns for how long the machine has been suspended since the
	// process started.
	SuspendedFor() time.Duration
}

// Rand is a source of random numbers. *math/rand/v2.PCG implements it.
type Rand interface {
	Uint64() uint64
}

// Validator is implemented by types that are validated after decoding.
type Validator interface {
	Validate() error
}

// LogStore stores the log of a replica. Data is durable once Append or
// SaveSnapshot has returned without an error. After an error the store must not
// be used, except after ErrNoSpace: the caller then repeats the call until it
// succeeds, and makes no other one before.
type LogStore interface {
	// Append stores the hard state and the entries. An entry replaces a stored
	// entry with the same index and all entries after it.
	Append(hard HardState, entries []LogEntry) error
	// SaveSnapshot stores a snapshot and deletes the log entries that it
	// covers. If the snapshot index is after the last stored entry, it deletes
	// all entries.
	SaveSnapshot(meta SnapshotMeta, data []byte) error
	Close() error
}

// Transport sends messages between replicas. Messages may be lost.
type Transport interface {
	Send(m RaftMessage)
}

// Proposer proposes a command to the leader and returns its result. After an
// error it is unknown whether the command will be applied, except after
// ErrNotLeader and ErrInvalid, which mean that it will not.
type Proposer interface {
	Propose(ctx context.Context, c Command) (Result, error)
}

// Reporter sends an instance's report to the leader and returns the reply.
type Reporter interface {
	Report(ctx context.Context, r Report) (ReportReply, error)
}

// Picker selects the upstream for an attempt. It is not safe for concurrent
// use.
type Picker interface {
	// Update applies the upstreams of the service in the snapshot.
	Update(s *Snapshot, now time.Time)
	// Pick selects an upstream, if possible one that is not in avoid, and
	// counts an attempt in flight.
	Pick(w RequestInfo, avoid []UpstreamID, now time.Time) (Choice, error)
	// Done ends an attempt. After AttemptTimeout the slot of the attempt
	// remains counted for a limited time, because the upstream may still be
	// processing it.
	Done(c Choice, r AttemptResult, latency time.Duration, now time.Time)
}

// ConfirmingPicker is implemented by a Picker that uses the state that
// upstreams report.
type ConfirmingPicker interface {
	// Confirm applies the state of an upstream from a response, a probe or a
	// direct announcement.
	Confirm(id UpstreamID, state UpstreamState, now time.Time)
	// ProbeCandidates returns the upstreams to be probed now, within the probe
	// budget. The slice is valid until the next call.
	ProbeCandidates(now time.Time) []UpstreamID
}

// AbandoningPicker is implemented by a Picker that can end an attempt whose
// outcome shows nothing about the upstream. If the attempt was sent, its slot
// remains counted for a limited time, because the upstream may still be
// processing it.
type AbandoningPicker interface {
	Abandon(c Choice, sent bool, elapsed time.Duration, now time.Time)
}

// Observation is information about an upstream from an attempt, in addition to
// the result.
type Observation struct {
	// Load is the load reported by the upstream; nil if there is none.
	Load *Load
	// Shed is true if the upstream refused the attempt.
	Shed bool
	// Unreachable is true if no connection could be opened.
	Unreachable bool
	// ConnLost is true if the upstream closed or reset the connection before it
	// responded.
	ConnLost bool
	// ConnectedAt is when the connection was opened on which the upstream
	// responded; zero if it did not respond.
	ConnectedAt time.Time
	// AddressReused is true if another process responds at the upstream's
	// address.
	AddressReused bool
	// Leaving is true if the upstream has said that it is leaving.
	Leaving bool
	// PausedUntil is the time until which the upstream has asked for no
	// requests; zero if it has not.
	PausedUntil time.Time
}

// IsFull reports whether the upstream has reported that all of its n slots are
// in use.
func (o Observation) IsFull(n Slots) bool { return o.Load != nil && o.Load.InFlight >= n }

// ObservingPicker is implemented by a Picker that uses observations. Observe is
// called before the attempt ends.
type ObservingPicker interface {
	Observe(c Choice, o Observation, now time.Time)
}

// CountingPicker is a Picker that counts the requests for each object.
type CountingPicker interface {
	Picker
	// ObjectTraffic returns rates of the counted objects. Successive calls
	// return different objects if there are more than MaxReportedObjects.
	ObjectTraffic(now time.Time) []ObjectTraffic
}

// BudgetedPicker is implemented by a Picker that distributes a leased budget
// over the upstreams.
type BudgetedPicker interface {
	// SetBudget sets the number of requests into a region that may be in
	// flight.
	SetBudget(region RegionName, leased Slots, now time.Time)
}

// Configurer is implemented by an Admitter that applies changed fleet defaults.
type Configurer interface {
	Configure(d Defaults, now time.Time)
}

// AdmissionID identifies a request in an Admitter.
type AdmissionID uint64

// Admission is the decision of an Admitter on a request.
type Admission uint8

const (
	// Admitted means that the request may start.
	Admitted Admission = iota + 1
	// Queued means that the request waits. A later AdmissionEvent admits or
	// refuses it.
	Queued
	// Refused means that the request must not start.
	Refused
)

// AdmissionEvent is the final decision on a queued request.
type AdmissionEvent struct {
	ID        AdmissionID
	Admission Admission
	Reason    Reason
}

// Admitter decides which requests may start. It is not safe for concurrent use.
// The caller must collect Events after each call and at NextDeadline.
type Admitter interface {
	// SetSlots sets the maximum number of requests in progress.
	SetSlots(n Slots, now time.Time)
	// Offer admits, queues or refuses a request.
	Offer(id AdmissionID, w RequestInfo, now time.Time) (Admission, Reason)
	// Release ends an admitted request.
	Release(w RequestInfo, now time.Time)
	// Cancel removes a queued request.
	Cancel(id AdmissionID, now time.Time)
	// Events returns the decisions on queued requests since the last call. The
	// slice is valid until the next call.
	Events(now time.Time) []AdmissionEvent
	// NextDeadline returns the latest time at which Events must be called, or
	// the zero time if there is none.
	NextDeadline() time.Time
}
