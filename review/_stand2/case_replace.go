package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"time"
)

// runReplace replaces the control machines one after the other, several rounds.
func runReplace(rec *record) int {
	planned := os.Getenv("PLANNED") == "1"
	gap, _ := strconv.Atoi(os.Getenv("GAP"))
	f, o, workers, err := startSmall(rec, baseConfig(1), 4, 30*time.Millisecond)
	if err != nil {
		fmt.Println(err)
		return exitNoRun
	}
	defer f.close()
	live := append([]*machine{}, f.cores()...)
	f.seedsOf = func() []*machine { return live[:3] }
	acked := 1
	version := 1
	bad := 0
	zones := []string{"kigali-a", "huye-a", "musanze-a", "kigali-b", "huye-b"}
	for n := range 14 {
		i := rand.IntN(5)
		old := live[i]
		m := f.add("core", zones[i], 280)
		m.bootstrap = false
		if planned {
			_ = m.start()
			time.Sleep(time.Second)
			old.mu.Lock()
			old.down = true
			old.mu.Unlock()
			old.signal(syscall.SIGTERM)
		} else {
			old.kill()
			time.Sleep(time.Second)
			_ = m.start()
		}
		live[i] = m
		rec.line("round %d: %s replaces %s", n, m.name, old.name)
		o.targets = append([]*machine{}, live...)
		for _, w := range workers {
			w.mu.Lock()
			w.targets = append([]*machine{}, live...)
			w.mu.Unlock()
		}
		until := time.Now().Add(time.Duration(gap) * time.Second)
		for time.Now().Before(until) {
			version++
			if o.put(baseConfig(version), time.Now().Add(3*time.Second)) {
				acked = version
			}
			time.Sleep(300 * time.Millisecond)
		}
		if n == 7 {
			// The entries restart with the seeds of now.
			for _, e := range f.fronts() {
				e.signal(syscall.SIGKILL)
			}
		}
	}
	time.Sleep(3 * time.Second)
	got := o.get(time.Now().Add(10 * time.Second))
	served := 0
	for n := range 50 {
		c := &client{rec: rec, addr: f.fronts()[n%2].addr(frontPort)}
		if r := c.send("GET", head("GET", "/lohu930/2f", newID(), 3*time.Second).Bytes(), 3*time.Second); r.status == 200 {
			served++
		}
		c.close()
	}
	for _, m := range f.machines {
		rec.line("%s ended %d", m.name, m.ended)
		bad += m.ended
	}
	return rec.verdict(got != fmt.Sprintf("%08x", acked) && got < fmt.Sprintf("%08x", acked) || served < 40, "got %s acked %08x version %08x served %d ended %d", got, acked, version, served, bad)
}
