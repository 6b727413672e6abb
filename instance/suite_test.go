package instance

import (
	"log/slog"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

func TestInstance(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "instance")
}

// fixedClock is a clock that tests set.
type fixedClock struct{ now time.Time }

func (c *fixedClock) Now() time.Time { return c.now }

// countingPicker counts its updates.
type countingPicker struct {
	azurestair.Picker
	updates int
}

func (p *countingPicker) Update(*azurestair.Snapshot, time.Time) { p.updates++ }

// memberWithPicker returns a member that holds a snapshot, and its picker.
func memberWithPicker(now time.Time) (*Member, *countingPicker) {
	clock := &fixedClock{now: now}
	p := &countingPicker{}
	e := &Entry{clock: clock, metrics: newProcessMetrics()}
	dispatchers := map[azurestair.ServiceName]*dispatcher{"catalogue": newDispatcher(clock, nil, p, nil)}
	e.dispatchers.Store(&dispatchers)
	m := newMember(azurestair.InstanceInfo{ID: "entry-1"}, e, nil, slog.New(slog.DiscardHandler))
	m.snapshot = &azurestair.Snapshot{Term: 2, Revision: 1, Config: &azurestair.Config{Version: 1}}
	m.term = m.snapshot.Term
	return m, p
}

var _ = ginkgo.Describe("a reply without an update", func() {
	now := time.Unix(1_700_000_000, 0)

	// Guards against upstreams that become unconfirmed, and get no requests,
	// because nothing has changed for 3 s.
	ginkgo.It("confirms the upstreams of the held snapshot", func() {
		m, p := memberWithPicker(now)
		m.entry.view.Store(&view{snapshot: m.snapshot})
		m.handleReportDone(reportDoneEvent{sent: now, reply: azurestair.ReportReply{Term: 2, ControlTTLMs: 3000}}, now)
		Expect(p.updates).To(Equal(1))
		Expect(m.entry.view.Load().isCurrent(now.Add(2999 * time.Millisecond))).To(BeTrue())
		Expect(m.entry.view.Load().isCurrent(now.Add(3 * time.Second))).To(BeFalse())
	})

	// Guards against confirming upstreams without contact to the leader.
	ginkgo.It("does not confirm upstreams when the exchange failed", func() {
		m, p := memberWithPicker(now)
		m.handleReportDone(reportDoneEvent{sent: now, err: azurestair.ErrNoQuorum}, now)
		Expect(p.updates).To(BeZero())
	})

	// Guards against an entry that keeps running while its fleet is rebuilt,
	// and then counts as ready with the configuration of the old fleet.
	ginkgo.It("is ignored when it comes from a leader of an older term", func() {
		m, p := memberWithPicker(now)
		m.handleReportDone(reportDoneEvent{sent: now, reply: azurestair.ReportReply{Term: 1, ControlTTLMs: 3000}}, now)
		Expect(p.updates).To(BeZero())
		Expect(m.entry.view.Load().isCurrent(now)).To(BeFalse())
	})
})
