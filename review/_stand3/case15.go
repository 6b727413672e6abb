package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// answerBytes is the size of an answer, of which the worker sends half at
	// once.
	answerBytes = 200_000
	// workTime is how long the worker works on the second half.
	workTime = 3 * time.Second
	// leaveAfter is when clients leave.
	leaveAfter = 400 * time.Millisecond
	// goneSlack is how long after that a worker may still be at work.
	goneSlack = 500 * time.Millisecond
)

// case15 lets clients leave while a long answer is under way, and looks how long
// its worker goes on working.
func case15(rec *record) int {
	f, err := setUp(fleetOptions{core: 3, edge: 2}, 3)
	if err != nil {
		return rec.notRun(err)
	}
	defer f.close()
	var mu sync.Mutex
	type work struct {
		began, ended time.Time
		closed       bool
	}
	works := map[string]work{}
	for _, w := range f.workers {
		w.slots = 30
		w.serve = func(w *worker, c net.Conn, r *http.Request, body []byte) bool {
			w.record(r, body)
			id, half := r.Header.Get("Attempt-Id"), strings.Repeat("x", answerBytes/2)
			began := time.Now()
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, w.id, id, answerBytes, half)
			// The worker drops the request when its connection closes.
			_ = c.SetReadDeadline(began.Add(workTime))
			_, err := c.Read(make([]byte, 1))
			ne, ok := err.(net.Error)
			closed := !ok || !ne.Timeout()
			mu.Lock()
			works[id] = work{began: began, ended: time.Now(), closed: closed}
			mu.Unlock()
			if closed {
				return false
			}
			_ = c.SetReadDeadline(time.Time{})
			_, err = c.Write([]byte(half))
			return err == nil
		}
	}
	time.Sleep(4 * time.Second)
	type left struct {
		id string
		at time.Time
	}
	var gone []left
	complete := 0
	var wg sync.WaitGroup
	for i := range 60 {
		m := f.edge[i%len(f.edge)]
		leaves := isTroubled() && i%5 == 0
		wg.Go(func() {
			c, err := dial(m.addr(frontPort))
			if err != nil {
				rec.add("%s takes no connection: %v", m.name, err)
				return
			}
			if leaves {
				c.patience = leaveAfter
			}
			at := time.Now()
			r := c.do("GET", host, "/read/page", "", nil, 4500*time.Millisecond)
			c.close()
			mu.Lock()
			defer mu.Unlock()
			if leaves {
				gone = append(gone, left{r.ID, time.Now()})
				rec.addAt(at, "sent %s to %s; the client left after %v", r.ID, m.name, time.Since(at).Round(time.Millisecond))
				return
			}
			if r.Err == nil && r.Status == 200 && len(r.Body) == answerBytes {
				complete++
			}
			rec.addAt(at, "sent %s to %s, answered %d with %d bytes, error %v", r.ID, m.name, r.Status, len(r.Body), r.Err)
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(workTime + time.Second)
	mu.Lock()
	defer mu.Unlock()
	for id, w := range works {
		rec.addAt(w.began, "run %s, at work for %v, ended by its connection: %v", id, w.ended.Sub(w.began).Round(time.Millisecond), w.closed)
	}
	counted, late := 0, 0
	for _, g := range gone {
		w, ok := works[g.id]
		if !ok || !w.began.Add(workTime).After(g.at.Add(goneSlack)) {
			continue
		}
		counted++
		if w.ended.After(g.at.Add(goneSlack)) {
			late++
		}
	}
	rec.say("%d answers complete", complete)
	rec.say("%d clients left requests that would have lasted over %v more; workers were still at work on %d of them; allowed a quarter", counted, goneSlack, late)
	if complete == 0 || isTroubled() && counted == 0 {
		return rec.notRun(fmt.Errorf("nothing was counted"))
	}
	if 4*late > counted {
		return exitBroken
	}
	return exitHeld
}
