package try

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/fx"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/disk"
	"azurestair.example/azurestair/instance"
	"azurestair.example/azurestair/operator"
	"azurestair.example/azurestair/settings"
	"azurestair.example/azurestair/stub"
)

// Tokens of the embedded fleet; it listens on loopback addresses only.
const (
	operatorToken = "try-operator"
	upstreamToken = "try-upstream"
)

// node is one instance of the embedded fleet.
type node struct {
	settings settings.Settings
	app      *fx.App
}

// Cluster is a fleet inside this process.
type Cluster struct {
	dir       string
	log       io.Writer
	nodes     []*node
	upstreams []*stub.Upstream
	listeners map[string]net.Listener
}

// place is where an instance or upstream stands.
type place struct {
	region azurestair.RegionName
	domain azurestair.FailureDomainName
}

var places = []place{{regionKigali, "kigali-a"}, {regionKigali, "kigali-b"}, {regionHuye, "huye-a"}}

// startCluster starts one control instance, the given number of entries and two
// upstreams of each service in each place.
func startCluster(ctx context.Context, entries int, log io.Writer) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "azurestair-try-")
	if err != nil {
		return nil, err
	}
	c := &Cluster{dir: dir, log: log, listeners: map[string]net.Listener{}}
	if err := c.start(ctx, entries); err != nil {
		c.Stop(ctx)
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context, entries int) error {
	voter, err := c.addNode(0, places[0], settings.RoleControl)
	if err != nil {
		return err
	}
	voters := []settings.Voter{{ID: voter.settings.Instance.ID, PeerAddr: voter.settings.Listen.Peers}}
	for i := range entries {
		if _, err := c.addNode(i+1, places[i%len(places)], settings.RoleEntry); err != nil {
			return err
		}
	}
	for _, n := range c.nodes {
		n.settings.Control.Voters = voters
		if err := c.startNode(ctx, n); err != nil {
			return err
		}
	}
	return c.startUpstreams()
}

// addNode reserves the addresses of an instance.
func (c *Cluster) addNode(i int, p place, role settings.Role) (*node, error) {
	s := settings.Default()
	s.Instance = settings.Instance{
		ID: azurestair.InstanceID(fmt.Sprintf("%s-%d", role, i)), Region: p.region, FailureDomain: p.domain,
		Roles: []settings.Role{role}, DataDir: filepath.Join(c.dir, fmt.Sprintf("%s-%d", role, i)),
	}
	addrs := []*string{&s.Listen.Peers, &s.Listen.Operators}
	if role == settings.RoleEntry {
		addrs = append(addrs, &s.Listen.Callers, &s.Listen.Upstreams)
	}
	for _, addr := range addrs {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		*addr = l.Addr().String()
		c.listeners[*addr] = l
	}
	s.Tokens.Operators = []settings.Token{{Name: "try", SHA256: sha256.Sum256([]byte(operatorToken))}}
	s.Tokens.Upstreams = []settings.Token{{Name: "try", SHA256: sha256.Sum256([]byte(upstreamToken))}}
	n := &node{settings: s}
	c.nodes = append(c.nodes, n)
	return n, nil
}

// listen hands out the reserved listener of an address.
func (c *Cluster) listen(network, addr string) (net.Listener, error) {
	if l, ok := c.listeners[addr]; ok {
		delete(c.listeners, addr)
		return l, nil
	}
	return net.Listen(network, addr)
}

func (c *Cluster) startNode(ctx context.Context, n *node) error {
	if n.settings.Instance.Has(settings.RoleControl) {
		if err := disk.Init(n.settings.Instance.DataDir, n.settings.Instance.ID); err != nil {
			return err
		}
	}
	n.app = instance.New(n.settings, instance.Options{LogOutput: c.log, Listen: c.listen})
	return n.app.Start(ctx)
}

// upstreamsPerPlace is the number of stub upstreams of a service in one failure domain.
const upstreamsPerPlace = 2

func (c *Cluster) startUpstreams() error {
	var entries []string
	for _, n := range c.entries() {
		entries = append(entries, n.settings.Listen.Upstreams)
	}
	for _, s := range []azurestair.ServiceName{serviceCatalogue, servicePayment} {
		for _, p := range places {
			for i := range upstreamsPerPlace {
				u, err := stub.Start(stub.Options{
					ID:      azurestair.UpstreamID(fmt.Sprintf("%s-%s-%d", s, p.domain, i)),
					Service: s, Region: p.region, FailureDomain: p.domain, Slots: 9, QueueLimit: 9,
					ServiceTime: 2 * time.Millisecond, Entries: entries, Token: upstreamToken,
				})
				if err != nil {
					return err
				}
				c.upstreams = append(c.upstreams, u)
			}
		}
	}
	return nil
}

// entries returns the instances that serve callers.
func (c *Cluster) entries() []*node {
	var out []*node
	for _, n := range c.nodes {
		if n.settings.Instance.Has(settings.RoleEntry) {
			out = append(out, n)
		}
	}
	return out
}

// admin returns a client of the administration API of an entry.
func (c *Cluster) admin() *operator.Client {
	return &operator.Client{Addr: c.entries()[0].settings.Listen.Operators, Token: operatorToken}
}

// runs returns how often the request ran at any upstream.
func (c *Cluster) runs(id string) int {
	n := 0
	for _, u := range c.upstreams {
		n += u.Runs(id)
	}
	return n
}

// accepted returns how many requests the upstreams have started.
func (c *Cluster) accepted() int {
	n := 0
	for _, u := range c.upstreams {
		n += u.Accepted()
	}
	return n
}

// hasAccepted reports whether a request has started since there were n.
func (c *Cluster) hasAccepted(n int) error {
	if c.accepted() <= n {
		return fmt.Errorf("%w: a request in progress", azurestair.ErrNotFound)
	}
	return nil
}

// Stop ends everything and removes the data folder.
func (c *Cluster) Stop(ctx context.Context) {
	for i := len(c.nodes) - 1; i >= 0; i-- {
		if c.nodes[i].app != nil {
			_ = c.nodes[i].app.Stop(ctx)
		}
	}
	for _, u := range c.upstreams {
		u.Close()
	}
	for _, l := range c.listeners {
		_ = l.Close()
	}
	_ = os.RemoveAll(c.dir)
}
