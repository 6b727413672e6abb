package main

import (
	"strings"
	"time"
)

func init() { cases["refusal"] = lateRefusal }

// lateRefusal sends orders to the one worker of a service. After 40 pages that
// it serves, the worker turns an order away with 503 and Not-Executed, and takes
// it when it is sent again. In the trouble it sends this refusal a second time,
// where the next answer is expected: one of 42 answers. The other service has a
// sound worker.
func lateRefusal(f *fleet, trouble bool) (int, error) {
	const (
		rounds        = 8
		pagesPerRound = 40
		// idle is longer than an entry keeps a connection for orders.
		idle = 2500 * time.Millisecond
	)
	refused, answers, extras := map[string]bool{}, 0, 0
	err := f.setUp(config(1, []string{"jar-desk", "pay-counter"}, []route{
		{name: "r-order", prefix: "/order/", kind: "unsafe", service: "jar-desk", timeoutMs: 2000, maxAttempts: 3, priority: 2},
		{name: "r-browse", prefix: "/browse/", kind: "safe", service: "jar-desk", timeoutMs: 1500, maxAttempts: 2, priority: 1},
		{name: "r-pay", prefix: "/pay/", kind: "unsafe", service: "pay-counter", timeoutMs: 1200, maxAttempts: 2, priority: 0},
	}), func() error {
		if _, err := f.startWorker("i-18ca9fba", "pay-counter", 0, 5*time.Millisecond); err != nil {
			return err
		}
		w, err := f.startWorker("i-7f3a91c2", "jar-desk", 0, 5*time.Millisecond)
		if err != nil {
			return err
		}
		w.answer = func(w *worker, r *workerRequest) bool {
			w.mu.Lock()
			answers++
			turnAway := strings.HasPrefix(r.path, "/order/") && !refused[r.id]
			refused[r.id] = refused[r.id] || turnAway
			w.mu.Unlock()
			if !turnAway {
				return false
			}
			f.rec.log("worker %s refuses %s, connection %d", w.id, r.id, r.conn.number)
			r.conn.reply(503, r.id, "", "", "Not-Executed: 1\r\n")
			if trouble {
				extras++
				r.conn.late = rawAnswer(503, r.id, "", "", "Not-Executed: 1\r\n")
			}
			return true
		}
		return nil
	})
	if err != nil {
		return failed, err
	}
	page := attempt{method: "GET", path: "/browse/1", deadline: 3 * time.Second}
	if err := f.waitServed(page, 15*time.Second); err != nil {
		return failed, err
	}
	code := held
	for range rounds {
		for range pagesPerRound {
			page.id = newAttemptID()
			f.send(f.entries[0], page)
		}
		time.Sleep(idle)
		a := attempt{id: newAttemptID(), method: "POST", path: "/order/1", body: []byte("engrave: Amahoro"), deadline: 4 * time.Second}
		f.rec.log("client sends order %s", a.id)
		got := f.send(f.entries[0], a)
		time.Sleep(300 * time.Millisecond)
		runs := f.totalRuns(a.id)
		f.rec.log("client got %d %s for %s, which ran %d times, err %v", got.status, short(got.body), a.id, runs, got.err)
		if runs > 1 {
			f.rec.log("TWICE: %s ran %d times", a.id, runs)
			code = broken
		}
		if (got.status == 503 || got.status == 429) && runs > 0 {
			f.rec.log("REFUSED: %s was refused and ran", a.id)
			code = broken
		}
	}
	f.rec.log("%d answers of the faulty worker, %d sent a second time", answers, extras)
	return code, nil
}
