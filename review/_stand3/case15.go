package main

import (
	"fmt"
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
)

// load sends reads at a rate to all edge machines until the returned function is
// called. That function returns when each request was sent.
func (f *fleet) load(rec *record, rate int) func() map[string]time.Time {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	conns := 4 * len(f.edge)
	for i := range conns {
		m := f.edge[i%len(f.edge)]
		wg.Go(func() {
			c, err := dial(m.addr(frontPort))
			t := time.NewTicker(time.Duration(conns) * time.Second / time.Duration(rate))
			defer t.Stop()
			for {
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
				r := c.do("GET", host, "/read/page", "", nil, 2*time.Second)
				rec.addAt(at, "sent %s to %s, answered %d by %q", r.ID, m.name, r.Status, r.Stamp)
				mu.Lock()
				sentAt[r.ID] = at
				mu.Unlock()
				if err = r.Err; err != nil || r.Close {
					c.close()
					err = fmt.Errorf("closed")
				}
			}
		})
	}
	return func() map[string]time.Time {
		close(stop)
		wg.Wait()
		return sentAt
	}
}

// mostInOneSecond returns the largest number of requests that were sent and
// arrived in one second.
func mostInOneSecond(runs []run, sentAt map[string]time.Time) int {
	type span struct{ sent, arrived time.Time }
	var spans []span
	for _, r := range runs {
		if at, ok := sentAt[r.ID]; ok {
			spans = append(spans, span{at, r.At})
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
	time.Sleep(4 * time.Second)
	stop := f.load(rec, 200)
	time.Sleep(2 * time.Second)
	type period struct {
		w          *worker
		began, end time.Time
	}
	var periods []period
	for n := range 4 {
		w := f.newWorker(fmt.Sprintf("i-new-%d", n), "desk", "kigali-b")
		p := period{w: w, began: time.Now()}
		p.end = p.began.Add(coldTime)
		w.coldUntil = p.end.UnixMilli()
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
		w.setState("draining")
		w.beat()
		time.Sleep(drainTime + 500*time.Millisecond)
		w.deregister()
		w.close()
	}
	sentAt := stop()
	bound := coldPerS*coldOver + coldSlack
	broken := false
	for _, p := range periods {
		runs := p.w.runList()
		for _, r := range runs {
			rec.addAt(r.At, "run %s at %s", r.ID, r.Worker)
		}
		runs = slices.DeleteFunc(runs, func(r run) bool { return !r.At.Before(p.end) })
		most := mostInOneSecond(runs, sentAt)
		rec.say("worker %s was cold for %v and got at most %d requests in one second; allowed %.1f", p.w.id, p.end.Sub(p.began).Round(time.Millisecond), most, bound)
		broken = broken || float64(most) > bound
	}
	if broken {
		return exitBroken
	}
	return exitHeld
}
