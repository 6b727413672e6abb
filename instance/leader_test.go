package instance

import (
	"log/slog"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/raft"
)

// leadingReplica is the only voter of a log, driven in the same way as by the
// control goroutine.
type leadingReplica struct {
	*Replica
	now time.Time
}

func newLeadingReplica() *leadingReplica {
	ginkgo.GinkgoHelper()
	now := time.Unix(1_700_000_000, 0)
	r, err := newReplica(raft.Options{
		ID: "c1", Membership: azurestair.Membership{Voters: []azurestair.InstanceID{"c1"}},
	}, azurestair.LogState{}, now, slog.New(slog.DiscardHandler))
	Expect(err).NotTo(HaveOccurred())
	r.transport, r.peers, r.notifier = noTransport{}, noTransport{}, newNotifier(nil)
	r.writer = &logWriter{jobs: make(chan *storeJob, maxStoreJobs)}
	l := &leadingReplica{Replica: r, now: now}
	l.run(30)
	return l
}

// run advances the replica by a number of steps of 100 ms.
func (l *leadingReplica) run(steps int) {
	ginkgo.GinkgoHelper()
	for range steps {
		l.now = l.now.Add(100 * time.Millisecond)
		l.node.Tick(l.now)
		Expect(l.processReady(l.now)).To(Succeed())
		l.updateLeaderState(l.now, nil, nil)
		for len(l.writer.jobs) > 0 {
			l.handleStoreDone(<-l.writer.jobs)
		}
	}
}

// Guards against requests that stay "in progress" for minutes after the entry
// that held their key has failed, because its clock was ahead, and against keys
// that are released early because it was behind.
var _ = ginkgo.DescribeTable("the deadline of a claim follows the leader's clock when the entry's clock is",
	func(off time.Duration) {
		l := newLeadingReplica()
		done := make(chan proposeReply, 1)
		l.propose(proposeEvent{reply: done, command: azurestair.Command{Claim: &azurestair.Claim{
			Service: "shop", Operation: "pay", Key: "k", Instance: "e1", Incarnation: 1, Attempt: 1,
			Deadline: azurestair.UnixMillisOf(l.now.Add(off + time.Second)), RemainingMs: 1000,
		}}}, l.now)
		want := azurestair.UnixMillisOf(l.now.Add(time.Second))
		l.run(2)
		Expect((<-done).result.Code).To(Equal(azurestair.ResultGranted))
		record, _ := l.state.Claim("shop", "k")
		Expect(record.Claim.Deadline).To(Equal(want))
	},
	ginkgo.Entry("accurate", time.Duration(0)),
	ginkgo.Entry("ahead", 5*time.Minute),
	ginkgo.Entry("behind", -5*time.Minute),
)

// Guards against an instance that gets no leases and is not told why.
var _ = ginkgo.It("a report of an earlier incarnation is answered with the later one", func() {
	l := newLeadingReplica()
	report := func(inc azurestair.Incarnation, number azurestair.ReportNumber) azurestair.ReportReply {
		ginkgo.GinkgoHelper()
		reply, err := l.report(azurestair.Report{Number: number, Instance: azurestair.InstanceInfo{
			ID: "e1", Incarnation: inc, CallerAddr: "127.0.0.1:1", PeerAddr: "127.0.0.1:2", Region: "huye", FailureDomain: "huye-a",
		}}, l.now)
		Expect(err).NotTo(HaveOccurred())
		return reply
	}
	Expect(report(7, 1).SupersededBy).To(BeZero())
	Expect(report(5, 1)).To(Equal(azurestair.ReportReply{Term: l.leaderTerm, SupersededBy: 7}))
	Expect(report(8, 2).SupersededBy).To(BeZero())
})

// Guards against a floor that is not recorded in the log, which the next leader
// would lease to others, and against entries that never get a floor.
var _ = ginkgo.It("a leader lists a holder in the log before it grants a floor", func() {
	r := newLeadingReplica()
	done := make(chan proposeReply, 1)
	r.propose(proposeEvent{reply: done, command: azurestair.Command{Config: &azurestair.ConfigChange{
		Change: azurestair.Change{ID: "c1", Operator: "o", Reason: "first"},
		Config: azurestair.Config{
			Services: []azurestair.Service{{Name: "shop", Operations: []azurestair.Operation{
				{Name: "pay", Rank: azurestair.RankUrgent, TimeoutMs: 1000},
			}}},
			Regions: []azurestair.Region{{Name: "huye", FailureDomains: []azurestair.FailureDomainName{"huye-a"}}},
		},
	}}}, r.now)
	r.run(2)
	Expect((<-done).result.Code).To(Equal(azurestair.ResultAccepted))

	slots := azurestair.Resource{Kind: azurestair.ResourceSlots, Service: "shop", Region: "huye"}
	report := func(number azurestair.ReportNumber) azurestair.Grant {
		ginkgo.GinkgoHelper()
		reply, err := r.report(azurestair.Report{
			Instance: azurestair.InstanceInfo{
				ID: "e1", Incarnation: 1, CallerAddr: "127.0.0.1:1", PeerAddr: "127.0.0.1:2", Region: "huye", FailureDomain: "huye-a",
			},
			Announcements: []azurestair.Announcement{{
				Upstream: "w1", Service: "shop", Addr: "127.0.0.1:3", Region: "huye", FailureDomain: "huye-a", Slots: 40,
				State: azurestair.StateServing, Incarnation: 1, Sequence: 1,
			}},
			Demands: []azurestair.Demand{{Resource: slots}}, SnapshotTerm: r.leaderTerm, Number: number,
		}, r.now)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Grants).To(HaveLen(1))
		return reply.Grants[0]
	}
	first := report(1)
	Expect(first.Floor).To(BeZero())
	Expect(first.Amount).To(BeNumerically(">", 0))
	r.run(2)
	Expect(r.state.Holders().Has("e1")).To(BeTrue())
	Expect(report(2).Floor).To(BeNumerically(">", 0))
})

// Guards against a query for a departure that crashes an instance which has
// never been the leader and therefore has no publisher.
var _ = ginkgo.It("an instance that has never been the leader reports no departure as held", func() {
	now := time.Unix(1_700_000_000, 0)
	r, err := newReplica(raft.Options{
		ID: "c1", Membership: azurestair.Membership{Voters: []azurestair.InstanceID{"c1", "c2"}},
	}, azurestair.LogState{}, now, slog.New(slog.DiscardHandler))
	Expect(err).NotTo(HaveOccurred())
	q := control.Query{Local: true, Departure: &azurestair.Departure{Upstream: "w1", Incarnation: 1}}
	Expect(r.query(q, now).Departure).To(Equal(&control.DepartureStatus{}))
})

// Guards against a planner of the membership that does not know when a member
// was last heard.
var _ = ginkgo.It("a leader knows when the members have answered last", func() {
	p := newReplicaPair()
	p.replica.membershipPlanner = &control.MembershipPlanner{Voters: 3}
	started := p.clk.Now()
	p.run(30)
	Expect(p.replica.membershipPlanner.LeaderContactAt).To(Equal(started))
	Expect(p.replica.membershipPlanner.Voters).To(Equal(3))
	expectAcked := func(at time.Time) {
		ginkgo.GinkgoHelper()
		members := p.replica.logMembers(p.replica.node.Status(), p.clk.Now())
		Expect(members).To(HaveKeyWithValue(azurestair.InstanceID("c1"), control.LogMember{AckedAt: p.clk.Now()}))
		Expect(members["c2"].AckedAt).To(BeTemporally("~", at, raft.DefaultHeartbeatInterval))
	}
	last := p.clk.Now()
	expectAcked(last)
	p.clk.advance(600 * time.Millisecond)
	expectAcked(last)
})
