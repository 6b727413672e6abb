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

// fakeClock is a clock that moves only by advance.
type fakeClock struct{ at atomic.Int64 }

func newFakeClock() *fakeClock {
	c := &fakeClock{}
	c.at.Store(time.Now().UnixNano())
	return c
}

func (c *fakeClock) Now() time.Time          { return time.Unix(0, c.at.Load()) }
func (c *fakeClock) advance(d time.Duration) { c.at.Add(int64(d)) }

var errUnreachable = errors.New("ledger is down")

// fakeLedger is the ledger of a control.State without replication.
type fakeLedger struct {
	mu    sync.Mutex
	state control.State
	index azurestair.Index
	// down makes every call fail. dropResponses drops only the responses to
	// claims, which are still applied.
	down, dropResponses bool
	// claimResult replaces the result of a claim, which is then not applied.
	claimResult *azurestair.Result
	// afterApply runs after a claim is applied and before its result is
	// returned.
	afterApply func()
	claims     int
}

func (l *fakeLedger) Propose(_ context.Context, c azurestair.Command) (azurestair.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return azurestair.Result{}, errUnreachable
	}
	if c.Claim != nil {
		l.claims++
		if l.claimResult != nil {
			return *l.claimResult, nil
		}
	}
	l.index++
	c.At = azurestair.UnixMillisOf(time.Now())
	res := l.state.Apply(l.index, c)
	if c.Claim != nil && l.afterApply != nil {
		l.afterApply()
	}
	if c.Claim != nil && l.dropResponses {
		return azurestair.Result{}, errUnreachable
	}
	return res, nil
}

func (l *fakeLedger) QueryClaim(_ context.Context, q azurestair.ClaimQuery) (azurestair.ClaimStatus, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return azurestair.ClaimStatus{}, errUnreachable
	}
	return azurestair.ClaimStatus{Record: l.state.Query(control.Query{Claim: &q}).Claim}, nil
}

func (l *fakeLedger) Query(context.Context, control.Query) (control.QueryResult, error) {
	return control.QueryResult{}, errUnreachable
}

// stateOf returns the state of a key's claim, or an empty state if there is
// none.
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

// fakeUpstream follows a list of steps and then answers normally. It counts the
// attempts that ran.
type fakeUpstream struct {
	server    *httptest.Server
	mu        sync.Mutex
	steps     []step
	ran       atomic.Int64
	cancelled atomic.Int64
	handle    http.HandlerFunc
}

func newFakeUpstream(steps ...step) *fakeUpstream {
	u := &fakeUpstream{steps: steps}
	u.server = httptest.NewUnstartedServer(http.HandlerFunc(u.serve))
	u.server.Config.SetKeepAlivesEnabled(false)
	u.server.Start()
	ginkgo.DeferCleanup(func() { u.server.CloseClientConnections(); u.server.Close() })
	return u
}

func (u *fakeUpstream) addr() string { return u.server.Listener.Addr().String() }

// next removes and returns the next step. If a step is given, any other step
// stays in the list.
func (u *fakeUpstream) next(only ...step) step {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.steps) == 0 {
		return stepDone
	}
	s := u.steps[0]
	if len(only) == 0 || s == only[0] {
		u.steps = u.steps[1:]
	}
	return s
}

// dial refuses the connection if the next step is stepRefuse.
func (u *fakeUpstream) dial(ctx context.Context, addr string) (net.Conn, error) {
	if u.next(stepRefuse) == stepRefuse {
		return nil, errors.New("connection refused")
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}

func (u *fakeUpstream) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(upstream.HeaderAttemptID)
	rw.Header().Set(upstream.HeaderAttemptID, id)
	s := u.next()
	if s == stepShed {
		rw.Header().Set(upstream.HeaderNotRun, id)
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.ran.Add(1)
	switch {
	case s == stepBroken:
		panic(http.ErrAbortHandler)
	case s == stepTimeout:
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		u.cancelled.Add(1)
	case u.handle != nil:
		u.handle(rw, r)
	default:
		_, _ = io.WriteString(rw, "answer")
	}
}

// fakePicker always picks the fake upstream and records the results of its
// attempts.
type fakePicker struct {
	addr    string
	results []azurestair.AttemptResult
	// abandonedSent counts the attempts that were sent and then abandoned.
	abandonedSent int
}

func (p *fakePicker) Update(*azurestair.Snapshot, time.Time) {}

func (p *fakePicker) Pick(azurestair.RequestInfo, []azurestair.UpstreamID, time.Time) (azurestair.Choice, error) {
	return azurestair.Choice{Upstream: "u1", Addr: p.addr, Region: "kigali"}, nil
}

func (p *fakePicker) Done(_ azurestair.Choice, r azurestair.AttemptResult, _ time.Duration, _ time.Time) {
	p.results = append(p.results, r)
}

// Abandon records the result that a picker without this method gets.
func (p *fakePicker) Abandon(_ azurestair.Choice, sent bool, _ time.Duration, _ time.Time) {
	p.results = append(p.results, azurestair.AttemptDone)
	if sent {
		p.abandonedSent++
	}
}

// entryFixture is an entry with one dispatcher, a fake ledger and a fake
// upstream.
type entryFixture struct {
	*Entry
	ledger     *fakeLedger
	upstream   *fakeUpstream
	picker     *fakePicker
	dispatcher *dispatcher
}

const fixtureSlots = 20

func testSnapshot(cfg azurestair.ConfigVersion) *azurestair.Snapshot {
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

func newEntryFixture(clock azurestair.Clock, l *fakeLedger, u *fakeUpstream) *entryFixture {
	ctx, cancel := context.WithCancel(context.Background())
	r := &entryFixture{ledger: l, upstream: u, picker: &fakePicker{addr: u.addr()}}
	e := &Entry{
		self:  azurestair.InstanceInfo{ID: azurestair.InstanceID(fmt.Sprintf("entry-%d", fixtureIDs.Add(1))), Incarnation: 1, Region: "kigali"},
		clock: clock, log: slog.New(slog.DiscardHandler), metrics: newProcessMetrics(), ledger: l, ctx: ctx,
		upstreamClient: upstream.NewClient(u.dial, clock),
	}
	e.linkPacer = &linkPacer{entry: e, limiters: map[azurestair.Resource]*routing.LinkPacer{}}
	e.makeDispatcher = func(azurestair.ServiceName, *Entry) *dispatcher {
		r.dispatcher = newDispatcher(clock, admission.New(admission.Options{}), r.picker, rand.NewPCG(1, 1))
		return r.dispatcher
	}
	r.Entry = e
	e.update(testSnapshot(1))
	r.setSlots(fixtureSlots)
	ginkgo.DeferCleanup(func() { cancel(); e.close() })
	return r
}

var fixtureIDs atomic.Int64

func (r *entryFixture) setSlots(n int64) {
	budget := azurestair.Resource{Kind: azurestair.ResourceSlots, Service: "shop", Region: "kigali"}
	r.publish(&view{snapshot: testSnapshot(1), leases: control.Leases{budget: {Floor: n}}, controlDeadline: r.clock.Now().Add(time.Hour)})
}

// freeSlots returns how many urgent requests could start now.
func (r *entryFixture) freeSlots() int {
	w := azurestair.RequestInfo{Rank: azurestair.RankUrgent, Caller: "probe", Deadline: r.clock.Now().Add(time.Hour)}
	n := 0
	for {
		id, ch, _, admitted := r.dispatcher.offer(w)
		if !admitted {
			r.dispatcher.cancel(id, ch, w)
			break
		}
		n++
	}
	for range n {
		r.dispatcher.release(w)
	}
	return n
}

func (r *entryFixture) results() []azurestair.AttemptResult {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.mu.Unlock()
	return r.picker.results
}

func (r *entryFixture) abandonedSent() int {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.mu.Unlock()
	return r.picker.abandonedSent
}

// request returns a caller's request. A negative n means a body of unknown
// length.
func (r *entryFixture) request(op azurestair.OperationName, key azurestair.RequestKey, d time.Duration, body io.Reader, n int64) *caller.Request {
	return &caller.Request{
		ID: azurestair.RequestID(fmt.Sprintf("r-%d", fixtureIDs.Add(1))), Service: "shop", Operation: op, Method: http.MethodPost,
		Path: "/" + string(op), Header: http.Header{}, Body: body, BodyLen: n, Key: key, Caller: "c1", Deadline: r.clock.Now().Add(d),
	}
}

// response is a reply with its body read.
type response struct {
	caller.Reply
	body string
	err  error
}

func (r *entryFixture) send(ctx context.Context, q *caller.Request) response {
	resp := response{Reply: r.Serve(ctx, q)}
	if resp.Body != nil {
		data, err := io.ReadAll(resp.Body)
		resp.body, resp.err = string(data), err
		resp.Body.Close()
	}
	return resp
}

func (r *entryFixture) sendDefault(op azurestair.OperationName, key azurestair.RequestKey, d time.Duration) response {
	return r.send(context.Background(), r.request(op, key, d, strings.NewReader("x"), 1))
}

const (
	longTimeout  = 15 * time.Second
	shortTimeout = 120 * time.Millisecond
)

// expectConsistentReply checks the invariants of every reply: NotRun is set
// only for a request that did not run, and a request that is not idempotent
// runs at most once.
func expectConsistentReply(r *entryFixture, resp response, atMostOnce bool) {
	ginkgo.GinkgoHelper()
	if resp.NotRun {
		Expect(r.upstream.ran.Load()).To(BeZero(), "NotRun is set for a request that ran")
	}
	if atMostOnce {
		Expect(r.upstream.ran.Load()).To(BeNumerically("<=", 1), "ran more than once")
	}
	Expect(resp.NotRun && resp.Outcome == azurestair.OutcomeUnknown).To(BeFalse())
}

func expectReply(resp response, o azurestair.Outcome, reason azurestair.Reason, notRun bool) {
	ginkgo.GinkgoHelper()
	Expect([]any{resp.Outcome, resp.Reason, resp.NotRun}).To(Equal([]any{o, reason, notRun}))
}
