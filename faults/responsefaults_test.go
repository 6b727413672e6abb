package faults

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"azurestair.example/azurestair/stub"
	"azurestair.example/azurestair/upstream"
)

// faultySuffix is the suffix of the IDs of upstreams with response faults.
const faultySuffix = "-1"

// responseFault writes a faulty HTTP response directly to the connection.
type responseFault func(w *bufio.Writer, r *http.Request)

// responseFaults injects its faults in turn, one into each response of the
// upstreams that applyTo selects.
type responseFaults struct {
	faults []responseFault

	mu       sync.Mutex
	injected int
}

func newResponseFaults() *responseFaults {
	return &responseFaults{faults: []responseFault{truncated, truncatedChunks, truncatedLarge, otherRequestID, missingRequestID, late, closeDelimited}}
}

// applyTo enables the faults for the second upstream of each service in each
// failure domain.
func (f *responseFaults) applyTo(o *stub.Options) {
	if !strings.HasSuffix(string(o.ID), faultySuffix) {
		return
	}
	id := string(o.ID)
	o.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
		conn, rw, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return true
		}
		defer conn.Close()
		r.Header.Set(stub.HeaderUpstream, id)
		f.next()(rw.Writer, r)
		_ = rw.Flush()
		return true
	}
}

func (f *responseFaults) next() responseFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.injected++
	return f.faults[f.injected%len(f.faults)]
}

// minPerFault returns how often the least frequent fault has been injected.
func (f *responseFaults) minPerFault() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.injected / len(f.faults)
}

// writeHead writes the status line and header of a response with the given
// request ID.
func writeHead(w *bufio.Writer, r *http.Request, id string, fields ...string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: serving\r\n%s: %s\r\n", upstream.HeaderAttemptID, id,
		upstream.HeaderState, stub.HeaderUpstream, r.Header.Get(stub.HeaderUpstream))
	for _, f := range fields {
		fmt.Fprintf(w, "%s\r\n", f)
	}
	fmt.Fprint(w, "\r\n")
}

func requestID(r *http.Request) string { return r.Header.Get(upstream.HeaderAttemptID) }

// partialBody is the part of a body that the truncated responses carry.
const partialBody = "a part of the answer"

// truncated closes the connection before the body reaches its Content-Length.
func truncated(w *bufio.Writer, r *http.Request) {
	writeHead(w, r, requestID(r), "Content-Length: 1000")
	fmt.Fprint(w, partialBody)
}

// truncatedChunks closes the connection before the last chunk.
func truncatedChunks(w *bufio.Writer, r *http.Request) {
	writeHead(w, r, requestID(r), "Transfer-Encoding: chunked")
	fmt.Fprintf(w, "%x\r\n%s\r\n", len(partialBody), partialBody)
}

// truncatedLarge truncates a response that is too large for the entry to buffer
// completely before it forwards it.
func truncatedLarge(w *bufio.Writer, r *http.Request) {
	writeHead(w, r, requestID(r), "Content-Length: 4000000")
	fmt.Fprint(w, strings.Repeat(partialBody, 100_000))
}

// otherRequestID responds with the ID of another request.
func otherRequestID(w *bufio.Writer, r *http.Request) {
	writeHead(w, r, requestID(r)+"0", "Content-Length: 5")
	fmt.Fprint(w, "other")
}

// missingRequestID responds with an empty request ID.
func missingRequestID(w *bufio.Writer, r *http.Request) {
	writeHead(w, r, "", "Content-Length: 5")
	fmt.Fprint(w, "other")
}

// late sends a correct response after the deadline of the attempt.
func late(w *bufio.Writer, r *http.Request) {
	ms, _ := strconv.ParseInt(r.Header.Get(upstream.HeaderTimeLeft), 10, 64)
	<-time.After(time.Duration(ms+100) * time.Millisecond)
	writeHead(w, r, requestID(r), "Content-Length: 5")
	fmt.Fprint(w, "later")
}

// closeDelimited delimits the body by closing the connection, which a client
// cannot distinguish from a truncated response.
func closeDelimited(w *bufio.Writer, r *http.Request) {
	writeHead(w, r, requestID(r), "Connection: close")
	fmt.Fprint(w, partialBody)
}
