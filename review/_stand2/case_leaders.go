package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"time"
)

const (
	// leadersSuccessorAfter is the time from the loss of a machine to the start
	// of its successor.
	leadersSuccessorAfter = time.Second
	// leadersMargin is added to catchUp before the next machine is lost.
	leadersMargin = 300 * time.Millisecond
	leadersLost   = 5
)

var leadingLine = regexp.MustCompile(`(?m)^time=(\S+) .*msg=leading`)

// leader returns the index of the machine whose process began to lead last, by
// its log.
func leader(list []*machine) int {
	best, at := 0, ""
	for i, m := range list {
		data, _ := os.ReadFile(filepath.Join(m.fleet.dir, m.name, "log"))
		if found := leadingLine.FindAllSubmatch(data, -1); len(found) > 0 {
			if t := string(bytes.TrimSpace(found[len(found)-1][1])); t > at {
				best, at = i, t
			}
		}
	}
	return best
}

// runLeaders replaces the leading control machine by an empty one at a new
// address, again and again.
func runLeaders(rec *record) int {
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
		for range leadersLost {
			c.replace(leader(c.live), leadersSuccessorAfter, catchUp+leadersMargin)
		}
	}
	return c.readBack()
}
