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

// stalled is a body that sends a part and then nothing.
type stalled struct{ left int }

func (s *stalled) Read(p []byte) (int, error) {
	if s.left == 0 {
		select {}
	}
	n := min(s.left, len(p))
	s.left -= n
	return n, nil
}

var _ = ginkgo.Describe("bodies, slots and cancellation", func() {
	var (
		r   *rig
		ctx = context.Background()
	)
	ginkgo.BeforeEach(func() { r = newRig(SystemClock{}, &fakeLedger{}, newWorker()) })

	// Guards against slots and connections that are lost with each request.
	expectNothingHeld := func() {
		ginkgo.GinkgoHelper()
		Eventually(r.free).Should(Equal(slots))
		Eventually(func() azurestair.Slots { return r.gate.usage().inFlight["kigali"] }).Should(BeZero())
		Eventually(r.isIdle).Should(BeTrue())
	}

	ginkgo.DescribeTable("long bodies pass both ways unchanged",
		func(op azurestair.OperationName, n int64) {
			data := bytes.Repeat([]byte("0123456789abcdef"), 100_000)
			r.worker.handle = func(w http.ResponseWriter, q *http.Request) { _, _ = io.Copy(w, q.Body) }
			a := r.send(ctx, r.request(op, "k1", long, bytes.NewReader(data), n*int64(len(data))))
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body == string(data)).To(BeTrue(), "%d bytes came back", len(a.body))
			expectNothingHeld()
		},
		ginkgo.Entry("streamed", azurestair.OperationName("read"), int64(1)),
		ginkgo.Entry("of unknown length", azurestair.OperationName("read"), int64(-1)),
		ginkgo.Entry("not idempotent", azurestair.OperationName("pay"), int64(1)),
	)

	ginkgo.DescribeTable("a body over the limit is refused before a slot is taken",
		func(op azurestair.OperationName, n int64) {
			body := io.LimitReader(zeros{}, 5<<20)
			a := r.send(ctx, r.request(op, "k1", long, body, n))
			expectReply(a, azurestair.OutcomeInvalid, azurestair.ReasonBodyTooLarge, false)
			Expect(r.worker.ran.Load()).To(BeZero())
		},
		ginkgo.Entry("by its length", azurestair.OperationName("read"), int64(5<<20)),
		ginkgo.Entry("of unknown length", azurestair.OperationName("read"), int64(-1)),
		ginkgo.Entry("not idempotent", azurestair.OperationName("pay"), int64(-1)),
	)

	// Guards against callers that hold slots, or have workers ejected, by sending slowly.
	ginkgo.It("a caller that stalls within its body holds no slot past the deadline", func() {
		r.worker.handle = func(_ http.ResponseWriter, q *http.Request) { _, _ = io.Copy(io.Discard, q.Body) }
		a := r.send(ctx, r.request("read", "", short, &stalled{left: 200_000}, 1<<20))
		Expect(a.Outcome).To(Equal(azurestair.OutcomeUnknown))
		Expect(r.results()).To(Equal([]azurestair.AttemptResult{azurestair.AttemptDone}))
		expectNothingHeld()
	})

	// Guards against workers that are ejected because callers hang up.
	ginkgo.It("a caller that hangs up cancels the attempt and costs the worker nothing", func() {
		r.worker.steps = []step{stepTimeout}
		gone, cancel := context.WithCancel(ctx)
		go func() {
			defer ginkgo.GinkgoRecover()
			Eventually(r.worker.ran.Load).Should(BeEquivalentTo(1))
			cancel()
		}()
		a := r.send(gone, r.request("read", "", long, nil, 0))
		expectTruthful(r, a, false)
		expectReply(a, azurestair.OutcomeUnknown, azurestair.ReasonCallerLeft, false)
		Eventually(r.worker.gone.Load).Should(BeEquivalentTo(1))
		Expect(r.results()).To(Equal([]azurestair.AttemptResult{azurestair.AttemptDone}))
		Expect(r.free()).To(Equal(slots-1), "the worker may still be busy")
	})

	// Guards against a worker that cuts its long answers and still counts as healthy.
	ginkgo.It("an answer that breaks off counts against the worker", func() {
		r.worker.handle = func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.CopyN(w, zeros{}, 2*wholeLimit)
			panic(http.ErrAbortHandler)
		}
		a := r.send(ctx, r.request("read", "", long, nil, 0))
		Expect(a.err).To(HaveOccurred())
		Expect(r.results()).To(Equal([]azurestair.AttemptResult{azurestair.AttemptBroken}))
		expectNothingHeld()
	})

	// Guards against new work for a worker that is still busy with what timed out.
	ginkgo.DescribeTable("the slot of a timed-out attempt stays busy",
		func(steps ...step) {
			r.worker.steps = steps
			r.worker.handle = func(w http.ResponseWriter, q *http.Request) {
				_, _ = io.Copy(io.Discard, q.Body)
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				<-q.Context().Done()
			}
			_ = r.post("read", "", short)
			late := 0
			for _, res := range r.results() {
				if res == azurestair.AttemptTimeout {
					late++
				}
			}
			Expect(late).To(BeNumerically(">=", 1))
			Expect(r.free()).To(Equal(slots - late))
		},
		ginkgo.Entry("before the head", stepTimeout, stepTimeout, stepTimeout),
		ginkgo.Entry("within the body"),
	)

	// Guards against a slot that is freed while its answer is still being passed on.
	ginkgo.It("a streamed answer holds its slot until it is closed", func() {
		r.worker.handle = func(w http.ResponseWriter, _ *http.Request) { _, _ = io.CopyN(w, zeros{}, 2*bufferLimit) }
		for _, op := range []azurestair.OperationName{"read", "pay"} {
			reply := r.Serve(ctx, r.request(op, "k1", long, nil, 0))
			Expect(r.free()).To(Equal(slots-1), string(op))
			Expect(reply.Body.Close()).To(Succeed())
			expectNothingHeld()
		}
	})

	ginkgo.It("a HEAD answer keeps the length that the worker gave", func() {
		r.worker.handle = func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "7") }
		for _, op := range []azurestair.OperationName{"read", "pay"} {
			q := r.request(op, "k1", long, nil, 0)
			q.Method = http.MethodHead
			Expect(r.send(ctx, q).Length).To(BeEquivalentTo(7))
		}
	})

	// Guards against an answer of the slower attempt, and against slots and connections that it keeps.
	ginkgo.It("a hedge that wins has the answer of the slower attempt discarded", func() {
		for range 200 {
			r.gate.latency.Observe(time.Millisecond)
		}
		release := make(chan struct{})
		r.worker.handle = func(w http.ResponseWriter, _ *http.Request) {
			if r.worker.ran.Load() == 1 {
				<-release
				_, _ = io.CopyN(w, zeros{}, 2*wholeLimit)
				return
			}
			_, _ = io.WriteString(w, "faster")
		}
		a := r.post("read", "", long)
		Expect(a.body).To(Equal("faster"))
		Expect(r.worker.ran.Load()).To(BeEquivalentTo(2))
		close(release)
		expectNothingHeld()
		Expect(r.results()).To(Equal([]azurestair.AttemptResult{azurestair.AttemptDone, azurestair.AttemptDone}))
	})

	// Guards against connections and slots that leak with answers nobody waits for.
	ginkgo.It("an answer that comes after the request has ended is closed", func() {
		c := &call{entry: r.Entry, gate: r.gate, work: azurestair.Work{Idempotent: true}}
		for _, first := range []bool{true, false} {
			t := &tries{call: c, ended: make(chan *try, maxTries)}
			_, err := r.gate.pick(c.work, nil)
			Expect(err).NotTo(HaveOccurred())
			closed := 0
			e := &try{tries: t, ctx: ctx, choice: azurestair.Choice{Region: "kigali"}, answer: upstream.Answer{
				Body: &closer{ReadCloser: io.NopCloser(zeros{}), done: func() { closed++ }},
			}}
			e.cancel = func() {}
			if first {
				t.report(e)
			}
			t.end()
			if !first {
				t.report(e)
			}
			Expect(closed).To(Equal(1))
		}
		expectNothingHeld()
	})
})

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
