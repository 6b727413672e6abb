package instance

import (
	"context"
	"sync"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/peer"
)

// notifier tells instances that a newer snapshot is available. If a notice is
// lost, the instance gets the snapshot with its next report.
type notifier struct {
	client *peer.Client
	// rounds holds the latest round that run has not received yet.
	rounds chan noticeRound
	// introductions holds the notices to single instances.
	introductions chan noticeCall
}

// maxIntroductionsQueued bounds the queued notices to single instances. The
// leader repeats those that do not fit.
const maxIntroductionsQueued = 64

// noticeRound is a notice and the instances to send it to.
type noticeRound struct {
	notice    azurestair.SnapshotNotice
	instances []azurestair.InstanceInfo
}

func newNotifier(client *peer.Client) *notifier {
	return &notifier{client: client, rounds: make(chan noticeRound, 1), introductions: make(chan noticeCall, maxIntroductionsQueued)}
}

// introduce queues a notice for one instance. It does not block.
func (n *notifier) introduce(to peer.Address, notice azurestair.SnapshotNotice) {
	select {
	case n.introductions <- noticeCall{client: n.client, to: to, notice: notice}:
	default:
	}
}

// notify queues a notice for the instances. It replaces a queued round and does
// not block.
func (n *notifier) notify(notice azurestair.SnapshotNotice, instances []azurestair.InstanceInfo) {
	select {
	case <-n.rounds:
	default:
	}
	select {
	case n.rounds <- noticeRound{notice: notice, instances: instances}:
	default:
	}
}

// run sends notices until ctx ends.
func (n *notifier) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-n.rounds:
			for _, i := range r.instances {
				notification := noticeCall{client: n.client, to: peer.Address{ID: i.ID, Addr: i.PeerAddr}, notice: r.notice}
				wg.Go(func() { notification.run(ctx) })
			}
		case introduction := <-n.introductions:
			wg.Go(func() { introduction.run(ctx) })
		}
	}
}

// noticeCall sends a notice to one instance.
type noticeCall struct {
	client *peer.Client
	to     peer.Address
	notice azurestair.SnapshotNotice
}

func (n noticeCall) run(ctx context.Context) { _ = n.client.Notify(ctx, n.to, n.notice) }
