package azurestair

import "time"

// Outcome is what a caller learns about its request.
type Outcome string

const (
	// OutcomeDone carries the upstream's whole answer.
	OutcomeDone Outcome = "done"
	// OutcomeRefused says that the request was refused and did not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown says that the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeInProgress says that another entry or request is working under the same key.
	OutcomeInProgress Outcome = "inProgress"
	// OutcomeInvalid says that the request itself is malformed.
	OutcomeInvalid Outcome = "invalid"
)

// Reason says why a request was not done. The same name appears in answers,
// logs, metrics and the status page.
type Reason string

// Reasons for refusals and unknown outcomes.
const (
	ReasonNone              Reason = ""
	ReasonQueueFull         Reason = "queueFull"
	ReasonCallerShare       Reason = "callerShare"
	ReasonDeadline          Reason = "deadline"
	ReasonNoUpstream        Reason = "noUpstream"
	ReasonSaturated         Reason = "upstreamsSaturated"
	ReasonLinkFull          Reason = "entryLinkFull"
	ReasonShiftCap          Reason = "shiftCap"
	ReasonLinkBudget        Reason = "linkBudget"
	ReasonShed              Reason = "upstreamShed"
	ReasonConnect           Reason = "connectFailed"
	ReasonBroken            Reason = "connectionBroken"
	ReasonTimeout           Reason = "upstreamTimeout"
	ReasonCallerLeft        Reason = "callerLeft"
	ReasonLedgerUnreachable Reason = "ledgerUnreachable"
	ReasonLedgerFull        Reason = "ledgerFull"
	ReasonInProgress        Reason = "inProgress"
	ReasonKeyReused         Reason = "keyReusedForOtherRequest"
	ReasonKeyMissing        Reason = "keyMissing"
	ReasonUnknownOperation  Reason = "unknownOperation"
	ReasonBadRequest        Reason = "badRequest"
	ReasonBodyTooLarge      Reason = "bodyTooLarge"
	ReasonNotReady          Reason = "notReady"
	ReasonEntryLost         Reason = "entryLost"
	ReasonAnswerDropped     Reason = "answerNoLongerKept"
)

// AttemptResult classifies one attempt at an upstream.
type AttemptResult uint8

const (
	// AttemptDone means that the whole answer arrived.
	AttemptDone AttemptResult = iota
	// AttemptNotRun means that the attempt provably did not run: no
	// connection, no byte written, or the upstream's own shed answer.
	AttemptNotRun
	// AttemptTimeout means that the deadline passed after bytes were written.
	AttemptTimeout
	// AttemptBroken means that the connection failed after bytes were written.
	AttemptBroken
)

// String returns the name of the result.
func (r AttemptResult) String() string {
	switch r {
	case AttemptDone:
		return "done"
	case AttemptNotRun:
		return "notRun"
	case AttemptTimeout:
		return "timeout"
	default:
		return "broken"
	}
}

// Work describes one request to the decision packages.
type Work struct {
	Service    ServiceName
	Operation  OperationName
	Rank       Rank
	Idempotent bool
	Caller     CallerID
	Deadline   time.Time
	// Object is what the request concerns; zero means nothing in particular.
	Object ObjectKey
	// Homes are the only regions that may run the request; empty means all.
	Homes []RegionName
	// MaxAttempts bounds the attempts; zero leaves it to the retry policy.
	MaxAttempts int
}

// Choice is the upstream that a Picker chose for an attempt.
type Choice struct {
	Upstream UpstreamID
	Addr     string
	Region   RegionName
	// Shift is true when the upstream lies outside the region of the entry.
	Shift bool
}
