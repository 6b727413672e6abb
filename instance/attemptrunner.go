package instance

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/retry"
	"azurestair.example/azurestair/routing"
	"azurestair.example/azurestair/upstream"
)

// retryBufferLimit is the largest response to an idempotent or routed request
// that is buffered before it is forwarded, so that the request can be retried
// if the response breaks off.
const retryBufferLimit = 64 << 10

// attemptRunner runs the attempts of one request.
type attemptRunner struct {
	call       *call
	beforeSend func() error
	retryReq   retry.Request
	completed  chan *attempt
	inFlight   []*attempt
	// freshConn is true once an attempt on a reused connection has failed;
	// later attempts then open a new connection.
	freshConn bool
	// mu guards finished, which is true once the caller's reply is decided.
	mu       sync.Mutex
	finished bool
	// freeRetryUsed is true once the request has made the one retry that is not
	// charged to the retry budget.
	freeRetryUsed bool
	attemptCount  int
	// retryAt is when an upstream takes requests again after all have asked for
	// a pause; zero if they have not.
	retryAt time.Time
}

// runAttempts sends the request until it succeeds or is given up. beforeSend
// runs directly before the first byte of each attempt.
func (c *call) runAttempts(ctx context.Context, beforeSend func() error) caller.Reply {
	r := &attemptRunner{call: c, beforeSend: beforeSend, retryReq: retry.NewRequest(c.work), completed: make(chan *attempt, maxAttempts)}
	c.dispatcher.creditRetryBudget(false)
	reply := r.run(ctx)
	reply.Attempts = r.retryReq.Attempts()
	if tried := r.retryReq.Avoid(); len(tried) > 0 && reply.Upstream == "" {
		reply.Upstream = tried[len(tried)-1]
	}
	return reply
}

// maxAttempts bounds the attempts of one request. It is the capacity of the
// completed channel, so that no attempt blocks when it completes.
const maxAttempts = 8

// run runs attempts one after the other, with at most one hedged attempt in
// parallel with the first.
func (r *attemptRunner) run(ctx context.Context) caller.Reply {
	defer r.close()
	if d, ok := r.startWhenFree(ctx, time.Time{}); !ok {
		return r.failureReply(d)
	}
	hedge, stop := r.hedgeTimer()
	defer stop()
	callerDone := ctx.Done()
	for {
		select {
		case <-callerDone:
			callerDone = nil
			r.cancelAll()
		case <-hedge:
			hedge = nil
			r.startHedge()
		case a := <-r.completed:
			r.inFlight = slices.DeleteFunc(r.inFlight, func(o *attempt) bool { return o == a })
			d := r.decideNext(ctx, a)
			switch {
			case d.Action == retry.Wait:
				continue
			case d.Action == retry.Finish && d.Outcome == azurestair.OutcomeDone:
				return a.reply()
			case d.Action == retry.Finish:
				return r.failureReply(d)
			}
			if d, ok := r.startRetry(ctx, d); !ok {
				return r.failureReply(d)
			}
		}
	}
}

// startNow starts an attempt if an upstream has a free slot. Otherwise it
// returns the decision that ends the request. An upstream that was already
// tried is not sent the attempt before sameAt.
func (r *attemptRunner) startNow(sameAt time.Time) (retry.Decision, bool) {
	c := r.call
	choice, err := c.dispatcher.pick(c.work, r.retryReq.Avoid())
	if err != nil {
		r.retryAt = routing.RetryAtOf(err)
		return r.retryReq.Refuse(c.pickFailureReason(err)), false
	}
	return r.startOn(choice, sameAt)
}

// startWhenFree starts an attempt of an admitted request. It waits for a slot
// for as long as a refusal can still reach the caller before the deadline.
// Otherwise it is the same as startNow.
func (r *attemptRunner) startWhenFree(ctx context.Context, sameAt time.Time) (retry.Decision, bool) {
	c := r.call
	choice, err := c.dispatcher.pickWhenFree(ctx, c.work, r.retryReq.Avoid(), c.work.Deadline.Add(-replyReserve))
	if err != nil {
		r.retryAt = routing.RetryAtOf(err)
		return r.retryReq.Refuse(c.pickFailureReason(err)), false
	}
	return r.startOn(choice, sameAt)
}

// startOn starts an attempt on the chosen upstream.
//
// The attempt does not use the context of the request: a hedged attempt that
// loses runs until it is answered, which shows when its slot is free and how
// slow the upstream is.
func (r *attemptRunner) startOn(choice azurestair.Choice, sameAt time.Time) (retry.Decision, bool) {
	c := r.call
	now := c.entry.clock.Now()
	attemptCtx, cancel := context.WithCancel(c.entry.ctx)
	body, n := c.body.attempt(), c.body.length
	if choice.CrossRegion {
		body = c.entry.linkPacer.pacedReader(attemptCtx, body, c.entry.self.Region, choice.Region)
	}
	r.attemptCount++
	if r.attemptCount == 1 {
		c.dispatcher.creditRetryBudget(true)
	}
	a := &attempt{runner: r, choice: choice, ctx: attemptCtx, cancel: cancel, startedAt: now, params: upstream.Attempt{
		ID: r.attemptID(), Upstream: choice.Upstream, Host: c.req.Host,
		Method: c.req.Method, Path: c.req.Path, Header: c.req.Header, Body: body, BodyLen: n,
		Rank: c.work.Rank, Workspace: c.work.Workspace, Idempotent: c.work.Idempotent, NewConn: r.freshConn,
		Deadline: c.dispatcher.attemptDeadline(&r.retryReq, now), BeforeSend: r.beforeSend,
	}}
	if slices.Contains(r.retryReq.Avoid(), choice.Upstream) {
		a.notBefore = sameAt
	}
	r.retryReq.Begin(choice.Upstream)
	r.inFlight = append(r.inFlight, a)
	c.entry.metrics.attempts.Inc(1)
	go a.run()
	return retry.Decision{}, true
}

// attemptID returns the ID of the next attempt: the one the caller supplied, or
// one derived from the request ID.
func (r *attemptRunner) attemptID() azurestair.RequestID {
	if id := r.call.req.AttemptID; id != "" {
		return id
	}
	return azurestair.RequestID(string(r.call.req.ID) + "-" + strconv.Itoa(r.attemptCount))
}

// pickFailureReason returns the reason why no upstream could be picked. It
// distinguishes a region without link budget from one that has reached its
// shift cap.
func (c *call) pickFailureReason(err error) azurestair.Reason {
	reason := routing.ReasonOf(err)
	if reason != azurestair.ReasonShiftCap {
		return reason
	}
	v, now, used := c.entry.view.Load(), c.entry.leaseNow(), c.dispatcher.usage().inFlight
	for _, r := range v.snapshot.Config.Regions {
		if r.Name == c.entry.self.Region || used[r.Name] >= v.shiftLimit(c.work.Service, r.Name, now) {
			continue
		}
		if !c.entry.linkPacer.hasBudget(v, r.Name, now) {
			return azurestair.ReasonLinkBudget
		}
	}
	return reason
}

// startRetry waits until the retry is due and starts it.
func (r *attemptRunner) startRetry(ctx context.Context, d retry.Decision) (retry.Decision, bool) {
	timer := time.NewTimer(max(0, d.At.Sub(r.call.entry.clock.Now())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return r.retryReq.Refuse(azurestair.ReasonDeadline), false
	}
	r.call.entry.metrics.retries.Inc(1)
	return r.startWhenFree(ctx, d.TriedUpstreamAt)
}

// hedgeTimer returns a channel that fires when a hedged attempt is due, and a
// function that stops the timer. The channel is nil if the request is not
// hedged.
func (r *attemptRunner) hedgeTimer() (<-chan time.Time, func()) {
	if r.call.body.stream != nil || len(r.inFlight) == 0 {
		return nil, func() {}
	}
	at, ok := r.call.dispatcher.hedgeAt(&r.retryReq, r.inFlight[0].startedAt)
	if !ok {
		return nil, func() {}
	}
	timer := time.NewTimer(max(0, at.Sub(r.call.entry.clock.Now())))
	return timer.C, func() { timer.Stop() }
}

// startHedge starts a second attempt on a new connection while the first is in
// flight.
func (r *attemptRunner) startHedge() {
	if !r.call.dispatcher.mayHedge(&r.retryReq) {
		return
	}
	r.freshConn = true
	_, _ = r.startNow(time.Time{})
}

// decideNext returns the decision that follows from a completed attempt.
func (r *attemptRunner) decideNext(ctx context.Context, a *attempt) retry.Decision {
	resp := a.response
	if resp.Reused && resp.Result != azurestair.AttemptDone {
		r.freshConn = true
	}
	if ctx.Err() != nil && resp.Result != azurestair.AttemptDone {
		return r.giveUp(resp)
	}
	if resp.Result != azurestair.AttemptDone && !r.rewindBody(resp.Result) {
		return r.giveUp(resp)
	}
	if errors.Is(a.err, azurestair.ErrDeadline) {
		return r.giveUp(resp)
	}
	// An attempt that found no working connection put no load on the upstream,
	// so its retry is free unless the burst is a joint one.
	free := (resp.ConnStalled || resp.Unreachable) && !r.freeRetryUsed
	r.freeRetryUsed = r.freeRetryUsed || free
	return r.call.dispatcher.decideRetry(&r.retryReq, retry.AttemptOutcome{Result: resp.Result, Reason: resp.Reason}, free)
}

// rewindBody reports whether the body can be sent again after an attempt. A
// body that is still being received from the caller is repeated only if the
// upstream did not run the request: after a timeout, the caller may be the
// cause.
func (r *attemptRunner) rewindBody(last azurestair.AttemptResult) bool {
	body := &r.call.body
	return body.stream == nil || (last == azurestair.AttemptNotRun && body.rewind())
}

// giveUp records the result of an attempt and returns the decision to end the
// request.
func (r *attemptRunner) giveUp(resp upstream.Response) retry.Decision {
	r.call.dispatcher.recordLastAttempt(&r.retryReq, retry.AttemptOutcome{Result: resp.Result, Reason: resp.Reason})
	return r.retryReq.Refuse(resp.Reason)
}

func (r *attemptRunner) failureReply(d retry.Decision) caller.Reply {
	if d.Outcome != azurestair.OutcomeRefused {
		return unknownReply(d.Reason)
	}
	reply := refusedReply(d.Reason)
	if d.Reason == azurestair.ReasonPaused && !r.retryAt.IsZero() {
		// The jitter keeps the callers from returning all at once.
		pause := max(r.retryAt.Sub(r.call.entry.clock.Now()), 0)
		reply.RetryAfter = azurestair.MillisOf(pause + rand.N(pauseJitter))
	}
	return reply
}

// pauseJitter spreads the callers that return after all upstreams have asked
// for a pause.
const pauseJitter = 500 * time.Millisecond

// cancelAll cancels the attempts after the caller has disconnected. This closes
// their connections, which notifies the upstreams.
func (r *attemptRunner) cancelAll() {
	for _, a := range r.inFlight {
		a.cancel()
	}
}

// close marks the request as finished and discards the completed attempts that
// run has not received.
func (r *attemptRunner) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = true
	for {
		select {
		case a := <-r.completed:
			a.discard()
		default:
			return
		}
	}
}

// complete passes a completed attempt to run, or discards it if the request is
// finished.
func (r *attemptRunner) complete(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finished {
		a.discard()
		return
	}
	r.completed <- a
}

// streamedBody records the error that ended the body of a response.
type streamedBody struct {
	io.ReadCloser
	err error
}

// Read implements io.Reader.
func (s *streamedBody) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.err = err
	}
	return n, err
}

// result returns AttemptInterrupted for a body that broke off. A timeout is not
// counted against the upstream, because the caller may have read slowly.
func (s *streamedBody) result() azurestair.AttemptResult {
	if s.err == nil || upstream.IsTimeout(s.err) {
		return azurestair.AttemptDone
	}
	return azurestair.AttemptInterrupted
}
