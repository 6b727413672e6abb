package peer_test

import (
	"context"
	"fmt"
	"math"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/peer"
)

var quotaAsk = azurestair.QuotaAsk{
	Holder: "entry-1", Incarnation: 3, Sequence: 9, Term: 4,
	Demands: []azurestair.QuotaDemand{{Workspace: "jars", Answered: 8, Held: 3, Used: 2, Waiting: 1, Ahead: 4, OverLimit: 5, Unreachable: 6}},
}

var quotaAnswer = azurestair.QuotaAnswer{
	Term: 4, Sequence: 9, Grants: []azurestair.QuotaGrant{{Granted: 3, Revoked: 1, Scarce: true, OverLimit: true, NextMs: 20, RetryAfterMs: 300}},
}

// manyDemands returns n demands of different workspaces.
func manyDemands(n int) []azurestair.QuotaDemand {
	demands := make([]azurestair.QuotaDemand, n)
	for i := range demands {
		demands[i].Workspace = azurestair.WorkspaceName(fmt.Sprintf("w-%d", i))
	}
	return demands
}

var _ = Describe("asks for rate tokens", func() {
	var codec peer.Codec

	// Guards against values from the network that package quota does not expect,
	// and against memory without bound at the leader.
	DescribeTable("are rejected",
		func(change func(*azurestair.QuotaAsk)) {
			data, err := codec.Marshal(new(modified(quotaAsk, change)))
			Expect(err).NotTo(HaveOccurred())
			Expect(codec.Unmarshal(data, &azurestair.QuotaAsk{})).To(MatchError(azurestair.ErrInvalid))
		},
		Entry("without a holder", func(a *azurestair.QuotaAsk) { a.Holder = "" }),
		Entry("without a sequence", func(a *azurestair.QuotaAsk) { a.Sequence = 0 }),
		Entry("with a workspace twice", func(a *azurestair.QuotaAsk) { a.Demands = append(manyDemands(1), manyDemands(1)...) }),
		Entry("with too many workspaces", func(a *azurestair.QuotaAsk) { a.Demands = manyDemands(azurestair.MaxQuotaDemands + 1) }),
		Entry("with a negative number", func(a *azurestair.QuotaAsk) {
			a.Demands = []azurestair.QuotaDemand{{Workspace: "jars", Held: -1}}
		}),
		Entry("with a number that overflows sums", func(a *azurestair.QuotaAsk) {
			a.Demands = []azurestair.QuotaDemand{{Workspace: "jars", Waiting: math.MaxInt64}}
		}),
	)

	DescribeTable("are rejected if the answer is",
		func(g azurestair.QuotaGrant) {
			data, err := codec.Marshal(&azurestair.QuotaAnswer{Term: 4, Sequence: 9, Grants: []azurestair.QuotaGrant{g}})
			Expect(err).NotTo(HaveOccurred())
			Expect(codec.Unmarshal(data, &azurestair.QuotaAnswer{})).To(MatchError(azurestair.ErrInvalid))
		},
		Entry("a negative grant", azurestair.QuotaGrant{Granted: -1}),
		Entry("a negative delay", azurestair.QuotaGrant{NextMs: -1}),
		Entry("a delay of days", azurestair.QuotaGrant{RetryAfterMs: 1 << 40}),
	)

	It("are answered by the leader", func() {
		leader := &fakeHandler{}
		l := serve(leader, nil)
		client := peer.NewClient(newConns(nil), []peer.Address{addressOf("c1", l)})
		answer, err := client.AskQuota(context.Background(), quotaAsk)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(Equal(azurestair.QuotaAnswer{Term: 7, Sequence: 9, Grants: make([]azurestair.QuotaGrant, 1)}))
	})

	// Guards against one ask that two instances answer.
	It("are sent once, and the next one to the leader that was named", func() {
		leader := &fakeHandler{}
		l := serve(leader, nil)
		other := &fakeHandler{err: azurestair.NotLeaderError{Leader: "c2", Addr: l.Addr().String()}}
		o := serve(other, nil)
		client := peer.NewClient(newConns(nil), []peer.Address{addressOf("c1", o)})
		_, err := client.AskQuota(context.Background(), quotaAsk)
		Expect(err).To(MatchError(azurestair.ErrNotLeader))
		_, err = client.AskQuota(context.Background(), quotaAsk)
		Expect(err).NotTo(HaveOccurred())
	})
})

func FuzzQuotaAsk(f *testing.F)    { fuzzMessage[azurestair.QuotaAsk](f) }
func FuzzQuotaAnswer(f *testing.F) { fuzzMessage[azurestair.QuotaAnswer](f) }
