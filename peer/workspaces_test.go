package peer_test

import (
	"context"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/peer"
)

// senderHandler records the protocol version of the sender of a report.
type senderHandler struct {
	fakeHandler
	sender atomic.Uint32
}

func (h *senderHandler) Report(_ context.Context, r azurestair.Report) (azurestair.ReportReply, error) {
	h.sender.Store(uint32(r.Sender))
	return azurestair.ReportReply{Term: 1}, nil
}

// Guards against an instance of an earlier version that serves requests without
// a key because it ignores the workspaces of a snapshot.
var _ = Describe("an instance that does not know workspaces", func() {
	snapshot := func(list ...azurestair.Workspace) *azurestair.Snapshot {
		return &azurestair.Snapshot{Term: 1, Revision: 1, Config: &azurestair.Config{Version: 1, Workspaces: list}}
	}
	fetch := func(current azurestair.ProtocolVersion, held *azurestair.Snapshot) (*azurestair.Snapshot, error) {
		l := newEndpoint("c1", azurestair.ProtocolCurrent, azurestair.ProtocolOldest).serve(&fakeHandler{held: held})
		c := newEndpoint("e1", current, azurestair.ProtocolOldest).conns()
		return peer.NewClient(c, nil).FetchSnapshot(contextWithTimeout(long), addressOf("c1", l), azurestair.SnapshotVersion{})
	}

	It("gets no snapshot with workspaces", func() {
		acme := azurestair.Workspace{Name: "acme", Keys: []azurestair.KeyDigest{azurestair.KeyDigestOf("key-one")}}
		_, err := fetch(azurestair.ProtocolFleet, snapshot(acme))
		Expect(err).To(MatchError(azurestair.ErrVersion))
		got, err := fetch(azurestair.ProtocolWorkspaces, snapshot(acme))
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Config.Workspaces).To(Equal([]azurestair.Workspace{acme}))
		_, err = fetch(azurestair.ProtocolFleet, snapshot())
		Expect(err).NotTo(HaveOccurred())
	})

	It("is known to the leader by its report", func() {
		h := &senderHandler{}
		l := newEndpoint("c1", azurestair.ProtocolCurrent, azurestair.ProtocolOldest).serve(h)
		c := newEndpoint("e1", azurestair.ProtocolFleet, azurestair.ProtocolOldest).conns()
		_, err := peer.NewClient(c, []peer.Address{addressOf("c1", l)}).Report(contextWithTimeout(long), azurestair.Report{Instance: instance})
		Expect(err).NotTo(HaveOccurred())
		Expect(h.sender.Load()).To(BeEquivalentTo(azurestair.ProtocolFleet))
	})
})
