package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that a worker has begun to work on.
type run struct {
	Worker string    `json:"worker"`
	ID     string    `json:"id"`
	Method string    `json:"method"`
	Path   string    `json:"path"`
	Body   int       `json:"body"`
	At     time.Time `json:"at"`
}

// worker is a stand-in for a worker of the platform.
type worker struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	ip      string
	port    int
	slots   int
	born    int64
	// coldUntil is the Unix millisecond until which the worker is cold.
	coldUntil int64
	l         net.Listener

	// serve answers a request that has been read; nil answers after delay.
	serve func(w *worker, c net.Conn, r *http.Request, body []byte) bool
	delay time.Duration

	mu       sync.Mutex
	state    string
	sequence int
	runs     []run
	closed   bool
	conns    map[net.Conn]bool
}

func (f *fleet) newWorker(id, service, zone string) *worker {
	w := &worker{
		fleet: f, id: id, service: service, zone: zone, ip: f.nextIP(), port: workerPort, slots: 9, state: "ready", born: time.Now().UnixMilli(),
		delay: 5 * time.Millisecond, conns: map[net.Conn]bool{},
	}
	f.workers = append(f.workers, w)
	return w
}

func (w *worker) addr() string { return fmt.Sprintf("%s:%d", w.ip, w.port) }

func (w *worker) start() error {
	l, err := net.Listen("tcp", w.addr())
	if err != nil {
		return err
	}
	w.l = l
	go w.acceptLoop()
	go w.beatLoop()
	return nil
}

func (w *worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	if w.l != nil {
		_ = w.l.Close()
	}
	for c := range w.conns {
		_ = c.Close()
	}
}

func (w *worker) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

func (w *worker) setState(s string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = s
}

func (w *worker) beatLoop() {
	for !w.isClosed() {
		w.beat()
		time.Sleep(1500 * time.Millisecond)
	}
}

// beat sends a heartbeat to one control machine after the other until one
// acknowledges it.
func (w *worker) beat() bool {
	w.mu.Lock()
	w.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.addr(), "zone": w.zone, "version": "v1", "slots": w.slots, "state": w.state, "cold_left_ms": max(0, w.coldUntil-time.Now().UnixMilli()),
		"sequence": w.sequence, "born": w.born,
	})
	w.mu.Unlock()
	for _, m := range w.fleet.core {
		if post(m.addr(controlPort), "/azurestair/Instances.Heartbeat/"+w.id, body, time.Second)/100 == 2 {
			return true
		}
	}
	return false
}

func (w *worker) deregister() bool {
	body, _ := json.Marshal(map[string]any{"born": w.born})
	for range 4 {
		for _, m := range w.fleet.core {
			if post(m.addr(controlPort), "/azurestair/Instances.Deregister/"+w.id, body, time.Second)/100 == 2 {
				return true
			}
		}
	}
	return false
}

func (w *worker) acceptLoop() {
	for {
		c, err := w.l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go w.connLoop(c)
	}
}

func (w *worker) connLoop(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !w.handle(c, r, body) {
			return
		}
	}
}

func (w *worker) handle(c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get("Attempt-Id")
	if target := r.Header.Get("Target-Instance"); target != "" && target != w.id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", w.id, id)
		return true
	}
	if r.URL.Path == "/health" {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: 0,0,%d\r\nContent-Length: 0\r\n\r\n", w.id, w.slots)
		return true
	}
	if w.serve != nil {
		return w.serve(w, c, r, body)
	}
	w.record(r, body)
	time.Sleep(w.delay)
	return w.answer(c, r, "200 OK", "done "+id)
}

// record records that the worker runs a request.
func (w *worker) record(r *http.Request, body []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, run{
		Worker: w.id, ID: r.Header.Get("Attempt-Id"), Method: r.Method, Path: r.RequestURI, Body: len(body), At: time.Now(),
	})
}

// answer writes a whole answer.
func (w *worker) answer(c net.Conn, r *http.Request, status, body string) bool {
	id := r.Header.Get("Attempt-Id")
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nResponse-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s", status, id, w.id, id, len(body), body)
	return err == nil
}

func (w *worker) runList() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run{}, w.runs...)
}
