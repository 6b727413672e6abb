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
	lossMargin = 1100 * time.Millisecond
	// readBackTime is how long the operator reads the configuration at the end:
	// far longer than recover_s and contact_ms.
	readBackTime = 40 * time.Second
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
	c := &coreChanges{fleet: f, operator: o, workers: workers, live: append([]*machine{}, f.cores()...), version: 1, acked: 1}
	c.change(time.Now().Add(2 * time.Second))
	if disrupted() {
		for _, i := range []int{3, 3, 4, 2} {
			c.replace(i, successorAfter, catchUp+lossMargin)
		}
	}
	return c.readBack()
}

// coreChanges replaces control machines while the configuration changes.
type coreChanges struct {
	fleet    *fleet
	operator *operator
	workers  []*worker
	// live holds the control machines, each successor in the place of the one
	// that was lost.
	live []*machine
	// version is the last configuration that was sent, acked the last one that
	// was acknowledged.
	version, acked int
}

// change sends a change of the configuration each second until the given time.
func (c *coreChanges) change(until time.Time) {
	for time.Now().Before(until) {
		c.version++
		if c.operator.put(baseConfig(c.version), time.Now().Add(4*time.Second)) {
			c.acked = c.version
		}
		time.Sleep(max(0, min(time.Second, time.Until(until))))
	}
}

// replace loses a machine for good, starts its successor and waits.
func (c *coreChanges) replace(i int, successorAfter, wait time.Duration) {
	lost := c.live[i]
	c.fleet.rec.line("%s is lost for good", lost.name)
	lost.kill()
	time.Sleep(successorAfter)
	next := c.fleet.add("core", lost.zone, coreMB)
	next.bootstrap = false
	c.live[i] = next
	c.fleet.seedsOf = func() []*machine { return c.live[:3] }
	if err := next.start(); err != nil {
		c.fleet.rec.line("%s: %v", next.name, err)
	}
	started := time.Now()
	c.fleet.rec.line("%s replaces %s", next.name, lost.name)
	targets := append([]*machine{}, c.live...)
	c.operator.targets = targets
	for _, w := range c.workers {
		w.setTargets(targets)
	}
	c.change(started.Add(wait))
}

// readBack reads the configuration at the end, and returns the exit status.
func (c *coreChanges) readBack() int {
	c.change(time.Now().Add(3 * time.Second))
	got := ""
	for end := time.Now().Add(readBackTime); got == "" && time.Now().Before(end); {
		got = c.operator.get(time.Now().Add(5 * time.Second))
	}
	want := fmt.Sprintf("%08x", c.acked)
	return c.fleet.rec.verdict(got < want, "the newest acknowledged configuration is %s; read back for %v: %q", want, readBackTime, got)
}
