package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	linesRequests = 60
	linesBytes    = 8000
)

// runLines sends requests whose bodies consist of short lines.
func runLines(rec *record) int {
	f, _, workers, err := startSmall(rec, baseConfig(1), 4, 60*time.Millisecond)
	if err != nil {
		fmt.Println(err)
		return exitNoRun
	}
	defer f.close()
	defer stopAll(workers)
	body := strings.Repeat(strings.Repeat("x", 79)+"\n", linesBytes/80)
	if disrupted() {
		body = strings.Repeat("1\n", linesBytes/2)
	}
	total, denied, served := 0, 0, 0
	count := func(id string, r reply) {
		total++
		rec.line("client: %s gets %d, stamp %q, body %.40q, err %v; it has run %d times", id, r.status, r.stamp, r.body, r.err, runsOf(workers, id))
		switch {
		case r.err == nil && r.status < 300:
			served++
		case r.err == nil && r.stamp == "" && r.status < 500 && r.status != 408 && r.status != 421 && r.status != 429:
			denied++
		}
	}
	for n := range linesRequests {
		c := &client{rec: rec, addr: f.fronts()[n%2].addr(frontPort)}
		id := newID()
		count(id, c.send("GET", head("GET", "/lohu930/2f", id, 3*time.Second).Bytes(), 3*time.Second))
		id = newID()
		b := head("POST", "/pufi791/2f", id, 4*time.Second, fmt.Sprintf("Content-Length: %d", len(body)))
		b.WriteString(body)
		count(id, c.send("POST", b.Bytes(), 4*time.Second))
		c.close()
		time.Sleep(20 * time.Millisecond)
	}
	return rec.verdict(float64(denied) > 5+float64(total)/500, "%d of %d proper requests ended with a 3xx or 4xx of the system, %d were served", denied, total, served)
}

func stopAll(workers []*worker) {
	for _, w := range workers {
		w.stop()
	}
}
