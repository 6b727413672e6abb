package instance

import (
	"log/slog"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/raft"
)

// Guards against a busy loop in the control goroutine: a replica without a vote
// has no election deadline, and its zero deadline was treated as one in the
// past. In a simulated day such an instance needed up to 12 s to reach the
// leader.
var _ = ginkgo.It("a replica that joins the log waits without a busy loop", func() {
	now := time.Unix(1_700_000_000, 0)
	r, err := newReplica(raft.Options{ID: "c4", Joining: true}, azurestair.LogState{}, now, slog.New(slog.DiscardHandler))
	Expect(err).NotTo(HaveOccurred())
	clk := newFakeClock()
	m := newMember(azurestair.InstanceInfo{ID: "c4"}, nil, nil, slog.New(slog.DiscardHandler))
	m.nextTick = clk.Now().Add(time.Second)
	m.reportDue, m.reportSentAt, m.aliveListedAt = false, clk.Now(), clk.Now()
	c := newController(clk, slog.New(slog.DiscardHandler), m, nil)
	c.replica = r
	r.node.Tick(now.Add(time.Hour))
	Expect(r.nextDeadline()).To(BeZero())
	Expect(c.nextDeadline()).To(BeTemporally(">", clk.Now()))
})
