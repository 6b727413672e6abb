package instance

import (
	"context"
	"errors"
	"fmt"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// heldEvery is the interval at which the leader is asked whether all entries
// hold a departure. Normally they do after two round trips.
const heldEvery = 40 * time.Millisecond

// errNotHeld reports a departure that some entries may not know yet.
var errNotHeld = errors.New("the departure is not held by all entries yet")

// leaderCalls is the part of the leader that takes a departure.
type leaderCalls interface {
	azurestair.Proposer
	Query(ctx context.Context, q control.Query) (control.QueryResult, error)
}

// Depart has the leader end new work for an upstream. It returns nil once all
// entries hold the departure, or have been waited for: an upstream that hears
// so relies on getting no more work.
func (p *Process) Depart(ctx context.Context, d azurestair.Departure) error {
	return depart(ctx, p, d)
}

func depart(ctx context.Context, l leaderCalls, d azurestair.Departure) error {
	if _, err := l.Propose(ctx, azurestair.Command{Departure: &d}); err != nil {
		return err
	}
	for {
		res, err := l.Query(ctx, control.Query{Departure: &d})
		if err == nil && (res.Departure == nil || res.Departure.Held) {
			// A leader of an earlier version says nothing on departures.
			return nil
		}
		t := time.NewTimer(heldEvery)
		select {
		case <-ctx.Done():
			t.Stop()
			if err != nil {
				return fmt.Errorf("%w: %w", errNotHeld, err)
			}
			return errNotHeld
		case <-t.C:
		}
	}
}
