package crowd

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"

	. "github.com/onsi/ginkgo/v2"
)

// Paths of the listener for callers.
const (
	pathIdempotent    = "/v1/request/catalogue/browse/x"
	pathNotIdempotent = "/v1/request/catalogue/engrave/x"
	pathLarge         = "/v1/request/catalogue/browse/large"
	pathNoRoute       = "/nowhere"
	pathReady         = "/readyz"
	pathLookup        = "/v1/lookup"
)

// crowd is a number of clients that each hold one connection open.
type crowd struct {
	m     *machine
	sent  atomic.Int64
	stop  chan struct{}
	wg    sync.WaitGroup
	mu    sync.Mutex
	conns []net.Conn
}

// gather opens n connections and lets each client send concurrently. It returns
// once no client has made progress for a while: each of them has sent all, waits
// for the process to read, or has been disconnected.
func gather(m *machine, n int, send func(c *client)) *crowd {
	cr := &crowd{m: m, stop: make(chan struct{})}
	DeferCleanup(cr.disperse)
	for i := range n {
		cr.wg.Go(func() { cr.run(i, send) })
	}
	cr.settle()
	return cr
}

// settle waits until the clients send nothing more.
func (cr *crowd) settle() {
	const samples, interval = 10, 100 * time.Millisecond
	last, same := cr.sent.Load(), 0
	Eventually(func() int {
		now := cr.sent.Load()
		same++
		if now != last {
			last, same = now, 0
		}
		return same
	}).WithPolling(interval).Should(BeNumerically(">=", samples))
}

func (cr *crowd) disperse() {
	close(cr.stop)
	cr.mu.Lock()
	for _, c := range cr.conns {
		_ = c.Close()
	}
	cr.mu.Unlock()
	cr.wg.Wait()
}

// client is one client of a crowd.
type client struct {
	net.Conn
	crowd  *crowd
	number int
}

func (cr *crowd) run(number int, send func(c *client)) {
	conn, err := net.DialTimeout("tcp", cr.m.callers, 10*time.Second)
	if err != nil {
		return
	}
	cr.mu.Lock()
	cr.conns = append(cr.conns, conn)
	cr.mu.Unlock()
	send(&client{Conn: conn, crowd: cr, number: number})
}

// send sends data in pieces of a size; 0 sends it in one piece. It reports
// whether all of it was sent.
func (c *client) send(data []byte, piece int) bool {
	if piece == 0 {
		piece = len(data)
	}
	for len(data) > 0 {
		n, err := c.Write(data[:min(piece, len(data))])
		c.crowd.sent.Add(int64(n))
		if err != nil {
			return false
		}
		data = data[n:]
	}
	return true
}

// head returns the head of a request. Its fields end with an empty line.
func (c *client) head(method, path string, fields ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: crowd\r\n", method, path)
	if strings.Contains(path, "engrave") {
		fmt.Fprintf(&b, "Idempotency-Key: crowd-%d\r\n", c.number)
	}
	for _, f := range fields {
		b.WriteString(f + "\r\n")
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

// sendBody sends sent of length bytes of a body and leaves the connection open.
func (c *client) sendBody(path string, sent, length, piece int) {
	if c.send(c.head("POST", path, fmt.Sprintf("Content-Length: %d", length)), 0) {
		c.send(bytes.Repeat([]byte("b"), sent), piece)
	}
}

// sendChunks sends a body in chunks of 1,000 bytes without the last one.
func (c *client) sendChunks(path string, sent int) {
	if !c.send(c.head("POST", path, "Transfer-Encoding: chunked"), 0) {
		return
	}
	chunk := []byte("3e8\r\n" + strings.Repeat("b", 1000) + "\r\n")
	for range sent / 1000 {
		if !c.send(chunk, 0) {
			return
		}
	}
}

// shortFields returns header fields of five bytes each, of size bytes in total.
func shortFields(size int) []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b bytes.Buffer
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%c%c:\r\n", letters[i%26], letters[i/26%26])
	}
	return b.Bytes()
}

// sendFields sends a head of very many short fields; it is complete or lacks its
// last line.
func (c *client) sendFields(path string, complete bool) {
	head := c.head("GET", path)
	head = append(head[:len(head)-2], shortFields(maxHead-1000)...)
	if complete {
		head = append(head, "\r\n"...)
	}
	c.send(head, 0)
}

// pipeline sends many requests ahead without reading a response.
func (c *client) pipeline(path string) {
	c.send(bytes.Repeat(c.head("GET", path), 5000), 0)
}

// trickle sends a head byte by byte for as long as the crowd stays.
func (c *client) trickle() {
	if !c.send([]byte("GET / HTTP/1.1\r\nHost: crowd\r\nSlow: "), 0) {
		return
	}
	t := time.NewTicker(200 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-c.crowd.stop:
			return
		case <-t.C:
		}
		// What is sent now doesn't count, since it never ends.
		if _, err := c.Write([]byte("s")); err != nil {
			return
		}
	}
}
