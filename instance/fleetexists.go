package instance

import (
	"context"
	"errors"
	"fmt"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/peer"
	"azurestair.example/azurestair/settings"
)

// FleetExists reports whether another configured voter has a configuration. It
// queries each voter directly, because there may be no leader: while the
// majority of the voters is down, an empty data folder may be a lost disk
// rather than a new fleet. Voters that do not answer before ctx ends count as
// having none.
func FleetExists(ctx context.Context, s settings.Settings) (bool, error) {
	others := otherVoters(s)
	if len(others) == 0 {
		return false, nil
	}
	conns, err := newConns(s, Options{}, nil)
	if err != nil {
		return false, err
	}
	defer conns.Close()
	client := peer.NewClient(conns, others)
	for _, to := range others {
		res, err := client.QueryAt(ctx, to, control.Query{History: true})
		if err == nil && len(res.History) > 0 {
			return true, nil
		}
		if errors.Is(err, azurestair.ErrVersion) {
			// The voter is running, but only a program of its version can query
			// it.
			return false, fmt.Errorf("voter %s: %w", to.ID, err)
		}
	}
	return false, nil
}
