package main

import (
	"fmt"
	"time"
)

const (
	// firstLossAt is when a machine loses its power, after all have started.
	firstLossAt = 300 * time.Millisecond
	// firstTraffic is when traffic starts, and firstEnd when it ends.
	firstTraffic = 8 * time.Second
	firstEnd     = 75 * time.Second
)

// runFirst loses one of the machines with a disk while the whole system starts
// for the first time.
func runFirst(rec *record) int {
	f, err := newFleet(rec, smallSite())
	if err != nil {
		fmt.Println(err)
		return exitNoRun
	}
	defer f.close()
	for _, z := range []string{"kigali-a", "huye-a", "musanze-a", "kigali-b", "huye-b"} {
		f.add("core", z, coreMB)
	}
	for _, z := range []string{"kigali-a", "huye-a"} {
		f.add("edge", z, 284)
	}
	if err := f.startAll(); err != nil {
		fmt.Println(err)
		return exitNoRun
	}
	began := time.Now()
	var workers []*worker
	for n := range 4 {
		w, err := startWorker(rec, f, n, "huvo11a", []string{"kigali-a", "huye-a"}[n%2], 30*time.Millisecond)
		if err != nil {
			fmt.Println(err)
			return exitNoRun
		}
		workers = append(workers, w)
	}
	defer stopAll(workers)
	time.Sleep(time.Until(began.Add(firstLossAt)))
	if disrupted() {
		rec.line("%s loses its power and stays dark", f.cores()[1].name)
		f.cores()[1].kill()
	}
	ackAfter := make(chan time.Duration, 1)
	go func() {
		if newOperator(rec, f.cores()).put(baseConfig(1), began.Add(firstEnd)) {
			ackAfter <- time.Since(began)
		}
		close(ackAfter)
	}()
	time.Sleep(time.Until(began.Add(firstTraffic)))
	total, served := 0, 0
	for time.Since(began) < firstEnd {
		c := &client{rec: rec, addr: f.fronts()[total%2].addr(frontPort)}
		id := newID()
		r := c.send("GET", head("GET", "/lohu930/2f", id, 3*time.Second).Bytes(), 3*time.Second)
		c.close()
		total++
		if r.err == nil && r.status == 200 {
			served++
		}
		if total%20 == 1 {
			rec.line("client: %s gets %d %.40q %v", id, r.status, r.body, r.err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	after, acked := <-ackAfter
	return rec.verdict(served == 0, "%d of %d requests were served; the first configuration was acknowledged: %v (after %v)", served, total, acked, after)
}
