package instance

import (
	"sync"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
)

// Lines a second on requests. A line takes about 300 bytes and 5 us, so that
// they stay below 100 KB/s and a thousandth of a core under any load.
const (
	doneLines   = 20
	failedLines = 200
)

// lineLimit bounds the lines of one kind in each second and counts the others.
type lineLimit struct {
	most   int
	second time.Time
	lines  int
	folded int
}

// allow reports whether a line may be written now and, at the first line of a
// second, how many were left out since the last one.
func (l *lineLimit) allow(now time.Time) (bool, int) {
	folded := 0
	if now.Sub(l.second) >= time.Second {
		folded = l.folded
		l.second, l.lines, l.folded = now, 0, 0
	}
	if l.lines >= l.most {
		l.folded++
		return false, folded
	}
	l.lines++
	return true, folded
}

// requestLog bounds the lines on requests.
type requestLog struct {
	mu           sync.Mutex
	done, failed lineLimit
}

func (l *requestLog) allow(isDone bool, now time.Time) (bool, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done.most, l.failed.most = doneLines, failedLines
	if isDone {
		return l.done.allow(now)
	}
	return l.failed.allow(now)
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
