package upstream

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"azurestair.example/azurestair"
)

// Headers of the protocol between an entry and an upstream, in canonical form.
const (
	HeaderAttemptID = "Azurestair-Request"
	HeaderTimeLeft  = "Azurestair-Time-Left-Ms"
	HeaderRank      = "Azurestair-Rank"
	HeaderWorkspace = "Azurestair-Workspace"
	HeaderState     = "Azurestair-State"
	HeaderNotRun    = "Azurestair-Not-Run"
)

// Attempt is one transmission of a request to one upstream.
type Attempt struct {
	ID     azurestair.RequestID
	Method string
	Path   string
	// Host is the value of the Host header; if empty, the upstream's address is
	// used.
	Host    string
	Header  http.Header
	Body    io.Reader
	BodyLen int64
	Rank    azurestair.Rank
	// Workspace is the workspace of the request; empty if it has none.
	Workspace  azurestair.WorkspaceName
	Idempotent bool
	// Upstream identifies the upstream that may run the attempt.
	Upstream azurestair.UpstreamID
	// NewConn requests a new connection instead of an idle one.
	NewConn  bool
	Deadline time.Time
	// BeforeSend is called immediately before the first byte is written. If it
	// returns an error, nothing is sent.
	BeforeSend func() error
}

// Response is the result of an attempt. Header and Body are set for AttemptDone
// and when the upstream itself shed the request; the caller must close Body.
type Response struct {
	Result azurestair.AttemptResult
	Reason azurestair.Reason
	Status int
	Header http.Header
	Length int64
	Body   io.ReadCloser
	// BodyBytes is the complete body if the owner of the Response has already
	// read it.
	BodyBytes []byte
	State     azurestair.UpstreamState
	// Load is the load reported by the upstream, or nil.
	Load *azurestair.Load
	// PausedUntil is the time until which the upstream wants no requests; zero
	// if it does not say.
	PausedUntil time.Time
	// WrongUpstream is true when a different upstream responded at the address.
	WrongUpstream bool
	// Unreachable is true when no connection could be opened and the local link
	// is not the likely cause.
	Unreachable bool
	// Reused is true when the attempt used an existing connection.
	Reused bool
	// ConnectedAt is when the connection was opened on which the response came;
	// zero if there was no response to this attempt.
	ConnectedAt time.Time
	// ConnLost is true if the upstream closed or reset the connection after bytes
	// of the request had been written, and before the response.
	ConnLost bool
	// ConnStalled is true if the attempt timed out on a reused connection and,
	// since it began, no response arrived on any connection that was open at
	// its start. In that case the connections are the likely cause, not the
	// upstream.
	ConnStalled bool
}

// Client sends attempts to upstreams. It is safe for concurrent use.
type Client struct {
	dial    Dialer
	clock   azurestair.Clock
	dialect Dialect
	// maxNonIdempotentIdle bounds the idle time of a connection that is reused
	// for a non-idempotent request.
	maxNonIdempotentIdle time.Duration
	dialTimer            dialTimer
	dialCounts           dialCounters
	liveness             livenessTracker
	// log records when failed dials stop or begin to count against upstreams;
	// nil disables it.
	log *slog.Logger

	mu    sync.Mutex
	pools map[string]*pool
}

// NewClient returns a client; a nil dial stands for plain TCP.
func NewClient(dial Dialer, clock azurestair.Clock) *Client {
	if dial == nil {
		d := &net.Dialer{}
		dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	return &Client{dial: dial, clock: clock, dialect: defaultDialect{}, maxNonIdempotentIdle: defaultNonIdempotentIdle, pools: map[string]*pool{}}
}

// SetDialect sets the dialect and the maximum idle time of connections that are
// reused for non-idempotent requests. It must be called before the first
// attempt.
func (c *Client) SetDialect(d Dialect, maxNonIdempotentIdle time.Duration) {
	c.dialect, c.maxNonIdempotentIdle = d, maxNonIdempotentIdle
}

// SetLog sets the log. It must be called before the first attempt.
func (c *Client) SetLog(log *slog.Logger) { c.log = log }

// DialCounts returns the numbers of dials since the start.
func (c *Client) DialCounts() DialCounts { return c.dialCounts.load() }

// SetLimit sets the maximum number of connections to the upstream at addr.
func (c *Client) SetLimit(addr string, n azurestair.Conns) {
	p := c.pool(addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = max(1, int(n))
}

// RetainOnly closes the pools of all addresses that are not in keep, and the
// expired idle connections of the others.
func (c *Client) RetainOnly(keep map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, p := range c.pools {
		if keep[addr] {
			p.prune(c.clock.Now())
			continue
		}
		p.close(c.clock.Now())
		delete(c.pools, addr)
	}
}

// Close closes all idle connections.
func (c *Client) Close() { c.RetainOnly(nil) }

func (c *Client) pool(addr string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[addr]
	if !ok {
		p = &pool{addr: addr, maxOpen: defaultMaxConns}
		c.pools[addr] = p
	}
	return p
}

// Do sends an attempt to the upstream at addr. It returns once the response
// header has been received or the attempt has failed.
func (c *Client) Do(ctx context.Context, addr string, a Attempt) (Response, error) {
	p := c.pool(addr)
	started := c.clock.Now()
	uc, err := c.connect(ctx, p, a)
	if err != nil {
		return Response{
			Result: azurestair.AttemptNotRun, Reason: azurestair.ReasonConnect, Unreachable: errors.Is(err, errUnreachable),
		}, err
	}
	if a.BeforeSend != nil {
		if err := a.BeforeSend(); err != nil {
			p.put(uc, c.clock.Now())
			return Response{Result: azurestair.AttemptNotRun, Reason: azurestair.ReasonDeadline}, err
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = uc.SetDeadline(time.Unix(1, 0)) })
	httpResp, info, err := c.exchange(uc, a) //nolint:bodyclose // closed through Response.Body
	if err != nil {
		stop()
		return c.handleFailure(ctx, p, uc, started, err)
	}
	return c.handleResponse(p, uc, a, httpResp, info, stop)
}

func (c *Client) connect(ctx context.Context, p *pool, a Attempt) (*conn, error) {
	var uc *conn
	if !a.NewConn {
		uc = p.take(a.ID, c.maxIdleFor(a), c.clock.Now())
	}
	if uc == nil {
		if err := p.reserve(); err != nil {
			return nil, err
		}
		nc, err := c.openConn(ctx, p)
		if err != nil {
			p.release()
			return nil, err
		}
		uc = newConn(nc, p.addr, c.clock.Now())
	}
	uc.recordID(a.ID)
	uc.written.Store(0)
	uc.readErr = nil
	if err := uc.SetDeadline(a.Deadline); err != nil {
		p.discard(uc)
		return nil, fmt.Errorf("connect to %s: %w", p.addr, err)
	}
	return uc, nil
}

// errUnreachable reports a failed dial that is attributed to the upstream,
// since the local link is not the likely cause.
var errUnreachable = errors.New("upstream unreachable")

// openConn dials the upstream within the adaptive timeout.
func (c *Client) openConn(ctx context.Context, p *pool) (net.Conn, error) {
	dctx, cancel := context.WithTimeout(ctx, c.dialTimer.timeout())
	defer cancel()
	started := c.clock.Now()
	nc, err := c.dial(dctx, p.addr)
	if err != nil && ctx.Err() != nil {
		return nil, fmt.Errorf("connect to %s: %w", p.addr, err)
	}
	before := c.dialTimer.suspectsLink()
	// A refusal is an answer from the upstream's host, so the local link works.
	refused := errors.Is(err, syscall.ECONNREFUSED)
	upstreamFault := c.dialTimer.observe(err == nil || refused, c.clock.Now().Sub(started)) || refused
	c.dialCounts.add(err, upstreamFault)
	c.logLinkSuspicion(before, p.addr, err)
	switch {
	case upstreamFault:
		return nil, fmt.Errorf("connect to %s: %w: %w", p.addr, errUnreachable, err)
	case err != nil:
		return nil, fmt.Errorf("connect to %s: %w", p.addr, err)
	}
	return nc, nil
}

// logLinkSuspicion logs a change of the assumption that the local link causes
// the failed dials.
func (c *Client) logLinkSuspicion(before bool, addr string, err error) {
	now := c.dialTimer.suspectsLink()
	switch {
	case now == before || c.log == nil:
	case now:
		c.log.Warn("most dials fail; failed dials no longer count against upstreams", "addr", addr, "err", err)
	default:
		c.log.Info("dials succeed again; failed dials count against upstreams", "addr", addr)
	}
}

// maxIdleFor returns the maximum idle time of a connection that is reused for
// the attempt.
func (c *Client) maxIdleFor(a Attempt) time.Duration {
	if a.Idempotent {
		return maxIdle
	}
	return c.maxNonIdempotentIdle
}

// maxStaleResponses bounds the responses to earlier attempts that are skipped.
const maxStaleResponses = 2

// exchange writes the request and reads the response header. It skips up to
// maxStaleResponses delayed or duplicate responses to earlier attempts that
// arrive first.
func (c *Client) exchange(uc *conn, a Attempt) (*http.Response, ResponseInfo, error) {
	r, err := c.newRequest(uc.addr, a)
	if err != nil {
		return nil, ResponseInfo{}, err
	}
	resp, err := uc.roundTrip(r, a)
	var staleState azurestair.UpstreamState
	for n := 0; err == nil; n++ {
		info := c.dialect.ParseResponse(resp, a)
		info.State = cmp.Or(info.State, staleState)
		if !info.Stale || n == maxStaleResponses || resp.Close {
			return resp, info, nil
		}
		uc.gotStaleResponse, staleState = true, info.State
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBodyBytes))
		_ = resp.Body.Close()
		if err == nil {
			resp, err = uc.readHeader(r)
		}
	}
	return nil, ResponseInfo{}, err
}

// maxStaleBodyBytes bounds the body of a response that is skipped.
const maxStaleBodyBytes = 1 << 20

// roundTrip writes the request and reads the header of the next response.
func (c *conn) roundTrip(r *http.Request, a Attempt) (*http.Response, error) {
	if a.BodyLen < 0 || a.BodyLen > maxBufferedBody {
		return c.roundTripLarge(r)
	}
	werr := c.send(r)
	if werr != nil && (c.written.Load() == 0 || IsTimeout(werr) || errors.Is(werr, ErrRequestBody)) {
		return nil, werr
	}
	// An upstream may respond and close before it has read the whole request,
	// for example when it sheds load. Such a response is still valid.
	resp, err := c.readHeader(r)
	if werr != nil && err != nil {
		return nil, werr
	}
	if werr != nil {
		resp.Close = true
	}
	return resp, err
}

func (c *conn) readHeader(r *http.Request) (*http.Response, error) {
	c.headerBytesLeft = maxHeaderBytes
	defer func() { c.headerBytesLeft = -1 }()
	for range maxInterimResponses {
		resp, err := http.ReadResponse(c.r, r)
		if err != nil {
			return nil, err
		}
		if err := checkStatus(resp); err != nil {
			return nil, err
		}
		if !isInterim(resp) {
			return resp, nil
		}
	}
	return nil, errTooManyInterim
}

// maxInterimResponses bounds the 1xx responses that precede a response. Their
// headers count towards maxHeaderBytes too.
const maxInterimResponses = 16

var errTooManyInterim = errors.New("too many interim responses")

func (c *Client) newRequest(addr string, a Attempt) (*http.Request, error) {
	r, err := http.NewRequest(a.Method, "http://"+addr+a.Path, a.Body) //nolint:noctx // the deadline is set on the connection
	if err != nil {
		return nil, fmt.Errorf("%w: %w", azurestair.ErrInvalid, err)
	}
	// The values are never modified, so attempts can share them.
	r.Header = maps.Clone(a.Header)
	if r.Header == nil {
		r.Header = http.Header{}
	}
	if a.Host != "" {
		r.Host = a.Host
	}
	c.dialect.SetHeaders(r.Header, a, c.clock.Now())
	r.ContentLength = a.BodyLen
	if a.BodyLen == 0 {
		r.Body = http.NoBody
	}
	return r, nil
}

// handleFailure classifies an attempt that got no response.
func (c *Client) handleFailure(ctx context.Context, p *pool, uc *conn, started time.Time, err error) (Response, error) {
	resp := Response{Reused: uc.reused}
	// An upload may still be writing. No more bytes are written once the
	// connection is closed, so the count is final.
	p.discard(uc)
	switch {
	case uc.written.Load() == 0:
		resp.Result, resp.Reason = azurestair.AttemptNotRun, azurestair.ReasonConnect
	case !errors.Is(err, ErrRequestBody) && (IsTimeout(err) || IsTimeout(uc.readErr)):
		resp.Result, resp.Reason = azurestair.AttemptTimeout, azurestair.ReasonTimeout
	default:
		resp.Result, resp.Reason = azurestair.AttemptInterrupted, azurestair.ReasonBroken
		resp.ConnLost = !errors.Is(err, ErrRequestBody) && (isConnEnd(err) || isConnEnd(uc.readErr))
	}
	// An attempt cancelled by its caller is no evidence against the connection.
	if resp.Result == azurestair.AttemptTimeout && uc.reused && !errors.Is(ctx.Err(), context.Canceled) {
		p.retireOpenedBefore(c.clock.Now())
		resp.ConnStalled = c.liveness.isSilentSince(started)
	}
	return resp, fmt.Errorf("attempt to %s: %w", p.addr, err)
}

// isConnEnd reports whether an exchange failed because the peer closed or reset
// the connection, rather than by malformed bytes.
func isConnEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

var (
	errIDMismatch        = errors.New("response does not carry the ID of this attempt")
	errUnconfirmedNotRun = errors.New("response status implies that the attempt did not run, but the upstream did not confirm it")
	errNoFraming         = errors.New("response has neither a Content-Length nor chunked encoding")
)

// checkResponse checks that the response belongs to the attempt and that its
// framing allows a truncated body to be detected.
func checkResponse(a Attempt, r *http.Response, info ResponseInfo, reused bool) error {
	switch {
	case info.IDMismatch, info.Anonymous && reused:
		return errIDMismatch
	case info.UnconfirmedNotRun:
		return errUnconfirmedNotRun
	case isCloseDelimited(a, r) && !info.CloseDelimited:
		return errNoFraming
	default:
		return nil
	}
}

// isCloseDelimited reports whether the body of a response ends with its
// connection.
func isCloseDelimited(a Attempt, r *http.Response) bool {
	return r.ContentLength < 0 && r.Close && len(r.TransferEncoding) == 0 && a.Method != http.MethodHead
}

// handleResponse returns the response to an attempt. Its body returns the
// connection to the pool.
func (c *Client) handleResponse(p *pool, uc *conn, a Attempt, httpResp *http.Response, info ResponseInfo, stop func() bool) (Response, error) {
	c.liveness.observe(uc.opened, c.clock.Now())
	resp := Response{
		Result:        azurestair.AttemptDone,
		Status:        httpResp.StatusCode,
		Header:        httpResp.Header,
		Length:        httpResp.ContentLength,
		State:         info.State,
		Load:          info.Load,
		WrongUpstream: info.WrongUpstream,
		Reused:        uc.reused,
		ConnectedAt:   uc.opened,
	}
	if info.WrongUpstream {
		// The state is that of another process.
		resp.State, resp.ConnectedAt = "", time.Time{}
	}
	if info.PauseFor > 0 && !info.WrongUpstream {
		resp.PausedUntil = c.clock.Now().Add(info.PauseFor)
	}
	if info.KeepAlive > 0 {
		uc.keepAlive = info.KeepAlive
	}
	if err := checkResponse(a, httpResp, info, uc.reused); err != nil {
		stop()
		p.discard(uc)
		return Response{
			Result: azurestair.AttemptInterrupted, Reason: azurestair.ReasonBroken, State: resp.State, PausedUntil: resp.PausedUntil,
		}, fmt.Errorf("attempt to %s: %w", p.addr, err)
	}
	if info.NotRun {
		resp.Result, resp.Reason = azurestair.AttemptNotRun, azurestair.ReasonShed
	}
	b := &body{ReadCloser: httpResp.Body, onDone: func(complete bool) {
		reusable := stop() && complete && !httpResp.Close && !uc.gotStaleResponse
		if reusable {
			p.put(uc, c.clock.Now())
			return
		}
		p.discard(uc)
	}}
	if isCloseDelimited(a, httpResp) {
		b.delimiter = uc
	}
	resp.Body = b
	return resp, nil
}
