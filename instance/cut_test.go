package instance

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/upstream"
)

// cutUpstream sends the first bytes of a response to each request and ends the
// connection. To requests of firstPath it responds in full.
type cutUpstream struct {
	net.Listener
	requests atomic.Int64

	mu sync.Mutex
	// text is the response, with "ID" for the attempt.
	text string
	cut  int
	// reset ends connections with RST instead of FIN.
	reset bool
	// whole is the request of a series from which on responses are not cut;
	// zero means none.
	whole int64
	// keep leaves the connection open after a response.
	keep bool
}

const firstPath = "/first"

func newCutUpstream(text string, reset bool) *cutUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	u := &cutUpstream{Listener: l, text: text, reset: reset}
	ginkgo.DeferCleanup(l.Close)
	go u.run()
	return u
}

func (u *cutUpstream) run() {
	for {
		c, err := u.Accept()
		if err != nil {
			return
		}
		go u.loop(c)
	}
}

func (u *cutUpstream) loop(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(upstream.HeaderAttemptID)
		if strings.HasSuffix(r.URL.Path, firstPath) {
			_, _ = fmt.Fprintf(c, ranResponse, id)
			continue
		}
		if u.respond(c, id); !u.keep {
			return
		}
	}
}

func (u *cutUpstream) respond(c net.Conn, id string) {
	n := u.requests.Add(1)
	u.mu.Lock()
	defer u.mu.Unlock()
	text := strings.ReplaceAll(u.text, "ID", id)
	if u.whole > 0 && n >= u.whole {
		_, _ = io.WriteString(c, text)
		return
	}
	_, _ = io.WriteString(c, text[:u.cut])
	if u.reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// setCut starts a series of requests whose responses are cut after n bytes, up
// to the given request of the series.
func (u *cutUpstream) setCut(n int, whole int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cut, u.whole = n, whole
	u.requests.Store(0)
}

// untilCloseDialect accepts bodies that end with their connection.
type untilCloseDialect struct{}

func (untilCloseDialect) SetHeaders(h http.Header, a upstream.Attempt, _ time.Time) {
	h.Set(upstream.HeaderAttemptID, string(a.ID))
}

func (untilCloseDialect) ParseResponse(r *http.Response, a upstream.Attempt) upstream.ResponseInfo {
	return upstream.ResponseInfo{
		IDMismatch: r.Header.Get(upstream.HeaderAttemptID) != string(a.ID), CloseDelimited: true,
		State: azurestair.UpstreamState(r.Header.Get(upstream.HeaderState)),
	}
}

// cutFixture is an entry with the HTTP interface of callers and a cutUpstream.
type cutFixture struct {
	*entryFixture
	upstream *cutUpstream
	addr     string
	client   http.Client
}

func newCutFixture(text string, reset bool) *cutFixture {
	f := &cutFixture{entryFixture: newEntryFixture(SystemClock{}, &fakeLedger{}, newFakeUpstream()), upstream: newCutUpstream(text, reset)}
	f.picker.addr = f.upstream.Addr().String()
	f.upstreamClient.SetDialect(untilCloseDialect{}, time.Minute)
	f.dispatcher.mu.Lock()
	f.dispatcher.retryBudget.Unlimited = true
	f.dispatcher.retryPolicy.Backoff = time.Microsecond
	f.dispatcher.retryPolicy.Disabled.Hedging = true
	f.dispatcher.mu.Unlock()
	p := &Process{log: f.log, entry: f.Entry, metrics: f.metrics}
	f.addr = listenAsClients(p, caller.NewHandler(f.Entry, SystemClock{}, longTimeout))
	// Otherwise the client would itself repeat some requests.
	f.client.Transport = &http.Transport{DisableKeepAlives: true}
	return f
}

// callerResponse is what a caller receives.
type callerResponse struct {
	status int
	body   string
	err    error
}

func (f *cutFixture) request(method string, op azurestair.OperationName, key, path string) callerResponse {
	ginkgo.GinkgoHelper()
	q, err := http.NewRequest(method, "http://"+f.addr+"/v1/request/shop/"+string(op)+path, strings.NewReader("x"))
	Expect(err).NotTo(HaveOccurred())
	q.Header.Set(caller.HeaderKey, key)
	resp, err := f.client.Do(q)
	if err != nil {
		return callerResponse{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return callerResponse{status: resp.StatusCode, body: string(data), err: err}
}

// requestHTTP10 sends a request of HTTP/1.0 and reads until the connection ends.
func (f *cutFixture) requestHTTP10(op azurestair.OperationName) (string, error) {
	ginkgo.GinkgoHelper()
	c, err := net.Dial("tcp", f.addr)
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = fmt.Fprintf(c, "GET /v1/request/shop/%s HTTP/1.0\r\n\r\n", op)
	Expect(err).NotTo(HaveOccurred())
	data, err := io.ReadAll(c)
	return string(data), err
}

// openIdle leaves an idle connection to the upstream.
func (f *cutFixture) openIdle() {
	ginkgo.GinkgoHelper()
	Expect(f.request(http.MethodGet, "read", "", firstPath)).To(Equal(callerResponse{status: http.StatusOK, body: "hi"}))
}

// expectUnknown checks that the caller is told that the request may have run.
// The response to HEAD says so by its status alone.
func expectUnknown(resp callerResponse, method, sent string) {
	ginkgo.GinkgoHelper()
	Expect(resp.err).NotTo(HaveOccurred(), "after %q", sent)
	Expect(resp.status).To(Equal(http.StatusGatewayTimeout), "after %q", sent)
	if method == http.MethodHead {
		return
	}
	var body caller.ErrorBody
	Expect(json.Unmarshal([]byte(resp.body), &body)).To(Succeed())
	Expect([]any{body.Outcome, body.Reason, body.NotRun}).To(Equal([]any{azurestair.OutcomeUnknown, azurestair.ReasonBroken, false}), "after %q", sent)
}

// idLen is the length of the ID of an attempt for a caller's request.
var idLen = len("ABCDEFGHIJKLMNOPQRSTUVWXYZ-1")

const (
	cutHead = "HTTP/1.1 200 OK\r\n" + upstream.HeaderAttemptID + ": ID\r\n"
	// maxTries is the number of attempts of an idempotent request.
	maxTries = 3
)

var _ = ginkgo.Describe("a request whose response is cut at any byte", func() {
	responses := []struct {
		name, head, body string
		// untilClose is true if the body ends with the connection. It then
		// looks whole wherever a FIN cuts it.
		untilClose bool
	}{
		{"with a length", cutHead + "Content-Length: 25\r\n\r\n", strings.Repeat("x", 25), false},
		{"in chunks", cutHead + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nhi\r\n0\r\nX-Sum: 1\r\n\r\n", false},
		{"that ends with its connection", cutHead + "Connection: close\r\n\r\n", "hi", true},
	}
	requests := []struct {
		method string
		op     azurestair.OperationName
		reused bool
	}{
		{http.MethodGet, "read", false},
		{http.MethodPost, "read", true},
		{http.MethodHead, "read", true},
		{http.MethodPost, "pay", true},
		{http.MethodPost, "pay", false},
		{http.MethodHead, "pay", true},
	}
	for _, resp := range responses {
		for _, q := range requests {
			for _, reset := range []bool{false, true} {
				// Guards against a success with an empty or short body for the
				// caller, against "not run" for a request that may have run,
				// and against sending one a second time that is not idempotent.
				ginkgo.It(fmt.Sprintf("is never answered with it: %s %s reused=%t, response %s, reset=%t", q.method, q.op, q.reused, resp.name, reset), func() {
					text := resp.head + resp.body
					f := newCutFixture(text, reset)
					headLen := len(resp.head) - len("ID") + idLen
					end := headLen + len(resp.body)
					if q.method == http.MethodHead || resp.untilClose && !reset {
						end = headLen
					}
					for cut := range end {
						f.upstream.setCut(cut, 0)
						if q.reused {
							f.openIdle()
						}
						key := fmt.Sprintf("k%d", cut)
						expectUnknown(f.request(q.method, q.op, key, ""), q.method, text[:min(cut, len(text))])
						if q.op == "read" {
							Expect(f.upstream.requests.Load()).To(BeEquivalentTo(maxTries))
							continue
						}
						Expect(f.ledger.stateOf(azurestair.RequestKey(key))).To(Equal(azurestair.ClaimUnknown))
						Expect(f.request(q.method, q.op, key, "").status).To(Equal(http.StatusGatewayTimeout))
						Expect(f.upstream.requests.Load()).To(BeEquivalentTo(1))
					}
					Expect(f.freeSlots()).To(Equal(fixtureSlots))
				})
			}
		}
	}

	// Guards against a retry that is answered with parts of two responses.
	ginkgo.It("is answered in full by its retry if it is idempotent", func() {
		text := responses[0].head + responses[0].body
		f := newCutFixture(text, true)
		for cut := range len(text) - len("ID") + idLen {
			f.upstream.setCut(cut, 2)
			Expect(f.request(http.MethodPost, "read", "", "")).To(Equal(callerResponse{status: http.StatusOK, body: responses[0].body}))
			Expect(f.upstream.requests.Load()).To(BeEquivalentTo(2))
		}
	})

	// Guards against sending a request without a key a second time although it
	// may have run.
	ginkgo.It("is sent once by a route that is not idempotent", func() {
		text := responses[2].head
		f := newCutFixture(text, false)
		q := routedRequest(f.entryFixture, maxTries, nil, 0)
		q.AttemptID = azurestair.RequestID(strings.Repeat("i", idLen))
		for cut := range len(text) - len("ID") + idLen {
			f.upstream.setCut(cut, 0)
			q.Service, q.Body = "", strings.NewReader("x")
			expectReply(f.send(context.Background(), q), azurestair.OutcomeUnknown, azurestair.ReasonBroken, false)
			Expect(f.upstream.requests.Load()).To(BeEquivalentTo(1))
		}
	})

	// Guards against a body whose end a caller of HTTP/1.0 takes for the end of
	// the whole one, since its own response has no length either.
	ginkgo.It("resets the connection of a caller of HTTP/1.0 if it is too large to buffer", func() {
		f := newCutFixture(cutHead+"Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat("4\r\nxxxx\r\n", recordBufferLimit/4)+"0\r\n\r\n", false)
		f.upstream.setCut(recordBufferLimit, 0)
		data, err := f.requestHTTP10("read")
		Expect(err).To(MatchError(syscall.ECONNRESET), "%d bytes taken for a whole response: %.80q", len(data), data)
	})

	// Guards against a body beyond what an entry buffers that ends early and
	// looks whole.
	ginkgo.DescribeTable("breaks off at the caller if it is too large to buffer", func(framing, body string, reset bool) {
		head := cutHead + framing
		f := newCutFixture(head+body, reset)
		headLen := len(head) - len("ID") + idLen
		for _, cut := range []int{headLen, headLen + retryBufferLimit, headLen + retryBufferLimit + 1, headLen + recordBufferLimit, headLen + len(body) - 1} {
			for _, op := range []azurestair.OperationName{"read", "pay"} {
				f.upstream.setCut(cut, 0)
				key := fmt.Sprintf("k%d", cut)
				resp := f.request(http.MethodPost, op, key, "")
				if resp.err == nil {
					expectUnknown(resp, http.MethodPost, "")
				}
				if op == "pay" {
					Expect(f.upstream.requests.Load()).To(BeEquivalentTo(1))
					Eventually(func() azurestair.ClaimState { return f.ledger.stateOf(azurestair.RequestKey(key)) }).Should(Equal(azurestair.ClaimUnknown))
				}
			}
		}
	},
		ginkgo.Entry("with a length", fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*recordBufferLimit), strings.Repeat("x", 2*recordBufferLimit), false),
		ginkgo.Entry("in chunks", "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("4\r\nxxxx\r\n", recordBufferLimit/4)+"0\r\n\r\n", false),
		ginkgo.Entry("that ends with its connection, by a reset", "\r\n", strings.Repeat("x", 2*recordBufferLimit), true),
	)
})

// confirmingPicker records the states that upstreams report.
type confirmingPicker struct {
	*fakePicker
	states []azurestair.UpstreamState
}

func (p *confirmingPicker) Confirm(_ azurestair.UpstreamID, s azurestair.UpstreamState, _ time.Time) {
	p.states = append(p.states, s)
}

func (p *confirmingPicker) ProbeCandidates(time.Time) []azurestair.UpstreamID { return nil }

// Guards against a probe that confirms an upstream that stopped within the head
// of its answer.
var _ = ginkgo.It("a probe whose answer is cut in its head confirms nothing", func() {
	head := cutHead + upstream.HeaderState + ": leaving\r\nContent-Length: 0\r\n\r\n"
	f := newCutFixture(head, false)
	p := &confirmingPicker{fakePicker: f.picker}
	f.dispatcher.mu.Lock()
	f.dispatcher.picker = p
	f.dispatcher.mu.Unlock()
	probe := func(cut int) {
		f.upstream.setCut(cut, 0)
		target := azurestair.Announcement{Upstream: "u1", Addr: p.addr}
		(&prober{entry: f.Entry, dispatcher: f.dispatcher, target: target, deadline: time.Now().Add(longTimeout)}).run()
	}
	whole := len(head) - len("ID") + len("probe-u1")
	for cut := range whole {
		probe(cut)
	}
	Expect(p.states).To(BeEmpty())
	probe(whole)
	Expect(p.states).To(Equal([]azurestair.UpstreamState{azurestair.StateLeaving}))
})

// Guards against a status that no response may have and that reaches the caller,
// keeps it waiting, or is taken as proof that the request did not run.
var _ = ginkgo.Describe("a response with a status that none may have", func() {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		for _, op := range []azurestair.OperationName{"read", "pay"} {
			ginkgo.It(fmt.Sprintf("is never passed on: %s for %s", status, op), func() {
				f := newCutFixture("HTTP/1.1 "+status+" Odd\r\n"+upstream.HeaderAttemptID+": ID\r\nContent-Length: 2\r\n\r\nok", false)
				f.upstream.keep = true
				for _, reused := range []bool{false, true} {
					f.upstream.setCut(0, 1)
					if reused {
						f.openIdle()
					}
					key := fmt.Sprintf("k%t", reused)
					expectUnknown(f.request(http.MethodPost, op, key, ""), http.MethodPost, status)
					if op == "read" {
						Expect(f.upstream.requests.Load()).To(BeEquivalentTo(maxTries))
						continue
					}
					Expect(f.upstream.requests.Load()).To(BeEquivalentTo(1))
					Expect(f.ledger.stateOf(azurestair.RequestKey(key))).To(Equal(azurestair.ClaimUnknown))
				}
				Expect(f.freeSlots()).To(Equal(fixtureSlots))
			})
		}
	}
})
