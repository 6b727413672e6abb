package instance

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/peer"
)

const (
	// fetchStagger is the time after which a further control instance is asked
	// for its snapshot while the last one has not answered.
	fetchStagger = 100 * time.Millisecond
	// fetchPause is the pause between two rounds, and fetchTimeout bounds all of
	// them: control instances that start with the entry are ready within a
	// second or two.
	fetchPause   = 50 * time.Millisecond
	fetchTimeout = 10 * time.Second
	// maxPendingOffers bounds the offers that the fetcher has not seen yet. An
	// offer beyond them is dropped; offers are repeated.
	maxPendingOffers = 16
)

// snapshotFetcher gets a snapshot from any control instance, for an entry that
// has started and cannot reach a leader yet. The newest one is used until a
// leader replies.
//
// It asks the known control instances in rounds, one after the other unless
// they are slow, and those that offer their snapshot at once. A control instance
// that does not answer delays only its own call. Only run uses the fields below
// the channels.
type snapshotFetcher struct {
	client *peer.Client
	post   func(event)
	log    *slog.Logger
	// leaderReached is closed when a leader has replied.
	leaderReached <-chan struct{}
	offers        chan peer.Address
	results       chan fetchResult

	newest azurestair.SnapshotVersion
	// asked holds the control instances whose answers are outstanding.
	asked map[azurestair.InstanceID]bool
	// queue holds the control instances that are still to be asked in this
	// round, and answers counts those that answered in it.
	queue   []peer.Address
	answers int
}

// fetchResult is the answer of a control instance, or the failure to get one.
type fetchResult struct {
	from     azurestair.InstanceID
	snapshot *azurestair.Snapshot
	err      error
}

func newSnapshotFetcher(client *peer.Client, post func(event), log *slog.Logger, leaderReached <-chan struct{}) *snapshotFetcher {
	return &snapshotFetcher{
		client: client, post: post, log: log, leaderReached: leaderReached,
		offers: make(chan peer.Address, maxPendingOffers), results: make(chan fetchResult),
		asked: map[azurestair.InstanceID]bool{},
	}
}

// offer makes the fetcher ask a control instance that has said that it holds a
// snapshot. It does not block.
func (f *snapshotFetcher) offer(source peer.Address) {
	f.client.AddPeer(source)
	select {
	case f.offers <- source:
	default:
	}
}

// run asks the control instances until a round had a snapshot, all have answered
// that they have none, as in a new fleet, or a leader replies.
func (f *snapshotFetcher) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	for f.round(ctx) {
	}
	if ctx.Err() != nil {
		f.log.Info("no snapshot from any control instance")
	}
}

// round asks all control instances whose answers are not outstanding. It returns
// false if a further round is of no use.
func (f *snapshotFetcher) round(ctx context.Context) bool {
	peers := f.client.Peers()
	f.queue, f.answers = slices.Clone(peers), 0
	for len(f.queue) > 0 {
		next := f.queue[0]
		f.queue = f.queue[1:]
		if f.ask(ctx, next) && !f.wait(ctx, fetchStagger, next.ID) {
			return false
		}
	}
	if !f.wait(ctx, fetchPause, "") {
		return false
	}
	return f.newest == azurestair.SnapshotVersion{} && f.answers < len(peers)
}

// ask asks a control instance unless its answer is outstanding. It returns false
// if it is.
func (f *snapshotFetcher) ask(ctx context.Context, source peer.Address) bool {
	if f.asked[source.ID] {
		return false
	}
	f.asked[source.ID] = true
	newest := f.newest
	go func() {
		s, err := f.client.FetchSnapshot(ctx, source, newest)
		select {
		case f.results <- fetchResult{from: source.ID, snapshot: s, err: err}:
		case <-ctx.Done():
		}
	}()
	return true
}

// wait handles offers and results until the given control instance has answered
// or d has passed. It returns false if ctx ends or a leader replies.
func (f *snapshotFetcher) wait(ctx context.Context, d time.Duration, until azurestair.InstanceID) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-f.leaderReached:
			return false
		case source := <-f.offers:
			f.ask(ctx, source)
		case r := <-f.results:
			f.handle(r)
			if r.from == until {
				return true
			}
		case <-t.C:
			return true
		}
	}
}

func (f *snapshotFetcher) handle(r fetchResult) {
	delete(f.asked, r.from)
	if r.err == nil || errors.Is(r.err, azurestair.ErrNotFound) {
		f.answers++
	}
	if r.err != nil {
		f.log.Debug("no snapshot from control instance", "from", r.from, "err", r.err)
		return
	}
	if r.snapshot == nil {
		return
	}
	if r.snapshot.Version().IsNewerThan(f.newest) {
		f.newest = r.snapshot.Version()
	}
	f.post(provisionalEvent{snapshot: r.snapshot})
}
