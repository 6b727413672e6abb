package instance

import (
	"context"
	"sync"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/peer"
)

// notifier tells instances that a newer snapshot is available. A lost notice
// costs only the wait for the next report.
type notifier struct {
	client *peer.Client
	self   azurestair.InstanceID
	// rounds holds the newest round that run has not taken yet.
	rounds chan noticeRound
}

// noticeRound is one notice for several instances.
type noticeRound struct {
	notice    azurestair.Notice
	instances []azurestair.InstanceInfo
}

func newNotifier(client *peer.Client, self azurestair.InstanceID) *notifier {
	return &notifier{client: client, self: self, rounds: make(chan noticeRound, 1)}
}

// notify hands over the instances to notify in a term of this leader; it does not block.
func (n *notifier) notify(term azurestair.Term, instances []azurestair.InstanceInfo) {
	select {
	case <-n.rounds:
	default:
	}
	select {
	case n.rounds <- noticeRound{notice: azurestair.Notice{Leader: n.self, Term: term}, instances: instances}:
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
				one := noticeCall{client: n.client, to: peer.Address{ID: i.ID, Addr: i.PeerAddr}, notice: r.notice}
				wg.Go(func() { one.run(ctx) })
			}
		}
	}
}

// noticeCall is one call to one instance.
type noticeCall struct {
	client *peer.Client
	to     peer.Address
	notice azurestair.Notice
}

func (n noticeCall) run(ctx context.Context) { _ = n.client.Notify(ctx, n.to, n.notice) }
