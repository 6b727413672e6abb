package instance

import (
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/stdout"
)

// Maximum numbers of log lines per second about requests. A line takes about
// 300 bytes and 5 µs, so the lines stay below 100 KB/s and a thousandth of a
// core under any load.
const (
	doneLinesPerSecond   = 20
	failedLinesPerSecond = 200
)

// requestLogLimiter limits the rate of log lines about requests.
type requestLogLimiter struct{ done, failed stdout.LineLimiter }

func (l *requestLogLimiter) allow(isDone bool, now time.Time) (bool, int) {
	if isDone {
		return l.done.Allow(doneLinesPerSecond, now)
	}
	return l.failed.Allow(failedLinesPerSecond, now)
}

// logReply logs the outcome of a request and the reason for it. Successful
// requests are sampled.
func (e *Entry) logReply(r *caller.Request, reply caller.Reply, took time.Duration) {
	now := e.clock.Now()
	hasNoReason := reply.Reason == azurestair.ReasonNone
	ok, suppressed := e.requestLog.allow(hasNoReason, now)
	if suppressed > 0 {
		e.log.Info("request lines left out", "lines", suppressed, "done", hasNoReason)
	}
	if !ok {
		return
	}
	msg := "request done"
	switch {
	case reply.Outcome != azurestair.OutcomeDone:
		msg = "request not done"
	case !hasNoReason:
		msg = "answer not repeated"
	}
	args := []any{
		"request", r.ID, "service", r.Service, "operation", r.Operation, "outcome", reply.Outcome, "reason", reply.Reason,
		"notRun", reply.NotRun, "status", reply.Status, "attempts", reply.Attempts, "upstream", reply.Upstream,
		"tookMs", took.Milliseconds(), "caller", r.Caller,
	}
	if r.Workspace != "" {
		args = append(args, "workspace", r.Workspace)
	}
	if v := e.view.Load(); v != nil {
		args = append(args, "configVersion", v.snapshot.ConfigVersion(), "revision", v.snapshot.Revision, "heardMs", e.leaseNow().Sub(v.heardAt).Milliseconds())
	}
	e.log.Info(msg, args...)
}
