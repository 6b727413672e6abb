package instance

import (
	"context"
	"errors"
	"fmt"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// departurePollInterval is the interval at which the leader is asked whether
// all entries know of a departure. Normally they do after two round trips.
const departurePollInterval = 40 * time.Millisecond

// errDepartureNotHeld reports a departure that some entries may not know of
// yet.
var errDepartureNotHeld = errors.New("the departure is not held by all entries yet")

// departureLeader is the subset of the leader's operations that a departure
// needs.
type departureLeader interface {
	azurestair.Proposer
	Query(ctx context.Context, q control.Query) (control.QueryResult, error)
}

// RecordDeparture stops new requests to an upstream. It returns nil once all
// entries know of the departure or the leader no longer waits for them. An
// upstream that receives this acknowledgement relies on getting no new
// requests.
func (p *Process) RecordDeparture(ctx context.Context, d azurestair.Departure) error {
	return depart(ctx, p, d)
}

func depart(ctx context.Context, l departureLeader, d azurestair.Departure) error {
	if _, err := l.Propose(ctx, azurestair.Command{Departure: &d}); err != nil {
		return err
	}
	for {
		res, err := l.Query(ctx, control.Query{Departure: &d})
		if err == nil && (res.Departure == nil || res.Departure.KnownToAll) {
			// A leader of an earlier version does not report the status of
			// departures.
			return nil
		}
		t := time.NewTimer(departurePollInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			if err != nil {
				return fmt.Errorf("%w: %w", errDepartureNotHeld, err)
			}
			return errDepartureNotHeld
		case <-t.C:
		}
	}
}
