package azurestair

import "time"

// Outcome is the outcome of a request as reported to the caller.
type Outcome string

const (
	// OutcomeDone means that the complete response of the upstream is returned.
	OutcomeDone Outcome = "done"
	// OutcomeRefused means that the request was refused and did not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeInProgress means that another request with the same key is in
	// progress, possibly at another entry.
	OutcomeInProgress Outcome = "inProgress"
	// OutcomeInvalid means that the request is malformed.
	OutcomeInvalid Outcome = "invalid"
)

// Reason is the reason why a request was not completed. The same value is used
// in responses, logs, metrics and on the status page.
type Reason string

// Reasons for refusals and unknown outcomes.
const (
	ReasonNone              Reason = ""
	ReasonQueueFull         Reason = "queueFull"
	ReasonCallerShare       Reason = "callerShare"
	ReasonDeadline          Reason = "deadline"
	ReasonNoUpstream        Reason = "noUpstream"
	ReasonSaturated         Reason = "upstreamsSaturated"
	ReasonPaused            Reason = "upstreamsPaused"
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
	ReasonShuttingDown      Reason = "shuttingDown"
	ReasonEntryLost         Reason = "entryLost"
	ReasonAnswerDropped     Reason = "answerNoLongerKept"

	ReasonWorkspaceKeyMissing Reason = "workspaceKeyMissing"
	ReasonWorkspaceKeyUnknown Reason = "workspaceKeyUnknown"
	ReasonKeysUnknown         Reason = "keysUnknown"
	ReasonHomeRegions         Reason = "noCommonHomeRegion"
	ReasonQuota               Reason = "quota"
	ReasonQuotaUnreachable    Reason = "quotaUnreachable"
)

// AttemptResult is the result of an attempt at an upstream.
type AttemptResult uint8

const (
	// AttemptDone means that the complete response was received.
	AttemptDone AttemptResult = iota
	// AttemptNotRun means that the attempt certainly did not run: there was no
	// connection, no byte was written or the upstream shed the request.
	AttemptNotRun
	// AttemptTimeout means that the deadline passed after bytes had been
	// written.
	AttemptTimeout
	// AttemptInterrupted means that the connection failed after bytes had been
	// written.
	AttemptInterrupted
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

// RequestInfo describes a request to the decision packages.
type RequestInfo struct {
	Service    ServiceName
	Operation  OperationName
	Rank       Rank
	Idempotent bool
	Caller     CallerID
	Deadline   time.Time
	// Object identifies the object that the request is about; zero means none.
	Object ObjectKey
	// HomeRegions lists the only regions in which the request may run; empty
	// means all regions.
	HomeRegions []RegionName
	// MaxAttempts is the maximum number of attempts; zero means that the retry
	// policy decides.
	MaxAttempts int
	// Workspace is the workspace of the caller's API key; empty if there is
	// none.
	Workspace WorkspaceName
}

// Choice is the upstream that a Picker has selected for an attempt.
type Choice struct {
	Upstream UpstreamID
	Addr     string
	Region   RegionName
	// CrossRegion is true if the upstream is outside the region of the entry.
	CrossRegion bool
	// Incarnation is the incarnation of the upstream that was chosen.
	Incarnation Incarnation
	// Trial is true if the attempt decides whether an ejected upstream is used
	// again.
	Trial bool
}
