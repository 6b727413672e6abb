package instance

import (
	"context"
	"errors"
	"time"

	"azurestair.example/azurestair"
)

// reportTimeout bounds the exchange of one report with its tries.
const reportTimeout = time.Second

// reporter sends reports to the leader away from the control goroutine.
type reporter struct {
	leader azurestair.Reporter
	clock  azurestair.Clock
	jobs   chan azurestair.Report
	post   func(event)
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
		case q := <-r.jobs:
			r.post(r.exchange(ctx, q))
		}
	}
}

// localFirst reports to this instance while it is the leader, and otherwise
// over the network.
type localFirst struct {
	local, remote azurestair.Reporter
}

// Report exchanges a report for the leader's reply.
func (l localFirst) Report(ctx context.Context, q azurestair.Report) (azurestair.ReportReply, error) {
	reply, err := l.local.Report(ctx, q)
	if errors.Is(err, azurestair.ErrNotLeader) {
		return l.remote.Report(ctx, q)
	}
	return reply, err
}

func (r *reporter) exchange(ctx context.Context, q azurestair.Report) reportedEvent {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sent := r.clock.Now()
	reply, err := r.leader.Report(ctx, q)
	return reportedEvent{sent: sent, reply: reply, err: err}
}
