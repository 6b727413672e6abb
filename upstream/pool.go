package upstream

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"azurestair.example/azurestair"
)

// Limits on idle connections.
const (
	// maxIdle is the maximum idle time of a connection.
	maxIdle = 30 * time.Second
	// defaultNonIdempotentIdle is the maximum idle time of a connection that is
	// reused for a non-idempotent request. On a stalled connection the outcome
	// of such a request would be unknown.
	defaultNonIdempotentIdle = 500 * time.Millisecond
	// defaultMaxConns is the connection limit of an upstream that sets none.
	defaultMaxConns = 47
)

// Dialer opens connections to upstreams. Tests replace it to inject failures.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// pool holds the connections to one upstream.
type pool struct {
	addr string

	mu sync.Mutex
	// idle holds the idle connections, most recently used last.
	idle []*conn
	// open counts the connections that are idle, in use or being opened. No
	// connection is opened while it is maxOpen or more.
	open    int
	maxOpen int
	// retiredBefore is the time of the last stall. Connections opened before it
	// are not reused.
	retiredBefore time.Time
	// closed is true once the upstream is no longer registered.
	closed bool
}

// take returns the most recently used connection that is still usable for an
// attempt and has been idle for at most maxIdleTime, or nil if there is none.
func (p *pool) take(id azurestair.RequestID, maxIdleTime time.Duration, now time.Time) *conn {
	for {
		c := p.popIdle(id)
		if c == nil {
			return nil
		}
		idle := now.Sub(c.lastUsed)
		if idle > c.idleTimeout() || p.isRetired(c) || c.isClosedByPeer() {
			p.discard(c)
			continue
		}
		if idle > maxIdleTime {
			p.discard(c)
			continue
		}
		c.reused = true
		return c
	}
}

// popIdle removes and returns the most recently used connection that may carry
// an attempt, or nil if there is none.
func (p *pool) popIdle(id azurestair.RequestID) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if c.mayCarry(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *pool) isRetired(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.opened.Before(p.retiredBefore)
}

// reserve reserves a slot for a connection that is about to be opened. If the
// limit is reached, the longest idle connection is closed.
func (p *pool) reserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.maxOpen && len(p.idle) > 0 {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
		p.open--
	}
	if p.open >= p.maxOpen {
		return fmt.Errorf("%w: %d connections to %s are open", azurestair.ErrFull, p.open, p.addr)
	}
	p.open++
	return nil
}

func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// put returns a connection to the pool after a complete response.
func (p *pool) put(c *conn, now time.Time) {
	c.lastUsed = now
	if p.isRetired(c) || len(c.carriedIDs) >= maxCarriedIDs || c.SetDeadline(time.Time{}) != nil {
		p.discard(c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		p.open--
		return
	}
	p.idle = append(p.idle, c)
}

func (p *pool) discard(c *conn) {
	_ = c.Close()
	p.release()
}

// retireOpenedBefore closes the idle connections that were opened before now
// and prevents those in use from being reused. If one of them has stalled, the
// others of the same age have probably stalled too.
func (p *pool) retireOpenedBefore(now time.Time) {
	p.mu.Lock()
	p.retiredBefore = now
	retired := p.idle
	p.idle = nil
	p.open -= len(retired)
	p.mu.Unlock()
	for _, c := range retired {
		_ = c.Close()
	}
}

// RetireConns stops the reuse of the connections to addr that are open now.
func (c *Client) RetireConns(addr string) { c.pool(addr).retireOpenedBefore(c.clock.Now()) }

// close closes the idle connections. Those in use are closed when their attempt
// ends.
func (p *pool) close(now time.Time) {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.retireOpenedBefore(now)
}

// prune closes connections that have exceeded their idle timeout.
func (p *pool) prune(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.lastUsed) > c.idleTimeout() {
			expired = append(expired, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.open -= len(expired)
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}
