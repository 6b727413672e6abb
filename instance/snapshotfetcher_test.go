package instance

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/peer"
)

// startSource serves as a control instance that holds a snapshot, or none, and
// returns its address.
func startSource(id azurestair.InstanceID, s *azurestair.Snapshot) peer.Address {
	ginkgo.GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	clk, log := SystemClock{}, slog.New(slog.DiscardHandler)
	m := newMember(azurestair.InstanceInfo{ID: id}, nil, newReporter(nil, clk), log)
	m.snapshot = s
	c := newController(clk, log, m, nil)
	ctx, cancel := context.WithCancel(context.Background())
	go c.run(ctx)
	server := peer.NewServer(c, nil, nil)
	go func() { _ = server.Serve(l) }()
	ginkgo.DeferCleanup(func() { cancel(); server.Stop() })
	return peer.Address{ID: id, Addr: l.Addr().String()}
}

// Guards against an entry that serves nothing until a leader is found although
// control instances hold what it needs, and against calls without end in a new
// fleet.
var _ = ginkgo.Describe("an entry that starts", func() {
	// fetch runs a fetcher and returns the newest version that it posted and
	// whether it ended by itself.
	fetch := func(peers ...peer.Address) (azurestair.SnapshotVersion, bool) {
		ginkgo.GinkgoHelper()
		conns := peer.NewConns(nil, nil, nil)
		ginkgo.DeferCleanup(conns.Close)
		var newest atomic.Pointer[azurestair.SnapshotVersion]
		post := func(e event) {
			v := e.(provisionalEvent).snapshot.Version()
			if old := newest.Load(); old == nil || v.IsNewerThan(*old) {
				newest.Store(&v)
			}
		}
		f := newSnapshotFetcher(peer.NewClient(conns, peers), post, slog.New(slog.DiscardHandler), make(chan struct{}))
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		f.run(ctx)
		if v := newest.Load(); v != nil {
			return *v, ctx.Err() == nil
		}
		return azurestair.SnapshotVersion{}, ctx.Err() == nil
	}
	gone := peer.Address{ID: "gone", Addr: "127.0.0.1:1"}

	ginkgo.It("takes the newest snapshot of the control instances that answer", func() {
		older, newer := routedSnapshot("f1", 3), routedSnapshot("f1", 4)
		got, ended := fetch(gone, startSource("c1", older), startSource("c2", newer), startSource("c3", nil))
		Expect(got).To(Equal(newer.Version()))
		Expect(ended).To(BeTrue())
	})
	ginkgo.It("stops asking in a fleet without snapshots", func() {
		got, ended := fetch(startSource("c1", nil), startSource("c2", nil))
		Expect(got).To(BeZero())
		Expect(ended).To(BeTrue())
	})
	ginkgo.It("takes an offered snapshot while the control instances that it knows do not answer", func() {
		conns := peer.NewConns(nil, nil, nil)
		ginkgo.DeferCleanup(conns.Close)
		silent := []peer.Address{startSilent("c1"), startSilent("c2"), startSilent("c3")}
		var f *snapshotFetcher
		var got azurestair.SnapshotVersion
		outstanding := 0
		post := func(e event) {
			got = e.(provisionalEvent).snapshot.Version()
			outstanding = len(f.asked)
		}
		f = newSnapshotFetcher(peer.NewClient(conns, silent), post, slog.New(slog.DiscardHandler), make(chan struct{}))
		s := routedSnapshot("f1", 3)
		f.offer(startSource("c4", s))
		f.run(context.Background())
		Expect(got).To(Equal(s.Version()))
		Expect(outstanding).To(BeNumerically(">", 0), "the offer waited for the others")
	})
})

// startSilent accepts connections and never answers.
func startSilent(id azurestair.InstanceID) peer.Address {
	ginkgo.GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(l.Close)
	return peer.Address{ID: id, Addr: l.Addr().String()}
}
