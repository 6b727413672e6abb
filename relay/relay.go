// Package relay implements a TCP proxy that resets, blackholes or delays
// connections, for fault tests and measurements on one machine.
package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is one of the two directions of a relayed connection.
type Direction uint8

const (
	// ToTarget is the direction from the client to the target.
	ToTarget Direction = iota
	// FromTarget is the direction from the target to the client.
	FromTarget
	numDirections
)

// Mode selects how a relay handles new connections.
type Mode uint8

const (
	// Forward proxies new connections to the target.
	Forward Mode = iota
	// Refuse resets new connections.
	Refuse
	// Blackhole accepts new connections and drops all data in both directions.
	Blackhole
)

// dialTimeout limits the connection setup to the target.
const dialTimeout = 2 * time.Second

// Relay proxies TCP connections to a target. Its methods are safe for
// concurrent use.
type Relay struct {
	target   string
	listener net.Listener
	wg       sync.WaitGroup

	mu            sync.Mutex
	conns         map[*proxyConn]bool
	mode          Mode
	pendingResets int
	closed        bool
	delays        [numDirections]atomic.Int64
}

// New returns a relay that listens on addr and forwards to target.
func New(addr, target string) (*Relay, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("relay to %s: %w", target, err)
	}
	r := &Relay{target: target, listener: l, conns: map[*proxyConn]bool{}}
	r.wg.Go(r.run)
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetMode sets how new connections are handled.
func (r *Relay) SetMode(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
}

// SetDelay sets the one-way delay that the relay adds in a direction.
func (r *Relay) SetDelay(d Direction, delay time.Duration) { r.delays[d].Store(int64(delay)) }

// Blackhole drops all further data of the existing connections in the given
// directions, or in both if none is given. There is no way to resume such a
// connection, because its stream would have a gap.
func (r *Relay) Blackhole(directions ...Direction) {
	if len(directions) == 0 {
		directions = []Direction{ToTarget, FromTarget}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		for _, d := range directions {
			c.blackholed[d].Store(true)
		}
	}
}

// Partition blackholes the existing connections, and all new ones until Heal.
func (r *Relay) Partition() {
	r.SetMode(Blackhole)
	r.Blackhole()
}

// Heal forwards new connections again.
func (r *Relay) Heal() { r.SetMode(Forward) }

// ResetConns resets the existing connections.
func (r *Relay) ResetConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.resetBoth()
	}
}

// ResetResponses resets the next n connections on which the target sends data,
// before that data is forwarded.
func (r *Relay) ResetResponses(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pendingResets = n
}

// Close stops the relay and resets its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	_ = r.listener.Close()
	for c := range r.conns {
		c.resetBoth()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func (r *Relay) run() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.handle(c) })
	}
}

func (r *Relay) handle(client net.Conn) {
	r.mu.Lock()
	mode := r.mode
	r.mu.Unlock()
	if mode == Refuse {
		reset(client)
		return
	}
	c := &proxyConn{relay: r, client: client}
	if mode == Blackhole {
		c.blackholed[ToTarget].Store(true)
		c.blackholed[FromTarget].Store(true)
	} else {
		target, err := net.DialTimeout("tcp", r.target, dialTimeout)
		if err != nil {
			reset(client)
			return
		}
		c.target = target
	}
	if !r.add(c) {
		c.resetBoth()
		return
	}
	c.run()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

func (r *Relay) add(c *proxyConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.conns[c] = true
	return true
}

func (r *Relay) consumeReset() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pendingResets == 0 {
		return false
	}
	r.pendingResets--
	return true
}

// proxyConn is one proxied connection; target is nil if it was accepted in mode
// Blackhole.
type proxyConn struct {
	relay      *Relay
	client     net.Conn
	target     net.Conn
	blackholed [numDirections]atomic.Bool
}

func (c *proxyConn) run() {
	if c.target == nil {
		_, _ = io.Copy(io.Discard, c.client)
		_ = c.client.Close()
		return
	}
	toTarget := &pipe{conn: c, src: c.client, dst: c.target, direction: ToTarget, chunks: make(chan chunk, maxQueuedChunks)}
	fromTarget := &pipe{conn: c, src: c.target, dst: c.client, direction: FromTarget, chunks: make(chan chunk, maxQueuedChunks)}
	var wg sync.WaitGroup
	for _, p := range []*pipe{toTarget, fromTarget} {
		wg.Go(p.run)
		wg.Go(p.loop)
	}
	wg.Wait()
	_ = c.client.Close()
	_ = c.target.Close()
}

// maxQueuedChunks limits the chunks that are delayed in one direction.
const maxQueuedChunks = 256

// chunk is data from one read and the time at which it is to be forwarded.
type chunk struct {
	data []byte
	due  time.Time
}

// pipe copies one direction of a connection. Chunks keep the intervals at which
// they arrived, so that a delay does not reduce the throughput.
type pipe struct {
	conn      *proxyConn
	src, dst  net.Conn
	direction Direction
	chunks    chan chunk
}

// run reads chunks from src until it is closed or fails.
func (p *pipe) run() {
	defer close(p.chunks)
	buf := make([]byte, 32<<10)
	for {
		n, err := p.src.Read(buf)
		if n > 0 {
			wait := time.Duration(p.conn.relay.delays[p.direction].Load())
			p.chunks <- chunk{data: slices.Clone(buf[:n]), due: time.Now().Add(wait)}
		}
		if err == nil {
			continue
		}
		if !p.conn.blackholed[p.direction].Load() && !errors.Is(err, io.EOF) {
			p.conn.resetBoth()
		}
		return
	}
}

// loop forwards the chunks when they are due. It does not forward the end
// of the stream in a blackholed direction.
func (p *pipe) loop() {
	failed := false
	for c := range p.chunks {
		time.Sleep(time.Until(c.due))
		if !failed && !p.forward(c.data) {
			failed = true
			p.conn.resetBoth()
		}
	}
	if !p.conn.blackholed[p.direction].Load() {
		_ = p.dst.(*net.TCPConn).CloseWrite()
	}
}

func (p *pipe) forward(data []byte) bool {
	if p.conn.blackholed[p.direction].Load() {
		return true
	}
	if p.direction == FromTarget && p.conn.relay.consumeReset() {
		return false
	}
	_, err := p.dst.Write(data)
	return err == nil
}

func (c *proxyConn) resetBoth() {
	reset(c.client)
	if c.target != nil {
		reset(c.target)
	}
}

// reset closes a connection with a TCP RST instead of a FIN.
func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}
