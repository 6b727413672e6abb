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

// Handler serves the calls of other instances.
type Handler interface {
	azurestair.Proposer
	azurestair.Reporter
	// Query reads the control state at the leader.
	Query(ctx context.Context, q control.Query) (control.QueryResult, error)
	// Step takes a raft message; it does not block for long.
	Step(ctx context.Context, m azurestair.RaftMessage) error
	// Notify takes a notice of the leader.
	Notify(ctx context.Context, n azurestair.Notice)
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

// Server accepts calls of other instances.
type Server struct {
	grpc *grpc.Server
}

// service is a Handler whose callers have their version checked first.
type service struct {
	Handler
	versions  *Versions
	encodings encodings
}

// NewServer returns a server for h; tlsCfg may be nil for plain TCP on a
// trusted network, and versions may be nil.
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

// Serve accepts connections until Stop; it returns nil after Stop.
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

func propose(s *service, ctx context.Context, cmd azurestair.Command) (azurestair.Result, error) { //nolint:revive // the receiver of a method expression comes first
	if cmd.Claim != nil {
		cmd.Claim.LeftMs = leftOf(ctx)
	}
	return s.Propose(ctx, cmd)
}

func report(s *service, ctx context.Context, q azurestair.Report) (encodedReply, error) { //nolint:revive // the receiver of a method expression comes first
	r, err := s.Report(ctx, q)
	if err != nil {
		return encodedReply{}, err
	}
	md, _ := metadata.FromIncomingContext(ctx)
	return s.encodings.reply(r, rangeOf(md).Current)
}

func notify(s *service, ctx context.Context, n azurestair.Notice) (empty, error) { //nolint:revive // the receiver of a method expression comes first
	s.Notify(ctx, n)
	return empty{}, nil
}

// unary adapts a method of Handler to gRPC's form.
func unary[Q, A any](call func(*service, context.Context, Q) (A, error)) grpc.MethodHandler {
	return func(srv any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		s := srv.(*service)
		if _, err := s.versions.checkCall(ctx); err != nil {
			return nil, toStatus(err)
		}
		var data raw
		if err := dec(&data); err != nil {
			return nil, err
		}
		q := new(Q)
		if err := decode(data, q); err != nil {
			return nil, toStatus(err)
		}
		a, err := call(s, ctx, *q)
		if err != nil {
			return nil, toStatus(err)
		}
		return &a, nil
	}
}

// decode reads a message. A command is a record of the log: an unknown field
// is refused, since the log would hold another command than its sender meant.
func decode(data []byte, q any) error {
	if _, ok := q.(*azurestair.Command); ok {
		return Codec{}.UnmarshalRecord(data, q)
	}
	return Codec{}.Unmarshal(data, q)
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
			s.versions.announce(m.From, theirs)
		}
		if err := s.Step(stream.Context(), m); err != nil {
			return toStatus(err)
		}
	}
}
