package upstream

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"azurestair.example/azurestair"
)

// Limits on idle connections.
const (
	// maxIdle is how long an idle connection is kept.
	maxIdle = 30 * time.Second
	// freshIdle is how recently a connection must have answered before it may
	// carry a request that is not idempotent: a connection that has gone silent
	// would leave the outcome unknown.
	freshIdle = 500 * time.Millisecond
	// defaultMaxConns bounds the connections to one upstream that has set no limit.
	defaultMaxConns = 47
)

// Dialer opens connections to upstreams; tests replace it to cut them.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// pool keeps the connections to one upstream.
type pool struct {
	addr string

	mu    sync.Mutex
	idle  []*conn
	open  int
	limit int
	// suspectBefore retires connections that were opened before the time of the last stall.
	suspectBefore time.Time
	// closed is true once the upstream is no longer listed.
	closed bool
}

// take returns an idle connection that may still be used and has been idle for
// at most limit, newest first, or nil.
func (p *pool) take(limit time.Duration, now time.Time) *conn {
	for {
		c := p.popIdle()
		if c == nil {
			return nil
		}
		idle := now.Sub(c.lastUsed)
		if idle > c.keepFor() || p.isSuspect(c) || c.isClosedByPeer() {
			p.discard(c)
			continue
		}
		if idle > limit {
			p.discard(c)
			continue
		}
		c.reused = true
		return c
	}
}

func (p *pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

func (p *pool) isSuspect(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.opened.Before(p.suspectBefore)
}

// reserve counts a connection that is about to be opened. With replace, the
// one that has been idle for longest makes room for it at the limit.
func (p *pool) reserve(replace bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if replace && p.open >= p.limit && len(p.idle) > 0 {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
		p.open--
	}
	if p.open >= p.limit {
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

// put returns a connection after a whole answer.
func (p *pool) put(c *conn, now time.Time) {
	c.lastUsed = now
	if p.isSuspect(c) || c.SetDeadline(time.Time{}) != nil {
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

// suspect closes the idle connections that were opened before now and keeps
// those in use from being reused: whatever silenced one of them has probably
// silenced the others of its age.
func (p *pool) suspect(now time.Time) {
	p.mu.Lock()
	p.suspectBefore = now
	old := p.idle
	p.idle = nil
	p.open -= len(old)
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// close closes the idle connections; those in use are closed when their attempt ends.
func (p *pool) close(now time.Time) {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.suspect(now)
}

// prune closes connections that have been idle for too long.
func (p *pool) prune(now time.Time) {
	p.mu.Lock()
	var old []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.lastUsed) > c.keepFor() {
			old = append(old, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.open -= len(old)
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}
