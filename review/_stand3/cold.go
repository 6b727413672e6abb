package main

import (
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func envInt(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}

// crash closes the listener and all connections at once.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = true
	_ = w.l.Close()
	for c := range w.conns {
		_ = c.Close()
	}
}

// maxIn returns the largest number of times in a window.
func maxIn(times []time.Time, window time.Duration) int {
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	most, from := 0, 0
	for i := range times {
		for times[i].Sub(times[from]) >= window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// leader returns the core machine that has begun to lead last.
func (f *fleet) leader() *machine {
	var found *machine
	last := ""
	for _, m := range f.core {
		data, _ := os.ReadFile(m.dir + "/log.txt")
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, "msg=leading ") && line > last {
				found, last = m, line
			}
		}
	}
	return found
}

// follower returns a core machine that does not lead.
func (f *fleet) follower() *machine {
	l := f.leader()
	for _, m := range f.core {
		if m != l {
			return m
		}
	}
	return nil
}

func cold() int {
	edges, workers, rate, down := envInt("EDGES", 7), envInt("WORKERS", 4), envInt("RATE", 200), envInt("DOWN", 200)
	f, err := setUp(fleetOptions{core: 3, edge: edges}, workers)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer f.close()
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	stats := map[int]int{}
	conns := edges * 2
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
				r := c.do("GET", host, "/read/a", "", nil, 2*time.Second)
				mu.Lock()
				stats[r.Status]++
				mu.Unlock()
				if r.Err != nil {
					c.close()
					if c, err = dial(f.edge[i%edges].addr(frontPort)); err != nil {
						return
					}
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	w := f.workers[0]
	for round := range envInt("ROUNDS", 4) {
		frozen := f.follower()
		if os.Getenv("FREEZE") != "" {
			frozen.signal(syscall.SIGSTOP)
			time.Sleep(300 * time.Millisecond)
		}
		w.crash()
		time.Sleep(time.Duration(down) * time.Millisecond)
		next := &worker{
			fleet: f, id: w.id, service: w.service, zone: w.zone, ip: w.ip, port: w.port, slots: w.slots, state: "ready", born: time.Now().UnixMilli(),
			delay: w.delay, conns: w.conns, coldUntil: time.Now().UnixMilli() + 3000,
		}
		born := time.Now()
		for i, m := range f.core {
			if m == frozen {
				next.first = i
			}
		}
		if err := next.start(); err != nil {
			fmt.Println(err)
			return 2
		}
		time.Sleep(5 * time.Second)
		frozen.signal(syscall.SIGCONT)
		var times []time.Time
		for _, r := range next.runList() {
			if r.At.Sub(born) < 3*time.Second {
				times = append(times, r.At)
			}
		}
		per := make([]int, 6)
		for _, at := range times {
			per[int(at.Sub(born)/(500*time.Millisecond))]++
		}
		fmt.Println("round", round, "cold requests", len(times), "most in 1 s", maxIn(times, time.Second), "per half second", per, "bound 21.5")
		w = next
	}
	close(stop)
	wg.Wait()
	fmt.Println(stats)
	return 0
}
