package instance

import (
	"context"
	"errors"
	"io"
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

// wholeLimit is the largest answer to an idempotent request that is read as a
// whole before it is passed on, so that one that breaks off can be retried.
const wholeLimit = 64 << 10

// tries runs the attempts of one request.
type tries struct {
	call   *call
	before func() error
	req    retry.Request
	ended  chan *try
	open   []*try
	// fresh is true once an attempt on a reused connection has failed.
	fresh bool
	// over is true once the caller's reply is decided; guarded by mu.
	mu   sync.Mutex
	over bool
	// free is true once the request has had its retry outside the budget.
	free bool
	next int
}

// attempt sends the request until it is done or given up. before runs
// directly before the first byte of each attempt.
func (c *call) attempt(ctx context.Context, before func() error) caller.Reply {
	t := &tries{call: c, before: before, req: retry.NewRequest(c.work), ended: make(chan *try, maxTries)}
	c.gate.countRequest()
	reply := t.serve(ctx)
	reply.Attempts = t.req.Attempts()
	if tried := t.req.Avoid(); len(tried) > 0 && reply.Upstream == "" {
		reply.Upstream = tried[len(tried)-1]
	}
	return reply
}

// maxTries bounds the attempts of one request, so that none waits to report its end.
const maxTries = 8

// serve runs attempts one after the other, with at most one hedge beside the first.
func (t *tries) serve(ctx context.Context) caller.Reply {
	defer t.end()
	if d, ok := t.beginWhenFree(ctx, time.Time{}); !ok {
		return t.finish(d)
	}
	hedge, stop := t.hedgeTimer()
	defer stop()
	gone := ctx.Done()
	for {
		select {
		case <-gone:
			gone = nil
			t.abandon()
		case <-hedge:
			hedge = nil
			t.hedge()
		case e := <-t.ended:
			t.open = slices.DeleteFunc(t.open, func(o *try) bool { return o == e })
			d := t.decide(ctx, e)
			switch {
			case d.Action == retry.Wait:
				continue
			case d.Action == retry.Finish && d.Outcome == azurestair.OutcomeDone:
				return e.reply()
			case d.Action == retry.Finish:
				return t.finish(d)
			}
			if d, ok := t.again(ctx, d); !ok {
				return t.finish(d)
			}
		}
	}
}

// begin starts an attempt; without one it returns what the caller gets. An
// upstream that was tried before gets it no sooner than sameAt.
//
// The attempt has a context of its own: a hedge that loses goes on until it is
// answered, which tells when its slot is free and how slow the upstream is.
func (t *tries) begin(sameAt time.Time) (retry.Decision, bool) {
	c := t.call
	choice, err := c.gate.pick(c.work, t.req.Avoid())
	if err != nil {
		return t.req.Refuse(c.pickReason(err)), false
	}
	return t.start(choice, sameAt)
}

// beginWhenFree starts an attempt of an admitted request. It waits for a slot
// as long as the caller can still be told of a refusal in time.
func (t *tries) beginWhenFree(ctx context.Context, sameAt time.Time) (retry.Decision, bool) {
	c := t.call
	choice, err := c.gate.pickWhenFree(ctx, c.work, t.req.Avoid(), c.work.Deadline.Add(-answerReserve))
	if err != nil {
		return t.req.Refuse(c.pickReason(err)), false
	}
	return t.start(choice, sameAt)
}

// start sends an attempt to the chosen upstream.
func (t *tries) start(choice azurestair.Choice, sameAt time.Time) (retry.Decision, bool) {
	c := t.call
	now := c.entry.clock.Now()
	tryCtx, cancel := context.WithCancel(c.entry.ctx)
	body, n := c.attemptBody()
	if choice.Shift {
		body = c.entry.links.paced(tryCtx, body, c.entry.self.Region, choice.Region)
	}
	t.next++
	e := &try{tries: t, choice: choice, ctx: tryCtx, cancel: cancel, sent: now, attempt: upstream.Attempt{
		ID: t.attemptID(), Upstream: choice.Upstream, Host: c.req.Host,
		Method: c.req.Method, Path: c.req.Path, Header: c.req.Header, Body: body, BodyLen: n,
		Rank: c.work.Rank, Idempotent: c.work.Idempotent, Fresh: t.fresh,
		Deadline: c.gate.attemptDeadline(&t.req, now), BeforeSend: t.before,
	}}
	if slices.Contains(t.req.Avoid(), choice.Upstream) {
		e.startAt = sameAt
	}
	t.req.Begin(choice.Upstream)
	t.open = append(t.open, e)
	c.entry.metrics.attempts.Inc(1)
	go e.run()
	return retry.Decision{}, true
}

// attemptID returns the id of the next attempt: the caller's own or one that
// this entry makes.
func (t *tries) attemptID() azurestair.RequestID {
	if id := t.call.req.AttemptID; id != "" {
		return id
	}
	return azurestair.RequestID(string(t.call.req.ID) + "-" + strconv.Itoa(t.next))
}

// pickReason tells a region that lacks link budget from one that is at its shift cap.
func (c *call) pickReason(err error) azurestair.Reason {
	reason := routing.ReasonOf(err)
	if reason != azurestair.ReasonShiftCap {
		return reason
	}
	v, now, used := c.entry.view.Load(), c.entry.clock.Now(), c.gate.usage().inFlight
	for _, r := range v.snapshot.Config.Regions {
		if r.Name == c.entry.self.Region || used[r.Name] >= v.shift(c.work.Service, r.Name, now) {
			continue
		}
		if !c.entry.links.allows(v, r.Name, now) {
			return azurestair.ReasonLinkBudget
		}
	}
	return reason
}

// again starts a retry when its time has come.
func (t *tries) again(ctx context.Context, d retry.Decision) (retry.Decision, bool) {
	timer := time.NewTimer(max(0, d.At.Sub(t.call.entry.clock.Now())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return t.req.Refuse(azurestair.ReasonDeadline), false
	}
	t.call.entry.metrics.retries.Inc(1)
	return t.beginWhenFree(ctx, d.SameAt)
}

func (t *tries) hedgeTimer() (<-chan time.Time, func()) {
	if t.call.rest != nil || len(t.open) == 0 {
		return nil, func() {}
	}
	at, ok := t.call.gate.hedgeAt(&t.req, t.open[0].sent)
	if !ok {
		return nil, func() {}
	}
	timer := time.NewTimer(max(0, at.Sub(t.call.entry.clock.Now())))
	return timer.C, func() { timer.Stop() }
}

// hedge sends a second attempt on a fresh connection while the first is in flight.
func (t *tries) hedge() {
	if !t.call.gate.mayHedge(&t.req) {
		return
	}
	t.fresh = true
	_, _ = t.begin(time.Time{})
}

// decide takes account of an attempt that has ended.
func (t *tries) decide(ctx context.Context, e *try) retry.Decision {
	ans := e.answer
	if ans.Reused && ans.Result != azurestair.AttemptDone {
		t.fresh = true
	}
	if ctx.Err() != nil && ans.Result != azurestair.AttemptDone {
		return t.endAll(ans)
	}
	if t.call.rest != nil && ans.Result != azurestair.AttemptDone {
		return t.endAll(ans)
	}
	if errors.Is(e.err, azurestair.ErrDeadline) {
		return t.endAll(ans)
	}
	// A connection that was not opened put no load on the upstream.
	free := (ans.Silent || ans.Unreachable) && !t.free
	t.free = t.free || free
	return t.call.gate.next(&t.req, retry.Attempt{Result: ans.Result, Reason: ans.Reason}, free)
}

// endAll gives the request up after an attempt.
func (t *tries) endAll(ans upstream.Answer) retry.Decision {
	t.call.gate.next(&t.req, retry.Attempt{Result: ans.Result, Reason: ans.Reason}, false)
	return t.req.Refuse(ans.Reason)
}

func (t *tries) finish(d retry.Decision) caller.Reply {
	if d.Outcome == azurestair.OutcomeRefused {
		return refused(d.Reason)
	}
	return unknown(d.Reason)
}

// abandon cancels the attempts of a caller that has gone; their connections
// are closed, by which the upstreams learn of it.
func (t *tries) abandon() {
	for _, e := range t.open {
		e.cancel()
	}
}

// end has every attempt that has not been taken discard its answer.
func (t *tries) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.over = true
	for {
		select {
		case e := <-t.ended:
			e.discard()
		default:
			return
		}
	}
}

// report hands an ended attempt to serve, or discards it when nobody waits.
func (t *tries) report(e *try) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.over {
		e.discard()
		return
	}
	t.ended <- e
}

// streamed notes how the body of an answer ends.
type streamed struct {
	io.ReadCloser
	err error
}

// Read reads the body.
func (s *streamed) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.err = err
	}
	return n, err
}

// result counts an answer that broke off against the upstream. One that ran
// into its deadline may have had a slow reader.
func (s *streamed) result() azurestair.AttemptResult {
	if s.err == nil || upstream.IsTimeout(s.err) {
		return azurestair.AttemptDone
	}
	return azurestair.AttemptBroken
}
