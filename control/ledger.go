package control

import (
	"bytes"
	"fmt"

	"azurestair.example/azurestair"
)

const (
	// MaxClaims bounds the records of the ledger.
	MaxClaims = 200_000
	// MaxAnswerBytes bounds the total size of the stored answers.
	MaxAnswerBytes azurestair.Bytes = 32 << 20
	// ClaimRetention is how long a record is kept after its deadline, so that a
	// late retry by a caller finds it.
	ClaimRetention azurestair.Millis = 3_600_000
	// DeadlineMargin is how long after the deadline of a claim its record stays
	// held. Only after that does another claim mark it as unknown. The margin
	// covers the clock difference between the leader and the entry, whose
	// answer would otherwise arrive slightly too late.
	DeadlineMargin azurestair.Millis = 1_000
	// expiriesPerCommand bounds the records that one command removes. More than
	// one per command lets the ledger shrink, and the bound keeps a command
	// short after a long pause. Keeping a record longer than necessary is safe.
	expiriesPerCommand = 8
)

// LedgerRecord is the immutable ledger record of one key. Operation is empty if
// the record comes only from the notRun completion of an abandoned attempt,
// whose claim has not arrived.
type LedgerRecord struct {
	Service     azurestair.ServiceName   `cbor:"1,keyasint" json:"service"`
	Key         azurestair.RequestKey    `cbor:"2,keyasint" json:"key"`
	Operation   azurestair.OperationName `cbor:"3,keyasint,omitempty" json:"operation,omitempty"`
	Fingerprint []byte                   `cbor:"4,keyasint,omitempty" json:"fingerprint,omitempty"`
	Instance    azurestair.InstanceID    `cbor:"5,keyasint" json:"instance"`
	Incarnation azurestair.Incarnation   `cbor:"6,keyasint" json:"incarnation"`
	Attempt     uint64                   `cbor:"7,keyasint" json:"attempt"`
	Deadline    azurestair.UnixMillis    `cbor:"8,keyasint,omitempty" json:"deadline,omitempty"`
	State       azurestair.ClaimState    `cbor:"9,keyasint" json:"state"`
	Answer      *azurestair.Answer       `cbor:"10,keyasint,omitempty" json:"answer,omitempty"`
	// Expires is when the record may be removed.
	Expires azurestair.UnixMillis `cbor:"11,keyasint" json:"expires"`
	// AnswerSeq orders the stored answers by age. It is zero if the record has
	// none.
	AnswerSeq uint64 `cbor:"12,keyasint,omitempty" json:"kept,omitempty"`
	// Workspace is the scope of the key.
	Workspace azurestair.WorkspaceName `cbor:"13,keyasint,omitempty" json:"workspace,omitempty"`
}

// Validate checks the record.
func (r *LedgerRecord) Validate() error {
	switch r.State {
	case azurestair.ClaimHeld, azurestair.ClaimDone, azurestair.ClaimNotRun, azurestair.ClaimUnknown:
	default:
		return fmt.Errorf("%w: ledger record has invalid state %q", azurestair.ErrInvalid, r.State)
	}
	if (r.State == azurestair.ClaimDone) != (r.Answer != nil) || (r.AnswerSeq != 0 && r.Answer == nil) {
		return fmt.Errorf("%w: ledger record: answer does not match state %s", azurestair.ErrInvalid, r.State)
	}
	if r.Operation == "" && r.State == azurestair.ClaimNotRun {
		return r.validateAbandoned()
	}
	return r.toClaim().Validate()
}

func (r *LedgerRecord) validateAbandoned() error {
	if err := azurestair.CheckName("service", string(r.Service)); err != nil {
		return err
	}
	if err := azurestair.CheckName("instance", string(r.Instance)); err != nil {
		return err
	}
	return r.Key.Validate()
}

func (r *LedgerRecord) toClaim() azurestair.Claim {
	return azurestair.Claim{
		Service:     r.Service,
		Operation:   r.Operation,
		Key:         r.Key,
		Workspace:   r.Workspace,
		Fingerprint: r.Fingerprint,
		Instance:    r.Instance,
		Incarnation: r.Incarnation,
		Attempt:     r.Attempt,
		Deadline:    r.Deadline,
	}
}

// toClaimRecord returns the record in the form that results contain.
func (r *LedgerRecord) toClaimRecord() *azurestair.ClaimRecord {
	return &azurestair.ClaimRecord{Claim: r.toClaim(), State: r.State, Answer: r.Answer}
}

func (r *LedgerRecord) key() claimKey { return claimKey{r.Service, r.Key, r.Workspace} }

func (r *LedgerRecord) isHolder(instance azurestair.InstanceID, inc azurestair.Incarnation, attempt uint64) bool {
	return r.Instance == instance && r.Incarnation == inc && r.Attempt == attempt
}

// isAbandoned reports whether the entry gave up the attempt of the claim at or
// before the recorded one. Such a claim is a delayed message whose sender no
// longer waits for the grant.
func (r *LedgerRecord) isAbandoned(c azurestair.Claim) bool {
	if r.Instance != c.Instance {
		return false
	}
	if r.Incarnation != c.Incarnation {
		return c.Incarnation < r.Incarnation
	}
	return c.Attempt <= r.Attempt
}

// isReusedBy reports whether the claim uses the key of the record for a
// different request.
func (r *LedgerRecord) isReusedBy(c azurestair.Claim) bool {
	if r.Operation == "" {
		return false
	}
	return r.Operation != c.Operation || !bytes.Equal(r.Fingerprint, c.Fingerprint)
}

type claimKey struct {
	service   azurestair.ServiceName
	key       azurestair.RequestKey
	workspace azurestair.WorkspaceName
}

// ledger holds one record for each key.
type ledger struct {
	byKey map[claimKey]*expiryNode
	// scoped lists the records that have a workspace by their key without it.
	scoped  map[claimKey][]*expiryNode
	expiry  expiryHeap
	answers answerQueue
}

// Claim returns the ledger record of a key that has no workspace.
func (s *State) Claim(service azurestair.ServiceName, key azurestair.RequestKey) (azurestair.ClaimRecord, bool) {
	n, ok := s.ledger.byKey[claimKey{service: service, key: key}]
	if !ok {
		return azurestair.ClaimRecord{}, false
	}
	return *n.record.toClaimRecord(), true
}

// ClaimCount returns the number of records in the ledger.
func (s *State) ClaimCount() int { return len(s.ledger.byKey) }

func (l *ledger) claim(at azurestair.UnixMillis, c azurestair.Claim) azurestair.Result {
	l.expire(at)
	n, ok := l.byKey[claimKey{c.Service, c.Key, c.Workspace}]
	if !ok || n.record.State == azurestair.ClaimNotRun {
		if l.mayHaveRunInOtherScope(c) {
			return azurestair.Result{Code: azurestair.ResultKeyReused}
		}
	}
	if !ok {
		return l.insert(newClaim(at, c), azurestair.ResultGranted)
	}
	r := n.record
	if r.isReusedBy(c) {
		return azurestair.Result{Code: azurestair.ResultKeyReused}
	}
	switch r.State {
	case azurestair.ClaimHeld:
		return l.claimHeld(at, n, c)
	case azurestair.ClaimNotRun:
		if r.isAbandoned(c) {
			return azurestair.Result{Code: azurestair.ResultHeld, Record: r.toClaimRecord()}
		}
		l.replace(n, newClaim(at, c))
		return azurestair.Result{Code: azurestair.ResultGranted}
	default:
		return azurestair.Result{Code: azurestair.ResultRecorded, Record: r.toClaimRecord()}
	}
}

// claimHeld handles a claim for a key that is held. Past the deadline the
// holder may still have sent the request, so the record becomes unknown and the
// key is never granted again.
func (l *ledger) claimHeld(at azurestair.UnixMillis, n *expiryNode, c azurestair.Claim) azurestair.Result {
	r := n.record
	if r.isHolder(c.Instance, c.Incarnation, c.Attempt) {
		return azurestair.Result{Code: azurestair.ResultGranted}
	}
	if at <= r.Deadline.Add(DeadlineMargin) {
		return azurestair.Result{Code: azurestair.ResultHeld, Record: r.toClaimRecord()}
	}
	next := *r
	next.State = azurestair.ClaimUnknown
	l.replace(n, &next)
	return azurestair.Result{Code: azurestair.ResultRecorded, Record: next.toClaimRecord()}
}

// newClaim returns the record of a granted claim. The deadline comes from the
// entry's clock. It is capped at the leader's time plus the longest timeout, so
// that a wrong clock cannot keep a record for too long, and the retention
// starts no earlier than the leader's time, so that a wrong clock cannot remove
// a record too early.
func newClaim(at azurestair.UnixMillis, c azurestair.Claim) *LedgerRecord {
	deadline := min(c.Deadline, at.Add(azurestair.MaxTimeoutMs))
	return &LedgerRecord{
		Service:     c.Service,
		Key:         c.Key,
		Workspace:   c.Workspace,
		Operation:   c.Operation,
		Fingerprint: c.Fingerprint,
		Instance:    c.Instance,
		Incarnation: c.Incarnation,
		Attempt:     c.Attempt,
		Deadline:    deadline,
		State:       azurestair.ClaimHeld,
		Expires:     max(deadline, at).Add(ClaimRetention),
	}
}

func (l *ledger) finish(at azurestair.UnixMillis, f azurestair.ClaimCompletion) azurestair.Result {
	if err := azurestair.CheckName("instance", string(f.Instance)); err != nil {
		return azurestair.Result{Code: azurestair.ResultInvalid, Detail: err.Error()}
	}
	l.expire(at)
	n, ok := l.byKey[claimKey{f.Service, f.Key, f.Workspace}]
	if !ok {
		return l.finishUnclaimed(at, f)
	}
	r := n.record
	if !r.isHolder(f.Instance, f.Incarnation, f.Attempt) {
		return azurestair.Result{Code: azurestair.ResultConflict, Detail: "another attempt holds the key", Record: r.toClaimRecord()}
	}
	if r.State == f.State {
		return azurestair.Result{Code: azurestair.ResultUnchanged}
	}
	if !isFinalTransition(r.State, f.State) {
		detail := fmt.Sprintf("%s cannot replace %s", f.State, r.State)
		return azurestair.Result{Code: azurestair.ResultConflict, Detail: detail, Record: r.toClaimRecord()}
	}
	next := *r
	next.State = f.State
	l.replace(n, &next)
	if f.State == azurestair.ClaimDone {
		l.storeAnswer(n, f.Answer)
	}
	return azurestair.Result{Code: azurestair.ResultAccepted}
}

// isFinalTransition reports whether a final state may replace a state. Only
// done may replace unknown: a caller may have been told that the request
// possibly ran, and unknown guarantees that it is never sent again.
func isFinalTransition(from, to azurestair.ClaimState) bool {
	if from == azurestair.ClaimHeld {
		return true
	}
	return from == azurestair.ClaimUnknown && to == azurestair.ClaimDone
}

// finishUnclaimed handles the end of an attempt whose claim has not arrived. A
// notRun is stored, so that the claim is not granted if it arrives later.
func (l *ledger) finishUnclaimed(at azurestair.UnixMillis, f azurestair.ClaimCompletion) azurestair.Result {
	if f.State != azurestair.ClaimNotRun {
		return azurestair.Result{Code: azurestair.ResultNotFound}
	}
	return l.insert(&LedgerRecord{
		Service:     f.Service,
		Key:         f.Key,
		Workspace:   f.Workspace,
		Instance:    f.Instance,
		Incarnation: f.Incarnation,
		Attempt:     f.Attempt,
		State:       azurestair.ClaimNotRun,
		Expires:     at.Add(azurestair.MaxTimeoutMs + ClaimRetention),
	}, azurestair.ResultAccepted)
}

func (l *ledger) insert(r *LedgerRecord, code azurestair.ResultCode) azurestair.Result {
	if len(l.byKey) >= MaxClaims {
		detail := fmt.Sprintf("the ledger holds %d records, which is the limit", MaxClaims)
		return azurestair.Result{Code: azurestair.ResultFull, Detail: detail}
	}
	l.add(r)
	return azurestair.Result{Code: code}
}

func (l *ledger) add(r *LedgerRecord) *expiryNode {
	if l.byKey == nil {
		l.byKey = map[claimKey]*expiryNode{}
	}
	n := &expiryNode{record: r}
	l.byKey[r.key()] = n
	l.addScoped(n)
	l.expiry.add(n)
	return n
}

func (l *ledger) replace(n *expiryNode, r *LedgerRecord) {
	n.record = r
	l.expiry.update(n)
}

// expire removes expired records, at most expiriesPerCommand at a time.
func (l *ledger) expire(at azurestair.UnixMillis) {
	for range expiriesPerCommand {
		n := l.expiry.first()
		if n == nil || n.record.Expires > at {
			return
		}
		l.expiry.remove(n)
		l.answers.remove(n)
		delete(l.byKey, n.record.key())
		l.removeScoped(n)
	}
}
