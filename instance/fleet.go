package instance

import (
	"context"

	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/peer"
	"azurestair.example/azurestair/settings"
)

// FleetExists reports whether the other voters of the settings have a leader
// with a configuration. Without an answer before ctx ends it reports false.
func FleetExists(ctx context.Context, s settings.Settings) (bool, error) {
	others := otherVoters(s)
	if len(others) == 0 {
		return false, nil
	}
	conns, err := newConns(s, Options{})
	if err != nil {
		return false, err
	}
	defer conns.Close()
	res, err := peer.NewClient(conns, others).Query(ctx, control.Query{History: true})
	return err == nil && len(res.History) > 0, nil
}
