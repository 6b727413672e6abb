package control

import (
	"fmt"
	"slices"

	"azurestair.example/azurestair"
)

// MaxListedHolders bounds the holder list, as DefaultMaxInstances bounds the
// instances.
const MaxListedHolders = DefaultMaxInstances

// HolderList is the sorted list of holders that may have floors. It is
// immutable.
//
// Invariant: a holder has a floor only if it is listed, so a new leader
// reserves floors for listed holders only. The list exists only if the first
// configuration of the state was proposed by a leader that maintains this
// invariant: without a configuration there are no budgets, so no floor can be
// older than the list. Otherwise the list is nil, and floors are reserved for
// all possible holders.
type HolderList struct {
	IDs []azurestair.InstanceID `cbor:"1,keyasint,omitempty" json:"ids,omitempty"`
}

// Has reports whether a holder is listed.
func (l *HolderList) Has(id azurestair.InstanceID) bool {
	if l == nil {
		return false
	}
	_, found := slices.BinarySearch(l.IDs, id)
	return found
}

// Validate checks the list, which may be nil.
func (l *HolderList) Validate() error {
	if l == nil {
		return nil
	}
	if len(l.IDs) > MaxListedHolders {
		return fmt.Errorf("%w: %d holders are listed; allowed %d", azurestair.ErrInvalid, len(l.IDs), MaxListedHolders)
	}
	for n, id := range l.IDs {
		if err := azurestair.CheckName("holder", string(id)); err != nil {
			return err
		}
		if n > 0 && l.IDs[n-1] >= id {
			return fmt.Errorf("%w: holder %s is out of order", azurestair.ErrInvalid, id)
		}
	}
	return nil
}

// Holders returns the holders that may have floors, or nil if any holder may.
func (s *State) Holders() *HolderList { return s.holders }

// applyHolder replaces the list instead of modifying it, because callers of
// Holders may still hold the previous one.
func (s *State) applyHolder(c azurestair.HolderChange) azurestair.Result {
	if s.holders == nil || s.holders.Has(c.Instance) != c.Removed {
		return azurestair.Result{Code: azurestair.ResultUnchanged}
	}
	ids := s.holders.IDs
	at, _ := slices.BinarySearch(ids, c.Instance)
	if c.Removed {
		s.holders = &HolderList{IDs: slices.Concat(ids[:at], ids[at+1:])}
		return azurestair.Result{Code: azurestair.ResultAccepted}
	}
	if len(ids) >= MaxListedHolders {
		return azurestair.Result{
			Code:   azurestair.ResultFull,
			Detail: fmt.Sprintf("%d holders are listed, which is the limit", MaxListedHolders),
		}
	}
	s.holders = &HolderList{IDs: slices.Concat(ids[:at], []azurestair.InstanceID{c.Instance}, ids[at:])}
	return azurestair.Result{Code: azurestair.ResultAccepted}
}
