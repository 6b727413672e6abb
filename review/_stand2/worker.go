package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a sound worker: it runs each request that it gets, unless it is for
// another worker, and sends heartbeats.
type worker struct {
	rec     *record
	id      string
	service string
	zone    string
	addr    string
	born    int64
	targets []*machine
	// work is the time that a request takes.
	work time.Duration
	// answer, if set, replaces the answer of a request that has run.
	answer func(w http.ResponseWriter, r *http.Request, body []byte) bool

	server *http.Server
	mu     sync.Mutex
	// runs counts the runs of each request by its id, and bodies holds the
	// digest of the body of its last run.
	runs    map[string]int
	bodies  map[string]string
	tenants map[string]string
	seq     int
	state   string
	leaving bool
	stopped bool
}

// startWorker starts a worker on a free port of a loopback address.
func startWorker(rec *record, f *fleet, n int, service, zone string, work time.Duration) (*worker, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", f.prefix, 100+n))
	if err != nil {
		return nil, err
	}
	w := &worker{
		rec: rec, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, addr: l.Addr().String(), born: time.Now().UnixMilli(),
		targets: f.cores(), work: work, runs: map[string]int{}, bodies: map[string]string{}, tenants: map[string]string{}, state: "ready",
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(l) }()
	go w.beatLoop()
	return w, nil
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", w.id)
		return
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != w.id {
		h.Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Attempt-Id")
	if id == "" {
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.rec.line("worker %s: request %s breaks off: %v", w.id, id, err)
		return
	}
	sum := sha256.Sum256(body)
	w.mu.Lock()
	w.runs[id]++
	w.bodies[id] = hex.EncodeToString(sum[:8])
	w.tenants[id] = r.Header.Get("Tenant")
	w.mu.Unlock()
	w.rec.line("worker %s runs %s %s %s, body of %d bytes", w.id, id, r.Method, r.URL.RequestURI(), len(body))
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		w.rec.line("worker %s: the caller of %s has gone", w.id, id)
		return
	}
	h.Set("Attempt-Id", id)
	h.Set("Response-Stamp", w.id+"."+id)
	h.Set("Server-Load", "1,0,9")
	if w.answer != nil && w.answer(rw, r, body) {
		return
	}
	_, _ = fmt.Fprintf(rw, "answer to %s\n", id)
}

func (w *worker) beatLoop() {
	for {
		w.mu.Lock()
		stopped := w.stopped
		w.mu.Unlock()
		if stopped {
			return
		}
		w.beat()
		time.Sleep(1500 * time.Millisecond)
	}
}

// beat sends a heartbeat to one control machine after the other until one of
// them acknowledges it.
func (w *worker) beat() bool {
	w.mu.Lock()
	w.seq++
	data, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 9, "state": w.state, "cold_left_ms": 0,
		"sequence": w.seq, "born": w.born,
	})
	targets := w.targets
	w.mu.Unlock()
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	first := rand.IntN(len(targets))
	for n := range targets {
		m := targets[(first+n)%len(targets)]
		resp, err := c.Post("http://"+m.addr(controlPort)+"/azurestair/Instances.Heartbeat/"+w.id, "application/json", bytes.NewReader(data))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// setTargets replaces the control machines that get the heartbeats.
func (w *worker) setTargets(list []*machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.targets = list
}

func (w *worker) stop() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	_ = w.server.Close()
}

// runsOf returns how often a request has run at any of the workers.
func runsOf(list []*worker, id string) int {
	n := 0
	for _, w := range list {
		w.mu.Lock()
		n += w.runs[id]
		w.mu.Unlock()
	}
	return n
}

func newID() string { return strconv.FormatUint(rand.Uint64(), 16) }
