package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// again: a worker becomes cold again while its first cold time ends.
func again() int {
	edges, workers, rate := envInt("EDGES", 4), envInt("WORKERS", 4), envInt("RATE", 200)
	f, err := setUp(fleetOptions{core: 3, edge: edges}, workers)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer f.close()
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	conns := edges * 4
	for i := range conns {
		wg.Go(func() {
			c, err := dial(f.edge[i%edges].addr(frontPort))
			if err != nil {
				return
			}
			t := time.NewTicker(time.Duration(conns) * time.Second / time.Duration(rate))
			for {
				select {
				case <-stop:
					return
				case <-t.C:
				}
				if r := c.do("GET", host, "/read/a", "", nil, 2*time.Second); r.Err != nil {
					c.close()
					if c, err = dial(f.edge[i%edges].addr(frontPort)); err != nil {
						return
					}
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	for round := range envInt("ROUNDS", 4) {
		w := f.newWorker(fmt.Sprintf("i-000001%02x", round), "desk", "kigali-b")
		began := time.Now()
		w.coldUntil = began.UnixMilli() + 3000
		w.start()
		end := began.Add(3 * time.Second)
		if os.Getenv("TROUBLE") != "0" {
			time.Sleep(time.Duration(envInt("AT", 2500)) * time.Millisecond)
			end = time.Now().Add(3 * time.Second)
			w.mu.Lock()
			w.coldUntil = end.UnixMilli()
			w.mu.Unlock()
			w.beat()
		}
		time.Sleep(time.Until(end) + 2*time.Second)
		per := make([]int, 16)
		var times []time.Time
		for _, r := range w.runList() {
			if n := int(r.At.Sub(began) / (500 * time.Millisecond)); n < len(per) {
				per[n]++
			}
			if r.At.Before(end) {
				times = append(times, r.At)
			}
		}
		fmt.Println("round", round, "cold for", end.Sub(began), "most in 1 s while cold", maxIn(times, time.Second), per)
		w.setState("draining")
		w.beat()
		w.deregister()
		time.Sleep(2500 * time.Millisecond)
		w.close()
	}
	close(stop)
	wg.Wait()
	return 0
}
