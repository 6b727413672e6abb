package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// longWork is how long workers work on a long request, and longTimeout the
	// timeout of its route.
	longWork    = 31 * time.Second
	longTimeout = 60 * time.Second
	// termAfter is when the machine is told to stop, after the long requests were
	// sent.
	termAfter = 27 * time.Second
	grace     = 6 * time.Second
)

// case14 stops a machine while workers are at work on long requests, which they
// finish well within the grace period.
func case14(rec *record) int {
	f, err := newFleet(fleetOptions{core: 3, edge: 2})
	if err != nil {
		return rec.notRun(err)
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return rec.notRun(err)
	}
	rules := usualRules()
	rules[0].Timeout, rules[1].Timeout = int(longTimeout.Milliseconds()), int(longTimeout.Milliseconds())
	if s := f.order("/azurestair/Config.Put", configDoc(1, rules, []string{"desk"}), 20*time.Second); s != 200 {
		return rec.notRun(fmt.Errorf("the configuration was answered %d", s))
	}
	var mu sync.Mutex
	finished := map[string]time.Time{}
	for i := range 3 {
		w := f.newWorker(fmt.Sprintf("i-%08x", i+1), "desk", []string{"kigali-a", "huye-a", "musanze-a"}[i])
		w.serve = func(w *worker, c net.Conn, r *http.Request, body []byte) bool {
			w.record(r, body)
			if strings.HasSuffix(r.RequestURI, "long") {
				// The worker would finish also if its connection closed.
				time.Sleep(longWork)
			}
			id := r.Header.Get("Attempt-Id")
			mu.Lock()
			finished[id] = time.Now()
			mu.Unlock()
			return w.answer(c, r, "200 OK", "done "+id)
		}
		if err := w.start(); err != nil {
			return rec.notRun(err)
		}
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return rec.notRun(err)
	}
	time.Sleep(4 * time.Second)
	m := f.edge[0]
	type answer struct {
		reply
		at time.Time
	}
	var answers []answer
	var wg sync.WaitGroup
	for i := range 6 {
		method, path := "GET", "/read/long"
		if i%2 == 1 {
			method, path = "POST", "/order/long"
		}
		wg.Go(func() {
			c, err := dial(m.addr(frontPort))
			if err != nil {
				rec.add("%s takes no connection: %v", m.name, err)
				return
			}
			defer c.close()
			at := time.Now()
			r := c.do(method, host, path, "", nil, longTimeout-5*time.Second)
			rec.addAt(at, "sent %s %s %s to %s, answered %d after %v by %q, error %v", r.ID, method, path, m.name, r.Status, time.Since(at).Round(time.Millisecond), r.Stamp, r.Err)
			mu.Lock()
			answers = append(answers, answer{r, time.Now()})
			mu.Unlock()
		})
	}
	time.Sleep(termAfter)
	termAt := time.Now()
	if isTroubled() {
		m.signal(syscall.SIGTERM)
		rec.say("SIGTERM to %s", m.name)
	}
	wg.Wait()
	time.Sleep(longWork - termAfter + time.Second)
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for _, a := range answers {
		done, ran := finished[a.ID]
		rec.add("%s: finished by its worker %v after the SIGTERM, ended at the client %v after it", a.ID, done.Sub(termAt).Round(time.Millisecond), a.at.Sub(termAt).Round(time.Millisecond))
		// Only what ends in the time of planned work counts, and not what its
		// worker was still at work on in the last sixth of the grace period.
		planned := isTroubled() && a.at.After(termAt) && a.at.Before(termAt.Add(grace+time.Second))
		if planned && ran && done.After(a.at) && done.Before(termAt.Add(grace*5/6)) && a.Stamp == "" {
			broken++
		}
	}
	rec.say("%d long requests; %d of them broken off while their worker was at work, between SIGTERM and the last sixth of the grace period", len(answers), broken)
	if len(answers) == 0 {
		return rec.notRun(fmt.Errorf("no request was sent"))
	}
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
