package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// spoiledShare and spoilingWorkers are the doses of the bench's page: half of
	// the workers spoil 2 in 100 of their answers.
	spoiledShare    = 0.02
	spoilingWorkers = 2
	stampHeader     = "Response-Stamp"
)

// case12 lets workers spoil a byte in the head of some of their answers, and
// looks for successes without the worker's stamp at the clients.
func case12(rec *record) int {
	f, err := setUp(fleetOptions{core: 3, edge: 2}, 4)
	if err != nil {
		return rec.notRun(err)
	}
	defer f.close()
	var mu sync.Mutex
	spoiled := map[string]bool{}
	for i, w := range f.workers {
		w.serve = func(w *worker, c net.Conn, r *http.Request, body []byte) bool {
			w.record(r, body)
			time.Sleep(w.delay)
			id := r.Header.Get("Attempt-Id")
			text := "done " + id
			answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n%s: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, stampHeader, w.id, id, len(text), text)
			if isTroubled() && i < spoilingWorkers && rand.Float64() < spoiledShare {
				at := bytes.Index(answer, []byte(stampHeader)) + rand.IntN(len(stampHeader))
				answer[at] = 'x'
				mu.Lock()
				spoiled[id] = true
				mu.Unlock()
				rec.add("worker %s spoils byte %d of its answer to %s", w.id, at, id)
			}
			_, err := c.Write(answer)
			return err == nil
		}
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	answered, unsigned := 0, 0
	for i := range 8 {
		m := f.edge[i%len(f.edge)]
		wg.Go(func() {
			c, err := dial(m.addr(frontPort))
			t := time.NewTicker(100 * time.Millisecond)
			defer t.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-t.C:
				}
				if err != nil {
					if c, err = dial(m.addr(frontPort)); err != nil {
						continue
					}
				}
				method, path := "GET", "/read/page"
				if n%2 == 1 {
					method, path = "POST", "/order/jar"
				}
				at := time.Now()
				r := c.do(method, host, path, "", nil, 3*time.Second)
				rec.addAt(at, "sent %s %s %s to %s, answered %d, stamp %q", r.ID, method, path, m.name, r.Status, r.Stamp)
				mu.Lock()
				if r.Err == nil {
					answered++
				}
				if r.Err == nil && r.Status/100 == 2 && r.Stamp == "" {
					unsigned++
					rec.add("success without a stamp: %s, spoiled by its worker: %v", r.ID, spoiled[r.ID])
				}
				mu.Unlock()
				if err = r.Err; err != nil || r.Close {
					c.close()
					err = fmt.Errorf("closed")
				}
			}
		})
	}
	time.Sleep(30 * time.Second)
	close(stop)
	wg.Wait()
	for _, w := range f.workers {
		for _, r := range w.runList() {
			rec.addAt(r.At, "run %s at %s", r.ID, r.Worker)
		}
	}
	rec.say("%d requests answered, %d answers spoiled by their workers, %d successes without a stamp at the clients", answered, len(spoiled), unsigned)
	if answered == 0 {
		return rec.notRun(fmt.Errorf("no request was answered"))
	}
	if unsigned > 0 {
		return exitBroken
	}
	return exitHeld
}
