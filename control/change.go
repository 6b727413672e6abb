package control

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"

	"azurestair.example/azurestair"
)

// MaxChanges bounds the remembered change ids. At 2,100 changes a day it keeps
// an id for more than four days; only the count makes the state forget one.
const MaxChanges = 10_000

// ChangeRecord is the memory of an operator's change, by which a resend gets
// the first result. A rejected command is not remembered: it changed nothing,
// and its resend is rejected again.
type ChangeRecord struct {
	Operator azurestair.OperatorName `cbor:"1,keyasint" json:"operator"`
	ID       azurestair.ChangeID     `cbor:"2,keyasint" json:"changeId"`
	// Digest identifies the content of the change.
	Digest [sha256.Size]byte        `cbor:"3,keyasint" json:"digest"`
	Code   azurestair.ResultCode    `cbor:"4,keyasint" json:"code"`
	Detail string                   `cbor:"5,keyasint,omitempty" json:"detail,omitempty"`
	Base   azurestair.ConfigVersion `cbor:"6,keyasint,omitempty" json:"base,omitempty"`
	// Version is the configuration version in the first result. The diff of a
	// conflict is computed again from Base and Version, which bounds the record.
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
		return fmt.Errorf("%w: remembered change %s has no result", azurestair.ErrInvalid, r.ID)
	}
	return nil
}

type changeKey struct {
	operator azurestair.OperatorName
	id       azurestair.ChangeID
}

// changeMemory holds the newest MaxChanges changes.
type changeMemory struct {
	order window[ChangeRecord]
	byKey map[changeKey]ChangeRecord
}

func (m *changeMemory) find(c azurestair.Change) (ChangeRecord, bool) {
	r, ok := m.byKey[changeKey{c.Operator, c.ID}]
	return r, ok
}

func (m *changeMemory) add(r ChangeRecord) {
	if m.byKey == nil {
		m.byKey = map[changeKey]ChangeRecord{}
	}
	m.byKey[changeKey{r.Operator, r.ID}] = r
	for _, old := range m.order.push(r, MaxChanges) {
		delete(m.byKey, changeKey{old.Operator, old.ID})
	}
}

// applyChange applies an operator's change once and repeats its result to resends.
func (s *State) applyChange(
	c azurestair.Command, change azurestair.Change, apply func(azurestair.Command) azurestair.Result,
) azurestair.Result {
	digest, err := digestOf(c)
	if err != nil {
		return s.reject(c, err)
	}
	if first, ok := s.changes.find(change); ok {
		return s.repeat(c, first, digest)
	}
	r := apply(c)
	s.changes.add(ChangeRecord{
		Operator: change.Operator,
		ID:       change.ID,
		Digest:   digest,
		Code:     r.Code,
		Detail:   r.Detail,
		Base:     baseOf(c),
		Version:  r.Version,
	})
	s.record(c, change, r)
	return r
}

func (s *State) repeat(c azurestair.Command, first ChangeRecord, digest [sha256.Size]byte) azurestair.Result {
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

// digestOf identifies the content of a command regardless of what the leader adds. Config
// holds no map, so that its JSON form is the same on every replica.
func digestOf(c azurestair.Command) ([sha256.Size]byte, error) {
	c.At, c.ListsHolders = 0, false
	data, err := json.Marshal(c)
	if err != nil {
		return [sha256.Size]byte{}, fmt.Errorf("%w: change cannot be encoded: %w", azurestair.ErrInvalid, err)
	}
	return sha256.Sum256(data), nil
}

func changeOf(c azurestair.Command) (azurestair.Change, bool) {
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

func baseOf(c azurestair.Command) azurestair.ConfigVersion {
	if c.Config == nil {
		return 0
	}
	return c.Config.BaseVersion
}
