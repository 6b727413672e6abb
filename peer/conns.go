package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"azurestair.example/azurestair"
)

// Dialer opens the connections to other instances; tests replace it to cut them.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// Conns holds one gRPC connection for each instance. It is safe for concurrent use.
type Conns struct {
	dial     Dialer
	tls      *tls.Config
	versions *Versions

	mu    sync.Mutex
	conns map[azurestair.InstanceID]*conn
}

type conn struct {
	addr string
	cc   *grpc.ClientConn
	// answers counts the calls that were answered.
	answers atomic.Int64
}

// NewConns returns a set of connections; dial, tlsCfg and versions may be nil.
func NewConns(dial Dialer, tlsCfg *tls.Config, versions *Versions) *Conns {
	if versions == nil {
		versions = NewVersions(VersionOptions{})
	}
	if dial == nil {
		d := &net.Dialer{Timeout: time.Second}
		dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	return &Conns{dial: dial, tls: tlsCfg, versions: versions, conns: map[azurestair.InstanceID]*conn{}}
}

// get returns the connection to an instance at addr.
func (c *Conns) get(id azurestair.InstanceID, addr string) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.conns[id]; ok {
		if old.addr == addr {
			return old, nil
		}
		_ = old.cc.Close()
		delete(c.conns, id)
	}
	cc, err := grpc.NewClient("passthrough:///"+addr, c.options()...)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", id, err)
	}
	cn := &conn{addr: addr, cc: cc}
	c.conns[id] = cn
	return cn, nil
}

// windowBytes is the fixed flow-control window of a stream and a connection.
// With a fixed one, gRPC does not probe for a larger one with pings beside the
// messages, which an idle instance would pay for.
const windowBytes = 1 << 20

func (c *Conns) options() []grpc.DialOption {
	creds := insecure.NewCredentials()
	if c.tls != nil {
		creds = credentials.NewTLS(c.tls)
	}
	return []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(c.dial),
		grpc.WithDisableServiceConfig(),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithNoProxy(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: time.Second,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 20 * time.Second, Timeout: 5 * time.Second, PermitWithoutStream: true}),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(Codec{}), grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
	}
}

// drop closes the connection to an instance if it is still cn, so that the
// next call opens a fresh one. A connection can go silent for good while new
// ones work.
func (c *Conns) drop(id azurestair.InstanceID, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.conns[id]; ok && old == cn {
		_ = cn.cc.Close()
		delete(c.conns, id)
	}
}

// Close closes all connections.
func (c *Conns) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, old := range c.conns {
		_ = old.cc.Close()
		delete(c.conns, id)
	}
}
