package main

import (
	"fmt"
	"time"
)

// runLong sends requests that take longer than half a minute.
func runLong(rec *record) int {
	c := baseConfig(1)
	for i := range c.Listeners[0].Rules {
		c.Listeners[0].Rules[i].Action.TimeoutMs = 60000
	}
	f, _, workers, err := startSmall(rec, c, 4, 33*time.Second)
	if err != nil {
		fmt.Println(err)
		return exitNoRun
	}
	defer f.close()
	done := make(chan bool)
	for n := range 4 {
		go func() {
			cl := &client{rec: rec, addr: f.fronts()[n%2].addr(frontPort)}
			id := newID()
			var r reply
			if n < 2 {
				r = cl.send("GET", head("GET", "/lohu930/2f", id, 50*time.Second).Bytes(), 50*time.Second)
			} else {
				b := head("POST", "/pufi791/2f", id, 50*time.Second, "Content-Length: 4")
				b.WriteString("abcd")
				r = cl.send("POST", b.Bytes(), 50*time.Second)
			}
			rec.line("client: %d %s: %d stamp %q body %.60q err %v; runs %d", n, id, r.status, r.stamp, r.body, r.err, runsOf(workers, id))
			done <- true
		}()
	}
	for range 4 {
		<-done
	}
	return rec.verdict(false, "x")
}
