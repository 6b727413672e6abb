package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/upstream"
)

// cutMode is how a connection carries a cut response and then ends.
type cutMode struct {
	// reset ends the connection with RST instead of FIN.
	reset bool
	// reused sends the attempt on a connection that has delivered a response.
	reused bool
	// bytewise makes the client read one byte at a time.
	bytewise bool
	// upload makes the request so large that it is written while the response
	// is read; unread makes the upstream respond without reading its body.
	upload, unread bool
}

func (m cutMode) String() string {
	return fmt.Sprintf("reset=%t reused=%t bytewise=%t upload=%t unread=%t", m.reset, m.reused, m.bytewise, m.upload, m.unread)
}

// respond returns a handler that sends a part of a response and ends the
// connection.
func (m cutMode) respond(sent string) handlerFunc {
	h := rawResponse(sent)
	if m.unread {
		h = func(c serverConn, _ *http.Request) bool {
			_, _ = io.WriteString(c, sent)
			return false
		}
	}
	if m.reset {
		return thenReset(h)
	}
	return thenClose(h)
}

// byteConn reads one byte at a time.
type byteConn struct{ net.Conn }

func (c byteConn) Read(p []byte) (int, error) { return c.Conn.Read(p[:min(len(p), 1)]) }

func (m cutMode) newClient() *upstream.Client {
	c := upstream.NewClient(func(ctx context.Context, addr string) (net.Conn, error) {
		nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if m.bytewise && err == nil {
			nc = byteConn{nc}
		}
		return nc, err
	}, newFakeClock())
	DeferCleanup(func() { c.Close() })
	return c
}

// thenReset is thenClose with RST instead of FIN.
func thenReset(h handlerFunc) handlerFunc {
	return func(c serverConn, r *http.Request) bool {
		h(c, r)
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		return false
	}
}

// cutCase is a response to be cut, and the result of the attempt if it is not.
type cutCase struct {
	name, method, head, body string
	want                     azurestair.AttemptResult
}

const okHead = "HTTP/1.1 200 OK\r\n" + requestIDHeader

// cutCases end their heads with the framing, so that a cut head lacks it.
var cutCases = []cutCase{
	{"with a length", http.MethodPost, okHead + "Content-Length: 25\r\n\r\n", strings.Repeat("x", 25), azurestair.AttemptDone},
	{"with an empty body", http.MethodGet, okHead + "Content-Length: 0\r\n\r\n", "", azurestair.AttemptDone},
	{"in chunks", http.MethodGet, okHead + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nhi\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n", azurestair.AttemptDone},
	{"with trailers", http.MethodPost, okHead + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nhi\r\n0\r\nX-Sum: 1\r\nX-End: 2\r\n\r\n", azurestair.AttemptDone},
	{"with bare newlines", http.MethodPost, "HTTP/1.1 200 OK\nAzurestair-Request: ID\nContent-Length: 2\n\n", "hi", azurestair.AttemptDone},
	{"with a folded field", http.MethodPost, okHead + "X-A: 1\r\n 2\r\n\t3\r\nContent-Length: 2\r\n\r\n", "hi", azurestair.AttemptDone},
	{"after interim ones", http.MethodPost, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\n", "hi", azurestair.AttemptDone},
	{"to HEAD", http.MethodHead, okHead + "Content-Length: 25\r\n\r\n", "", azurestair.AttemptDone},
	{"without content", http.MethodPost, "HTTP/1.1 204 No Content\r\n" + requestIDHeader + "\r\n", "", azurestair.AttemptDone},
	{"not modified", http.MethodGet, "HTTP/1.1 304 Not Modified\r\n" + requestIDHeader + "Content-Length: 25\r\n\r\n", "", azurestair.AttemptDone},
	{"that says not run", http.MethodPost, "HTTP/1.1 503 No\r\n" + requestIDHeader + "Azurestair-Not-Run: ID\r\nContent-Length: 0\r\n\r\n", "", azurestair.AttemptNotRun},
	{"with a state", http.MethodPost, okHead + "Azurestair-State: leaving\r\nContent-Length: 2\r\n\r\n", "hi", azurestair.AttemptDone},
}

// uploadSize is above the size of requests that are written before the response
// is read.
const uploadSize = 80 << 10

// attempt returns an attempt with the ID of the response.
func (t cutCase) attempt(id azurestair.RequestID, m cutMode) upstream.Attempt {
	a := newAttempt(long)
	a.ID, a.Method, a.Idempotent = id, t.method, t.method != http.MethodPost
	switch {
	case a.Idempotent:
		a.Body, a.BodyLen = nil, 0
	case m.upload:
		a.Body, a.BodyLen = io.LimitReader(zeros{}, uploadSize), uploadSize
	}
	return a
}

// sendVia sends the attempt of a case to an upstream that responds with h, and
// checks that it is sent once.
func (t cutCase) sendVia(h handlerFunc, m cutMode, c *upstream.Client, f *fakeUpstream) result {
	GinkgoHelper()
	if m.reused {
		f.setHandler(rawResponse(okResponse))
		expectDone(send(context.Background(), c, f.addr(), newAttempt(long)))
	}
	f.setHandler(h)
	before := f.requests.Load()
	res := send(context.Background(), c, f.addr(), t.attempt("cut", m))
	Expect(f.requests.Load()-before).To(BeEquivalentTo(1), "requests of one attempt")
	Expect(res.Reused).To(Equal(m.reused))
	return res
}

// expectCut checks the result of an attempt of whose response only a part was
// sent.
func expectCut(res result, sent string, headLen int) {
	GinkgoHelper()
	if len(sent) < headLen {
		Expect(res.err).To(HaveOccurred(), "after %q", sent)
		Expect([]any{res.Result.String(), res.Reason, res.Status, res.State, res.Body}).To(
			Equal([]any{azurestair.AttemptInterrupted.String(), azurestair.ReasonBroken, 0, azurestair.UpstreamState(""), nil}), "after %q", sent)
		return
	}
	Expect(res.err).NotTo(HaveOccurred(), "after %q", sent)
	Expect(res.bodyErr).To(HaveOccurred(), "after %q", sent)
}

var _ = Describe("a response", func() {
	modes := []cutMode{
		{},
		{reused: true, bytewise: true},
		{reset: true, bytewise: true},
		{reset: true, reused: true},
		{upload: true},
		{reset: true, upload: true, reused: true},
		{upload: true, unread: true},
		{reset: true, upload: true, unread: true},
	}
	for _, t := range cutCases {
		expand := strings.NewReplacer("ID", "cut").Replace
		head, body := expand(t.head), expand(t.body)
		for _, m := range modes {
			if m.upload && t.method != http.MethodPost {
				continue
			}
			// Guards against a cut head that is taken for a whole one, for
			// example without its length, and against a cut body that ends like
			// a whole one.
			It(fmt.Sprintf("%s is not believed when it is cut at any byte: %v", t.name, m), func() {
				f, c := newFakeUpstream(neverRespond), m.newClient()
				for cut := range len(head + body) {
					sent := (head + body)[:cut]
					expectCut(t.sendVia(m.respond(sent), m, c, f), sent, len(head))
				}
				Eventually(f.openConns).Should(BeZero())
			})
		}

		// Shows that nothing but the cut makes the responses above fail.
		It(t.name+" is believed when it is whole", func() {
			m := cutMode{reused: true}
			res := t.sendVia(m.respond(head+body), m, m.newClient(), newFakeUpstream(neverRespond))
			Expect([]any{res.Result, res.err, res.bodyErr}).To(Equal([]any{t.want, nil, nil}))
		})
	}
})

// watchedConn closes failed once a write has failed.
type watchedConn struct {
	net.Conn
	failed chan struct{}
}

func (c watchedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		close(c.failed)
	}
	return n, err
}

// gatedBody is a request body of which all but the first bytes are available
// only once gate is closed.
type gatedBody struct {
	first, rest io.Reader
	gate        chan struct{}
}

func (b *gatedBody) Read(p []byte) (int, error) {
	if n, err := b.first.Read(p); err == nil {
		return n, nil
	}
	<-b.gate
	return b.rest.Read(p)
}

var _ = Describe("a body that ends with its connection, before the request has been sent", func() {
	const early = "HTTP/1.1 200 OK\r\n\r\nhi"
	var failed chan struct{}
	// receive sends a request of size bytes, of which all but the first are sent
	// only once the upstream has responded and called end.
	receive := func(size int64, end func(c *net.TCPConn)) upstream.Response {
		GinkgoHelper()
		gate := make(chan struct{})
		f := newFakeUpstream(func(c serverConn, _ *http.Request) bool {
			_, _ = io.WriteString(c, early)
			end(c.Conn.(*net.TCPConn))
			close(gate)
			_, _ = io.Copy(io.Discard, c.r)
			return false
		})
		failed = make(chan struct{})
		c := upstream.NewClient(func(ctx context.Context, addr string) (net.Conn, error) {
			nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			return watchedConn{nc, failed}, err
		}, newFakeClock())
		DeferCleanup(func() { c.Close() })
		c.SetDialect(anonymousDialect{}, time.Hour)
		const first = 8 << 10
		a := newAttempt(long)
		a.BodyLen = size
		a.Body = &gatedBody{first: io.LimitReader(zeros{}, first), rest: io.LimitReader(zeros{}, size-first), gate: gate}
		resp, err := c.Do(context.Background(), f.addr(), a)
		Expect(err).NotTo(HaveOccurred())
		return resp
	}

	// Guards against a response that was cut by a reset and looks whole, because
	// the system reports the reset to the writer of the request only.
	DescribeTable("is not believed after a reset",
		func(size int64) {
			resp := receive(size, func(c *net.TCPConn) {
				_ = c.SetLinger(0)
				_ = c.Close()
			})
			Eventually(failed).Should(BeClosed())
			_, err := io.ReadAll(resp.Body)
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		},
		Entry("in a request that is written before the response is read", int64(40<<10)),
		Entry("in a request that is written while the response is read", int64(200<<10)),
	)

	It("is believed if the upstream goes on reading", func() {
		resp := receive(64<<20, func(c *net.TCPConn) { _ = c.CloseWrite() })
		data, err := io.ReadAll(resp.Body)
		Expect([]any{string(data), err}).To(Equal([]any{"hi", nil}))
	})
})

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
