package faults

import (
	"errors"
	"fmt"
	"io"
	"net"
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

// Mode says what a relay does with new connections.
type Mode uint8

const (
	// Forward passes them on.
	Forward Mode = iota
	// Refuse resets them.
	Refuse
	// Silent accepts them and drops every byte in both directions.
	Silent
)

// dialTimeout bounds the connection to the target.
const dialTimeout = 2 * time.Second

// Relay forwards TCP connections to a target. Its methods are safe for concurrent use.
type Relay struct {
	target   string
	listener net.Listener
	wg       sync.WaitGroup

	mu         sync.Mutex
	links      map[*link]bool
	mode       Mode
	cutAnswers int
	closed     bool
	delay      [numDirections]atomic.Int64
}

// NewRelay returns a relay that listens on addr and forwards to target.
func NewRelay(addr, target string) (*Relay, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("relay to %s: %w", target, err)
	}
	r := &Relay{target: target, listener: l, links: map[*link]bool{}}
	r.wg.Go(r.run)
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetMode says what happens to new connections.
func (r *Relay) SetMode(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
}

// SetDelay has each piece of data in a direction wait before it is passed on.
func (r *Relay) SetDelay(d Direction, wait time.Duration) { r.delay[d].Store(int64(wait)) }

// Silence drops all further bytes of the existing connections in the given
// directions, or in both if none is given. Such a connection stays silent,
// because a stream with a gap must not be passed on.
func (r *Relay) Silence(directions ...Direction) {
	if len(directions) == 0 {
		directions = []Direction{ToTarget, FromTarget}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		for _, d := range directions {
			l.silent[d].Store(true)
		}
	}
}

// Partition silences the existing connections and all new ones until Heal.
func (r *Relay) Partition() {
	r.SetMode(Silent)
	r.Silence()
}

// Heal has new connections forwarded again.
func (r *Relay) Heal() { r.SetMode(Forward) }

// Cut resets the existing connections.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.reset()
	}
}

// CutAnswers resets the next n connections that carry an answer before its first byte.
func (r *Relay) CutAnswers(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutAnswers = n
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	_ = r.listener.Close()
	for l := range r.links {
		l.reset()
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
		r.wg.Go(func() { r.accept(c) })
	}
}

func (r *Relay) accept(c net.Conn) {
	r.mu.Lock()
	mode := r.mode
	r.mu.Unlock()
	if mode == Refuse {
		reset(c)
		return
	}
	l := &link{relay: r, client: c}
	if mode == Silent {
		l.silent[ToTarget].Store(true)
		l.silent[FromTarget].Store(true)
	} else {
		target, err := net.DialTimeout("tcp", r.target, dialTimeout)
		if err != nil {
			reset(c)
			return
		}
		l.target = target
	}
	if !r.add(l) {
		l.reset()
		return
	}
	l.run()
	r.mu.Lock()
	delete(r.links, l)
	r.mu.Unlock()
}

func (r *Relay) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.links[l] = true
	return true
}

func (r *Relay) takeCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cutAnswers == 0 {
		return false
	}
	r.cutAnswers--
	return true
}

// link is one relayed connection; target is nil for one that was silent from the start.
type link struct {
	relay  *Relay
	client net.Conn
	target net.Conn
	silent [numDirections]atomic.Bool
}

func (l *link) run() {
	if l.target == nil {
		_, _ = io.Copy(io.Discard, l.client)
		_ = l.client.Close()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.pump(l.client, l.target, ToTarget) })
	wg.Go(func() { l.pump(l.target, l.client, FromTarget) })
	wg.Wait()
	_ = l.client.Close()
	_ = l.target.Close()
}

// pump passes bytes on until one side ends. The end of a silent direction is
// not passed on either.
func (l *link) pump(src, dst net.Conn, d Direction) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 && !l.pass(dst, buf[:n], d) {
			l.reset()
			return
		}
		if err == nil {
			continue
		}
		if l.silent[d].Load() {
			return
		}
		if !errors.Is(err, io.EOF) {
			l.reset()
			return
		}
		_ = dst.(*net.TCPConn).CloseWrite()
		return
	}
}

func (l *link) pass(dst net.Conn, data []byte, d Direction) bool {
	if wait := time.Duration(l.relay.delay[d].Load()); wait > 0 {
		time.Sleep(wait)
	}
	if l.silent[d].Load() {
		return true
	}
	if d == FromTarget && l.relay.takeCut() {
		return false
	}
	_, err := dst.Write(data)
	return err == nil
}

func (l *link) reset() {
	reset(l.client)
	if l.target != nil {
		reset(l.target)
	}
}

// reset closes a connection without a regular end of its stream.
func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}
