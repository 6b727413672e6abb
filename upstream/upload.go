package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// ErrRequestBody reports that the caller's request body was truncated or
// stalled. It does not indicate a fault of the upstream.
var ErrRequestBody = errors.New("request body could not be read")

// maxBufferedBody is the largest body that is expected to fit into the socket
// buffers. Larger requests are written while the response is awaited.
const maxBufferedBody = 64 << 10

// writerPool holds the buffers used to write requests.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

// send writes the request. An error that does not come from the connection is
// returned as ErrRequestBody.
func (c *conn) send(r *http.Request) error {
	w := writerPool.Get().(*bufio.Writer)
	w.Reset(c)
	err := r.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	writerPool.Put(w)
	if err != nil && c.failedWrite() == nil {
		return fmt.Errorf("%w: %w", ErrRequestBody, err)
	}
	return err
}

// upload writes a large request on its own goroutine.
type upload struct {
	conn    *conn
	request *http.Request
	body    *sourceBody
	done    chan struct{}
	err     error
	// answered is true once the response header has been read.
	answered atomic.Bool
}

// run writes the request. If the caller's body is truncated, the pending read is
// cancelled: no response can be expected, or the caller has left. A response that has
// begun goes on if the caller has only sent too slowly.
func (u *upload) run() {
	u.err = u.conn.send(u.request)
	close(u.done)
	hasStalled := IsTimeout(u.body.err)
	if errors.Is(u.err, ErrRequestBody) && (!hasStalled || !u.answered.Load()) {
		_ = u.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// sourceBody records the error of the caller's body, which net/http hides.
type sourceBody struct {
	io.ReadCloser
	err error
}

// Read implements io.Reader.
func (b *sourceBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}

// roundTripLarge awaits the response while the request is being written, since
// an upstream may respond without reading the rest and a caller may stall
// within its body. The connection is reused only if the request was fully
// written before the response header arrived.
func (c *conn) roundTripLarge(r *http.Request) (*http.Response, error) {
	u := &upload{conn: c, request: r, body: &sourceBody{ReadCloser: r.Body}, done: make(chan struct{})}
	r.Body = u.body
	go u.run()
	resp, err := c.readHeader(r)
	u.answered.Store(err == nil)
	select {
	case <-u.done:
		if err != nil && u.err != nil {
			return nil, u.err
		}
		if err == nil && u.err != nil {
			resp.Close = true
		}
		return resp, err
	default:
	}
	switch {
	case err == nil:
		resp.Close = true
	case IsTimeout(err) && !c.writing.Load():
		// No write was pending, so the caller's body has stalled.
		return nil, fmt.Errorf("%w: %w", ErrRequestBody, err)
	}
	return resp, err
}
