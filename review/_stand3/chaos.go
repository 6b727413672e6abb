package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type seen struct {
	runs     int
	ok       map[string]string // stamp -> body hash
	status   map[string]int
	bad      []string
	sent     bool
	answered int
}

type ledger struct {
	mu   sync.Mutex
	byID map[string]*seen
}

func (l *ledger) get(id string) *seen {
	s := l.byID[id]
	if s == nil {
		s = &seen{ok: map[string]string{}, status: map[string]int{}}
		l.byID[id] = s
	}
	return s
}

func hash(b []byte) string { h := sha256.Sum256(b); return hex.EncodeToString(h[:8]) }

var stampNo atomic.Int64

var scale = 100

func chaosConn(w *worker, l *ledger, c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := r.Header.Get("Attempt-Id")
		if t := r.Header.Get("Target-Instance"); t != w.id {
			io.Copy(io.Discard, r.Body)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		k := rand.IntN(scale)
		if k < 6 { // refuse early, before the body, read on later
			fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull", id)
			if rand.IntN(2) == 0 {
				time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if rand.IntN(2) == 0 {
				go func() {
					time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
					fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull", id)
				}()
			}
			continue
		}
		if k < 8 {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		stamp := fmt.Sprintf("%s.%d", w.id, stampNo.Add(1))
		size := []int{0, 1, 20, 3000, 65000, 65536, 65537, 150000}[rand.IntN(8)]
		ans := make([]byte, size)
		for i := range ans {
			ans[i] = byte('a' + (i*7+len(stamp)+int(stampNo.Load()))%26)
		}
		l.mu.Lock()
		s := l.get(id)
		s.runs++
		if r.Header.Get("Body-Hash") != hash(body) || r.Header.Get("Want-Path") != r.RequestURI || r.Header.Get("Want-Method") != r.Method {
			s.bad = append(s.bad, fmt.Sprintf("worker got %s %s body %d hash %s want %s %s %s", r.Method, r.RequestURI, len(body), hash(body), r.Header.Get("Want-Method"), r.Header.Get("Want-Path"), r.Header.Get("Body-Hash")))
		}
		if r.Header.Get("Key") != "" {
			s.bad = append(s.bad, "key passed on")
		}
		l.mu.Unlock()
		if rand.IntN(3) == 0 {
			time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
		}
		status := 200
		if k < 12 {
			status = []int{500, 404, 409, 503, 429, 408, 502, 504, 201}[rand.IntN(9)]
		}
		l.mu.Lock()
		s.status[stamp] = status
		s.ok[stamp] = hash(ans)
		l.mu.Unlock()
		head := fmt.Sprintf("HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nResponse-Stamp: %s\r\n", status, id, stamp)
		full := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, size, ans)
		switch {
		case k < 15: // truncated
			n := len(full) / 2
			io.WriteString(c, full[:n])
			if rand.IntN(2) == 0 {
				c.(*net.TCPConn).SetLinger(0)
			}
			return
		case k < 18: // close-delimited
			io.WriteString(c, head+"Connection: close\r\n\r\n")
			c.Write(ans)
			return
		case k < 21: // close-delimited, reset
			io.WriteString(c, head+"\r\n")
			c.Write(ans[:len(ans)/2])
			time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
			c.(*net.TCPConn).SetLinger(0)
			return
		case k < 27: // chunked
			io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n")
			for p := ans; len(p) > 0; {
				n := min(len(p), 1+rand.IntN(40000))
				fmt.Fprintf(c, "%x\r\n%s\r\n", n, p[:n])
				p = p[n:]
			}
			if k < 23 {
				if rand.IntN(2) == 0 {
					io.WriteString(c, "0\r\n")
				}
				return
			}
			io.WriteString(c, "0\r\n\r\n")
			continue
		case k < 30: // garbage
			io.WriteString(c, []string{"\x00\x01\x02garbage\r\n\r\n", "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n", "HTTP/9.9 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nAttempt-Id: ffffffffffffffff\r\nResponse-Stamp: x.1\r\nContent-Length: 2\r\n\r\nhi", "HTTP/1.1 101 Switching\r\n\r\n"}[rand.IntN(5)])
			if rand.IntN(2) == 0 {
				return
			}
			io.WriteString(c, full)
			continue
		case k < 34: // interim
			for range 1 + rand.IntN(20) {
				io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
			}
			io.WriteString(c, full)
			continue
		case k < 44: // second copy, late
			io.WriteString(c, full)
			go func() {
				time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
				n := 1 + rand.IntN(3)
				for range n {
					io.WriteString(c, full)
				}
			}()
			continue
		case k < 46: // lost
			return
		case k < 48:
			fmt.Fprintf(c, "%sServer-Load: 3,1,9\r\nKeep-Alive: timeout=1\r\nContent-Length: %d\r\n\r\n%s", head, size, ans)
			continue
		}
		if _, err := io.WriteString(c, full); err != nil {
			return
		}
	}
}

func chaos() int {
	secs := 40
	if s := os.Getenv("SECS"); s != "" {
		secs, _ = strconv.Atoi(s)
	}
	if s := os.Getenv("SCALE"); s != "" {
		scale, _ = strconv.Atoi(s)
	}
	f, err := newFleet(fleetOptions{core: 3, edge: 4})
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer f.close()
	l := &ledger{byID: map[string]*seen{}}
	f.startAll()
	rules := []rule{
		{Name: "r-safe", Kind: "safe", Prefix: "/read/", Service: "desk", Timeout: 3000, Attempts: 3, Priority: 1},
		{Name: "r-unsafe", Kind: "unsafe", Prefix: "/order/", Service: "desk", Timeout: 4000, Attempts: 3, Priority: 0},
	}
	if s := f.order("/azurestair/Config.Put", configDoc(1, rules, []string{"desk"}, nil), 20e9); s != 200 {
		fmt.Println("config", s)
		return 2
	}
	for i := range 6 {
		w := f.newWorker(fmt.Sprintf("i-%08x", i+1), "desk", []string{"kigali-a", "huye-a", "musanze-a"}[i%3])
		w.slots = 40
		w.conn = func(w *worker, c net.Conn) { chaosConn(w, l, c) }
		if err := w.start(); err != nil {
			fmt.Println(err)
			return 2
		}
	}
	if err := f.waitReady(20e9); err != nil {
		fmt.Println(err)
		return 2
	}
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var problems []string
	var pm sync.Mutex
	problem := func(s string) { pm.Lock(); problems = append(problems, s); pm.Unlock() }
	stats := map[string]int{}
	refused := map[string]int{}
	for n := range 40 {
		wg.Go(func() {
			var c *client
			for {
				select {
				case <-stop:
					return
				default:
				}
				if c == nil {
					var err error
					if c, err = dial(f.edge[(n+rand.IntN(2))%len(f.edge)].addr(frontPort)); err != nil {
						time.Sleep(20 * time.Millisecond)
						c = nil
						continue
					}
				}
				method, path, kind := "GET", "/read/x?q="+newID(), "safe"
				var body []byte
				if rand.IntN(2) == 0 {
					method, path, kind = "POST", "/order/y", "unsafe"
				}
				if method == "POST" {
					body = make([]byte, []int{0, 5, 16384, 16385, 60000, 70000, 300000, 600000}[rand.IntN(8)])
					for i := range body {
						body[i] = byte(rand.Uint32())
					}
				}
				extra := fmt.Sprintf("Body-Hash: %s\r\nWant-Path: %s\r\nWant-Method: %s\r\nKey: abc\r\n", hash(body), path, method)
				var r reply
				chunked := len(body) > 0 && rand.IntN(3) == 0
				slow := len(body) > 0 && rand.IntN(4) == 0
				r = c.doBody(method, path, extra, body, chunked, slow, 3*time.Second)
				key := fmt.Sprintf("%s %d", kind, r.Status)
				if r.Err != nil {
					key += " err"
					e := r.Err.Error()
					if i := strings.LastIndex(e, ": "); i >= 0 {
						e = e[i+2:]
					}
					key += " " + e
					l.mu.Lock()
					key += fmt.Sprintf(" runs=%d", l.get(r.ID).runs)
					l.mu.Unlock()
				}
				pm.Lock()
				stats[key]++
				if kind == "unsafe" && r.Err == nil && (r.Status == 503 || r.Status == 429 || r.Status == 408 || r.Status == 421) {
					refused[r.ID] = r.Status
				}
				pm.Unlock()
				l.mu.Lock()
				s := l.get(r.ID)
				s.sent = true
				if r.Err == nil && r.Status/100 == 2 {
					if h, ok := s.ok[r.Stamp]; !ok || h != hash([]byte(r.Body)) || s.status[r.Stamp] != r.Status {
						problem(fmt.Sprintf("MIXED %s %d stamp %q ok=%v len %d", r.ID, r.Status, r.Stamp, ok, len(r.Body)))
					}
				} else if r.Err == nil && r.Stamp != "" && s.status[r.Stamp] != r.Status {
					problem(fmt.Sprintf("MIXED failure %s %d stamp %q", r.ID, r.Status, r.Stamp))
				}
				l.mu.Unlock()
				if r.Err == nil && r.Header.Get("Attempt-Id") != "" && r.Header.Get("Attempt-Id") != r.ID {
					problem("MIXED id " + r.ID)
				}
				if r.Err != nil || r.Close || rand.IntN(30) == 0 {
					c.close()
					c = nil
				}
			}
		})
	}
	end := time.Now().Add(time.Duration(secs) * time.Second)
	for time.Now().Before(end) {
		if os.Getenv("SIGNALS") == "" {
			time.Sleep(time.Second)
			continue
		}
		m := f.machines()[rand.IntN(len(f.machines()))]
		switch rand.IntN(4) {
		case 0:
			m.kill()
			time.Sleep(300 * time.Millisecond)
			m.boot["bootstrap"] = false
			f.start(m)
		case 1:
			m.signal(syscall.SIGTERM)
			<-m.done
			m.boot["bootstrap"] = false
			f.start(m)
		case 2:
			m.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(500+rand.IntN(3000)) * time.Millisecond)
			m.signal(syscall.SIGCONT)
		case 3:
			m.signal(syscall.SIGHUP)
		}
		time.Sleep(time.Duration(500+rand.IntN(1500)) * time.Millisecond)
		for _, m := range f.machines() {
			if m.ended() {
				problem("ended " + m.name)
				f.start(m)
			}
		}
	}
	close(stop)
	wg.Wait()
	time.Sleep(2 * time.Second)
	l.mu.Lock()
	for id, s := range l.byID {
		for _, b := range s.bad {
			problem("UNASKED " + id + " " + b)
		}
		if !s.sent {
			problem("UNASKED id " + id)
		}
		if st, ok := refused[id]; ok && s.runs > 0 {
			problem(fmt.Sprintf("REFUSED %s %d runs %d", id, st, s.runs))
		}
	}
	l.mu.Unlock()
	for _, m := range f.machines() {
		if m.ended() {
			problem("ended " + m.name)
		}
	}
	twice := 0
	l.mu.Lock()
	for id, s := range l.byID {
		if unsafeIDs[id] && s.runs > 1 {
			twice++
			problem(fmt.Sprintf("TWICE %s %d", id, s.runs))
		}
	}
	l.mu.Unlock()
	for k, v := range stats {
		fmt.Println(v, k)
	}
	fmt.Println(len(problems), "problems")
	for i, p := range problems {
		if i < 30 {
			fmt.Println(p)
		}
	}
	if len(problems) > 0 {
		return 1
	}
	return 0
}

var (
	unsafeMu  sync.Mutex
	unsafeIDs = map[string]bool{}
)

// doBody sends a request with a body, perhaps in chunks or slowly.
func (c *client) doBody(method, path, extra string, body []byte, chunked, slow bool, deadline time.Duration) reply {
	r := reply{ID: newID()}
	if method == "POST" {
		unsafeMu.Lock()
		unsafeIDs[r.ID] = true
		unsafeMu.Unlock()
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n%s", method, path, host, r.ID, deadline.Milliseconds(), extra)
	if chunked {
		head += "Transfer-Encoding: chunked\r\n"
	} else if len(body) > 0 || method == "POST" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		if _, err := io.WriteString(c.c, head+"\r\n"); err != nil {
			return
		}
		for p := body; len(p) > 0; {
			n := min(len(p), 1+rand.IntN(100000))
			var err error
			if chunked {
				_, err = fmt.Fprintf(c.c, "%x\r\n%s\r\n", n, p[:n])
			} else {
				_, err = c.c.Write(p[:n])
			}
			if err != nil {
				return
			}
			p = p[n:]
			if slow {
				time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
			}
		}
		if chunked {
			io.WriteString(c.c, "0\r\n\r\n")
		}
	}()
	c.read(&r, method, deadline+2*time.Second)
	if r.Err != nil {
		c.close()
	}
	<-sent
	return r
}
