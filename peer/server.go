package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// Handler handles calls from other instances.
type Handler interface {
	azurestair.Proposer
	azurestair.Reporter
	azurestair.QuotaAsker
	// Query reads the control state of the leader.
	Query(ctx context.Context, q control.Query) (control.QueryResult, error)
	// Step processes a raft message. It must not block for long.
	Step(ctx context.Context, m azurestair.RaftMessage) error
	// Notify processes a notice from the leader.
	Notify(ctx context.Context, n azurestair.SnapshotNotice)
	// HeldSnapshot returns the snapshot that this instance holds, whether or not
	// a leader has confirmed it, or ErrNotFound.
	HeldSnapshot(ctx context.Context) (*azurestair.Snapshot, error)
}

const (
	serviceName   = "azurestair.Peer"
	methodPropose = "/" + serviceName + "/Propose"
	methodReport  = "/" + serviceName + "/Report"
	methodQuery   = "/" + serviceName + "/Query"
	methodNotify  = "/" + serviceName + "/Notify"
	methodHeld    = "/" + serviceName + "/Held"
	methodStep    = "/" + serviceName + "/Step"
)

type empty struct{}

// Server accepts calls from other instances.
type Server struct {
	// OnPanic is called with the method and the value of a panic in a call,
	// which then fails. It may be nil and must be set before Serve.
	OnPanic func(method string, value any)

	grpc *grpc.Server
}

// service wraps a Handler and checks the caller's protocol version before each
// call.
type service struct {
	Handler
	versions *Versions
	replies  replyCache
	// held caches the encoded snapshot of HeldSnapshot.
	held replyCache
}

// NewServer returns a server for h. A nil tlsCfg selects plain TCP, which
// requires a trusted network; versions may be nil.
func NewServer(h Handler, tlsCfg *tls.Config, versions *Versions) *Server {
	if versions == nil {
		versions = NewVersions(VersionOptions{})
	}
	server := &Server{}
	opts := []grpc.ServerOption{
		grpc.UnaryInterceptor(server.interceptUnary),
		grpc.StreamInterceptor(server.interceptStream),
		grpc.ForceServerCodec(Codec{}),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxConcurrentStreams(4096),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.ConnectionTimeout(5 * time.Second),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 20 * time.Second, Timeout: 5 * time.Second}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}),
	}
	if tlsCfg != nil {
		opts = append(opts, grpc.Creds(credentials.NewTLS(tlsCfg)))
	}
	s := grpc.NewServer(opts...)
	s.RegisterService(serviceDesc(), &service{Handler: h, versions: versions})
	server.grpc = s
	return server
}

// errPanic is the error of a call that has panicked.
var errPanic = status.Error(codes.Internal, "the call panicked")

func (s *Server) interceptUnary(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (resp any, err error) {
	defer s.recoverPanic(info.FullMethod, &err)
	return handler(ctx, req)
}

func (s *Server) interceptStream(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
	defer s.recoverPanic(info.FullMethod, &err)
	return handler(srv, stream)
}

// recoverPanic makes a call that has panicked fail alone.
func (s *Server) recoverPanic(method string, err *error) {
	v := recover()
	if v == nil {
		return
	}
	*err = errPanic
	if s.OnPanic != nil {
		s.OnPanic(method, v)
	}
}

// Serve accepts connections on l until Stop is called, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	if err := s.grpc.Serve(l); !errors.Is(err, grpc.ErrServerStopped) {
		return err
	}
	return nil
}

// Stop closes the listener and all connections.
func (s *Server) Stop() { s.grpc.Stop() }

func serviceDesc() *grpc.ServiceDesc {
	return &grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*Handler)(nil),
		Methods: []grpc.MethodDesc{
			unary("Propose", propose),
			unary("Report", report),
			unary("Query", (*service).Query),
			unary("Notify", notify),
			unary("Held", held),
			unary("Quota", (*service).AskQuota),
		},
		Streams: []grpc.StreamDesc{{StreamName: "Step", Handler: stepStream, ClientStreams: true}},
	}
}

func propose(s *service, ctx context.Context, cmd azurestair.Command) (azurestair.Result, error) { //nolint:revive // in a method expression the receiver comes first
	if cmd.Claim != nil {
		cmd.Claim.RemainingMs = timeLeft(ctx)
	}
	return s.Propose(ctx, cmd)
}

func report(s *service, ctx context.Context, rep azurestair.Report) (encodedReply, error) { //nolint:revive // in a method expression the receiver comes first
	md, _ := metadata.FromIncomingContext(ctx)
	rep.Sender = parseRange(md).Current
	r, err := s.Report(ctx, rep)
	if err != nil {
		return encodedReply{}, err
	}
	return s.replies.encodeReply(r, rep.Sender)
}

func notify(s *service, ctx context.Context, n azurestair.SnapshotNotice) (empty, error) { //nolint:revive // in a method expression the receiver comes first
	s.Notify(ctx, n)
	return empty{}, nil
}

// heldRequest asks for the held snapshot if it is newer than the given one.
type heldRequest struct {
	Newest azurestair.SnapshotVersion `cbor:"1,keyasint,omitempty"`
}

func held(s *service, ctx context.Context, q heldRequest) (encodedReply, error) { //nolint:revive // in a method expression the receiver comes first
	snap, err := s.HeldSnapshot(ctx)
	if err != nil || !snap.Version().IsNewerThan(q.Newest) {
		return encodedReply{}, err
	}
	md, _ := metadata.FromIncomingContext(ctx)
	version := parseRange(md).Current
	if err := snap.Config.CheckProgram(version); err != nil {
		return encodedReply{}, err
	}
	return s.held.encodeReply(azurestair.ReportReply{Snapshot: snap}, version)
}

// unary adapts a Handler method to a gRPC method. The message is decoded behind
// the interceptor, so that a panic in decoding ends the call alone.
func unary[Req, Resp any](name string, call func(*service, context.Context, Req) (Resp, error)) grpc.MethodDesc {
	handle := func(ctx context.Context, s *service, data rawMessage) (any, error) {
		if _, err := s.versions.checkCall(ctx); err != nil {
			return nil, toStatus(err)
		}
		req := new(Req)
		if err := decode(data, req); err != nil {
			return nil, toStatus(err)
		}
		resp, err := call(s, ctx, *req)
		if err != nil {
			return nil, toStatus(err)
		}
		return &resp, nil
	}
	info := &grpc.UnaryServerInfo{FullMethod: "/" + serviceName + "/" + name}
	return grpc.MethodDesc{MethodName: name, Handler: func(srv any, ctx context.Context, dec func(any) error, intercept grpc.UnaryServerInterceptor) (any, error) {
		var data rawMessage
		if err := dec(&data); err != nil {
			return nil, err
		}
		return intercept(ctx, nil, info, func(ctx context.Context, _ any) (any, error) { return handle(ctx, srv.(*service), data) })
	}}
}

// decode decodes a message. A command becomes a record of the log, so unknown
// fields are rejected: without them the log would hold a different command from
// the one that was sent.
func decode(data []byte, v any) error {
	if _, ok := v.(*azurestair.Command); ok {
		return Codec{}.UnmarshalRecord(data, v)
	}
	return Codec{}.Unmarshal(data, v)
}

func stepStream(srv any, stream grpc.ServerStream) error {
	s := srv.(*service)
	theirs, err := s.versions.checkCall(stream.Context())
	if err != nil {
		return toStatus(err)
	}
	for first := true; ; first = false {
		var m azurestair.RaftMessage
		err := stream.RecvMsg(&m)
		if errors.Is(err, io.EOF) {
			return stream.SendMsg(&empty{})
		}
		if err != nil {
			return err
		}
		if first {
			s.versions.record(m.From, theirs)
		}
		if err := s.Step(stream.Context(), m); err != nil {
			return toStatus(err)
		}
	}
}
