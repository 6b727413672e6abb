package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	coldTime  = 3 * time.Second
	coldPerS  = 11.0
	coldOver  = 1.5
	coldSlack = 5.0
	// againAfter is when a new worker becomes cold again.
	againAfter = 2500 * time.Millisecond
	// crashAt is the number of requests in one second at which a cold worker
	// crashes. It is well above what it tolerates (coldPerS) and above the bound
	// of the rule.
	crashAt = 30
	// addedWorkers is how many workers are added, one after the other.
	addedWorkers = 7
	// workerDelay is how long workers work on a request, and workerSlots how many
	// they work on.
	workerDelay = 80 * time.Millisecond
	workerSlots = 20
	// loadRate is the number of requests per second.
	loadRate = 300
)

// crashWhenFlooded makes a worker answer as a sound one and crash when it gets
// too much while it is cold.
func crashWhenFlooded(rec *record) func(w *worker, c net.Conn, r *http.Request, body []byte) bool {
	var mu sync.Mutex
	var arrivals []time.Time
	var crash sync.Once
	return func(w *worker, c net.Conn, r *http.Request, body []byte) bool {
		w.record(r, body)
		mu.Lock()
		now := time.Now()
		w.mu.Lock()
		isCold := now.UnixMilli() < w.coldUntil
		w.mu.Unlock()
		arrivals = append(arrivals, now)
		for now.Sub(arrivals[0]) >= time.Second {
			arrivals = arrivals[1:]
		}
		flooded := isCold && len(arrivals) >= crashAt
		mu.Unlock()
		if flooded {
			crash.Do(func() {
				rec.say("worker %s crashes: %d requests in one second while it is cold", w.id, crashAt)
				w.close()
			})
		}
		time.Sleep(workerDelay)
		if w.isClosed() {
			return false
		}
		return w.answer(c, r, "200 OK", "done "+r.Header.Get("Attempt-Id"))
	}
}

// sent is a request of a client and its answer.
type sent struct {
	at     time.Time
	method string
	status int
}

// load sends reads and orders in turn at a rate to all edge machines until the
// returned function is called. That function returns what was sent.
func (f *fleet) load(rec *record, rate int) func() map[string]sent {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	all := map[string]sent{}
	conns := 12 * len(f.edge)
	for i := range conns {
		m := f.edge[i%len(f.edge)]
		wg.Go(func() {
			c, err := dial(m.addr(frontPort))
			t := time.NewTicker(time.Duration(conns) * time.Second / time.Duration(rate))
			defer t.Stop()
			for n := i; ; n++ {
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
				at := time.Now()
				method, path := "GET", "/read/page"
				if n%2 == 1 {
					method, path = "POST", "/order/jar"
				}
				r := c.do(method, host, path, "", nil, 2*time.Second)
				rec.addAt(at, "sent %s %s %s to %s, answered %d by %q", r.ID, method, path, m.name, r.Status, r.Stamp)
				mu.Lock()
				all[r.ID] = sent{at, method, r.Status}
				mu.Unlock()
				if err = r.Err; err != nil || r.Close {
					c.close()
					err = fmt.Errorf("closed")
				}
			}
		})
	}
	return func() map[string]sent {
		close(stop)
		wg.Wait()
		return all
	}
}

// mostInOneSecond returns the largest number of requests that were sent and
// arrived in one second.
func mostInOneSecond(runs []run, all map[string]sent) int {
	type span struct{ sent, arrived time.Time }
	var spans []span
	for _, r := range runs {
		if s, ok := all[r.ID]; ok {
			spans = append(spans, span{s.at, r.At})
		}
	}
	most := 0
	for _, first := range spans {
		n := 0
		for _, s := range spans {
			if !s.sent.Before(first.sent) && s.arrived.Before(first.sent.Add(time.Second)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// case15 adds workers. Each is cold after its start and becomes cold again before
// that has ended.
func case15(rec *record) int {
	f, err := setUp(fleetOptions{core: 3, edge: 4}, 4)
	if err != nil {
		return rec.notRun(err)
	}
	defer f.close()
	for _, w := range f.workers {
		w.mu.Lock()
		w.slots, w.delay = workerSlots, workerDelay
		w.mu.Unlock()
	}
	time.Sleep(4 * time.Second)
	stop := f.load(rec, loadRate)
	time.Sleep(2 * time.Second)
	type period struct {
		w          *worker
		began, end time.Time
	}
	var periods []period
	for n := range addedWorkers {
		w := f.newWorker(fmt.Sprintf("i-new-%d", n), "desk", "kigali-b")
		p := period{w: w, began: time.Now()}
		p.end = p.began.Add(coldTime)
		w.coldUntil = p.end.UnixMilli()
		w.slots, w.serve = workerSlots, crashWhenFlooded(rec)
		if err := w.start(); err != nil {
			return rec.notRun(err)
		}
		rec.say("worker %s starts and is cold for %v", w.id, coldTime)
		if isTroubled() {
			time.Sleep(againAfter)
			p.end = time.Now().Add(coldTime)
			w.mu.Lock()
			w.coldUntil = p.end.UnixMilli()
			w.mu.Unlock()
			acked := w.beat()
			rec.say("worker %s becomes cold again, for %v; heartbeat acknowledged: %v", w.id, coldTime, acked)
		}
		time.Sleep(time.Until(p.end) + time.Second)
		periods = append(periods, p)
		if w.isClosed() {
			continue
		}
		w.setState("draining")
		w.beat()
		time.Sleep(drainTime + 500*time.Millisecond)
		w.deregister()
		w.close()
	}
	all := stop()
	bound := coldPerS*coldOver + coldSlack
	broken, lost := false, 0
	for _, p := range periods {
		runs := p.w.runList()
		for _, r := range runs {
			rec.addAt(r.At, "run %s at %s", r.ID, r.Worker)
			if s := all[r.ID]; s.method == "POST" && s.status != 200 {
				lost++
			}
		}
		runs = slices.DeleteFunc(runs, func(r run) bool { return !r.At.Before(p.end) })
		most := mostInOneSecond(runs, all)
		rec.say("worker %s was cold for %v and got at most %d requests in one second; allowed %.1f", p.w.id, p.end.Sub(p.began).Round(time.Millisecond), most, bound)
		broken = broken || float64(most) > bound
	}
	rec.say("orders that ran at these workers and whose clients got no answer of theirs: %d", lost)
	if broken {
		return exitBroken
	}
	return exitHeld
}
