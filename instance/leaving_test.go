package instance

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing/iotest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/retry"
	"azurestair.example/azurestair/routing"
	"azurestair.example/azurestair/upstream"
)

// recordingProposer records the commands that are proposed.
type recordingProposer struct {
	mu       sync.Mutex
	err      error
	commands []azurestair.Command
}

func (p *recordingProposer) Propose(_ context.Context, c azurestair.Command) (azurestair.Result, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.commands = append(p.commands, c)
	return azurestair.Result{Code: azurestair.ResultAccepted}, p.err
}

func (p *recordingProposer) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.commands)
}

// Guards against entries that go on sending to an upstream that has told only
// one of them that it leaves, and against a report from each entry for each
// response.
var _ = ginkgo.Describe("an entry that hears of a departure in a response", func() {
	var (
		r *entryFixture
		p *recordingProposer
	)
	list := func(state azurestair.UpstreamState, inc azurestair.Incarnation) {
		s := testSnapshot(1)
		a := testAnnouncement(1)
		a.State, a.Incarnation = state, inc
		s.Upstreams = []azurestair.UpstreamInfo{{Announcement: a}}
		r.view.Store(&view{snapshot: s})
	}
	leaves := azurestair.Choice{Upstream: "u1", Incarnation: 1}
	ginkgo.BeforeEach(func() {
		r, p = newEntryFixture(SystemClock{}, &fakeLedger{}, newFakeUpstream()), &recordingProposer{}
		r.leaving = newLeavingReporter(r.Entry, p, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		go r.leaving.run(ctx)
	})

	ginkgo.It("reports it once", func() {
		list(azurestair.StateServing, 1)
		for range 50 {
			r.reportLeaving(leaves)
		}
		Eventually(p.count, "3s").Should(Equal(1))
		Consistently(p.count, "700ms").Should(Equal(1))
		Expect(p.commands[0].Departure).To(Equal(&azurestair.Departure{Upstream: "u1", Incarnation: 1}))
	})

	ginkgo.DescribeTable("does not report what others know or what is out of date",
		func(state azurestair.UpstreamState, inc azurestair.Incarnation) {
			list(state, inc)
			r.reportLeaving(leaves)
			Consistently(p.count, "700ms").Should(BeZero())
		},
		ginkgo.Entry("the list says so already", azurestair.StateDraining, azurestair.Incarnation(1)),
		ginkgo.Entry("a new incarnation serves", azurestair.StateServing, azurestair.Incarnation(2)),
	)

	ginkgo.It("reports it again with a later response if no leader took it", func() {
		list(azurestair.StateServing, 1)
		p.err = azurestair.ErrNoQuorum
		r.reportLeaving(leaves)
		Eventually(p.count, "3s").Should(Equal(1))
		r.reportLeaving(leaves)
		Eventually(p.count, "3s").Should(Equal(2))
	})
})

// Guards against callers that return before an upstream can serve them, and all
// at once.
var _ = ginkgo.It("a refusal because all upstreams ask for a pause says when the first one ends", func() {
	clk := newFakeClock()
	r := newEntryFixture(clk, &fakeLedger{}, newFakeUpstream())
	runner := &attemptRunner{call: &call{entry: r.Entry}, retryAt: clk.Now().Add(2 * time.Second)}
	seen := map[azurestair.Millis]bool{}
	for range 20 {
		reply := runner.failureReply(retry.Decision{Outcome: azurestair.OutcomeRefused, Reason: azurestair.ReasonPaused})
		Expect(reply.NotRun).To(BeTrue())
		Expect(reply.RetryAfter.Duration()).To(BeNumerically(">=", 2*time.Second))
		Expect(reply.RetryAfter.Duration()).To(BeNumerically("<=", 2*time.Second+pauseJitter))
		seen[reply.RetryAfter] = true
	}
	Expect(len(seen)).To(BeNumerically(">", 5))
	Expect(routing.RetryAtOf(errors.New("other"))).To(BeZero())
})

// routedRequest publishes a route that is not idempotent and returns a request
// of it.
func routedRequest(r *entryFixture, maxAttempts int, body io.Reader, n int64) *caller.Request {
	s := testSnapshot(1)
	s.Config.Routes = []azurestair.Route{{
		Name: "upload", Host: "shop.example", PathPrefix: "/up/", Rank: azurestair.RankUrgent, TimeoutMs: 20_000, MaxAttempts: maxAttempts,
		MaxBodyBytes: 4 << 20, Services: []azurestair.RouteService{{Service: "shop", Weight: 1}},
	}}
	r.view.Store(&view{snapshot: s, routes: routing.NewRoutes(s.Config), controlDeadline: r.clock.Now().Add(time.Hour), heardAt: r.clock.Now()})
	q := r.request("", "", longTimeout, body, n)
	q.Host, q.Path, q.Service = "shop.example", "/up/x", ""
	return q
}

func sendRouted(r *entryFixture, body io.Reader, n int64) response {
	return r.send(context.Background(), routedRequest(r, 3, body, n))
}

var _ = ginkgo.Describe("an upload", func() {
	data := strings.Repeat("0123456789abcdef", 12_000)
	var r *entryFixture
	ginkgo.BeforeEach(func() {
		r = newEntryFixture(SystemClock{}, &fakeLedger{}, newFakeUpstream())
		r.upstream.handle = func(w http.ResponseWriter, q *http.Request) { _, _ = io.Copy(w, q.Body) }
	})

	// Guards against a body that is sent on only once it has been received
	// whole, and against memory for each of its bytes.
	ginkgo.It("is forwarded while it is being received", func() {
		arrived := make(chan string, 1)
		r.upstream.handle = func(w http.ResponseWriter, q *http.Request) {
			part := make([]byte, 1000)
			_, _ = io.ReadFull(q.Body, part)
			arrived <- string(part)
			_, _ = io.Copy(w, q.Body)
		}
		body, feed := io.Pipe()
		go func() {
			_, _ = io.WriteString(feed, data[:100_000])
			Eventually(arrived, "10s").Should(Receive(Equal(data[:1000])))
			_, _ = io.WriteString(feed, data[100_000:])
			_ = feed.Close()
		}()
		resp := sendRouted(r, body, int64(len(data)))
		expectReply(resp, azurestair.OutcomeDone, "", false)
		Expect(resp.body == data[1000:]).To(BeTrue())
		Expect(r.clientMemory.used()).To(BeZero())
	})

	// Guards against an upload that is refused because the first worker is
	// full, and against one that arrives changed at the next.
	ginkgo.It("is sent whole to another worker if the first one refuses it", func() {
		r.upstream.steps = []step{stepShed, stepShed}
		resp := sendRouted(r, iotest.HalfReader(strings.NewReader(data)), int64(len(data)))
		expectReply(resp, azurestair.OutcomeDone, "", false)
		Expect(resp.body == data).To(BeTrue())
		Expect(r.upstream.ran.Load()).To(BeEquivalentTo(1))
	})

	ginkgo.It("is refused truthfully if its start is no longer kept", func() {
		Expect(r.clientMemory.newHolder(0).reserve(maxBodyMemory)).To(BeTrue())
		r.upstream.handle = func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.ReadFull(q.Body, make([]byte, 1000))
			w.Header().Set(upstream.HeaderNotRun, q.Header.Get(upstream.HeaderAttemptID))
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		resp := sendRouted(r, strings.NewReader(data), int64(len(data)))
		expectReply(resp, azurestair.OutcomeRefused, azurestair.ReasonShed, true)
		Expect(r.upstream.ran.Load()).To(BeEquivalentTo(1), "sent to one upstream only")
	})

	// Guards against bodies that together fill the memory.
	ginkgo.It("of unknown length is refused while other bodies use all memory", func() {
		others := r.clientMemory.newHolder(0)
		Expect(others.reserve(maxBodyMemory)).To(BeTrue())
		expectReply(sendRouted(r, strings.NewReader(data), -1), azurestair.OutcomeRefused, azurestair.ReasonQueueFull, true)
		others.close()
		expectReply(sendRouted(r, strings.NewReader(data), -1), azurestair.OutcomeDone, "", false)
		Expect(r.clientMemory.used()).To(BeZero())
	})
})

var _ = ginkgo.Describe("a replayable stream", func() {
	read := func(r io.Reader, n int) string {
		ginkgo.GinkgoHelper()
		p := make([]byte, n)
		_, err := io.ReadFull(r, p)
		Expect(err).NotTo(HaveOccurred())
		return string(p)
	}
	ginkgo.It("starts anew for the next reader, which ends the earlier one", func() {
		s := &replayableStream{source: strings.NewReader("abcdef"), limit: 10}
		first := s.reader()
		Expect(read(first, 4)).To(Equal("abcd"))
		second := s.reader()
		Expect(read(second, 6)).To(Equal("abcdef"))
		_, err := first.Read(make([]byte, 1))
		Expect(err).To(MatchError(errStaleReader))
		_, err = second.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})
	// Guards against an upload that reaches the next upstream without its start.
	ginkgo.It("loses nothing to an earlier reader once it may start anew", func() {
		s := &replayableStream{source: strings.NewReader("abcdef")}
		first := s.reader()
		Expect(s.rewind()).To(BeTrue())
		_, err := first.Read(make([]byte, 4))
		Expect(err).To(MatchError(errStaleReader))
		Expect(read(s.reader(), 6)).To(Equal("abcdef"))
		Expect(s.rewind()).To(BeFalse())
	})
	ginkgo.It("keeps what an earlier reader gets after the next one has started", func() {
		body, feed := io.Pipe()
		s := &replayableStream{source: body, limit: 10}
		got := make(chan int)
		first := s.reader()
		go func() {
			n, _ := first.Read(make([]byte, 4))
			got <- n
		}()
		_, _ = feed.Write([]byte("abc"))
		Expect(<-got).To(Equal(3))
		second := s.reader()
		go func() { _, _ = feed.Write([]byte("def")) }()
		Expect(read(second, 6)).To(Equal("abcdef"))
	})
	ginkgo.It("cannot start anew beyond its limit, and keeps nothing then", func() {
		s := &replayableStream{source: bytes.NewReader(make([]byte, 100)), limit: 10}
		r := s.reader()
		read(r, 8)
		Expect(s.rewind()).To(BeTrue())
		r = s.reader()
		read(r, 16)
		Expect(s.rewind()).To(BeFalse())
		Expect(s.kept).To(BeEmpty())
		read(r, 84)
	})
})

// panickingEvent is an event whose handling panics.
type panickingEvent struct{}

func (panickingEvent) handle(*Controller, time.Time) { panic("odd event") }

// Guards against a process that ends because of one request or message.
var _ = ginkgo.Describe("a panic", func() {
	var p *panicLog
	ginkgo.BeforeEach(func() { p = &panicLog{log: slog.New(slog.DiscardHandler), count: newProcessMetrics().panics} })

	ginkgo.It("in an event ends that event alone", func() {
		c := newController(newFakeClock(), slog.New(slog.DiscardHandler), nil, nil)
		c.panics = p
		done := 0
		Expect(c.post(context.Background(), panickingEvent{})).To(Succeed())
		Expect(c.post(context.Background(), timedEvent{clock: newFakeClock(), done: &done})).To(Succeed())
		c.handle(c.next())
		Expect(done).To(Equal(1))
		Expect(p.count.Count()).To(BeEquivalentTo(1))
	})

	ginkgo.It("in an event of the replicated log ends the process", func() {
		Expect(belongsToLog(stepEvent{})).To(BeTrue())
		Expect(belongsToLog(reportEvent{})).To(BeFalse())
	})

	ginkgo.It("in an attempt leaves the request unknown and its slot free", func() {
		r := newEntryFixture(SystemClock{}, &fakeLedger{}, newFakeUpstream())
		r.panics = p
		r.upstreamClient.SetDialect(panickingDialect{}, time.Second)
		resp := r.sendDefault("pay", "k1", shortTimeout)
		expectReply(resp, azurestair.OutcomeUnknown, azurestair.ReasonBroken, false)
		Eventually(r.freeSlots).Should(Equal(fixtureSlots))
		Expect(p.count.Count()).To(BeEquivalentTo(1))
	})

	ginkgo.It("in a handler closes the connection without an answer", func() {
		h := p.handler("test", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("odd request") }))
		Expect(func() { h.ServeHTTP(nil, nil) }).To(PanicWith(http.ErrAbortHandler))
		Expect(p.count.Count()).To(BeEquivalentTo(1))
	})
})

// panickingDialect panics for each response.
type panickingDialect struct{}

func (panickingDialect) SetHeaders(http.Header, upstream.Attempt, time.Time) {}
func (panickingDialect) ParseResponse(*http.Response, upstream.Attempt) upstream.ResponseInfo {
	panic("odd answer")
}
