package main

import (
	"fmt"
	"time"
)

const (
	// successorAfter is the time from the loss of a control machine to the start
	// of its successor.
	successorAfter = 2 * time.Second
	// catchUp is the time after the start of a new machine until it no longer
	// counts as lost (catch_up_s).
	catchUp = 4 * time.Second
	// lossMargin is added to that before the next machine is lost.
	lossMargin = 300 * time.Millisecond
)

// runRepair replaces control machines one after the other, each time by an empty
// machine at a new address. The second one that is lost is the successor of the
// first.
func runRepair(rec *record) int {
	f, o, workers, err := startSmall(rec, baseConfig(1), 4, 30*time.Millisecond)
	if err != nil {
		fmt.Println(err)
		return exitNoRun
	}
	defer f.close()
	defer stopAll(workers)
	f.seedsOf = func() []*machine { return o.targets[:3] }
	setTargets := func(list []*machine) {
		o.targets = list
		for _, w := range workers {
			w.setTargets(list)
		}
	}
	version := 1
	acked := version
	// change sends changes of the configuration until the given time.
	change := func(until time.Time) {
		for time.Now().Before(until) {
			version++
			if o.put(baseConfig(version), time.Now().Add(4*time.Second)) {
				acked = version
			}
			time.Sleep(max(0, min(time.Second, time.Until(until))))
		}
	}
	live := append([]*machine{}, f.cores()...)
	// replace loses a machine for good and starts its successor.
	replace := func(i int) {
		lost := live[i]
		rec.line("%s is lost for good", lost.name)
		lost.kill()
		time.Sleep(successorAfter)
		next := f.add("core", lost.zone, 280)
		next.bootstrap = false
		live[i] = next
		if err := next.start(); err != nil {
			rec.line("%s: %v", next.name, err)
		}
		started := time.Now()
		rec.line("%s replaces %s", next.name, lost.name)
		setTargets(append([]*machine{}, live...))
		change(started.Add(catchUp + lossMargin))
	}
	change(time.Now().Add(2 * time.Second))
	if disrupted() {
		replace(3)
		replace(3)
		replace(4)
		replace(2)
	}
	change(time.Now().Add(3 * time.Second))
	// Far longer than recover_s, and longer than contact_ms.
	got := ""
	for end := time.Now().Add(40 * time.Second); got == "" && time.Now().Before(end); {
		got = o.get(time.Now().Add(5 * time.Second))
	}
	want := fmt.Sprintf("%08x", acked)
	return rec.verdict(got < want, "the newest acknowledged configuration is %s; read back for 40 s: %q", want, got)
}
