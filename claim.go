package azurestair

import "fmt"

// ClaimState is the state of a claim in the ledger.
type ClaimState string

const (
	// ClaimHeld means that the named entry may send the request until its send-by deadline.
	ClaimHeld ClaimState = "held"
	// ClaimDone means that the answer is recorded.
	ClaimDone ClaimState = "done"
	// ClaimNotRun means that the claiming entry recorded that the request did not run; it may be claimed again.
	ClaimNotRun ClaimState = "notRun"
	// ClaimUnknown means that the request may have run; it is never sent again.
	ClaimUnknown ClaimState = "unknown"
)

// MaxKeptAnswer is the largest answer body that the ledger keeps.
const MaxKeptAnswer Bytes = 16 << 10

// Answer is an upstream's answer as the ledger records it.
type Answer struct {
	Status int               `cbor:"status" json:"status"`
	Header map[string]string `cbor:"header,omitempty" json:"header,omitempty"`
	Body   []byte            `cbor:"body,omitempty" json:"body,omitempty"`
	// Dropped is true when the body was too large to keep or was evicted.
	Dropped bool `cbor:"dropped,omitempty" json:"dropped,omitempty"`
}

// Claim asks the ledger for the right to send a non-idempotent request.
type Claim struct {
	Service     ServiceName   `cbor:"service" json:"service"`
	Operation   OperationName `cbor:"operation" json:"operation"`
	Key         RequestKey    `cbor:"key" json:"key"`
	Fingerprint []byte        `cbor:"fingerprint" json:"fingerprint"`
	Instance    InstanceID    `cbor:"instance" json:"instance"`
	Incarnation Incarnation   `cbor:"incarnation" json:"incarnation"`
	// Attempt tells the claims of one entry under the same key apart. An entry
	// gives each request that it handles a new number, and a resend of the
	// same claim carries the same one.
	Attempt uint64 `cbor:"attempt" json:"attempt"`
	// Deadline is the caller's deadline by the clock of the entry, and in the log
	// by that of the leader; the holder must not send after it.
	Deadline UnixMillis `cbor:"deadline" json:"deadline"`
	// LeftMs is what is left until the deadline when the entry sends the claim;
	// zero from programs that do not say so. It is no part of the record: it goes
	// beside it, since a leader refuses records with fields that it does not know.
	LeftMs Millis `cbor:"-" json:"-"`
}

// SetDeadline sets the deadline by the leader's clock, on which the log judges
// it, since the entry's clock may be off. The way to the leader makes it late by
// milliseconds, never early.
func (c *Claim) SetDeadline(now UnixMillis) {
	if c.LeftMs > 0 {
		c.Deadline, c.LeftMs = now.Add(c.LeftMs), 0
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
	if len(c.Fingerprint) > 64 {
		return fmt.Errorf("%w: claim fingerprint is longer than 64 bytes", ErrInvalid)
	}
	if c.Deadline <= 0 {
		return fmt.Errorf("%w: claim has no deadline", ErrInvalid)
	}
	return CheckName("instance", string(c.Instance))
}

// ClaimFinish records the end of a claim by the entry that holds it.
type ClaimFinish struct {
	Service     ServiceName `cbor:"service" json:"service"`
	Key         RequestKey  `cbor:"key" json:"key"`
	Instance    InstanceID  `cbor:"instance" json:"instance"`
	Incarnation Incarnation `cbor:"incarnation" json:"incarnation"`
	Attempt     uint64      `cbor:"attempt" json:"attempt"`
	State       ClaimState  `cbor:"state" json:"state"`
	Answer      *Answer     `cbor:"answer,omitempty" json:"answer,omitempty"`
}

// Validate checks the record.
func (f ClaimFinish) Validate() error {
	switch f.State {
	case ClaimDone, ClaimNotRun, ClaimUnknown:
	default:
		return fmt.Errorf("%w: claim state %q; allowed are done, notRun and unknown", ErrInvalid, f.State)
	}
	if f.State == ClaimDone && f.Answer == nil {
		return fmt.Errorf("%w: a done claim needs its answer", ErrInvalid)
	}
	if f.Answer != nil && Bytes(len(f.Answer.Body)) > MaxKeptAnswer {
		return fmt.Errorf("%w: recorded answer body is larger than %d bytes", ErrInvalid, MaxKeptAnswer)
	}
	if err := f.Key.Validate(); err != nil {
		return err
	}
	return CheckName("service", string(f.Service))
}

// ClaimRecord is the ledger's entry for a key.
type ClaimRecord struct {
	Claim  Claim      `cbor:"claim" json:"claim"`
	State  ClaimState `cbor:"state" json:"state"`
	Answer *Answer    `cbor:"answer,omitempty" json:"answer,omitempty"`
}

// Validate checks the record.
func (r ClaimRecord) Validate() error { return r.Claim.Validate() }
