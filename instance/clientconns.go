package instance

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/admission"
	"azurestair.example/azurestair/stdout"
)

// Names of the metrics of client connections; the name of the endpoint follows.
const (
	connsOpenMetric    = "clients.conns."
	connsClosedMetric  = "clients.connsClosed."
	connsExpiredMetric = "clients.connsExpired."
	connsRefusedMetric = "clients.connsRefused."
	headsRefusedMetric = "clients.headsRefused."
)

// connSweepInterval is the interval at which connections that exceed a time
// limit are closed. The shortest limit in use is 3 s.
const connSweepInterval = 250 * time.Millisecond

// clientConns owns the client connections of one listener. The decisions are
// those of an admission.ConnTable.
type clientConns struct {
	process *Process
	name    string
	// readLimits returns the limits in force; limits holds what it returned
	// last.
	readLimits func() effectiveLimits
	limits     atomic.Pointer[effectiveLimits]

	mu    sync.Mutex
	table *admission.ConnTable[*clientConn]

	lines                             stdout.LineLimiter
	closed, expired, refused, tooMany metrics.Counter
}

func newClientConns(name string, limits func() effectiveLimits, p *Process) *clientConns {
	l := limits()
	c := &clientConns{process: p, name: name, readLimits: limits, table: admission.NewConnTable[*clientConn](l.ConnLimits)}
	c.limits.Store(&l)
	r := p.metrics.registry
	metrics.NewRegisteredFunctionalGauge(connsOpenMetric+name, r, c.open)
	c.closed = metrics.GetOrRegisterCounter(connsClosedMetric+name, r)
	c.expired = metrics.GetOrRegisterCounter(connsExpiredMetric+name, r)
	c.refused = metrics.GetOrRegisterCounter(connsRefusedMetric+name, r)
	c.tooMany = metrics.GetOrRegisterCounter(headsRefusedMetric+name, r)
	return c
}

func (c *clientConns) open() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int64(c.table.Len())
}

// run applies changed limits and closes the connections that exceed a time
// limit, until ctx ends.
func (c *clientConns) run(ctx context.Context) {
	t := time.NewTicker(connSweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		c.sweep()
	}
}

func (c *clientConns) sweep() {
	l := c.readLimits()
	c.limits.Store(&l)
	c.mu.Lock()
	c.table.SetLimits(l.ConnLimits)
	expired := c.table.Expired(c.now())
	c.mu.Unlock()
	for _, conn := range expired {
		_ = conn.Close()
	}
	c.expired.Inc(int64(len(expired)))
}

func (c *clientConns) now() time.Time { return c.process.options.Clock.Now() }

// add adds an accepted connection, for which another one may be closed. It
// returns nil if the connection is refused.
func (c *clientConns) add(nc net.Conn) *clientConn {
	conn := c.newConn(nc)
	c.mu.Lock()
	victim, hasVictim, accepted := c.table.Open(conn, c.now())
	c.mu.Unlock()
	switch {
	case !accepted:
		_ = nc.Close()
		c.refused.Inc(1)
		c.log("client connection refused")
		return nil
	case hasVictim:
		_ = victim.Close()
		c.closed.Inc(1)
		c.log("client connection closed for a new one")
	}
	return conn
}

func (c *clientConns) newConn(nc net.Conn) *clientConn {
	conn := &clientConn{Conn: nc, conns: c, block: blockOf(nc.RemoteAddr())}
	if e := c.process.entry; e != nil && e.clientMemory.countsHeads() {
		conn.head = e.clientMemory.newHolder(conn.block)
		conn.head.setEvict(conn.evict)
	}
	return conn
}

// linesPerSecond bounds the log lines about the connections of a listener.
const linesPerSecond = 1

func (c *clientConns) log(msg string) {
	if ok, suppressed := c.lines.Allow(linesPerSecond, c.now()); ok {
		c.process.log.Warn(msg, "listener", c.name, "maxConns", c.limits.Load().MaxConns, "linesLeftOut", suppressed)
	}
}

func (c *clientConns) setState(conn *clientConn, s admission.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetState(conn, s, c.now())
	conn.state.Store(uint32(s))
}

// connState follows the states of net/http; it is used as
// http.Server.ConnState. A connection is active once its request head is
// complete.
func (c *clientConns) connState(nc net.Conn, state http.ConnState) {
	conn, ok := nc.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		conn.endHead()
		c.setState(conn, admission.ConnServing)
	case http.StateIdle:
		conn.releaseHead(false)
		c.setState(conn, admission.ConnIdle)
	case http.StateClosed, http.StateHijacked:
		conn.releaseHead(true)
		c.mu.Lock()
		c.table.Close(conn)
		c.mu.Unlock()
	case http.StateNew:
	}
}

// clientListener accepts the connections of clients. It never stops accepting:
// at the limit, a connection is closed for each new one.
type clientListener struct {
	net.Listener
	conns *clientConns
}

// Accept implements net.Listener.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.conns.add(nc); c != nil {
			return c, nil
		}
	}
}

// clientConnKey is the key of the *clientConn in the context of a request.
type clientConnKey struct{}

// clientConn is a connection of a client. net/http never reads it concurrently.
type clientConn struct {
	net.Conn
	conns *clientConns
	// state is the admission.ConnState of the connection.
	state atomic.Uint32
	block azurestair.ClientBlock
	// head holds the memory of the current request head.
	head *memoryHolder
	// scanner and lines describe the part of the current request head that has
	// arrived; only Read and net/http's callbacks use them, one at a time.
	scanner headScanner
	lines   int
}

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	switch s := admission.ConnState(c.state.Load()); s { //nolint:gosec // holds a ConnState
	case admission.ConnIdle:
		c.conns.setState(c, admission.ConnHead)
		return n, cmp.Or(c.countHead(p[:n]), err)
	case admission.ConnHead:
		return n, cmp.Or(c.countHead(p[:n]), err)
	case admission.ConnReceiving:
		c.conns.setState(c, s)
	}
	return n, err
}

// SetLinger implements the method of *net.TCPConn.
func (c *clientConn) SetLinger(sec int) error {
	l, ok := c.Conn.(interface{ SetLinger(sec int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return l.SetLinger(sec)
}

const (
	// maxHeaderFields bounds the header fields of a request. Ordinary clients
	// send fewer than 100.
	maxHeaderFields = 1000
	// headerFieldBytes is the memory of a header field beyond its text: about 55
	// bytes in each of three maps, and its list of values.
	headerFieldBytes = 200
	// headerTextFactor covers the buffer that a head is read into and the
	// strings made from it.
	headerTextFactor = 2
)

// errHeadRefused is returned by reads of a connection that is closed for its
// request head.
var errHeadRefused = errors.New("request head refused")

// countHead reserves the memory for the part of p that belongs to the request
// head. The beginning of the body may follow it in p.
func (c *clientConn) countHead(p []byte) error {
	if c.scanner.ended {
		// net/http would not read on in this state if the head were complete.
		c.scanner = headScanner{}
	}
	n, lines := c.scanner.scan(p)
	c.lines += lines
	if c.lines > maxHeaderFields || !c.reserveHead(headerTextFactor*n+headerFieldBytes*lines) {
		c.conns.tooMany.Inc(1)
		c.conns.log("request head refused")
		return &net.OpError{Op: "read", Net: "tcp", Err: errHeadRefused}
	}
	return nil
}

func (c *clientConn) reserveHead(n int) bool {
	return c.head == nil || c.head.reserve(azurestair.Bytes(n))
}

// endHead records that a request head is complete. Its memory is held until the
// request ends.
func (c *clientConn) endHead() {
	c.scanner, c.lines = headScanner{}, 0
	if c.head != nil {
		c.head.setEvict(nil)
	}
}

// releaseHead returns the memory of a request head.
func (c *clientConn) releaseHead(isClosed bool) {
	if c.head == nil {
		return
	}
	c.head.close()
	if !isClosed {
		c.head.setEvict(c.evict)
	}
}

func (c *clientConn) evict() { _ = c.Close() }

// clientGuard bounds the request bodies of all paths, and refuses heads over the
// limit of the configuration.
type clientGuard struct {
	next  http.Handler
	conns *clientConns
}

// ServeHTTP handles one request.
func (g clientGuard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l := g.conns.limits.Load()
	conn, ok := r.Context().Value(clientConnKey{}).(*clientConn)
	if ok && r.Body != http.NoBody {
		g.conns.setState(conn, admission.ConnReceiving)
		// What a handler doesn't read is read by net/http, which must end too.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(l.bodyTimeout))
		r.Body = &receivedBody{ReadCloser: r.Body, conn: conn}
	}
	if size, fields := headSize(r); size > l.maxHeaderBytes || fields > maxHeaderFields {
		g.conns.tooMany.Inc(1)
		w.Header().Set("Connection", "close")
		http.Error(w, "request head is too large", http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	g.next.ServeHTTP(w, r)
}

// headSize returns the size of a request head in bytes, without its line ends,
// and the number of its fields.
func headSize(r *http.Request) (size azurestair.Bytes, fields int) {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		fields += len(values)
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return azurestair.Bytes(n), fields
}

// receivedBody records that a request body has been read to its end.
type receivedBody struct {
	io.ReadCloser
	conn *clientConn
}

// Read implements io.Reader.
func (b *receivedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.conns.setState(b.conn, admission.ConnServing)
	}
	return n, err
}
