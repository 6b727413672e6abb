package instance

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"azurestair.example/azurestair"
)

const (
	// maxLeavingQueued bounds the queued departures. Those that do not fit are
	// reported with a later response of the upstream.
	maxLeavingQueued = 256
	// maxLeavingDelay spreads the reports of the entries: once one of them is
	// accepted, the others need not report.
	maxLeavingDelay = 500 * time.Millisecond
	// leavingReportTimeout bounds one report.
	leavingReportTimeout = 2 * time.Second
)

// leavingReporter reports upstreams that say in their responses that they are
// leaving, so that the other entries stop using them too.
type leavingReporter struct {
	entry    *Entry
	proposer azurestair.Proposer
	log      *slog.Logger
	queue    chan azurestair.Departure
	// reported holds the departures that a leader has accepted.
	reported map[azurestair.Departure]bool
}

func newLeavingReporter(e *Entry, p azurestair.Proposer, log *slog.Logger) *leavingReporter {
	return &leavingReporter{
		entry: e, proposer: p, log: log, queue: make(chan azurestair.Departure, maxLeavingQueued), reported: map[azurestair.Departure]bool{},
	}
}

// reportLeaving queues the departure of an upstream. It does not block.
func (e *Entry) reportLeaving(c azurestair.Choice) {
	if e.leaving == nil {
		return
	}
	select {
	case e.leaving.queue <- azurestair.Departure{Upstream: c.Upstream, Incarnation: c.Incarnation}:
	default:
	}
}

// run reports departures until ctx ends. A departure that cannot be reported is
// reported again with the next response of the upstream.
func (l *leavingReporter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-l.queue:
			if !l.isNews(d) {
				continue
			}
			t := time.NewTimer(rand.N(maxLeavingDelay))
			select {
			case <-ctx.Done():
				t.Stop()
				return
			case <-t.C:
			}
			if l.isNews(d) {
				l.report(ctx, d)
			}
		}
	}
}

// isNews reports whether the other entries may still use the upstream.
func (l *leavingReporter) isNews(d azurestair.Departure) bool {
	v := l.entry.view.Load()
	if v == nil || l.reported[d] {
		return false
	}
	for _, u := range v.snapshot.Upstreams {
		a := u.Announcement
		if a.Upstream == d.Upstream {
			return a.Incarnation == d.Incarnation && a.State == azurestair.StateServing
		}
	}
	return false
}

func (l *leavingReporter) report(ctx context.Context, d azurestair.Departure) {
	ctx, cancel := context.WithTimeout(ctx, leavingReportTimeout)
	defer cancel()
	if _, err := l.proposer.Propose(ctx, azurestair.Command{Departure: &d}); err != nil {
		l.log.Warn("departure of an upstream not reported", "upstream", d.Upstream, "incarnation", d.Incarnation, "err", err)
		return
	}
	if len(l.reported) >= maxLeavingQueued {
		l.reported = map[azurestair.Departure]bool{}
	}
	l.reported[d] = true
	l.log.Info("departure of an upstream reported", "upstream", d.Upstream, "incarnation", d.Incarnation)
}
