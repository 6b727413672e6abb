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

// Guards against a floor that the log does not show, so that the next leader
// would lease it to others, and against entries that never get a floor.
var _ = ginkgo.It("a leader lists a holder in the log before it gives a floor", func() {
	now := time.Unix(1_700_000_000, 0)
	r, err := newReplica(raft.Options{
		ID: "c1", Membership: azurestair.Membership{Voters: []azurestair.InstanceID{"c1"}},
	}, azurestair.LogState{}, now, slog.New(slog.DiscardHandler))
	Expect(err).NotTo(HaveOccurred())
	r.transport, r.peers, r.notifier = noTransport{}, noTransport{}, newNotifier(nil, "c1")
	r.writer = &logWriter{jobs: make(chan *storeJob, storeDepth)}
	run := func(steps int) {
		for range steps {
			now = now.Add(100 * time.Millisecond)
			r.node.Tick(now)
			Expect(r.work(now)).To(Succeed())
			r.lead(now, nil, nil)
			for len(r.writer.jobs) > 0 {
				r.stored(<-r.writer.jobs)
			}
		}
	}
	run(30)
	done := make(chan proposeReply, 1)
	r.propose(proposeEvent{reply: done, command: azurestair.Command{Config: &azurestair.ConfigChange{
		Change: azurestair.Change{ID: "c1", Operator: "o", Reason: "first"},
		Config: azurestair.Config{
			Services: []azurestair.Service{{Name: "shop", Operations: []azurestair.Operation{
				{Name: "pay", Rank: azurestair.RankUrgent, TimeoutMs: 1000},
			}}},
			Regions: []azurestair.Region{{Name: "huye", FailureDomains: []azurestair.FailureDomainName{"huye-a"}}},
		},
	}}}, now)
	run(2)
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
			Demands: []azurestair.Demand{{Resource: slots}}, HeldTerm: r.leading, Number: number,
		}, now)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Grants).To(HaveLen(1))
		return reply.Grants[0]
	}
	first := report(1)
	Expect(first.Floor).To(BeZero())
	Expect(first.Amount).To(BeNumerically(">", 0))
	run(2)
	Expect(r.state.Holders().Has("e1")).To(BeTrue())
	Expect(report(2).Floor).To(BeNumerically(">", 0))
})

// Guards against a query for a departure that ends an instance which has never
// led: it has no publisher yet.
var _ = ginkgo.It("an instance that has never led knows of no departure that is held", func() {
	now := time.Unix(1_700_000_000, 0)
	r, err := newReplica(raft.Options{
		ID: "c1", Membership: azurestair.Membership{Voters: []azurestair.InstanceID{"c1", "c2"}},
	}, azurestair.LogState{}, now, slog.New(slog.DiscardHandler))
	Expect(err).NotTo(HaveOccurred())
	q := control.Query{Local: true, Departure: &azurestair.Departure{Upstream: "w1", Incarnation: 1}}
	Expect(r.query(q, now).Departure).To(Equal(&control.DepartureStatus{}))
})
