package instance

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/fx"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/raft"
	"azurestair.example/azurestair/settings"
)

// suspendedClock is a lease clock of a machine that tests suspend.
type suspendedClock struct {
	*fakeClock
	suspended time.Duration
}

func (c *suspendedClock) Now() time.Time              { return c.fakeClock.Now().Add(c.suspended) }
func (c *suspendedClock) SuspendedFor() time.Duration { return c.suspended }

var _ = ginkgo.Describe("the lease clock", func() {
	// Guards against a lease that seems valid after a suspension, and against a
	// time that goes backwards when a reading was delayed.
	ginkgo.It("counts the time for which the machine was suspended, and never goes back", func() {
		clk, offset := newFakeClock(), 70*time.Second
		c := &leaseClock{Clock: clk, offset: func() time.Duration { return offset }, start: offset}
		expectAhead := func(want time.Duration) {
			ginkgo.GinkgoHelper()
			Expect([]time.Duration{c.SuspendedFor(), c.Now().Sub(clk.Now())}).To(Equal([]time.Duration{want, want}))
		}
		expectAhead(0)
		offset += 5 * time.Second
		clk.advance(time.Second)
		expectAhead(5 * time.Second)
		offset -= time.Millisecond
		expectAhead(5 * time.Second)
		offset += time.Millisecond + time.Hour
		expectAhead(time.Hour + 5*time.Second)
	})

	// Guards against a system on which the readings are of no use.
	ginkgo.It("of the system shows no suspension while this program runs", func() {
		c := NewLeaseClock()
		for range 1000 {
			before := time.Now()
			now := c.Now()
			Expect(now.Sub(before)).To(BeNumerically(">=", c.SuspendedFor()))
		}
		Expect(c.SuspendedFor()).To(BeNumerically(">=", 0))
	})

	// Guards against tests and harnesses whose clock is not that of their
	// leases.
	ginkgo.It("is the clock of the options if there is one", func() {
		clk := newFakeClock()
		o := Options{Clock: clk}.withDefaults()
		Expect(o.LeaseClock.Now()).To(Equal(clk.Now()))
		Expect(Options{}.withDefaults().LeaseClock).To(BeAssignableToTypeOf(&leaseClock{}))
	})
})

var _ = ginkgo.Describe("a process that was suspended", func() {
	// Guards against a budget that is used after a suspension, while its leader
	// has leased it to another instance.
	ginkgo.It("does not use the budgets that it held", func() {
		clk := &suspendedClock{fakeClock: newFakeClock()}
		r := newEntryFixture(clk.fakeClock, &fakeLedger{}, newFakeUpstream())
		r.leaseClock = clk
		slots := azurestair.Resource{Kind: azurestair.ResourceSlots, Service: "shop", Region: "kigali"}
		link := linkResource("kigali", "huye")
		s := testSnapshot(1)
		s.Config.Links = []azurestair.Link{{From: "kigali", To: "huye", Limit: 1 << 30}}
		until := clk.Now().Add(3 * time.Second)
		r.publish(&view{snapshot: s, controlDeadline: until, leases: control.Leases{
			slots: {Amount: 10, Deadline: until}, link: {Amount: 1 << 30, Deadline: until},
		}})
		Expect(r.Ready()).To(Succeed())
		Expect(r.freeSlots()).To(Equal(10))
		Expect(r.linkPacer.recordBytes(link, 1)).To(BeNumerically("<", time.Millisecond))
		clk.suspended = 3 * time.Second
		Expect(r.Ready()).To(MatchError(azurestair.ErrNoQuorum))
		Expect(r.linkPacer.recordBytes(link, 1)).To(BeNumerically(">", 100*time.Millisecond))
		resp := r.sendDefault("pay", "p1", longTimeout)
		Expect([]any{resp.Outcome, resp.Reason, r.ledger.claims}).To(Equal([]any{azurestair.OutcomeUnknown, azurestair.ReasonLedgerUnreachable, 0}))
		r.tick(clk.Now())
		Expect(r.freeSlots()).To(BeZero())
	})

	// Guards against a payment that is sent long after its caller gave up,
	// because the machine was suspended after the claim was granted.
	ginkgo.It("sends nothing for a claim whose deadline passed meanwhile", func() {
		clk := &suspendedClock{fakeClock: newFakeClock()}
		ledger := &fakeLedger{}
		r := newEntryFixture(clk.fakeClock, ledger, newFakeUpstream())
		r.leaseClock = clk
		ledger.afterApply = func() { clk.suspended = longTimeout }
		resp := r.sendDefault("pay", "p1", longTimeout)
		expectConsistentReply(r, resp, true)
		Expect(r.upstream.ran.Load()).To(BeZero())
		Expect(resp.Outcome).To(Equal(azurestair.OutcomeRefused))
		Eventually(func() azurestair.ClaimState { return ledger.stateOf("p1") }).Should(Equal(azurestair.ClaimNotRun))
	})

	// Guards against timestamps in the log, and deadlines of claims, that are
	// ahead of the time of day.
	ginkgo.It("records the time of day in the log", func() {
		day := newFakeClock()
		lease := &suspendedClock{fakeClock: day}
		c := logClock{timeOfDay: day}
		c.Observe(azurestair.UnixMillisOf(day.Now()), lease.Now())
		lease.suspended = time.Hour
		day.advance(time.Second)
		Expect(c.Next(lease.Now())).To(Equal(azurestair.UnixMillisOf(day.Now())))
	})

	// Guards against parts of a process that judge leases by another clock.
	ginkgo.It("has one lease clock for all its parts", func() {
		clk := &suspendedClock{fakeClock: newFakeClock()}
		s := settings.Default()
		s.Instance = settings.Instance{ID: "e1", Region: "kigali", FailureDomain: "kigali-a", Roles: []settings.Role{settings.RoleEntry}}
		s.Limits.ShutdownGraceMs = 1
		listen := func(network, _ string) (net.Listener, error) { return net.Listen(network, "127.0.0.1:0") }
		var p *Process
		app := fx.New(Module(s, Options{LeaseClock: clk, Listen: listen}), fx.Populate(&p))
		Expect(app.Start(context.Background())).To(Succeed())
		defer func() { Expect(app.Stop(context.Background())).To(Succeed()) }()
		for _, got := range []azurestair.Clock{p.controller.clock, p.reporter.clock, p.entry.leaseClock} {
			Expect(got).To(BeIdenticalTo(clk))
		}
		Expect(p.controller.member.startedAt).To(Equal(clk.Now()))
		Expect(p.entry.clock).To(Equal(SystemClock{}))
	})

	// Guards against a leader that answers a report with a configuration that
	// the next leader has replaced meanwhile.
	ginkgo.It("does not answer reports as the leader that it was", func() {
		p := newReplicaPair()
		ask := func() error {
			reply := make(chan reportReply, 1)
			p.controller.handle(reportEvent{reply: reply, report: azurestair.Report{Number: 1, Instance: azurestair.InstanceInfo{
				ID: "e1", Incarnation: 1, CallerAddr: "127.0.0.1:1", PeerAddr: "127.0.0.1:2", Region: "huye", FailureDomain: "huye-a",
			}}})
			select {
			case r := <-reply:
				return r.err
			default:
				return azurestair.ErrNoQuorum
			}
		}
		p.run(30)
		Expect(ask()).To(Succeed())
		p.clk.suspended = time.Minute
		Expect(ask()).NotTo(Succeed())
		p.run(30)
		Expect(ask()).To(Succeed(), "once it leads again")
	})
})

// replicaPair is a log of two voters: the replica of a controller, which leads,
// and a node that follows it.
type replicaPair struct {
	clk        *suspendedClock
	controller *Controller
	replica    *Replica
	follower   *raft.Node
	sent       messageList
}

// messageList is a transport that collects the messages.
type messageList struct {
	noTransport
	list []azurestair.RaftMessage
}

func (m *messageList) Send(msg azurestair.RaftMessage) { m.list = append(m.list, msg) }

func newReplicaPair() *replicaPair {
	ginkgo.GinkgoHelper()
	p := &replicaPair{clk: &suspendedClock{fakeClock: newFakeClock()}}
	voters := azurestair.Membership{Voters: []azurestair.InstanceID{"c1", "c2"}}
	now, log := p.clk.Now(), slog.New(slog.DiscardHandler)
	r, err := newReplica(raft.Options{ID: "c1", Membership: voters}, azurestair.LogState{}, now, log)
	Expect(err).NotTo(HaveOccurred())
	r.transport, r.peers, r.notifier = &p.sent, noTransport{}, newNotifier(nil)
	r.writer = &logWriter{jobs: make(chan *storeJob, maxStoreJobs)}
	p.follower, err = raft.New(raft.Options{ID: "c2", Membership: voters}, azurestair.LogState{}, now)
	Expect(err).NotTo(HaveOccurred())
	p.replica, p.controller = r, newController(p.clk, log, nil, nil)
	p.controller.replica = r
	return p
}

// run advances both by a number of steps of 100 ms. Only the replica stands for
// election.
func (p *replicaPair) run(steps int) {
	ginkgo.GinkgoHelper()
	for range steps {
		p.clk.advance(100 * time.Millisecond)
		p.replica.node.Tick(p.clk.Now())
		for range 10 {
			p.exchange()
		}
		p.replica.updateLeaderState(p.clk.Now(), nil, nil)
	}
}

func (p *replicaPair) exchange() {
	ginkgo.GinkgoHelper()
	now := p.clk.Now()
	Expect(p.replica.processReady(now)).To(Succeed())
	for len(p.replica.writer.jobs) > 0 {
		job := <-p.replica.writer.jobs
		p.sent.list = append(p.sent.list, job.ready.AfterStore...)
		p.replica.handleStoreDone(job)
	}
	requests := p.sent.list
	p.sent.list = nil
	for _, m := range requests {
		_ = p.follower.Step(m, now)
	}
	for rd, ok := p.follower.Ready(); ok; rd, ok = p.follower.Ready() {
		if rd.Seq > 0 {
			p.follower.Stored(rd.Seq)
		}
		for _, m := range append(rd.Messages, rd.AfterStore...) {
			_ = p.replica.node.Step(m, now)
		}
	}
}
