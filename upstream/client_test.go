package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
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

// long is a timeout that no test reaches; short is one that expires.
const (
	long  = 20 * time.Second
	short = 60 * time.Millisecond
)

type fakeClock struct{ nanos atomic.Int64 }

func newFakeClock() *fakeClock {
	c := &fakeClock{}
	c.nanos.Store(time.Now().UnixNano())
	return c
}

func (c *fakeClock) Now() time.Time          { return time.Unix(0, c.nanos.Load()) }
func (c *fakeClock) advance(d time.Duration) { c.nanos.Add(int64(d)) }

// serverConn is the server side of a connection to the fake upstream.
type serverConn struct {
	net.Conn
	r *bufio.Reader
}

// handlerFunc responds to one request with arbitrary bytes. It returns false to
// close the connection.
type handlerFunc func(c serverConn, r *http.Request) bool

// fakeUpstream is an upstream whose response bytes the test controls. It counts
// connections and requests.
type fakeUpstream struct {
	l        net.Listener
	handler  atomic.Pointer[handlerFunc]
	requests atomic.Int64
	accepted atomic.Int64
	closed   atomic.Int64
	mu       sync.Mutex
	conns    []net.Conn
}

func newFakeUpstream(h handlerFunc) *fakeUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f := &fakeUpstream{l: l}
	f.setHandler(h)
	DeferCleanup(func() { l.Close(); f.closeConns() })
	go f.run()
	return f
}

func (f *fakeUpstream) setHandler(h handlerFunc) { f.handler.Store(&h) }
func (f *fakeUpstream) addr() string             { return f.l.Addr().String() }
func (f *fakeUpstream) openConns() int64         { return f.accepted.Load() - f.closed.Load() }
func (f *fakeUpstream) counts() []int64          { return []int64{f.requests.Load(), f.accepted.Load()} }

// closeConns closes all connections on the server side.
func (f *fakeUpstream) closeConns() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		c.Close()
	}
}

func (f *fakeUpstream) run() {
	for {
		c, err := f.l.Accept()
		if err != nil {
			return
		}
		f.accepted.Add(1)
		f.mu.Lock()
		f.conns = append(f.conns, c)
		f.mu.Unlock()
		go f.loop(serverConn{c, bufio.NewReader(c)})
	}
}

func (f *fakeUpstream) loop(c serverConn) {
	defer f.closed.Add(1)
	defer c.Close()
	for {
		r, err := http.ReadRequest(c.r)
		if err != nil {
			return
		}
		f.requests.Add(1)
		if !(*f.handler.Load())(c, r) {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// rawResponse responds with text, with "ID" replaced by the attempt's ID, and
// keeps the connection open.
func rawResponse(text string) handlerFunc {
	return func(c serverConn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get(upstream.HeaderAttemptID)))
		return true
	}
}

func thenClose(h handlerFunc) handlerFunc {
	return func(c serverConn, r *http.Request) bool { h(c, r); return false }
}

// neverRespond reads the request and sends nothing.
func neverRespond(c serverConn, _ *http.Request) bool {
	_, _ = io.Copy(io.Discard, c.r)
	return false
}

const (
	requestIDHeader = "Azurestair-Request: ID\r\n"
	okResponse      = "HTTP/1.1 200 OK\r\n" + requestIDHeader + "Content-Length: 2\r\n\r\nhi"
	shedResponse    = "HTTP/1.1 503 No\r\n" + requestIDHeader + "Azurestair-Not-Run: ID\r\nContent-Length: 0\r\n\r\n"
)

func newAttempt(d time.Duration) upstream.Attempt {
	return upstream.Attempt{
		ID: azurestair.RequestID(fmt.Sprintf("a-%d", attemptSeq.Add(1))), Method: http.MethodPost, Path: "/pay", Deadline: time.Now().Add(d),
		Body: strings.NewReader("12345"), BodyLen: 5,
	}
}

var attemptSeq atomic.Int64

// result is the result of an attempt whose body has been read to the end.
type result struct {
	upstream.Response
	err, bodyErr error
	body         string
}

func send(ctx context.Context, c *upstream.Client, addr string, a upstream.Attempt) result {
	resp, err := c.Do(ctx, addr, a)
	res := result{Response: resp, err: err}
	if resp.Body != nil {
		data, err := io.ReadAll(resp.Body)
		res.body, res.bodyErr = string(data), err
		resp.Body.Close()
	}
	return res
}

func expectResult(res result, wantResult azurestair.AttemptResult, wantReason azurestair.Reason) {
	GinkgoHelper()
	Expect([]any{res.Result.String(), res.Reason}).To(Equal([]any{wantResult.String(), wantReason}), "error: %v", res.err)
}

func expectDone(res result) {
	GinkgoHelper()
	expectResult(res, azurestair.AttemptDone, "")
	Expect(res.err).NotTo(HaveOccurred())
	Expect(res.bodyErr).NotTo(HaveOccurred())
}

var _ = Describe("attempts", func() {
	var (
		clk *fakeClock
		c   *upstream.Client
		ctx = context.Background()
	)
	BeforeEach(func() {
		clk = newFakeClock()
		c = upstream.NewClient(nil, clk)
		DeferCleanup(func() { c.Close() })
	})

	// Guards against a process that has started again and is taken for the one
	// before: only a lost connection, and the age of the next one, tell them
	// apart.
	DescribeTable("tell whether the connection was lost", func(h handlerFunc, lost, responded bool) {
		f := newFakeUpstream(h)
		connectedAt := clk.Now()
		res := send(ctx, c, f.addr(), newAttempt(short))
		Expect(res.ConnLost).To(Equal(lost))
		Expect(res.ConnectedAt.IsZero()).To(Equal(!responded))
		if responded {
			Expect(res.ConnectedAt).To(Equal(connectedAt))
		}
	},
		Entry("closed after the request", handlerFunc(func(serverConn, *http.Request) bool { return false }), true, false),
		Entry("closed within the head", thenClose(rawResponse("HTTP/1.1 200 OK\r\nAzurestair-")), true, false),
		Entry("closed within the body", thenClose(rawResponse("HTTP/1.1 200 OK\r\n"+requestIDHeader+"Content-Length: 9\r\n\r\nhi")), false, true),
		Entry("complete response", rawResponse(okResponse), false, true),
		Entry("refusal", rawResponse(shedResponse), false, true),
		Entry("no response", handlerFunc(neverRespond), false, false),
		Entry("not HTTP", rawResponse("SSH-2.0\r\n\r\n"), false, false),
	)

	// Guards against an attempt wrongly classified as not run, against
	// responses that belong to another request or are truncated but taken as
	// complete, and against replays: each attempt reaches the upstream at most
	// once.
	DescribeTable("are classified by what the upstream's bytes prove",
		func(h handlerFunc, d time.Duration, r azurestair.AttemptResult, reason azurestair.Reason, complete bool) {
			f := newFakeUpstream(h)
			res := send(ctx, c, f.addr(), newAttempt(d))
			expectResult(res, r, reason)
			Expect(res.bodyErr == nil).To(Equal(complete), "body error: %v", res.bodyErr)
			Expect(f.requests.Load()).To(BeEquivalentTo(1))
		},
		Entry("complete response", rawResponse(okResponse), long, azurestair.AttemptDone, azurestair.ReasonNone, true),
		Entry("closed after the request", handlerFunc(func(serverConn, *http.Request) bool { return false }), long,
			azurestair.AttemptInterrupted, azurestair.ReasonBroken, true),
		Entry("shed with the attempt's id", rawResponse(shedResponse), long, azurestair.AttemptNotRun, azurestair.ReasonShed, true),
		Entry("shed and closed", thenClose(rawResponse(shedResponse)), long, azurestair.AttemptNotRun, azurestair.ReasonShed, true),
		Entry("503 that does not say not run", rawResponse("HTTP/1.1 503 No\r\n"+requestIDHeader+"Content-Length: 0\r\n\r\n"), long,
			azurestair.AttemptDone, azurestair.ReasonNone, true),
		Entry("503 with another id", rawResponse("HTTP/1.1 503 No\r\n"+requestIDHeader+"Azurestair-Not-Run: a-0\r\nContent-Length: 0\r\n\r\n"), long,
			azurestair.AttemptDone, azurestair.ReasonNone, true),
		Entry("200 that says not run", rawResponse("HTTP/1.1 200 OK\r\n"+requestIDHeader+"Azurestair-Not-Run: ID\r\nContent-Length: 0\r\n\r\n"), long,
			azurestair.AttemptDone, azurestair.ReasonNone, true),
		Entry("no response", handlerFunc(neverRespond), short, azurestair.AttemptTimeout, azurestair.ReasonTimeout, true),
		Entry("half a response head", rawResponse("HTTP/1.1 200 OK\r\nAzurestair-"), short, azurestair.AttemptTimeout, azurestair.ReasonTimeout, true),
		Entry("stalled body", rawResponse("HTTP/1.1 200 OK\r\n"+requestIDHeader+"Content-Length: 9\r\n\r\nhi"), short,
			azurestair.AttemptDone, azurestair.ReasonNone, false),
		Entry("truncated body with a length", thenClose(rawResponse("HTTP/1.1 200 OK\r\n"+requestIDHeader+"Content-Length: 9\r\n\r\nhi")), long,
			azurestair.AttemptDone, azurestair.ReasonNone, false),
		Entry("truncated chunks", thenClose(rawResponse("HTTP/1.1 200 OK\r\n"+requestIDHeader+"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n")), long,
			azurestair.AttemptDone, azurestair.ReasonNone, false),
		Entry("complete chunks", rawResponse("HTTP/1.1 200 OK\r\n"+requestIDHeader+"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"), long,
			azurestair.AttemptDone, azurestair.ReasonNone, true),
		Entry("no echo", rawResponse("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"), long, azurestair.AttemptInterrupted, azurestair.ReasonBroken, true),
		Entry("echo of another attempt", rawResponse("HTTP/1.1 200 OK\r\nAzurestair-Request: a-0\r\nContent-Length: 2\r\n\r\nhi"), long,
			azurestair.AttemptInterrupted, azurestair.ReasonBroken, true),
		Entry("shed for another attempt", rawResponse("HTTP/1.1 503 No\r\nAzurestair-Request: a-0\r\nAzurestair-Not-Run: ID\r\nContent-Length: 0\r\n\r\n"), long,
			azurestair.AttemptInterrupted, azurestair.ReasonBroken, true),
		Entry("neither length nor chunks", thenClose(rawResponse("HTTP/1.1 200 OK\r\n"+requestIDHeader+"\r\nhi")), long,
			azurestair.AttemptInterrupted, azurestair.ReasonBroken, true),
		Entry("not HTTP", rawResponse("SSH-2.0\r\n\r\n"), long, azurestair.AttemptInterrupted, azurestair.ReasonBroken, true),
		Entry("interim responses", rawResponse("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+okResponse), long,
			azurestair.AttemptDone, azurestair.ReasonNone, true),
		Entry("head beyond 64 KiB", rawResponse("HTTP/1.1 200 OK\r\n"+requestIDHeader+"X: "+strings.Repeat("x", 80<<10)+"\r\nContent-Length: 0\r\n\r\n"), long,
			azurestair.AttemptInterrupted, azurestair.ReasonBroken, true),
	)

	It("are not run when the connection is refused", func() {
		f := newFakeUpstream(rawResponse(okResponse))
		f.l.Close()
		expectResult(send(ctx, c, f.addr(), newAttempt(long)), azurestair.AttemptNotRun, azurestair.ReasonConnect)
	})

	// Guards against sending a claimed request after its deadline.
	It("are not run when the last check before the first byte fails", func() {
		f := newFakeUpstream(rawResponse(okResponse))
		a := newAttempt(long)
		a.BeforeSend = func() error { return azurestair.ErrDeadline }
		res := send(ctx, c, f.addr(), a)
		expectResult(res, azurestair.AttemptNotRun, azurestair.ReasonDeadline)
		Expect(res.err).To(MatchError(azurestair.ErrDeadline))
		expectDone(send(ctx, c, f.addr(), newAttempt(long)))
		Expect(f.counts()).To(Equal([]int64{1, 1}))
	})

	// Guards against upstreams that drop a request before its deadline, or run
	// it after its deadline, because their clock differs from the entry's.
	It("send the time left, independently of the clock", func() {
		left := make(chan string, 1)
		f := newFakeUpstream(func(c serverConn, r *http.Request) bool {
			left <- r.Header.Get(upstream.HeaderTimeLeft)
			return rawResponse(okResponse)(c, r)
		})
		clk.advance(time.Hour)
		a := newAttempt(long)
		a.Deadline = clk.Now().Add(long)
		expectDone(send(ctx, c, f.addr(), a))
		Expect(<-left).To(Equal("20000"))
	})

	// Guards against rejecting a HEAD response because it has no body.
	It("accept a response to HEAD without a length", func() {
		f := newFakeUpstream(thenClose(rawResponse("HTTP/1.1 200 OK\r\n" + requestIDHeader + "Connection: close\r\n\r\n")))
		a := newAttempt(long)
		a.Method, a.Body, a.BodyLen = http.MethodHead, nil, 0
		expectDone(send(ctx, c, f.addr(), a))
	})
})

// partialBody is a request body that yields some parts and then fails or
// blocks.
type partialBody struct {
	parts int
	end   func() error
}

func (b *partialBody) Read(p []byte) (int, error) {
	if b.parts > 0 {
		b.parts--
		return len(p), nil
	}
	return 0, b.end()
}

var _ = Describe("long requests", func() {
	var (
		clk *fakeClock
		c   *upstream.Client
		ctx = context.Background()
	)
	BeforeEach(func() {
		clk = newFakeClock()
		c = upstream.NewClient(nil, clk)
		DeferCleanup(func() { c.Close() })
	})
	newUpload := func(b io.Reader, d time.Duration) upstream.Attempt {
		a := newAttempt(d)
		a.Body, a.BodyLen = b, 1<<30
		return a
	}
	blockForever := func() error { select {} }

	// Guards against losing an early response, or reading it only at the
	// deadline, because the rest of the request cannot be written.
	It("get a response that arrives before the request is sent completely", func() {
		f := newFakeUpstream(func(c serverConn, r *http.Request) bool {
			_, _ = io.WriteString(c, strings.ReplaceAll(okResponse, "ID", r.Header.Get(upstream.HeaderAttemptID)))
			select {} // The rest of the request is never read.
		})
		res := send(ctx, c, f.addr(), newUpload(&partialBody{parts: 1 << 20}, long))
		expectDone(res)
		f.setHandler(rawResponse(okResponse))
		expectDone(send(ctx, c, f.addr(), newAttempt(long)))
		Expect(f.accepted.Load()).To(BeEquivalentTo(2), "a connection with an unfinished request must not be reused")
	})

	// Guards against a slow caller that keeps the attempt running past its
	// deadline.
	It("end at the deadline while the caller's body stalls", func() {
		f := newFakeUpstream(neverRespond)
		res := send(ctx, c, f.addr(), newUpload(&partialBody{parts: 4, end: blockForever}, short))
		expectResult(res, azurestair.AttemptInterrupted, azurestair.ReasonBroken)
		Expect(res.err).To(MatchError(upstream.ErrRequestBody))
		Eventually(f.openConns).Should(BeZero())
	})

	// Guards against waiting for a response to a request that the caller has
	// aborted.
	It("end at once when the caller's body breaks off", func() {
		f := newFakeUpstream(neverRespond)
		errDisconnected := errors.New("caller disconnected")
		res := send(ctx, c, f.addr(), newUpload(&partialBody{parts: 4, end: func() error { return errDisconnected }}, long))
		expectResult(res, azurestair.AttemptInterrupted, azurestair.ReasonBroken)
		Expect(res.err).To(MatchError(upstream.ErrRequestBody))
		Eventually(f.openConns).Should(BeZero())
	})

	// Guards against an answer in progress that is broken off because the time for
	// the request body is over.
	DescribeTable("whose body breaks off after the answer has begun", func(bodyErr error, isKept bool) {
		broken, rest, result := make(chan struct{}), make(chan struct{}), make(chan string, 1)
		f := newFakeUpstream(func(c serverConn, r *http.Request) bool {
			head := "HTTP/1.1 200 OK\r\n" + requestIDHeader + "Content-Length: 4\r\n\r\nhi"
			_, _ = io.WriteString(c, strings.ReplaceAll(head, "ID", r.Header.Get(upstream.HeaderAttemptID)))
			<-rest
			_, _ = io.WriteString(c, "ho")
			return false
		})
		answered := make(chan struct{})
		resp, err := c.Do(ctx, f.addr(), newUpload(&partialBody{parts: 4, end: func() error {
			<-answered
			close(broken)
			return bodyErr
		}}, long))
		Expect(err).NotTo(HaveOccurred())
		close(answered)
		go func() {
			data, err := io.ReadAll(resp.Body)
			result <- fmt.Sprint(string(data), " ", err != nil)
		}()
		<-broken
		if isKept {
			Consistently(result, short).ShouldNot(Receive())
			close(rest)
			Eventually(result, long).Should(Receive(Equal("hiho false")))
		} else {
			Eventually(result, long).Should(Receive(Equal("hi true")))
			close(rest)
		}
		Expect(resp.Body.Close()).To(Succeed())
	},
		Entry("get the rest if the caller has stalled", os.ErrDeadlineExceeded, true),
		Entry("end if the caller has disconnected", errors.New("caller disconnected"), false),
	)

	// Guards against leaking bytes of one request into another through the
	// pooled write buffers.
	It("leave no bytes of an aborted request in the next one", func() {
		f := newFakeUpstream(rawResponse(okResponse))
		for range 10 {
			a := newAttempt(long)
			a.Body, a.BodyLen = io.MultiReader(strings.NewReader("part"), iotest.ErrReader(errors.New("caller disconnected"))), 9
			Expect(send(ctx, c, f.addr(), a).err).To(MatchError(upstream.ErrRequestBody))
			expectDone(send(ctx, c, f.addr(), newAttempt(long)))
		}
	})
})

var _ = Describe("connections", func() {
	var (
		clk *fakeClock
		c   *upstream.Client
		ctx = context.Background()
	)
	BeforeEach(func() {
		clk = newFakeClock()
		c = upstream.NewClient(nil, clk)
		DeferCleanup(func() { c.Close() })
	})
	// openIdle opens n concurrent connections and leaves them idle.
	openIdle := func(f *fakeUpstream, n int) {
		GinkgoHelper()
		var bodies []io.Closer
		for range n {
			resp, err := c.Do(ctx, f.addr(), newAttempt(long))
			Expect(err).NotTo(HaveOccurred())
			bodies = append(bodies, &drainingCloser{resp.Body})
		}
		for _, b := range bodies {
			Expect(b.Close()).To(Succeed())
		}
		Expect(f.openConns()).To(BeEquivalentTo(n))
	}

	It("are reused after a complete response", func() {
		f := newFakeUpstream(rawResponse(okResponse))
		openIdle(f, 1)
		res := send(ctx, c, f.addr(), newAttempt(long))
		expectDone(res)
		Expect(res.Reused).To(BeTrue())
		Expect(f.accepted.Load()).To(BeEquivalentTo(1))
	})

	// Guards against interleaving two responses on one connection.
	It("are not shared by two attempts", func() {
		f := newFakeUpstream(rawResponse(okResponse))
		openIdle(f, 3)
		Expect(f.accepted.Load()).To(BeEquivalentTo(3))
	})

	// Guards against reading the rest of one response as the next response.
	It("are not reused after a partly read response", func() {
		f := newFakeUpstream(rawResponse(okResponse))
		resp, err := c.Do(ctx, f.addr(), newAttempt(long))
		Expect(err).NotTo(HaveOccurred())
		_, _ = resp.Body.Read(make([]byte, 1))
		resp.Body.Close()
		Eventually(f.openConns).Should(BeZero())
		expectDone(send(ctx, c, f.addr(), newAttempt(long)))
		Expect(f.accepted.Load()).To(BeEquivalentTo(2))
	})

	// Guards against reading an unsolicited response as that of the next
	// attempt.
	It("are not reused with unread bytes left", func() {
		f := newFakeUpstream(rawResponse(okResponse + "HTTP/1.1 200 OK\r\n"))
		expectDone(send(ctx, c, f.addr(), newAttempt(long)))
		expectDone(send(ctx, c, f.addr(), newAttempt(long)))
		Expect(f.accepted.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a non-idempotent request whose outcome is unknown because
	// its connection had been closed while it was idle.
	It("are not used once the upstream has closed them", func() {
		f := newFakeUpstream(rawResponse(okResponse))
		openIdle(f, 3)
		f.closeConns()
		Eventually(f.openConns).Should(BeZero())
		for range 3 {
			expectDone(send(ctx, c, f.addr(), newAttempt(long)))
		}
	})

	It("carry a request that is not idempotent only when they delivered a response recently", func() {
		f := newFakeUpstream(rawResponse(okResponse))
		openIdle(f, 1)
		clk.advance(time.Second)
		a := newAttempt(long)
		a.Idempotent = true
		Expect(send(ctx, c, f.addr(), a).Reused).To(BeTrue())
		clk.advance(time.Second)
		Expect(send(ctx, c, f.addr(), newAttempt(long)).Reused).To(BeFalse())
	})

	// Guards against opening more connections than the upstream allows, and
	// against idle connections that use up the limit when a new one is needed.
	It("stay within their limit", func() {
		f := newFakeUpstream(rawResponse(okResponse))
		c.SetLimit(f.addr(), 2)
		openIdle(f, 2)
		fresh := newAttempt(long)
		fresh.NewConn = true
		first, err := c.Do(ctx, f.addr(), fresh)
		Expect(err).NotTo(HaveOccurred())
		second, err := c.Do(ctx, f.addr(), fresh)
		Expect(err).NotTo(HaveOccurred())
		res := send(ctx, c, f.addr(), newAttempt(long))
		expectResult(res, azurestair.AttemptNotRun, azurestair.ReasonConnect)
		Expect(res.err).To(MatchError(azurestair.ErrFull))
		Eventually(f.openConns).Should(BeEquivalentTo(2))
		first.Body.Close()
		second.Body.Close()
		expectDone(send(ctx, c, f.addr(), newAttempt(long)))
	})

	// Guards against a series of attempts that each time out on a stalled
	// connection.
	It("of the same age are retired when one stalls", func() {
		f := newFakeUpstream(rawResponse(okResponse))
		openIdle(f, 3)
		f.setHandler(neverRespond)
		clk.advance(time.Millisecond)
		res := send(ctx, c, f.addr(), newAttempt(short))
		expectResult(res, azurestair.AttemptTimeout, azurestair.ReasonTimeout)
		Expect([]bool{res.Reused, res.ConnStalled}).To(Equal([]bool{true, true}))
		f.setHandler(rawResponse(okResponse))
		res = send(ctx, c, f.addr(), newAttempt(long))
		expectDone(res)
		Expect(res.Reused).To(BeFalse())
		Eventually(f.openConns).Should(BeEquivalentTo(1))
	})

	// A request's first retry after an attempt on a stalled connection is not
	// charged to the retry budget, which is too small for all of them. Guards
	// against a response on a new connection that makes older, stalled
	// connections look alive.
	It("that are new and deliver responses do not clear stalled ones", func() {
		f := newFakeUpstream(rawResponse(okResponse))
		openIdle(f, 2)
		f.setHandler(func(c serverConn, r *http.Request) bool {
			if r.URL.Path == "/new" {
				return rawResponse(okResponse)(c, r)
			}
			return neverRespond(c, r)
		})
		clk.advance(time.Millisecond)
		newer := newAttempt(long)
		newer.NewConn, newer.Path = true, "/new"
		stalled := newAttempt(short)
		stalled.BeforeSend = func() error {
			clk.advance(time.Millisecond)
			expectDone(send(ctx, c, f.addr(), newer))
			return nil
		}
		res := send(ctx, c, f.addr(), stalled)
		expectResult(res, azurestair.AttemptTimeout, azurestair.ReasonTimeout)
		Expect([]bool{res.Reused, res.ConnStalled}).To(Equal([]bool{true, true}))
	})

	// Guards against retiring connections of other callers when a caller
	// disconnects.
	It("are kept when a caller ends an attempt on one of them", func() {
		f := newFakeUpstream(rawResponse(okResponse))
		openIdle(f, 3)
		started := make(chan struct{})
		f.setHandler(func(c serverConn, r *http.Request) bool {
			close(started)
			return neverRespond(c, r)
		})
		callerCtx, cancel := context.WithCancel(ctx)
		clk.advance(time.Millisecond)
		go func() { <-started; cancel() }()
		res := send(callerCtx, c, f.addr(), newAttempt(long))
		expectResult(res, azurestair.AttemptTimeout, azurestair.ReasonTimeout)
		Expect(res.ConnStalled).To(BeFalse())
		f.setHandler(rawResponse(okResponse))
		Expect(send(ctx, c, f.addr(), newAttempt(long)).Reused).To(BeTrue())
		Eventually(f.openConns).Should(BeEquivalentTo(2))
	})

	// Guards against connections that stay open after their upstream was
	// unregistered.
	It("are closed when their upstream is no longer listed", func() {
		f := newFakeUpstream(rawResponse(okResponse))
		openIdle(f, 2)
		resp, err := c.Do(ctx, f.addr(), newAttempt(long))
		Expect(err).NotTo(HaveOccurred())
		c.RetainOnly(nil)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		Eventually(f.openConns).Should(BeZero())
	})
})

// drainingCloser reads to the end before it closes.
type drainingCloser struct{ io.ReadCloser }

func (d *drainingCloser) Close() error {
	_, err := io.Copy(io.Discard, d.ReadCloser)
	return errors.Join(err, d.ReadCloser.Close())
}
