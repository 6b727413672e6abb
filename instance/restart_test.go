package instance

import (
	"math/rand/v2"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/admission"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/placement"
	"azurestair.example/azurestair/routing"
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
	Expect(next.Upstreams()).To(Equal([]azurestair.UpstreamInfo{{Announcement: process, Confirmed: true}}))
})
