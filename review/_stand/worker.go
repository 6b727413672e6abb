package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// workerRequest is a request that reached a worker.
type workerRequest struct {
	conn   *workerConn
	method string
	path   string
	id     string
	target string
	header http.Header
	body   []byte
}

// workerConn is a connection to a worker.
type workerConn struct {
	net.Conn
	number int
	served int
	// late is an extra answer that is sent when the next answer is expected.
	late []byte
}

// worker is a stand-in for a worker of a service.
type worker struct {
	f       *fleet
	id      string
	service string
	zone    string
	addr    string
	slots   int
	born    int64
	work    time.Duration
	// answer answers a request in place of the worker if it returns true.
	answer func(w *worker, r *workerRequest) bool

	l        net.Listener
	done     chan struct{}
	mu       sync.Mutex
	conns    map[net.Conn]bool
	accepted int
	sequence int
	state    string
	beatsOff bool
	runs     map[string]int
	order    []string
}

// startWorker starts a worker with its heartbeats.
func (f *fleet) startWorker(id, service string, zone int, work time.Duration) (*worker, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", f.subnet, 100+len(f.workers)))
	if err != nil {
		return nil, err
	}
	w := &worker{
		f: f, id: id, service: service, zone: zones[zone].name, addr: l.Addr().String(), slots: 9, born: time.Now().UnixMilli(), work: work,
		l: l, done: make(chan struct{}), conns: map[net.Conn]bool{}, state: "ready", runs: map[string]int{},
	}
	f.workers = append(f.workers, w)
	go w.accept()
	go w.beat()
	return w, nil
}

func (w *worker) close() {
	select {
	case <-w.done:
		return
	default:
	}
	close(w.done)
	w.l.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.Close()
	}
}

// beat sends heartbeats until the worker ends.
func (w *worker) beat() {
	for i := 0; ; i++ {
		w.mu.Lock()
		off := w.beatsOff
		w.mu.Unlock()
		if !off {
			w.sendBeat(i)
		}
		select {
		case <-w.done:
			return
		case <-time.After(beatInterval):
		}
	}
}

func (w *worker) sendBeat(first int) {
	w.mu.Lock()
	w.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": w.slots, "state": w.state,
		"cold_left_ms": 0, "sequence": w.sequence, "born": w.born,
	})
	w.mu.Unlock()
	for i := range w.f.controls {
		m := w.f.controls[(first+i)%len(w.f.controls)]
		status, _, err := w.f.order(m, http.MethodPost, "/azurestair/Instances.Heartbeat/"+w.id, body)
		if err == nil && status == http.StatusOK {
			return
		}
	}
}

func (w *worker) accept() {
	for {
		c, err := w.l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.accepted++
		n := w.accepted
		w.conns[c] = true
		w.mu.Unlock()
		go w.serve(&workerConn{Conn: c, number: n})
	}
}

func (w *worker) serve(c *workerConn) {
	defer func() {
		c.Close()
		w.mu.Lock()
		delete(w.conns, c.Conn)
		w.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		c.served++
		wr := &workerRequest{
			conn: c, method: req.Method, path: req.RequestURI, id: req.Header.Get("Attempt-Id"), target: req.Header.Get("Target-Instance"),
			header: req.Header, body: body,
		}
		if wr.target != "" && wr.target != w.id {
			c.reply(421, wr.id, "", "", "Not-Executed: 1\r\n")
			continue
		}
		if w.answer != nil && w.answer(w, wr) {
			continue
		}
		w.run(wr)
		c.reply(200, wr.id, w.stamp(wr), fmt.Sprintf("worker %s ran %s\n", w.id, wr.id), "")
	}
}

// run does the work of a request.
func (w *worker) run(r *workerRequest) {
	w.mu.Lock()
	w.runs[r.id]++
	n := w.runs[r.id]
	w.order = append(w.order, r.id)
	w.mu.Unlock()
	w.f.rec.log("worker %s runs %s %s %s (run %d at this worker), connection %d", w.id, r.id, r.method, r.path, n, r.conn.number)
	time.Sleep(w.work)
}

func (w *worker) stamp(r *workerRequest) string { return "s." + w.id + "." + r.id }

func (w *worker) runsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// rawAnswer returns the bytes of an answer.
func rawAnswer(status int, id, stamp, body, extra string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&b, "Attempt-Id: %s\r\n", id)
	}
	if stamp != "" {
		fmt.Fprintf(&b, "Response-Stamp: %s\r\n", stamp)
	}
	fmt.Fprintf(&b, "Keep-Alive: timeout=10\r\n%sContent-Length: %d\r\n\r\n%s", extra, len(body), body)
	return b.Bytes()
}

// reply sends an answer. An extra answer that is still due goes first.
func (c *workerConn) reply(status int, id, stamp, body, extra string) {
	data := rawAnswer(status, id, stamp, body, extra)
	if c.late != nil {
		data = append(c.late, data...)
		c.late = nil
	}
	_, _ = c.Write(data)
}

// totalRuns returns how often a request ran at all workers.
func (f *fleet) totalRuns(id string) int {
	n := 0
	for _, w := range f.workers {
		n += w.runsOf(id)
	}
	return n
}

func short(b []byte) string { return strings.TrimSpace(string(b[:min(len(b), 80)])) }
