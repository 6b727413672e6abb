package main

import (
	"encoding/json"
	"net/http"
	"time"
)

func init() { cases["odd"] = oddHeartbeat }

// oddHeartbeat sends pages to a service with one worker. In the trouble another
// writer sends heartbeats for a service that no configuration names, with the
// address of the worker.
func oddHeartbeat(f *fleet, trouble bool) (int, error) {
	err := f.setUp(config(1, []string{"jar-desk"}, []route{
		{name: "r-browse", prefix: "/browse/", kind: "safe", service: "jar-desk", timeoutMs: 1500, maxAttempts: 2, priority: 1},
	}), func() error {
		_, err := f.startWorker("i-7f3a91c2", "jar-desk", 0, 5*time.Millisecond)
		return err
	})
	if err != nil {
		return failed, err
	}
	page := attempt{method: "GET", path: "/browse/1", deadline: 3 * time.Second}
	if err := f.waitServed(page, 15*time.Second); err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	defer close(stop)
	if trouble {
		go func() {
			for i := 1; ; i++ {
				body, _ := json.Marshal(map[string]any{
					"service": "not-named-here", "address": f.workers[0].addr, "zone": "kigali-a", "version": "v1", "slots": 9, "state": "ready",
					"cold_left_ms": 0, "sequence": i, "born": f.workers[0].born + 1000,
				})
				status, _, err := f.order(f.controls[0], http.MethodPost, "/azurestair/Instances.Heartbeat/other-1", body)
				f.rec.log("odd heartbeat: %d %v", status, err)
				select {
				case <-stop:
					return
				case <-time.After(beatInterval):
				}
			}
		}()
	}
	served, refused := 0, 0
	for range 200 {
		page.id = newAttemptID()
		got := f.send(f.entries[0], page)
		if got.err == nil && got.status == http.StatusOK {
			served++
		} else {
			refused++
			if refused < 5 {
				f.rec.log("client got %d %s %v", got.status, short(got.body), got.err)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.rec.log("%d served, %d not", served, refused)
	if refused*10 > (served+refused)*6 {
		return broken, nil
	}
	return held, nil
}
