package instance

import (
	"context"
	"time"
)

const (
	// leavePoll is how often a shutdown looks whether requests have ended.
	leavePoll = 10 * time.Millisecond
	// leaveNotice is how long the others may take to learn that an instance leaves.
	leaveNotice = 300 * time.Millisecond
)

// goneTimeout bounds the wait for the answer to the last report.
const goneTimeout = 500 * time.Millisecond

// handOverPoll is how often a leaving leader looks whether another has taken over.
const handOverPoll = 20 * time.Millisecond

// stop leaves the look-ups, waits until callers have forgotten this instance
// and its requests have ended, and then closes everything.
func (p *Process) stop(ctx context.Context) error {
	grace, cancel := context.WithTimeout(ctx, p.settings.Limits.ShutdownGraceMs.Duration())
	defer cancel()
	p.leave(grace)
	for _, s := range p.servers {
		if err := s.Shutdown(grace); err != nil {
			p.log.Warn("requests cut by shutdown", "err", err)
			_ = s.Close()
		}
	}
	p.sayGone(grace)
	p.handOver(grace)
	p.cancel()
	<-p.controller.stopped
	p.closeReplica()
	if p.transport != nil {
		p.transport.Close()
	}
	p.peers.Stop()
	p.wg.Wait()
	if p.entry != nil {
		p.entry.close()
	}
	p.conns.Close()
	p.log.Info("stopped")
	return nil
}

// sayGone sends the last report, by which the leader takes back the leases.
func (p *Process) sayGone(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, goneTimeout)
	defer cancel()
	done := make(chan struct{})
	_, _ = ask(ctx, p.controller, goneEvent{done: done}, done)
}

// handOver passes the leadership on, so that changes and claims need not wait
// for an election.
func (p *Process) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	ticker := time.NewTicker(handOverPoll)
	defer ticker.Stop()
	for p.transport != nil {
		reply := make(chan bool, 1)
		leads, err := ask(ctx, p.controller, handOverEvent{reply: reply}, reply)
		if err != nil || !leads {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// leaveKnown bounds the wait until the leader knows that an instance leaves; a
// fleet without a leader forgets the instance by itself after its lease.
const leaveKnown = 3 * time.Second

func waitFor(ctx context.Context, known <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, leaveKnown)
	defer cancel()
	select {
	case <-known:
	case <-ctx.Done():
	}
}

// leave returns when no caller should use this instance any more.
func (p *Process) leave(ctx context.Context) {
	if p.entry == nil {
		return
	}
	wasReady := p.entry.Ready() == nil
	known := make(chan struct{})
	if err := p.controller.post(ctx, leaveEvent{known: known}); err != nil {
		return
	}
	if wasReady {
		waitFor(ctx, known)
	}
	deadline := p.options.Clock.Now()
	if v := p.entry.view.Load(); v != nil && wasReady {
		ttl := v.snapshot.Config.Defaults.WithDefaults().LookupTTLMs
		deadline = deadline.Add(ttl.Duration() + leaveNotice)
		if f := p.options.Front; f != nil {
			deadline = deadline.Add(f.CallerHold)
		}
	}
	ticker := time.NewTicker(leavePoll)
	defer ticker.Stop()
	for p.options.Clock.Now().Before(deadline) || !p.entry.isIdle() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
