package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// ErrRequestBody reports that the caller's body broke off or stalled, which
// says nothing about the upstream.
var ErrRequestBody = errors.New("request body could not be read")

// longBody is the size beyond which a body may not fit into the socket
// buffers, so that the answer is awaited while the request is written.
const longBody = 64 << 10

// writers holds the buffers through which requests are written.
var writers = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

// send writes the request.
func (c *conn) send(r *http.Request) error {
	c.writeFailed = false
	w := writers.Get().(*bufio.Writer)
	w.Reset(c)
	err := r.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	writers.Put(w)
	if err != nil && !c.writeFailed {
		return fmt.Errorf("%w: %w", ErrRequestBody, err)
	}
	return err
}

// upload writes a long request on its own goroutine.
type upload struct {
	conn    *conn
	request *http.Request
	done    chan struct{}
	err     error
}

// run writes the request. When the caller's body breaks off no answer can be
// expected, and the wait for it is ended.
func (u *upload) run() {
	u.err = u.conn.send(u.request)
	close(u.done)
	if errors.Is(u.err, ErrRequestBody) {
		_ = u.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// exchangeLong awaits the answer while the request is written: an upstream may
// answer and read no further, and a caller may stall within its body. The
// connection is reused only if the request has been written by the time of the answer.
func (c *conn) exchangeLong(r *http.Request) (*http.Response, error) {
	u := &upload{conn: c, request: r, done: make(chan struct{})}
	go u.run()
	resp, err := c.readHead(r)
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
		// The upstream was not waited for: the caller's body has stalled.
		return nil, fmt.Errorf("%w: %w", ErrRequestBody, err)
	}
	return resp, err
}
