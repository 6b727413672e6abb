package instance

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/upstream"
)

// repeatingUpstream refuses each attempt ID once and sends the refusal a second
// time where the next response on the connection is due.
type repeatingUpstream struct {
	mu      sync.Mutex
	refused map[string]bool
	runs    map[string]int
}

const (
	repeatedRefusal = "HTTP/1.1 503 No\r\n" + upstream.HeaderAttemptID + ": %[1]s\r\n" + upstream.HeaderNotRun + ": %[1]s\r\nContent-Length: 0\r\n\r\n"
	ranResponse     = "HTTP/1.1 200 OK\r\n" + upstream.HeaderAttemptID + ": %s\r\nContent-Length: 2\r\n\r\nhi"
)

func (u *repeatingUpstream) listen() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(l.Close)
	go u.run(l)
	return l.Addr().String()
}

func (u *repeatingUpstream) run(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go u.loop(c)
	}
}

func (u *repeatingUpstream) loop(c net.Conn) {
	defer c.Close()
	in, late := bufio.NewReader(c), ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(upstream.HeaderAttemptID)
		if u.refuse(id) {
			refusal := fmt.Sprintf(repeatedRefusal, id)
			_, _ = io.WriteString(c, late+refusal)
			late = refusal
			continue
		}
		_, _ = io.WriteString(c, late+fmt.Sprintf(ranResponse, id))
		late = ""
	}
}

// refuse reports whether the attempt is to be refused, and otherwise counts its
// run.
func (u *repeatingUpstream) refuse(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.refused[id] {
		u.runs[id]++
		return false
	}
	u.refused[id] = true
	return true
}

func (u *repeatingUpstream) runsOf(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// Guards against a repeated refusal after which the caller is told that a
// request did not run although it did, or the request runs once more.
var _ = ginkgo.DescribeTable("an upstream that repeats a refusal",
	func(maxAttempts int) {
		u := &repeatingUpstream{refused: map[string]bool{}, runs: map[string]int{}}
		r := newEntryFixture(SystemClock{}, &fakeLedger{}, newFakeUpstream())
		r.picker.addr = u.listen()
		q := routedRequest(r, maxAttempts, strings.NewReader("x"), 1)
		q.AttemptID = "order"
		expectReply(r.send(context.Background(), q), azurestair.OutcomeDone, azurestair.ReasonNone, false)
		Expect(u.runsOf("order")).To(Equal(1))
	},
	ginkgo.Entry("of a route with two attempts", 2),
	ginkgo.Entry("of a route with three attempts", 3),
)

// Guards against bytes without end that fill the memory of the entry, and that
// keep it from serving other callers.
var _ = ginkgo.DescribeTable("an upstream that sends without end",
	func(op azurestair.OperationName, key azurestair.RequestKey) {
		const maxAllocated = 32 << 20
		r := newEntryFixture(SystemClock{}, &fakeLedger{}, newFakeUpstream())
		r.upstream.handle = func(w http.ResponseWriter, q *http.Request) {
			if q.URL.Path == "/sound" {
				_, _ = io.WriteString(w, "answer")
				return
			}
			for piece := make([]byte, 32<<10); ; {
				if _, err := w.Write(piece); err != nil {
					return
				}
			}
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		q := r.request(op, key, 500*time.Millisecond, strings.NewReader("x"), 1)
		reply := r.Serve(context.Background(), q)
		sound := r.request("read", "", longTimeout, strings.NewReader("x"), 1)
		sound.Path = "/sound"
		expectReply(r.send(context.Background(), sound), azurestair.OutcomeDone, azurestair.ReasonNone, false)
		moved, err := io.Copy(io.Discard, reply.Body)
		reply.Body.Close()
		runtime.ReadMemStats(&after)
		Expect(err).To(HaveOccurred(), "%d bytes taken for a complete answer", moved)
		Expect(after.TotalAlloc-before.TotalAlloc).To(BeNumerically("<", maxAllocated), "%d bytes moved", moved)
	},
	ginkgo.Entry("to an idempotent request", azurestair.OperationName("read"), azurestair.RequestKey("")),
	ginkgo.Entry("to a request with a key", azurestair.OperationName("pay"), azurestair.RequestKey("k1")),
)
