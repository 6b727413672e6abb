package instance

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

// slowLeader answers after a number of failures and keeps the time that it was given.
type slowLeader struct {
	failures int
	given    []time.Duration
}

func (l *slowLeader) Report(ctx context.Context, _ azurestair.Report) (azurestair.ReportReply, error) {
	deadline, _ := ctx.Deadline()
	l.given = append(l.given, time.Until(deadline).Round(time.Second))
	if len(l.given) <= l.failures {
		return azurestair.ReportReply{}, errDown
	}
	return azurestair.ReportReply{}, nil
}

// queueingLeader answers after a time that grows with each exchange, on the rig's clock.
type queueingLeader struct {
	clock *fakeClock
	took  time.Duration
}

func (l *queueingLeader) Report(context.Context, azurestair.Report) (azurestair.ReportReply, error) {
	l.clock.advance(l.took)
	return azurestair.ReportReply{}, nil
}

// Guards against an entry that drops the connection to the leader because the
// queue at its own link has grown: a fresh one did not open for 6 to 10 s.
var _ = ginkgo.It("a reporter waits longer when exchanges take longer", func() {
	clock := newFakeClock()
	l := &queueingLeader{clock: clock}
	r := newReporter(l, clock)
	expectTimeout := func(took, want time.Duration) {
		ginkgo.GinkgoHelper()
		l.took = took
		r.exchange(context.Background(), azurestair.Report{})
		Expect(r.timeout()).To(Equal(want))
	}
	expectTimeout(30*time.Millisecond, time.Second)
	expectTimeout(500*time.Millisecond, 3*time.Second)
	expectTimeout(2*time.Second, 4*time.Second)
	for range 20 {
		r.exchange(context.Background(), azurestair.Report{})
		l.took = 30 * time.Millisecond
	}
	expectTimeout(30*time.Millisecond, time.Second)
})

// Guards against an entry that looks for the next leader too slowly, and against one behind a full link that never hears the leader again:
// each exchange was cut off after a second, over a new connection each time. On
// a played day five entries worked from a configuration that was 10 s old.
var _ = ginkgo.It("a reporter is more patient after a few failures", func() {
	l := &slowLeader{failures: 4}
	r := newReporter(l, SystemClock{})
	for range 6 {
		r.exchange(context.Background(), azurestair.Report{})
	}
	Expect(l.given).To(Equal([]time.Duration{time.Second, time.Second, time.Second, 2 * time.Second, 4 * time.Second, time.Second}))
})
