package instance

import (
	"context"
	"errors"
	"time"

	"azurestair.example/azurestair"
)

// reportTimeout bounds the exchange of one report with its tries. It doubles
// with each failure after the first ones, up to reportTimeoutMax: on a link with
// a long queue, an exchange over a new connection takes several seconds, and one
// that is cut off each second never comes to an end. A leader that is lost or cut
// off is replaced within the first failures; more patience with it would only
// delay the way to the next one.
const (
	reportTimeout    = time.Second
	reportTimeoutMax = 4 * time.Second
	// patientAfter is the number of failures in a row with the usual time.
	patientAfter = 2
	// timeoutTrips is how many times the usual time of an exchange its bound is.
	// Half of it is for the first try, so that an exchange that takes three times
	// as long as usual still gets its answer. A queue at the own link was seen to
	// grow to a second within four; with a fixed bound the connection was dropped,
	// and a fresh one did not open for 6 to 10 s.
	timeoutTrips = 6
	// tookKeep is the part of a longer time that is remembered after each exchange.
	tookKeep = 0.8
)

// reporter sends reports to the leader away from the control goroutine.
type reporter struct {
	leader azurestair.Reporter
	// proposer reaches the leader over the network.
	proposer azurestair.Proposer
	clock    azurestair.Clock
	// failures counts the exchanges that have failed in a row.
	failures int
	// took is about the longest that an exchange has taken lately.
	took time.Duration
	jobs chan azurestair.Report
	post func(event)
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
	controller *Controller
	remote     azurestair.Reporter
}

// Report exchanges a report for the leader's reply.
func (l localFirst) Report(ctx context.Context, q azurestair.Report) (azurestair.ReportReply, error) {
	reply, err := l.controller.Report(ctx, q)
	if errors.Is(err, azurestair.ErrNotLeader) {
		return l.remote.Report(ctx, q)
	}
	return reply, err
}

// propose has the leader apply a command, without the network while this
// instance leads.
func (r *reporter) propose(ctx context.Context, c azurestair.Command) (azurestair.Result, error) {
	if l, ok := r.leader.(localFirst); ok {
		res, err := l.controller.Propose(ctx, c)
		if !errors.Is(err, azurestair.ErrNotLeader) {
			return res, err
		}
	}
	return r.proposer.Propose(ctx, c)
}

func (r *reporter) exchange(ctx context.Context, q azurestair.Report) reportedEvent {
	ctx, cancel := context.WithTimeout(ctx, r.timeout())
	defer cancel()
	sent := r.clock.Now()
	reply, err := r.leader.Report(ctx, q)
	r.failures++
	if err == nil {
		r.failures = 0
		r.took = max(r.clock.Now().Sub(sent), time.Duration(tookKeep*float64(r.took)))
	}
	return reportedEvent{sent: sent, reply: reply, err: err}
}

// timeout returns the bound of the next exchange.
func (r *reporter) timeout() time.Duration {
	usual := max(reportTimeout, timeoutTrips*r.took)
	return min(usual<<min(max(r.failures-patientAfter, 0), 8), reportTimeoutMax)
}
