package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func term() int {
	f, err := setUp(fleetOptions{core: 3, edge: 3}, 4)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer f.close()
	for _, w := range f.workers {
		w.slots = 200
		w.serve = func(w *worker, c net.Conn, r *http.Request, body []byte) bool {
			w.record(r, body)
			ms, _ := strconv.Atoi(r.URL.Query().Get("ms"))
			time.Sleep(time.Duration(ms) * time.Millisecond)
			n, _ := strconv.Atoi(r.URL.Query().Get("n"))
			return w.answer(c, r, "200 OK", strings.Repeat("x", n))
		}
	}
	time.Sleep(4 * time.Second)
	for round := range 3 {
		m := f.edge[0]
		stop := make(chan struct{})
		var wg sync.WaitGroup
		var mu sync.Mutex
		stats := map[string]int{}
		var termAt time.Time
		for range 150 {
			wg.Go(func() {
				var c *client
				for {
					select {
					case <-stop:
						return
					default:
					}
					var err error
					if c == nil {
						if c, err = dial(m.addr(frontPort)); err != nil {
							time.Sleep(20 * time.Millisecond)
							continue
						}
					}
					ms := rand.IntN(100)
					if rand.IntN(4) == 0 {
						ms = rand.IntN(3500)
					}
					n := []int{10, 1000, 70000, 300000}[rand.IntN(4)]
					began := time.Now()
					method, path := "GET", "/read/"
					var body []byte
					if rand.IntN(2) == 0 {
						method, path, body = "POST", "/order/", make([]byte, []int{10, 20000, 100000}[rand.IntN(3)])
					}
					r := c.do(method, host, fmt.Sprintf("%sa?ms=%d&n=%d", path, ms, n), "", body, 4*time.Second)
					mu.Lock()
					key := fmt.Sprint(r.Status)
					if r.Err != nil {
						key += " " + r.Err.Error()
						if strings.Contains(key, "->") {
							key = key[strings.LastIndex(key, ":"):]
						}
						if !termAt.IsZero() {
							fmt.Printf("  err %v sent %d ms after term, ended %d ms after term, work %d ms status %d\n", r.Err, began.Sub(termAt).Milliseconds(), time.Since(termAt).Milliseconds(), ms, r.Status)
						}
					}
					stats[key]++
					mu.Unlock()
					if r.Err != nil || r.Close {
						c.close()
						c = nil
					}
				}
			})
		}
		time.Sleep(2 * time.Second)
		mu.Lock()
		termAt = time.Now()
		mu.Unlock()
		m.signal(syscall.SIGTERM)
		<-m.done
		fmt.Println("round", round, "gone after", time.Since(termAt))
		close(stop)
		wg.Wait()
		fmt.Println(stats)
		m.boot["bootstrap"] = false
		f.start(m)
		f.waitReady(10e9)
		time.Sleep(3 * time.Second)
	}
	return 0
}
