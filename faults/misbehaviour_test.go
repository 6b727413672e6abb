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

// badSuffix ends the names of the upstreams that misbehave.
const badSuffix = "-1"

// answerFault writes a wrong answer to a request on the connection itself.
type answerFault func(w *bufio.Writer, r *http.Request)

// misbehaviour gives each request at its upstreams the next answer fault.
type misbehaviour struct {
	faults []answerFault

	mu   sync.Mutex
	used int
}

func newMisbehaviour() *misbehaviour {
	return &misbehaviour{faults: []answerFault{truncated, truncatedChunks, truncatedLong, crossed, unnamed, late, unframed}}
}

// install has the second upstream of each failure domain misbehave.
func (m *misbehaviour) install(o *stub.Options) {
	if !strings.HasSuffix(string(o.ID), badSuffix) {
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
		m.next()(rw.Writer, r)
		_ = rw.Flush()
		return true
	}
}

func (m *misbehaviour) next() answerFault {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used++
	return m.faults[m.used%len(m.faults)]
}

// least returns how often each fault has occurred at least.
func (m *misbehaviour) least() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used / len(m.faults)
}

// head writes the head of an answer that names the request as name.
func head(w *bufio.Writer, r *http.Request, name string, fields ...string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: serving\r\n%s: %s\r\n", upstream.HeaderRequest, name,
		upstream.HeaderState, stub.HeaderUpstream, r.Header.Get(stub.HeaderUpstream))
	for _, f := range fields {
		fmt.Fprintf(w, "%s\r\n", f)
	}
	fmt.Fprint(w, "\r\n")
}

func nameOf(r *http.Request) string { return r.Header.Get(upstream.HeaderRequest) }

const part = "a part of the answer"

// truncated closes the connection before the announced length is reached.
func truncated(w *bufio.Writer, r *http.Request) {
	head(w, r, nameOf(r), "Content-Length: 1000")
	fmt.Fprint(w, part)
}

// truncatedChunks closes the connection before the last chunk.
func truncatedChunks(w *bufio.Writer, r *http.Request) {
	head(w, r, nameOf(r), "Transfer-Encoding: chunked")
	fmt.Fprintf(w, "%x\r\n%s\r\n", len(part), part)
}

// truncatedLong breaks off an answer that is too long to be held back as a whole.
func truncatedLong(w *bufio.Writer, r *http.Request) {
	head(w, r, nameOf(r), "Content-Length: 4000000")
	fmt.Fprint(w, strings.Repeat(part, 100_000))
}

// crossed answers with the name of another request.
func crossed(w *bufio.Writer, r *http.Request) {
	head(w, r, nameOf(r)+"0", "Content-Length: 5")
	fmt.Fprint(w, "other")
}

// unnamed answers without the name of the request.
func unnamed(w *bufio.Writer, r *http.Request) {
	head(w, r, "", "Content-Length: 5")
	fmt.Fprint(w, "other")
}

// late answers correctly, but after the deadline of the attempt.
func late(w *bufio.Writer, r *http.Request) {
	ms, _ := strconv.ParseInt(r.Header.Get(upstream.HeaderTimeLeft), 10, 64)
	<-time.After(time.Duration(ms+100) * time.Millisecond)
	head(w, r, nameOf(r), "Content-Length: 5")
	fmt.Fprint(w, "later")
}

// unframed ends the answer by closing the connection, which a caller cannot
// tell from an answer that breaks off.
func unframed(w *bufio.Writer, r *http.Request) {
	head(w, r, nameOf(r), "Connection: close")
	fmt.Fprint(w, part)
}
