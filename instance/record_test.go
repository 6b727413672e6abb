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

const newer = azurestair.ProtocolCurrent + 1

func encode(v any) []byte {
	ginkgo.GinkgoHelper()
	data, err := peer.Codec{}.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	return data
}

// replicaOf returns a replica that starts from what its log store holds.
func replicaOf(ls azurestair.LogState, now time.Time, voters ...azurestair.InstanceID) (*Replica, error) {
	r, err := newReplica(raft.Options{ID: "c1", Membership: azurestair.Membership{Voters: voters}}, ls, now, slog.New(slog.DiscardHandler))
	if err == nil {
		r.transport, r.peers, r.writer = noTransport{}, noTransport{}, &logWriter{jobs: make(chan *storeJob, storeDepth)}
	}
	return r, err
}

// applyAll lets the only voter commit and apply its log, up to the first error.
func applyAll(r *Replica, now time.Time) error {
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		r.node.Tick(now)
		if err := r.work(now); err != nil {
			return err
		}
		for len(r.writer.jobs) > 0 {
			r.stored(<-r.writer.jobs)
		}
	}
	return nil
}

// announcing is a list of peers that have announced versions.
type announcing struct {
	noTransport
	versions map[azurestair.InstanceID]azurestair.ProtocolVersion
}

func (a announcing) Version(id azurestair.InstanceID) azurestair.ProtocolVersion {
	return a.versions[id]
}

var _ = ginkgo.Describe("records of the replicated log", func() {
	now := time.Unix(1_700_000_000, 0)
	drain := azurestair.Command{Drain: &azurestair.DrainChange{
		Change: azurestair.Change{ID: "d1", Operator: "o", Reason: "test"},
		Target: azurestair.Target{Kind: azurestair.TargetUpstream, Name: "u1"}, Drained: true,
	}}
	known := map[int]any{1: []any{drain}}

	// Guards against a replica that passes over a record of a newer program and
	// holds another state than the replicas that know it.
	ginkgo.DescribeTable("stop a replica that does not know them, with its state as it was",
		func(kind azurestair.EntryKind, batch any, message string) {
			r, err := replicaOf(azurestair.LogState{Hard: azurestair.HardState{Term: 1}, Entries: []azurestair.LogEntry{
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
		ginkgo.Entry("version", azurestair.EntryCommands, map[int]any{1: []any{drain}, 2: newer}, fmt.Sprintf("needs protocol version %d and this program has %d", newer, azurestair.ProtocolCurrent)),
		ginkgo.Entry("part and version", azurestair.EntryCommands, map[int]any{1: []any{map[int]any{1: 5, 99: 1}}, 2: newer}, fmt.Sprintf("needs protocol version %d", newer)),
	)

	// Guards against a snapshot of which a part is lost without a word.
	ginkgo.DescribeTable("stop a replica that does not know their snapshot",
		func(image map[int]any, message string) {
			image[1] = 5
			meta := azurestair.SnapshotMeta{Index: 5, Term: 1, Membership: azurestair.Membership{Voters: []azurestair.InstanceID{"c1"}}}
			_, err := replicaOf(azurestair.LogState{Hard: azurestair.HardState{Term: 1, Commit: 5}, Snapshot: meta, SnapshotData: encode(image)}, now, "c1")
			if message == "" {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(err).To(MatchError(azurestair.ErrUnknownRecord))
			Expect(err).To(MatchError(ContainSubstring(message)))
		},
		ginkgo.Entry("known", map[int]any{16: azurestair.ProtocolCurrent}, ""),
		ginkgo.Entry("field", map[int]any{99: 1}, "unknown field"),
		ginkgo.Entry("version", map[int]any{16: newer}, fmt.Sprintf("needs protocol version %d", newer)),
	)

	// Guards against a record that an older voter passes over in silence.
	ginkgo.It("are proposed when all members of the log know them", func() {
		r, err := replicaOf(azurestair.LogState{}, now, "c1", "c2", "c3")
		Expect(err).NotTo(HaveOccurred())
		peers := announcing{versions: map[azurestair.InstanceID]azurestair.ProtocolVersion{"c2": newer}}
		r.peers = peers
		Expect(r.checkNeeds(azurestair.ProtocolUnannounced)).To(Succeed())
		err = r.checkNeeds(newer)
		Expect(err).To(MatchError(azurestair.ErrVersion))
		Expect(err).To(MatchError(azurestair.ErrConflict))
		Expect(err).To(MatchError(ContainSubstring("c3 announces version 0")))
		peers.versions["c3"] = newer
		Expect(r.checkNeeds(newer)).To(Succeed())
		// Then a member that is down may not hold up more of them.
		delete(peers.versions, "c3")
		r.state.Require(newer)
		Expect(r.checkNeeds(newer)).To(Succeed())
		// An older learner that cannot read the log gets no vote.
		Expect(r.checkMembers(azurestair.Command{Members: &azurestair.MemberChange{
			Action: azurestair.MemberPromote, Instance: "c4",
		}})).To(MatchError(azurestair.ErrVersion))
	})

	// Guards against a list of holders that an older voter does not keep, and
	// against one that begins after floors were given without it.
	ginkgo.It("begin the list of holders with the first configuration that all members know", func() {
		r, err := replicaOf(azurestair.LogState{}, now, "c1", "c2")
		Expect(err).NotTo(HaveOccurred())
		first := azurestair.Command{At: azurestair.UnixMillisOf(now), Config: &azurestair.ConfigChange{
			Change: azurestair.Change{ID: "c1", Operator: "o", Reason: "first"},
		}}
		peers := announcing{versions: map[azurestair.InstanceID]azurestair.ProtocolVersion{"c2": azurestair.ProtocolUnannounced}}
		r.peers = peers
		Expect(r.mayListHolders(first)).To(BeFalse())
		peers.versions["c2"] = azurestair.ProtocolAnnounced
		Expect(r.mayListHolders(first)).To(BeTrue())
		Expect(r.mayListHolders(azurestair.Command{})).To(BeFalse())
		Expect(r.state.Apply(1, first).Code).To(Equal(azurestair.ResultAccepted))
		Expect(r.mayListHolders(first)).To(BeFalse())
	})

	// Guards against a snapshot that forgets what its log has needed.
	ginkgo.It("keep their version over a snapshot", func() {
		var s control.State
		Expect(s.Image().Needs).To(BeZero())
		s.Require(newer)
		back, err := control.FromImage(s.Image())
		Expect(err).NotTo(HaveOccurred())
		Expect(back.Needs()).To(Equal(newer))
	})
})
