package load

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"azurestair.example/azurestair"
)

// countingDialer dials connections, counts their bytes per address and
// optionally delays them.
type countingDialer struct {
	// delay is the one-way delay, added in each direction.
	delay time.Duration

	mu       sync.Mutex
	counters map[string]*atomic.Int64
}

func newCountingDialer(delay time.Duration) *countingDialer {
	return &countingDialer{delay: delay, counters: map[string]*atomic.Int64{}}
}

func (d *countingDialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var netDialer net.Dialer
	c, err := netDialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, delay: d.delay, bytes: d.counterFor(addr)}, nil
}

func (d *countingDialer) counterFor(addr string) *atomic.Int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, ok := d.counters[addr]
	if !ok {
		n = &atomic.Int64{}
		d.counters[addr] = n
	}
	return n
}

// bytesFor returns the number of bytes sent to and received from an address.
func (d *countingDialer) bytesFor(addr string) azurestair.Bytes {
	return azurestair.Bytes(d.counterFor(addr).Load())
}

type countingConn struct {
	net.Conn
	delay time.Duration
	bytes *atomic.Int64
}

// Read counts the bytes and adds the delay from the server to the client.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	if n > 0 {
		time.Sleep(c.delay)
	}
	return n, err
}

// Write counts the bytes and adds the delay from the client to the server.
func (c *countingConn) Write(p []byte) (int, error) {
	time.Sleep(c.delay)
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
