package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

func probe() int {
	f, err := setUp(fleetOptions{core: 3, edge: 2}, 3)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer f.close()
	for _, w := range f.workers {
		w.serve = func(w *worker, c net.Conn, r *http.Request, body []byte) bool {
			w.record(r, body)
			if strings.Contains(r.RequestURI, "slow") {
				time.Sleep(3 * time.Second)
			}
			return w.answer(c, r, "200 OK", "done")
		}
	}
	time.Sleep(4 * time.Second)
	c, err := dial(f.edge[0].addr(frontPort))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	show := func(r reply) {
		fmt.Println(r.Status, strings.TrimSpace(r.Body), r.Err, r.Took, r.Header.Get("Connection"))
	}
	show(c.do("GET", host, "/read/a", "", nil, 2*time.Second))
	show(c.do("GET", host, "/read/slow", "", nil, 1*time.Second))
	for range 5 {
		show(c.do("GET", host, "/read/b", "", nil, 2*time.Second))
		show(c.do("POST", host, "/order/b", "", []byte("x"), 2*time.Second))
	}
	return 0
}
