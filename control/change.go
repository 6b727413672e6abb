package control

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"

	"azurestair.example/azurestair"
)

// MaxChanges bounds the remembered change ids. At 2,100 changes a day an id is
// kept for more than four days. Ids are dropped by count only.
const MaxChanges = 10_000

// ChangeRecord stores the outcome of an operator's change, so that a resend
// gets the first result. Rejected commands are not stored: they changed
// nothing, and a resend is rejected again.
type ChangeRecord struct {
	Operator azurestair.OperatorName `cbor:"1,keyasint" json:"operator"`
	ID       azurestair.ChangeID     `cbor:"2,keyasint" json:"changeId"`
	// Digest identifies the content of the change.
	Digest [sha256.Size]byte        `cbor:"3,keyasint" json:"digest"`
	Code   azurestair.ResultCode    `cbor:"4,keyasint" json:"code"`
	Detail string                   `cbor:"5,keyasint,omitempty" json:"detail,omitempty"`
	Base   azurestair.ConfigVersion `cbor:"6,keyasint,omitempty" json:"base,omitempty"`
	// Version is the configuration version in the first result. The diff of a
	// conflict is recomputed from Base and Version, which bounds the size of
	// the record.
	Version azurestair.ConfigVersion `cbor:"7,keyasint,omitempty" json:"version,omitempty"`
}

// Validate checks the record.
func (r ChangeRecord) Validate() error {
	if err := azurestair.CheckName("changeId", string(r.ID)); err != nil {
		return err
	}
	if err := azurestair.CheckName("operator", string(r.Operator)); err != nil {
		return err
	}
	if r.Code == "" {
		return fmt.Errorf("%w: change record %s has no result", azurestair.ErrInvalid, r.ID)
	}
	return nil
}

type changeKey struct {
	operator azurestair.OperatorName
	id       azurestair.ChangeID
}

// changeIndex holds the newest MaxChanges changes.
type changeIndex struct {
	order window[ChangeRecord]
	byKey map[changeKey]ChangeRecord
}

func (idx *changeIndex) find(c azurestair.Change) (ChangeRecord, bool) {
	r, ok := idx.byKey[changeKey{c.Operator, c.ID}]
	return r, ok
}

func (idx *changeIndex) add(r ChangeRecord) {
	if idx.byKey == nil {
		idx.byKey = map[changeKey]ChangeRecord{}
	}
	idx.byKey[changeKey{r.Operator, r.ID}] = r
	for _, old := range idx.order.push(r, MaxChanges) {
		delete(idx.byKey, changeKey{old.Operator, old.ID})
	}
}

// applyOnce applies an operator's change once and returns the stored result for
// resends.
func (s *State) applyOnce(
	c azurestair.Command, change azurestair.Change, apply func(azurestair.Command) azurestair.Result,
) azurestair.Result {
	digest, err := digestOf(c)
	if err != nil {
		return s.reject(c, err)
	}
	if first, ok := s.changes.find(change); ok {
		return s.replayResult(c, first, digest)
	}
	r := apply(c)
	s.changes.add(ChangeRecord{
		Operator: change.Operator,
		ID:       change.ID,
		Digest:   digest,
		Code:     r.Code,
		Detail:   r.Detail,
		Base:     baseVersionOf(c),
		Version:  r.Version,
	})
	s.recordAudit(c, change, r)
	return r
}

func (s *State) replayResult(c azurestair.Command, first ChangeRecord, digest [sha256.Size]byte) azurestair.Result {
	if first.Digest != digest {
		err := fmt.Errorf("%w: change id %s was used for a different change", azurestair.ErrInvalid, first.ID)
		return s.reject(c, err)
	}
	r := azurestair.Result{Code: first.Code, Detail: first.Detail, Version: first.Version}
	if first.Code == azurestair.ResultConflict {
		r.Diff = s.diff(first.Base, first.Version)
	}
	return r
}

// digestOf hashes the content of a command without the fields that the leader
// adds. Config contains no map, so its JSON encoding is the same on every
// replica.
func digestOf(c azurestair.Command) ([sha256.Size]byte, error) {
	c.At, c.ListsHolders, c.Fleet = 0, false, ""
	data, err := json.Marshal(c)
	if err != nil {
		return [sha256.Size]byte{}, fmt.Errorf("%w: change cannot be encoded: %w", azurestair.ErrInvalid, err)
	}
	return sha256.Sum256(data), nil
}

func operatorChange(c azurestair.Command) (azurestair.Change, bool) {
	switch {
	case c.Config != nil:
		return c.Config.Change, true
	case c.Drain != nil:
		return c.Drain.Change, true
	case c.Members != nil:
		return c.Members.Change, true
	}
	return azurestair.Change{}, false
}

func baseVersionOf(c azurestair.Command) azurestair.ConfigVersion {
	if c.Config == nil {
		return 0
	}
	return c.Config.BaseVersion
}
