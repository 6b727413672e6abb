package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// Handler handles calls from other instances.
type Handler interface {
	azurestair.Proposer
	azurestair.Reporter
	// Query reads the control state of the leader.
	Query(ctx context.Context, q control.Query) (control.QueryResult, error)
	// Step processes a raft message. It must not block for long.
	Step(ctx context.Context, m azurestair.RaftMessage) error
	// Notify processes a notice from the leader.
	Notify(ctx context.Context, n azurestair.SnapshotNotice)
}

const (
	serviceName   = "azurestair.Peer"
	methodPropose = "/" + serviceName + "/Propose"
	methodReport  = "/" + serviceName + "/Report"
	methodQuery   = "/" + serviceName + "/Query"
	methodNotify  = "/" + serviceName + "/Notify"
	methodStep    = "/" + serviceName + "/Step"
)

type empty struct{}

// Server accepts calls from other instances.
type Server struct {
	grpc *grpc.Server
}

// service wraps a Handler and checks the caller's protocol version before each
// call.
type service struct {
	Handler
	versions *Versions
	replies  replyCache
}

// NewServer returns a server for h. A nil tlsCfg selects plain TCP, which
// requires a trusted network; versions may be nil.
func NewServer(h Handler, tlsCfg *tls.Config, versions *Versions) *Server {
	if versions == nil {
		versions = NewVersions(VersionOptions{})
	}
	opts := []grpc.ServerOption{
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
	return &Server{grpc: s}
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
			{MethodName: "Propose", Handler: unary(propose)},
			{MethodName: "Report", Handler: unary(report)},
			{MethodName: "Query", Handler: unary((*service).Query)},
			{MethodName: "Notify", Handler: unary(notify)},
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
	r, err := s.Report(ctx, rep)
	if err != nil {
		return encodedReply{}, err
	}
	md, _ := metadata.FromIncomingContext(ctx)
	return s.replies.encodeReply(r, parseRange(md).Current)
}

func notify(s *service, ctx context.Context, n azurestair.SnapshotNotice) (empty, error) { //nolint:revive // in a method expression the receiver comes first
	s.Notify(ctx, n)
	return empty{}, nil
}

// unary adapts a Handler method to a gRPC method handler.
func unary[Req, Resp any](call func(*service, context.Context, Req) (Resp, error)) grpc.MethodHandler {
	return func(srv any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		s := srv.(*service)
		if _, err := s.versions.checkCall(ctx); err != nil {
			return nil, toStatus(err)
		}
		var data rawMessage
		if err := dec(&data); err != nil {
			return nil, err
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
