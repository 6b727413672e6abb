package azurestair

import "fmt"

// ClaimState is the state of a claim in the ledger.
type ClaimState string

const (
	// ClaimHeld means that the claiming entry may send the request until the
	// deadline of the claim.
	ClaimHeld ClaimState = "held"
	// ClaimDone means that the response is recorded.
	ClaimDone ClaimState = "done"
	// ClaimNotRun means that the claiming entry has recorded that the request
	// did not run. The key may be claimed again.
	ClaimNotRun ClaimState = "notRun"
	// ClaimUnknown means that the request may have run. It is never sent again.
	ClaimUnknown ClaimState = "unknown"
)

// MaxRecordedAnswer is the size of the largest response body that the ledger
// stores.
const MaxRecordedAnswer Bytes = 16 << 10

// Answer is the response of an upstream as stored in the ledger.
type Answer struct {
	Status int               `cbor:"status" json:"status"`
	Header map[string]string `cbor:"header,omitempty" json:"header,omitempty"`
	Body   []byte            `cbor:"body,omitempty" json:"body,omitempty"`
	// Dropped is true if the body was too large to store or has been evicted.
	Dropped bool `cbor:"dropped,omitempty" json:"dropped,omitempty"`
}

// Claim requests the right to send a non-idempotent request.
type Claim struct {
	Service   ServiceName   `cbor:"service" json:"service"`
	Operation OperationName `cbor:"operation" json:"operation"`
	Key       RequestKey    `cbor:"key" json:"key"`
	// Workspace is the scope of the key; empty for requests without a workspace.
	Workspace   WorkspaceName `cbor:"workspace,omitempty" json:"workspace,omitempty"`
	Fingerprint []byte        `cbor:"fingerprint" json:"fingerprint"`
	Instance    InstanceID    `cbor:"instance" json:"instance"`
	Incarnation Incarnation   `cbor:"incarnation" json:"incarnation"`
	// Attempt distinguishes the claims of one entry under the same key. An
	// entry assigns a new number to each request that it handles; a resent
	// claim has the number of the original.
	Attempt uint64 `cbor:"attempt" json:"attempt"`
	// Deadline is the caller's deadline, after which the holder must not send
	// the request. The entry sets it by its own clock. In the log it is a time
	// of the leader's clock; see ConvertDeadline.
	Deadline UnixMillis `cbor:"deadline" json:"deadline"`
	// RemainingMs is the time that remains until the deadline when the entry
	// sends the claim. Older programs do not set it. It is transmitted beside
	// the record and not in it, because a leader rejects records with unknown
	// fields.
	RemainingMs Millis `cbor:"-" json:"-"`
}

// ConvertDeadline converts the deadline to the leader's clock, whose time is
// now. The state machine compares deadlines with the leader's clock, and the
// clock of the entry may be wrong. The new deadline is late by the milliseconds
// that the claim took to reach the leader, and never early.
func (c *Claim) ConvertDeadline(now UnixMillis) {
	if c.RemainingMs > 0 {
		c.Deadline, c.RemainingMs = now.Add(c.RemainingMs), 0
	}
}

// Validate checks the claim.
func (c Claim) Validate() error {
	if err := CheckName("service", string(c.Service)); err != nil {
		return err
	}
	if err := CheckName("operation", string(c.Operation)); err != nil {
		return err
	}
	if err := c.Key.Validate(); err != nil {
		return err
	}
	if err := c.Workspace.validateScope(); err != nil {
		return err
	}
	if len(c.Fingerprint) > 64 {
		return fmt.Errorf("%w: claim fingerprint is longer than 64 bytes", ErrInvalid)
	}
	if c.Deadline <= 0 {
		return fmt.Errorf("%w: claim has no deadline", ErrInvalid)
	}
	return CheckName("instance", string(c.Instance))
}

// ClaimCompletion records the final state of a claim. It is sent by the entry
// that holds the claim.
type ClaimCompletion struct {
	Service ServiceName `cbor:"service" json:"service"`
	Key     RequestKey  `cbor:"key" json:"key"`
	// Workspace is the scope of the key, as in the claim.
	Workspace   WorkspaceName `cbor:"workspace,omitempty" json:"workspace,omitempty"`
	Instance    InstanceID    `cbor:"instance" json:"instance"`
	Incarnation Incarnation   `cbor:"incarnation" json:"incarnation"`
	Attempt     uint64        `cbor:"attempt" json:"attempt"`
	State       ClaimState    `cbor:"state" json:"state"`
	Answer      *Answer       `cbor:"answer,omitempty" json:"answer,omitempty"`
}

// Validate checks the completion.
func (f ClaimCompletion) Validate() error {
	switch f.State {
	case ClaimDone, ClaimNotRun, ClaimUnknown:
	default:
		return fmt.Errorf("%w: claim state %q; allowed are done, notRun and unknown", ErrInvalid, f.State)
	}
	if f.State == ClaimDone && f.Answer == nil {
		return fmt.Errorf("%w: claim in state done has no answer", ErrInvalid)
	}
	if f.Answer != nil && Bytes(len(f.Answer.Body)) > MaxRecordedAnswer {
		return fmt.Errorf("%w: recorded answer body is larger than %d bytes", ErrInvalid, MaxRecordedAnswer)
	}
	if err := f.Key.Validate(); err != nil {
		return err
	}
	if err := f.Workspace.validateScope(); err != nil {
		return err
	}
	return CheckName("service", string(f.Service))
}

// ClaimRecord is the record of a key in the ledger.
type ClaimRecord struct {
	Claim  Claim      `cbor:"claim" json:"claim"`
	State  ClaimState `cbor:"state" json:"state"`
	Answer *Answer    `cbor:"answer,omitempty" json:"answer,omitempty"`
}

// Validate checks the record.
func (r ClaimRecord) Validate() error { return r.Claim.Validate() }
