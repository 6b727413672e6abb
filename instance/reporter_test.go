package instance

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

// failingLeader fails a number of times before it answers. It records the
// timeouts of the calls.
type failingLeader struct {
	failures int
	timeouts []time.Duration
}

func (l *failingLeader) Report(ctx context.Context, _ azurestair.Report) (azurestair.ReportReply, error) {
	deadline, _ := ctx.Deadline()
	l.timeouts = append(l.timeouts, time.Until(deadline).Round(time.Second))
	if len(l.timeouts) <= l.failures {
		return azurestair.ReportReply{}, errUnreachable
	}
	return azurestair.ReportReply{}, nil
}

// slowingLeader answers after a configurable time on the fake clock.
type slowingLeader struct {
	clock *fakeClock
	took  time.Duration
}

func (l *slowingLeader) Report(context.Context, azurestair.Report) (azurestair.ReportReply, error) {
	l.clock.advance(l.took)
	return azurestair.ReportReply{}, nil
}

// Guards against an entry that drops the connection to the leader because the
// queue at its own link has grown: a new connection did not open for 6 to 10 s.
var _ = ginkgo.It("a reporter waits longer when exchanges take longer", func() {
	clock := newFakeClock()
	l := &slowingLeader{clock: clock}
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

// Guards against an entry that is slow to switch to the next leader, and
// against one behind a saturated link that never reaches the leader again: each
// exchange was cut off after a second, and each used a new connection. In a
// simulated day five entries used a configuration that was 10 s old.
var _ = ginkgo.It("a reporter raises its timeout after several failures", func() {
	l := &failingLeader{failures: 4}
	r := newReporter(l, SystemClock{})
	for range 6 {
		r.exchange(context.Background(), azurestair.Report{})
	}
	Expect(l.timeouts).To(Equal([]time.Duration{time.Second, time.Second, time.Second, 2 * time.Second, 4 * time.Second, time.Second}))
})
