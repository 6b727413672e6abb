package instance

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/peer"
	"azurestair.example/azurestair/raft"
)

var errStore = errors.New("sync failed")

// memberFixture drives a Member in the same way as the control goroutine.
type memberFixture struct {
	*Member
	entryFixture *entryFixture
	clock        *fakeClock
}

func newMemberFixture() *memberFixture {
	clk := newFakeClock()
	r := newEntryFixture(clk, &fakeLedger{}, newFakeUpstream())
	r.view.Store(nil)
	rep := newReporter(nil, clk)
	return &memberFixture{Member: newMember(r.self, r.Entry, rep, slog.New(slog.DiscardHandler)), entryFixture: r, clock: clk}
}

// report makes the member send its next report and returns it.
func (m *memberFixture) report() azurestair.Report {
	ginkgo.GinkgoHelper()
	m.clock.advance(minReportInterval)
	m.requestReport()
	m.advance(m.clock.Now())
	var q azurestair.Report
	Expect(m.reporter.jobs).To(Receive(&q))
	return q
}

// exchange sends a report and processes the reply.
func (m *memberFixture) exchange(reply azurestair.ReportReply) azurestair.Report {
	ginkgo.GinkgoHelper()
	q := m.report()
	m.handleReportDone(reportDoneEvent{sent: m.clock.Now(), reply: reply}, m.clock.Now())
	return q
}

func snapshotReply(term azurestair.Term, rev azurestair.Revision, cfg azurestair.ConfigVersion) azurestair.ReportReply {
	s := testSnapshot(cfg)
	s.Term, s.Revision = term, rev
	return azurestair.ReportReply{Term: term, ControlTTLMs: controlTTL, Snapshot: s}
}

// Guards against upstreams that wait up to a second for the acknowledgement of
// their departure, until the next regular report says that this entry holds it.
var _ = ginkgo.It("a member reports at once that it holds a departure", func() {
	m := newMemberFixture()
	m.exchange(snapshotReply(1, 1, 1))
	expectDue := func(state azurestair.UpstreamState, inc azurestair.Incarnation, rev azurestair.Revision, want bool) {
		ginkgo.GinkgoHelper()
		reply := snapshotReply(1, rev, 1)
		reply.Snapshot.Upstreams = []azurestair.UpstreamInfo{{Announcement: azurestair.Announcement{
			Upstream: "w1", Service: "shop", Addr: "127.0.0.1:80", Region: "kigali", Slots: 4, MaxConns: 10, State: state,
			Incarnation: inc,
		}}}
		m.exchange(reply)
		Expect(m.reportDue).To(Equal(want))
	}
	expectDue(azurestair.StateServing, 1, 2, false)
	expectDue(azurestair.StateDraining, 1, 3, true)
	expectDue(azurestair.StateDraining, 1, 4, false)
	expectDue(azurestair.StateDraining, 2, 5, true)
	expectDue(azurestair.StateDraining, 2, 6, false)
})

// Guards against an instance that gets no leases until its previous incarnation
// is forgotten, because its clock was set back before it was restarted.
var _ = ginkgo.Describe("a member with a known later incarnation", func() {
	superseded := azurestair.ReportReply{Term: 1, SupersededBy: 1 << 62}
	ginkgo.It("takes a higher incarnation if no leader has accepted its reports", func() {
		m := newMemberFixture()
		m.exchange(superseded)
		Expect(m.report().Instance.Incarnation).To(BeEquivalentTo(1<<62 + 1))
	})
	ginkgo.It("keeps its incarnation if another process has reported since", func() {
		m := newMemberFixture()
		before := m.exchange(snapshotReply(1, 1, 1)).Instance.Incarnation
		until := m.controlDeadline
		m.exchange(superseded)
		Expect(m.report().Instance.Incarnation).To(Equal(before))
		Expect(m.controlDeadline).To(Equal(until))
	})
})

// Guards against an entry that keeps reporting to the old leader after the next
// one has notified it, and against one that returns to a deposed leader.
var _ = ginkgo.Describe("a notice", func() {
	ginkgo.DescribeTable("directs reports to the leader of a newer term",
		func(n azurestair.SnapshotNotice, want []azurestair.InstanceID) {
			m := newMemberFixture()
			m.exchange(snapshotReply(3, 1, 1))
			var followed []azurestair.InstanceID
			m.followLeader = func(leader peer.Address) { followed = append(followed, leader.ID) }
			m.handleNotice(n, m.clock.Now())
			Expect(followed).To(Equal(want))
			Expect(m.reportDue).To(BeTrue())
		},
		ginkgo.Entry("of the next term", azurestair.SnapshotNotice{Leader: "c2", Term: 4}, []azurestair.InstanceID{"c2"}),
		ginkgo.Entry("of the current term", azurestair.SnapshotNotice{Leader: "c1", Term: 3}, nil),
		ginkgo.Entry("of an earlier term", azurestair.SnapshotNotice{Leader: "c3", Term: 2}, nil),
		ginkgo.Entry("of an earlier version", azurestair.SnapshotNotice{}, nil),
	)
})

func deltaReply(term azurestair.Term, base azurestair.Revision, cfg azurestair.ConfigVersion) azurestair.ReportReply {
	return azurestair.ReportReply{Term: term, ControlTTLMs: controlTTL, Delta: &azurestair.SnapshotDelta{
		Term: term, Base: base, Revision: base + 1, Config: testSnapshot(cfg).Config,
	}}
}

func testAnnouncement(seq azurestair.Sequence) azurestair.Announcement {
	return azurestair.Announcement{
		Upstream: "u1", Service: "shop", Addr: "127.0.0.1:80", Region: "kigali", FailureDomain: "kigali-a", Slots: 9, MaxConns: 330,
		State: azurestair.StateServing, Incarnation: 1, Sequence: seq,
	}
}

// maxElectionTime is above the longest time from the failure of a leader to the
// election of the next one that was observed in 24 failures under load, 1.45 s.
const maxElectionTime = 1600 * time.Millisecond

var _ = ginkgo.Describe("a member", func() {
	var m *memberFixture
	ginkgo.BeforeEach(func() {
		m = newMemberFixture()
		m.exchange(snapshotReply(5, 10, 7))
	})
	inEffect := func() []any {
		v := m.entryFixture.view.Load()
		return []any{v.snapshot.ConfigVersion(), v.snapshot.Term}
	}
	held := func(q azurestair.Report) []any { return []any{q.SnapshotTerm, q.SnapshotRevision} }
	initial := []any{azurestair.ConfigVersion(7), azurestair.Term(5)}

	ginkgo.It("applies a snapshot and the delta that follows it", func() {
		Expect(inEffect()).To(Equal(initial))
		m.exchange(deltaReply(5, 10, 8))
		Expect(inEffect()[0]).To(BeEquivalentTo(8))
		q := m.report()
		Expect(held(q)).To(Equal([]any{azurestair.Term(5), azurestair.Revision(11)}))
		Expect([]any{q.Instance.Ready, q.Instance.ActiveConfig}).To(Equal([]any{true, azurestair.ConfigVersion(8)}))
	})

	// Guards against reverting to an older configuration, and against a former
	// leader that extends the control deadline.
	ginkgo.DescribeTable("ignores an outdated or incomplete reply:",
		func(replies ...azurestair.ReportReply) {
			for _, r := range replies {
				m.clock.advance(time.Second)
				m.exchange(r)
				Expect(inEffect()).To(Equal(initial))
			}
			m.clock.advance(controlTTL.Duration() - time.Second)
			Expect(m.entryFixture.Ready()).To(MatchError(azurestair.ErrNoQuorum))
		},
		ginkgo.Entry("configuration", snapshotReply(5, 11, 6)), ginkgo.Entry("configuration of a newer term", snapshotReply(6, 1, 6)),
		ginkgo.Entry("configuration in a delta", deltaReply(5, 10, 6)), ginkgo.Entry("term", snapshotReply(4, 99, 8)),
		ginkgo.Entry("term without an update", azurestair.ReportReply{Term: 4, ControlTTLMs: controlTTL}),
		ginkgo.Entry("term after a wrong delta", deltaReply(5, 3, 8), snapshotReply(4, 99, 8)),
		ginkgo.Entry("no configuration", azurestair.ReportReply{Term: 6, Snapshot: &azurestair.Snapshot{Term: 6, Revision: 1}}),
	)

	// Guards against a region with few upstreams that keeps all its objects
	// while the leader still runs a version without plans.
	ginkgo.It("computes region plans under a leader that publishes none", func() {
		reply := snapshotReply(5, 11, 8)
		reply.Snapshot.Config.Routes = []azurestair.Route{{Name: "all"}}
		near, far := testAnnouncement(1), testAnnouncement(1)
		far.Upstream, far.Region, far.Slots = "u2", "huye", 27
		reply.Snapshot.Upstreams = []azurestair.UpstreamInfo{{Announcement: near, Confirmed: true}, {Announcement: far, Confirmed: true}}
		m.exchange(reply)
		plans := m.snapshot.PlansOf("shop")
		Expect(plans).To(HaveLen(2))
		Expect(plans[1].Shares).To(ContainElement(azurestair.RegionShare{Region: "kigali", Share: 0.5}))
		Expect(reply.Snapshot.Plans).To(BeNil(), "a published snapshot is immutable")
	})

	// Guards against a member that is stuck at a snapshot to which no delta
	// applies.
	ginkgo.It("requests a complete snapshot after a delta that does not apply", func() {
		for _, wrong := range []azurestair.ReportReply{deltaReply(5, 3, 8), deltaReply(6, 10, 8)} {
			m.exchange(wrong)
			Expect(inEffect()).To(Equal(initial))
			Expect(held(m.exchange(snapshotReply(5, 10, 7)))).To(Equal([]any{azurestair.Term(0), azurestair.Revision(0)}))
		}
	})

	// Guards against lookups that return an instance with an old configuration.
	ginkgo.It("is not ready after the control deadline, and ready again after a reply", func() {
		Expect(m.entryFixture.Ready()).To(Succeed())
		m.clock.advance(controlTTL.Duration())
		Expect(m.entryFixture.Ready()).To(MatchError(azurestair.ErrNoQuorum))
		Expect(m.exchange(azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL}).Instance.Ready).To(BeFalse())
		Expect(m.entryFixture.Ready()).To(Succeed())
	})

	ginkgo.It("is not ready once it leaves, and says so in its final report", func() {
		m.leave(make(chan struct{}), m.clock.Now())
		Expect(m.entryFixture.Ready()).To(MatchError(azurestair.ErrClosed))
		q := m.exchange(azurestair.ReportReply{Term: 5})
		Expect([]bool{q.Instance.Ready, q.Leaving}).To(Equal([]bool{false, false}))
		done := make(chan struct{})
		m.requestFinalReport(done)
		Expect(m.exchange(azurestair.ReportReply{Term: 5}).Leaving).To(BeTrue())
		Expect(done).To(BeClosed())
		// Guards against a report after the final one, which would list the
		// instance again.
		m.clock.advance(2 * reportInterval)
		m.advance(m.clock.Now())
		Expect(m.reporter.jobs).NotTo(Receive())
	})

	// Guards against a delayed announcement that returns a departing upstream
	// to service.
	ginkgo.It("refuses announcements that are not newer than the known one", func() {
		now := m.clock.Now()
		Expect(m.announce(testAnnouncement(5), now)).To(Succeed())
		Expect(m.announce(testAnnouncement(5), now)).To(MatchError(azurestair.ErrConflict))
		Expect(m.announce(testAnnouncement(4), now)).To(MatchError(azurestair.ErrConflict))
		next := testAnnouncement(1)
		next.Incarnation = 2
		Expect(m.announce(next, now)).To(Succeed())
	})

	// Guards against directing callers to an instance that has just started
	// under a new leader, and against an instance that waits for budgets
	// forever.
	ginkgo.It("waits a limited time for its first budgets before it is ready", func() {
		slots := azurestair.Resource{Kind: azurestair.ResourceSlots, Service: "shop", Region: "kigali"}
		first := snapshotReply(5, 10, 7)
		first.Snapshot.Upstreams = []azurestair.UpstreamInfo{{Announcement: testAnnouncement(1)}}
		start := func() *memberFixture {
			m := newMemberFixture()
			m.exchange(first)
			Expect(m.entryFixture.Ready()).To(MatchError(ContainSubstring("no budgets yet")))
			Expect(m.exchange(azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL}).Instance.Ready).To(BeFalse())
			return m
		}
		m := start()
		m.exchange(azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL, Grants: []azurestair.Grant{
			{Resource: slots, Amount: 1, TTLMs: azurestair.MillisOf(control.LeaseTTL)},
		}})
		Expect(m.entryFixture.Ready()).To(Succeed())
		Expect(m.exchange(azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL}).Instance.Ready).To(BeTrue())
		m = start()
		for range maxStartWait/time.Second + 1 {
			m.clock.advance(time.Second)
			m.exchange(azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL})
		}
		Expect(m.entryFixture.Ready()).To(Succeed())
	})

	// Guards against leases in use that expire before there is a new leader,
	// which may extend only unexpired ones, and against frequent reports from
	// an idle entry.
	ginkgo.DescribeTable("renews its leases sooner while it wants more than its floors",
		func(inUse int, floor int64, reports int) {
			budget := azurestair.Resource{Kind: azurestair.ResourceSlots, Service: "shop", Region: "kigali"}
			reply := azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL, Grants: []azurestair.Grant{
				{Resource: budget, Amount: 7, Floor: floor, TTLMs: azurestair.MillisOf(control.LeaseTTL)},
			}}
			m.exchange(reply)
			for range inUse {
				_, err := m.entryFixture.dispatcher.pick(azurestair.RequestInfo{}, nil)
				Expect(err).NotTo(HaveOccurred())
			}
			sent := 0
			for range 2 * reportInterval / tickInterval {
				m.clock.advance(tickInterval)
				m.advance(m.clock.Now())
				if len(m.reporter.jobs) > 0 {
					<-m.reporter.jobs
					sent++
					m.handleReportDone(reportDoneEvent{sent: m.clock.Now(), reply: reply}, m.clock.Now())
				}
				after := m.clock.Now().Add(maxElectionTime)
				Expect(m.holder.Leased(budget, after) > 0 || inUse <= int(floor)).To(BeTrue())
			}
			Expect(sent).To(Equal(reports))
		},
		ginkgo.Entry("idle", 0, int64(1), 2), ginkgo.Entry("within its floor", 1, int64(9), 2),
		ginkgo.Entry("beyond its floor", 3, int64(1), 10),
	)

	// Guards against upstreams that stay unlisted, or listed with old values.
	ginkgo.It("repeats announcements that are unknown to the leader, lost or changed", func() {
		listed := func(q azurestair.Report) []int { return []int{len(q.Announcements), len(q.Alive)} }
		Expect(m.announce(testAnnouncement(1), m.clock.Now())).To(Succeed())
		Expect(listed(m.exchange(azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL}))).To(Equal([]int{1, 0}))
		m.clock.advance(reportInterval)
		Expect(listed(m.exchange(azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL, Unknown: []azurestair.UpstreamID{"u1", "u2"}}))).To(Equal([]int{0, 1}))
		Expect(listed(m.report())).To(Equal([]int{1, 0}))
		m.handleReportDone(reportDoneEvent{sent: m.clock.Now(), err: errUnreachable}, m.clock.Now())
		Expect(listed(m.exchange(azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL}))).To(Equal([]int{1, 0}))
		Expect(m.announce(testAnnouncement(2), m.clock.Now())).To(Succeed())
		m.clock.advance(reportInterval)
		Expect(listed(m.exchange(azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL}))).To(Equal([]int{0, 1}))
		more := testAnnouncement(3)
		more.MaxConns = 100
		Expect(m.announce(more, m.clock.Now())).To(Succeed())
		Expect(listed(m.exchange(azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL}))).To(Equal([]int{1, 0}))
	})
})

// Guards against an instance to which thousands of upstreams announce
// themselves and which lists all of them again with every change.
var _ = ginkgo.It("a member lists the upstreams that are alive once a second, whatever else it reports", func() {
	m := newMemberFixture()
	m.exchange(snapshotReply(1, 1, 1))
	Expect(m.announce(testAnnouncement(1), m.clock.Now())).To(Succeed())
	listed := 0
	for range 2 * reportInterval / minReportInterval {
		listed += len(m.exchange(azurestair.ReportReply{Term: 1}).Alive)
	}
	Expect(listed).To(Equal(2))
	m.handleReportDone(reportDoneEvent{sent: m.clock.Now(), err: errUnreachable}, m.clock.Now())
	Expect(m.exchange(azurestair.ReportReply{Term: 1}).Announcements).To(HaveLen(1))
})

// timedEvent is an event that takes a given time to handle.
type timedEvent struct {
	clock *fakeClock
	took  time.Duration
	done  *int
}

func (e timedEvent) handle(*Controller, time.Time) {
	e.clock.advance(e.took)
	*e.done++
}

var _ = ginkgo.Describe("the control goroutine", func() {
	var (
		clk  *fakeClock
		c    *Controller
		done int
	)
	ginkgo.BeforeEach(func() {
		clk, done = newFakeClock(), 0
		c = newController(clk, slog.New(slog.DiscardHandler), nil, nil)
	})
	post := func(e event) {
		ginkgo.GinkgoHelper()
		Expect(c.post(context.Background(), e)).To(Succeed())
	}

	// Guards against a leader that loses its lease because hundreds of reports
	// are queued before the responses of its followers.
	ginkgo.It("handles events of the replicated log first", func() {
		post(timedEvent{clock: clk, done: &done})
		post(stepEvent{})
		post(storeDoneEvent{})
		Expect(c.next()).To(Equal(stepEvent{}))
		Expect(c.next()).To(Equal(storeDoneEvent{}))
		Expect(c.next()).To(BeAssignableToTypeOf(timedEvent{}))
		Expect(c.next()).To(BeNil())
	})

	// Guards against a leader that sends no heartbeats while it handles
	// reports.
	ginkgo.It("handles events in batches of bounded duration", func() {
		for range 20 {
			post(timedEvent{clock: clk, took: time.Millisecond, done: &done})
		}
		c.handle(c.next())
		Expect(done).To(BeNumerically("<=", int(maxBatchDuration/time.Millisecond)+1))
		Expect(done).To(BeNumerically(">", 1))
	})
})

// fakeStore blocks each append until the test sends its result.
type fakeStore struct{ results chan storeResult }

type storeResult struct{ err error }

func (s *fakeStore) Append(azurestair.HardState, []azurestair.LogEntry) error {
	return (<-s.results).err
}

func (s *fakeStore) SaveSnapshot(azurestair.SnapshotMeta, []byte) error { return nil }

func (s *fakeStore) Close() error { return nil }

type noTransport struct{}

func (noTransport) Send(azurestair.RaftMessage) {}

func (noTransport) AddPeer(peer.Address) {}

func (noTransport) Addr(azurestair.InstanceID) string { return "" }

func (noTransport) Version(azurestair.InstanceID) azurestair.ProtocolVersion {
	return azurestair.ProtocolUnannounced
}

var _ = ginkgo.Describe("a replica", func() {
	// Guards against acknowledging a change that was never synced and is lost
	// on a restart.
	ginkgo.It("acknowledges nothing that was not stored, and stops when the store fails", func() {
		store := &fakeStore{results: make(chan storeResult)}
		clk := SystemClock{}
		log := slog.New(slog.DiscardHandler)
		replica, err := newReplica(raft.Options{
			ID: "c1", Membership: azurestair.Membership{Voters: []azurestair.InstanceID{"c1"}},
		}, azurestair.LogState{}, clk.Now(), log)
		Expect(err).NotTo(HaveOccurred())
		rep := newReporter(nil, clk)
		c := newController(clk, log, newMember(azurestair.InstanceInfo{ID: "c1"}, nil, rep, log), nil)
		post := func(e event) { _ = c.post(context.Background(), e) }
		replica.transport, replica.peers, replica.notifier = noTransport{}, noTransport{}, newNotifier(nil)
		replica.writer = &logWriter{store: store, transport: noTransport{}, jobs: make(chan *storeJob, maxStoreJobs), post: post}
		replica.imageEncoder = &imageEncoder{jobs: make(chan control.Image, 1), post: post}
		c.replica = replica
		go replica.writer.run()
		go c.run(context.Background())
		ginkgo.DeferCleanup(func() { close(replica.writer.jobs) })

		// The store accepts everything that the election writes.
		propose := func(key azurestair.RequestKey) <-chan error {
			done := make(chan error, 1)
			claim := azurestair.Claim{Service: "shop", Operation: "pay", Key: key, Instance: "e1", Deadline: 1}
			go func() {
				_, err := c.Propose(context.Background(), azurestair.Command{Claim: &claim})
				done <- err
			}()
			return done
		}
		Eventually(func() bool {
			select {
			case store.results <- storeResult{}:
			default:
			}
			_, err := c.Query(context.Background(), control.Query{})
			return err == nil
		}, "10s").Should(BeTrue())
		first := propose("k1")
		Eventually(store.results).Should(BeSent(storeResult{}))
		Eventually(func() int {
			select {
			case store.results <- storeResult{}:
			default:
			}
			return len(first)
		}).Should(Equal(1))
		Expect(<-first).To(Succeed())
		lost := propose("k2")
		Eventually(store.results).Should(BeSent(storeResult{errStore}))
		Eventually(lost).Should(Receive(MatchError(azurestair.ErrClosed)))
		Eventually(c.stopped).Should(BeClosed())
		Expect(c.err).To(MatchError(errStore))
	})

	// Guards against a busy leader that refuses reports: instances would lose
	// their leases, and a leaving one would stay in lookups.
	ginkgo.It("postpones a read until the entries that it must observe are applied", func() {
		now := time.Unix(1_700_000_000, 0)
		r, err := newReplica(raft.Options{
			ID: "c1", Membership: azurestair.Membership{Voters: []azurestair.InstanceID{"c1"}},
		}, azurestair.LogState{}, now, slog.New(slog.DiscardHandler))
		Expect(err).NotTo(HaveOccurred())
		r.transport, r.peers = noTransport{}, noTransport{}
		r.writer = &logWriter{jobs: make(chan *storeJob, maxStoreJobs)}
		for range 30 {
			now = now.Add(100 * time.Millisecond)
			r.node.Tick(now)
			Expect(r.processReady(now)).To(Succeed())
			for len(r.writer.jobs) > 0 {
				r.handleStoreDone(<-r.writer.jobs)
			}
		}
		Expect(r.postpone(reportEvent{}, now)).To(BeFalse())
		_, _, err = r.node.Propose(nil, now)
		Expect(err).NotTo(HaveOccurred())
		rd, _ := r.node.Ready()
		r.node.Stored(rd.Seq)
		Expect(r.postpone(reportEvent{}, now)).To(BeTrue())
		r.storesInFlight = maxStoreJobs
		Expect(r.takePostponed()).To(BeEmpty())
		r.storesInFlight = 0
		Expect(r.takePostponed()).To(HaveLen(1))
	})
})
