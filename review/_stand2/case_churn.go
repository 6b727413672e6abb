package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

// runChurn changes a configuration of many routes hundreds of times while
// control processes are killed, frozen or lose their disks, one at a time.
func runChurn(rec *record) int {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	routes, _ := strconv.Atoi(os.Getenv("ROUTES"))
	rng := rand.New(rand.NewPCG(seed, 1))
	f, err := newFleet(rec, smallSite())
	if err != nil {
		fmt.Println(err)
		return exitNoRun
	}
	defer f.close()
	for _, z := range []string{"kigali-a", "huye-a", "musanze-a", "kigali-b", "huye-b"} {
		f.add("core", z, 280)
	}
	f.add("edge", "kigali-a", 284)
	if err := f.startAll(); err != nil {
		return exitNoRun
	}
	go f.enforceMemory()
	o := newOperator(rec, f.cores())
	if !o.put(baseConfig(1), time.Now().Add(15*time.Second)) {
		return exitNoRun
	}
	time.Sleep(9 * time.Second)
	var acked atomic.Int64
	var stale atomic.Int64
	acked.Store(1)
	end := time.Now().Add(80 * time.Second)
	go func() {
		for time.Now().Before(end) {
			floor := acked.Load()
			time.Sleep(100 * time.Millisecond)
			m := f.cores()[rand.IntN(5)]
			status, data, err := o.call(m, "GET", "/azurestair/Config.Get", nil, time.Second)
			if err != nil || status != 200 {
				continue
			}
			var v int64
			fmt.Sscanf(string(data[:min(len(data), 24)]), `{"version":"%08x"`, &v)
			if v < floor {
				stale.Add(1)
				rec.line("STALE read at %s: %d, acknowledged %d", m.name, v, floor)
			}
		}
	}()
	go func() {
		for time.Now().Before(end.Add(-8 * time.Second)) {
			m := f.cores()[rng.IntN(5)]
			switch rng.IntN(4) {
			case 0:
				m.kill()
				time.Sleep(time.Duration(300+rng.IntN(3000)) * time.Millisecond)
				m.bootstrap = false
				_ = m.start()
			case 1:
				m.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(1000+rng.IntN(5000)) * time.Millisecond)
				m.signal(syscall.SIGCONT)
			case 2:
				rec.line("%s loses its disk", m.name)
				m.kill()
				time.Sleep(700 * time.Millisecond)
				_ = os.RemoveAll(m.dataDir)
				m.bootstrap = false
				_ = m.start()
				time.Sleep(4 * time.Second)
			case 3:
				rec.line("all control processes are killed")
				for _, c := range f.cores() {
					c.kill()
				}
				time.Sleep(time.Duration(300+rng.IntN(600)) * time.Millisecond)
				for _, c := range f.cores() {
					c.bootstrap = false
					_ = c.start()
				}
				time.Sleep(2 * time.Second)
			}
			time.Sleep(time.Duration(4000+rng.IntN(2000)) * time.Millisecond)
		}
	}()
	v := int64(1)
	unacked := 0
	for time.Now().Before(end) {
		v++
		c := baseConfig(int(v))
		for n := range routes {
			c.Listeners[0].Rules = append(c.Listeners[0].Rules, route(fmt.Sprintf("r-%07d", n), "safe", fmt.Sprintf("/idle%d/", n), "huvo11a", 1500))
		}
		if o.put(c, time.Now().Add(12*time.Second)) {
			acked.Store(v)
		} else {
			unacked++
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	got := o.get(time.Now().Add(20 * time.Second))
	ended := 0
	for _, m := range f.machines {
		rec.line("%s: peak %.0f MB, ended by itself %d, over memory %d", m.name, m.peakMB, m.ended, m.overLimit)
		ended += m.ended
	}
	want := fmt.Sprintf("%08x", acked.Load())
	return rec.verdict(got < want || stale.Load() > 0 || ended > 0, "read %q acked %q stale %d ended %d unacked %d", got, want, stale.Load(), ended, unacked)
}
