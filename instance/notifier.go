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
	// targets holds the newest list that run has not taken yet.
	targets chan []azurestair.InstanceInfo
}

func newNotifier(client *peer.Client, self azurestair.InstanceID) *notifier {
	return &notifier{client: client, self: self, targets: make(chan []azurestair.InstanceInfo, 1)}
}

// notify hands over the instances to notify; it does not block.
func (n *notifier) notify(instances []azurestair.InstanceInfo) {
	select {
	case <-n.targets:
	default:
	}
	select {
	case n.targets <- instances:
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
		case instances := <-n.targets:
			for _, i := range instances {
				one := notice{client: n.client, to: peer.Address{ID: i.ID, Addr: i.PeerAddr}}
				wg.Go(func() { one.run(ctx) })
			}
		}
	}
}

// notice is one call to one instance.
type notice struct {
	client *peer.Client
	to     peer.Address
}

func (n notice) run(ctx context.Context) { _ = n.client.Notify(ctx, n.to) }
