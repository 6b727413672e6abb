package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

func odd() int {
	f, err := setUp(fleetOptions{core: 3, edge: 2}, 3)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer f.close()
	for _, w := range f.workers {
		w.serve = func(w *worker, c net.Conn, r *http.Request, body []byte) bool {
			w.record(r, body)
			id := r.Header.Get("Attempt-Id")
			h := func(s string) { fmt.Fprint(c, strings.ReplaceAll(strings.ReplaceAll(s, "\n", "\r\n"), "ID", id)) }
			switch r.URL.Query().Get("k") {
			case "nostamp":
				h("HTTP/1.1 200 OK\nAttempt-Id: ID\nContent-Length: 2\n\nhi")
			case "emptystamp":
				h("HTTP/1.1 200 OK\nAttempt-Id: ID\nResponse-Stamp: \nContent-Length: 2\n\nhi")
			case "encoded":
				h("HTTP/1.1 200 OK\nAttempt-Id: ID\nResponse-Stamp: a.b\nContent-Encoding: gzip\nContent-Length: 2\n\nhi")
			case "twoids":
				h("HTTP/1.1 200 OK\nAttempt-Id: ID\nAttempt-Id: abc\nResponse-Stamp: a.b\nContent-Length: 2\n\nhi")
			case "connstamp":
				h("HTTP/1.1 200 OK\nAttempt-Id: ID\nConnection: Response-Stamp\nResponse-Stamp: a.b\nContent-Length: 2\n\nhi")
			case "v1.0":
				h("HTTP/1.0 200 OK\nAttempt-Id: ID\nResponse-Stamp: a.b\n\nhi")
				return false
			case "status600":
				h("HTTP/1.1 600 OK\nAttempt-Id: ID\nResponse-Stamp: a.b\nContent-Length: 2\n\nhi")
			case "204":
				h("HTTP/1.1 204 No Content\nAttempt-Id: ID\nResponse-Stamp: a.b\nContent-Length: 2\n\nhi")
			case "304":
				h("HTTP/1.1 304 No\nAttempt-Id: ID\nResponse-Stamp: a.b\nContent-Length: 2\n\n")
			case "notexec200":
				h("HTTP/1.1 200 OK\nAttempt-Id: ID\nResponse-Stamp: a.b\nNot-Executed: 1\nContent-Length: 2\n\nhi")
			case "bodyless":
				h("HTTP/1.1 200 OK\nAttempt-Id: ID\nResponse-Stamp: a.b\n\n")
				return false
			default:
				return w.answer(c, r, "200 OK", "done")
			}
			return true
		}
	}
	time.Sleep(4 * time.Second)
	for _, k := range []string{"", "nostamp", "emptystamp", "encoded", "twoids", "connstamp", "v1.0", "status600", "204", "304", "notexec200", "bodyless"} {
		for _, m := range []string{"GET", "POST"} {
			c, err := dial(f.edge[0].addr(frontPort))
			if err != nil {
				return 2
			}
			path := map[string]string{"GET": "/read/a?k=", "POST": "/order/a?k="}[m]
			r := c.do(m, host, path+k, "", nil, 2*time.Second)
			fmt.Printf("%-12s %s %d stamp=%q body=%q err=%v hdr=%v\n", k, m, r.Status, r.Stamp, strings.TrimSpace(r.Body), r.Err, r.Header["Content-Encoding"])
			c.close()
		}
	}
	return 0
}
