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
	// Notify says that a newer snapshot than the one reported is available.
	Notify(ctx context.Context)
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

// NewServer returns a server for h; tlsCfg may be nil for plain TCP on a trusted network.
func NewServer(h Handler, tlsCfg *tls.Config) *Server {
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
	s.RegisterService(serviceDesc(), h)
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
			{MethodName: "Propose", Handler: unary(Handler.Propose)},
			{MethodName: "Report", Handler: unary(Handler.Report)},
			{MethodName: "Query", Handler: unary(Handler.Query)},
			{MethodName: "Notify", Handler: unary(notify)},
		},
		Streams: []grpc.StreamDesc{{StreamName: "Step", Handler: stepStream, ClientStreams: true}},
	}
}

func notify(h Handler, ctx context.Context, _ empty) (empty, error) { //nolint:revive // the receiver of a method expression comes first
	h.Notify(ctx)
	return empty{}, nil
}

// unary adapts a method of Handler to gRPC's form.
func unary[Q, A any](call func(Handler, context.Context, Q) (A, error)) grpc.MethodHandler {
	return func(srv any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		var data raw
		if err := dec(&data); err != nil {
			return nil, err
		}
		q := new(Q)
		if err := (Codec{}).Unmarshal(data, q); err != nil {
			return nil, toStatus(err)
		}
		a, err := call(srv.(Handler), ctx, *q)
		if err != nil {
			return nil, toStatus(err)
		}
		return &a, nil
	}
}

func stepStream(srv any, stream grpc.ServerStream) error {
	h := srv.(Handler)
	for {
		var m azurestair.RaftMessage
		err := stream.RecvMsg(&m)
		if errors.Is(err, io.EOF) {
			return stream.SendMsg(&empty{})
		}
		if err != nil {
			return err
		}
		if err := h.Step(stream.Context(), m); err != nil {
			return toStatus(err)
		}
	}
}
