package instance

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/raft"
)

// storeWithSpace is a store whose disk is full while isFull is set.
type storeWithSpace struct {
	isFull, needsRepair atomic.Bool
	stored              atomic.Int64
}

func (s *storeWithSpace) result() error {
	if s.isFull.Load() {
		return azurestair.ErrNoSpace
	}
	s.stored.Add(1)
	return nil
}

func (s *storeWithSpace) Append(azurestair.HardState, []azurestair.LogEntry) error { return s.result() }

func (s *storeWithSpace) SaveSnapshot(azurestair.SnapshotMeta, []byte) error { return s.result() }
func (s *storeWithSpace) Close() error                                       { return nil }
func (s *storeWithSpace) NeedsRepair() bool                                  { return s.needsRepair.Load() }

func (s *storeWithSpace) Repair() error { return s.result() }

// soleVoter runs the control goroutine of the only voter of a log.
func soleVoter(store *storeWithSpace) *Controller {
	clk, log := SystemClock{}, slog.New(slog.DiscardHandler)
	replica, err := newReplica(raft.Options{
		ID: "c1", Membership: azurestair.Membership{Voters: []azurestair.InstanceID{"c1"}},
	}, azurestair.LogState{}, clk.Now(), log)
	Expect(err).NotTo(HaveOccurred())
	c := newController(clk, log, newMember(azurestair.InstanceInfo{ID: "c1"}, nil, newReporter(nil, clk), log), nil)
	post := func(e event) { _ = c.post(context.Background(), e) }
	replica.transport, replica.peers, replica.notifier = noTransport{}, noTransport{}, newNotifier(nil)
	replica.writer = newLogWriter(store, noTransport{}, post)
	replica.imageEncoder = &imageEncoder{jobs: make(chan control.Image, 1), post: post}
	c.replica = replica
	if store.NeedsRepair() {
		replica.startRepair(clk.Now())
	}
	ctx, cancel := context.WithCancel(context.Background())
	go replica.writer.run()
	go c.run(ctx)
	ginkgo.DeferCleanup(func() {
		cancel()
		<-c.stopped
		close(replica.writer.stop)
		close(replica.writer.jobs)
	})
	return c
}

func (c *Controller) claim(key azurestair.RequestKey) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	claim := azurestair.Claim{Service: "shop", Operation: "pay", Key: key, Instance: "e1", Deadline: 1}
	_, err := c.Propose(ctx, azurestair.Command{Claim: &claim})
	return err
}

func isStoreFull(c *Controller) func() (bool, error) {
	return func() (bool, error) {
		st, err := c.ReplicaStatus(context.Background())
		return st.StoreFull, err
	}
}

var _ = ginkgo.Describe("a replica whose disk is full", func() {
	// Guards against a control instance that ends, and ends again at each
	// restart, until someone makes room.
	ginkgo.It("refuses changes, keeps running and stores again once there is space", func() {
		store := &storeWithSpace{}
		c := soleVoter(store)
		Eventually(func() error { return c.claim("k1") }, "10s").Should(Succeed())
		store.isFull.Store(true)
		waiting := make(chan error, 1)
		go func() { waiting <- c.claim("k2") }()
		Eventually(isStoreFull(c), "5s").Should(BeTrue())
		Expect(c.claim("k3")).To(MatchError(azurestair.ErrNoQuorum))
		Expect(waiting).NotTo(Receive())
		store.isFull.Store(false)
		Eventually(waiting, "5s").Should(Receive(BeNil()))
		Eventually(isStoreFull(c), "5s").Should(BeFalse())
		Expect(c.claim("k4")).To(Succeed())
	})

	ginkgo.It("starts, and is not elected before its log is stored", func() {
		store := &storeWithSpace{}
		store.isFull.Store(true)
		store.needsRepair.Store(true)
		c := soleVoter(store)
		Consistently(func() (raft.Role, error) {
			st, err := c.ReplicaStatus(context.Background())
			return st.Raft.Role, err
		}, "1500ms", "100ms").Should(Equal(raft.RoleFollower))
		Expect(store.stored.Load()).To(BeZero())
		store.isFull.Store(false)
		Eventually(func() error { return c.claim("k1") }, "10s").Should(Succeed())
	})

	// Guards against votes, entries and elections that rely on what is not
	// durable.
	ginkgo.DescribeTable("handles only the messages that need no store",
		func(kind azurestair.RaftKind, term azurestair.Term, repairing, want bool) {
			f := fullStore{since: time.Unix(1, 0), repairing: repairing}
			Expect(f.accepts(azurestair.RaftMessage{Kind: kind, Term: term}, 5)).To(Equal(want))
			Expect((&fullStore{}).accepts(azurestair.RaftMessage{Kind: kind, Term: term}, 5)).To(BeTrue())
		},
		ginkgo.Entry("a heartbeat", azurestair.RaftHeartbeat, azurestair.Term(5), false, true),
		ginkgo.Entry("a heartbeat of a later term", azurestair.RaftHeartbeat, azurestair.Term(6), false, false),
		ginkgo.Entry("a heartbeat during the repair", azurestair.RaftHeartbeat, azurestair.Term(5), true, false),
		ginkgo.Entry("a reply to a leader", azurestair.RaftAppendReply, azurestair.Term(5), false, true),
		ginkgo.Entry("entries", azurestair.RaftAppend, azurestair.Term(5), false, false),
		ginkgo.Entry("a vote", azurestair.RaftVote, azurestair.Term(6), false, false),
		ginkgo.Entry("a preliminary vote", azurestair.RaftPreVote, azurestair.Term(6), false, false),
		ginkgo.Entry("a transfer", azurestair.RaftTimeoutNow, azurestair.Term(5), false, false),
		ginkgo.Entry("a snapshot", azurestair.RaftSnapshot, azurestair.Term(5), false, false),
	)
})
