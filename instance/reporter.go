package instance

import (
	"context"
	"errors"
	"time"

	"azurestair.example/azurestair"
)

// reportTimeout bounds the exchange of one report, including retries. It
// doubles with each consecutive failure after the first backoffAfter ones, up
// to reportTimeoutMax: on a link with a long queue, an exchange over a new
// connection takes several seconds and would never complete if it were cut off
// every second. A leader that has failed or is partitioned is replaced within
// the first failures, so a longer timeout for these would only delay the switch
// to the next leader.
const (
	reportTimeout    = time.Second
	reportTimeoutMax = 4 * time.Second
	// backoffAfter is the number of consecutive failures before the timeout
	// grows.
	backoffAfter = 2
	// timeoutFactor is the ratio of the timeout to the usual duration of an
	// exchange. Half of the timeout is for the first attempt, so an exchange
	// that takes three times as long as usual still completes. The queue at an
	// instance's own link was observed to grow to one second within four
	// seconds; with a fixed timeout the connection was dropped, and a new one
	// did not open for 6 to 10 s.
	timeoutFactor = 6
	// durationDecay is the fraction of recentDuration that is kept after a
	// shorter exchange.
	durationDecay = 0.8
)

// reporter sends reports to the leader outside the control goroutine.
type reporter struct {
	leader azurestair.Reporter
	// proposer reaches the leader over the network.
	proposer azurestair.Proposer
	// clock is the lease clock: what a reply grants counts from the time at
	// which the report was sent.
	clock azurestair.Clock
	// failures is the number of consecutive failed exchanges.
	failures int
	// recentDuration is a decaying maximum of the duration of exchanges.
	recentDuration time.Duration
	jobs           chan azurestair.Report
	post           func(event)
}

func newReporter(leader azurestair.Reporter, clock azurestair.Clock) *reporter {
	return &reporter{leader: leader, clock: clock, jobs: make(chan azurestair.Report, 1)}
}

// run sends reports until ctx ends.
func (r *reporter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case report := <-r.jobs:
			r.post(r.exchange(ctx, report))
		}
	}
}

// localLeaderReporter reports to this instance while it is the leader, and
// otherwise over the network.
type localLeaderReporter struct {
	controller *Controller
	remote     azurestair.Reporter
}

// Report sends a report to the leader and returns its reply.
func (l localLeaderReporter) Report(ctx context.Context, report azurestair.Report) (azurestair.ReportReply, error) {
	reply, err := l.controller.Report(ctx, report)
	if errors.Is(err, azurestair.ErrNotLeader) {
		return l.remote.Report(ctx, report)
	}
	return reply, err
}

// propose submits a command to the leader, without using the network if this
// instance is the leader.
func (r *reporter) propose(ctx context.Context, c azurestair.Command) (azurestair.Result, error) {
	if l, ok := r.leader.(localLeaderReporter); ok {
		res, err := l.controller.Propose(ctx, c)
		if !errors.Is(err, azurestair.ErrNotLeader) {
			return res, err
		}
	}
	return r.proposer.Propose(ctx, c)
}

func (r *reporter) exchange(ctx context.Context, report azurestair.Report) reportDoneEvent {
	ctx, cancel := context.WithTimeout(ctx, r.timeout())
	defer cancel()
	sent := r.clock.Now()
	reply, err := r.leader.Report(ctx, report)
	r.failures++
	if err == nil {
		r.failures = 0
		// The time for which the machine was suspended says nothing about the
		// network.
		took := min(r.clock.Now().Sub(sent), reportTimeoutMax)
		r.recentDuration = max(took, time.Duration(durationDecay*float64(r.recentDuration)))
	}
	return reportDoneEvent{sent: sent, reply: reply, err: err}
}

// timeout returns the timeout of the next exchange.
func (r *reporter) timeout() time.Duration {
	usual := max(reportTimeout, timeoutFactor*r.recentDuration)
	return min(usual<<min(max(r.failures-backoffAfter, 0), 8), reportTimeoutMax)
}
