package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// client is a connection of a client to an edge machine.
type client struct {
	c  net.Conn
	br *bufio.Reader
	// patience is how long the client waits for answers; zero means until the
	// deadline that it states.
	patience time.Duration
}

// reply is what a client got on one request.
type reply struct {
	ID     string
	Status int
	Stamp  string
	Body   string
	Header http.Header
	Err    error
	// Close is true if the connection must not be used again.
	Close bool
	Took  time.Duration
}

func dial(addr string) (*client, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{c: c, br: bufio.NewReader(c)}, nil
}

func (c *client) close() { _ = c.c.Close() }

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// do sends a request and reads the whole answer.
func (c *client) do(method, host, path, extra string, body []byte, deadline time.Duration) reply {
	r := reply{ID: newID()}
	began := time.Now()
	defer func() { r.Took = time.Since(began) }()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n%s", method, path, host, r.ID, deadline.Milliseconds(), extra)
	if len(body) > 0 || method == "POST" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, r.Err = c.c.Write(append([]byte(head+"\r\n"), body...)); r.Err != nil {
		return r
	}
	within := deadline
	if c.patience > 0 {
		within = c.patience
	}
	c.read(&r, method, within)
	return r
}

// read reads an answer.
func (c *client) read(r *reply, method string, within time.Duration) {
	_ = c.c.SetReadDeadline(time.Now().Add(within))
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		r.Err = err
		return
	}
	r.Close = resp.Close
	data, err := io.ReadAll(resp.Body)
	r.Status, r.Stamp, r.Header, r.Body, r.Err = resp.StatusCode, resp.Header.Get("Response-Stamp"), resp.Header, string(data), err
}
