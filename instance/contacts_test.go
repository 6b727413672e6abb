package instance

import (
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

// fakeContactStore returns a list or an error.
type fakeContactStore struct {
	list azurestair.ContactList
	err  error
}

func (s fakeContactStore) Load() (azurestair.ContactList, error) { return s.list, s.err }
func (s fakeContactStore) Save(azurestair.ContactList) error     { return s.err }

// Guards against an instance that does not start, or joins another fleet,
// because of a file that holds only hints.
var _ = ginkgo.DescribeTable("stored contacts are used",
	func(store fakeContactStore, fleet azurestair.FleetID, used bool) {
		l := loadContacts(store, fleet, slog.New(slog.DiscardHandler))
		Expect(len(l.Contacts) > 0).To(Equal(used))
	},
	ginkgo.Entry("of the same fleet", storedContacts("f1"), azurestair.FleetID("f1"), true),
	ginkgo.Entry("if the log has no fleet id yet", storedContacts("f1"), azurestair.FleetID(""), true),
	ginkgo.Entry("but not of another fleet", storedContacts("f1"), azurestair.FleetID("f2"), false),
	ginkgo.Entry("but not if they are not readable", fakeContactStore{err: errors.New("bad file")}, azurestair.FleetID("f1"), false),
)

func storedContacts(fleet azurestair.FleetID) fakeContactStore {
	return fakeContactStore{list: azurestair.ContactList{Fleet: fleet, Contacts: []azurestair.Contact{{ID: "c1", Addr: "127.0.0.1:1"}}}}
}
