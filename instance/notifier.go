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
	self   azurestair.InstanceID
	// rounds holds the latest round that run has not received yet.
	rounds chan noticeRound
}

// noticeRound is a notice and the instances to send it to.
type noticeRound struct {
	notice    azurestair.SnapshotNotice
	instances []azurestair.InstanceInfo
}

func newNotifier(client *peer.Client, self azurestair.InstanceID) *notifier {
	return &notifier{client: client, self: self, rounds: make(chan noticeRound, 1)}
}

// notify queues a notice for the instances in a term of this leader. It
// replaces a queued round and does not block.
func (n *notifier) notify(term azurestair.Term, instances []azurestair.InstanceInfo) {
	select {
	case <-n.rounds:
	default:
	}
	select {
	case n.rounds <- noticeRound{notice: azurestair.SnapshotNotice{Leader: n.self, Term: term}, instances: instances}:
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
