package main

import (
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"
)

// runEvac ends an evacuation while a control machine is frozen, and starts it
// again.
func runEvac(rec *record) int {
	f, o, workers, err := startSmall(rec, baseConfig(1), 6, 30*time.Millisecond)
	if err != nil {
		fmt.Println(err)
		return exitNoRun
	}
	defer f.close()
	const zone = "kigali-a"
	start, end := "/azurestair/Evacuation.Start/"+zone, "/azurestair/Evacuation.End/"+zone
	k, _ := strconv.Atoi(os.Getenv("FROZEN"))
	frozen := f.cores()[k]
	order := func(path string, list []*machine) bool {
		for _, m := range list {
			status, _, err := o.call(m, "POST", path, nil, time.Second)
			rec.line("operator: %s at %s: %d %v", path, m.name, status, err)
			if err == nil && status == 200 {
				return true
			}
		}
		return false
	}
	others := append(append([]*machine{}, f.cores()[:k]...), f.cores()[k+1:]...)
	if !order(start, others) {
		return exitNoRun
	}
	time.Sleep(4 * time.Second)
	if disrupted() {
		frozen.signal(syscall.SIGSTOP)
	}
	time.Sleep(200 * time.Millisecond)
	if !order(end, append([]*machine{frozen}, others...)) {
		return exitNoRun
	}
	time.Sleep(2 * time.Second)
	if !order(start, append(others[1:], others[0])) {
		return exitNoRun
	}
	acked := time.Now()
	rec.line("the evacuation of %s is acknowledged", zone)
	time.Sleep(2 * time.Second)
	frozen.signal(syscall.SIGCONT)
	time.Sleep(acked.Add(5100 * time.Millisecond).Sub(time.Now()))
	late := 0
	for n := range 300 {
		c := &client{rec: rec, addr: f.fronts()[n%2].addr(frontPort)}
		id := newID()
		r := c.send("GET", head("GET", "/lohu930/2f", id, 3*time.Second, "Cookie: Affinity-Key="+strconv.Itoa(n)).Bytes(), 3*time.Second)
		c.close()
		for _, w := range workers {
			w.mu.Lock()
			if w.zone == zone && w.runs[id] > 0 {
				late++
				rec.line("request %s (%d) ran in %s, %d ms after the acknowledgement", id, r.status, zone, time.Since(acked).Milliseconds())
			}
			w.mu.Unlock()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return rec.verdict(late > 0, "%d of 300 requests ran in the evacuated zone", late)
}
