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
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"azurestair.example/azurestair"
)

// Dialer opens connections to other instances. Tests replace it to inject
// failures.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// ConnPool holds one gRPC connection per instance. It is safe for concurrent
// use.
type ConnPool struct {
	dial     Dialer
	tls      *tls.Config
	versions *Versions

	mu    sync.Mutex
	conns map[azurestair.InstanceID]*conn
	// voters are the instances whose connections use connectTimeout.
	voters map[azurestair.InstanceID]bool
}

type conn struct {
	addr string
	cc   *grpc.ClientConn
	// allowSlowDial is true if the connection uses slowConnectTimeout.
	allowSlowDial bool
	// responses counts the calls that got a response.
	responses atomic.Int64
}

// run closes the connection. gRPC waits up to 5 s for one that takes no more
// bytes.
func (c *conn) run() { _ = c.cc.Close() }

// NewConns returns an empty set of connections; dial, tlsCfg and versions may
// be nil.
func NewConns(dial Dialer, tlsCfg *tls.Config, versions *Versions) *ConnPool {
	if versions == nil {
		versions = NewVersions(VersionOptions{})
	}
	if dial == nil {
		d := &net.Dialer{Timeout: slowConnectTimeout}
		dial = repeatDial(func(ctx context.Context, addr string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", addr)
		}, firstRedial)
	}
	return &ConnPool{dial: dial, tls: tlsCfg, versions: versions, conns: map[azurestair.InstanceID]*conn{}, voters: map[azurestair.InstanceID]bool{}}
}

// get returns the connection to an instance at addr.
func (c *ConnPool) get(id azurestair.InstanceID, addr string) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.conns[id]; ok {
		if old.addr == addr {
			return old, nil
		}
		go old.run()
		delete(c.conns, id)
	}
	slow := !c.voters[id]
	cc, err := grpc.NewClient("passthrough:///"+addr, c.options(slow)...)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", id, err)
	}
	cn := &conn{addr: addr, cc: cc, allowSlowDial: slow}
	c.conns[id] = cn
	return cn, nil
}

// addVoter makes new connections to an instance use connectTimeout.
func (c *ConnPool) addVoter(id azurestair.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.voters[id] = true
}

const (
	// connectTimeout bounds dialing between control instances. It is short so
	// that replication resumes as soon as they can reach each other again.
	connectTimeout = time.Second
	// slowConnectTimeout bounds dialing of all other connections. Over an
	// entry's saturated link, a dial takes two round trips of up to a second
	// each. The calls that wait for it have timeouts of their own.
	slowConnectTimeout = 3 * time.Second
)

// windowBytes is the fixed flow-control window of a stream and of a connection.
// A fixed window disables gRPC's bandwidth estimation, whose pings would cost
// an idle instance processor time and traffic.
const windowBytes = 1 << 20

func (c *ConnPool) options(allowSlowDial bool) []grpc.DialOption {
	timeout := connectTimeout
	if allowSlowDial {
		timeout = slowConnectTimeout
	}
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
			MinConnectTimeout: timeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 20 * time.Second, Timeout: 5 * time.Second, PermitWithoutStream: true}),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(Codec{}), grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
	}
}

// isConnecting reports whether a dial that may be slow is still in progress.
// Over a saturated link a dial takes longer than a call may, and a new
// connection would have to start it again.
func (c *conn) isConnecting() bool {
	return c.allowSlowDial && c.cc.GetState() == connectivity.Connecting
}

// drop closes the connection to an instance if it is still cn, so that the next
// call opens a new one. A connection can stall permanently while new ones work.
func (c *ConnPool) drop(id azurestair.InstanceID, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.conns[id]; ok && old == cn {
		go cn.run()
		delete(c.conns, id)
	}
}

// Close closes all connections and waits for them.
func (c *ConnPool) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var wg sync.WaitGroup
	for id, old := range c.conns {
		wg.Go(old.run)
		delete(c.conns, id)
	}
	wg.Wait()
}
