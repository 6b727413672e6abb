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

// attempt is one attempt to send a request to an upstream.
type attempt struct {
	runner    *attemptRunner
	choice    azurestair.Choice
	params    upstream.Attempt
	ctx       context.Context
	cancel    context.CancelFunc
	startedAt time.Time
	// notBefore is the earliest time to send the attempt; zero means at once.
	notBefore time.Time
	answer    upstream.Response
	err       error
}

// discard closes the answer of an attempt whose result is no longer needed.
func (a *attempt) discard() {
	if a.answer.Result == azurestair.AttemptDone && a.answer.Body != nil {
		_ = a.answer.Body.Close()
		a.reportResult(azurestair.AttemptDone)
	}
	a.cancel()
}

// run waits until notBefore, sends the attempt and reports its result to the
// runner and the dispatcher.
func (a *attempt) run() {
	c := a.runner.call
	defer a.runner.complete(a)
	if !a.wait() {
		a.answer.Result, a.answer.Reason = azurestair.AttemptNotRun, azurestair.ReasonDeadline
		c.dispatcher.abandonAttempt(a.choice, false, 0)
		a.cancel()
		return
	}
	a.answer, a.err = c.entry.upstreamClient.Do(a.ctx, a.choice.Addr, a.params)
	if a.answer.State != "" {
		c.dispatcher.confirmState(a.choice.Upstream, a.answer.State)
	}
	c.dispatcher.observe(a.choice, azurestair.Observation{
		Load: a.answer.Load, Shed: a.answer.Reason == azurestair.ReasonShed,
		Unreachable: a.answer.Unreachable, AddressReused: a.answer.WrongUpstream,
	})
	if a.choice.CrossRegion && a.answer.Body != nil {
		a.answer.Body = c.entry.linkPacer.pacedBody(a.ctx, a.answer.Body, a.choice.Region, c.entry.self.Region)
	}
	switch {
	case a.answer.Result == azurestair.AttemptDone && (c.work.Idempotent || c.isRouted()):
		a.bufferAnswer()
	case a.answer.Result != azurestair.AttemptDone && a.answer.Body != nil:
		_, _ = io.Copy(io.Discard, io.LimitReader(a.answer.Body, retryBufferLimit))
		_ = a.answer.Body.Close()
	}
	if a.answer.Result != azurestair.AttemptDone || a.answer.Body == nil {
		a.reportResult(a.answer.Result)
		a.cancel()
	}
}

// wait blocks until notBefore. It returns false if the attempt is cancelled
// first.
func (a *attempt) wait() bool {
	d := a.notBefore.Sub(a.runner.call.entry.clock.Now())
	if a.notBefore.IsZero() || d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// bufferAnswer buffers an answer of up to retryBufferLimit bytes, so that the
// request can be retried if the answer breaks off.
func (a *attempt) bufferAnswer() {
	isHead := a.params.Method == http.MethodHead
	if a.answer.Length > retryBufferLimit && !isHead {
		return
	}
	data, err := io.ReadAll(io.LimitReader(a.answer.Body, retryBufferLimit+1))
	switch {
	case err != nil:
		_ = a.answer.Body.Close()
		a.err = err
		a.answer.Result, a.answer.Reason = azurestair.AttemptInterrupted, azurestair.ReasonBroken
		if upstream.IsTimeout(err) {
			a.answer.Result, a.answer.Reason = azurestair.AttemptTimeout, azurestair.ReasonTimeout
		}
	case len(data) > retryBufferLimit:
		a.answer.Body = struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(data), a.answer.Body), a.answer.Body}
	default:
		_ = a.answer.Body.Close()
		a.answer.Body, a.answer.BodyBytes = nil, data
		if !isHead {
			a.answer.Length = int64(len(data))
		}
	}
}

// reportResult reports the result of the attempt to the dispatcher. An attempt
// that this entry cancelled or never sent, whose caller aborted the request
// body, or that waited on an unresponsive connection is not counted against the
// upstream.
func (a *attempt) reportResult(r azurestair.AttemptResult) {
	d := a.runner.call.dispatcher
	took := a.runner.call.entry.clock.Now().Sub(a.startedAt)
	switch {
	case r == azurestair.AttemptDone:
		d.finishAttempt(a.choice, r, took)
	case errors.Is(a.err, azurestair.ErrDeadline), errors.Is(a.err, upstream.ErrRequestBody), a.answer.ConnStalled:
		d.abandonAttempt(a.choice, false, took)
	case a.ctx.Err() != nil:
		d.abandonAttempt(a.choice, r != azurestair.AttemptNotRun, took)
	default:
		d.finishAttempt(a.choice, r, took)
	}
}

// reply returns the answer as the caller's reply. A streamed attempt stays open
// until the reply body is closed.
func (a *attempt) reply() caller.Reply {
	r := caller.Reply{
		Outcome: azurestair.OutcomeDone, Upstream: a.choice.Upstream, Status: a.answer.Status, Header: a.answer.Header, Length: a.answer.Length,
	}
	if a.answer.Body == nil {
		r.Body = io.NopCloser(bytes.NewReader(a.answer.BodyBytes))
		return r
	}
	r.Streamed, r.Deadline = true, a.runner.call.work.Deadline
	body := &streamedBody{ReadCloser: a.answer.Body}
	r.Body = &closeHook{ReadCloser: body, onClose: func() {
		a.reportResult(body.result())
		a.cancel()
	}}
	return r
}
