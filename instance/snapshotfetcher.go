package instance

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/peer"
)

const (
	// fetchStagger is the time after which a further control instance is asked
	// for its snapshot while the earlier ones have not answered.
	fetchStagger = 100 * time.Millisecond
	// fetchPause is the pause after a round in which no control instance had a
	// snapshot, and maxFetchRounds bounds the rounds: control instances that
	// start with the entry are ready within a second or two.
	fetchPause     = 50 * time.Millisecond
	maxFetchRounds = 40
)

// snapshotFetcher gets a snapshot from any control instance, for an entry that
// has started and cannot reach a leader yet. The newest one is used until a
// leader replies.
type snapshotFetcher struct {
	client *peer.Client
	post   func(event)
	log    *slog.Logger
	// leaderReached is closed when a leader has replied.
	leaderReached <-chan struct{}

	mu     sync.Mutex
	newest azurestair.SnapshotVersion
	// answers counts the control instances that answered in this round.
	answers int
}

// run asks the control instances until one had a snapshot or a leader replies.
func (f *snapshotFetcher) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for range maxFetchRounds {
		if f.round(ctx) || !f.wait(ctx, fetchPause) {
			return
		}
	}
	f.log.Info("no snapshot from any control instance")
}

// round asks all control instances, one after the other unless they are slow.
// It returns true if a further round is of no use: one of them had a snapshot,
// or all answered that they have none, as in a new fleet.
func (f *snapshotFetcher) round(ctx context.Context) bool {
	var wg sync.WaitGroup
	peers := f.client.Peers()
	f.answers = 0
	for _, p := range peers {
		call := fetchCall{fetcher: f, to: p, answered: make(chan struct{})}
		wg.Go(func() { call.run(ctx) })
		t := time.NewTimer(fetchStagger)
		select {
		case <-call.answered:
		case <-f.leaderReached:
		case <-t.C:
		}
		t.Stop()
	}
	wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest != azurestair.SnapshotVersion{} || f.answers == len(peers)
}

// wait returns false if ctx ends or a leader replies within the pause.
func (f *snapshotFetcher) wait(ctx context.Context, pause time.Duration) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-f.leaderReached:
		return false
	case <-t.C:
		return true
	}
}

// fetchCall asks one control instance.
type fetchCall struct {
	fetcher  *snapshotFetcher
	to       peer.Address
	answered chan struct{}
}

func (c fetchCall) run(ctx context.Context) {
	defer close(c.answered)
	f := c.fetcher
	f.mu.Lock()
	newest := f.newest
	f.mu.Unlock()
	s, err := f.client.FetchSnapshot(ctx, c.to, newest)
	if err == nil || errors.Is(err, azurestair.ErrNotFound) {
		f.mu.Lock()
		f.answers++
		f.mu.Unlock()
	}
	if err != nil {
		f.log.Debug("no snapshot from control instance", "from", c.to.ID, "err", err)
		return
	}
	if s == nil {
		return
	}
	f.mu.Lock()
	if s.Version().IsNewerThan(f.newest) {
		f.newest = s.Version()
	}
	f.mu.Unlock()
	f.post(provisionalEvent{snapshot: s})
}
