package instance

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/admission"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/routing"
	"azurestair.example/azurestair/upstream"
)

// fakeClock stands still but for advance.
type fakeClock struct{ at atomic.Int64 }

func newFakeClock() *fakeClock {
	c := &fakeClock{}
	c.at.Store(time.Now().UnixNano())
	return c
}

func (c *fakeClock) Now() time.Time          { return time.Unix(0, c.at.Load()) }
func (c *fakeClock) advance(d time.Duration) { c.at.Add(int64(d)) }

var errDown = errors.New("ledger is down")

// fakeLedger is the ledger of a control.State without replication.
type fakeLedger struct {
	mu    sync.Mutex
	state control.State
	index azurestair.Index
	// down makes every call fail; lost only the answers to claims that were applied.
	down, lost bool
	// answer replaces the result of a claim.
	answer *azurestair.Result
	// after runs before a claim's result is returned.
	after  func()
	claims int
}

func (l *fakeLedger) Propose(_ context.Context, c azurestair.Command) (azurestair.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return azurestair.Result{}, errDown
	}
	if c.Claim != nil {
		l.claims++
		if l.answer != nil {
			return *l.answer, nil
		}
	}
	l.index++
	c.At = azurestair.UnixMillisOf(time.Now())
	res := l.state.Apply(l.index, c)
	if c.Claim != nil && l.after != nil {
		l.after()
	}
	if c.Claim != nil && l.lost {
		return azurestair.Result{}, errDown
	}
	return res, nil
}

func (l *fakeLedger) QueryClaim(_ context.Context, q azurestair.ClaimQuery) (azurestair.ClaimStatus, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return azurestair.ClaimStatus{}, errDown
	}
	return azurestair.ClaimStatus{Record: l.state.Query(control.Query{Claim: &q}).Claim}, nil
}

func (l *fakeLedger) Query(context.Context, control.Query) (control.QueryResult, error) {
	return control.QueryResult{}, errDown
}

// stateOf returns the state of the claim of a key, empty without one.
func (l *fakeLedger) stateOf(key azurestair.RequestKey) azurestair.ClaimState {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, _ := l.state.Claim("shop", key)
	return r.State
}

// step is what the fake upstream does with one attempt.
type step string

const (
	stepDone    step = "done"
	stepShed    step = "shed"
	stepBroken  step = "broken"
	stepTimeout step = "timeout"
	stepRefuse  step = "refuse"
)

// worker is a fake upstream that follows a list of steps and then answers. It
// counts the attempts that ran.
type worker struct {
	server *httptest.Server
	mu     sync.Mutex
	steps  []step
	ran    atomic.Int64
	gone   atomic.Int64
	handle http.HandlerFunc
}

func newWorker(steps ...step) *worker {
	w := &worker{steps: steps}
	w.server = httptest.NewUnstartedServer(http.HandlerFunc(w.serve))
	w.server.Config.SetKeepAlivesEnabled(false)
	w.server.Start()
	ginkgo.DeferCleanup(func() { w.server.CloseClientConnections(); w.server.Close() })
	return w
}

func (w *worker) addr() string { return w.server.Listener.Addr().String() }

func (w *worker) next(only ...step) step {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.steps) == 0 {
		return stepDone
	}
	s := w.steps[0]
	if len(only) == 0 || s == only[0] {
		w.steps = w.steps[1:]
	}
	return s
}

// dial refuses the connection where the next step says so.
func (w *worker) dial(ctx context.Context, addr string) (net.Conn, error) {
	if w.next(stepRefuse) == stepRefuse {
		return nil, errors.New("connection refused")
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(upstream.HeaderRequest)
	rw.Header().Set(upstream.HeaderRequest, id)
	s := w.next()
	if s == stepShed {
		rw.Header().Set(upstream.HeaderNotRun, id)
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.ran.Add(1)
	switch {
	case s == stepBroken:
		panic(http.ErrAbortHandler)
	case s == stepTimeout:
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		w.gone.Add(1)
	case w.handle != nil:
		w.handle(rw, r)
	default:
		_, _ = io.WriteString(rw, "answer")
	}
}

// fakePicker chooses the one worker and notes the results of its attempts.
type fakePicker struct {
	addr    string
	results []azurestair.AttemptResult
}

func (p *fakePicker) Update(*azurestair.Snapshot, time.Time) {}

func (p *fakePicker) Pick(azurestair.Work, []azurestair.UpstreamID, time.Time) (azurestair.Choice, error) {
	return azurestair.Choice{Upstream: "u1", Addr: p.addr, Region: "kigali"}, nil
}

func (p *fakePicker) Done(_ azurestair.Choice, r azurestair.AttemptResult, _ time.Duration, _ time.Time) {
	p.results = append(p.results, r)
}

// rig is an entry with one gate, a fake ledger and a fake worker.
type rig struct {
	*Entry
	ledger *fakeLedger
	worker *worker
	picker *fakePicker
	gate   *gate
}

const slots = 20

func snapshotOf(cfg azurestair.ConfigVersion) *azurestair.Snapshot {
	op := func(name azurestair.OperationName, r azurestair.Rank, idempotent bool) azurestair.Operation {
		return azurestair.Operation{Name: name, Rank: r, Idempotent: idempotent, TimeoutMs: 20_000, MaxBodyBytes: 4 << 20}
	}
	return &azurestair.Snapshot{Term: 5, Revision: 10, Config: &azurestair.Config{
		Version: cfg, Regions: []azurestair.Region{{Name: "kigali"}},
		Services: []azurestair.Service{{Name: "shop", Operations: []azurestair.Operation{
			op("read", azurestair.RankInteractive, true), op("pay", azurestair.RankUrgent, false),
		}}},
	}}
}

func newRig(clock azurestair.Clock, l *fakeLedger, w *worker) *rig {
	ctx, cancel := context.WithCancel(context.Background())
	r := &rig{ledger: l, worker: w, picker: &fakePicker{addr: w.addr()}}
	e := &Entry{
		self:  azurestair.InstanceInfo{ID: azurestair.InstanceID(fmt.Sprintf("entry-%d", rigs.Add(1))), Incarnation: 1, Region: "kigali"},
		clock: clock, log: slog.New(slog.DiscardHandler), metrics: newMeters(), ledger: l, ctx: ctx,
		client: upstream.NewClient(w.dial, clock),
	}
	e.links = &links{entry: e, meters: map[azurestair.Resource]*routing.LinkMeter{}}
	e.makeGate = func(azurestair.ServiceName, *Entry) *gate {
		r.gate = newGate(clock, admission.New(admission.Options{}), r.picker, rand.NewPCG(1, 1))
		return r.gate
	}
	r.Entry = e
	e.update(snapshotOf(1))
	r.setSlots(slots)
	ginkgo.DeferCleanup(func() { cancel(); e.close() })
	return r
}

var rigs atomic.Int64

func (r *rig) setSlots(n int64) {
	budget := azurestair.Resource{Kind: azurestair.ResourceSlots, Service: "shop", Region: "kigali"}
	r.publish(&view{snapshot: snapshotOf(1), leases: control.Leases{budget: {Floor: n}}, controlDeadline: r.clock.Now().Add(time.Hour)})
}

// free returns how many urgent requests could start now.
func (r *rig) free() int {
	w := azurestair.Work{Rank: azurestair.RankUrgent, Caller: "probe", Deadline: r.clock.Now().Add(time.Hour)}
	n := 0
	for {
		id, ch, _, admitted := r.gate.offer(w)
		if !admitted {
			r.gate.cancel(id, ch, w)
			break
		}
		n++
	}
	for range n {
		r.gate.release(w)
	}
	return n
}

func (r *rig) results() []azurestair.AttemptResult {
	r.gate.mu.Lock()
	defer r.gate.mu.Unlock()
	return r.picker.results
}

// request is a caller's request; a body of unknown length has n < 0.
func (r *rig) request(op azurestair.OperationName, key azurestair.RequestKey, d time.Duration, body io.Reader, n int64) *caller.Request {
	return &caller.Request{
		ID: azurestair.RequestID(fmt.Sprintf("r-%d", rigs.Add(1))), Service: "shop", Operation: op, Method: http.MethodPost,
		Path: "/" + string(op), Header: http.Header{}, Body: body, BodyLen: n, Key: key, Caller: "c1", Deadline: r.clock.Now().Add(d),
	}
}

// answer is a reply with its body read.
type answer struct {
	caller.Reply
	body string
	err  error
}

func (r *rig) send(ctx context.Context, q *caller.Request) answer {
	a := answer{Reply: r.Serve(ctx, q)}
	if a.Body != nil {
		data, err := io.ReadAll(a.Body)
		a.body, a.err = string(data), err
		a.Body.Close()
	}
	return a
}

func (r *rig) post(op azurestair.OperationName, key azurestair.RequestKey, d time.Duration) answer {
	return r.send(context.Background(), r.request(op, key, d, strings.NewReader("x"), 1))
}

const (
	long  = 15 * time.Second
	short = 120 * time.Millisecond
)

// expectTruthful checks what must hold of every reply: "not run" is true, and
// a request that is not idempotent runs at most once.
func expectTruthful(r *rig, a answer, once bool) {
	ginkgo.GinkgoHelper()
	if a.NotRun {
		Expect(r.worker.ran.Load()).To(BeZero(), "notRun is false")
	}
	if once {
		Expect(r.worker.ran.Load()).To(BeNumerically("<=", 1), "ran twice")
	}
	Expect(a.NotRun && a.Outcome == azurestair.OutcomeUnknown).To(BeFalse())
}

func expectReply(a answer, o azurestair.Outcome, reason azurestair.Reason, notRun bool) {
	ginkgo.GinkgoHelper()
	Expect([]any{a.Outcome, a.Reason, a.NotRun}).To(Equal([]any{o, reason, notRun}))
}

// modelOf says what the caller learns and how often the request runs.
func modelOf(steps []step, idempotent bool) (azurestair.Outcome, int) {
	ran := 0
	for i := range 3 {
		s := stepDone
		if i < len(steps) {
			s = steps[i]
		}
		switch s {
		case stepDone:
			return azurestair.OutcomeDone, ran + 1
		case stepBroken, stepTimeout:
			ran++
			if !idempotent {
				return azurestair.OutcomeUnknown, ran
			}
		}
	}
	if ran > 0 {
		return azurestair.OutcomeUnknown, ran
	}
	return azurestair.OutcomeRefused, ran
}

// sequences lists all sequences of up to three steps; a timeout only comes
// last, since the time left after one depends on the load of the machine.
func sequences() [][]step {
	out := [][]step{{}, {stepTimeout}}
	quick := []step{stepShed, stepBroken, stepRefuse}
	for _, a := range quick {
		out = append(out, []step{a}, []step{a, stepTimeout})
		for _, b := range quick {
			out = append(out, []step{a, b})
			for _, c := range quick {
				out = append(out, []step{a, b, c})
			}
		}
	}
	return out
}

var _ = ginkgo.Describe("the way of a request", func() {
	// Guards against a second run of a payment, a false "not run", and a retry
	// after an attempt that may have run, over all sequences of results.
	ginkgo.DescribeTable("with every sequence of attempt results",
		func(op azurestair.OperationName, key azurestair.RequestKey) {
			once := op == "pay"
			for _, steps := range sequences() {
				l := &fakeLedger{}
				r := newRig(SystemClock{}, l, newWorker(steps...))
				timeout := len(steps) > 0 && steps[len(steps)-1] == stepTimeout
				d := long
				if timeout {
					d = 300 * time.Millisecond
				}
				a := r.post(op, key, d)
				expectTruthful(r, a, once)
				outcome, ran := modelOf(steps, !once)
				if timeout && !once {
					continue
				}
				if key != "" && !once && outcome == azurestair.OutcomeRefused {
					outcome = azurestair.OutcomeUnknown
				}
				Expect([]any{a.Outcome, r.worker.ran.Load()}).To(Equal([]any{outcome, int64(ran)}), "steps %v", steps)
				if once {
					want := map[azurestair.Outcome]azurestair.ClaimState{
						azurestair.OutcomeDone: azurestair.ClaimDone, azurestair.OutcomeRefused: azurestair.ClaimNotRun,
						azurestair.OutcomeUnknown: azurestair.ClaimUnknown,
					}[outcome]
					Eventually(func() azurestair.ClaimState { return l.stateOf(key) }).Should(Equal(want), "steps %v", steps)
				}
			}
		},
		ginkgo.Entry("idempotent", azurestair.OperationName("read"), azurestair.RequestKey("")),
		ginkgo.Entry("idempotent with a key", azurestair.OperationName("read"), azurestair.RequestKey("k1")),
		ginkgo.Entry("not idempotent", azurestair.OperationName("pay"), azurestair.RequestKey("k1")),
	)

	// prior has another entry leave a record of the key "k1".
	prior := func(l *fakeLedger, state azurestair.ClaimState, body string) {
		other := newRig(SystemClock{}, &fakeLedger{}, newWorker())
		c := &call{entry: other.Entry, req: other.request("pay", "k1", long, nil, 0), body: []byte(body), work: azurestair.Work{
			Service: "shop", Operation: "pay", Deadline: time.Now().Add(long),
		}}
		claim := c.claim()
		_, _ = l.Propose(context.Background(), azurestair.Command{Claim: &claim})
		if state == azurestair.ClaimHeld {
			return
		}
		f := azurestair.ClaimFinish{
			Service: "shop", Key: "k1", Instance: claim.Instance, Incarnation: claim.Incarnation, Attempt: claim.Attempt, State: state,
		}
		if state == azurestair.ClaimDone {
			f.Answer = &azurestair.Answer{Status: 201, Body: []byte("first")}
		}
		_, _ = l.Propose(context.Background(), azurestair.Command{Finish: &f})
	}

	// Guards against a request that runs again, or is called "not run", in
	// spite of what the ledger holds; with no slots the request is refused at
	// admission and the ledger is only asked.
	ginkgo.DescribeTable("with every state of the ledger",
		func(set func(*fakeLedger), outcome, unadmitted azurestair.Outcome, reason azurestair.Reason, ran int) {
			for _, n := range []int64{slots, 0} {
				l := &fakeLedger{}
				set(l)
				r := newRig(SystemClock{}, l, newWorker())
				r.setSlots(n)
				d := long
				if n == 0 {
					d = short
				}
				a := r.post("pay", "k1", d)
				expectTruthful(r, a, true)
				if n == 0 {
					Expect(a.Outcome).To(Equal(unadmitted), "not admitted")
					Expect(r.worker.ran.Load()).To(BeZero())
					continue
				}
				Expect([]any{a.Outcome, a.Reason, r.worker.ran.Load()}).To(Equal([]any{outcome, reason, int64(ran)}))
				if a.Replayed {
					Expect([]any{a.Status, a.body}).To(Equal([]any{201, "first"}))
				}
			}
		},
		ginkgo.Entry("no record", func(*fakeLedger) {}, azurestair.OutcomeDone, azurestair.OutcomeRefused, azurestair.ReasonNone, 1),
		ginkgo.Entry("unreachable", func(l *fakeLedger) { l.down = true },
			azurestair.OutcomeUnknown, azurestair.OutcomeUnknown, azurestair.ReasonLedgerUnreachable, 0),
		ginkgo.Entry("answer lost", func(l *fakeLedger) { l.lost = true },
			azurestair.OutcomeUnknown, azurestair.OutcomeRefused, azurestair.ReasonLedgerUnreachable, 0),
		ginkgo.Entry("full", func(l *fakeLedger) { l.answer = &azurestair.Result{Code: azurestair.ResultFull} },
			azurestair.OutcomeRefused, azurestair.OutcomeRefused, azurestair.ReasonLedgerFull, 0),
		ginkgo.Entry("held", func(l *fakeLedger) { prior(l, azurestair.ClaimHeld, "x") },
			azurestair.OutcomeInProgress, azurestair.OutcomeInProgress, azurestair.ReasonInProgress, 0),
		ginkgo.Entry("done", func(l *fakeLedger) { prior(l, azurestair.ClaimDone, "x") },
			azurestair.OutcomeDone, azurestair.OutcomeDone, azurestair.ReasonNone, 0),
		ginkgo.Entry("unknown", func(l *fakeLedger) { prior(l, azurestair.ClaimUnknown, "x") },
			azurestair.OutcomeUnknown, azurestair.OutcomeUnknown, azurestair.ReasonEntryLost, 0),
		ginkgo.Entry("not run", func(l *fakeLedger) { prior(l, azurestair.ClaimNotRun, "x") },
			azurestair.OutcomeDone, azurestair.OutcomeRefused, azurestair.ReasonNone, 1),
		ginkgo.Entry("done for another request", func(l *fakeLedger) { prior(l, azurestair.ClaimDone, "y") },
			azurestair.OutcomeInvalid, azurestair.OutcomeInvalid, azurestair.ReasonKeyReused, 0),
	)

	// Guards against a first byte before the claim, and against a claim that
	// stays held when its answer was lost.
	ginkgo.It("sends nothing for a claim whose answer is lost, and gives the claim back", func() {
		r := newRig(SystemClock{}, &fakeLedger{lost: true}, newWorker())
		expectReply(r.post("pay", "k1", long), azurestair.OutcomeUnknown, azurestair.ReasonLedgerUnreachable, false)
		Eventually(func() azurestair.ClaimState { return r.ledger.stateOf("k1") }).Should(Equal(azurestair.ClaimNotRun))
	})

	// Guards against a late send by an entry that was frozen after its claim.
	ginkgo.It("sends nothing for a claim that was granted after the deadline", func() {
		clk, l := newFakeClock(), &fakeLedger{}
		l.after = func() { clk.advance(2 * long) }
		r := newRig(clk, l, newWorker())
		expectReply(r.post("pay", "k1", long), azurestair.OutcomeRefused, azurestair.ReasonDeadline, true)
		Expect(r.worker.ran.Load()).To(BeZero())
		Eventually(func() azurestair.ClaimState { return l.stateOf("k1") }).Should(Equal(azurestair.ClaimNotRun))
	})

	// Guards against two runs of one key that comes in twice at the same time.
	ginkgo.It("answers a duplicate through any entry from the ledger", func() {
		l, release := &fakeLedger{}, make(chan struct{})
		w := newWorker()
		w.handle = func(rw http.ResponseWriter, _ *http.Request) { <-release; _, _ = io.WriteString(rw, "answer") }
		one, two := newRig(SystemClock{}, l, w), newRig(SystemClock{}, l, w)
		first := make(chan answer)
		go func() { first <- one.post("pay", "k1", long) }()
		Eventually(w.ran.Load).Should(BeEquivalentTo(1))
		expectReply(one.post("pay", "k1", long), azurestair.OutcomeInProgress, azurestair.ReasonInProgress, false)
		expectReply(two.post("pay", "k1", long), azurestair.OutcomeInProgress, azurestair.ReasonInProgress, false)
		close(release)
		Expect((<-first).body).To(Equal("answer"))
		for _, r := range []*rig{one, two} {
			a := r.post("pay", "k1", long)
			Expect([]any{a.body, a.Replayed}).To(Equal([]any{"answer", true}))
		}
		Expect(w.ran.Load()).To(BeEquivalentTo(1))
	})

	// Guards against "not run" for a key that may have run through another entry.
	ginkgo.DescribeTable("never says not run of a key without asking the ledger",
		func(set func(*rig), op azurestair.OperationName) {
			r := newRig(SystemClock{}, &fakeLedger{}, newWorker())
			set(r)
			a := r.post(op, "k1", short)
			Expect(a.NotRun).To(BeFalse())
			Expect(r.ledger.claims).To(BeZero())
		},
		ginkgo.Entry("unknown operation", func(*rig) {}, azurestair.OperationName("gone")),
		ginkgo.Entry("too many requests", func(r *rig) { r.maxInFlight = 1; r.inFlight.Add(1) }, azurestair.OperationName("pay")),
		ginkgo.Entry("no snapshot", func(r *rig) { r.view.Store(nil) }, azurestair.OperationName("pay")),
		ginkgo.Entry("idempotent, not admitted", func(r *rig) { r.setSlots(0) }, azurestair.OperationName("read")),
	)

	ginkgo.It("needs a key for an operation that is not idempotent", func() {
		r := newRig(SystemClock{}, &fakeLedger{}, newWorker())
		expectReply(r.post("pay", "", long), azurestair.OutcomeInvalid, azurestair.ReasonKeyMissing, true)
	})
})

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
