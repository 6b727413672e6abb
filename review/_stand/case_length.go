package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["length"] = absurdLength }

// absurdLength sends pages, orders and payments for a minute. In the trouble,
// one worker breaks off one of its answers: a head that announces the largest
// length there is, and a few bytes of a body.
func absurdLength(f *fleet, trouble bool) (int, error) {
	const (
		before = 180
		after  = 420
		gap    = 150 * time.Millisecond
		// mostRefused is the largest share of refused and failed requests.
		mostRefused = 0.6
	)
	var spoil atomic.Bool
	err := f.setUp(config(1, []string{"jar-desk", "pay-counter"}, []route{
		{name: "r-browse", prefix: "/browse/", kind: "safe", service: "jar-desk", timeoutMs: 1500, maxAttempts: 2, priority: 1},
		{name: "r-order", prefix: "/order/", kind: "unsafe", service: "jar-desk", timeoutMs: 2000, maxAttempts: 2, priority: 2},
		{name: "r-pay", prefix: "/pay/", kind: "unsafe", service: "pay-counter", timeoutMs: 1200, maxAttempts: 2, priority: 0},
	}), func() error {
		for i, service := range []string{"jar-desk", "jar-desk", "pay-counter"} {
			w, err := f.startWorker(fmt.Sprintf("i-%d", i), service, 3*(i%2), 20*time.Millisecond)
			if err != nil {
				return err
			}
			if i > 0 {
				continue
			}
			w.answer = func(w *worker, r *workerRequest) bool {
				if !strings.HasPrefix(r.path, "/browse/") || !spoil.CompareAndSwap(true, false) {
					return false
				}
				w.run(r)
				f.rec.log("worker %s breaks off its answer to %s", w.id, r.id)
				fmt.Fprintf(r.conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: %s\r\nContent-Length: 1000000000000\r\n\r\nworker", r.id, w.stamp(r))
				r.conn.Close()
				return true
			}
		}
		return nil
	})
	if err != nil {
		return failed, err
	}
	m := f.entries[0]
	if err := f.waitServed(attempt{method: "GET", path: "/browse/1", deadline: 3 * time.Second}, 15*time.Second); err != nil {
		return failed, err
	}
	if err := f.waitServed(attempt{method: "PUT", path: "/pay/1", deadline: 2 * time.Second}, 15*time.Second); err != nil {
		return failed, err
	}
	kinds := []attempt{
		{method: "GET", path: "/browse/1", deadline: 3 * time.Second},
		{method: "POST", path: "/order/1", body: []byte("engrave"), deadline: 4 * time.Second},
		{method: "PUT", path: "/pay/1", body: []byte("amount=1"), deadline: 2 * time.Second},
	}
	served, refused, failures := 0, 0, 0
	for i := range before + after {
		if i == before {
			spoil.Store(trouble)
		}
		a := kinds[i%len(kinds)]
		a.id, a.affinity = newAttemptID(), newAttemptID()
		got := f.send(m, a)
		switch {
		case got.err == nil && got.status == http.StatusOK:
			served++
		case got.err == nil && got.status == http.StatusServiceUnavailable:
			refused++
		default:
			failures++
		}
		if got.err != nil || got.status != http.StatusOK {
			f.rec.log("client got %d %s for %s %s, %d runs, err %v", got.status, short(got.body), a.method, a.path, f.totalRuns(a.id), got.err)
		}
		if i >= before {
			time.Sleep(gap)
		}
	}
	if resp, err := f.client.Get(fmt.Sprintf("http://%s:%d/azurestair/readiness", m.ip, readyPort)); err == nil {
		resp.Body.Close()
		f.rec.log("readiness of %s: %d", m.name, resp.StatusCode)
	}
	f.rec.log("%d served, %d refused, %d failed", served, refused, failures)
	if float64(refused+failures) > mostRefused*float64(before+after) {
		f.rec.log("over %.0f%% of the requests were refused or failed", 100*mostRefused)
		return broken, nil
	}
	return held, nil
}
