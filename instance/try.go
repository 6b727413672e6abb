package instance

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/upstream"
)

// try is one attempt.
type try struct {
	tries   *tries
	choice  azurestair.Choice
	attempt upstream.Attempt
	ctx     context.Context
	cancel  context.CancelFunc
	sent    time.Time
	startAt time.Time
	answer  upstream.Answer
	err     error
}

// discard drops the answer of an attempt that another one has overtaken.
func (e *try) discard() {
	if e.answer.Result == azurestair.AttemptDone && e.answer.Body != nil {
		_ = e.answer.Body.Close()
		e.settle(azurestair.AttemptDone)
	}
	e.cancel()
}

// run sends the attempt and reports its end to the tries and to the gate.
func (e *try) run() {
	c := e.tries.call
	defer e.tries.report(e)
	if !e.wait() {
		e.answer.Result, e.answer.Reason = azurestair.AttemptNotRun, azurestair.ReasonDeadline
		c.gate.abandon(e.choice, false, 0)
		e.cancel()
		return
	}
	e.answer, e.err = c.entry.client.Do(e.ctx, e.choice.Addr, e.attempt)
	if e.answer.State != "" {
		c.gate.confirm(e.choice.Upstream, e.answer.State)
	}
	c.gate.observe(e.choice, azurestair.Observation{
		Load: e.answer.Load, Shed: e.answer.Reason == azurestair.ReasonShed,
		Unreachable: e.answer.Unreachable, Gone: e.answer.Gone,
	})
	if e.choice.Shift && e.answer.Body != nil {
		e.answer.Body = c.entry.links.pacedBody(e.ctx, e.answer.Body, e.choice.Region, c.entry.self.Region)
	}
	switch {
	case e.answer.Result == azurestair.AttemptDone && (c.work.Idempotent || c.isRouted()):
		e.readWhole()
	case e.answer.Result != azurestair.AttemptDone && e.answer.Body != nil:
		_, _ = io.Copy(io.Discard, io.LimitReader(e.answer.Body, wholeLimit))
		_ = e.answer.Body.Close()
	}
	if e.answer.Result != azurestair.AttemptDone || e.answer.Body == nil {
		e.settle(e.answer.Result)
		e.cancel()
	}
}

// wait waits until the attempt may start; it returns false if that is too late.
func (e *try) wait() bool {
	d := e.startAt.Sub(e.tries.call.entry.clock.Now())
	if e.startAt.IsZero() || d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-e.ctx.Done():
		return false
	}
}

// readWhole reads a short answer, so that one that breaks off can be retried.
func (e *try) readWhole() {
	isHead := e.attempt.Method == http.MethodHead
	if e.answer.Length > wholeLimit && !isHead {
		return
	}
	data, err := io.ReadAll(io.LimitReader(e.answer.Body, wholeLimit+1))
	switch {
	case err != nil:
		_ = e.answer.Body.Close()
		e.err = err
		e.answer.Result, e.answer.Reason = azurestair.AttemptBroken, azurestair.ReasonBroken
		if upstream.IsTimeout(err) {
			e.answer.Result, e.answer.Reason = azurestair.AttemptTimeout, azurestair.ReasonTimeout
		}
	case len(data) > wholeLimit:
		e.answer.Body = struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(data), e.answer.Body), e.answer.Body}
	default:
		_ = e.answer.Body.Close()
		e.answer.Body, e.answer.Whole = nil, data
		if !isHead {
			e.answer.Length = int64(len(data))
		}
	}
}

// settle tells the gate how the attempt ended. One that this entry cut off or
// did not send, whose caller broke off the request, or that waited on a silent
// connection says nothing against the upstream.
func (e *try) settle(r azurestair.AttemptResult) {
	g := e.tries.call.gate
	took := e.tries.call.entry.clock.Now().Sub(e.sent)
	switch {
	case r == azurestair.AttemptDone:
		g.done(e.choice, r, took)
	case errors.Is(e.err, azurestair.ErrDeadline), errors.Is(e.err, upstream.ErrRequestBody), e.answer.Silent:
		g.abandon(e.choice, false, took)
	case e.ctx.Err() != nil:
		g.abandon(e.choice, r != azurestair.AttemptNotRun, took)
	default:
		g.done(e.choice, r, took)
	}
}

// reply passes the answer on; the attempt stays open until its body is closed.
func (e *try) reply() caller.Reply {
	r := caller.Reply{
		Outcome: azurestair.OutcomeDone, Upstream: e.choice.Upstream, Status: e.answer.Status, Header: e.answer.Header, Length: e.answer.Length,
	}
	if e.answer.Body == nil {
		r.Body = io.NopCloser(bytes.NewReader(e.answer.Whole))
		return r
	}
	r.Streamed, r.Deadline = true, e.tries.call.work.Deadline
	body := &streamed{ReadCloser: e.answer.Body}
	r.Body = &closer{ReadCloser: body, done: func() {
		e.settle(body.result())
		e.cancel()
	}}
	return r
}
