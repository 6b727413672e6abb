package instance

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/fx"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/peer"
	"azurestair.example/azurestair/settings"
)

const (
	// closeGrace is the grace period of the processes that are stopped.
	closeGrace = time.Second
	// closeSlack is added to the grace period for a busy machine. The waits
	// that these tests guard against are longer: 5 s or without end.
	closeSlack = 2 * time.Second
)

// stallingStore is a store whose writes block once it is stalled.
type stallingStore struct {
	mu      sync.Mutex
	stalled chan struct{}
	// blocked receives a value for each write that blocks.
	blocked chan struct{}
}

func newStallingStore() *stallingStore {
	return &stallingStore{blocked: make(chan struct{}, 100)}
}

// stall blocks further writes until the test ends.
func (s *stallingStore) stall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = make(chan struct{})
	ginkgo.DeferCleanup(func() { close(s.stalled) })
}

func (s *stallingStore) wait() error {
	s.mu.Lock()
	stalled := s.stalled
	s.mu.Unlock()
	if stalled != nil {
		s.blocked <- struct{}{}
		<-stalled
	}
	return nil
}

func (s *stallingStore) Append(azurestair.HardState, []azurestair.LogEntry) error { return s.wait() }

func (s *stallingStore) SaveSnapshot(azurestair.SnapshotMeta, []byte) error { return s.wait() }
func (s *stallingStore) Close() error                                       { return nil }
func (s *stallingStore) Joining() (bool, error)                             { return false, nil }
func (s *stallingStore) EndJoining() error                                  { return nil }

// stallingDialer opens connections whose writes block once it is stalled, until
// they are closed.
type stallingDialer struct {
	stalled chan struct{}
	blocked chan struct{}
}

func newStallingDialer() *stallingDialer {
	return &stallingDialer{stalled: make(chan struct{}), blocked: make(chan struct{}, 100)}
}

func (d *stallingDialer) dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &stallingConn{Conn: c, dialer: d, closed: make(chan struct{})}, nil
}

type stallingConn struct {
	net.Conn
	dialer *stallingDialer
	closed chan struct{}
	once   sync.Once
}

// Write implements net.Conn.
func (c *stallingConn) Write(p []byte) (int, error) {
	select {
	case <-c.dialer.stalled:
		c.dialer.blocked <- struct{}{}
		<-c.closed
	default:
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *stallingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// steppedPeer is a peer that only takes messages of the log.
type steppedPeer struct {
	peer.Handler
	stepped chan struct{}
}

// Step implements peer.Handler.
func (p *steppedPeer) Step(context.Context, azurestair.RaftMessage) error {
	select {
	case p.stepped <- struct{}{}:
	default:
	}
	return nil
}

// startPeer serves a peer and returns its address.
func startPeer(h peer.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := peer.NewServer(h, nil, nil)
	go func() { _ = s.Serve(l) }()
	ginkgo.DeferCleanup(s.Stop)
	return l.Addr().String()
}

// closingProcess is a control instance that is stopped by a test.
type closingProcess struct {
	app       *fx.App
	store     *stallingStore
	dialer    *stallingDialer
	listeners []net.Listener
}

// startClosingProcess starts a control instance, with the given voters besides
// itself.
func startClosingProcess(others ...settings.Voter) *closingProcess {
	p := &closingProcess{store: newStallingStore(), dialer: newStallingDialer()}
	s := settings.Default()
	s.Instance = settings.Instance{
		ID: "c1", Region: "kigali", FailureDomain: "kigali-a", Roles: []settings.Role{settings.RoleControl}, DataDir: ginkgo.GinkgoT().TempDir(),
	}
	s.Listen.Peers, s.Listen.Operators = "127.0.0.1:0", "127.0.0.1:0"
	s.Limits.ShutdownGraceMs = azurestair.MillisOf(closeGrace)
	s.Control.Voters = append([]settings.Voter{{ID: "c1", PeerAddr: s.Listen.Peers}}, others...)
	p.app = New(s, Options{
		OpenStore: func(string, azurestair.InstanceID) (Store, azurestair.LogState, error) {
			return p.store, azurestair.LogState{}, nil
		},
		DialPeer: p.dialer.dial,
		Listen: func(network, addr string) (net.Listener, error) {
			l, err := net.Listen(network, addr)
			p.listeners = append(p.listeners, l)
			return l, err
		},
	})
	Expect(p.app.Start(context.Background())).To(Succeed())
	return p
}

// expectStopsInTime stops the process and asserts that it does not wait beyond
// its grace period.
func expectStopsInTime(p *closingProcess) {
	ginkgo.GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), closeGrace+closeSlack)
	defer cancel()
	Expect(p.app.Stop(ctx)).To(Succeed())
}

// Guards against processes that outlive their grace period and are killed. With
// 125 entries under load, nine processes were.
var _ = ginkgo.Describe("a process that stops", func() {
	ginkgo.It("does not wait for a stalled disk", func() {
		p := startClosingProcess()
		p.store.stall()
		Eventually(p.store.blocked, "10s").Should(Receive(), "a sole voter stores its first term")
		expectStopsInTime(p)
	})

	// gRPC waits for handshakes in progress, up to 5 s.
	ginkgo.It("does not wait for a peer that connects and says nothing", func() {
		p := startClosingProcess()
		c, err := net.Dial("tcp", p.listeners[0].Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		// The server sends its settings once it has accepted the connection.
		_, err = c.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		expectStopsInTime(p)
	})

	// gRPC waits up to 5 s for the last bytes to each peer.
	ginkgo.It("does not wait for a peer whose connection takes no more bytes", func() {
		silent := &steppedPeer{stepped: make(chan struct{}, 1)}
		p := startClosingProcess(settings.Voter{ID: "c2", PeerAddr: startPeer(silent)})
		Eventually(silent.stepped, "10s").Should(Receive())
		close(p.dialer.stalled)
		Eventually(p.dialer.blocked, "10s").Should(Receive())
		expectStopsInTime(p)
	})

	ginkgo.It("closes everything when nothing stalls", func() {
		p := startClosingProcess()
		Expect(p.app.Stop(context.Background())).To(Succeed())
		for _, l := range p.listeners {
			_, err := net.Dial("tcp", l.Addr().String())
			Expect(err).To(HaveOccurred())
		}
	})
})
