package load

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/disk"
	"azurestair.example/azurestair/operator"
	"azurestair.example/azurestair/peer"
	"azurestair.example/azurestair/relay"
	"azurestair.example/azurestair/stub"
)

// Tokens of the measured fleet. They are not secret: the fleet listens on
// loopback addresses only.
const (
	operatorToken = "load-operator"
	upstreamToken = "load-upstream"
)

// Limits on the size of a fleet.
const (
	MaxEntries  = 24
	MaxControls = 7
)

// FleetOptions configure a fleet. The first Controls of the Entries also
// replicate the log.
type FleetOptions struct {
	// Binary is the path of the azurestair binary.
	Binary   string
	Controls int
	Entries  int
	// Procs is GOMAXPROCS of each instance.
	Procs      int
	Deployment Deployment
	// RegionDelay is the one-way delay between instances of different regions.
	RegionDelay time.Duration
	// Dir is the directory for settings, logs and data of the instances.
	Dir string
}

// Validate checks the size of the fleet.
func (o FleetOptions) Validate() error {
	if o.Entries < 1 || o.Entries > MaxEntries || o.Controls < 1 || o.Controls > min(MaxControls, o.Entries) {
		return fmt.Errorf("%w: %d entries and %d control instances; allowed are 1 to %d and 1 to %d",
			azurestair.ErrInvalid, o.Entries, o.Controls, MaxEntries, MaxControls)
	}
	return nil
}

// member is one instance of a fleet with its location and listen addresses.
type member struct {
	id                                   azurestair.InstanceID
	region                               azurestair.RegionName
	domain                               azurestair.FailureDomainName
	callers, upstreams, operators, peers string
	control                              bool
	process                              *process
}

// Fleet is a running fleet with its stub upstreams.
type Fleet struct {
	opts    FleetOptions
	members []*member
	stubs   map[azurestair.ServiceName][]*stub.Upstream
	dialer  *countingDialer
	relays  []*relay.Relay
	config  azurestair.Config
}

// StartFleet starts the instances and stub upstreams, applies the configuration
// and waits until the fleet is ready.
func StartFleet(ctx context.Context, o FleetOptions) (*Fleet, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	f := &Fleet{opts: o, stubs: map[azurestair.ServiceName][]*stub.Upstream{}, dialer: newCountingDialer(0), config: o.Deployment.Config()}
	if err := f.start(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	for i := range f.opts.Entries {
		if err := f.addMember(i); err != nil {
			return err
		}
	}
	for _, m := range f.members {
		if err := f.writeFiles(m); err != nil {
			return err
		}
		if err := f.startMember(m); err != nil {
			return err
		}
	}
	if err := f.startStubs(); err != nil {
		return err
	}
	return f.configure(ctx)
}

func (f *Fleet) addMember(i int) error {
	m := &member{id: azurestair.InstanceID(fmt.Sprintf("entry-%d", i+1)), control: i < f.opts.Controls}
	m.region, m.domain = f.opts.Deployment.location(i)
	for _, addr := range []*string{&m.callers, &m.upstreams, &m.operators, &m.peers} {
		free, err := freeAddr()
		if err != nil {
			return err
		}
		*addr = free
	}
	f.members = append(f.members, m)
	return nil
}

// The ports are below the usual range of ephemeral ports, so that no outgoing
// connection takes an address between its selection and the start of the
// instance.
const (
	firstPort       = 10_000
	numPorts        = 20_000
	maxPortAttempts = 100
)

// freeAddr returns a loopback address that is currently free.
func freeAddr() (string, error) {
	var err error
	for range maxPortAttempts {
		var l net.Listener
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(numPorts)) //nolint:gosec // not a secret
		if l, err = net.Listen("tcp", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", err
}

func (f *Fleet) path(m *member, name string) string {
	return filepath.Join(f.opts.Dir, string(m.id)+name)
}

// writeFiles writes the settings of an instance and, for a control instance,
// initialises its data directory.
func (f *Fleet) writeFiles(m *member) error {
	roles := `"entry"`
	if m.control {
		roles = `"entry", "control"`
		if err := disk.Init(f.path(m, ".data"), m.id); err != nil {
			return err
		}
	}
	var voters strings.Builder
	for _, v := range f.members[:f.opts.Controls] {
		addr, err := f.peerAddr(m, v)
		if err != nil {
			return err
		}
		fmt.Fprintf(&voters, "{ id = %q, peerAddr = %q }, ", v.id, addr)
	}
	text := fmt.Sprintf(`[instance]
id = %q
region = %q
failureDomain = %q
roles = [%s]
dataDir = %q

[listen]
callers = %q
upstreams = %q
operators = %q
peers = %q

[control]
voters = [%s]

[tokens]
operators = [{ name = "load", sha256 = "%x" }]
upstreams = [{ name = "load", sha256 = "%x" }]

[limits]
shutdownGraceMs = 2000

[log]
level = "warn"
`, m.id, m.region, m.domain, roles, f.path(m, ".data"), m.callers, m.upstreams, m.operators, m.peers, voters.String(),
		sha256.Sum256([]byte(operatorToken)), sha256.Sum256([]byte(upstreamToken)))
	return os.WriteFile(f.path(m, ".toml"), []byte(text), 0o600)
}

// peerAddr returns the address at which an instance reaches a voter. A voter in
// another region is reached through a relay that adds RegionDelay.
func (f *Fleet) peerAddr(m, voter *member) (string, error) {
	if f.opts.RegionDelay <= 0 || m.region == voter.region {
		return voter.peers, nil
	}
	r, err := relay.New("127.0.0.1:0", voter.peers)
	if err != nil {
		return "", err
	}
	r.SetDelay(relay.ToTarget, f.opts.RegionDelay)
	r.SetDelay(relay.FromTarget, f.opts.RegionDelay)
	f.relays = append(f.relays, r)
	return r.Addr(), nil
}

// startMember starts the process of an instance.
func (f *Fleet) startMember(m *member) error {
	p, err := startProcess(f.opts.Binary, f.path(m, ".log"), f.opts.Procs, "serve", "--settings", f.path(m, ".toml"))
	m.process = p
	return err
}

func (f *Fleet) startStubs() error {
	var entries []string
	for _, m := range f.members {
		entries = append(entries, m.upstreams)
	}
	for _, p := range f.opts.Deployment.Pools {
		for i := range p.Upstreams {
			region, domain := f.opts.Deployment.location(i)
			n := i % len(entries)
			u, err := stub.Start(stub.Options{
				ID: p.upstreamID(i), Service: p.Service, Region: region, FailureDomain: domain,
				Slots: p.Slots, QueueLimit: p.Slots, MaxConns: maxConns, ServiceTime: p.ServiceTime,
				Entries: append(entries[n:len(entries):len(entries)], entries[:n]...), Token: upstreamToken, Dial: f.dialer.dial,
			})
			if err != nil {
				return err
			}
			f.stubs[p.Service] = append(f.stubs[p.Service], u)
		}
	}
	return nil
}

func (f *Fleet) admin(m *member) *operator.Client {
	return &operator.Client{Addr: m.operators, Token: operatorToken}
}

// startTimeout limits the wait until a started fleet is ready.
const (
	startTimeout = 20 * time.Second
)

// configure applies the configuration and waits until the fleet is ready.
func (f *Fleet) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := operator.Poll(ctx, func() error { return f.apply(ctx, f.members[0], "load-0") }); err != nil {
		return fmt.Errorf("apply the configuration: %w", err)
	}
	return operator.Poll(ctx, func() error { return f.checkReady(ctx) })
}

// apply submits the configuration as a new version through an instance and
// checks that it is in effect on all instances.
func (f *Fleet) apply(ctx context.Context, via *member, id azurestair.ChangeID) error {
	resp, err := f.admin(via).Apply(ctx, operator.ConfigRequest{
		ChangeID: id, Reason: "measurement", BaseVersion: f.config.Version, Config: f.config, WaitMs: operator.DefaultWaitMs,
	})
	if err != nil {
		return err
	}
	f.config.Version = resp.Version
	if len(resp.NotAppliedBy) > 0 {
		return fmt.Errorf("%w: version %d is not in effect on %v", errTimeout, resp.Version, resp.NotAppliedBy)
	}
	return nil
}

// checkReady returns an error unless every instance runs, knows all instances
// and upstreams and holds leases for all its budgets.
func (f *Fleet) checkReady(ctx context.Context) error {
	want := 0
	for _, p := range f.opts.Deployment.Pools {
		want += p.Upstreams
	}
	for _, m := range f.members {
		if m.process.hasExited() {
			return fmt.Errorf("%w: process of %s has exited; see its log %s", azurestair.ErrClosed, m.id, f.path(m, ".log"))
		}
	}
	for _, m := range f.members {
		st, err := f.admin(m).Status(ctx)
		if err != nil {
			return err
		}
		ready := 0
		for _, i := range st.Instances {
			if i.Ready {
				ready++
			}
		}
		if ready < len(f.members) || len(st.Upstreams) < want {
			return fmt.Errorf("%w: %s knows %d instances and %d upstreams", azurestair.ErrNotFound, m.id, ready, len(st.Upstreams))
		}
		for _, b := range st.Budgets {
			if !b.Leased {
				return fmt.Errorf("%w: %s holds no lease of %s", azurestair.ErrNotFound, m.id, b.Resource)
			}
		}
	}
	return nil
}

// leader returns the control instance that is the Raft leader.
func (f *Fleet) leader(ctx context.Context) (*member, error) {
	for _, m := range f.members[:f.opts.Controls] {
		st, err := f.admin(m).Status(ctx)
		if err == nil && st.Leader == m.id {
			return m, nil
		}
	}
	return nil, fmt.Errorf("%w: leader", azurestair.ErrNotFound)
}

// voters returns the peer addresses of the control instances.
func (f *Fleet) voters() []peer.Address {
	var out []peer.Address
	for _, m := range f.members[:f.opts.Controls] {
		out = append(out, peer.Address{ID: m.id, Addr: m.peers})
	}
	return out
}

// Stop stops all processes, stub upstreams and relays.
func (f *Fleet) Stop() {
	for _, stubs := range f.stubs {
		for _, u := range stubs {
			u.Close()
		}
	}
	ended := make(chan struct{}, len(f.members))
	for _, m := range f.members {
		go m.runStop(ended)
	}
	for range f.members {
		<-ended
	}
	for _, r := range f.relays {
		r.Close()
	}
}

func (m *member) runStop(ended chan<- struct{}) {
	if m.process != nil {
		m.process.stop()
	}
	ended <- struct{}{}
}
