package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "caller")
}

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

// fakeEntry is a Server that records requests and returns configured replies.
type fakeEntry struct {
	lastRequest *caller.Request
	lookupAddr  netip.Addr
	serveCalls  atomic.Int64
	reply       func(r *caller.Request) caller.Reply
	lookup      caller.LookupResponse
	ready       error
	// rejected counts the calls of CountRejected.
	rejected int
}

func (f *fakeEntry) Serve(_ context.Context, r *caller.Request) caller.Reply {
	f.serveCalls.Add(1)
	f.lastRequest = r
	return f.reply(r)
}

func (f *fakeEntry) Lookup(a netip.Addr) caller.LookupResponse {
	f.lookupAddr = a
	return f.lookup
}

func (f *fakeEntry) CountRejected(*caller.Request, caller.Reply) { f.rejected++ }

func (f *fakeEntry) Ready() error { return f.ready }

func doneReply(status int, body string, h http.Header) func(*caller.Request) caller.Reply {
	return func(*caller.Request) caller.Reply {
		return caller.Reply{
			Outcome: azurestair.OutcomeDone, Status: status, Header: h, Length: int64(len(body)),
			Body: io.NopCloser(strings.NewReader(body)),
		}
	}
}

var _ = Describe("caller API:", func() {
	var (
		f    *fakeEntry
		addr string
	)
	BeforeEach(func() {
		f = &fakeEntry{reply: doneReply(200, "hi", nil)}
		s := httptest.NewUnstartedServer(nil)
		s.Config = caller.NewHTTPServer(caller.NewHandler(f, clock{}, 10*time.Second), caller.Limits{MaxHeaderBytes: 16 << 10})
		s.Start()
		DeferCleanup(func() { s.CloseClientConnections(); s.Close() })
		addr = s.Listener.Addr().String()
	})
	// roundTrip sends the header lines as they are, since an HTTP client would
	// normalize them.
	roundTrip := func(method, target string, header ...string) (*http.Response, string, error) {
		GinkgoHelper()
		c, err := net.Dial("tcp", addr)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		lines := append([]string{method + " " + target + " HTTP/1.1", "Host: x", "Connection: close"}, header...)
		_, err = io.WriteString(c, strings.Join(lines, "\r\n")+"\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
		if err != nil {
			return nil, "", err
		}
		data, err := io.ReadAll(resp.Body)
		return resp, string(data), err
	}
	decodeErrorBody := func(data string) caller.ErrorBody {
		GinkgoHelper()
		var b caller.ErrorBody
		Expect(json.Unmarshal([]byte(data), &b)).To(Succeed(), data)
		return b
	}

	// Guards against decoding the path, which changes its meaning at the
	// upstream: an encoded question mark would start a query.
	DescribeTable("path and query reach the upstream unchanged",
		func(target, want string) {
			_, _, err := roundTrip(http.MethodGet, "/v1/request/shop/read"+target)
			Expect(err).NotTo(HaveOccurred())
			Expect([]any{f.lastRequest.Path, f.lastRequest.Service, f.lastRequest.Operation}).To(Equal(
				[]any{"/read" + want, azurestair.ServiceName("shop"), azurestair.OperationName("read")}))
			r, err := http.NewRequest(http.MethodGet, "http://127.0.0.1"+f.lastRequest.Path, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.URL.RequestURI()).To(Equal("/read"+want), "request URI sent by an HTTP client")
		},
		Entry("none", "", ""), Entry("slash", "/", "/"), Entry("two slashes", "//a", "//a"), Entry("query", "/a?b=c%20d", "/a?b=c%20d"),
		Entry("empty query", "/a?", "/a?"), Entry("encoded slash", "/a%2Fb/c", "/a%2Fb/c"), Entry("encoded ?", "/a%3Fb", "/a%3Fb"),
		Entry("encoded #", "/a%23b", "/a%23b"), Entry("encoded %", "/a%2541", "/a%2541"), Entry("space", "/a%20b", "/a%20b"),
		Entry("dots", "/a/../b", "/a/../b"), Entry("raw # in the query", "/a?b#c", "/a?b%23c"), Entry("UTF-8", "/%C3%A9", "/%C3%A9"),
	)

	// Guards against forwarding headers that apply only to one connection, and
	// headers that only an entry may set.
	It("hop-by-hop headers and headers that only an entry may set are forwarded in neither direction", func() {
		f.reply = doneReply(200, "hi", http.Header{
			"Azurestair-State": {"serving"}, "Azurestair-Request": {"a-1"}, "Keep-Alive": {"timeout=5"}, "Etag": {"e"}, "Connection": {"X-Up"}, "X-Up": {"1"},
		})
		resp, _, _ := roundTrip(http.MethodGet, "/v1/request/shop/read", "Connection: X-Hop, keep-alive", "X-Hop: 1", "Te: trailers",
			"Azurestair-Time-Left-Ms: 1", "azurestair-request: a-1", "Proxy-Authorization: p", "Idempotency-Key: k", "X-Kept: 1")
		for _, name := range []string{"Connection", "X-Hop", "Te", "Azurestair-Time-Left-Ms", "Azurestair-Request", "Proxy-Authorization", "Host"} {
			Expect(f.lastRequest.Header).NotTo(HaveKey(name))
		}
		Expect(f.lastRequest.Header).To(And(HaveKey("X-Kept"), HaveKey("Idempotency-Key")))
		for _, name := range []string{"Azurestair-State", "Azurestair-Request", "Keep-Alive", "X-Up"} {
			Expect(resp.Header).NotTo(HaveKey(name))
		}
		Expect([]string{resp.Header.Get("Etag"), resp.Header.Get(caller.HeaderOutcome)}).To(Equal([]string{"e", "done"}))
	})

	// Guards against running a request with a key or deadline that the caller
	// did not intend, and against reporting notRun for a key under which a
	// request may have run.
	DescribeTable("bad headers are rejected before the entry sees the request",
		func(notRun bool, header ...string) {
			resp, data, err := roundTrip(http.MethodPost, "/v1/request/shop/pay", header...)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
			got := decodeErrorBody(data)
			Expect(got).To(Equal(caller.ErrorBody{
				Outcome: azurestair.OutcomeInvalid, Reason: azurestair.ReasonBadRequest, NotRun: notRun, RequestID: got.RequestID,
			}))
			Expect([]any{f.serveCalls.Load(), f.rejected}).To(Equal([]any{int64(0), 1}))
		},
		Entry("two keys", false, "Idempotency-Key: a", "Idempotency-Key: b"), Entry("same key twice", false, "Idempotency-Key: a", "Idempotency-Key: a"),
		Entry("key with a space", false, "Idempotency-Key: a b"), Entry("long key", false, "Idempotency-Key: "+strings.Repeat("k", 129)),
		Entry("key, bad timeout", false, "Idempotency-Key: a", "Azurestair-Timeout-Ms: x"),
		Entry("timeout 0", true, "Azurestair-Timeout-Ms: 0"), Entry("negative", true, "Azurestair-Timeout-Ms: -1"),
		Entry("fraction", true, "Azurestair-Timeout-Ms: 1.5"), Entry("too long", true, "Azurestair-Timeout-Ms: 600001"),
		Entry("overflow", true, "Azurestair-Timeout-Ms: 9223372036854775808"), Entry("bad caller", true, "Azurestair-Caller: a/b"),
	)

	It("a timeout becomes a deadline, and an unnamed caller is named after its client block", func() {
		before := time.Now()
		_, _, _ = roundTrip(http.MethodPost, "/v1/request/shop/pay", "Azurestair-Timeout-Ms: 600000")
		Expect(f.lastRequest.Deadline).To(BeTemporally(">=", before.Add(600*time.Second)))
		Expect(f.lastRequest.Caller).To(Equal(azurestair.CallerID("127.0.0.0/24")))
		_, _, _ = roundTrip(http.MethodPost, "/v1/request/shop/pay", "Azurestair-Caller: till-4")
		Expect([]any{f.lastRequest.Deadline.IsZero(), f.lastRequest.Caller}).To(Equal([]any{true, azurestair.CallerID("till-4")}))
	})

	// Guards against statuses that make a caller retry a request that may have
	// run.
	DescribeTable("each outcome has its status and body",
		func(o azurestair.Outcome, reason azurestair.Reason, notRun bool, status int) {
			f.reply = func(*caller.Request) caller.Reply {
				return caller.Reply{Outcome: o, Reason: reason, NotRun: notRun, RetryAfter: 1200}
			}
			resp, data, err := roundTrip(http.MethodPost, "/v1/request/shop/pay", "Idempotency-Key: k")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(status))
			Expect(decodeErrorBody(data)).To(Equal(caller.ErrorBody{Outcome: o, Reason: reason, NotRun: notRun, RetryAfterMs: 1200, RequestID: f.lastRequest.ID}))
			h := resp.Header
			Expect([]string{h.Get(caller.HeaderOutcome), h.Get(caller.HeaderReason), h.Get("Retry-After")}).To(Equal([]string{string(o), string(reason), "2"}))
		},
		Entry(nil, azurestair.OutcomeRefused, azurestair.ReasonQueueFull, true, 503),
		Entry(nil, azurestair.OutcomeRefused, azurestair.ReasonCallerShare, true, 429),
		Entry(nil, azurestair.OutcomeUnknown, azurestair.ReasonTimeout, false, 504),
		Entry(nil, azurestair.OutcomeUnknown, azurestair.ReasonCallerShare, false, 504),
		Entry(nil, azurestair.OutcomeInProgress, azurestair.ReasonInProgress, false, 409),
		Entry(nil, azurestair.OutcomeInvalid, azurestair.ReasonKeyReused, false, 422),
		Entry(nil, azurestair.OutcomeInvalid, azurestair.ReasonUnknownOperation, true, 404),
		Entry(nil, azurestair.OutcomeInvalid, azurestair.ReasonBodyTooLarge, true, 400),
		Entry(nil, azurestair.OutcomeInvalid, azurestair.ReasonKeyMissing, true, 400),
	)

	DescribeTable("responses are passed on unchanged",
		func(method string, status int, body, length string) {
			n := int64(len(body))
			f.reply = func(r *caller.Request) caller.Reply {
				reply := doneReply(status, body, http.Header{"Content-Length": {"999"}})(r)
				if method == http.MethodHead {
					reply.Length, reply.Body, n = 7, http.NoBody, 0
				}
				return reply
			}
			resp, data, err := roundTrip(method, "/v1/request/shop/read")
			Expect(err).NotTo(HaveOccurred())
			Expect([]any{resp.StatusCode, data, resp.Header.Get("Content-Length")}).To(Equal([]any{status, body[:n], length}))
		},
		Entry("body", http.MethodGet, 201, "hello", "5"), Entry("empty", http.MethodGet, 200, "", "0"),
		Entry("no content", http.MethodDelete, 204, "", ""), Entry("HEAD", http.MethodHead, 200, "", "7"),
		Entry("not modified", http.MethodGet, 304, "", ""), Entry("error", http.MethodPut, 500, "oops", "4"),
	)

	// Guards against truncated responses that look complete to the caller.
	DescribeTable("a response that breaks off closes the connection",
		func(length int64, part string) {
			f.reply = func(*caller.Request) caller.Reply {
				body := io.MultiReader(strings.NewReader(part), failingReader{})
				return caller.Reply{Outcome: azurestair.OutcomeDone, Status: 200, Length: length, Body: io.NopCloser(body)}
			}
			_, _, err := roundTrip(http.MethodGet, "/v1/request/shop/read")
			Expect(err).To(HaveOccurred())
		},
		Entry("with a length", int64(100), "part"), Entry("in chunks", int64(-1), "part"), Entry("before its first byte", int64(-1), ""),
	)

	// Guards against truncated responses that look complete to a caller of
	// HTTP/1.0, for which a body without a length ends with the connection.
	DescribeTable("a response that breaks off resets the connection of a caller of HTTP/1.0",
		func(length int64, part string, want types.GomegaMatcher) {
			f.reply = func(*caller.Request) caller.Reply {
				body := io.MultiReader(strings.NewReader(part), failingReader{})
				return caller.Reply{Outcome: azurestair.OutcomeDone, Status: 200, Length: length, Body: io.NopCloser(body)}
			}
			c, err := net.Dial("tcp", addr)
			Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			fmt.Fprint(c, "GET /v1/request/shop/read HTTP/1.0\r\n\r\n")
			_, err = io.ReadAll(c)
			Expect(err).To(want)
		},
		Entry("in its body", int64(-1), "part", MatchError(syscall.ECONNRESET)),
		Entry("before its first byte", int64(-1), "", MatchError(syscall.ECONNRESET)),
		Entry("but not with a length", int64(100), "part", Not(HaveOccurred())),
	)

	// Guards against callers that occupy a slot by not reading the response.
	It("a response that is not read is closed at its deadline", func() {
		closed := make(chan struct{})
		f.reply = func(*caller.Request) caller.Reply {
			return caller.Reply{
				Outcome: azurestair.OutcomeDone, Status: 200, Length: -1, Streamed: true, Deadline: time.Now().Add(100 * time.Millisecond),
				Body: &closeNotifier{Reader: endlessReader{}, closed: closed},
			}
		}
		c, err := net.Dial("tcp", addr)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		fmt.Fprint(c, "GET /v1/request/shop/read HTTP/1.1\r\nHost: x\r\n\r\n")
		Eventually(closed, "10s").Should(BeClosed())
	})

	DescribeTable("a lookup accepts a plain address and nothing else as its block",
		func(target string, status int, asked string) {
			f.lookup = caller.LookupResponse{Entries: []caller.Entry{{Instance: "e1", Addr: "127.0.0.1:1"}}, TTLMs: 5000, ConfigVersion: 3}
			resp, data, err := roundTrip(http.MethodGet, "/v1/lookup"+target)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(status))
			if status != http.StatusOK {
				Expect(decodeErrorBody(data).Reason).To(Equal(azurestair.ReasonBadRequest))
				return
			}
			Expect(f.lookupAddr.String()).To(Equal(asked))
			Expect(resp.Header.Get("Cache-Control")).To(Equal("max-age=5"))
			Expect(data).To(MatchJSON(`{"entries":[{"instance":"e1","addr":"127.0.0.1:1","region":"","failureDomain":""}],"ttlMs":5000,"configVersion":3}`))
		},
		Entry("own address", "?service=shop", 200, "127.0.0.1"), Entry("block", "?block=10.1.2.3", 200, "10.1.2.3"),
		Entry("IPv6", "?block=2001:db8::1", 200, "2001:db8::1"), Entry("host name", "?block=example", 400, ""),
		Entry("prefix", "?block=10.1.2.0/24", 400, ""), Entry("port", "?block=10.1.2.3:80", 400, ""),
	)

	// Guards against an empty list of entries, which a caller would cache for
	// its time to live.
	It("a lookup without entries is refused", func() {
		resp, data, _ := roundTrip(http.MethodGet, "/v1/lookup")
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(decodeErrorBody(data)).To(Equal(caller.ErrorBody{Outcome: azurestair.OutcomeRefused, Reason: azurestair.ReasonNotReady, NotRun: true}))
	})

	It("health, readiness and unknown paths get their status codes", func() {
		f.ready = azurestair.ErrNoQuorum
		for target, status := range map[string]int{"/healthz": 200, "/readyz": 503, "/v1/request/shop": 404, "/v2": 404} {
			resp, _, _ := roundTrip(http.MethodGet, target)
			Expect(resp.StatusCode).To(Equal(status), target)
		}
	})
})

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

type closeNotifier struct {
	io.Reader
	closed chan struct{}
}

func (b *closeNotifier) Close() error {
	close(b.closed)
	return nil
}
