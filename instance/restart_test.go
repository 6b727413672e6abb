package instance

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/admission"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/placement"
	"azurestair.example/azurestair/routing"
	"azurestair.example/azurestair/upstream"
)

// restartFixture is an entry with one of the pickers and the upstream u1.
type restartFixture struct {
	*entryFixture
	revision azurestair.Revision
}

func newRestartFixture(p azurestair.Picker) *restartFixture {
	clk := newFakeClock()
	f := &restartFixture{entryFixture: newEntryFixture(clk, &fakeLedger{}, newFakeUpstream())}
	d := newDispatcher(clk, admission.New(admission.Options{}), p, rand.NewPCG(1, 1))
	f.dispatcher = d
	f.dispatchers.Store(&map[azurestair.ServiceName]*dispatcher{"shop": d})
	return f
}

// list publishes a snapshot that lists u1 with the given incarnation.
func (f *restartFixture) list(inc azurestair.Incarnation) {
	f.revision++
	s := testSnapshot(1)
	s.Revision += f.revision
	a := testAnnouncement(1)
	a.Incarnation = inc
	s.Upstreams = []azurestair.UpstreamInfo{{Announcement: a, Confirmed: true}}
	f.update(s)
}

// expectUsed checks whether requests are sent to u1.
func (f *restartFixture) expectUsed(want bool) {
	ginkgo.GinkgoHelper()
	c, err := f.dispatcher.pick(azurestair.RequestInfo{Service: "shop", Idempotent: true}, nil)
	if !want {
		Expect(err).To(MatchError(azurestair.ErrNoUpstream))
		return
	}
	Expect(err).NotTo(HaveOccurred())
	f.dispatcher.abandonAttempt(c, false, 0)
}

// Guards against a restarted upstream that gets no requests from an entry,
// because its earlier process has said late that it is leaving.
var _ = ginkgo.DescribeTableSubtree("a state that an upstream reports",
	func(newPicker func() azurestair.Picker) {
		var f *restartFixture
		leaving := testAnnouncement(2)
		leaving.State = azurestair.StateLeaving
		ginkgo.BeforeEach(func() {
			f = newRestartFixture(newPicker())
			f.list(1)
		})
		ginkgo.It("applies to the process that reports it", func() {
			f.confirmState(leaving)
			f.expectUsed(false)
		})
		ginkgo.It("does not apply to a later process", func() {
			f.list(2)
			f.confirmState(leaving)
			f.expectUsed(true)
		})
	},
	ginkgo.Entry("with leased budgets", func() azurestair.Picker {
		return routing.NewWeighted(routing.Options{Service: "shop", Region: "kigali", Rand: rand.NewPCG(1, 1)})
	}),
	ginkgo.Entry("with region plans", func() azurestair.Picker {
		return placement.New(placement.Options{Service: "shop", Region: "kigali", Rand: rand.NewPCG(1, 1)})
	}),
)

// Guards against a leader that keeps the earlier process of a restarted upstream
// listed, because it got the announcement of the later one in a report that it
// did not use, and hears only that the upstream is alive from then on.
var _ = ginkgo.DescribeTable("a member repeats the announcements of a report that the leader has not used",
	func(before []azurestair.ReportReply, reply azurestair.ReportReply) {
		m := newMemberFixture()
		m.startedAt = m.clock.Now()
		for _, r := range before {
			m.exchange(r)
		}
		Expect(m.announce(testAnnouncement(1), m.clock.Now())).To(Succeed())
		q := m.exchange(reply)
		Expect(q.Announcements).To(HaveLen(1))
		Expect(q.RepeatOf != nil).To(Equal(reply.Resend))
		Expect(m.report().Announcements).To(HaveLen(1))
	},
	ginkgo.Entry("because it does not know the report that is repeated",
		[]azurestair.ReportReply{snapshotReply(1, 1, 1), {Term: 1}, {Term: 1}}, azurestair.ReportReply{Term: 2, Resend: true}),
	ginkgo.Entry("because it knows a later incarnation", nil, azurestair.ReportReply{Term: 1, SupersededBy: 7}),
)

// Guards against a new leader that keeps the earlier process of a restarted
// upstream listed: its predecessor had the announcement of the later one, and the
// entry reports only that the upstream is alive.
var _ = ginkgo.It("a member announces its upstreams again to a new leader", func() {
	m := newMemberFixture()
	m.startedAt = m.clock.Now()
	process := testAnnouncement(1)
	// exchange announces the upstream and reports to the leader of a term.
	exchange := func(term azurestair.Term, leader *control.Registry) {
		ginkgo.GinkgoHelper()
		m.clock.advance(reportInterval)
		process.Sequence++
		Expect(m.announce(process, m.clock.Now())).To(Succeed())
		q := m.report()
		for _, a := range q.Announcements {
			Expect(leader.Announce(a, m.clock.Now())).To(Succeed())
		}
		reply := azurestair.ReportReply{Term: term, ControlTTLMs: controlTTL, Unknown: leader.RenewLeases(q.Alive, m.clock.Now())}
		m.handleReportDone(reportDoneEvent{sent: m.clock.Now(), reply: reply}, m.clock.Now())
	}
	var first, next control.Registry
	exchange(1, &first)
	next.Seed(&azurestair.Snapshot{Upstreams: first.Upstreams()}, m.clock.Now())
	process.Incarnation, process.ColdMs = 2, 3000
	exchange(1, &first)
	for range 2 {
		exchange(2, &next)
	}
	process.ColdMs -= azurestair.MillisOf(minReportInterval)
	coldEnd := m.clock.Now().Add(process.ColdMs.Duration() + azurestair.ColdTolerance)
	Expect(next.Upstreams()).To(Equal([]azurestair.UpstreamInfo{{Announcement: process, Confirmed: true, ColdEnd: coldEnd}}))
})

// leaderFixture is the registry of a leader to which one entry reports each
// second.
type leaderFixture struct {
	*memberFixture
	registry control.Registry
	receiver control.ReportReceiver
	revision azurestair.Revision
}

func newLeaderFixture() *leaderFixture {
	f := &leaderFixture{memberFixture: newMemberFixture()}
	f.startedAt = f.clock.Now()
	f.exchange(snapshotReply(1, 1, 1))
	return f
}

// run lets the upstream announce itself to the entry each second.
func (f *leaderFixture) run(seconds int, a azurestair.Announcement) {
	ginkgo.GinkgoHelper()
	for range seconds {
		f.clock.advance(reportInterval)
		now := f.clock.Now()
		a.Sequence++
		// The entry refuses the upstream while an earlier process is known.
		_ = f.announce(a, now)
		q, known := f.receiver.Expand(f.report())
		Expect(known).To(BeTrue())
		// Other upstreams of the service announce themselves to other entries.
		for _, id := range []azurestair.UpstreamID{"u2", "u3"} {
			other := process(1, 90, 0)
			other.Upstream = id
			q.Announcements = append(q.Announcements, other)
		}
		for _, a := range q.Announcements {
			Expect(f.registry.Announce(a, now)).To(Succeed())
		}
		f.revision++
		reply := snapshotReply(1, f.revision, 1)
		reply.Unknown = f.registry.RenewLeases(q.Alive, now)
		f.registry.Expire(now)
		reply.Snapshot.Upstreams = f.registry.Upstreams()
		f.handleReportDone(reportDoneEvent{sent: now, reply: reply}, now)
	}
}

// expectListed checks that the leader lists the given process.
func (f *leaderFixture) expectListed(a azurestair.Announcement) {
	ginkgo.GinkgoHelper()
	Expect(f.registry.Upstreams()).To(HaveLen(3))
	got := f.registry.Upstreams()[0].Announcement
	Expect([]any{got.Upstream, got.Incarnation, got.Addr}).To(Equal([]any{a.Upstream, a.Incarnation, a.Addr}))
}

// forgetTime is how long, in seconds, a process that is gone is remembered: for two
// leases and the retention of 30 s at the leader, and two seconds at the entry.
const forgetTime = 2*3 + 30 + 2 + 1

// Guards against requests for a process that is gone, for as long as another
// process announces itself under its id.
var _ = ginkgo.Describe("an entry reports as alive only the process that announces itself to it", func() {
	var f *leaderFixture
	ginkgo.BeforeEach(func() { f = newLeaderFixture() })

	ginkgo.DescribeTable("when an upstream starts again",
		func(before, after azurestair.Announcement, seconds int) {
			f.run(5, before)
			f.run(seconds, after)
			f.expectListed(after)
		},
		ginkgo.Entry("under its id", process(1, 80, 0), process(2, 81, 0), 1),
		ginkgo.Entry("with a clock that is behind", process(2, 80, 0), process(1, 81, 0), forgetTime),
		ginkgo.Entry("without start times", process(0, 80, 100), process(0, 81, 0), forgetTime),
	)

	// Guards against an upstream that serves and is not listed, because the leader
	// takes its process for an earlier one.
	ginkgo.DescribeTable("and keeps an upstream listed that starts again at its address",
		func(before, after azurestair.Announcement) {
			f.run(5, before)
			for range 2 * forgetTime {
				f.run(1, after)
				after.Sequence++
				f.expectListed(before)
				Expect(f.registry.Upstreams()[0].Confirmed).To(BeTrue())
			}
		},
		ginkgo.Entry("with a clock that is behind", process(2, 80, 0), process(1, 80, 0)),
		ginkgo.Entry("without start times", process(0, 80, 100), process(0, 80, 0)),
	)

	ginkgo.It("when the leader has rejected the later process, whose address was taken", func() {
		f.run(5, process(5, 80, 0))
		owner := process(7, 81, 0)
		owner.Upstream = "u4"
		Expect(f.registry.Announce(owner, f.clock.Now())).To(Succeed())
		f.run(10, process(6, 81, 0))
		f.expectListed(process(6, 81, 0))
	})

	ginkgo.It("when another entry has heard of a later process that is gone since", func() {
		f.run(5, process(1, 80, 0))
		Expect(f.registry.Announce(process(2, 81, 0), f.clock.Now())).To(Succeed())
		f.run(forgetTime, process(1, 80, 5))
		f.expectListed(process(1, 80, 0))
	})
})

// process returns an announcement of a process of u1.
func process(inc azurestair.Incarnation, port int, seq azurestair.Sequence) azurestair.Announcement {
	a := testAnnouncement(seq)
	a.Incarnation, a.Addr = inc, fmt.Sprintf("127.0.0.1:%d", port)
	return a
}

// machine is a machine on which an upstream runs. Nothing tells the other ends of
// its connections that it has failed.
type machine struct{ connections []*machineConn }

// dial opens a connection to the upstream.
func (m *machine) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	c := &machineConn{Conn: near}
	m.connections = append(m.connections, c)
	go answerAll(far)
	ginkgo.DeferCleanup(far.Close)
	return c, nil
}

// fail ends all processes of the machine.
func (m *machine) fail() {
	for _, c := range m.connections {
		c.reset = true
	}
}

// machineConn is a connection to a machine. After a failure, the next request is
// answered by a reset.
type machineConn struct {
	net.Conn
	reset bool
}

func (c *machineConn) Write(p []byte) (int, error) {
	if c.reset {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *machineConn) Read(p []byte) (int, error) {
	if c.reset {
		return 0, syscall.ECONNRESET
	}
	return c.Conn.Read(p)
}

// answerAll answers the requests on a connection.
func answerAll(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%s: %s\r\n\r\n",
			upstream.HeaderAttemptID, q.Header.Get(upstream.HeaderAttemptID))
	}
}

// Guards against attempts that fail on connections to an earlier process and
// count against the later one, after a machine has failed without closing them.
var _ = ginkgo.It("an entry does not reuse its connections to an earlier process of an upstream", func() {
	clk, m := newFakeClock(), &machine{}
	f := newEntryFixture(clk, &fakeLedger{}, newFakeUpstream())
	f.upstreamClient = upstream.NewClient(m.dial, clk)
	expectServed := func(inc azurestair.Incarnation) {
		ginkgo.GinkgoHelper()
		s := testSnapshot(1)
		a := testAnnouncement(1)
		a.Addr, a.Incarnation = f.picker.addr, inc
		s.Upstreams = []azurestair.UpstreamInfo{{Announcement: a, Confirmed: true}}
		f.update(s)
		expectReply(f.sendDefault("read", "", time.Second), azurestair.OutcomeDone, azurestair.ReasonNone, false)
	}
	expectServed(1)
	expectServed(1)
	Expect(m.connections).To(HaveLen(1))
	m.fail()
	expectServed(2)
	Expect(f.results()).To(Equal([]azurestair.AttemptResult{azurestair.AttemptDone, azurestair.AttemptDone, azurestair.AttemptDone}))
})
