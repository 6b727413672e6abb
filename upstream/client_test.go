package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/upstream"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstream")
}

// long is a deadline that no test waits for; short is one that passes.
const (
	long  = 20 * time.Second
	short = 60 * time.Millisecond
)

type clock struct{ at atomic.Int64 }

func newClock() *clock {
	c := &clock{}
	c.at.Store(time.Now().UnixNano())
	return c
}

func (c *clock) Now() time.Time          { return time.Unix(0, c.at.Load()) }
func (c *clock) advance(d time.Duration) { c.at.Add(int64(d)) }

// peerConn is a connection at the fake upstream.
type peerConn struct {
	net.Conn
	r *bufio.Reader
}

// script answers one request with bytes of its choice; it returns false to close the connection.
type script func(c peerConn, r *http.Request) bool

// fake is an upstream whose bytes the test controls. It counts connections and requests.
type fake struct {
	l        net.Listener
	script   atomic.Pointer[script]
	requests atomic.Int64
	accepted atomic.Int64
	closed   atomic.Int64
	mu       sync.Mutex
	conns    []net.Conn
}

func newFake(s script) *fake {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f := &fake{l: l}
	f.use(s)
	DeferCleanup(func() { l.Close(); f.cut() })
	go f.run()
	return f
}

func (f *fake) use(s script)  { f.script.Store(&s) }
func (f *fake) addr() string  { return f.l.Addr().String() }
func (f *fake) open() int64   { return f.accepted.Load() - f.closed.Load() }
func (f *fake) seen() []int64 { return []int64{f.requests.Load(), f.accepted.Load()} }

// cut closes all connections from the upstream's side.
func (f *fake) cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		c.Close()
	}
}

func (f *fake) run() {
	for {
		c, err := f.l.Accept()
		if err != nil {
			return
		}
		f.accepted.Add(1)
		f.mu.Lock()
		f.conns = append(f.conns, c)
		f.mu.Unlock()
		go f.loop(peerConn{c, bufio.NewReader(c)})
	}
}

func (f *fake) loop(c peerConn) {
	defer f.closed.Add(1)
	defer c.Close()
	for {
		r, err := http.ReadRequest(c.r)
		if err != nil {
			return
		}
		f.requests.Add(1)
		if !(*f.script.Load())(c, r) {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// raw answers with text in which ID stands for the attempt's id. It keeps the connection.
func raw(text string) script {
	return func(c peerConn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get(upstream.HeaderRequest)))
		return true
	}
}

func thenClose(s script) script {
	return func(c peerConn, r *http.Request) bool { s(c, r); return false }
}

// silent reads on without an answer.
func silent(c peerConn, _ *http.Request) bool {
	_, _ = io.Copy(io.Discard, c.r)
	return false
}

const (
	echo = "Azurestair-Request: ID\r\n"
	ok   = "HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 2\r\n\r\nhi"
	shed = "HTTP/1.1 503 No\r\n" + echo + "Azurestair-Not-Run: ID\r\nContent-Length: 0\r\n\r\n"
)

func attempt(d time.Duration) upstream.Attempt {
	return upstream.Attempt{
		ID: azurestair.RequestID(fmt.Sprintf("a-%d", ids.Add(1))), Method: http.MethodPost, Path: "/pay", Deadline: time.Now().Add(d),
		Body: strings.NewReader("12345"), BodyLen: 5,
	}
}

var ids atomic.Int64

// outcome is what an attempt came to, with its body read to the end.
type outcome struct {
	upstream.Answer
	err, bodyErr error
	body         string
}

func send(ctx context.Context, c *upstream.Client, addr string, a upstream.Attempt) outcome {
	ans, err := c.Do(ctx, addr, a)
	o := outcome{Answer: ans, err: err}
	if ans.Body != nil {
		data, err := io.ReadAll(ans.Body)
		o.body, o.bodyErr = string(data), err
		ans.Body.Close()
	}
	return o
}

func expectResult(o outcome, r azurestair.AttemptResult, reason azurestair.Reason) {
	GinkgoHelper()
	Expect([]any{o.Result.String(), o.Reason}).To(Equal([]any{r.String(), reason}), "error: %v", o.err)
}

func expectDone(o outcome) {
	GinkgoHelper()
	expectResult(o, azurestair.AttemptDone, "")
	Expect(o.err).NotTo(HaveOccurred())
	Expect(o.bodyErr).NotTo(HaveOccurred())
}

var _ = Describe("attempts", func() {
	var (
		clk *clock
		c   *upstream.Client
		ctx = context.Background()
	)
	BeforeEach(func() {
		clk = newClock()
		c = upstream.NewClient(nil, clk)
		DeferCleanup(func() { c.Close() })
	})

	// Guards against a wrong proof of "not run", against answers of another
	// request or cut answers taken for whole ones, and against replays: each
	// attempt reaches the upstream at most once.
	DescribeTable("are classified by what the upstream's bytes prove",
		func(s script, d time.Duration, r azurestair.AttemptResult, reason azurestair.Reason, whole bool) {
			f := newFake(s)
			o := send(ctx, c, f.addr(), attempt(d))
			expectResult(o, r, reason)
			Expect(o.bodyErr == nil).To(Equal(whole), "body error: %v", o.bodyErr)
			Expect(f.requests.Load()).To(BeEquivalentTo(1))
		},
		Entry("whole", raw(ok), long, azurestair.AttemptDone, azurestair.ReasonNone, true),
		Entry("closed after the request", script(func(peerConn, *http.Request) bool { return false }), long,
			azurestair.AttemptBroken, azurestair.ReasonBroken, true),
		Entry("shed with the attempt's id", raw(shed), long, azurestair.AttemptNotRun, azurestair.ReasonShed, true),
		Entry("shed and closed", thenClose(raw(shed)), long, azurestair.AttemptNotRun, azurestair.ReasonShed, true),
		Entry("503 that does not say not run", raw("HTTP/1.1 503 No\r\n"+echo+"Content-Length: 0\r\n\r\n"), long,
			azurestair.AttemptDone, azurestair.ReasonNone, true),
		Entry("503 with another id", raw("HTTP/1.1 503 No\r\n"+echo+"Azurestair-Not-Run: a-0\r\nContent-Length: 0\r\n\r\n"), long,
			azurestair.AttemptDone, azurestair.ReasonNone, true),
		Entry("200 that says not run", raw("HTTP/1.1 200 OK\r\n"+echo+"Azurestair-Not-Run: ID\r\nContent-Length: 0\r\n\r\n"), long,
			azurestair.AttemptDone, azurestair.ReasonNone, true),
		Entry("silence", script(silent), short, azurestair.AttemptTimeout, azurestair.ReasonTimeout, true),
		Entry("half a head", raw("HTTP/1.1 200 OK\r\nAzurestair-"), short, azurestair.AttemptTimeout, azurestair.ReasonTimeout, true),
		Entry("stalled body", raw("HTTP/1.1 200 OK\r\n"+echo+"Content-Length: 9\r\n\r\nhi"), short,
			azurestair.AttemptDone, azurestair.ReasonNone, false),
		Entry("cut body with a length", thenClose(raw("HTTP/1.1 200 OK\r\n"+echo+"Content-Length: 9\r\n\r\nhi")), long,
			azurestair.AttemptDone, azurestair.ReasonNone, false),
		Entry("cut chunks", thenClose(raw("HTTP/1.1 200 OK\r\n"+echo+"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n")), long,
			azurestair.AttemptDone, azurestair.ReasonNone, false),
		Entry("whole chunks", raw("HTTP/1.1 200 OK\r\n"+echo+"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"), long,
			azurestair.AttemptDone, azurestair.ReasonNone, true),
		Entry("no echo", raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"), long, azurestair.AttemptBroken, azurestair.ReasonBroken, true),
		Entry("echo of another attempt", raw("HTTP/1.1 200 OK\r\nAzurestair-Request: a-0\r\nContent-Length: 2\r\n\r\nhi"), long,
			azurestair.AttemptBroken, azurestair.ReasonBroken, true),
		Entry("shed for another attempt", raw("HTTP/1.1 503 No\r\nAzurestair-Request: a-0\r\nAzurestair-Not-Run: ID\r\nContent-Length: 0\r\n\r\n"), long,
			azurestair.AttemptBroken, azurestair.ReasonBroken, true),
		Entry("neither length nor chunks", thenClose(raw("HTTP/1.1 200 OK\r\n"+echo+"\r\nhi")), long,
			azurestair.AttemptBroken, azurestair.ReasonBroken, true),
		Entry("not HTTP", raw("SSH-2.0\r\n\r\n"), long, azurestair.AttemptBroken, azurestair.ReasonBroken, true),
		Entry("interim answers", raw("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+ok), long,
			azurestair.AttemptDone, azurestair.ReasonNone, true),
		Entry("head beyond 64 KiB", raw("HTTP/1.1 200 OK\r\n"+echo+"X: "+strings.Repeat("x", 80<<10)+"\r\nContent-Length: 0\r\n\r\n"), long,
			azurestair.AttemptBroken, azurestair.ReasonBroken, true),
	)

	It("are not run when the connection is refused", func() {
		f := newFake(raw(ok))
		f.l.Close()
		expectResult(send(ctx, c, f.addr(), attempt(long)), azurestair.AttemptNotRun, azurestair.ReasonConnect)
	})

	// Guards against a claim that is sent after its deadline.
	It("are not run when the last check before the first byte fails", func() {
		f := newFake(raw(ok))
		a := attempt(long)
		a.BeforeSend = func() error { return azurestair.ErrDeadline }
		o := send(ctx, c, f.addr(), a)
		expectResult(o, azurestair.AttemptNotRun, azurestair.ReasonDeadline)
		Expect(o.err).To(MatchError(azurestair.ErrDeadline))
		expectDone(send(ctx, c, f.addr(), attempt(long)))
		Expect(f.seen()).To(Equal([]int64{1, 1}))
	})

	// Guards against a HEAD answer that is rejected for lack of a body.
	// Guards against upstreams that drop a request as late, or work on one that
	// is, because their clock and the entry's differ.
	It("say what is left of their time, whatever the time of day", func() {
		left := make(chan string, 1)
		f := newFake(func(c peerConn, r *http.Request) bool {
			left <- r.Header.Get(upstream.HeaderTimeLeft)
			return raw(ok)(c, r)
		})
		clk.advance(time.Hour)
		a := attempt(long)
		a.Deadline = clk.Now().Add(long)
		expectDone(send(ctx, c, f.addr(), a))
		Expect(<-left).To(Equal("20000"))
	})

	It("take a HEAD answer without a length", func() {
		f := newFake(thenClose(raw("HTTP/1.1 200 OK\r\n" + echo + "Connection: close\r\n\r\n")))
		a := attempt(long)
		a.Method, a.Body, a.BodyLen = http.MethodHead, nil, 0
		expectDone(send(ctx, c, f.addr(), a))
	})
})

// slowBody is the body of a caller that has sent a part and then fails or waits.
type slowBody struct {
	parts int
	end   func() error
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.parts > 0 {
		b.parts--
		return len(p), nil
	}
	return 0, b.end()
}

var _ = Describe("long requests", func() {
	var (
		clk *clock
		c   *upstream.Client
		ctx = context.Background()
	)
	BeforeEach(func() {
		clk = newClock()
		c = upstream.NewClient(nil, clk)
		DeferCleanup(func() { c.Close() })
	})
	upload := func(b io.Reader, d time.Duration) upstream.Attempt {
		a := attempt(d)
		a.Body, a.BodyLen = b, 1<<30
		return a
	}
	forever := func() error { select {} }

	// Guards against an early answer that is lost, or found only at the
	// deadline, because the rest of the request cannot be written.
	It("get an answer that comes before the end of the request", func() {
		f := newFake(func(c peerConn, r *http.Request) bool {
			_, _ = io.WriteString(c, strings.ReplaceAll(ok, "ID", r.Header.Get(upstream.HeaderRequest)))
			select {} // The rest is never read.
		})
		o := send(ctx, c, f.addr(), upload(&slowBody{parts: 1 << 20}, long))
		expectDone(o)
		f.use(raw(ok))
		expectDone(send(ctx, c, f.addr(), attempt(long)))
		Expect(f.accepted.Load()).To(BeEquivalentTo(2), "a connection with an unfinished request must not be reused")
	})

	// Guards against a caller that sends slowly and so holds the attempt past its deadline.
	It("end at the deadline while the caller's body stalls", func() {
		f := newFake(silent)
		o := send(ctx, c, f.addr(), upload(&slowBody{parts: 4, end: forever}, short))
		expectResult(o, azurestair.AttemptBroken, azurestair.ReasonBroken)
		Expect(o.err).To(MatchError(upstream.ErrRequestBody))
		Eventually(f.open).Should(BeZero())
	})

	// Guards against waiting for an answer to a request that the caller has broken off.
	It("end at once when the caller's body breaks off", func() {
		f := newFake(silent)
		broken := errors.New("caller has gone")
		o := send(ctx, c, f.addr(), upload(&slowBody{parts: 4, end: func() error { return broken }}, long))
		expectResult(o, azurestair.AttemptBroken, azurestair.ReasonBroken)
		Expect(o.err).To(MatchError(upstream.ErrRequestBody))
		Eventually(f.open).Should(BeZero())
	})

	// Guards against bytes of one request in another: both are written through buffers that are used again.
	It("leave nothing of a broken request to the next one", func() {
		f := newFake(raw(ok))
		for range 10 {
			a := attempt(long)
			a.Body, a.BodyLen = io.MultiReader(strings.NewReader("part"), iotest.ErrReader(errors.New("caller has gone"))), 9
			Expect(send(ctx, c, f.addr(), a).err).To(MatchError(upstream.ErrRequestBody))
			expectDone(send(ctx, c, f.addr(), attempt(long)))
		}
	})
})

var _ = Describe("connections", func() {
	var (
		clk *clock
		c   *upstream.Client
		ctx = context.Background()
	)
	BeforeEach(func() {
		clk = newClock()
		c = upstream.NewClient(nil, clk)
		DeferCleanup(func() { c.Close() })
	})
	// warm opens n connections at once and leaves them idle.
	warm := func(f *fake, n int) {
		GinkgoHelper()
		var bodies []io.Closer
		for range n {
			ans, err := c.Do(ctx, f.addr(), attempt(long))
			Expect(err).NotTo(HaveOccurred())
			bodies = append(bodies, &readCloser{ans.Body})
		}
		for _, b := range bodies {
			Expect(b.Close()).To(Succeed())
		}
		Expect(f.open()).To(BeEquivalentTo(n))
	}

	It("are reused after a whole answer", func() {
		f := newFake(raw(ok))
		warm(f, 1)
		o := send(ctx, c, f.addr(), attempt(long))
		expectDone(o)
		Expect(o.Reused).To(BeTrue())
		Expect(f.accepted.Load()).To(BeEquivalentTo(1))
	})

	// Guards against two answers that mix on one connection.
	It("are not shared by two attempts", func() {
		f := newFake(raw(ok))
		warm(f, 3)
		Expect(f.accepted.Load()).To(BeEquivalentTo(3))
	})

	// Guards against the rest of one answer being taken for the next.
	It("are not reused after a part of an answer", func() {
		f := newFake(raw(ok))
		ans, err := c.Do(ctx, f.addr(), attempt(long))
		Expect(err).NotTo(HaveOccurred())
		_, _ = ans.Body.Read(make([]byte, 1))
		ans.Body.Close()
		Eventually(f.open).Should(BeZero())
		expectDone(send(ctx, c, f.addr(), attempt(long)))
		Expect(f.accepted.Load()).To(BeEquivalentTo(2))
	})

	// Guards against an answer that nobody asked for.
	It("are not reused with bytes left over", func() {
		f := newFake(raw(ok + "HTTP/1.1 200 OK\r\n"))
		expectDone(send(ctx, c, f.addr(), attempt(long)))
		expectDone(send(ctx, c, f.addr(), attempt(long)))
		Expect(f.accepted.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a payment that ends as unknown because its connection had
	// been closed while it was idle.
	It("are not used once the upstream has closed them", func() {
		f := newFake(raw(ok))
		warm(f, 3)
		f.cut()
		Eventually(f.open).Should(BeZero())
		for range 3 {
			expectDone(send(ctx, c, f.addr(), attempt(long)))
		}
	})

	It("carry a request that is not idempotent only when they answered lately", func() {
		f := newFake(raw(ok))
		warm(f, 1)
		clk.advance(time.Second)
		a := attempt(long)
		a.Idempotent = true
		Expect(send(ctx, c, f.addr(), a).Reused).To(BeTrue())
		clk.advance(time.Second)
		Expect(send(ctx, c, f.addr(), attempt(long)).Reused).To(BeFalse())
	})

	// Guards against more connections than the upstream allows, and against
	// idle ones that use up the limit when a fresh one is needed.
	It("stay within their limit", func() {
		f := newFake(raw(ok))
		c.SetLimit(f.addr(), 2)
		warm(f, 2)
		fresh := attempt(long)
		fresh.Fresh = true
		first, err := c.Do(ctx, f.addr(), fresh)
		Expect(err).NotTo(HaveOccurred())
		second, err := c.Do(ctx, f.addr(), fresh)
		Expect(err).NotTo(HaveOccurred())
		o := send(ctx, c, f.addr(), attempt(long))
		expectResult(o, azurestair.AttemptNotRun, azurestair.ReasonConnect)
		Expect(o.err).To(MatchError(azurestair.ErrFull))
		Eventually(f.open).Should(BeEquivalentTo(2))
		first.Body.Close()
		second.Body.Close()
		expectDone(send(ctx, c, f.addr(), attempt(long)))
	})

	// Guards against one stalled connection after the other costing a deadline each.
	It("of the same age are retired when one goes silent", func() {
		f := newFake(raw(ok))
		warm(f, 3)
		f.use(silent)
		clk.advance(time.Millisecond)
		o := send(ctx, c, f.addr(), attempt(short))
		expectResult(o, azurestair.AttemptTimeout, azurestair.ReasonTimeout)
		Expect([]bool{o.Reused, o.Silent}).To(Equal([]bool{true, true}))
		f.use(raw(ok))
		o = send(ctx, c, f.addr(), attempt(long))
		expectDone(o)
		Expect(o.Reused).To(BeFalse())
		Eventually(f.open).Should(BeEquivalentTo(1))
	})

	// Guards against all but the first of the attempts on silent connections
	// needing the retry budget, which is too small for them.
	It("that are new and answer say nothing for the silent ones", func() {
		f := newFake(raw(ok))
		warm(f, 2)
		f.use(func(c peerConn, r *http.Request) bool {
			if r.URL.Path == "/new" {
				return raw(ok)(c, r)
			}
			return silent(c, r)
		})
		clk.advance(time.Millisecond)
		newer := attempt(long)
		newer.Fresh, newer.Path = true, "/new"
		stalled := attempt(short)
		stalled.BeforeSend = func() error {
			clk.advance(time.Millisecond)
			expectDone(send(ctx, c, f.addr(), newer))
			return nil
		}
		o := send(ctx, c, f.addr(), stalled)
		expectResult(o, azurestair.AttemptTimeout, azurestair.ReasonTimeout)
		Expect([]bool{o.Reused, o.Silent}).To(Equal([]bool{true, true}))
	})

	// Guards against callers that hang up and thereby cost the others their connections.
	It("are kept when a caller ends an attempt on one of them", func() {
		f := newFake(raw(ok))
		warm(f, 3)
		started := make(chan struct{})
		f.use(func(c peerConn, r *http.Request) bool {
			close(started)
			return silent(c, r)
		})
		gone, cancel := context.WithCancel(ctx)
		clk.advance(time.Millisecond)
		go func() { <-started; cancel() }()
		o := send(gone, c, f.addr(), attempt(long))
		expectResult(o, azurestair.AttemptTimeout, azurestair.ReasonTimeout)
		Expect(o.Silent).To(BeFalse())
		f.use(raw(ok))
		Expect(send(ctx, c, f.addr(), attempt(long)).Reused).To(BeTrue())
		Eventually(f.open).Should(BeEquivalentTo(2))
	})

	// Guards against connections that outlive their upstream's entry in the registry.
	It("are closed when their upstream is no longer listed", func() {
		f := newFake(raw(ok))
		warm(f, 2)
		ans, err := c.Do(ctx, f.addr(), attempt(long))
		Expect(err).NotTo(HaveOccurred())
		c.Retain(nil)
		_, _ = io.Copy(io.Discard, ans.Body)
		ans.Body.Close()
		Eventually(f.open).Should(BeZero())
	})
})

// readCloser reads to the end before it closes.
type readCloser struct{ io.ReadCloser }

func (r *readCloser) Close() error {
	_, err := io.Copy(io.Discard, r.ReadCloser)
	return errors.Join(err, r.ReadCloser.Close())
}
