package instance

import (
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
