package control

import (
	"cmp"
	"fmt"
	"slices"

	"azurestair.example/azurestair"
)

// MaxDrains bounds the drained targets.
const MaxDrains = 4096

// Drains returns the drained targets, ordered by kind and name.
func (s *State) Drains() []azurestair.Drain { return s.drains }

func compareDrain(d azurestair.Drain, t azurestair.Target) int {
	return cmp.Or(cmp.Compare(d.Target.Kind, t.Kind), cmp.Compare(d.Target.Name, t.Name))
}

// applyDrain replaces the slice instead of modifying it, because callers of
// Drains may still hold the previous one.
func (s *State) applyDrain(c azurestair.Command) azurestair.Result {
	change := c.Drain
	at, found := slices.BinarySearchFunc(s.drains, change.Target, compareDrain)
	if found == change.Drained {
		return azurestair.Result{Code: azurestair.ResultUnchanged, Version: s.Config().Version}
	}
	if found {
		s.drains = slices.Concat(s.drains[:at], s.drains[at+1:])
		return azurestair.Result{Code: azurestair.ResultAccepted, Version: s.Config().Version}
	}
	if len(s.drains) >= MaxDrains {
		return azurestair.Result{
			Code:   azurestair.ResultFull,
			Detail: fmt.Sprintf("%d targets are drained, which is the limit", MaxDrains),
		}
	}
	d := azurestair.Drain{
		Target:   change.Target,
		Operator: change.Change.Operator,
		Reason:   change.Change.Reason,
		At:       c.At,
	}
	s.drains = slices.Concat(s.drains[:at], []azurestair.Drain{d}, s.drains[at:])
	return azurestair.Result{Code: azurestair.ResultAccepted, Version: s.Config().Version}
}
