package instance

import (
	"context"
	"errors"
	"io"
	"maps"
	"strings"
	"sync"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/routing"
)

// call is a request that this entry is serving.
type call struct {
	entry      *Entry
	dispatcher *dispatcher
	req        *caller.Request
	op         azurestair.Operation
	work       azurestair.RequestInfo
	config     *azurestair.Config
	// route is the route that the request matched, or nil for a request that
	// names its operation.
	route *azurestair.Route
	body  requestBody
	quota quotaUse
	// sendBy is the deadline of the claim by the lease clock.
	sendBy time.Time
	// releaseOnce ensures that the admitted slot is released only once.
	releaseOnce sync.Once
}

// releaseSlot releases the admitted slot; further calls do nothing.
func (c *call) releaseSlot() {
	c.releaseOnce.Do(func() { c.dispatcher.release(c.work) })
}

// releaseSlotAfter releases the admitted slot once the upstream has finished:
// at once, or when the body of a streamed response is closed. Sending a
// buffered response to a slow caller holds no slot.
func (c *call) releaseSlotAfter(r caller.Reply) caller.Reply {
	if !r.Streamed {
		c.releaseSlot()
		return r
	}
	return releaseOnClose(r, c.releaseSlot)
}

// Serve handles a request and returns its reply.
func (e *Entry) Serve(ctx context.Context, r *caller.Request) caller.Reply {
	n := e.inFlight.Add(1)
	started := e.clock.Now()
	var reply caller.Reply
	if e.maxInFlight > 0 && n > e.maxInFlight {
		reply = refuseWithoutLedger(r, azurestair.ReasonQueueFull)
	} else {
		reply = e.serve(ctx, r, started)
	}
	if callerCancelled(ctx, reply) {
		reply.Reason = azurestair.ReasonCallerLeft
	}
	reply = releaseOnClose(reply, func() { e.inFlight.Add(-1) })
	took := e.clock.Now().Sub(started)
	e.metrics.observeReply(reply, took)
	e.logReply(r, reply, took)
	return reply
}

// callerCancelled reports whether a request failed because its caller
// disconnected. Its attempts were then cancelled, which says nothing about the
// upstreams.
func callerCancelled(ctx context.Context, r caller.Reply) bool {
	failed := r.Outcome == azurestair.OutcomeRefused || r.Outcome == azurestair.OutcomeUnknown
	return failed && errors.Is(ctx.Err(), context.Canceled)
}

// CountRejected counts a reply that was sent without calling Serve.
func (e *Entry) CountRejected(r *caller.Request, reply caller.Reply) {
	e.metrics.countReply(reply)
	e.logReply(r, reply, 0)
}

func (e *Entry) serve(ctx context.Context, r *caller.Request, now time.Time) caller.Reply {
	v := e.view.Load()
	if v == nil || v.snapshot.ConfigVersion() == 0 {
		return refuseWithoutLedger(r, azurestair.ReasonNotReady)
	}
	route, op, ok := e.resolveOperation(v, r)
	d := e.allDispatchers()[r.Service]
	if !ok && r.Host != "" && e.leaseNow().Sub(v.heardAt) > maxRouteAge {
		// A newer configuration may have the route.
		return refusedReply(azurestair.ReasonNotReady)
	}
	if !ok || d == nil {
		return clearUnprovenNotRun(r, invalidReply(azurestair.ReasonUnknownOperation))
	}
	c := &call{entry: e, dispatcher: d, req: r, op: op, config: v.snapshot.Config, route: route, work: azurestair.RequestInfo{
		Service: r.Service, Operation: r.Operation, Rank: op.Rank, Idempotent: op.Idempotent, Caller: r.Caller,
		Deadline: deadlineOf(r, op, now),
	}}
	if route != nil {
		c.work.HomeRegions, c.work.MaxAttempts = route.HomeRegions, route.MaxAttempts
		if route.Sticky {
			c.work.Object = r.Object
		}
	}
	if reply, ok := c.assignWorkspace(v); !ok {
		return reply
	}
	d.countRequest()
	if !e.admitsDuringShutdown(c.work, now) {
		return e.refuseInShutdown(r, v)
	}
	if !d.beginRequest() {
		return clearUnprovenNotRun(r, invalidReply(azurestair.ReasonUnknownOperation))
	}
	ctx, cancel := context.WithDeadline(ctx, c.work.Deadline)
	done := func() {
		cancel()
		c.body.close()
		d.endRequest()
	}
	if c.isUnkeyed() {
		return releaseOnClose(c.mayEvictResponse(ctx, c.settleQuota(c.serveUnkeyed(ctx))), done)
	}
	if op.Idempotent {
		return releaseOnClose(c.mayEvictResponse(ctx, clearUnprovenNotRun(r, c.settleQuota(c.serveIdempotent(ctx)))), done)
	}
	return releaseOnClose(c.mayEvictResponse(ctx, c.settleQuota(c.serveAtMostOnce(ctx))), done)
}

// maxRouteAge is how old the leader's last reply may be for a request without a
// matching route to be rejected as unknown. If the reply is older, the request
// is refused as not ready, because a newer configuration may have the route. A
// report each second renews the reply.
const maxRouteAge = 1500 * time.Millisecond

// resolveOperation returns the operation of a request: the one that it names
// or, for a request with a host, the one of the matching route. In the latter
// case it also sets the request's operation and service.
func (e *Entry) resolveOperation(v *view, r *caller.Request) (*azurestair.Route, azurestair.Operation, bool) {
	if r.Host == "" {
		op, ok := v.snapshot.Config.Operation(r.Service, r.Operation)
		return nil, op, ok
	}
	path, _, _ := strings.Cut(r.Path, "?")
	route, ok := v.routes.Find(r.Host, path)
	if !ok {
		return nil, azurestair.Operation{}, false
	}
	op := route.Operation()
	r.Operation, r.Service = op.Name, e.nextRouteService(&route)
	return &route, op, true
}

// nextRouteService counts a request of a route and returns the service to send
// it to.
func (e *Entry) nextRouteService(r *azurestair.Route) azurestair.ServiceName {
	e.splitMu.Lock()
	defer e.splitMu.Unlock()
	e.homeTracker.Record(r)
	if e.splitters == nil {
		e.splitters = map[azurestair.RouteName]*routing.Splitter{}
	}
	s, ok := e.splitters[r.Name]
	if !ok {
		s = &routing.Splitter{}
		e.splitters[r.Name] = s
	}
	return s.Next(r.Services)
}

// forgetRoutes forgets what is kept of routes, hosts and operations that the
// configuration does not have.
func (e *Entry) forgetRoutes(cfg *azurestair.Config) {
	if cfg == e.routesOf {
		return
	}
	e.routesOf = cfg
	routes, hosts, operations := map[azurestair.RouteName]bool{}, map[string]bool{}, map[azurestair.OperationName]bool{}
	for _, r := range cfg.Routes {
		routes[r.Name], hosts[r.Host], operations[r.Operation().Name] = true, true, true
	}
	for _, s := range cfg.Services {
		for _, o := range s.Operations {
			operations[o.Name] = true
		}
	}
	e.splitMu.Lock()
	maps.DeleteFunc(e.splitters, func(n azurestair.RouteName, _ *routing.Splitter) bool { return !routes[n] })
	e.homeTracker.Retain(func(host string) bool { return hosts[host] })
	e.splitMu.Unlock()
	e.linkMu.Lock()
	e.ownLink.Retain(func(o azurestair.OperationName) bool { return operations[o] })
	e.linkMu.Unlock()
}

// isRouted reports whether the request matched a route.
func (c *call) isRouted() bool { return c.route != nil }

// isUnkeyed reports whether the request is routed and has no idempotency key.
func (c *call) isUnkeyed() bool { return c.isRouted() && c.req.Key == "" }

// serveUnkeyed forwards a routed request without an idempotency key. A retry by
// the caller is then a separate request, so only this entry ever sends this
// one. If it is not idempotent, it is retried only after proof that it did not
// run, so no ledger is needed.
func (c *call) serveUnkeyed(ctx context.Context) caller.Reply {
	if !c.entry.admitLink(c.work) {
		return refusedReply(azurestair.ReasonLinkFull)
	}
	if reason := c.readBody(ctx); reason != azurestair.ReasonNone {
		return bodyReply(reason)
	}
	if reason := c.admit(ctx); reason != azurestair.ReasonNone {
		return refusedReply(reason)
	}
	reply := c.rejectTooLarge(c.releaseSlotAfter(c.runAttempts(ctx, nil)))
	if reply.Outcome != azurestair.OutcomeDone {
		return reply
	}
	body := &countedBody{ReadCloser: reply.Body}
	reply.Body = body
	return releaseOnClose(reply, func() { c.entry.observeLink(c.work, c.body.received()+body.read) })
}

// countedBody counts the bytes of a body that have been read. What a header
// announces may never come.
type countedBody struct {
	io.ReadCloser
	read azurestair.Bytes
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += azurestair.Bytes(n)
	return n, err
}

// admitLink reports whether the entry's own network link has capacity for the
// work.
func (e *Entry) admitLink(w azurestair.RequestInfo) bool {
	e.linkMu.Lock()
	defer e.linkMu.Unlock()
	return e.ownLink.Admit(w.Operation, w.Rank, e.clock.Now())
}

func (e *Entry) observeLink(w azurestair.RequestInfo, n azurestair.Bytes) {
	e.linkMu.Lock()
	defer e.linkMu.Unlock()
	e.ownLink.Observe(w.Operation, n)
}

// deadlineOf returns the caller's deadline, limited by the timeout of the
// operation.
func deadlineOf(r *caller.Request, op azurestair.Operation, now time.Time) time.Time {
	limit := now.Add(op.TimeoutMs.Duration())
	if r.Deadline.IsZero() || r.Deadline.After(limit) {
		return limit
	}
	return r.Deadline
}

func invalidReply(reason azurestair.Reason) caller.Reply {
	return caller.Reply{Outcome: azurestair.OutcomeInvalid, Reason: reason, NotRun: true}
}

func refusedReply(reason azurestair.Reason) caller.Reply {
	after := retryAfter
	if reason == azurestair.ReasonNotReady {
		after = notReadyRetryAfter
	}
	return caller.Reply{Outcome: azurestair.OutcomeRefused, Reason: reason, NotRun: true, RetryAfter: after}
}

func unknownReply(reason azurestair.Reason) caller.Reply {
	return caller.Reply{Outcome: azurestair.OutcomeUnknown, Reason: reason, RetryAfter: retryAfter}
}

const (
	// retryAfter is how long a caller is asked to wait before it retries.
	retryAfter azurestair.Millis = 500
	// notReadyRetryAfter applies to an entry without a configuration, and to one
	// that shuts down while no other is ready. After all processes were killed,
	// an entry reached a leader again after 1 to 1.5 s.
	notReadyRetryAfter azurestair.Millis = 1500
)

// refuseWithoutLedger refuses a request for which the ledger was not queried. A
// request with a key may have run through another entry, so its outcome is
// reported as unknown.
func refuseWithoutLedger(r *caller.Request, reason azurestair.Reason) caller.Reply {
	if r.Key != "" {
		return unknownReply(azurestair.ReasonLedgerUnreachable)
	}
	return refusedReply(reason)
}

// refuseInShutdown refuses a request that might outlast the shutdown of this
// entry. The caller may retry at once if another entry is ready.
func (e *Entry) refuseInShutdown(r *caller.Request, v *view) caller.Reply {
	reply := refuseWithoutLedger(r, azurestair.ReasonShuttingDown)
	reply.RetryAfter = notReadyRetryAfter
	for _, i := range v.snapshot.Instances {
		if i.ID != e.self.ID && i.CallerAddr != "" && i.Ready {
			reply.RetryAfter = 0
			break
		}
	}
	return reply
}

// clearUnprovenNotRun clears NotRun in the reply to a request with a key if the
// ledger was not queried, since the request may have run before under its key.
func clearUnprovenNotRun(r *caller.Request, reply caller.Reply) caller.Reply {
	if r.Key == "" || !reply.NotRun {
		return reply
	}
	reply.NotRun = false
	if reply.Outcome == azurestair.OutcomeRefused {
		reply.Outcome = azurestair.OutcomeUnknown
	}
	return reply
}

// releaseOnClose calls done when the body of the reply is closed, or at once if
// there is none.
func releaseOnClose(r caller.Reply, done func()) caller.Reply {
	if r.Body == nil {
		done()
		return r
	}
	r.Body = &closeHook{ReadCloser: r.Body, onClose: done}
	return r
}

// closeHook is a body that calls onClose when it is closed.
type closeHook struct {
	io.ReadCloser
	onClose func()
}

// Close closes the body and calls onClose once.
func (c *closeHook) Close() error {
	err := c.ReadCloser.Close()
	if c.onClose != nil {
		c.onClose()
		c.onClose = nil
	}
	return err
}

// serveIdempotent forwards a request that may run any number of times.
func (c *call) serveIdempotent(ctx context.Context) caller.Reply {
	if reason := c.readBody(ctx); reason != azurestair.ReasonNone {
		return bodyReply(reason)
	}
	if reason := c.admit(ctx); reason != azurestair.ReasonNone {
		return refusedReply(reason)
	}
	return c.rejectTooLarge(c.releaseSlotAfter(c.runAttempts(ctx, nil)))
}
