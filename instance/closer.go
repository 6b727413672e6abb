package instance

import (
	"context"
	"sync/atomic"
	"time"
)

// closeStep is a part of a process that is closed at shutdown.
type closeStep struct {
	name string
	run  func()
}

// closer closes the parts of a process one after the other. A part may take
// longer than the process has: a write to a stalled disk, a connection on which
// the peer of a handshake says nothing for 5 s, or one that takes no more bytes.
type closer struct {
	steps []closeStep
	// current is the index of the step that is in progress.
	current atomic.Int64
	done    chan struct{}
}

func (c *closer) run() {
	defer close(c.done)
	for i, s := range c.steps {
		c.current.Store(int64(i))
		s.run()
	}
}

// closeTimeout bounds the wait until everything is closed. A few syncs of a disk
// that takes 125 ms for each fit in; the requests have ended by then, so that
// waiting longer has no use.
const closeTimeout = time.Second

// closeAll ends all goroutines and closes what they use. After closeTimeout, or
// when ctx ends, it returns nevertheless: the log is durable without being
// closed, and the end of the process closes the rest.
func (p *Process) closeAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	p.cancel()
	c := &closer{steps: p.closeSteps(), done: make(chan struct{})}
	go c.run()
	select {
	case <-c.done:
	case <-ctx.Done():
		p.log.Warn("stopped without closing everything", "waitedFor", c.steps[c.current.Load()].name)
	}
}

func (p *Process) closeSteps() []closeStep {
	return []closeStep{
		{"control", func() { <-p.controller.stopped }},
		{"store", p.closeReplica},
		{"raftStreams", func() {
			if p.transport != nil {
				p.transport.Close()
			}
		}},
		{"peerListener", p.peerServer.Stop},
		{"goroutines", p.wg.Wait},
		{"entry", func() {
			if p.entry != nil {
				p.entry.close()
			}
		}},
		{"peerConnections", p.peerConns.Close},
	}
}
