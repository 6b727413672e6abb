package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func oddValue(r *rand.Rand, depth int) any {
	switch r.IntN(22) {
	case 0:
		return nil
	case 1:
		return -1
	case 2:
		return json.RawMessage("1e400")
	case 3:
		return json.RawMessage("18446744073709551615")
	case 4:
		return json.RawMessage("1e308")
	case 5:
		return ""
	case 6:
		return strings.Repeat("a", 300)
	case 7:
		return json.RawMessage(strings.Repeat("[", 5000) + strings.Repeat("]", 5000))
	case 8:
		return json.RawMessage(strings.Repeat(`{"a":`, 2000) + "1" + strings.Repeat("}", 2000))
	case 9:
		return true
	case 10:
		return []any{1, "x"}
	case 11:
		return 0
	case 12:
		return 100000
	case 13:
		return 600000
	case 14:
		return "127.0.0.1:0"
	case 15:
		return "127.0.0.1:70000"
	case 16:
		return "[::1]:80"
	case 17:
		return 1.5
	case 18:
		return json.RawMessage(`"\ud800\u0000"`)
	case 19:
		return json.RawMessage("\"\xff\xfe\"")
	case 20:
		return json.RawMessage("9223372036854775807")
	default:
		return 5e-324
	}
}

// runFuzz sends odd messages.
func runFuzz(rec *record) int {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	f, o, workers, err := startSmall(rec, baseConfig(1), 4, 30*time.Millisecond)
	if err != nil {
		fmt.Println(err)
		return exitNoRun
	}
	defer f.close()
	end := time.Now().Add(60 * time.Second)
	var wg sync.WaitGroup
	hc := &http.Client{Timeout: 2 * time.Second}
	var mu sync.Mutex
	counts := map[string]int{}
	note := func(kind string, status int) {
		mu.Lock()
		counts[fmt.Sprintf("%s %d", kind, status)]++
		mu.Unlock()
	}
	version := 1
	for k := range 8 {
		r := rand.New(rand.NewPCG(seed, uint64(k)))
		wg.Go(func() {
			for time.Now().Before(end) {
				m := f.cores()[r.IntN(5)]
				base := "http://" + m.addr(controlPort)
				switch r.IntN(6) {
				case 0, 1, 2:
					hb := map[string]any{
						"service": []string{"huvo11a", "unknown"}[r.IntN(2)], "address": fmt.Sprintf("%s.%d:%d", f.prefix, 150+r.IntN(50), 1+r.IntN(65535)),
						"zone": []string{"kigali-a", "huye-b", "musanze-a"}[r.IntN(3)], "version": "v1", "slots": []int{1, 9, 100000}[r.IntN(3)],
						"state": []string{"ready", "draining"}[r.IntN(2)], "cold_left_ms": r.IntN(700000), "sequence": r.Uint64(), "born": r.Uint64(),
					}
					names := []string{"service", "address", "zone", "version", "slots", "state", "cold_left_ms", "sequence", "born", "extra"}
					for range r.IntN(3) {
						hb[names[r.IntN(len(names))]] = oddValue(r, 0)
					}
					if r.IntN(6) == 0 {
						delete(hb, names[r.IntN(len(names))])
					}
					var data []byte
					data, err := json.Marshal(hb)
					if err != nil {
						// Invalid raw values are written as they are.
						data = []byte(fmt.Sprintf(`{"service":"huvo11a","address":"127.0.0.1:1","zone":"kigali-a","slots":1e400,"state":"ready","sequence":1,"born":1,"x":"%s"}`, "\xff"))
					}
					id := fmt.Sprintf("i-odd%d", r.IntN(3000))
					if r.IntN(20) == 0 {
						id = url.PathEscape([]string{"\xff\xfe", strings.Repeat("a", 500), "a b", "..", "%00", "ü"}[r.IntN(6)])
					}
					path := []string{"Heartbeat", "Heartbeat", "Heartbeat", "Deregister"}[r.IntN(4)]
					resp, err := hc.Post(base+"/azurestair/Instances."+path+"/"+id, "application/json", bytes.NewReader(data))
					if err == nil {
						note(path, resp.StatusCode)
						_ = resp.Body.Close()
					}
				case 3:
					mu.Lock()
					version++
					v := version
					mu.Unlock()
					c := baseConfig(v)
					data, _ := json.Marshal(c)
					var doc map[string]any
					_ = json.Unmarshal(data, &doc)
					mutate(r, doc, 3)
					data, err := json.Marshal(doc)
					if err != nil {
						continue
					}
					resp, err := hc.Post(base+"/azurestair/Config.Put", "application/json", bytes.NewReader(data))
					if err == nil {
						note("put", resp.StatusCode)
						if resp.StatusCode == 200 && r.IntN(20) == 0 {
							rec.line("accepted %.600s", data)
						}
						_ = resp.Body.Close()
					}
					time.Sleep(20 * time.Millisecond)
				case 4:
					e := f.fronts()[r.IntN(2)]
					q := url.Values{"name": {strings.Repeat("x", r.IntN(300))}, "region": {[]string{"kigali", "", "\xff", "nowhere"}[r.IntN(4)]}, "zone": {[]string{"kigali-a", "", "x"}[r.IntN(3)]}}
					resp, err := hc.Get("http://" + e.addr(directoryPort) + "/azurestair/resolve?" + q.Encode())
					if err == nil {
						note("resolve", resp.StatusCode)
						_ = resp.Body.Close()
					}
				case 5:
					e := f.fronts()[r.IntN(2)]
					conn, err := net.DialTimeout("tcp", e.addr(frontPort), time.Second)
					if err != nil {
						note("dial", 0)
						continue
					}
					_, _ = conn.Write([]byte(oddRequest(r)))
					_ = conn.SetReadDeadline(time.Now().Add(time.Duration(r.IntN(100)) * time.Millisecond))
					var b [500]byte
					n, _ := conn.Read(b[:])
					if n > 12 {
						s, _ := strconv.Atoi(string(b[9:12]))
						note("front", s)
					}
					_ = conn.Close()
				}
			}
		})
	}
	wg.Wait()
	time.Sleep(8 * time.Second)
	ok := o.put(baseConfig(1<<30), time.Now().Add(10*time.Second))
	time.Sleep(4 * time.Second)
	served := 0
	for n := range 50 {
		c := &client{rec: rec, addr: f.fronts()[n%2].addr(frontPort)}
		r := c.send("GET", head("GET", "/lohu930/2f", newID(), 3*time.Second).Bytes(), 3*time.Second)
		if r.status == 200 {
			served++
		} else {
			rec.line("client: %d %q %v", r.status, r.body, r.err)
		}
		c.close()
	}
	_ = workers
	ended := 0
	for _, m := range f.machines {
		rec.line("%s ended %d", m.name, m.ended)
		ended += m.ended
	}
	rec.line("%v", counts)
	return rec.verdict(ended > 0 || !ok, "ended %d, put %v, served %d of 50; %v", ended, ok, served, counts)
}

func mutate(r *rand.Rand, doc map[string]any, depth int) {
	for range 1 + r.IntN(2) {
		var node any = doc
		for d := 0; d < 8; d++ {
			switch v := node.(type) {
			case map[string]any:
				keys := make([]string, 0, len(v))
				for k := range v {
					if k != "version" {
						keys = append(keys, k)
					}
				}
				if len(keys) == 0 {
					break
				}
				k := keys[r.IntN(len(keys))]
				switch v[k].(type) {
				case map[string]any, []any:
					if r.IntN(8) > 0 {
						node = v[k]
						continue
					}
				}
				if r.IntN(6) == 0 {
					delete(v, k)
				} else {
					val := oddValue(r, 0)
					if raw, ok := val.(json.RawMessage); ok && !json.Valid(raw) {
						val = 7
					}
					v[k] = val
				}
				d = 8
			case []any:
				if len(v) == 0 {
					d = 8
					break
				}
				node = v[r.IntN(len(v))]
			default:
				d = 8
			}
		}
	}
}

func oddRequest(r *rand.Rand) string {
	id := newID()
	fields := []string{
		"Host: " + host, "Attempt-Id: " + id, "Deadline-Ms: " + []string{"3000", "NaN", "-5", "1e400", "0", "1e-300", "99999999999999999999"}[r.IntN(7)],
		"Cookie: " + []string{"Affinity-Key=17", "Affinity-Key=", "=;=;;", strings.Repeat("a=b; ", 500)}[r.IntN(4)],
		"Connection: " + []string{"keep-alive", "close", "Attempt-Id, Host, Content-Length", "upgrade"}[r.IntN(4)],
	}
	switch r.IntN(8) {
	case 0:
		fields = append(fields, "Content-Length: 5")
	case 1:
		fields = append(fields, "Transfer-Encoding: chunked", "Trailer: Key")
	case 2:
		fields = append(fields, "Expect: 100-continue", "Content-Length: 5")
	case 3:
		fields = append(fields, "Upgrade: websocket", "Sec-WebSocket-Key: x")
	case 4:
		fields = append(fields, "Content-Length: 5", "Content-Length: 6")
	case 5:
		fields = append(fields, "Attempt-Id: other", "Tenant: x", "Target-Instance: i-1")
	}
	method := []string{"GET", "POST", "HEAD", "PUT", "OPTIONS", "CONNECT", "TRACE", "PROPFIND", "DELETE"}[r.IntN(9)]
	path := []string{"/lohu930/2f", "/pufi791/2f", "*", "http://" + host + "/lohu930/x", "//lohu930/", "/lohu930/%zz", "/lohu930/%00", "/lohu930/?a=#b", "/nowhere/", "/lohu930/" + strings.Repeat("a", 5000)}[r.IntN(10)]
	return method + " " + path + " HTTP/1." + []string{"1", "0"}[r.IntN(2)] + "\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n" +
		[]string{"", "abcde", "5\r\nabcde\r\n0\r\nKey: x\r\n\r\n", "ffffffffffffffff\r\n", "5\r\nab"}[r.IntN(5)]
}
