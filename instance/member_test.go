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

// memberRig drives a Member as the control goroutine does.
type memberRig struct {
	*Member
	rig   *rig
	clock *fakeClock
}

func newMemberRig() *memberRig {
	clk := newFakeClock()
	r := newRig(clk, &fakeLedger{}, newWorker())
	r.view.Store(nil)
	rep := newReporter(nil, clk)
	return &memberRig{Member: newMember(r.self, r.Entry, rep, slog.New(slog.DiscardHandler)), rig: r, clock: clk}
}

// report has the member send its next report and returns it.
func (m *memberRig) report() azurestair.Report {
	ginkgo.GinkgoHelper()
	m.clock.advance(reportSpacing)
	m.reportSoon()
	m.settle(m.clock.Now())
	var q azurestair.Report
	Expect(m.reporter.jobs).To(Receive(&q))
	return q
}

// exchange sends a report and takes over the reply.
func (m *memberRig) exchange(reply azurestair.ReportReply) azurestair.Report {
	ginkgo.GinkgoHelper()
	q := m.report()
	m.reported(reportedEvent{sent: m.clock.Now(), reply: reply}, m.clock.Now())
	return q
}

func whole(term azurestair.Term, rev azurestair.Revision, cfg azurestair.ConfigVersion) azurestair.ReportReply {
	s := snapshotOf(cfg)
	s.Term, s.Revision = term, rev
	return azurestair.ReportReply{Term: term, ControlTTLMs: controlTTL, Snapshot: s}
}

// Guards against upstreams that wait up to a second for the acknowledgement of
// their departure, until the next regular report says that this entry holds it.
var _ = ginkgo.It("reports at once that it holds a departure", func() {
	m := newMemberRig()
	m.exchange(whole(1, 1, 1))
	expectDue := func(state azurestair.UpstreamState, rev azurestair.Revision, want bool) {
		ginkgo.GinkgoHelper()
		reply := whole(1, rev, 1)
		reply.Snapshot.Upstreams = []azurestair.UpstreamInfo{{Announcement: azurestair.Announcement{
			Upstream: "w1", Service: "shop", Addr: "127.0.0.1:80", Region: "kigali", Slots: 4, MaxConns: 10, State: state,
		}}}
		m.exchange(reply)
		Expect(m.due).To(Equal(want))
	}
	expectDue(azurestair.StateServing, 2, false)
	expectDue(azurestair.StateDraining, 3, true)
	expectDue(azurestair.StateDraining, 4, false)
})

// Guards against an instance without leases for as long as its predecessor is
// remembered, because its clock was set back before it started again.
var _ = ginkgo.Describe("a member of which a later incarnation is known", func() {
	superseded := azurestair.ReportReply{Term: 1, Superseded: 1 << 62}
	ginkgo.It("takes a later one if no leader has accepted a report of it", func() {
		m := newMemberRig()
		m.exchange(superseded)
		Expect(m.report().Instance.Incarnation).To(BeEquivalentTo(1<<62 + 1))
	})
	ginkgo.It("keeps its own if another process has reported since", func() {
		m := newMemberRig()
		before := m.exchange(whole(1, 1, 1)).Instance.Incarnation
		until := m.controlDeadline
		m.exchange(superseded)
		Expect(m.report().Instance.Incarnation).To(Equal(before))
		Expect(m.controlDeadline).To(Equal(until))
	})
})

// Guards against an entry that stays with the old leader after the next one has
// told it who leads, and against one that a deposed leader calls back.
var _ = ginkgo.Describe("a notice", func() {
	ginkgo.DescribeTable("has reports go to the leader of a newer term",
		func(n azurestair.Notice, want []azurestair.InstanceID) {
			m := newMemberRig()
			m.exchange(whole(3, 1, 1))
			var followed []azurestair.InstanceID
			m.follow = func(id azurestair.InstanceID) { followed = append(followed, id) }
			m.noticed(n)
			Expect(followed).To(Equal(want))
			Expect(m.due).To(BeTrue())
		},
		ginkgo.Entry("of the next term", azurestair.Notice{Leader: "c2", Term: 4}, []azurestair.InstanceID{"c2"}),
		ginkgo.Entry("of the present term", azurestair.Notice{Leader: "c1", Term: 3}, nil),
		ginkgo.Entry("of an earlier term", azurestair.Notice{Leader: "c3", Term: 2}, nil),
		ginkgo.Entry("of an earlier version", azurestair.Notice{}, nil),
	)
})

func delta(term azurestair.Term, base azurestair.Revision, cfg azurestair.ConfigVersion) azurestair.ReportReply {
	return azurestair.ReportReply{Term: term, ControlTTLMs: controlTTL, Delta: &azurestair.Delta{
		Term: term, Base: base, Revision: base + 1, Config: snapshotOf(cfg).Config,
	}}
}

func upstreamOf(seq azurestair.Sequence) azurestair.Announcement {
	return azurestair.Announcement{
		Upstream: "u1", Service: "shop", Addr: "127.0.0.1:80", Region: "kigali", FailureDomain: "kigali-a", Slots: 9, MaxConns: 330,
		State: azurestair.StateServing, Incarnation: 1, Sequence: seq,
	}
}

// longestElection is above the longest time from the death of a leader to the
// next one that was seen in 24 deaths under load, 1.45 s.
const longestElection = 1600 * time.Millisecond

var _ = ginkgo.Describe("a member", func() {
	var m *memberRig
	ginkgo.BeforeEach(func() {
		m = newMemberRig()
		m.exchange(whole(5, 10, 7))
	})
	inEffect := func() []any {
		v := m.rig.view.Load()
		return []any{v.snapshot.ConfigVersion(), v.snapshot.Term}
	}
	held := func(q azurestair.Report) []any { return []any{q.HeldTerm, q.HeldRevision} }
	at57 := []any{azurestair.ConfigVersion(7), azurestair.Term(5)}

	ginkgo.It("takes over a snapshot and the delta that follows it", func() {
		Expect(inEffect()).To(Equal(at57))
		m.exchange(delta(5, 10, 8))
		Expect(inEffect()[0]).To(BeEquivalentTo(8))
		q := m.report()
		Expect(held(q)).To(Equal([]any{azurestair.Term(5), azurestair.Revision(11)}))
		Expect([]any{q.Instance.Ready, q.Instance.InForce}).To(Equal([]any{true, azurestair.ConfigVersion(8)}))
	})

	// Guards against a configuration that goes back, and against a former
	// leader that extends the trust in what it sent.
	ginkgo.DescribeTable("never takes over what is older",
		func(replies ...azurestair.ReportReply) {
			for _, r := range replies {
				m.clock.advance(time.Second)
				m.exchange(r)
				Expect(inEffect()).To(Equal(at57))
			}
			m.clock.advance(controlTTL.Duration() - time.Second)
			Expect(m.rig.Ready()).To(MatchError(azurestair.ErrNoQuorum))
		},
		ginkgo.Entry("configuration", whole(5, 11, 6)), ginkgo.Entry("configuration of a newer term", whole(6, 1, 6)),
		ginkgo.Entry("configuration in a delta", delta(5, 10, 6)), ginkgo.Entry("term", whole(4, 99, 8)),
		ginkgo.Entry("term without an update", azurestair.ReportReply{Term: 4, ControlTTLMs: controlTTL}),
		ginkgo.Entry("term after a wrong delta", delta(5, 3, 8), whole(4, 99, 8)),
		ginkgo.Entry("no configuration", azurestair.ReportReply{Term: 6, Snapshot: &azurestair.Snapshot{Term: 6, Revision: 1}}),
	)

	// Guards against a region with few upstreams that keeps all its objects while
	// the leader still runs a version without plans.
	ginkgo.It("plans regions itself under a leader without plans", func() {
		reply := whole(5, 11, 8)
		reply.Snapshot.Config.Routes = []azurestair.Route{{Name: "all"}}
		near, far := upstreamOf(1), upstreamOf(1)
		far.Upstream, far.Region, far.Slots = "u2", "huye", 27
		reply.Snapshot.Upstreams = []azurestair.UpstreamInfo{{Announcement: near, Confirmed: true}, {Announcement: far, Confirmed: true}}
		m.exchange(reply)
		plans := m.snapshot.PlanOf("shop")
		Expect(plans).To(HaveLen(2))
		Expect(plans[1].Shares).To(ContainElement(azurestair.RegionShare{Region: "kigali", Share: 0.5}))
		Expect(reply.Snapshot.Plans).To(BeNil(), "a published snapshot is immutable")
	})

	// Guards against a member that stays at a snapshot to which no delta fits.
	ginkgo.It("asks for a whole snapshot after a delta that does not fit", func() {
		for _, wrong := range []azurestair.ReportReply{delta(5, 3, 8), delta(6, 10, 8)} {
			m.exchange(wrong)
			Expect(inEffect()).To(Equal(at57))
			Expect(held(m.exchange(whole(5, 10, 7)))).To(Equal([]any{azurestair.Term(0), azurestair.Revision(0)}))
		}
	})

	// Guards against look-ups that name an instance with an old configuration.
	ginkgo.It("is not ready once the control deadline has passed, and again after a reply", func() {
		Expect(m.rig.Ready()).To(Succeed())
		m.clock.advance(controlTTL.Duration())
		Expect(m.rig.Ready()).To(MatchError(azurestair.ErrNoQuorum))
		Expect(m.exchange(azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL}).Instance.Ready).To(BeFalse())
		Expect(m.rig.Ready()).To(Succeed())
	})

	ginkgo.It("is not ready once it leaves, and says so last", func() {
		m.leave(make(chan struct{}), m.clock.Now())
		Expect(m.rig.Ready()).To(MatchError(azurestair.ErrClosed))
		q := m.exchange(azurestair.ReportReply{Term: 5})
		Expect([]bool{q.Instance.Ready, q.Leaving}).To(Equal([]bool{false, false}))
		done := make(chan struct{})
		m.goneSoon(done)
		Expect(m.exchange(azurestair.ReportReply{Term: 5}).Leaving).To(BeTrue())
		Expect(done).To(BeClosed())
		// Guards against a report after the last one, which would list the instance again.
		m.clock.advance(2 * reportEvery)
		m.settle(m.clock.Now())
		Expect(m.reporter.jobs).NotTo(Receive())
	})

	// Guards against a delayed announcement that puts a leaving upstream back to work.
	ginkgo.It("refuses announcements that are not newer than the known one", func() {
		now := m.clock.Now()
		Expect(m.announce(upstreamOf(5), now)).To(Succeed())
		Expect(m.announce(upstreamOf(5), now)).To(MatchError(azurestair.ErrConflict))
		Expect(m.announce(upstreamOf(4), now)).To(MatchError(azurestair.ErrConflict))
		next := upstreamOf(1)
		next.Incarnation = 2
		Expect(m.announce(next, now)).To(Succeed())
	})

	// Guards against callers that are sent to an instance which has just started
	// under a new leader, and against one that waits for budgets in vain.
	ginkgo.It("is not ready without its first budgets, for a while", func() {
		slots := azurestair.Resource{Kind: azurestair.ResourceSlots, Service: "shop", Region: "kigali"}
		first := whole(5, 10, 7)
		first.Snapshot.Upstreams = []azurestair.UpstreamInfo{{Announcement: upstreamOf(1)}}
		start := func() *memberRig {
			m := newMemberRig()
			m.exchange(first)
			Expect(m.rig.Ready()).To(MatchError(ContainSubstring("no budgets yet")))
			Expect(m.exchange(azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL}).Instance.Ready).To(BeFalse())
			return m
		}
		m := start()
		m.exchange(azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL, Grants: []azurestair.Grant{
			{Resource: slots, Amount: 1, TTLMs: azurestair.MillisOf(control.LeaseTTL)},
		}})
		Expect(m.rig.Ready()).To(Succeed())
		Expect(m.exchange(azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL}).Instance.Ready).To(BeTrue())
		m = start()
		for range startWait/time.Second + 1 {
			m.clock.advance(time.Second)
			m.exchange(azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL})
		}
		Expect(m.rig.Ready()).To(Succeed())
	})

	// Guards against leases in use that run out before there is a new leader,
	// which may extend only what has not run out; and against an idle entry
	// that pays for reports.
	ginkgo.DescribeTable("renews its leases sooner while it wants more than its floors",
		func(inUse int, floor int64, reports int) {
			budget := azurestair.Resource{Kind: azurestair.ResourceSlots, Service: "shop", Region: "kigali"}
			reply := azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL, Grants: []azurestair.Grant{
				{Resource: budget, Amount: 7, Floor: floor, TTLMs: azurestair.MillisOf(control.LeaseTTL)},
			}}
			m.exchange(reply)
			for range inUse {
				_, err := m.rig.gate.pick(azurestair.Work{}, nil)
				Expect(err).NotTo(HaveOccurred())
			}
			sent := 0
			for range 2 * reportEvery / tickEvery {
				m.clock.advance(tickEvery)
				m.settle(m.clock.Now())
				if len(m.reporter.jobs) > 0 {
					<-m.reporter.jobs
					sent++
					m.reported(reportedEvent{sent: m.clock.Now(), reply: reply}, m.clock.Now())
				}
				after := m.clock.Now().Add(longestElection)
				Expect(m.holder.Leased(budget, after) > 0 || inUse <= int(floor)).To(BeTrue())
			}
			Expect(sent).To(Equal(reports))
		},
		ginkgo.Entry("idle", 0, int64(1), 2), ginkgo.Entry("within its floor", 1, int64(9), 2),
		ginkgo.Entry("beyond its floor", 3, int64(1), 10),
	)

	// Guards against upstreams that stay unlisted, or listed with old values.
	ginkgo.It("repeats in full what the leader does not know, what was lost and what has changed", func() {
		full := func(q azurestair.Report) []int { return []int{len(q.Announcements), len(q.Alive)} }
		Expect(m.announce(upstreamOf(1), m.clock.Now())).To(Succeed())
		Expect(full(m.exchange(azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL}))).To(Equal([]int{1, 0}))
		m.clock.advance(reportEvery)
		Expect(full(m.exchange(azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL, Unknown: []azurestair.UpstreamID{"u1", "u2"}}))).To(Equal([]int{0, 1}))
		Expect(full(m.report())).To(Equal([]int{1, 0}))
		m.reported(reportedEvent{sent: m.clock.Now(), err: errDown}, m.clock.Now())
		Expect(full(m.exchange(azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL}))).To(Equal([]int{1, 0}))
		Expect(m.announce(upstreamOf(2), m.clock.Now())).To(Succeed())
		m.clock.advance(reportEvery)
		Expect(full(m.exchange(azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL}))).To(Equal([]int{0, 1}))
		more := upstreamOf(3)
		more.MaxConns = 100
		Expect(m.announce(more, m.clock.Now())).To(Succeed())
		Expect(full(m.exchange(azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL}))).To(Equal([]int{1, 0}))
	})
})

// Guards against an instance at which thousands of upstreams announce
// themselves, and which lists them all again with every piece of news.
var _ = ginkgo.It("a member lists the upstreams that live once a second, whatever else it reports", func() {
	m := newMemberRig()
	m.exchange(whole(1, 1, 1))
	Expect(m.announce(upstreamOf(1), m.clock.Now())).To(Succeed())
	listed := 0
	for range 2 * reportEvery / reportSpacing {
		listed += len(m.exchange(azurestair.ReportReply{Term: 1}).Alive)
	}
	Expect(listed).To(Equal(2))
	m.reported(reportedEvent{sent: m.clock.Now(), err: errDown}, m.clock.Now())
	Expect(m.exchange(azurestair.ReportReply{Term: 1}).Announcements).To(HaveLen(1))
})

// countedEvent takes a time to handle.
type countedEvent struct {
	clock *fakeClock
	took  time.Duration
	done  *int
}

func (e countedEvent) handle(*Controller, time.Time) {
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
	// wait before the answers of its followers.
	ginkgo.It("takes the log's events before the others", func() {
		post(countedEvent{clock: clk, done: &done})
		post(stepEvent{})
		post(storedEvent{})
		Expect(c.next()).To(Equal(stepEvent{}))
		Expect(c.next()).To(Equal(storedEvent{}))
		Expect(c.next()).To(BeAssignableToTypeOf(countedEvent{}))
		Expect(c.next()).To(BeNil())
	})

	// Guards against a leader that sends no heartbeats while it handles reports.
	ginkgo.It("handles events for a bounded time", func() {
		for range 20 {
			post(countedEvent{clock: clk, took: time.Millisecond, done: &done})
		}
		c.handle(c.next())
		Expect(done).To(BeNumerically("<=", int(batchTime/time.Millisecond)+1))
		Expect(done).To(BeNumerically(">", 1))
	})
})

// fakeStore has each append wait for the result that the test sends.
type fakeStore struct{ gate chan stored }

type stored struct{ err error }

func (s *fakeStore) Append(azurestair.HardState, []azurestair.LogEntry) error { return (<-s.gate).err }

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
	// Guards against a promise that a restart does not keep: an acknowledged
	// change that was never synced.
	ginkgo.It("answers nothing that was not stored, and ends the process when the store fails", func() {
		store := &fakeStore{gate: make(chan stored)}
		clk := SystemClock{}
		log := slog.New(slog.DiscardHandler)
		replica, err := newReplica(raft.Options{
			ID: "c1", Membership: azurestair.Membership{Voters: []azurestair.InstanceID{"c1"}},
		}, azurestair.LogState{}, clk.Now(), log)
		Expect(err).NotTo(HaveOccurred())
		rep := newReporter(nil, clk)
		c := newController(clk, log, newMember(azurestair.InstanceInfo{ID: "c1"}, nil, rep, log), nil)
		post := func(e event) { _ = c.post(context.Background(), e) }
		replica.transport, replica.peers, replica.notifier = noTransport{}, noTransport{}, newNotifier(nil, "c1")
		replica.writer = &logWriter{store: store, transport: noTransport{}, jobs: make(chan *storeJob, storeDepth), post: post}
		replica.imager = &imager{jobs: make(chan control.Image, 1), post: post}
		c.replica = replica
		go replica.writer.run()
		go c.run(context.Background())
		ginkgo.DeferCleanup(func() { close(replica.writer.jobs) })

		// The store takes all that the election writes.
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
			case store.gate <- stored{}:
			default:
			}
			_, err := c.Query(context.Background(), control.Query{})
			return err == nil
		}, "10s").Should(BeTrue())
		first := propose("k1")
		Eventually(store.gate).Should(BeSent(stored{}))
		Eventually(func() int {
			select {
			case store.gate <- stored{}:
			default:
			}
			return len(first)
		}).Should(Equal(1))
		Expect(<-first).To(Succeed())
		lost := propose("k2")
		Eventually(store.gate).Should(BeSent(stored{errStore}))
		Eventually(lost).Should(Receive(MatchError(azurestair.ErrClosed)))
		Eventually(c.stopped).Should(BeClosed())
		Expect(c.err).To(MatchError(errStore))
	})

	// Guards against reports that a busy leader refuses: the instances would lose
	// their leases, and a leaving one would stay in look-ups.
	ginkgo.It("keeps a read until what it must see is applied", func() {
		now := time.Unix(1_700_000_000, 0)
		r, err := newReplica(raft.Options{
			ID: "c1", Membership: azurestair.Membership{Voters: []azurestair.InstanceID{"c1"}},
		}, azurestair.LogState{}, now, slog.New(slog.DiscardHandler))
		Expect(err).NotTo(HaveOccurred())
		r.transport, r.peers = noTransport{}, noTransport{}
		r.writer = &logWriter{jobs: make(chan *storeJob, storeDepth)}
		for range 30 {
			now = now.Add(100 * time.Millisecond)
			r.node.Tick(now)
			Expect(r.work(now)).To(Succeed())
			for len(r.writer.jobs) > 0 {
				r.stored(<-r.writer.jobs)
			}
		}
		Expect(r.postpone(reportEvent{}, now)).To(BeFalse())
		_, _, err = r.node.Propose(nil, now)
		Expect(err).NotTo(HaveOccurred())
		rd, _ := r.node.Ready()
		r.node.Stored(rd.Seq)
		Expect(r.postpone(reportEvent{}, now)).To(BeTrue())
		r.storing = storeDepth
		Expect(r.takePostponed()).To(BeEmpty())
		r.storing = 0
		Expect(r.takePostponed()).To(HaveLen(1))
	})
})
