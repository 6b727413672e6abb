package azurestair

import (
	"context"
	"time"
)

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// Rand is a source of random numbers; *math/rand/v2.PCG is one.
type Rand interface {
	Uint64() uint64
}

// Validator is a value that checks itself after decoding.
type Validator interface {
	Validate() error
}

// LogStore keeps a replica's log. What Append and SaveSnapshot have returned
// for without error survives a crash. After an error the store is unusable.
type LogStore interface {
	// Append stores the hard state and the entries; an entry replaces a stored
	// one of the same index together with all that follow it.
	Append(hard HardState, entries []LogEntry) error
	// SaveSnapshot stores a snapshot and drops the entries that it covers. If
	// the snapshot lies beyond the stored log, it replaces the log.
	SaveSnapshot(meta SnapshotMeta, data []byte) error
	Close() error
}

// Transport sends messages between replicas; a message may be lost.
type Transport interface {
	Send(m RaftMessage)
}

// Proposer has the leader apply a command and returns its result. An error
// leaves open whether the command will be applied, except ErrNotLeader and
// ErrInvalid, after which it was not.
type Proposer interface {
	Propose(ctx context.Context, c Command) (Result, error)
}

// Reporter exchanges an instance's report for the leader's reply.
type Reporter interface {
	Report(ctx context.Context, r Report) (ReportReply, error)
}

// Picker chooses the upstream for an attempt. It is not safe for concurrent use.
type Picker interface {
	// Update takes over the upstreams of a service from a snapshot.
	Update(s *Snapshot, now time.Time)
	// Pick chooses an upstream, preferably none of avoid, and counts an attempt in flight.
	Pick(w Work, avoid []UpstreamID, now time.Time) (Choice, error)
	// Done ends an attempt. After AttemptTimeout the upstream's slot stays
	// counted until a later bound.
	Done(c Choice, r AttemptResult, latency time.Duration, now time.Time)
}

// Confirmer is a Picker that takes account of what upstreams say of themselves.
type Confirmer interface {
	// Confirm takes over what an answer, a probe or a direct announcement says
	// of an upstream's state.
	Confirm(id UpstreamID, state UpstreamState, now time.Time)
	// ProbeCandidates returns the upstreams to probe now, within the probe
	// budget; the slice is valid until the next call.
	ProbeCandidates(now time.Time) []UpstreamID
}

// Abandoner is a Picker that can end an attempt whose outcome says nothing
// about the upstream. If it was sent, its slot stays counted until a later bound.
type Abandoner interface {
	Abandon(c Choice, sent bool, elapsed time.Duration, now time.Time)
}

// Observation is what an attempt shows of an upstream beside its outcome.
type Observation struct {
	// Load is the upstream's own report; nil without one.
	Load *Load
	// Shed is true when the upstream refused the attempt itself.
	Shed bool
	// Unreachable is true when no connection could be opened.
	Unreachable bool
	// Gone is true when another process answers at the upstream's address.
	Gone bool
}

// IsFull reports whether the upstream said that all its slots are in use.
func (o Observation) IsFull(n Slots) bool { return o.Load != nil && o.Load.InFlight >= n }

// Observer is a Picker that takes account of observations. Observe comes
// before the end of the attempt.
type Observer interface {
	Observe(c Choice, o Observation, now time.Time)
}

// Sharer is a Picker that spreads a leased budget over the upstreams.
type Sharer interface {
	// SetShare takes over how many requests into a region may be in flight.
	SetShare(region RegionName, leased Slots, now time.Time)
}

// Configurer is an Admitter that takes over changed fleet defaults.
type Configurer interface {
	Configure(d Defaults, now time.Time)
}

// WorkID identifies a request within an Admitter.
type WorkID uint64

// Admission is the answer of an Admitter to an offer.
type Admission uint8

const (
	// Admitted means that the work may start now.
	Admitted Admission = iota + 1
	// Queued means that the work waits; a later Event admits or refuses it.
	Queued
	// Refused means that the work must not start.
	Refused
)

// AdmitEvent ends the wait of a queued request.
type AdmitEvent struct {
	ID        WorkID
	Admission Admission
	Reason    Reason
}

// Admitter decides which work may start. It is not safe for concurrent use.
// The caller collects Events after each call and at NextDeadline.
type Admitter interface {
	// SetSlots sets how many requests may be in progress at once.
	SetSlots(n Slots, now time.Time)
	// Offer asks to start work.
	Offer(id WorkID, w Work, now time.Time) (Admission, Reason)
	// Release ends admitted work.
	Release(w Work, now time.Time)
	// Cancel withdraws queued work.
	Cancel(id WorkID, now time.Time)
	// Events returns what happened to queued work since the last call; the
	// slice is valid until the next call.
	Events(now time.Time) []AdmitEvent
	// NextDeadline returns when Events must be called at the latest; zero if never.
	NextDeadline() time.Time
}
