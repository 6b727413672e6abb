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

// Guards against 'azurestair init' creating another first voter for a fleet
// whose majority is lost. The remaining voter has no leader and must still
// answer the query of 'azurestair init'.
var _ = ginkgo.It("a replica without a leader answers local queries only", func() {
	now := time.Unix(1_700_000_000, 0)
	voters := []azurestair.InstanceID{"entry-1", "entry-2", "entry-3"}
	r, err := newReplica(raft.Options{ID: "entry-1", Membership: azurestair.Membership{Voters: voters}},
		azurestair.LogState{}, now, slog.New(slog.DiscardHandler))
	Expect(err).NotTo(HaveOccurred())
	r.peers = noPeers{}
	r.state.ApplyBatch(1, []azurestair.Command{{Config: &azurestair.ConfigChange{
		Change: azurestair.Change{ID: "c1", Operator: "o", Reason: "first"},
	}}})
	ask := func(q control.Query) queryReply {
		reply := make(chan queryReply, 1)
		queryEvent{query: q, reply: reply}.handle(&Controller{replica: r}, now)
		return <-reply
	}
	Expect(ask(control.Query{History: true}).err).To(MatchError(azurestair.ErrNotLeader))
	local := ask(control.Query{History: true, Local: true})
	Expect(local.err).NotTo(HaveOccurred())
	Expect(local.result.History).To(HaveLen(1))
})

// noPeers is a peerDirectory without addresses.
type noPeers struct{ peerDirectory }

func (noPeers) Addr(azurestair.InstanceID) string { return "" }
