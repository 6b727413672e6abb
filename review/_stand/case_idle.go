package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["idle"] = idleClients }

// idleClients opens connections, sends one request on each and then leaves them
// idle until the system closes them. In the run without trouble each connection
// is closed after its answer.
func idleClients(f *fleet, trouble bool) (int, error) {
	const (
		perSecond = 40
		lasts     = 60 * time.Second
		probes    = 8
	)
	err := f.setUp(config(1, []string{"jar-desk"}, []route{
		{name: "r-browse", prefix: "/browse/", kind: "safe", service: "jar-desk", timeoutMs: 1500, maxAttempts: 2, priority: 1},
	}), func() error {
		for i := range 4 {
			if _, err := f.startWorker(fmt.Sprintf("i-%d", i), "jar-desk", 3*(i%2), 20*time.Millisecond); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return failed, err
	}
	m := f.entries[0]
	if err := f.waitServed(attempt{method: "GET", path: "/browse/1", deadline: 3 * time.Second}, 15*time.Second); err != nil {
		return failed, err
	}
	var mu sync.Mutex
	open, closed, answered, unanswered := 0, 0, 0, 0
	var conns []net.Conn
	start := time.Now()
	for i := 0; time.Since(start) < lasts; i++ {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / perSecond)))
		go func() {
			c, err := net.DialTimeout("tcp", m.front(), time.Second)
			if err != nil {
				return
			}
			mu.Lock()
			open++
			conns = append(conns, c)
			mu.Unlock()
			fmt.Fprintf(c, "GET /browse/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nCookie: Affinity-Key=%d\r\n\r\n", i, host, newAttemptID(), i)
			_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
			r := bufio.NewReader(c)
			resp, err := http.ReadResponse(r, nil)
			mu.Lock()
			if err == nil && resp.StatusCode == 200 {
				answered++
			} else {
				unanswered++
			}
			mu.Unlock()
			if err != nil || !trouble {
				c.Close()
			} else {
				_, _ = r.Discard(int(resp.ContentLength))
				_ = c.SetReadDeadline(time.Time{})
				_, _ = r.ReadByte()
				c.Close()
			}
			mu.Lock()
			open--
			closed++
			mu.Unlock()
		}()
		if i%(5*perSecond) == 0 {
			mu.Lock()
			f.rec.log("%d connections open, %d closed, %d answered, %d not answered", open, closed, answered, unanswered)
			mu.Unlock()
		}
	}
	resp, err := f.client.Get(fmt.Sprintf("http://%s:%d/azurestair/readiness", m.ip, readyPort))
	if err != nil {
		return failed, err
	}
	resp.Body.Close()
	f.rec.log("readiness of %s: %d", m.name, resp.StatusCode)
	served := 0
	var wg sync.WaitGroup
	for range probes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 3 {
				a := attempt{id: newAttemptID(), method: "GET", path: "/browse/x", deadline: 3 * time.Second, affinity: newAttemptID()}
				got := f.send(m, a)
				f.rec.log("client on a new connection got %d for %s, %d runs, err %v", got.status, a.id, f.totalRuns(a.id), got.err)
				if got.err == nil {
					mu.Lock()
					served++
					mu.Unlock()
				}
			}
		}()
	}
	wg.Wait()
	mu.Lock()
	f.rec.log("%d connections open, %d closed, %d answered, %d not answered; %d of the last clients got an answer", open, closed, answered, unanswered, served)
	for _, c := range conns {
		c.Close()
	}
	mu.Unlock()
	if served == 0 && resp.StatusCode == http.StatusOK {
		return broken, nil
	}
	return held, nil
}
