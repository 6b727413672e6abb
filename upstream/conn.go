package upstream

import (
	"bufio"
	"errors"
	"hash/maphash"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"azurestair.example/azurestair"
)

// Limits for reading response headers.
const (
	maxHeaderBytes = 64 << 10
	readBufferSize = 8 << 10
)

// maxCarriedIDs is the number of attempts after which a connection is closed
// rather than reused. It bounds the memory for their IDs to 4 KiB.
const maxCarriedIDs = 512

// conn is a connection to an upstream. It carries one attempt at a time, and
// two attempts with the same ID never: an upstream may send a response a second
// time where the next one is expected, and only the ID tells them apart.
type conn struct {
	net.Conn
	addr string
	r    *bufio.Reader
	// written counts the bytes sent for the current attempt. A write in
	// progress is counted in full, so zero after Close proves that nothing was
	// sent.
	written atomic.Int64
	// writing is true while a write is in progress.
	writing atomic.Bool
	// writeMu is held while a write is in progress. It guards writeErr, the error
	// of a failed write, after which the connection is not reused.
	writeMu  sync.Mutex
	writeErr error
	// readErr is the last read error. It is kept because http.ReadResponse does
	// not return the timeout that cut off a header, but reports the header as
	// malformed.
	readErr error
	// headerBytesLeft bounds the bytes that may be read until the response
	// header is complete; a negative value means no limit.
	headerBytesLeft int64
	opened          time.Time
	lastUsed        time.Time
	reused          bool
	// keepAlive is the idle timeout that the upstream advertised; zero if none.
	keepAlive time.Duration
	// carriedIDs holds the hashes of the IDs of the attempts so far. Two IDs with
	// the same hash only cost another connection.
	carriedIDs []uint64
	// gotStaleResponse is true once a response to an earlier attempt has been
	// received. The connection is not reused then, since more may follow.
	gotStaleResponse bool
}

func newConn(c net.Conn, addr string, now time.Time) *conn {
	uc := &conn{Conn: c, addr: addr, opened: now, lastUsed: now, headerBytesLeft: -1}
	uc.r = bufio.NewReaderSize(uc, readBufferSize)
	return uc
}

// idSeed seeds the hashes of attempt IDs, which callers may choose.
var idSeed = maphash.MakeSeed()

func hashID(id azurestair.RequestID) uint64 { return maphash.String(idSeed, string(id)) }

// recordID records the ID of an attempt that the connection is about to carry.
func (c *conn) recordID(id azurestair.RequestID) { c.carriedIDs = append(c.carriedIDs, hashID(id)) }

// mayCarry reports whether the connection has not carried this ID yet. Attempts
// without an ID, such as probes, are not told apart.
func (c *conn) mayCarry(id azurestair.RequestID) bool {
	return id == "" || !slices.Contains(c.carriedIDs, hashID(id))
}

// keepAliveFraction is the fraction of the advertised idle timeout for which a
// connection is kept, so that a request is not sent while the upstream closes
// it.
const keepAliveFraction = 0.7

// idleTimeout returns how long the connection may stay idle.
func (c *conn) idleTimeout() time.Duration {
	if c.keepAlive == 0 {
		return maxIdle
	}
	return min(maxIdle, time.Duration(keepAliveFraction*float64(c.keepAlive)))
}

var errHeaderTooLarge = errors.New("response header is too large")

// Read reads from the connection and enforces the limit on the header size.
func (c *conn) Read(p []byte) (int, error) {
	if c.headerBytesLeft == 0 {
		return 0, errHeaderTooLarge
	}
	if c.headerBytesLeft > 0 && int64(len(p)) > c.headerBytesLeft {
		p = p[:c.headerBytesLeft]
	}
	n, err := c.Conn.Read(p)
	if c.headerBytesLeft > 0 {
		c.headerBytesLeft -= int64(n)
	}
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// Write counts the bytes that the operating system accepted.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.writing.Store(true)
	defer c.writing.Store(false)
	c.written.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n - len(p)))
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// failedWrite returns the error of a failed write. It waits for a write in
// progress.
func (c *conn) failedWrite() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.writeErr
}

// mayBeReset reports whether the connection may have been reset, after a read
// has returned io.EOF. The operating system reports a reset once: if a write
// gets it, reads end as after an orderly close. A write in progress is ended.
func (c *conn) mayBeReset() bool {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	err := c.failedWrite()
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// isClosedByPeer reports whether the upstream has closed an idle connection or
// sent unsolicited data on it.
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

// IsTimeout reports whether err was caused by a connection deadline.
func IsTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &ne) && ne.Timeout())
}

// body wraps a response body and returns or discards the connection at its end.
type body struct {
	io.ReadCloser
	// delimiter is the connection that ends with the body; nil for a body with
	// a length or in chunks.
	delimiter *conn
	onDone    func(complete bool)
	finished  bool
}

// Read reads the body. Only io.EOF marks the response as complete.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.finished && b.delimiter != nil && b.delimiter.mayBeReset() {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		b.finish(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close ends the response. The connection is discarded unless the body was read
// to its end.
func (b *body) Close() error {
	b.finish(false)
	return nil
}

func (b *body) finish(complete bool) {
	if b.finished {
		return
	}
	b.finished = true
	b.onDone(complete)
}
