package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// startSmall starts five control machines, two entries and workers in two
// zones, and sends the first configuration.
func startSmall(rec *record, c *config, workers int, work time.Duration) (*fleet, *operator, []*worker, error) {
	f, err := newFleet(rec, smallSite())
	if err != nil {
		return nil, nil, nil, err
	}
	for _, z := range []string{"kigali-a", "huye-a", "musanze-a", "kigali-b", "huye-b"} {
		f.add("core", z, 280)
	}
	for _, z := range []string{"kigali-a", "huye-a"} {
		f.add("edge", z, 284)
	}
	if err := f.startAll(); err != nil {
		f.close()
		return nil, nil, nil, err
	}
	o := newOperator(rec, f.cores())
	var list []*worker
	for n := range workers {
		w, err := startWorker(rec, f, n, c.Clusters[0].Name, []string{"kigali-a", "huye-a"}[n%2], work)
		if err != nil {
			f.close()
			return nil, nil, nil, err
		}
		list = append(list, w)
	}
	if !o.put(c, time.Now().Add(15*time.Second)) {
		f.close()
		return nil, nil, nil, fmt.Errorf("the first configuration is not acknowledged")
	}
	// Traffic starts 8 s after the machines do.
	time.Sleep(8 * time.Second)
	return f, o, list, nil
}

// client is a client with one kept connection to an entry.
type client struct {
	rec  *record
	addr string
	conn net.Conn
	r    *bufio.Reader
}

// reply is what a client has got.
type reply struct {
	status int
	stamp  string
	id     string
	body   []byte
	header http.Header
	err    error
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// dial opens a connection if there is none.
func (c *client) dial() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.r = conn, bufio.NewReader(conn)
	return nil
}

// head returns a request head.
func head(method, path, id string, deadline time.Duration, fields ...string) *bytes.Buffer {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	for _, field := range fields {
		b.WriteString(field + "\r\n")
	}
	b.WriteString("\r\n")
	return &b
}

// send writes a whole request at once and reads the answer.
func (c *client) send(method string, request []byte, deadline time.Duration) reply {
	if err := c.dial(); err != nil {
		return reply{err: err}
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	if _, err := c.conn.Write(request); err != nil {
		c.close()
		return reply{err: err}
	}
	return c.read(method)
}

func (c *client) read(method string) reply {
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		c.close()
		return reply{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.Close {
		c.close()
	}
	return reply{status: resp.StatusCode, stamp: resp.Header.Get("Response-Stamp"), id: resp.Header.Get("Attempt-Id"), body: body, header: resp.Header, err: err}
}
