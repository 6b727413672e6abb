package retry

import (
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// maxTried limits the tried upstreams that a request records.
const maxTried = 8

// Request tracks the attempts of one request.
type Request struct {
	work        azurestair.RequestInfo
	attempts    int
	outstanding int
	mayHaveRun  bool
	tried       [maxTried]azurestair.UpstreamID
	numTried    int
}

// NewRequest returns a request without attempts.
func NewRequest(w azurestair.RequestInfo) Request { return Request{work: w} }

// Begin records an attempt that is about to be sent to an upstream.
func (r *Request) Begin(u azurestair.UpstreamID) {
	r.attempts++
	r.outstanding++
	if r.numTried < maxTried && !slices.Contains(r.Avoid(), u) {
		r.tried[r.numTried] = u
		r.numTried++
	}
}

// Avoid returns the upstreams that were tried, as input for Picker.Pick.
func (r *Request) Avoid() []azurestair.UpstreamID { return r.tried[:r.numTried] }

// Attempts returns the number of attempts that were begun.
func (r *Request) Attempts() int { return r.attempts }

// MayHaveRun reports whether an attempt that ended may have run, or one is in
// flight.
func (r *Request) MayHaveRun() bool { return r.mayHaveRun || r.outstanding > 0 }

// Refuse returns the decision for a request that gets no further attempt, for
// example because no upstream is available. The outcome is refused if no
// attempt can have run, and unknown otherwise. While an attempt is in flight
// the action is Wait, and the outcome applies to a caller that cannot wait.
func (r *Request) Refuse(reason azurestair.Reason) Decision {
	d := Decision{Action: Finish, Outcome: azurestair.OutcomeRefused, Reason: reason}
	if r.MayHaveRun() {
		d.Outcome = azurestair.OutcomeUnknown
	}
	if r.outstanding > 0 {
		d.Action = Wait
	}
	return d
}

// recordResult records the result of an attempt.
func (r *Request) recordResult(a azurestair.AttemptResult) {
	if r.outstanding > 0 {
		r.outstanding--
	}
	if a != azurestair.AttemptNotRun {
		r.mayHaveRun = true
	}
}

// isRepeatable reports whether the request may be sent again: it is idempotent,
// or no attempt can have run.
func (r *Request) isRepeatable() bool { return r.work.Idempotent || !r.MayHaveRun() }

// Action is what the entry does next.
type Action uint8

const (
	// Finish returns the outcome to the caller now.
	Finish Action = iota
	// Retry starts another attempt at Decision.At.
	Retry
	// Wait waits for another attempt of the request that is in flight.
	Wait
)

// Decision says what follows an attempt.
type Decision struct {
	Action Action
	// At is the start of the retry.
	At time.Time
	// TriedUpstreamAt is the earliest start of the retry if the picker can
	// offer only upstreams that were tried before.
	TriedUpstreamAt time.Time
	// Outcome and Reason are returned to the caller.
	Outcome azurestair.Outcome
	Reason  azurestair.Reason
}
