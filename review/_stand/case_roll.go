package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { cases["roll"] = rollingStop }

const (
	// rollGap is the pause between the signals to two machines, and
	// restartDelay the pause before an ended process starts again.
	rollGap      = time.Second
	restartDelay = 300 * time.Millisecond
	rollRounds   = 3
	// unexcusedAfter is how long after the signal a request must have been sent
	// for the rule to hold whatever its worker does.
	unexcusedAfter = 3 * time.Second
	lossSlack      = 200 * time.Millisecond
)

// directoryClient is a client that finds its edge machine through the
// directory.
type directoryClient struct {
	f         *fleet
	keep      float64
	addresses []string
	until     time.Time
	failed    map[string]bool
}

// resolve asks the edge machines for addresses once the last answer has
// expired. If none answers with addresses, the last answer is kept.
func (c *directoryClient) resolve() {
	if time.Now().Before(c.until) {
		return
	}
	q := url.Values{"name": {host}, "region": {"kigali"}, "zone": {"kigali-a"}}
	for _, m := range c.f.entries {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/azurestair/resolve?%s", m.ip, lookupPort, q.Encode()), nil)
		resp, err := c.f.client.Do(req)
		if err != nil {
			cancel()
			continue
		}
		var body struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(resp.Body).Decode(&body)
		resp.Body.Close()
		cancel()
		if resp.StatusCode != http.StatusOK || err != nil || len(body.Addresses) == 0 {
			continue
		}
		c.addresses, c.failed = body.Addresses, map[string]bool{}
		c.until = time.Now().Add(time.Duration(min(body.TTL, 5) * c.keep * float64(time.Second)))
		return
	}
}

// pick returns an address at random among those that have not failed.
func (c *directoryClient) pick() string {
	usable := slices.DeleteFunc(slices.Clone(c.addresses), func(a string) bool { return c.failed[a] })
	if len(usable) == 0 {
		c.failed = map[string]bool{}
		usable = c.addresses
	}
	if len(usable) == 0 {
		return ""
	}
	return usable[rand.IntN(len(usable))]
}

// rollingStop stops and starts the edge machines in turn while clients send
// orders.
func rollingStop(f *fleet, trouble bool) (int, error) {
	err := f.setUp(config(1, []string{"jar-desk"}, []route{
		{name: "r-order", prefix: "/order/", kind: "unsafe", service: "jar-desk", timeoutMs: 2000, maxAttempts: 2, priority: 2},
	}), func() error {
		for i := range 6 {
			if _, err := f.startWorker(fmt.Sprintf("i-%d", i), "jar-desk", i, 840*time.Millisecond); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return failed, err
	}
	if err := f.waitServed(attempt{method: "POST", path: "/order/1", deadline: 4 * time.Second}, 15*time.Second); err != nil {
		return failed, err
	}
	time.Sleep(3500 * time.Millisecond)

	var mu sync.Mutex
	signalled := map[string]time.Time{}
	code, cut, excused, sentCount := held, 0, 0, 0
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 24 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := &directoryClient{f: f, keep: []float64{1, 1, 3}[i%3]}
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.IntN(200)) * time.Millisecond):
				}
				c.resolve()
				addr := c.pick()
				m := f.entryAt(addr)
				if m == nil {
					continue
				}
				a := attempt{id: newAttemptID(), method: "POST", path: "/order/1", body: []byte("engrave: Amahoro"), deadline: 4 * time.Second, affinity: newAttemptID()}
				sent := time.Now()
				got := f.send(m, a)
				took := time.Since(sent)
				if got.err != nil {
					c.failed[addr] = true
				}
				mu.Lock()
				sentCount++
				at, stopped := signalled[m.name]
				mu.Unlock()
				runs := f.totalRuns(a.id)
				if got.err == nil && got.status != 0 {
					if got.status != http.StatusOK {
						f.rec.log("client got %d %s for %s from %s after %.3f s, %d runs", got.status, short(got.body), a.id, m.name, took.Seconds(), runs)
					}
					continue
				}
				after := sent.Sub(at)
				f.rec.log("client got no answer for %s from %s: sent %.3f s after the signal, ended after %.3f s, %d runs, err %v",
					a.id, m.name, after.Seconds(), took.Seconds(), runs, errors.Unwrap(got.err))
				if !stopped || runs == 0 || took >= 1900*time.Millisecond || sent.Add(took).Sub(at) > (graceSeconds+1)*time.Second {
					continue
				}
				mu.Lock()
				if after > unexcusedAfter {
					cut++
					code = broken
					f.rec.log("LOST: %s was passed on to a worker, and %s closed its connection without an answer", a.id, m.name)
				} else {
					excused++
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(3 * time.Second)
	for range rollRounds {
		var machines sync.WaitGroup
		for _, m := range f.entries {
			if !trouble {
				continue
			}
			machines.Add(1)
			mu.Lock()
			signalled[m.name] = time.Now()
			mu.Unlock()
			f.signal(m, syscall.SIGTERM)
			go func() {
				defer machines.Done()
				began := time.Now()
				select {
				case <-m.exited:
					f.rec.log("%s has ended %.3f s after the signal", m.name, time.Since(began).Seconds())
				case <-time.After(graceSeconds * time.Second):
					f.kill(m)
				}
				time.Sleep(restartDelay)
				_ = f.start(m)
			}()
			time.Sleep(rollGap)
		}
		machines.Wait()
		time.Sleep(6 * time.Second)
	}
	close(stop)
	clients.Wait()
	f.rec.log("%d requests, %d broken off that were sent over 3 s after the signal, %d sent earlier", sentCount, cut, excused)
	return code, nil
}

// entryAt returns the edge machine with the given address, or nil.
func (f *fleet) entryAt(addr string) *machine {
	for _, m := range f.entries {
		if m.front() == addr {
			return m
		}
	}
	return nil
}
