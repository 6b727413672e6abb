package retry

import (
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// maxTried bounds the upstreams that a request remembers.
const maxTried = 8

// Request is what the attempts of one request add up to.
type Request struct {
	work        azurestair.Work
	attempts    int
	outstanding int
	mayHaveRun  bool
	tried       [maxTried]azurestair.UpstreamID
	numTried    int
}

// NewRequest returns a request without attempts.
func NewRequest(w azurestair.Work) Request { return Request{work: w} }

// Begin counts an attempt that is about to be sent to an upstream.
func (r *Request) Begin(u azurestair.UpstreamID) {
	r.attempts++
	r.outstanding++
	if r.numTried < maxTried && !slices.Contains(r.Avoid(), u) {
		r.tried[r.numTried] = u
		r.numTried++
	}
}

// Avoid returns the upstreams that were tried, for Picker.Pick.
func (r *Request) Avoid() []azurestair.UpstreamID { return r.tried[:r.numTried] }

// Attempts returns how many attempts were begun.
func (r *Request) Attempts() int { return r.attempts }

// MayHaveRun reports whether an ended attempt may have run, or one is in flight.
func (r *Request) MayHaveRun() bool { return r.mayHaveRun || r.outstanding > 0 }

// Refuse returns the truthful decision for a request that gets no further
// attempt, for example because no upstream is available: refused if no attempt
// can have run, unknown otherwise. While an attempt is in flight it says Wait,
// and the outcome is the one for a caller that cannot wait.
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

// end takes over the result of an attempt.
func (r *Request) end(a azurestair.AttemptResult) {
	if r.outstanding > 0 {
		r.outstanding--
	}
	if a != azurestair.AttemptNotRun {
		r.mayHaveRun = true
	}
}

// isRepeatable reports whether another attempt cannot make the request run twice.
func (r *Request) isRepeatable() bool { return r.work.Idempotent || !r.MayHaveRun() }

// Action says what the entry does next.
type Action uint8

const (
	// Finish means that the caller gets the outcome now.
	Finish Action = iota
	// Retry means that another attempt starts at a time.
	Retry
	// Wait means that another attempt of the request is still in flight.
	Wait
)

// Decision is what follows an attempt.
type Decision struct {
	Action Action
	// At is when the retry starts.
	At time.Time
	// SameAt is the earliest start if the picker has only upstreams that were
	// tried before.
	SameAt time.Time
	// Outcome and Reason are what the caller gets.
	Outcome azurestair.Outcome
	Reason  azurestair.Reason
}
