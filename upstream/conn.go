package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// Limits on the head of an answer.
const (
	maxHeadBytes   = 64 << 10
	readBufferSize = 8 << 10
)

// conn is a connection to an upstream. It is used by one attempt at a time.
type conn struct {
	net.Conn
	key string
	r   *bufio.Reader
	// written counts the bytes of the attempt; a write in progress counts as
	// complete, so that zero after Close proves that nothing was sent.
	written atomic.Int64
	// writing is true during a write.
	writing atomic.Bool
	// writeFailed is true once a write has failed; it belongs to the writing goroutine.
	writeFailed bool
	// readErr is the last read error. The parser of heads reports a head that
	// was cut by a timeout as malformed.
	readErr error
	// headLeft bounds the bytes that may be read before the head of an answer is complete; negative means no bound.
	headLeft int64
	opened   time.Time
	lastUsed time.Time
	reused   bool
	// idleFor is how long the upstream keeps the connection when it is idle, as
	// it said; zero when it said nothing.
	idleFor time.Duration
	// spoiled is true once bytes came that belong to no attempt of this entry.
	spoiled bool
}

func newConn(c net.Conn, key string, now time.Time) *conn {
	uc := &conn{Conn: c, key: key, opened: now, lastUsed: now, headLeft: -1}
	uc.r = bufio.NewReaderSize(uc, readBufferSize)
	return uc
}

// idleMargin is the part of an announced idle time for which a connection is
// kept, so that a request does not cross the upstream's close.
const idleMargin = 0.7

// keepFor returns how long the connection may be idle.
func (c *conn) keepFor() time.Duration {
	if c.idleFor == 0 {
		return maxIdle
	}
	return min(maxIdle, time.Duration(idleMargin*float64(c.idleFor)))
}

var errHeadTooLarge = errors.New("head of the answer is too large")

// Read reads from the connection within the bound on the head.
func (c *conn) Read(p []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, errHeadTooLarge
	}
	if c.headLeft > 0 && int64(len(p)) > c.headLeft {
		p = p[:c.headLeft]
	}
	n, err := c.Conn.Read(p)
	if c.headLeft > 0 {
		c.headLeft -= int64(n)
	}
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// Write counts what the operating system accepted.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Store(true)
	defer c.writing.Store(false)
	c.written.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n - len(p)))
	if err != nil {
		c.writeFailed = true
	}
	return n, err
}

// isClosedByPeer reports whether an idle connection has been closed by the
// upstream or holds bytes that nobody asked for.
func (c *conn) isClosedByPeer() bool {
	if c.r.Buffered() > 0 {
		return true
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = n < 0 && (errors.Is(e, syscall.EAGAIN) || errors.Is(e, syscall.EWOULDBLOCK))
		return true
	})
	return err != nil || !open
}

// IsTimeout reports whether a deadline of the connection ended the call.
func IsTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &ne) && ne.Timeout())
}

// body reads the body of an answer and settles the connection at its end.
type body struct {
	io.ReadCloser
	done func(whole bool)
	end  bool
}

// Read reads the body; only io.EOF marks the whole answer.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.finish(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close ends the answer; an unread rest spoils the connection.
func (b *body) Close() error {
	b.finish(false)
	return nil
}

func (b *body) finish(whole bool) {
	if b.end {
		return
	}
	b.end = true
	b.done(whole)
}
