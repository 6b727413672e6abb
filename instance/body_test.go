package instance

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/upstream"
)

// stallingReader returns some bytes and then blocks.
type stallingReader struct{ left int }

func (s *stallingReader) Read(p []byte) (int, error) {
	if s.left == 0 {
		select {}
	}
	n := min(s.left, len(p))
	s.left -= n
	return n, nil
}

var _ = ginkgo.Describe("an entry", func() {
	var (
		r   *entryFixture
		ctx = context.Background()
	)
	ginkgo.BeforeEach(func() { r = newEntryFixture(SystemClock{}, &fakeLedger{}, newFakeUpstream()) })

	// Guards against slots and connections that leak with each request.
	expectNoLeaks := func() {
		ginkgo.GinkgoHelper()
		Eventually(r.freeSlots).Should(Equal(fixtureSlots))
		Eventually(func() azurestair.Slots { return r.dispatcher.usage().inFlight["kigali"] }).Should(BeZero())
		Eventually(r.isIdle).Should(BeTrue())
	}

	ginkgo.DescribeTable("forwards long bodies unchanged in both directions",
		func(op azurestair.OperationName, n int64) {
			data := bytes.Repeat([]byte("0123456789abcdef"), 100_000)
			r.upstream.handle = func(w http.ResponseWriter, q *http.Request) { _, _ = io.Copy(w, q.Body) }
			resp := r.send(ctx, r.request(op, "k1", longTimeout, bytes.NewReader(data), n*int64(len(data))))
			Expect(resp.err).NotTo(HaveOccurred())
			Expect(resp.body == string(data)).To(BeTrue(), "%d bytes came back", len(resp.body))
			expectNoLeaks()
		},
		ginkgo.Entry("streamed", azurestair.OperationName("read"), int64(1)),
		ginkgo.Entry("of unknown length", azurestair.OperationName("read"), int64(-1)),
		ginkgo.Entry("not idempotent", azurestair.OperationName("pay"), int64(1)),
	)

	ginkgo.DescribeTable("refuses a body over the limit before it takes a slot",
		func(op azurestair.OperationName, n int64) {
			body := io.LimitReader(zeroReader{}, 5<<20)
			resp := r.send(ctx, r.request(op, "k1", longTimeout, body, n))
			expectReply(resp, azurestair.OutcomeInvalid, azurestair.ReasonBodyTooLarge, false)
			Expect(r.upstream.ran.Load()).To(BeZero())
		},
		ginkgo.Entry("by its length", azurestair.OperationName("read"), int64(5<<20)),
		ginkgo.Entry("of unknown length", azurestair.OperationName("read"), int64(-1)),
		ginkgo.Entry("not idempotent", azurestair.OperationName("pay"), int64(-1)),
	)

	// Guards against callers that occupy slots, or cause ejections of
	// upstreams, by sending slowly.
	ginkgo.It("releases the slot at the deadline if the caller stalls within its body", func() {
		r.upstream.handle = func(_ http.ResponseWriter, q *http.Request) { _, _ = io.Copy(io.Discard, q.Body) }
		resp := r.send(ctx, r.request("read", "", shortTimeout, &stallingReader{left: 200_000}, 1<<20))
		Expect(resp.Outcome).To(Equal(azurestair.OutcomeUnknown))
		Expect(r.results()).To(Equal([]azurestair.AttemptResult{azurestair.AttemptDone}))
		expectNoLeaks()
	})

	// Guards against ejecting upstreams because callers disconnect.
	ginkgo.It("cancels the attempt of a disconnected caller without counting it against the upstream", func() {
		r.upstream.steps = []step{stepTimeout}
		callerCtx, cancel := context.WithCancel(ctx)
		go func() {
			defer ginkgo.GinkgoRecover()
			Eventually(r.upstream.ran.Load).Should(BeEquivalentTo(1))
			cancel()
		}()
		resp := r.send(callerCtx, r.request("read", "", longTimeout, nil, 0))
		expectConsistentReply(r, resp, false)
		expectReply(resp, azurestair.OutcomeUnknown, azurestair.ReasonCallerLeft, false)
		Eventually(r.upstream.cancelled.Load).Should(BeEquivalentTo(1))
		Expect(r.results()).To(Equal([]azurestair.AttemptResult{azurestair.AttemptDone}))
		Expect(r.freeSlots()).To(Equal(fixtureSlots-1), "the upstream may still be busy")
	})

	// Guards against an upstream that truncates long responses and still counts
	// as healthy.
	ginkgo.It("counts a response that breaks off against the upstream", func() {
		r.upstream.handle = func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.CopyN(w, zeroReader{}, 2*retryBufferLimit)
			panic(http.ErrAbortHandler)
		}
		resp := r.send(ctx, r.request("read", "", longTimeout, nil, 0))
		Expect(resp.err).To(HaveOccurred())
		Expect(r.results()).To(Equal([]azurestair.AttemptResult{azurestair.AttemptInterrupted}))
		expectNoLeaks()
	})

	// Guards against sending new requests to an upstream that is still
	// processing timed-out ones. A slow machine may leave the last attempt too
	// little time for a timeout; it is then abandoned and keeps its slot too.
	ginkgo.DescribeTable("keeps the slot of a timed-out attempt busy",
		func(steps ...step) {
			r.upstream.steps = steps
			r.upstream.handle = func(w http.ResponseWriter, q *http.Request) {
				_, _ = io.Copy(io.Discard, q.Body)
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				<-q.Context().Done()
			}
			_ = r.sendDefault("read", "", shortTimeout)
			late := 0
			for _, res := range r.results() {
				if res == azurestair.AttemptTimeout {
					late++
				}
			}
			Expect(late).To(BeNumerically(">=", 1))
			Expect(r.freeSlots()).To(Equal(fixtureSlots - late - r.abandonedSent()))
		},
		ginkgo.Entry("before the response header", stepTimeout, stepTimeout, stepTimeout),
		ginkgo.Entry("within the body"),
	)

	// Guards against releasing a slot while its response is still being
	// streamed.
	ginkgo.It("holds the slot of a streamed response until it is closed", func() {
		r.upstream.handle = func(w http.ResponseWriter, _ *http.Request) { _, _ = io.CopyN(w, zeroReader{}, 2*recordBufferLimit) }
		for _, op := range []azurestair.OperationName{"read", "pay"} {
			reply := r.Serve(ctx, r.request(op, "k1", longTimeout, nil, 0))
			Expect(r.freeSlots()).To(Equal(fixtureSlots-1), string(op))
			Expect(reply.Body.Close()).To(Succeed())
			expectNoLeaks()
		}
	})

	ginkgo.It("keeps the content length of a response to HEAD", func() {
		r.upstream.handle = func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "7") }
		for _, op := range []azurestair.OperationName{"read", "pay"} {
			q := r.request(op, "k1", longTimeout, nil, 0)
			q.Method = http.MethodHead
			Expect(r.send(ctx, q).Length).To(BeEquivalentTo(7))
		}
	})

	// Guards against returning the response of the slower attempt, and against
	// leaking its slot and connection.
	ginkgo.It("discards the response of the slower attempt when a hedge wins", func() {
		for range 200 {
			r.dispatcher.latency.Observe(time.Millisecond)
		}
		release := make(chan struct{})
		r.upstream.handle = func(w http.ResponseWriter, _ *http.Request) {
			if r.upstream.ran.Load() == 1 {
				<-release
				_, _ = io.CopyN(w, zeroReader{}, 2*retryBufferLimit)
				return
			}
			_, _ = io.WriteString(w, "faster")
		}
		resp := r.sendDefault("read", "", longTimeout)
		Expect(resp.body).To(Equal("faster"))
		Expect(r.upstream.ran.Load()).To(BeEquivalentTo(2))
		close(release)
		expectNoLeaks()
		Expect(r.results()).To(Equal([]azurestair.AttemptResult{azurestair.AttemptDone, azurestair.AttemptDone}))
	})

	// Guards against connections and slots that leak with unread responses.
	ginkgo.It("closes a response that arrives after the request has ended", func() {
		c := &call{entry: r.Entry, dispatcher: r.dispatcher, work: azurestair.RequestInfo{Idempotent: true}}
		for _, first := range []bool{true, false} {
			runner := &attemptRunner{call: c, completed: make(chan *attempt, maxAttempts)}
			_, err := r.dispatcher.pick(c.work, nil)
			Expect(err).NotTo(HaveOccurred())
			closed := 0
			a := &attempt{runner: runner, ctx: ctx, choice: azurestair.Choice{Region: "kigali"}, response: upstream.Response{
				Body: &closeHook{ReadCloser: io.NopCloser(zeroReader{}), onClose: func() { closed++ }},
			}}
			a.cancel = func() {}
			if first {
				runner.complete(a)
			}
			runner.close()
			if !first {
				runner.complete(a)
			}
			Expect(closed).To(Equal(1))
		}
		expectNoLeaks()
	})
})

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }
