package main

import (
	"fmt"
	"time"
)

const (
	// moreRoutes is the number of routes by which the configuration grows.
	moreRoutes = 1908
	// changes is the number of changes that follow, one every changeGap.
	changes   = 75
	changeGap = time.Second
	// coreMB is the memory of a control machine.
	coreMB = 280
	// endsOfFault is how often processes of a machine end by themselves in a
	// fault.
	endsOfFault = 3
)

// runGrow grows the configuration by many routes and then changes it time and
// again.
func runGrow(rec *record) int {
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
	go f.enforceMemory()
	o := newOperator(rec, f.cores())
	if !o.put(baseConfig(1), time.Now().Add(15*time.Second)) {
		rec.line("the first configuration is not acknowledged")
		return exitNoRun
	}
	time.Sleep(8 * time.Second)
	acked, limit := 1, time.Now().Add(85*time.Second)
	for n := range changes {
		began := time.Now()
		if began.After(limit) || f.faultyCores() > len(f.cores())/2 {
			break
		}
		c := growConfig(n + 2)
		if o.put(c, began.Add(10*time.Second)) {
			acked = n + 2
		}
		if n%5 == 0 {
			f.recordMemory()
		}
		time.Sleep(max(0, changeGap-time.Since(began)))
	}
	// The operator reads for longer than contact_ms.
	got := o.get(time.Now().Add(15 * time.Second))
	for _, m := range f.machines {
		rec.line("%s: at most %.0f MB; %d processes ended by themselves, %d of them over the memory of the machine", m.name, m.peakMB, m.ended, m.overLimit)
	}
	faulty := f.faultyCores()
	isLost := got < fmt.Sprintf("%08x", acked)
	return rec.verdict(faulty >= (len(f.cores())+1)/2 || isLost, "on %d of %d control machines, %d processes or more ended by themselves; configuration acknowledged %08x, read back %q",
		faulty, len(f.cores()), endsOfFault, acked, got)
}

// growConfig returns a version of the configuration, which the disruption makes
// longer.
func growConfig(version int) *config {
	c := baseConfig(version)
	l := &c.Listeners[0]
	if disrupted() {
		for n := range moreRoutes {
			l.Rules = append(l.Rules, route(fmt.Sprintf("r-%07d", n), "safe", fmt.Sprintf("/idle%d/", n), "huvo11a", 1500))
		}
	}
	l.Rules[0].Action.TimeoutMs += version % 7
	return c
}

// faultyCores returns the number of control machines on which processes have
// ended by themselves as often as in a fault.
func (f *fleet) faultyCores() int {
	n := 0
	for _, m := range f.cores() {
		m.mu.Lock()
		if m.ended >= endsOfFault {
			n++
		}
		m.mu.Unlock()
	}
	return n
}

func (f *fleet) recordMemory() {
	for _, m := range f.machines {
		m.mu.Lock()
		if m.cmd != nil {
			f.rec.line("%s uses %.0f MB", m.name, anonymousMB(m.cmd.Process.Pid))
		}
		m.mu.Unlock()
	}
}
