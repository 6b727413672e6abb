package load

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"azurestair.example/azurestair"
)

// wire dials connections, counts their bytes for each address and may delay them.
type wire struct {
	// delay is the one-way delay, added in each direction of an exchange.
	delay time.Duration

	mu    sync.Mutex
	bytes map[string]*atomic.Int64
}

func newWire(delay time.Duration) *wire {
	return &wire{delay: delay, bytes: map[string]*atomic.Int64{}}
}

func (w *wire) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &wireConn{Conn: c, delay: w.delay, bytes: w.counter(addr)}, nil
}

func (w *wire) counter(addr string) *atomic.Int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, ok := w.bytes[addr]
	if !ok {
		n = &atomic.Int64{}
		w.bytes[addr] = n
	}
	return n
}

// total returns the bytes to and from an address.
func (w *wire) total(addr string) azurestair.Bytes { return azurestair.Bytes(w.counter(addr).Load()) }

type wireConn struct {
	net.Conn
	delay time.Duration
	bytes *atomic.Int64
}

// Read reads and counts; the delay stands for the way back.
func (c *wireConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	if n > 0 {
		time.Sleep(c.delay)
	}
	return n, err
}

// Write writes and counts; the delay stands for the way there.
func (c *wireConn) Write(p []byte) (int, error) {
	time.Sleep(c.delay)
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
