package peer_test

import (
	"bytes"
	"log/slog"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/peer"
)

// endpoint is a process with its own protocol versions.
type endpoint struct {
	versions *peer.Versions
	clock    *fakeClock
	log      bytes.Buffer
}

func newEndpoint(id azurestair.InstanceID, current, oldest azurestair.ProtocolVersion) *endpoint {
	e := &endpoint{clock: &fakeClock{}}
	e.versions = peer.NewVersions(peer.VersionOptions{
		Self: id, Clock: e.clock, Log: slog.New(slog.NewTextHandler(&e.log, nil)),
		Own: azurestair.ProtocolRange{Current: current, Oldest: oldest},
	})
	return e
}

func (e *endpoint) conns() *peer.ConnPool {
	c := peer.NewConns(nil, nil, e.versions)
	DeferCleanup(c.Close)
	return c
}

func (e *endpoint) serve(h peer.Handler) net.Listener {
	GinkgoHelper()
	return serveWith(peer.NewServer(h, nil, e.versions))
}

// expectMismatch checks that the mismatch is listed and was logged once.
func (e *endpoint) expectMismatch(id azurestair.InstanceID) {
	GinkgoHelper()
	Expect(e.versions.Mismatches()).To(ConsistOf(HaveField("Peer", id)))
	Expect(strings.Count(e.log.String(), `msg="version mismatch" peer=`+string(id)+" ")).To(Equal(1), e.log.String())
}

// serveUnversioned serves like a process that announces no version.
func serveUnversioned() net.Listener {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := grpc.NewServer(grpc.ForceServerCodec(peer.Codec{}), grpc.UnknownServiceHandler(func(_ any, s grpc.ServerStream) error {
		var q any
		if err := s.RecvMsg(&q); err != nil {
			return err
		}
		return s.SendMsg(&control.QueryResult{})
	}))
	go func() { _ = s.Serve(l) }()
	DeferCleanup(s.Stop)
	return l
}

// reportRaw sends a report with only the given metadata.
func reportRaw(l net.Listener, md ...string) error {
	GinkgoHelper()
	return callRaw(l, "Report", &azurestair.Report{Instance: instance}, md...)
}

// callRaw calls a method with only the given metadata.
func callRaw(l net.Listener, method string, req any, md ...string) error {
	GinkgoHelper()
	cc, err := grpc.NewClient("passthrough:///"+l.Addr().String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDefaultCallOptions(grpc.ForceCodec(peer.Codec{})))
	Expect(err).NotTo(HaveOccurred())
	defer cc.Close()
	ctx := metadata.AppendToOutgoingContext(contextWithTimeout(long), md...)
	return cc.Invoke(ctx, "/azurestair.Peer/"+method, req, &map[int]any{})
}

var _ = Describe("protocol versions", func() {
	// Guards against messages that a process with another version
	// misinterprets, and against two processes of which only one rejects the
	// other.
	DescribeTable("of the caller and of the server must be compatible",
		func(current, oldest, serverCurrent, serverOldest azurestair.ProtocolVersion, ok bool) {
			caller, server, h := newEndpoint("e1", current, oldest), newEndpoint("c1", serverCurrent, serverOldest), &fakeHandler{}
			c, to := caller.conns(), addressOf("c1", server.serve(h))
			_, err := peer.NewClient(c, nil).QueryAt(contextWithTimeout(long), to, control.Query{})
			if ok {
				Expect(err).NotTo(HaveOccurred())
				Expect([]int{len(caller.versions.Mismatches()), len(server.versions.Mismatches())}).To(Equal([]int{0, 0}))
				return
			}
			Expect(err).To(MatchError(azurestair.ErrVersion))
			Expect(err).To(MatchError(azurestair.VersionError{
				Peer: "c1", Own: caller.versions.Own(), Theirs: server.versions.Own(),
			}))
			Expect(h.calls.Load()).To(BeZero())
		},
		Entry("same", version(3), version(3), version(3), version(3), true),
		Entry("newer caller within the range", version(4), version(2), version(3), version(3), true),
		Entry("older caller within the range", version(3), version(3), version(4), version(2), true),
		Entry("caller too old", version(2), version(1), version(4), version(3), false),
		Entry("caller too new", version(4), version(3), version(2), version(1), false),
	)

	// Guards against one log line or one listed mismatch per rejected call.
	It("that are incompatible are logged and listed once for each peer, for a minute", func() {
		caller, server := newEndpoint("e1", 2, 1), newEndpoint("c1", 4, 3)
		c, to := caller.conns(), addressOf("c1", server.serve(&fakeHandler{}))
		for range 20 {
			_, err := peer.NewClient(c, nil).QueryAt(contextWithTimeout(long), to, control.Query{})
			Expect(err).To(MatchError(azurestair.ErrVersion))
		}
		caller.expectMismatch("c1")
		server.expectMismatch("e1")
		caller.clock.at.Add(int64(61 * time.Second))
		Expect(caller.versions.Mismatches()).To(BeEmpty())
	})

	// Guards against raft messages from a rejected process reaching the log.
	It("are checked before the first raft message", func() {
		caller, server, h := newEndpoint("c2", 2, 1), newEndpoint("c1", 4, 3), &fakeHandler{}
		t := peer.NewTransport(caller.conns(), &fakeClock{}, []peer.Address{addressOf("c1", server.serve(h))})
		DeferCleanup(t.Close)
		Eventually(func() []azurestair.VersionError {
			t.Send(azurestair.RaftMessage{Kind: azurestair.RaftHeartbeat, From: "c2", To: "c1", Term: 1})
			return caller.versions.Mismatches()
		}).Should(HaveLen(1))
		Expect(h.stepCount()).To(BeZero())
		server.expectMismatch("c2")
	})

	// Guards against a leader that assumes a newer version than a member has.
	It("are recorded for the instances that send raft messages", func() {
		caller, server, h := newEndpoint("c2", 3, 1), newEndpoint("c1", 4, 2), &fakeHandler{}
		Expect(server.versions.Of("c2")).To(Equal(azurestair.ProtocolUnannounced))
		t := peer.NewTransport(caller.conns(), &fakeClock{}, []peer.Address{addressOf("c1", server.serve(h))})
		DeferCleanup(t.Close)
		t.Send(azurestair.RaftMessage{Kind: azurestair.RaftHeartbeat, From: "c2", To: "c1", Term: 1})
		Eventually(h.stepCount).Should(Equal(1))
		Expect(server.versions.Of("c2")).To(Equal(version(3)))
	})

	// Guards against rejecting processes that announce no version while a fleet
	// is being upgraded, and against accepting them forever.
	DescribeTable("default to the first one when a process announces none",
		func(oldest azurestair.ProtocolVersion, ok bool) {
			e, h := newEndpoint("c1", 2, oldest), &fakeHandler{}
			err := reportRaw(e.serve(h))
			Expect(err == nil).To(Equal(ok), "%v", err)
			Expect(h.calls.Load() > 0).To(Equal(ok))
			_, err = peer.NewClient(e.conns(), nil).QueryAt(contextWithTimeout(long), addressOf("old", serveUnversioned()), control.Query{})
			Expect(err == nil).To(Equal(ok), "%v", err)
			if !ok {
				Expect(err).To(MatchError(azurestair.ErrVersion))
				Expect(e.versions.Mismatches()).To(ConsistOf(HaveField("Peer", azurestair.InstanceID("127.0.0.1")),
					HaveField("Peer", azurestair.InstanceID("old"))))
			}
		},
		Entry("accepted", version(1), true), Entry("no longer accepted", version(2), false),
	)

	// Guards against accepting a malformed version.
	DescribeTable("that are malformed are rejected",
		func(md ...string) {
			Expect(status.Code(reportRaw(newEndpoint("c1", 2, 1).serve(&fakeHandler{}), md...))).To(Equal(codes.Unimplemented))
		},
		Entry("no number", "azurestair-version", "two", "azurestair-oldest", "1"),
		Entry("no version", "azurestair-oldest", "1"),
		Entry("twice", "azurestair-version", "2", "azurestair-version", "2", "azurestair-oldest", "1"),
		Entry("negative", "azurestair-version", "-2", "azurestair-oldest", "1"),
	)

	// Guards against a command from a newer version that enters the log without
	// the fields that its receiver does not know.
	It("allow unknown fields in messages, but not in records", func() {
		h := &fakeHandler{}
		l := newEndpoint("c1", 2, 1).serve(h)
		Expect(callRaw(l, "Query", map[int]any{99: "new"})).To(Succeed())
		Expect(callRaw(l, "Propose", map[int]any{4: claim})).To(Succeed())
		Expect(status.Code(callRaw(l, "Propose", map[int]any{4: claim, 99: "new"}))).To(Equal(codes.Unimplemented))
		Expect(h.calls.Load()).To(BeEquivalentTo(2))
	})
})

func version(n azurestair.ProtocolVersion) azurestair.ProtocolVersion { return n }
