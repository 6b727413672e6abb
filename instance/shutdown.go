package instance

import (
	"context"
	"time"

	"azurestair.example/azurestair/admission"
)

const (
	// leavePollInterval is the interval at which a shutdown checks for requests
	// in progress.
	leavePollInterval = 10 * time.Millisecond
	// leavePropagationTime is how long other instances may take to learn that
	// an instance is leaving.
	leavePropagationTime = 300 * time.Millisecond
)

// finalReportTimeout bounds the wait for the reply to the final report.
const finalReportTimeout = 500 * time.Millisecond

// transferPollInterval is the interval at which a leaving leader checks whether
// another one has taken over.
const transferPollInterval = 20 * time.Millisecond

// stop removes the instance from lookups, waits until callers no longer use it
// and its requests have ended, and then closes everything. The wait ends with
// the configured grace period. From its middle on, requests that might outlast
// it are refused, so that requests that keep coming are not cut at its end.
func (p *Process) stop(ctx context.Context) error {
	start, grace := p.options.Clock.Now(), p.settings.Limits.ShutdownGraceMs.Duration()
	graceCtx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	shutdown := admission.NewShutdown(start, grace)
	p.log.Info("stopping", "graceMs", p.settings.Limits.ShutdownGraceMs,
		"openMs", shutdown.OpenUntil.Sub(start).Milliseconds(), "requestsEndMs", shutdown.EndsAt.Sub(start).Milliseconds())
	if p.entry != nil {
		p.entry.beginShutdown(shutdown)
	}
	p.leaveUntil(graceCtx, shutdown.EndsAt)
	// Half of the remaining time is for the last responses. The rest is for
	// signing off at the leader and for closing everything else.
	left := start.Add(grace).Sub(shutdown.EndsAt)
	p.closeListeners(graceCtx, shutdown.EndsAt.Add(left/2))
	p.signOff(graceCtx, shutdown.EndsAt.Add(left*3/4))
	p.closeAll(graceCtx)
	p.log.Info("stopped")
	return nil
}

// signOff returns the leases and the leadership, at the latest at the deadline.
func (p *Process) signOff(ctx context.Context, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	p.sendFinalReport(ctx)
	p.transferLeadership(ctx)
}

// closeListeners closes the listeners and waits until the requests in progress
// have ended, at the latest until the deadline.
func (p *Process) closeListeners(ctx context.Context, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for _, s := range p.servers {
		if err := s.Shutdown(ctx); err != nil {
			p.log.Warn("requests cut by shutdown", "err", err)
			_ = s.Close()
		}
	}
}

// sendFinalReport sends the final report, on which the leader revokes the
// leases.
func (p *Process) sendFinalReport(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finalReportTimeout)
	defer cancel()
	acked := make(chan struct{})
	_, _ = postAndWait(ctx, p.controller, finalReportEvent{acked: acked}, acked)
}

// transferLeadership transfers the leadership, so that changes and claims need
// not wait for an election.
func (p *Process) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	ticker := time.NewTicker(transferPollInterval)
	defer ticker.Stop()
	for p.transport != nil {
		reply := make(chan bool, 1)
		leads, err := postAndWait(ctx, p.controller, transferLeadershipEvent{reply: reply}, reply)
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

// leaveAckTimeout bounds the wait for the leader to acknowledge that an
// instance is leaving. A fleet without a leader removes the instance when its
// lease expires.
const leaveAckTimeout = 3 * time.Second

func waitForLeaveAck(ctx context.Context, acked <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, leaveAckTimeout)
	defer cancel()
	select {
	case <-acked:
	case <-ctx.Done():
	}
}

// leaveUntil runs leave until the deadline.
func (p *Process) leaveUntil(ctx context.Context, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	p.leave(ctx)
}

// leave removes the instance from lookups and returns when callers should no
// longer be using it.
func (p *Process) leave(ctx context.Context) {
	if p.entry == nil {
		return
	}
	wasReady := p.entry.Ready() == nil
	acked := make(chan struct{})
	if err := p.controller.post(ctx, leaveEvent{acked: acked}); err != nil {
		return
	}
	if wasReady {
		waitForLeaveAck(ctx, acked)
	}
	deadline := p.options.Clock.Now()
	if v := p.entry.view.Load(); v != nil && wasReady {
		ttl := v.snapshot.Config.Defaults.WithDefaults().LookupTTLMs
		deadline = deadline.Add(ttl.Duration() + leavePropagationTime)
		if f := p.options.FrontEnd; f != nil {
			deadline = deadline.Add(f.StaleLookupTime)
		}
	}
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for p.options.Clock.Now().Before(deadline) || !p.entry.isIdle() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
