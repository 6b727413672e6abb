package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type sent struct {
	method, path, digest string
	unsafe               bool
	tenant               string
}

func runSoak(rec *record) int {
	c := baseConfig(1)
	c.Clusters = append(c.Clusters, cluster{Name: "wuno96b", HealthPath: "/health", MaxConns: 330, Protocol: "h1", ColdStartS: 3, ColdPerS: 11})
	two := []part{{"huvo11a", 70}, {"wuno96b", 30}}
	c.Listeners[0].Rules[0].Action.Service, c.Listeners[0].Rules[0].Action.Split = "", two
	c.Listeners[0].Rules[1].Action.Service, c.Listeners[0].Rules[1].Action.Split = "", two
	for i := 0; i < 20; i++ {
		c.Tenants = append(c.Tenants, tenant{Name: fmt.Sprintf("t%d", i), Keys: []string{fmt.Sprintf("key-%d", i)}, RatePerS: 200, Burst: 100})
	}
	f, o, workers, err := startSmall(rec, c, 8, 30*time.Millisecond)
	if err != nil {
		fmt.Println(err)
		return exitNoRun
	}
	defer f.close()
	for n := 8; n < 12; n++ {
		w, err := startWorker(rec, f, n, "wuno96b", []string{"kigali-a", "huye-a"}[n%2], 30*time.Millisecond)
		if err != nil {
			return exitNoRun
		}
		workers = append(workers, w)
	}
	for _, w := range workers {
		w.answer = func(rw http.ResponseWriter, r *http.Request, body []byte) bool { return misbehave(w, rw, r) }
	}
	var all sync.Map
	var bad atomic.Int64
	report := func(format string, args ...any) { bad.Add(1); rec.line("BAD "+format, args...) }
	end := time.Now().Add(70 * time.Second)
	var wg sync.WaitGroup
	counts := map[string]int{}
	var mu sync.Mutex
	for n := range 60 {
		wg.Go(func() {
			cl := &client{rec: rec, addr: f.fronts()[n%2].addr(frontPort)}
			for time.Now().Before(end) {
				if rand.IntN(10) == 0 {
					cl.close()
					cl.addr = f.fronts()[rand.IntN(2)].addr(frontPort)
				}
				id := newID()
				k := rand.IntN(20)
				s := sent{method: "GET", path: "/lohu930/" + id, tenant: fmt.Sprintf("t%d", k)}
				key := fmt.Sprintf("Key: key-%d", k)
				cookie := "Cookie: Affinity-Key=" + strconv.Itoa(rand.IntN(50))
				var b *bytes.Buffer
				var body []byte
				if rand.IntN(2) == 0 {
					s.method, s.path, s.unsafe = "POST", "/pufi791/"+id, true
					body = bytes.Repeat([]byte("abcdefgh"), rand.IntN([]int{10, 1000, 12000}[rand.IntN(3)]))
					if rand.IntN(3) == 0 {
						b = head(s.method, s.path, id, 3*time.Second, key, cookie, "Transfer-Encoding: chunked")
						for rest := body; len(rest) > 0; {
							m := min(len(rest), 1+rand.IntN(5000))
							fmt.Fprintf(b, "%x\r\n%s\r\n", m, rest[:m])
							rest = rest[m:]
						}
						b.WriteString("0\r\n\r\n")
					} else {
						b = head(s.method, s.path, id, 3*time.Second, key, cookie, fmt.Sprintf("Content-Length: %d", len(body)))
						b.Write(body)
					}
				} else {
					b = head(s.method, s.path, id, 3*time.Second, key, cookie)
				}
				sum := sha256.Sum256(body)
				s.digest = hex.EncodeToString(sum[:8])
				all.Store(id, s)
				if rand.IntN(12) == 0 {
					// The client leaves.
					if cl.dial() == nil {
						_, _ = cl.conn.Write(b.Bytes()[:rand.IntN(b.Len())+1])
						time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
						cl.close()
					}
					continue
				}
				r := cl.send(s.method, b.Bytes(), 4*time.Second)
				what := strconv.Itoa(r.status)
				if r.err != nil {
					what = "err"
				}
				mu.Lock()
				counts[s.method+" "+what]++
				mu.Unlock()
				switch {
				case r.err == nil && r.status < 300:
					if r.id != id || !strings.HasSuffix(r.stamp, "."+id) || !strings.Contains(string(r.body), "answer to "+id+" end") {
						report("MIXED %s: %d id %q stamp %q body %.80q", id, r.status, r.id, r.stamp, r.body)
					}
				case r.err == nil && (r.status == 503 || r.status == 429 || r.status == 408 || r.status == 421) && s.unsafe:
					if runsOf(workers, id) > 0 {
						report("REFUSED %s: %d and ran", id, r.status)
					}
					go func() {
						time.Sleep(3 * time.Second)
						if runsOf(workers, id) > 0 {
							report("REFUSED %s: %d and ran later", id, r.status)
						}
					}()
				case r.err == nil && r.status >= 300 && r.status < 500 && r.status != 429:
					report("DENIED %s: %d %q", id, r.status, r.body)
				}
			}
		})
	}
	version := 1
	go func() {
		for time.Now().Before(end) {
			time.Sleep(time.Duration(300+rand.IntN(900)) * time.Millisecond)
			version++
			c.Version = fmt.Sprintf("%08x", version)
			w := 10 + rand.IntN(80)
			c.Listeners[0].Rules[0].Action.Split = []part{{"huvo11a", w}, {"wuno96b", 100 - w}}
			c.Listeners[0].Rules[0].Action.TimeoutMs = 1500 + rand.IntN(500)
			o.put(c, time.Now().Add(5*time.Second))
		}
	}()
	go func() {
		for time.Now().Before(end.Add(-10 * time.Second)) {
			time.Sleep(time.Duration(3+rand.IntN(4)) * time.Second)
			m := f.machines[rand.IntN(len(f.machines))]
			m.bootstrap = false
			switch rand.IntN(3) {
			case 0:
				m.signal(syscall.SIGKILL)
			case 1:
				m.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(500+rand.IntN(3000)) * time.Millisecond)
				m.signal(syscall.SIGCONT)
			case 2:
				m.signal(syscall.SIGTERM)
			}
		}
	}()
	go func() {
		for time.Now().Before(end) {
			time.Sleep(time.Duration(500+rand.IntN(1500)) * time.Millisecond)
			w := workers[rand.IntN(len(workers))]
			switch rand.IntN(2) {
			case 0:
				w.mu.Lock()
				w.state = "draining"
				w.mu.Unlock()
				w.beat()
				time.Sleep(time.Second)
				w.mu.Lock()
				w.state, w.born, w.seq = "ready", time.Now().UnixMilli(), 0
				w.mu.Unlock()
			case 1:
				w.mu.Lock()
				w.leaving = !w.leaving
				w.mu.Unlock()
			}
		}
	}()
	wg.Wait()
	time.Sleep(4 * time.Second)
	for _, w := range workers {
		w.mu.Lock()
		for id := range w.runs {
			v, ok := all.Load(id)
			if !ok {
				report("UNASKED %s", id)
				continue
			}
			if s := v.(sent); s.digest != w.bodies[id] || s.tenant != w.tenants[id] {
				report("UNASKED %s: body %s want %s tenant %q want %q", id, w.bodies[id], s.digest, w.tenants[id], s.tenant)
			}
		}
		w.mu.Unlock()
	}
	all.Range(func(k, v any) bool {
		if s := v.(sent); s.unsafe && runsOf(workers, k.(string)) > 1 {
			report("TWICE %s: %d", k, runsOf(workers, k.(string)))
		}
		return true
	})
	rec.line("counts %v", counts)
	for _, m := range f.machines {
		rec.line("%s ended %d", m.name, m.ended)
	}
	return rec.verdict(bad.Load() > 0, "%d violations; %v", bad.Load(), counts)
}

// misbehave answers as faulty workers may.
func misbehave(w *worker, rw http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get("Attempt-Id")
	filler := strings.Repeat("z", rand.IntN([]int{100, 30000, 200000}[rand.IntN(3)]))
	body := filler + " answer to " + id + " end"
	headText := func(length string) string {
		extra := ""
		w.mu.Lock()
		if w.leaving && rand.IntN(20) == 0 {
			extra = "Server-Leaving: 1\r\n"
		}
		w.mu.Unlock()
		return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Stamp: " + w.id + "." + id + "\r\nServer-Load: 2,1,9\r\n" + extra + length + "\r\n"
	}
	full := headText(fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
	shed := "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	n := rand.IntN(40)
	if n > 13 {
		rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(rw, body)
		return true
	}
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return true
	}
	defer conn.Close()
	write := func(s string) { _, _ = io.WriteString(conn, s) }
	pause := func() { time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond) }
	switch n {
	case 0:
		write(full[:rand.IntN(len(full))])
	case 1:
		write("garbage\r\n\r\n more garbage")
	case 2:
		write(full + full)
		pause()
	case 3:
		write(full)
		pause()
		write(full)
		pause()
	case 4:
		write(full + shed)
		pause()
	case 5:
		write(full)
		pause()
		write(shed)
		pause()
	case 6:
		write(headText("Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s\r\n", len(body), body))
		if rand.IntN(2) == 0 {
			write("0\r\n\r\n")
		}
	case 7:
		write(headText("Connection: close\r\n") + body)
	case 8:
		pause()
	case 9:
		write("HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: " + id + "\r\nResponse-Stamp: " + w.id + "." + id + "\r\nContent-Length: 0\r\n\r\n")
		pause()
	case 10:
		write("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + full)
	case 11:
		write(full + "\r\n\r\nextra")
		pause()
	case 12:
		write(full + strings.Replace(full, id, "another-id", -1))
		pause()
	case 13:
		write("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + id + "\r\nResponse-Stamp: " + w.id + "." + id + "\r\nContent-Length: 0\r\n\r\n")
	}
	return true
}
