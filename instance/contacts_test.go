package instance

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/peer"
)

// Guards against instances of two fleets that merge because an address is used
// by another fleet than before.
var _ = ginkgo.Describe("a member of a fleet", func() {
	var (
		m        *memberFixture
		followed []azurestair.InstanceID
	)
	reply := func(fleet azurestair.FleetID, rev azurestair.Revision, cfg azurestair.ConfigVersion) azurestair.ReportReply {
		r := snapshotReply(3, rev, cfg)
		r.Snapshot.Fleet = fleet
		return r
	}
	ginkgo.BeforeEach(func() {
		m, followed = newMemberFixture(), nil
		m.followLeader = func(leader peer.Address) { followed = append(followed, leader.ID) }
		m.exchange(reply("f1", 1, 1))
	})
	notice := azurestair.SnapshotNotice{Leader: "c9", Term: 9, Addr: "127.0.0.1:1"}

	ginkgo.It("reports its fleet", func() { Expect(m.report().Fleet).To(BeEquivalentTo("f1")) })
	ginkgo.It("does not follow a leader of another fleet", func() {
		notice.Fleet = "f2"
		m.handleNotice(notice, m.clock.Now())
		Expect(followed).To(BeEmpty())
	})
	ginkgo.It("follows a leader of its fleet", func() {
		notice.Fleet = "f1"
		m.handleNotice(notice, m.clock.Now())
		Expect(followed).To(Equal([]azurestair.InstanceID{"c9"}))
	})
	ginkgo.It("does not apply a snapshot of another fleet", func() {
		m.exchange(reply("f2", 5, 9))
		Expect(m.snapshot.ConfigVersion()).To(BeEquivalentTo(1))
	})
})

// Guards against an instance that has lost contact with the leader and waits
// for the next term, although the leader introduces itself again.
var _ = ginkgo.It("a member without contact follows the leader of the same term", func() {
	m := newMemberFixture()
	var followed []azurestair.InstanceID
	m.followLeader = func(leader peer.Address) { followed = append(followed, leader.ID) }
	m.exchange(snapshotReply(3, 1, 1))
	m.report()
	m.handleReportDone(reportDoneEvent{sent: m.clock.Now(), err: azurestair.ErrNoQuorum}, m.clock.Now())
	m.handleNotice(azurestair.SnapshotNotice{Leader: "c1", Term: 3}, m.clock.Now())
	Expect(followed).To(Equal([]azurestair.InstanceID{"c1"}))
})

var _ = ginkgo.Describe("a leader", func() {
	report := func(fleet azurestair.FleetID) azurestair.Report {
		return azurestair.Report{Number: 1, Fleet: fleet, Instance: azurestair.InstanceInfo{
			ID: "e1", CallerAddr: "127.0.0.1:1", PeerAddr: "127.0.0.1:2", Region: "huye", FailureDomain: "huye-a",
		}}
	}
	ginkgo.It("assigns a fleet id with the first configuration and rejects reports of other fleets", func() {
		l := newLeadingReplica()
		_, err := l.report(report("f9"), l.now)
		Expect(err).NotTo(HaveOccurred())
		done := make(chan proposeReply, 1)
		l.propose(proposeEvent{reply: done, command: azurestair.Command{Config: &azurestair.ConfigChange{
			Change: azurestair.Change{ID: "c1", Operator: "ops", Reason: "test"}, Config: azurestair.Config{Version: 1}, Highest: true,
		}}}, l.now)
		l.run(2)
		Expect((<-done).err).NotTo(HaveOccurred())
		Expect(l.state.Fleet()).NotTo(BeEmpty())
		_, err = l.report(report("f9"), l.now)
		Expect(err).To(MatchError(azurestair.ErrOtherFleet))
		_, err = l.report(report(l.state.Fleet()), l.now)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against instances that know only seeds which do not answer: the
	// leader has to call them.
	ginkgo.It("introduces itself to contacts and seeds that do not report", func() {
		l := newLeadingReplica()
		l.contacts.self = "127.0.0.1:9"
		l.setSeeds([]peer.Address{{ID: "c1", Addr: "127.0.0.1:9"}, {ID: "s1", Addr: "127.0.0.1:1"}}, l.now)
		l.contacts.observe(&azurestair.Snapshot{Instances: []azurestair.InstanceInfo{{ID: "e1", PeerAddr: "127.0.0.1:2"}}}, l.now)
		l.introduce(l.now)
		called := map[azurestair.InstanceID]azurestair.SnapshotNotice{}
		for len(l.notifier.introductions) > 0 {
			c := <-l.notifier.introductions
			called[c.to.ID] = c.notice
		}
		want := azurestair.SnapshotNotice{Leader: "c1", Term: l.leaderTerm, Addr: "127.0.0.1:9"}
		Expect(called).To(Equal(map[azurestair.InstanceID]azurestair.SnapshotNotice{"s1": want, "e1": want}))
	})
})

// Guards against a control instance outside the log that cannot say who leads,
// although it reports to the leader.
var _ = ginkgo.It("a replica that the log does not list passes on the leader that it knows", func() {
	l := newLeadingReplica()
	l.knownLeader = func() (peer.Address, bool) { return peer.Address{ID: "c7", Addr: "127.0.0.1:7"}, true }
	l.now = l.now.Add(time.Minute)
	l.node.Tick(l.now)
	if l.node.Leader() == "" {
		Expect(l.notLeaderError()).To(Equal(azurestair.NotLeaderError{Leader: "c7", Addr: "127.0.0.1:7"}))
	}
})

// fakeHintStore holds a hint or fails.
type fakeHintStore struct {
	data []byte
	err  error
}

func (s *fakeHintStore) Load() ([]byte, error) { return s.data, s.err }

func (s *fakeHintStore) Save(data []byte) error {
	s.data = data
	return s.err
}

// Guards against an instance that does not start, or joins another fleet,
// because of a file that holds only hints.
var _ = ginkgo.DescribeTable("stored hints are used",
	func(stored, fleet azurestair.FleetID, change func(s *fakeHintStore), used bool) {
		log := slog.New(slog.DiscardHandler)
		contacts, published := &fakeHintStore{}, &fakeHintStore{}
		data, err := encodeContacts(azurestair.ContactList{Fleet: stored, Contacts: []azurestair.Contact{{ID: "c1", Addr: "127.0.0.1:1"}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(contacts.Save(data)).To(Succeed())
		data, err = peer.EncodeSnapshot(routedSnapshot(stored, 3))
		Expect(err).NotTo(HaveOccurred())
		Expect(published.Save(data)).To(Succeed())
		for _, store := range []*fakeHintStore{contacts, published} {
			change(store)
		}
		Expect(len(loadContacts(contacts, fleet, log).Contacts) > 0).To(Equal(used))
		Expect(loadSnapshot(published, fleet, log) != nil).To(Equal(used))
	},
	ginkgo.Entry("of the same fleet", azurestair.FleetID("f1"), azurestair.FleetID("f1"), func(*fakeHintStore) {}, true),
	ginkgo.Entry("if the log has no fleet id yet", azurestair.FleetID("f1"), azurestair.FleetID(""), func(*fakeHintStore) {}, true),
	ginkgo.Entry("but not of another fleet", azurestair.FleetID("f1"), azurestair.FleetID("f2"), func(*fakeHintStore) {}, false),
	ginkgo.Entry("but not if they are not readable", azurestair.FleetID("f1"), azurestair.FleetID("f1"), func(s *fakeHintStore) { s.err = errors.New("bad file") }, false),
	ginkgo.Entry("but not if they are cut", azurestair.FleetID("f1"), azurestair.FleetID("f1"), func(s *fakeHintStore) { s.data = s.data[:len(s.data)/2] }, false),
	ginkgo.Entry("but not if there are none", azurestair.FleetID("f1"), azurestair.FleetID("f1"), func(s *fakeHintStore) { s.data = nil }, false),
)

// Guards against a hint that is lost because another one is being stored.
var _ = ginkgo.It("the newest hint is stored last", func() {
	store := &fakeHintStore{}
	w := newHintWriter("test", store, func(s string) ([]byte, error) { return []byte(s), nil }, time.Hour, slog.New(slog.DiscardHandler))
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.run()
	}()
	for _, hint := range []string{"a", "b", "c"} {
		w.save(hint)
	}
	w.close()
	Eventually(done, "5s").Should(BeClosed())
	Expect(string(store.data)).To(Equal("c"))
})

// routedSnapshot returns a snapshot whose configuration leases nothing.
func routedSnapshot(fleet azurestair.FleetID, cfg azurestair.ConfigVersion) *azurestair.Snapshot {
	a := testAnnouncement(1)
	return &azurestair.Snapshot{
		Term: 4, Revision: 9, Fleet: fleet, Upstreams: []azurestair.UpstreamInfo{{Announcement: a, Confirmed: true}},
		Config: &azurestair.Config{
			Version: cfg, Services: []azurestair.Service{{Name: "shop"}},
			Routes: []azurestair.Route{{
				Name: "read", Host: "shop.example", PathPrefix: "/", Rank: azurestair.RankInteractive, TimeoutMs: 1000, MaxAttempts: 2,
				Services: []azurestair.RouteService{{Service: "shop", Weight: 1}},
			}},
		},
	}
}

// Names the load pattern after a loss of power: all callers return at once, and
// the leader needs seconds to reach all entries.
var _ = ginkgo.Describe("an entry that has not reached a leader", func() {
	var m *memberFixture
	ginkgo.BeforeEach(func() { m = newMemberFixture() })
	adopt := func(s *azurestair.Snapshot) { m.adoptProvisional(s, m.clock.Now()) }
	inForce := func() azurestair.ConfigVersion { return m.snapshot.ConfigVersion() }

	ginkgo.It("is ready with the snapshot of a control instance, and takes a newer one", func() {
		adopt(routedSnapshot("f1", 3))
		Expect(m.entry.Ready()).To(Succeed())
		adopt(routedSnapshot("f1", 2))
		Expect(inForce()).To(BeEquivalentTo(3))
		adopt(routedSnapshot("f1", 4))
		Expect(inForce()).To(BeEquivalentTo(4))
	})
	ginkgo.It("does not reject a route that a newer configuration may have", func() {
		adopt(routedSnapshot("f1", 3))
		q := m.entryFixture.request("", "", longTimeout, nil, 0)
		q.Host, q.Path, q.Service = "shop.example", "other", ""
		reply := m.entry.Serve(context.Background(), q)
		Expect([]any{reply.Outcome, reply.Reason}).To(Equal([]any{azurestair.OutcomeRefused, azurestair.ReasonNotReady}))
	})
	ginkgo.It("takes the leader's snapshot instead, but never an older configuration", func() {
		adopt(routedSnapshot("f1", 3))
		reply := func(cfg azurestair.ConfigVersion) azurestair.ReportReply {
			s := routedSnapshot("f1", cfg)
			s.Term, s.Revision = 5, 1
			return azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL, Snapshot: s}
		}
		m.exchange(reply(2))
		Expect([]any{inForce(), m.provisional}).To(Equal([]any{azurestair.ConfigVersion(3), true}))
		m.exchange(reply(4))
		Expect([]any{inForce(), m.provisional}).To(Equal([]any{azurestair.ConfigVersion(4), false}))
		Expect(m.leaderReachedOnce).To(BeClosed())
		adopt(routedSnapshot("f1", 9))
		Expect(inForce()).To(BeEquivalentTo(4))
	})
	ginkgo.It("reports what it holds, so that a leader of the same term need not send it again", func() {
		adopt(routedSnapshot("f1", 3))
		q := m.report()
		Expect([]any{q.SnapshotTerm, q.SnapshotRevision}).To(Equal([]any{azurestair.Term(4), azurestair.Revision(9)}))
	})
	ginkgo.It("asks the control instance that offers its snapshot, until a leader has replied", func() {
		var learnt []peer.Address
		m.learnSource = func(a peer.Address) { learnt = append(learnt, a) }
		offer := azurestair.SnapshotNotice{Source: "c7", Addr: "127.0.0.1:7"}
		m.handleNotice(offer, m.clock.Now())
		m.exchange(azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL, Snapshot: routedSnapshot("f1", 3)})
		m.handleNotice(offer, m.clock.Now())
		Expect(learnt).To(Equal([]peer.Address{{ID: "c7", Addr: "127.0.0.1:7"}}))
	})
	ginkgo.It("does not use a configuration whose budgets a leader must lease", func() {
		adopt(testSnapshot(3))
		Expect(m.snapshot).To(BeNil())
	})
})

// Guards against thousands of announcements that are turned away at each
// instance in turn while a fleet starts, and against one that is lost because
// the instance that has acknowledged it never reaches a leader.
var _ = ginkgo.It("an instance acknowledges announcements without a leader only just after its start", func() {
	m := newMemberFixture()
	m.startedAt = m.clock.Now()
	Expect(m.announce(testAnnouncement(1), m.clock.Now())).To(Succeed())
	Expect(m.report().Announcements).To(HaveLen(1))
	m.clock.advance(startGrace)
	Expect(m.announce(testAnnouncement(2), m.clock.Now())).To(MatchError(azurestair.ErrNoQuorum))
})

// Guards against a snapshot that is written with each change of a load.
var _ = ginkgo.It("a control instance stores a snapshot for the next run when it matters", func() {
	m := newMemberFixture()
	var saved []azurestair.Revision
	m.saveSnapshot = func(s *azurestair.Snapshot) { saved = append(saved, s.Revision) }
	reply := func(rev azurestair.Revision, load azurestair.Slots, state azurestair.UpstreamState) azurestair.ReportReply {
		s := routedSnapshot("f1", 3)
		s.Term, s.Revision = 5, rev
		s.Upstreams[0].Announcement.Load.InFlight, s.Upstreams[0].Announcement.State = load, state
		return azurestair.ReportReply{Term: 5, ControlTTLMs: controlTTL, Snapshot: s}
	}
	m.exchange(reply(1, 0, azurestair.StateServing))
	m.exchange(reply(2, 5, azurestair.StateServing))
	m.exchange(reply(3, 5, azurestair.StateDraining))
	Expect(saved).To(Equal([]azurestair.Revision{1, 3}))
})

// peerRecorder records the peers that a replica connects to.
type peerRecorder struct {
	noTransport
	added []peer.Address
}

func (p *peerRecorder) AddPeer(a peer.Address) { p.added = append(p.added, a) }

// Guards against a lost disk that is never replaced: a replica that joins could
// not answer a leader that its settings do not name, and so got no entries.
var _ = ginkgo.Describe("a replica that joins connects to the leader that calls it", func() {
	const leaderAddr = "127.0.0.1:7"
	connected := func(prepare func(r *Replica, now time.Time)) []peer.Address {
		ginkgo.GinkgoHelper()
		now := time.Unix(100, 0)
		r, err := newTestReplica(azurestair.LogState{}, now)
		Expect(err).NotTo(HaveOccurred())
		peers := &peerRecorder{}
		r.peers = peers
		prepare(r, now)
		Expect(r.node.Step(azurestair.RaftMessage{Kind: azurestair.RaftHeartbeat, From: "c7", To: "c1", Term: 3}, now)).To(Succeed())
		r.connectMembers()
		return peers.added
	}
	ginkgo.It("if a snapshot has listed it", func() {
		added := connected(func(r *Replica, now time.Time) {
			r.contacts.observe(&azurestair.Snapshot{Instances: []azurestair.InstanceInfo{{ID: "c7", PeerAddr: leaderAddr, Control: true}}}, now)
		})
		Expect(added).To(Equal([]peer.Address{{ID: "c7", Addr: leaderAddr}}))
	})
	ginkgo.It("if its address follows from its ID", func() {
		added := connected(func(r *Replica, _ time.Time) {
			r.peerAddr = func(id azurestair.InstanceID) string { return map[azurestair.InstanceID]string{"c7": leaderAddr}[id] }
		})
		Expect(added).To(Equal([]peer.Address{{ID: "c7", Addr: leaderAddr}}))
	})
})
