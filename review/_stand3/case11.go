package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// case11Changes changes with two new services each make 257 services with
	// the two that stay.
	case11Changes = 128
	// case11Gap is the gap between two changes in the site file.
	case11Gap = 330 * time.Millisecond
	// case11Kept is how many changes a preview route stays.
	case11Kept = 1
	applyTime  = 2000 * time.Millisecond
	drainTime  = 2000 * time.Millisecond
)

// case11 sends many changes that add and remove routes to new services, then one
// that moves the usual routes to another service, and looks which service runs
// the requests.
func case11(rec *record) int {
	f, err := newFleet(fleetOptions{core: 3, edge: 3})
	if err != nil {
		return rec.notRun(err)
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return rec.notRun(err)
	}
	config := func(version int, service string, previews []int) []byte {
		rules := usualRules()
		rules[0].Service, rules[1].Service = service, service
		services := []string{"desk", "desk-b"}
		for _, n := range previews {
			for _, part := range []string{"desk", "pay"} {
				name := fmt.Sprintf("%s-preview-%d", part, n)
				services = append(services, name)
				rules = append(rules, rule{Name: "r-" + name, Kind: "safe", Prefix: "/" + name + "/", Service: name, Timeout: 2000, Attempts: 1, Priority: 2})
			}
		}
		return configDoc(version, rules, services)
	}
	version := 1
	if s := f.order("/azurestair/Config.Put", config(version, "desk", nil), 20*time.Second); s != 200 {
		return rec.notRun(fmt.Errorf("the first configuration was answered %d", s))
	}
	for i, service := range []string{"desk", "desk", "desk", "desk-b", "desk-b", "desk-b"} {
		w := f.newWorker(fmt.Sprintf("%s-%d", service, i), service, []string{"kigali-a", "huye-a", "musanze-a"}[i%3])
		if err := w.start(); err != nil {
			return rec.notRun(err)
		}
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return rec.notRun(err)
	}
	time.Sleep(4 * time.Second)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	type sent struct {
		id string
		at time.Time
	}
	var requests []sent
	for i := range 2 * len(f.edge) {
		m := f.edge[i%len(f.edge)]
		wg.Go(func() {
			c, err := dial(m.addr(frontPort))
			t := time.NewTicker(250 * time.Millisecond)
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
				rec.addAt(at, "sent %s %s %s to %s, answered %d by %q", r.ID, method, path, m.name, r.Status, r.Stamp)
				mu.Lock()
				requests = append(requests, sent{r.ID, at})
				mu.Unlock()
				if err = r.Err; err != nil || r.Close {
					c.close()
					err = fmt.Errorf("closed")
				}
			}
		})
	}
	if isTroubled() {
		var previews []int
		for n := range case11Changes {
			version++
			previews = append(previews, n)
			previews = previews[max(0, len(previews)-case11Kept):]
			if s := f.order("/azurestair/Config.Put", config(version, "desk", previews), 4*time.Second); s != 200 {
				close(stop)
				wg.Wait()
				return rec.notRun(fmt.Errorf("version %d was answered %d", version, s))
			}
			rec.add("version %d acknowledged", version)
			time.Sleep(case11Gap)
		}
	}
	time.Sleep(4 * time.Second)
	leaver := f.workers[0]
	left := leaver.deregister()
	leftAt := time.Now()
	rec.say("worker %s has left, acknowledged: %v", leaver.id, left)
	version++
	if s := f.order("/azurestair/Config.Put", config(version, "desk-b", nil), 4*time.Second); s != 200 {
		close(stop)
		wg.Wait()
		return rec.notRun(fmt.Errorf("version %d was answered %d", version, s))
	}
	movedAt := time.Now()
	rec.say("version %d, which moves all requests from desk to desk-b, acknowledged", version)
	time.Sleep(applyTime + 6*time.Second)
	close(stop)
	wg.Wait()

	sentAt := map[string]time.Time{}
	for _, s := range requests {
		sentAt[s.id] = s.at
	}
	late, all, drained := 0, 0, 0
	for _, w := range f.workers {
		for _, r := range w.runList() {
			rec.addAt(r.At, "run %s at %s", r.ID, r.Worker)
			at, known := sentAt[r.ID]
			if !known || !at.After(movedAt.Add(applyTime)) {
				continue
			}
			all++
			if strings.HasPrefix(w.id, "desk-b") {
				continue
			}
			late++
			if left && w == leaver && r.At.After(leftAt.Add(drainTime)) {
				drained++
			}
		}
	}
	for _, m := range f.machines() {
		if m.ended() {
			rec.say("%s has ended", m.name)
		}
	}
	rec.say("requests sent over %v after the acknowledgement of version %d: %d run, %d of them by the old service", applyTime, version, all, late)
	rec.say("of these, %d reached the worker that had left, over %v after its acknowledgement", drained, drainTime)
	if all == 0 {
		return rec.notRun(fmt.Errorf("no request ran"))
	}
	if late > 0 {
		return exitBroken
	}
	return exitHeld
}
