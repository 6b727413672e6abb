package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// crowdFDs is the number of descriptors in the settings of the machines, and
	// crowdConns the number of connections of the crowd.
	crowdFDs   = 700
	crowdConns = 240
	crowdBody  = 10_000
	// crowdPause is the pause between two bytes of a body.
	crowdPause  = 2 * time.Second
	contactTime = 3 * time.Second
	crowdTime   = 24 * time.Second
	// seekers is the number of ordinary clients that open new connections.
	seekers = 8
)

// case13 lets a crowd of clients send bodies very slowly to one machine, and
// looks whether that machine, which says that it is ready, still takes new
// connections of ordinary clients.
func case13(rec *record) int {
	f, err := newFleet(fleetOptions{core: 3, edge: 2})
	if err != nil {
		return rec.notRun(err)
	}
	defer f.close()
	for _, m := range f.edge {
		m.boot["limits"].(map[string]any)["max_fds"] = crowdFDs
	}
	if err := f.startAll(); err != nil {
		return rec.notRun(err)
	}
	if s := f.order("/azurestair/Config.Put", configDoc(1, usualRules(), []string{"desk"}), 20*time.Second); s != 200 {
		return rec.notRun(fmt.Errorf("the configuration was answered %d", s))
	}
	for i := range 3 {
		w := f.newWorker(fmt.Sprintf("i-%08x", i+1), "desk", []string{"kigali-a", "huye-a", "musanze-a"}[i])
		if err := w.start(); err != nil {
			return rec.notRun(err)
		}
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return rec.notRun(err)
	}
	time.Sleep(4 * time.Second)
	m := f.edge[0]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	if isTroubled() {
		for range crowdConns {
			wg.Go(func() {
				c, err := dial(m.addr(frontPort))
				if err != nil {
					return
				}
				defer c.close()
				head := fmt.Sprintf("POST /order/jar HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n", host, newID(), crowdBody)
				if _, err := c.c.Write([]byte(head)); err != nil {
					return
				}
				t := time.NewTicker(crowdPause)
				defer t.Stop()
				for {
					select {
					case <-stop:
						return
					case <-t.C:
					}
					if _, err := c.c.Write([]byte("x")); err != nil {
						return
					}
				}
			})
			time.Sleep(2 * time.Millisecond)
		}
		rec.say("%d clients send a body of %d bytes each, a byte in %v, to %s", crowdConns, crowdBody, crowdPause, m.name)
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	var taken []time.Time
	tries, ready, notReady := 0, 0, 0
	began := time.Now()
	for i := range seekers {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				at := time.Now()
				r := reply{}
				c, err := dial(m.addr(frontPort))
				if err == nil {
					r = c.do("GET", host, "/read/page", "", nil, time.Second)
					err = r.Err
					c.close()
				}
				mu.Lock()
				tries++
				if r.Status != 0 {
					taken = append(taken, at)
				}
				mu.Unlock()
				rec.addAt(at, "client %d, new connection, sent %s, answered %d, error %v", i, r.ID, r.Status, err)
			}
		})
	}
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
			ok := m.isReady()
			rec.add("%s says that it is ready: %v", m.name, ok)
			mu.Lock()
			if ok {
				ready++
			} else {
				notReady++
			}
			mu.Unlock()
		}
	})
	time.Sleep(crowdTime)
	end := time.Now()
	close(stop)
	wg.Wait()
	longest, last := time.Duration(0), began
	for _, at := range append(taken, end) {
		longest, last = max(longest, at.Sub(last)), at
	}
	rec.say("%d new connections of %d clients, %d taken; longest time without one %v; %s said %d times that it is ready, %d times that it is not",
		tries, seekers, len(taken), longest.Round(time.Millisecond), m.name, ready, notReady)
	if m.ended() {
		rec.say("%s has ended", m.name)
	}
	if tries == 0 || ready == 0 {
		return rec.notRun(fmt.Errorf("nothing was tried"))
	}
	if longest >= contactTime && notReady == 0 {
		return exitBroken
	}
	return exitHeld
}
