package instance

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/peer"
	"azurestair.example/azurestair/quota"
)

// jarsLimit is a limit whose bucket holds 10 tokens.
var jarsLimit = azurestair.Workspace{Name: "jars", RatePerSecond: 10, Burst: 10}

// quotaSlack is the slack in tests: with jarsLimit the total is 16 requests.
const quotaSlack = 6

// quotaFleet is a leader and several entries in one process. Their clock moves
// only by advance.
type quotaFleet struct {
	clock   *fakeClock
	mu      sync.Mutex // guards leader, which several entries ask
	leader  *leadingReplica
	entries []*entryFixture
	// down makes every ask fail.
	down bool
}

func newQuotaFleet(entries int) *quotaFleet {
	ginkgo.GinkgoHelper()
	f := &quotaFleet{clock: newFakeClock(), leader: newLeadingReplica()}
	done := make(chan proposeReply, 1)
	cfg := *testSnapshot(1).Config
	cfg.Workspaces, cfg.Defaults.QuotaSlack = []azurestair.Workspace{jarsLimit}, quotaSlack
	f.leader.propose(proposeEvent{reply: done, command: azurestair.Command{Config: &azurestair.ConfigChange{
		Change: azurestair.Change{ID: "c1", Operator: "o", Reason: "first"}, Config: cfg,
	}}}, f.leader.now)
	f.leader.run(2)
	Expect((<-done).result.Code).To(Equal(azurestair.ResultAccepted))
	for range entries {
		f.addEntry(f)
	}
	return f
}

// addEntry starts an entry that asks through asker.
func (f *quotaFleet) addEntry(asker azurestair.QuotaAsker) {
	e := newEntryFixture(f.clock, &fakeLedger{}, newFakeUpstream())
	ctx, cancel := context.WithCancel(context.Background())
	e.quota = newQuotaGate(e.self, f.clock, slog.New(slog.DiscardHandler), e.metrics)
	e.quota.asker = asker
	e.wg.Go(func() { e.quota.run(ctx) })
	ginkgo.DeferCleanup(cancel)
	f.entries = append(f.entries, e)
}

// AskQuota passes an ask to the leader's event.
func (f *quotaFleet) AskQuota(_ context.Context, ask azurestair.QuotaAsk) (azurestair.QuotaAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return azurestair.QuotaAnswer{}, azurestair.ErrNoQuorum
	}
	if err := ask.Validate(); err != nil {
		return azurestair.QuotaAnswer{}, err
	}
	reply := make(chan quotaReply, 1)
	quotaEvent{ask: ask, reply: reply}.handle(&Controller{replica: f.leader.Replica}, f.leader.now)
	r := <-reply
	return r.answer, r.err
}

// advance moves the clocks of the entries and of the leader.
func (f *quotaFleet) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clock.advance(d)
	f.leader.run(int(d / (100 * time.Millisecond)))
}

// send serves a request of workspace jars at an entry.
func (f *quotaFleet) send(entry int, op azurestair.OperationName, key azurestair.RequestKey) response {
	e := f.entries[entry]
	r := e.request(op, key, longTimeout, strings.NewReader("x"), 1)
	cfg := f.leader.state.Config()
	operation, _ := cfg.Operation("shop", op)
	c := &call{entry: e.Entry, dispatcher: e.dispatcher, req: r, op: operation, config: cfg, work: azurestair.RequestInfo{
		Service: "shop", Operation: op, Rank: operation.Rank, Idempotent: operation.Idempotent, Caller: r.Caller,
		Deadline: r.Deadline, Workspace: jarsLimit.Name,
	}}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(longTimeout))
	defer cancel()
	reply := c.settleQuota(c.serveIdempotent(ctx))
	if reply.Body != nil {
		reply.Body.Close()
	}
	return response{Reply: reply}
}

// status returns what the leader knows of the workspace.
func (f *quotaFleet) status() azurestair.QuotaStatus {
	ginkgo.GinkgoHelper()
	f.mu.Lock()
	defer f.mu.Unlock()
	all := f.leader.query(control.Query{Quotas: true}, f.leader.now).Quotas
	Expect(all).To(HaveLen(1))
	return all[0]
}

func expectRefusedByQuota(resp response) {
	ginkgo.GinkgoHelper()
	Expect([]any{resp.Outcome, resp.NotRun}).To(Equal([]any{azurestair.OutcomeRefused, true}))
	Expect(resp.Reason).To(BeElementOf(azurestair.ReasonQuota, azurestair.ReasonQuotaUnreachable))
	Expect(resp.RetryAfter).To(BeNumerically(">", 0))
}

// Guards against entries that each admit up to the limit, and against callers
// that are refused without being told when to come back.
var _ = ginkgo.It("several entries together admit no more than the limit", func() {
	f := newQuotaFleet(3)
	f.advance(20 * time.Second)
	done, overLimit := 0, 0
	const rounds, step = 6, 100 * time.Millisecond
	for range rounds {
		for e := range f.entries {
			for range 3 {
				resp := f.send(e, "read", "")
				if resp.Outcome == azurestair.OutcomeDone {
					done++
					continue
				}
				expectRefusedByQuota(resp)
				if resp.Reason == azurestair.ReasonQuota {
					overLimit++
				}
			}
		}
		f.advance(step)
	}
	ran := int64(0)
	for _, e := range f.entries {
		ran += e.upstream.ran.Load()
	}
	total := jarsLimit.Burst + quotaSlack + float64(jarsLimit.RatePerSecond)*(rounds*step).Seconds()
	Expect(ran).To(BeEquivalentTo(done))
	Expect(done).To(BeNumerically(">=", 10))
	Expect(float64(done)).To(BeNumerically("<=", total))
	Expect(overLimit).To(BeNumerically(">", 0))
	Expect(f.status().Admitted).To(BeNumerically(">", 0))
	Expect(f.status().Limit).To(Equal(jarsLimit.RatePerSecond))
})

// quotaHandler is the peer server of the leader of a quotaFleet.
type quotaHandler struct {
	peer.Handler
	fleet *quotaFleet
}

func (h quotaHandler) AskQuota(ctx context.Context, ask azurestair.QuotaAsk) (azurestair.QuotaAnswer, error) {
	return h.fleet.AskQuota(ctx, ask)
}

// Guards against an entry that never gets tokens because a message does not
// pass the codec or the checks.
var _ = ginkgo.It("an entry gets its tokens over the network", func() {
	f := newQuotaFleet(0)
	f.advance(20 * time.Second)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := peer.NewServer(quotaHandler{fleet: f}, nil, nil)
	go func() { _ = s.Serve(l) }()
	ginkgo.DeferCleanup(s.Stop)
	conns := peer.NewConns(nil, nil, nil)
	ginkgo.DeferCleanup(conns.Close)
	f.addEntry(peer.NewClient(conns, []peer.Address{{ID: "c1", Addr: l.Addr().String()}}))
	Eventually(func() azurestair.Outcome {
		f.advance(time.Second)
		return f.send(0, "read", "").Outcome
	}, longTimeout).Should(Equal(azurestair.OutcomeDone))
	Expect(f.status().Leased).To(BeNumerically(">", 0))
})

var _ = ginkgo.It("a control instance that does not lead asks over the network", func() {
	f := newQuotaFleet(0)
	ctx, cancel := context.WithCancel(context.Background())
	c := newController(f.clock, slog.New(slog.DiscardHandler), newMemberFixture().Member, nil)
	done := make(chan struct{})
	go func() { defer close(done); c.run(ctx) }()
	answer, err := localLeaderQuota{controller: c, remote: f}.AskQuota(ctx, azurestair.QuotaAsk{Holder: "entry-1", Incarnation: 1, Sequence: 1})
	cancel()
	<-done
	Expect(err).NotTo(HaveOccurred())
	Expect(answer.Term).To(Equal(f.leader.leaderTerm))
})

// Guards against 429, which says that the workspace is over its limit, from an
// entry that does not know that.
var _ = ginkgo.It("an entry that does not reach the leader uses its tokens and then refuses", func() {
	f := newQuotaFleet(1)
	f.advance(20 * time.Second)
	Expect(f.send(0, "read", "").Outcome).To(Equal(azurestair.OutcomeDone))
	f.mu.Lock()
	f.down = true
	f.mu.Unlock()
	f.advance(10 * time.Second)
	expectReply(f.send(0, "read", ""), azurestair.OutcomeRefused, azurestair.ReasonQuotaUnreachable, true)
	Expect(f.entries[0].upstream.ran.Load()).To(BeEquivalentTo(1))
})

// Guards against requests that use up the limit although no upstream got them.
var _ = ginkgo.It("a request that no upstream has run returns its token", func() {
	f := newQuotaFleet(1)
	f.advance(20 * time.Second)
	e := f.entries[0]
	refuse := make([]step, 40)
	for i := range refuse {
		refuse[i] = stepRefuse
	}
	e.upstream.steps = refuse
	resp := f.send(0, "read", "")
	Expect(resp.NotRun).To(BeTrue())
	Expect(e.upstream.ran.Load()).To(BeZero())
	e.quota.mu.Lock()
	defer e.quota.mu.Unlock()
	Expect(e.quota.holder.Take(jarsLimit.Name, f.clock.Now()).Verdict).To(Equal(quota.Admitted))
})

var _ = ginkgo.It("a request whose time is up does not wait for a token", func() {
	g := newQuotaGate(azurestair.InstanceInfo{ID: "entry-1", Incarnation: 1}, newFakeClock(), slog.New(slog.DiscardHandler), newProcessMetrics())
	cfg := &azurestair.Config{Workspaces: []azurestair.Workspace{jarsLimit}}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(replyReserve))
	defer cancel()
	d := g.admit(ctx, cfg, azurestair.RequestInfo{Workspace: jarsLimit.Name})
	Expect(d.Verdict).To(Equal(quota.Unreachable))
	Expect(g.waiting).To(BeEmpty())
})

var _ = ginkgo.It("workspaces without a limit need no token", func() {
	g := newQuotaGate(azurestair.InstanceInfo{ID: "entry-1", Incarnation: 1}, newFakeClock(), slog.New(slog.DiscardHandler), newProcessMetrics())
	cfg := &azurestair.Config{Workspaces: []azurestair.Workspace{{Name: "open"}}}
	for _, name := range []azurestair.WorkspaceName{"", "open", "unknown"} {
		Expect(g.admit(context.Background(), cfg, azurestair.RequestInfo{Workspace: name}).Verdict).To(Equal(quota.Unlimited))
	}
	Expect((*quotaGate)(nil).admit(context.Background(), cfg, azurestair.RequestInfo{Workspace: "jars"}).Verdict).To(Equal(quota.Unlimited))
})

// Guards against a new leader that counts on what its predecessor, or it itself
// in an earlier term, has leased.
var _ = ginkgo.It("the leader's rate limits start anew in each term", func() {
	cfg := &azurestair.Config{Workspaces: []azurestair.Workspace{jarsLimit}}
	now := time.Unix(1_700_000_000, 0)
	var q quotaLimits
	q.update(4, cfg, now)
	first := q.issuer
	q.update(4, cfg, now.Add(time.Second))
	Expect(q.issuer).To(BeIdenticalTo(first))
	q.update(5, cfg, now.Add(10*time.Second))
	Expect(q.issuer.Term()).To(Equal(azurestair.Term(5)))
	Expect(q.issuer.Status(now.Add(10 * time.Second))).To(ConsistOf(HaveField("Available", BeZero())))
})

var _ = ginkgo.It("an instance that does not replicate the log names no leader", func() {
	reply := make(chan quotaReply, 1)
	quotaEvent{reply: reply}.handle(&Controller{}, time.Now())
	Expect((<-reply).err).To(MatchError(azurestair.ErrNotLeader))
})

// Guards against metrics and log lines that grow with the number of workspaces.
var _ = ginkgo.It("metrics and log lines of rate limits are bounded", func() {
	var out bytes.Buffer
	m := newProcessMetrics()
	s := newQuotaStats(m.registry, slog.New(slog.NewTextHandler(&out, nil)))
	now := time.Unix(1_700_000_000, 0)
	for n := range 1000 {
		for range 5 {
			s.count(azurestair.WorkspaceName(fmt.Sprintf("w-%d", n)), quota.OverLimit, now)
		}
	}
	s.countAsk(errors.New("failed"))
	Expect(m.counters(quotaPrefix)).To(HaveLen(3*(maxQuotaSeries+1) + 2))
	Expect(m.counters(quotaPrefix)).To(HaveKeyWithValue("workspace."+otherWorkspaces+".overLimit", int64(5*(1000-maxQuotaSeries))))
	Expect(strings.Count(out.String(), "\n")).To(Equal(1))
	Expect(out.String()).To(ContainSubstring("workspace=w-0"))

	// Those of workspaces that are gone leave room.
	s.retain(map[azurestair.WorkspaceName]bool{"w-1": true})
	s.count("new", quota.OverLimit, time.Unix(2, 0))
	Expect(m.counters(quotaPrefix)).To(HaveLen(3*3 + 2))
	Expect(m.counters(quotaPrefix)).To(HaveKeyWithValue("workspace.new.overLimit", int64(1)))
})
