package instance

import (
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/stdout"
)

// Lines a second on requests. A line takes about 300 bytes and 5 us, so that
// they stay below 100 KB/s and a thousandth of a core under any load.
const (
	doneLines   = 20
	failedLines = 200
)

// requestLog bounds the lines on requests.
type requestLog struct{ done, failed stdout.LineLimit }

func (l *requestLog) allow(isDone bool, now time.Time) (bool, int) {
	if isDone {
		return l.done.Allow(doneLines, now)
	}
	return l.failed.Allow(failedLines, now)
}

// logReply logs the decision on a request with what decided it. Of requests
// that are simply done, a sample is logged.
func (e *Entry) logReply(r *caller.Request, reply caller.Reply, took time.Duration) {
	now := e.clock.Now()
	plain := reply.Reason == azurestair.ReasonNone
	ok, folded := e.lines.allow(plain, now)
	if folded > 0 {
		e.log.Info("request lines left out", "lines", folded, "done", plain)
	}
	if !ok {
		return
	}
	msg := "request done"
	switch {
	case reply.Outcome != azurestair.OutcomeDone:
		msg = "request not done"
	case !plain:
		msg = "answer not repeated"
	}
	args := []any{
		"request", r.ID, "service", r.Service, "operation", r.Operation, "outcome", reply.Outcome, "reason", reply.Reason,
		"notRun", reply.NotRun, "status", reply.Status, "attempts", reply.Attempts, "upstream", reply.Upstream,
		"tookMs", took.Milliseconds(), "caller", r.Caller,
	}
	if v := e.view.Load(); v != nil {
		args = append(args, "configVersion", v.snapshot.ConfigVersion(), "revision", v.snapshot.Revision, "heardMs", now.Sub(v.heardAt).Milliseconds())
	}
	e.log.Info(msg, args...)
}
