package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// gone: clients leave while a long answer is under way.
func gone() int {
	f, err := setUp(fleetOptions{core: 3, edge: 2}, 3)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer f.close()
	var mu sync.Mutex
	ends := map[string]time.Duration{}
	began := map[string]time.Time{}
	for _, w := range f.workers {
		w.slots = 60
		w.serve = func(w *worker, c net.Conn, r *http.Request, body []byte) bool {
			w.record(r, body)
			id := r.Header.Get("Attempt-Id")
			mu.Lock()
			began[id] = time.Now()
			mu.Unlock()
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: s.%s\r\nContent-Length: 200000\r\n\r\n%s", id, id, strings.Repeat("x", 100000))
			// Works on the second half; ends when its connection closes.
			_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
			var b [1]byte
			_, err := c.Read(b[:])
			mu.Lock()
			ends[id] = time.Since(began[id])
			mu.Unlock()
			if ne, ok := err.(net.Error); !ok || !ne.Timeout() {
				return false
			}
			_ = c.SetReadDeadline(time.Time{})
			_, err = fmt.Fprint(c, strings.Repeat("x", 100000))
			return err == nil
		}
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			c, err := dial(f.edge[i%2].addr(frontPort))
			if err != nil {
				return
			}
			c.patience = 300 * time.Millisecond
			r := c.do("GET", host, "/read/a", "", nil, 4*time.Second)
			c.close()
			_ = r
		})
	}
	wg.Wait()
	time.Sleep(4 * time.Second)
	for id, d := range ends {
		fmt.Println(id, d)
	}
	return 0
}
