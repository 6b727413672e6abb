package instance

import (
	"context"
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
	// maxFetchRounds bounds how often the control instances are asked. In a new
	// fleet none of them has a snapshot.
	maxFetchRounds = 6
	// minFetchPause is the pause after the first round; it doubles with each
	// further one.
	minFetchPause = 100 * time.Millisecond
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
}

// run asks the control instances until one had a snapshot or a leader replies.
func (f *snapshotFetcher) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pause := minFetchPause
	for range maxFetchRounds {
		if f.round(ctx) {
			return
		}
		if !f.wait(ctx, pause) {
			return
		}
		pause *= 2
	}
	f.log.Info("no control instance has a snapshot yet")
}

// round asks all control instances, one after the other unless they are slow,
// and reports whether one of them had a snapshot.
func (f *snapshotFetcher) round(ctx context.Context) bool {
	var wg sync.WaitGroup
	for _, p := range f.client.Peers() {
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
	return f.newest != azurestair.SnapshotVersion{}
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
