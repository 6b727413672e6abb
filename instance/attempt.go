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
	// sentAt is when the attempt was passed to the client of the upstreams,
	// after the wait until notBefore.
	sentAt time.Time
	// notBefore is the earliest time to send the attempt; zero means at once.
	notBefore time.Time
	response  upstream.Response
	err       error
	// reported is true once the result has been reported to the dispatcher.
	reported bool
}

// discard closes the response of an attempt whose result is no longer needed.
func (a *attempt) discard() {
	if a.response.Result == azurestair.AttemptDone && a.response.Body != nil {
		_ = a.response.Body.Close()
		a.reportResult(azurestair.AttemptDone)
	}
	a.cancel()
}

// run waits until notBefore, sends the attempt and reports its result to the
// runner and the dispatcher.
func (a *attempt) run() {
	c := a.runner.call
	defer a.runner.complete(a)
	defer a.recoverPanic()
	if !a.wait() {
		a.response.Result, a.response.Reason = azurestair.AttemptNotRun, azurestair.ReasonDeadline
		a.reported = true
		c.dispatcher.abandonAttempt(a.choice, false, 0)
		a.cancel()
		return
	}
	a.sentAt = c.entry.clock.Now()
	a.response, a.err = c.entry.upstreamClient.Do(a.ctx, a.choice.Addr, a.params)
	if a.response.State != "" {
		c.dispatcher.confirmState(a.choice.Upstream, a.choice.Incarnation, a.response.State)
	}
	leaving := a.response.State == azurestair.StateDraining || a.response.State == azurestair.StateLeaving
	c.dispatcher.observe(a.choice, azurestair.Observation{
		Load: a.response.Load, Shed: a.response.Reason == azurestair.ReasonShed,
		Unreachable: a.response.Unreachable, AddressReused: a.response.WrongUpstream,
		ConnLost: a.response.ConnLost, ConnectedAt: a.response.ConnectedAt, Leaving: leaving, PausedUntil: a.response.PausedUntil,
	})
	if leaving {
		c.entry.reportLeaving(a.choice)
	}
	if a.choice.CrossRegion && a.response.Body != nil {
		a.response.Body = c.entry.linkPacer.pacedBody(a.ctx, a.response.Body, a.choice.Region, c.entry.self.Region)
	}
	switch {
	case a.response.Result == azurestair.AttemptDone && (c.work.Idempotent || c.isRouted()):
		a.bufferResponse()
	case a.response.Result != azurestair.AttemptDone && a.response.Body != nil:
		_, _ = io.Copy(io.Discard, io.LimitReader(a.response.Body, retryBufferLimit))
		_ = a.response.Body.Close()
	}
	if a.response.Result != azurestair.AttemptDone || a.response.Body == nil {
		a.reportResult(a.response.Result)
		a.cancel()
	}
}

// recoverPanic ends an attempt that has panicked as one that may have run.
func (a *attempt) recoverPanic() {
	v := recover()
	if v == nil {
		return
	}
	a.runner.call.entry.panics.record("attempt", v)
	a.response = upstream.Response{Result: azurestair.AttemptInterrupted, Reason: azurestair.ReasonBroken}
	a.reportResult(azurestair.AttemptInterrupted)
	a.cancel()
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

// bufferResponse buffers a response of up to retryBufferLimit bytes, so that
// the request can be retried if the response breaks off.
func (a *attempt) bufferResponse() {
	isHead := a.params.Method == http.MethodHead
	if a.response.Length > retryBufferLimit && !isHead {
		return
	}
	length := a.response.Length
	if isHead {
		length = 0
	}
	size := length
	if size < 0 {
		// The buffer doubles as it grows.
		size = 2 * retryBufferLimit
	}
	if !a.runner.call.reserveResponse(size) {
		return
	}
	data, err := readBuffered(a.response.Body, length, retryBufferLimit)
	switch {
	case err != nil:
		_ = a.response.Body.Close()
		a.err = err
		a.response.Result, a.response.Reason = azurestair.AttemptInterrupted, azurestair.ReasonBroken
		if upstream.IsTimeout(err) {
			a.response.Result, a.response.Reason = azurestair.AttemptTimeout, azurestair.ReasonTimeout
		}
	case len(data) > retryBufferLimit:
		a.response.Body = struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(data), a.response.Body), a.response.Body}
	default:
		_ = a.response.Body.Close()
		a.response.Body, a.response.BodyBytes = nil, data
		if !isHead {
			a.response.Length = int64(len(data))
		}
	}
}

// reportResult reports the result of the attempt to the dispatcher. An attempt
// that this entry cancelled or never sent, whose caller aborted the request
// body, or that waited on an unresponsive connection is not counted against the
// upstream.
func (a *attempt) reportResult(r azurestair.AttemptResult) {
	if a.reported {
		return
	}
	a.reported = true
	d := a.runner.call.dispatcher
	took := a.runner.call.entry.clock.Now().Sub(a.sentAt)
	switch {
	case r == azurestair.AttemptDone:
		d.finishAttempt(a.choice, r, took)
	case errors.Is(a.err, azurestair.ErrDeadline), errors.Is(a.err, upstream.ErrRequestBody), a.response.ConnStalled:
		d.abandonAttempt(a.choice, false, took)
	case a.ctx.Err() != nil:
		d.abandonAttempt(a.choice, r != azurestair.AttemptNotRun, took)
	default:
		d.finishAttempt(a.choice, r, took)
	}
}

// reply returns the response as the caller's reply. A streamed attempt stays
// open until the reply body is closed.
func (a *attempt) reply() caller.Reply {
	r := caller.Reply{
		Outcome: azurestair.OutcomeDone, Upstream: a.choice.Upstream, Status: a.response.Status, Header: a.response.Header, Length: a.response.Length,
	}
	if a.response.Body == nil {
		r.Body = io.NopCloser(bytes.NewReader(a.response.BodyBytes))
		return r
	}
	r.Streamed, r.Deadline = true, a.runner.call.work.Deadline
	body := &streamedBody{ReadCloser: a.response.Body}
	r.Body = &closeHook{ReadCloser: body, onClose: func() {
		a.reportResult(body.result())
		a.cancel()
	}}
	return r
}
