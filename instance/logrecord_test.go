package instance

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/peer"
	"azurestair.example/azurestair/raft"
)

const newerVersion = azurestair.ProtocolCurrent + 1

func encode(v any) []byte {
	ginkgo.GinkgoHelper()
	data, err := peer.Codec{}.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	return data
}

// newTestReplica returns a replica that starts from the content of a log store.
func newTestReplica(ls azurestair.LogState, now time.Time, voters ...azurestair.InstanceID) (*Replica, error) {
	r, err := newReplica(raft.Options{ID: "c1", Membership: azurestair.Membership{Voters: voters}}, ls, now, slog.New(slog.DiscardHandler))
	if err == nil {
		r.transport, r.peers, r.writer = noTransport{}, noTransport{}, &logWriter{jobs: make(chan *storeJob, maxStoreJobs)}
	}
	return r, err
}

// applyAll makes the only voter commit and apply its log, up to the first
// error.
func applyAll(r *Replica, now time.Time) error {
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		r.node.Tick(now)
		if err := r.processReady(now); err != nil {
			return err
		}
		for len(r.writer.jobs) > 0 {
			r.handleStoreDone(<-r.writer.jobs)
		}
	}
	return nil
}

// versionedPeers is a peerDirectory with announced versions.
type versionedPeers struct {
	noTransport
	versions map[azurestair.InstanceID]azurestair.ProtocolVersion
}

func (a versionedPeers) Version(id azurestair.InstanceID) azurestair.ProtocolVersion {
	return a.versions[id]
}

var _ = ginkgo.Describe("records of the replicated log", func() {
	now := time.Unix(1_700_000_000, 0)
	drain := azurestair.Command{Drain: &azurestair.DrainChange{
		Change: azurestair.Change{ID: "d1", Operator: "o", Reason: "test"},
		Target: azurestair.Target{Kind: azurestair.TargetUpstream, Name: "u1"}, Drained: true,
	}}
	known := map[int]any{1: []any{drain}}

	// Guards against a replica that skips a record of a newer program and
	// diverges from the replicas that know it.
	ginkgo.DescribeTable("stop a replica that does not know them and leave its state unchanged",
		func(kind azurestair.EntryKind, batch any, message string) {
			r, err := newTestReplica(azurestair.LogState{HardState: azurestair.HardState{Term: 1}, Entries: []azurestair.LogEntry{
				{Index: 1, Term: 1, Kind: azurestair.EntryMembership, Membership: &azurestair.Membership{Voters: []azurestair.InstanceID{"c1"}}},
				{Index: 2, Term: 1, Data: encode(known)},
				{Index: 3, Term: 1, Kind: kind, Data: encode(batch)},
			}}, now, "c1")
			Expect(err).NotTo(HaveOccurred())
			err = applyAll(r, now)
			Expect(r.state.Drains()).To(HaveLen(1))
			if message == "" {
				Expect(err).NotTo(HaveOccurred())
				Expect(r.state.Applied()).To(BeNumerically(">=", 3))
				return
			}
			Expect(err).To(MatchError(azurestair.ErrUnknownRecord))
			Expect(err).To(MatchError(And(ContainSubstring("log entry 3"), ContainSubstring(message), ContainSubstring("start the newer program"))))
			Expect(r.state.Applied()).To(BeEquivalentTo(2))
		},
		ginkgo.Entry("known", azurestair.EntryCommands, known, ""),
		ginkgo.Entry("kind of an entry", azurestair.EntryMembership+1, known, "entry kind 3"),
		ginkgo.Entry("part of a command", azurestair.EntryCommands, map[int]any{1: []any{map[int]any{1: 5, 99: 1}}}, "unknown field"),
		ginkgo.Entry("field of a part", azurestair.EntryCommands, map[int]any{1: []any{map[int]any{1: 5, 3: map[string]any{"drained": true, "new": 1}}}}, "unknown field"),
		ginkgo.Entry("version", azurestair.EntryCommands, map[int]any{1: []any{drain}, 2: newerVersion}, fmt.Sprintf("needs protocol version %d and this program has %d", newerVersion, azurestair.ProtocolCurrent)),
		ginkgo.Entry("part and version", azurestair.EntryCommands, map[int]any{1: []any{map[int]any{1: 5, 99: 1}}, 2: newerVersion}, fmt.Sprintf("needs protocol version %d", newerVersion)),
	)

	// Guards against silently losing a part of a snapshot.
	ginkgo.DescribeTable("stop a replica that does not know a part of their snapshot",
		func(image map[int]any, message string) {
			image[1] = 5
			meta := azurestair.SnapshotMeta{Index: 5, Term: 1, Membership: azurestair.Membership{Voters: []azurestair.InstanceID{"c1"}}}
			_, err := newTestReplica(azurestair.LogState{HardState: azurestair.HardState{Term: 1, Commit: 5}, Snapshot: meta, SnapshotData: encode(image)}, now, "c1")
			if message == "" {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(err).To(MatchError(azurestair.ErrUnknownRecord))
			Expect(err).To(MatchError(ContainSubstring(message)))
		},
		ginkgo.Entry("known", map[int]any{16: azurestair.ProtocolCurrent}, ""),
		ginkgo.Entry("field", map[int]any{99: 1}, "unknown field"),
		ginkgo.Entry("version", map[int]any{16: newerVersion}, fmt.Sprintf("needs protocol version %d", newerVersion)),
	)

	// Guards against a record that an older voter skips silently.
	ginkgo.It("are proposed when all members of the log know them", func() {
		r, err := newTestReplica(azurestair.LogState{}, now, "c1", "c2", "c3")
		Expect(err).NotTo(HaveOccurred())
		peers := versionedPeers{versions: map[azurestair.InstanceID]azurestair.ProtocolVersion{"c2": newerVersion}}
		r.peers = peers
		Expect(r.checkMemberVersions(azurestair.ProtocolUnannounced)).To(Succeed())
		err = r.checkMemberVersions(newerVersion)
		Expect(err).To(MatchError(azurestair.ErrVersion))
		Expect(err).To(MatchError(azurestair.ErrConflict))
		Expect(err).To(MatchError(ContainSubstring("c3 announces version 0")))
		peers.versions["c3"] = newerVersion
		Expect(r.checkMemberVersions(newerVersion)).To(Succeed())
		// Once such a record is in the log, a member that is down must not
		// block further ones.
		delete(peers.versions, "c3")
		r.state.RequireVersion(newerVersion)
		Expect(r.checkMemberVersions(newerVersion)).To(Succeed())
		// An older learner that cannot read the log is not promoted.
		Expect(r.checkCommandVersion(azurestair.Command{Members: &azurestair.MemberChange{
			Action: azurestair.MemberPromote, Instance: "c4",
		}})).To(MatchError(azurestair.ErrVersion))
	})

	// Guards against a holder list that an older voter does not keep, and
	// against one that starts after floors were granted without it.
	ginkgo.It("start the holder list with the first configuration if all members can read it", func() {
		r, err := newTestReplica(azurestair.LogState{}, now, "c1", "c2")
		Expect(err).NotTo(HaveOccurred())
		first := azurestair.Command{At: azurestair.UnixMillisOf(now), Config: &azurestair.ConfigChange{
			Change: azurestair.Change{ID: "c1", Operator: "o", Reason: "first"},
		}}
		peers := versionedPeers{versions: map[azurestair.InstanceID]azurestair.ProtocolVersion{"c2": azurestair.ProtocolUnannounced}}
		r.peers = peers
		Expect(r.startsHolderList(first)).To(BeFalse())
		peers.versions["c2"] = azurestair.ProtocolAnnounced
		Expect(r.startsHolderList(first)).To(BeTrue())
		Expect(r.startsHolderList(azurestair.Command{})).To(BeFalse())
		Expect(r.state.Apply(1, first).Code).To(Equal(azurestair.ResultAccepted))
		Expect(r.startsHolderList(first)).To(BeFalse())
	})

	// Guards against a snapshot that loses the version required by its log.
	ginkgo.It("keep the required version across a snapshot", func() {
		var s control.State
		Expect(s.Image().RequiredVersion).To(BeZero())
		s.RequireVersion(newerVersion)
		back, err := control.FromImage(s.Image())
		Expect(err).NotTo(HaveOccurred())
		Expect(back.RequiredVersion()).To(Equal(newerVersion))
	})
})
