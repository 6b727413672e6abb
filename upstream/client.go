package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"azurestair.example/azurestair"
)

// Headers of the protocol between an entry and an upstream, in canonical form.
const (
	HeaderRequest  = "Azurestair-Request"
	HeaderTimeLeft = "Azurestair-Time-Left-Ms"
	HeaderRank     = "Azurestair-Rank"
	HeaderState    = "Azurestair-State"
	HeaderNotRun   = "Azurestair-Not-Run"
)

// Attempt is one try of a request at one upstream.
type Attempt struct {
	ID     azurestair.RequestID
	Method string
	Path   string
	// Host is the host that the caller asked for; empty stands for the address.
	Host       string
	Header     http.Header
	Body       io.Reader
	BodyLen    int64
	Rank       azurestair.Rank
	Idempotent bool
	// Upstream is the one that the attempt is meant for.
	Upstream azurestair.UpstreamID
	// Fresh asks for a new connection.
	Fresh    bool
	Deadline time.Time
	// BeforeSend runs directly before the first byte; an error keeps the attempt from being sent.
	BeforeSend func() error
}

// Answer is what came of an attempt. Header and Body are set for
// AttemptDone and for an upstream's own shed answer; the caller closes Body.
type Answer struct {
	Result azurestair.AttemptResult
	Reason azurestair.Reason
	Status int
	Header http.Header
	Length int64
	Body   io.ReadCloser
	// Whole is the body where the owner of the answer has read it already.
	Whole []byte
	State azurestair.UpstreamState
	// Load is the upstream's own report; nil without one.
	Load *azurestair.Load
	// Gone is true when another upstream answered at the address.
	Gone bool
	// Unreachable is true when no connection could be opened.
	Unreachable bool
	// Reused is true for an attempt on a connection that had been used before.
	Reused bool
	// Silent is true for a timeout on a reused connection during which no
	// upstream answered on any connection that was open when the attempt began:
	// then the connections are suspect, not the upstream.
	Silent bool
}

// Client sends attempts to upstreams. It is safe for concurrent use.
type Client struct {
	dial    Dialer
	clock   azurestair.Clock
	dialect Dialect
	// freshIdle is how recently a connection must have answered before it may
	// carry a request that is not idempotent.
	freshIdle time.Duration
	dialTime  dialTime
	heard     heardTimes

	mu    sync.Mutex
	pools map[string]*pool
}

// NewClient returns a client; dial may be nil.
func NewClient(dial Dialer, clock azurestair.Clock) *Client {
	if dial == nil {
		d := &net.Dialer{}
		dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	return &Client{dial: dial, clock: clock, dialect: ownDialect{}, freshIdle: freshIdle, pools: map[string]*pool{}}
}

// Speak has the client use another dialect and reuse connections for requests
// that are not idempotent up to the given idle time. It comes before any attempt.
func (c *Client) Speak(d Dialect, freshIdle time.Duration) {
	c.dialect, c.freshIdle = d, freshIdle
}

// SetLimit bounds the connections to the upstream at addr.
func (c *Client) SetLimit(addr string, n azurestair.Conns) {
	p := c.pool(addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(1, int(n))
}

// Retain closes the pools of upstreams that keep does not name.
func (c *Client) Retain(keep map[string]bool) {
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
func (c *Client) Close() { c.Retain(nil) }

func (c *Client) pool(addr string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[addr]
	if !ok {
		p = &pool{addr: addr, limit: defaultMaxConns}
		c.pools[addr] = p
	}
	return p
}

// Do sends an attempt to the upstream at addr and returns when the head of
// the answer has arrived or the attempt has failed.
func (c *Client) Do(ctx context.Context, addr string, a Attempt) (Answer, error) {
	p := c.pool(addr)
	started := c.clock.Now()
	uc, err := c.connect(ctx, p, a)
	if err != nil {
		return Answer{
			Result: azurestair.AttemptNotRun, Reason: azurestair.ReasonConnect, Unreachable: errors.Is(err, errUnreachable),
		}, err
	}
	if a.BeforeSend != nil {
		if err := a.BeforeSend(); err != nil {
			p.put(uc, c.clock.Now())
			return Answer{Result: azurestair.AttemptNotRun, Reason: azurestair.ReasonDeadline}, err
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = uc.SetDeadline(time.Unix(1, 0)) })
	resp, reading, err := c.exchange(uc, a) //nolint:bodyclose // Answer.Body closes it
	if err != nil {
		stop()
		return c.failed(ctx, p, uc, started, err)
	}
	return c.answered(p, uc, a, resp, reading, stop)
}

func (c *Client) connect(ctx context.Context, p *pool, a Attempt) (*conn, error) {
	var uc *conn
	if !a.Fresh {
		uc = p.take(c.idleLimit(a), c.clock.Now())
	}
	if uc == nil {
		if err := p.reserve(a.Fresh); err != nil {
			return nil, err
		}
		nc, err := c.open(ctx, p)
		if err != nil {
			p.release()
			return nil, err
		}
		uc = newConn(nc, p.addr, c.clock.Now())
	}
	uc.written.Store(0)
	uc.readErr = nil
	if err := uc.SetDeadline(a.Deadline); err != nil {
		p.discard(uc)
		return nil, fmt.Errorf("connect to %s: %w", p.addr, err)
	}
	return uc, nil
}

// errUnreachable reports an upstream that does not open a connection, although
// this instance's own link is not the likely cause.
var errUnreachable = errors.New("no connection")

// open opens a connection.
func (c *Client) open(ctx context.Context, p *pool) (net.Conn, error) {
	dctx, cancel := context.WithTimeout(ctx, c.dialTime.timeout())
	defer cancel()
	started := c.clock.Now()
	nc, err := c.dial(dctx, p.addr)
	if err != nil && ctx.Err() != nil {
		return nil, fmt.Errorf("connect to %s: %w", p.addr, err)
	}
	blamed := c.dialTime.observe(err == nil, c.clock.Now().Sub(started))
	switch {
	case blamed:
		return nil, fmt.Errorf("connect to %s: %w: %w", p.addr, errUnreachable, err)
	case err != nil:
		return nil, fmt.Errorf("connect to %s: %w", p.addr, err)
	}
	return nc, nil
}

// idleLimit returns how long a connection may have been idle that carries the attempt.
func (c *Client) idleLimit(a Attempt) time.Duration {
	if a.Idempotent {
		return maxIdle
	}
	return c.freshIdle
}

// maxForeign bounds the answers to other attempts that are passed over.
const maxForeign = 2

// exchange writes the request and reads the head of its answer. An answer to
// an earlier attempt may come first, late or for the second time.
func (c *Client) exchange(uc *conn, a Attempt) (*http.Response, Reading, error) {
	r, err := c.newRequest(uc.key, a)
	if err != nil {
		return nil, Reading{}, err
	}
	resp, err := uc.exchange(r, a)
	for n := 0; err == nil; n++ {
		reading := c.dialect.Read(resp, a)
		if !reading.Late || n == maxForeign || resp.Close {
			return resp, reading, nil
		}
		uc.spoiled = true
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, foreignBytes))
		_ = resp.Body.Close()
		if err == nil {
			resp, err = uc.readHead(r)
		}
	}
	return nil, Reading{}, err
}

// foreignBytes bounds the body of an answer that is passed over.
const foreignBytes = 1 << 20

// exchange writes the request and reads the head of the next answer.
func (c *conn) exchange(r *http.Request, a Attempt) (*http.Response, error) {
	if a.BodyLen < 0 || a.BodyLen > longBody {
		return c.exchangeLong(r)
	}
	werr := c.send(r)
	if werr != nil && (c.written.Load() == 0 || IsTimeout(werr) || errors.Is(werr, ErrRequestBody)) {
		return nil, werr
	}
	// An upstream may answer and close before it has read the whole request,
	// for instance when it sheds load; such an answer still counts.
	resp, err := c.readHead(r)
	if werr != nil && err != nil {
		return nil, werr
	}
	if werr != nil {
		resp.Close = true
	}
	return resp, err
}

func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	for {
		c.headLeft = maxHeadBytes
		resp, err := http.ReadResponse(c.r, r)
		c.headLeft = -1
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

func (c *Client) newRequest(addr string, a Attempt) (*http.Request, error) {
	r, err := http.NewRequest(a.Method, "http://"+addr+a.Path, a.Body) //nolint:noctx // the deadline is set on the connection
	if err != nil {
		return nil, fmt.Errorf("%w: %w", azurestair.ErrInvalid, err)
	}
	// The values are shared with other attempts, since nobody changes them.
	r.Header = maps.Clone(a.Header)
	if r.Header == nil {
		r.Header = http.Header{}
	}
	if a.Host != "" {
		r.Host = a.Host
	}
	c.dialect.Mark(r.Header, a, c.clock.Now())
	r.ContentLength = a.BodyLen
	if a.BodyLen == 0 {
		r.Body = http.NoBody
	}
	return r, nil
}

// failed classifies an attempt that brought no answer.
func (c *Client) failed(ctx context.Context, p *pool, uc *conn, started time.Time, err error) (Answer, error) {
	ans := Answer{Reused: uc.reused}
	// An upload may still be writing; nothing is written after the close.
	p.discard(uc)
	switch {
	case uc.written.Load() == 0:
		ans.Result, ans.Reason = azurestair.AttemptNotRun, azurestair.ReasonConnect
	case !errors.Is(err, ErrRequestBody) && (IsTimeout(err) || IsTimeout(uc.readErr)):
		ans.Result, ans.Reason = azurestair.AttemptTimeout, azurestair.ReasonTimeout
	default:
		ans.Result, ans.Reason = azurestair.AttemptBroken, azurestair.ReasonBroken
	}
	// An attempt that was cancelled before its deadline says nothing about the connection.
	if ans.Result == azurestair.AttemptTimeout && uc.reused && !errors.Is(ctx.Err(), context.Canceled) {
		p.suspect(c.clock.Now())
		ans.Silent = c.heard.isSilentSince(started)
	}
	return ans, fmt.Errorf("attempt at %s: %w", p.addr, err)
}

var (
	errEcho     = errors.New("answer does not name this attempt")
	errUnproved = errors.New("answer says by its status only that the attempt did not run")
	errFraming  = errors.New("answer has neither a length nor chunks")
)

// answered checks that the answer belongs to the attempt and can be verified to be whole.
func (c *Client) answered(p *pool, uc *conn, a Attempt, resp *http.Response, reading Reading, stop func() bool) (Answer, error) {
	c.heard.observe(uc.opened, c.clock.Now())
	ans := Answer{
		Result: azurestair.AttemptDone,
		Status: resp.StatusCode,
		Header: resp.Header,
		Length: resp.ContentLength,
		State:  reading.State,
		Load:   reading.Load,
		Gone:   reading.Gone,
		Reused: uc.reused,
	}
	if reading.IdleFor > 0 {
		uc.idleFor = reading.IdleFor
	}
	var err error
	switch {
	case reading.Foreign:
		err = errEcho
	case reading.Unproved:
		err = errUnproved
	case !reading.Unframed && resp.ContentLength < 0 && resp.Close && len(resp.TransferEncoding) == 0 && a.Method != http.MethodHead:
		err = errFraming
	}
	if err != nil {
		stop()
		p.discard(uc)
		return Answer{Result: azurestair.AttemptBroken, Reason: azurestair.ReasonBroken}, fmt.Errorf("attempt at %s: %w", p.addr, err)
	}
	if reading.NotRun {
		ans.Result, ans.Reason = azurestair.AttemptNotRun, azurestair.ReasonShed
	}
	ans.Body = &body{ReadCloser: resp.Body, done: func(whole bool) {
		reusable := stop() && whole && !resp.Close && !uc.spoiled
		if reusable {
			p.put(uc, c.clock.Now())
			return
		}
		p.discard(uc)
	}}
	return ans, nil
}
