package instance

import (
	"bytes"
	"context"
	"encoding/hex"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/upstream"
)

const testKeyLease azurestair.Millis = 4500

// workspaceSnapshot returns a snapshot with workspaces, a public route and one
// that is not.
func workspaceSnapshot(cfg azurestair.ConfigVersion, list ...azurestair.Workspace) *azurestair.Snapshot {
	s := testSnapshot(cfg)
	route := func(name azurestair.RouteName, prefix string, public bool, homes ...azurestair.RegionName) azurestair.Route {
		return azurestair.Route{
			Name: name, Host: "shop.example", PathPrefix: prefix, Rank: azurestair.RankInteractive, Idempotent: true, TimeoutMs: 20_000,
			MaxAttempts: 1, Public: public, HomeRegions: homes, Services: []azurestair.RouteService{{Service: "shop", Weight: 1}},
		}
	}
	s.Config.Routes = []azurestair.Route{
		route("read", "/read/", false), route("open", "/open/", true), route("home", "/home/", false, "kigali", "huye"),
	}
	s.Config.Workspaces = list
	s.Config.Defaults.KeyLeaseMs = testKeyLease
	return s
}

func workspaceOf(name azurestair.WorkspaceName, keys ...string) azurestair.Workspace {
	w := azurestair.Workspace{Name: name}
	for _, k := range keys {
		w.Keys = append(w.Keys, azurestair.KeyDigestOf(k))
	}
	return w
}

// workspaceFixture is an entry whose member gets snapshots from a leader.
type workspaceFixture struct {
	*entryFixture
	clk *fakeClock
	// suspended is the time for which the machine was suspended; clk does not
	// count it.
	suspended time.Duration
	member    *Member
	// received holds the headers of the last request at the upstream.
	received http.Header
	// work is the last request that reached the picker.
	work azurestair.RequestInfo
}

// workPicker records the requests for which an upstream is picked.
type workPicker struct {
	*fakePicker
	fixture *workspaceFixture
}

func (p workPicker) Pick(w azurestair.RequestInfo, avoid []azurestair.UpstreamID, now time.Time) (azurestair.Choice, error) {
	p.fixture.work = w
	return p.fakePicker.Pick(w, avoid, now)
}

func newWorkspaceFixture() *workspaceFixture {
	clk := newFakeClock()
	u := newFakeUpstream()
	f := &workspaceFixture{clk: clk}
	u.handle = func(w http.ResponseWriter, r *http.Request) {
		f.received = r.Header.Clone()
		w.WriteHeader(http.StatusNoContent)
	}
	f.entryFixture = newEntryFixture(clk, &fakeLedger{}, u)
	f.leaseClock = &leaseClock{Clock: clk, offset: func() time.Duration { return f.suspended }}
	f.dispatcher.picker = workPicker{f.picker, f}
	f.member = newMember(f.self, f.Entry, nil, slog.New(slog.DiscardHandler))
	return f
}

// hear makes the leader answer a report that was sent now.
func (f *workspaceFixture) hear(s *azurestair.Snapshot) {
	ginkgo.GinkgoHelper()
	now := f.leaseNow()
	f.member.handleReportDone(reportDoneEvent{sent: now, reply: azurestair.ReportReply{Term: 5, ControlTTLMs: 3000, Snapshot: s}}, now)
	Expect(f.view.Load().snapshot.ConfigVersion()).To(Equal(f.member.snapshot.ConfigVersion()))
}

// get sends a request with the values of the key header.
func (f *workspaceFixture) get(path string, keys ...string) response {
	q := f.request("", "", longTimeout, strings.NewReader(""), 0)
	q.Host, q.Path, q.Service, q.Method = "shop.example", path, "", http.MethodGet
	q.APIKey, q.HasAPIKey = caller.APIKeyDigest(keys)
	f.received, f.work = nil, azurestair.RequestInfo{}
	return f.send(context.Background(), q)
}

// expectServed asserts that a request ran in the workspace; an empty name stands
// for none.
func (f *workspaceFixture) expectServed(resp response, name azurestair.WorkspaceName) {
	ginkgo.GinkgoHelper()
	Expect([]any{resp.Outcome, resp.Reason}).To(Equal([]any{azurestair.OutcomeDone, azurestair.ReasonNone}))
	Expect(f.received.Get(upstream.HeaderWorkspace)).To(BeEquivalentTo(name))
	Expect(f.work.Workspace).To(Equal(name))
}

// expectRejected asserts that a request did not reach the upstream.
func (f *workspaceFixture) expectRejected(resp response, o azurestair.Outcome, reason azurestair.Reason) {
	ginkgo.GinkgoHelper()
	expectReply(resp, o, reason, true)
	Expect(f.received).To(BeNil())
}

var _ = ginkgo.Describe("a request at an entry with workspaces", func() {
	var f *workspaceFixture
	ginkgo.BeforeEach(func() {
		f = newWorkspaceFixture()
		f.hear(workspaceSnapshot(7, workspaceOf("acme", "k-1", "k-2"), workspaceOf("bell", "k-3")))
	})

	// Guards against a request that runs without a key, in a wrong workspace, or
	// under the name that its caller has chosen.
	ginkgo.It("runs in the workspace of its key only", func() {
		f.expectServed(f.get("/read/1", "k-1"), "acme")
		f.expectServed(f.get("/read/1", "k-2"), "acme")
		f.expectServed(f.get("/read/1", "k-3"), "bell")
		f.expectServed(f.get("/open/1"), "")
		f.expectServed(f.get("/open/1", "nosuch"), "")
		f.expectRejected(f.get("/read/1"), azurestair.OutcomeInvalid, azurestair.ReasonWorkspaceKeyMissing)
		f.expectRejected(f.get("/read/1", ""), azurestair.OutcomeInvalid, azurestair.ReasonWorkspaceKeyMissing)
		f.expectRejected(f.get("/read/1", "nosuch"), azurestair.OutcomeInvalid, azurestair.ReasonWorkspaceKeyUnknown)
		f.expectRejected(f.get("/read/1", "k-1", "k-1"), azurestair.OutcomeInvalid, azurestair.ReasonWorkspaceKeyUnknown)
	})

	// Guards against a key in the log, and against lines from which an operator
	// cannot tell whose request it was.
	ginkgo.It("is logged with its workspace and without its key", func() {
		var log bytes.Buffer
		f.log = slog.New(slog.NewTextHandler(&log, nil))
		f.get("/read/1", "k-1")
		f.get("/read/1", "nosuch")
		Expect(log.String()).To(And(ContainSubstring(" workspace=acme"), ContainSubstring("reason="+string(azurestair.ReasonWorkspaceKeyUnknown))))
		digest := azurestair.KeyDigestOf("nosuch")
		for _, secret := range []string{"k-1", "nosuch", hex.EncodeToString(digest[:])} {
			Expect(log.String()).NotTo(ContainSubstring(secret))
		}
	})

	// Guards against planning of regions, and retries, for requests that are
	// rejected for want of a key.
	ginkgo.It("counts as traffic of the service only if its key is known", func() {
		before := f.dispatcher.trafficCount()
		f.get("/read/1")
		f.get("/read/1", "nosuch")
		Expect(f.dispatcher.trafficCount()).To(Equal(before))
		f.get("/read/1", "k-1")
		Expect(f.dispatcher.trafficCount()).NotTo(Equal(before))
	})

	// Guards against a rejection by an instance that has not heard of the
	// configuration with the key, and against a revoked key that an instance
	// which is cut off serves for longer than its lease.
	ginkgo.It("depends on when the leader was heard", func() {
		f.clk.advance(maxRouteAge)
		f.expectRejected(f.get("/read/1", "nosuch"), azurestair.OutcomeInvalid, azurestair.ReasonWorkspaceKeyUnknown)
		f.clk.advance(time.Millisecond)
		f.expectRejected(f.get("/read/1", "nosuch"), azurestair.OutcomeRefused, azurestair.ReasonKeysUnknown)
		f.expectRejected(f.get("/read/1"), azurestair.OutcomeRefused, azurestair.ReasonKeysUnknown)
		f.expectServed(f.get("/read/1", "k-1"), "acme")
		f.clk.advance(testKeyLease.Duration() - maxRouteAge - time.Millisecond)
		f.expectRejected(f.get("/read/1", "k-1"), azurestair.OutcomeRefused, azurestair.ReasonKeysUnknown)
		f.expectServed(f.get("/open/1", "k-1"), "")
		f.hear(nil)
		f.expectServed(f.get("/read/1", "k-1"), "acme")
	})

	// Guards against a failed report that prolongs the lease of the keys.
	ginkgo.It("with a key is not served longer because of a report without an answer", func() {
		f.clk.advance(testKeyLease.Duration())
		f.member.handleReportDone(reportDoneEvent{sent: f.clk.Now(), err: azurestair.ErrNoQuorum}, f.clk.Now())
		f.member.handleReportDone(reportDoneEvent{sent: f.clk.Now(), reply: azurestair.ReportReply{Term: 4, ControlTTLMs: 3000}}, f.clk.Now())
		f.expectRejected(f.get("/read/1", "k-1"), azurestair.OutcomeRefused, azurestair.ReasonKeysUnknown)
	})

	// Guards against a lease that is prolonged by a new leader which does not
	// publish snapshots yet: it may already have acknowledged a revocation.
	ginkgo.It("with a key is not served longer because of an answer without the newest configuration", func() {
		for range 5 {
			f.clk.advance(time.Second)
			f.member.handleReportDone(reportDoneEvent{
				sent: f.clk.Now(), reply: azurestair.ReportReply{Term: 6, ControlTTLMs: 3000, NewestConfig: 8},
			}, f.clk.Now())
		}
		f.expectRejected(f.get("/read/1", "k-1"), azurestair.OutcomeRefused, azurestair.ReasonKeysUnknown)
		f.expectRejected(f.get("/read/1", "nosuch"), azurestair.OutcomeRefused, azurestair.ReasonKeysUnknown)
		f.expectRejected(f.get("/nosuch/1"), azurestair.OutcomeRefused, azurestair.ReasonNotReady)
		f.member.handleReportDone(reportDoneEvent{
			sent: f.clk.Now(), reply: azurestair.ReportReply{Term: 6, ControlTTLMs: 3000, NewestConfig: 7},
		}, f.clk.Now())
		f.expectServed(f.get("/read/1", "k-1"), "acme")
	})

	// Guards against a lease that counts from the receipt of an answer: the key
	// may have been revoked while the answer was on its way.
	ginkgo.It("with a key is served for a time that counts from the report", func() {
		sent := f.clk.Now()
		f.clk.advance(time.Second)
		f.member.handleReportDone(reportDoneEvent{sent: sent, reply: azurestair.ReportReply{Term: 5, ControlTTLMs: 3000}}, f.clk.Now())
		f.clk.advance(testKeyLease.Duration() - time.Second)
		f.expectRejected(f.get("/read/1", "k-1"), azurestair.OutcomeRefused, azurestair.ReasonKeysUnknown)
	})

	// Guards against a revoked key that is served by an entry that was suspended:
	// the monotonic clock does not count that time.
	ginkgo.It("with a key is not served after a suspension that outlasts the lease", func() {
		f.suspended += testKeyLease.Duration() - 1
		f.expectServed(f.get("/read/1", "k-1"), "acme")
		f.suspended++
		f.expectRejected(f.get("/read/1", "k-1"), azurestair.OutcomeRefused, azurestair.ReasonKeysUnknown)
		f.expectRejected(f.get("/read/1", "nosuch"), azurestair.OutcomeRefused, azurestair.ReasonKeysUnknown)
		f.expectRejected(f.get("/nosuch/1", "k-1"), azurestair.OutcomeRefused, azurestair.ReasonNotReady)
		f.expectServed(f.get("/open/1"), "")
		f.hear(nil)
		f.expectServed(f.get("/read/1", "k-1"), "acme")
		f.expectRejected(f.get("/read/1", "nosuch"), azurestair.OutcomeInvalid, azurestair.ReasonWorkspaceKeyUnknown)
	})

	// Guards against a report that was sent before a suspension and answered
	// after it: the answer may have been given before the key was revoked.
	ginkgo.It("with a key is not served by an answer from before a suspension", func() {
		sent := f.leaseNow()
		f.suspended += testKeyLease.Duration()
		f.member.handleReportDone(reportDoneEvent{sent: sent, reply: azurestair.ReportReply{Term: 5, ControlTTLMs: 3000}}, f.leaseNow())
		f.expectRejected(f.get("/read/1", "k-1"), azurestair.OutcomeRefused, azurestair.ReasonKeysUnknown)
	})

	// Guards against a revoked key that still works.
	ginkgo.It("with a revoked key is rejected by the next configuration", func() {
		f.hear(workspaceSnapshot(8, workspaceOf("acme", "k-2")))
		f.expectRejected(f.get("/read/1", "k-1"), azurestair.OutcomeInvalid, azurestair.ReasonWorkspaceKeyUnknown)
		f.expectRejected(f.get("/read/1", "k-3"), azurestair.OutcomeInvalid, azurestair.ReasonWorkspaceKeyUnknown)
		f.expectServed(f.get("/read/1", "k-2"), "acme")
		f.hear(workspaceSnapshot(9))
		f.expectServed(f.get("/read/1"), "")
	})

	// Guards against work that is queued by the rank of its route, shares
	// capacity with other workspaces of the same client block, or leaves the
	// regions in which the data of its workspace must stay.
	ginkgo.It("has the rank, the fair share and the home regions of its workspace", func() {
		w := workspaceOf("acme", "k-1")
		rank := azurestair.RankUrgent
		w.Rank, w.HomeRegions = &rank, []azurestair.RegionName{"huye"}
		f.hear(workspaceSnapshot(8, w, workspaceOf("bell", "k-3")))
		f.expectServed(f.get("/home/1", "k-1"), "acme")
		Expect([]any{f.work.Rank, f.work.HomeRegions}).To(Equal([]any{azurestair.RankUrgent, w.HomeRegions}))
		acme := f.work.Caller
		f.expectServed(f.get("/home/1", "k-3"), "bell")
		Expect([]any{f.work.Rank, f.work.HomeRegions}).To(Equal([]any{azurestair.RankInteractive, []azurestair.RegionName{"kigali", "huye"}}))
		Expect([]azurestair.CallerID{acme, f.work.Caller}).To(Equal([]azurestair.CallerID{"workspace/acme", "workspace/bell"}))

		w.HomeRegions = []azurestair.RegionName{"musanze"}
		f.hear(workspaceSnapshot(9, w))
		f.expectRejected(f.get("/home/1", "k-1"), azurestair.OutcomeRefused, azurestair.ReasonHomeRegions)
		f.expectServed(f.get("/read/1", "k-1"), "acme")
	})
})

var _ = ginkgo.Describe("an entry that starts from a stored snapshot", func() {
	// Guards against a revoked key that is served after a restart, when the
	// stored snapshot is older than the revocation.
	ginkgo.It("serves public routes, and requests with keys once a leader has answered", func() {
		f := newWorkspaceFixture()
		stored := workspaceSnapshot(7, workspaceOf("acme", "k-1"))
		f.member.adoptProvisional(stored, f.clk.Now())
		f.expectServed(f.get("/open/1"), "")
		f.expectRejected(f.get("/read/1", "k-1"), azurestair.OutcomeRefused, azurestair.ReasonKeysUnknown)
		f.expectRejected(f.get("/read/1", "nosuch"), azurestair.OutcomeRefused, azurestair.ReasonKeysUnknown)
		f.expectRejected(f.get("/read/1"), azurestair.OutcomeRefused, azurestair.ReasonKeysUnknown)
		f.hear(stored)
		f.expectServed(f.get("/read/1", "k-1"), "acme")
	})

	// Guards against an entry that rejects what it served before a restart, in a
	// deployment that does not limit how long keys are served.
	ginkgo.It("serves requests with keys if there is no lease", func() {
		f := newWorkspaceFixture()
		stored := workspaceSnapshot(7, workspaceOf("acme", "k-1"))
		stored.Config.Defaults.KeyLeaseMs = 0
		f.member.adoptProvisional(stored, f.clk.Now())
		f.expectServed(f.get("/read/1", "k-1"), "acme")
		f.expectRejected(f.get("/read/1", "nosuch"), azurestair.OutcomeRefused, azurestair.ReasonKeysUnknown)
	})
})

// holdSlots gives the entry slots for as long as the fixture lives.
func (f *workspaceFixture) holdSlots() {
	v := *f.view.Load()
	budget := azurestair.Resource{Kind: azurestair.ResourceSlots, Service: "shop", Region: "kigali"}
	v.leases = control.Leases{budget: {Floor: fixtureSlots}}
	f.publish(&v)
}

// scopedState returns the state of the claim of a key in a workspace.
func (f *workspaceFixture) scopedState(w azurestair.WorkspaceName, key azurestair.RequestKey) azurestair.ClaimState {
	st, err := f.ledger.QueryClaim(context.Background(), azurestair.ClaimQuery{Service: "shop", Key: key, Workspace: w})
	if err != nil || st.Record == nil {
		return ""
	}
	return st.Record.State
}

// sendOperation sends a request that names its operation.
func (f *workspaceFixture) sendOperation(op azurestair.OperationName, idempotencyKey azurestair.RequestKey, keys ...string) response {
	return f.sendOperationFor(longTimeout, op, idempotencyKey, keys...)
}

func (f *workspaceFixture) sendOperationFor(d time.Duration, op azurestair.OperationName, idempotencyKey azurestair.RequestKey, keys ...string) response {
	q := f.request(op, idempotencyKey, d, strings.NewReader("x"), 1)
	q.APIKey, q.HasAPIKey = caller.APIKeyDigest(keys)
	f.received, f.work = nil, azurestair.RequestInfo{}
	return f.send(context.Background(), q)
}

var _ = ginkgo.Describe("an operation at an entry with workspaces", func() {
	var f *workspaceFixture
	ginkgo.BeforeEach(func() {
		f = newWorkspaceFixture()
		s := workspaceSnapshot(7, workspaceOf("acme", "k-1"), workspaceOf("bell", "k-3"))
		s.Config.Routes = nil
		f.hear(s)
		f.holdSlots()
	})

	// Guards against operations that need no key, since there are no public
	// ones.
	ginkgo.It("needs a key", func() {
		f.expectServed(f.sendOperation("read", "", "k-1"), "acme")
		f.expectRejected(f.sendOperation("read", ""), azurestair.OutcomeInvalid, azurestair.ReasonWorkspaceKeyMissing)
		f.expectRejected(f.sendOperation("pay", "", "nosuch"), azurestair.OutcomeInvalid, azurestair.ReasonWorkspaceKeyUnknown)
	})

	// Guards against a false "not run": a request with an idempotency key may
	// have run before its API key was revoked.
	ginkgo.It("with an idempotency key is not said to have not run", func() {
		expectReply(f.sendOperation("pay", "p1", "nosuch"), azurestair.OutcomeInvalid, azurestair.ReasonWorkspaceKeyUnknown, false)
		f.clk.advance(testKeyLease.Duration())
		expectReply(f.sendOperation("pay", "p1", "k-1"), azurestair.OutcomeUnknown, azurestair.ReasonKeysUnknown, false)
	})

	// Guards against a workspace that gets the answer to the payment of another
	// one.
	ginkgo.It("does not get the recorded answer of another workspace", func() {
		f.expectServed(f.sendOperation("pay", "p1", "k-1"), "acme")
		Eventually(func() azurestair.ClaimState { return f.scopedState("acme", "p1") }).Should(Equal(azurestair.ClaimDone))
		f.expectServed(f.sendOperation("pay", "p1", "k-3"), "bell")
		resp := f.sendOperation("pay", "p1", "k-1")
		Expect([]any{resp.Replayed, f.received}).To(Equal([]any{true, http.Header(nil)}))
		f.dispatcher.setSlots(0)
		for _, key := range []string{"k-1", "k-3"} {
			resp = f.sendOperationFor(shortTimeout, "pay", "p1", key)
			Expect([]any{resp.Outcome, resp.Replayed, resp.Reason}).To(Equal([]any{azurestair.OutcomeDone, true, azurestair.ReasonNone}), key)
		}
		Expect(f.upstream.ran.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a payment that runs twice because its caller repeats it
	// after workspaces were introduced.
	ginkgo.It("that ran before workspaces were introduced does not run again", func() {
		s := workspaceSnapshot(8)
		s.Config.Routes = nil
		f.hear(s)
		f.holdSlots()
		f.expectServed(f.sendOperation("pay", "p1"), "")
		s = workspaceSnapshot(9, workspaceOf("acme", "k-1"))
		s.Config.Routes = nil
		f.hear(s)
		f.holdSlots()
		resp := f.sendOperation("pay", "p1", "k-1")
		expectReply(resp, azurestair.OutcomeInvalid, azurestair.ReasonKeyReused, false)
		f.dispatcher.setSlots(0)
		resp = f.sendOperationFor(shortTimeout, "pay", "p1", "k-1")
		Expect([]any{resp.Outcome, resp.NotRun}).To(Equal([]any{azurestair.OutcomeUnknown, false}))
		Expect(f.upstream.ran.Load()).To(BeEquivalentTo(1))
	})
})

var _ = ginkgo.Describe("a leader whose configuration has workspaces", func() {
	report := func(l *leadingReplica, v azurestair.ProtocolVersion) error {
		_, err := l.report(azurestair.Report{Number: 1, Sender: v, Instance: azurestair.InstanceInfo{
			ID: "e1", Incarnation: 1, CallerAddr: "127.0.0.1:1", PeerAddr: "127.0.0.1:2", Region: "huye", FailureDomain: "huye-a",
		}}, l.now)
		return err
	}

	// Guards against an entry of an earlier version that serves requests without
	// a key, forwards keys to upstreams and is listed in lookups.
	ginkgo.It("refuses the reports of programs that do not know them", func() {
		l := newLeadingReplica()
		Expect(report(l, azurestair.ProtocolFleet)).To(Succeed(), "without workspaces")
		done := make(chan proposeReply, 1)
		l.propose(proposeEvent{reply: done, command: azurestair.Command{Config: &azurestair.ConfigChange{
			Change: azurestair.Change{ID: "c1", Operator: "o", Reason: "first"}, Config: *workspaceSnapshot(0, workspaceOf("acme", "k-1")).Config,
		}}}, l.now)
		l.run(2)
		Expect((<-done).result.Code).To(Equal(azurestair.ResultAccepted))
		Expect(report(l, azurestair.ProtocolFleet)).To(MatchError(azurestair.ErrVersion))
		Expect(report(l, azurestair.ProtocolWorkspaces)).To(Succeed())
		Expect(report(l, 0)).To(Succeed(), "itself")
	})
})

// Guards against an answer of a leader that does not publish yet, from which an
// entry cannot tell that a newer configuration exists.
var _ = ginkgo.It("a leader names its newest configuration also while it publishes nothing", func() {
	l := newLeadingReplica()
	done := make(chan proposeReply, 1)
	l.propose(proposeEvent{reply: done, command: azurestair.Command{Config: &azurestair.ConfigChange{
		Change: azurestair.Change{ID: "c1", Operator: "o", Reason: "first"}, Config: *workspaceSnapshot(0, workspaceOf("acme", "k-1")).Config,
	}}}, l.now)
	l.run(2)
	Expect((<-done).result.Code).To(Equal(azurestair.ResultAccepted))
	// Another term begins without a snapshot.
	l.leaderTerm--
	l.updateLeaderState(l.now, nil, nil)
	reply, err := l.report(azurestair.Report{Number: 1, Instance: azurestair.InstanceInfo{
		ID: "e1", Incarnation: 1, CallerAddr: "127.0.0.1:1", PeerAddr: "127.0.0.1:2", Region: "huye", FailureDomain: "huye-a",
	}}, l.now)
	Expect(err).NotTo(HaveOccurred())
	Expect([]any{reply.Snapshot, reply.Delta}).To(HaveEach(BeNil()))
	Expect(reply.NewestConfig).To(BeEquivalentTo(1))
})
