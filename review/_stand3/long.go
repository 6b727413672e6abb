package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

func long() int {
	f, err := newFleet(fleetOptions{core: 3, edge: 2})
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer f.close()
	f.startAll()
	rules := usualRules()
	rules[0].Timeout, rules[1].Timeout = 60000, 60000
	f.order("/azurestair/Config.Put", configDoc(1, rules, []string{"desk"}, nil), 20e9)
	w := f.newWorker("i-00000001", "desk", "kigali-a")
	w.serve = func(w *worker, c net.Conn, r *http.Request, body []byte) bool {
		w.record(r, body)
		if r.URL.Path != "/order/quick" {
			time.Sleep(33 * time.Second)
		}
		return w.answer(c, r, "200 OK", "done")
	}
	w.start()
	f.waitReady(20e9)
	time.Sleep(2 * time.Second)
	c, _ := dial(f.edge[0].addr(frontPort))
	began := time.Now()
	r := c.do("POST", host, "/order/long", "", []byte("x"), 50*time.Second)
	fmt.Println(time.Since(began))
	fmt.Println(r.Status, r.Body, r.Err, len(w.runList()))
	for range 5 {
		r := c.do("POST", host, "/order/quick", "", []byte("x"), 5*time.Second)
		fmt.Println(r.Status, r.Body, r.Err, len(w.runList()))
	}
	return 0
}
