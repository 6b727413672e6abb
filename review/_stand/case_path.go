package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() { cases["path"] = changedPath }

// sendRaw sends the bytes of a request on a new connection.
func (f *fleet) sendRaw(m *machine, request string) (*http.Response, error) {
	c, err := net.DialTimeout("tcp", m.front(), time.Second)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := c.Write([]byte(request)); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(c), nil)
}

// changedPath requests pages whose paths hold a character that browsers leave
// as it is. Without trouble, the paths hold letters only.
func changedPath(f *fleet, trouble bool) (int, error) {
	paths := map[string]string{}
	err := f.setUp(config(1, []string{"jar-desk"}, []route{
		{name: "r-browse", prefix: "/browse/", kind: "safe", service: "jar-desk", timeoutMs: 1500, maxAttempts: 2, priority: 1},
	}), func() error {
		w, err := f.startWorker("i-7f3a91c2", "jar-desk", 0, 0)
		if err != nil {
			return err
		}
		w.answer = func(w *worker, r *workerRequest) bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			paths[r.id] = r.path
			return false
		}
		return nil
	})
	if err != nil {
		return failed, err
	}
	if err := f.waitServed(attempt{method: "GET", path: "/browse/1", deadline: 3 * time.Second}, 15*time.Second); err != nil {
		return failed, err
	}
	list := []string{"/browse/jar-a-b", "/browse/kits/blue", "/browse/kits/blue?page=2"}
	if trouble {
		list = []string{"/browse/jar|a|b", "/browse/kits|blue", "/browse/kits|blue?page=2"}
	}
	code := held
	for _, p := range list {
		id := newAttemptID()
		resp, err := f.sendRaw(f.entries[0], fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\n\r\n", p, host, id))
		if err != nil {
			return failed, err
		}
		w := f.workers[0]
		w.mu.Lock()
		ran := paths[id]
		w.mu.Unlock()
		f.rec.log("client sent %s with path %s, got %d; the worker ran path %s", id, p, resp.StatusCode, ran)
		if w.runsOf(id) > 0 && ran != p {
			f.rec.log("UNASKED: %s ran with another path", id)
			code = broken
		}
	}
	return code, nil
}
