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

// Tokens of the embedded fleet. They are not secret: the fleet listens on
// loopback addresses only.
const (
	operatorToken = "try-operator"
	upstreamToken = "try-upstream"
)

// node is one instance of the embedded fleet.
type node struct {
	settings settings.Settings
	app      *fx.App
}

// Cluster is a fleet that runs inside this process.
type Cluster struct {
	dir       string
	log       io.Writer
	nodes     []*node
	upstreams []*stub.Upstream
	reserved  map[string]net.Listener
}

// location is the region and failure domain of an instance or upstream.
type location struct {
	region azurestair.RegionName
	domain azurestair.FailureDomainName
}

var locations = []location{{regionKigali, "kigali-a"}, {regionKigali, "kigali-b"}, {regionHuye, "huye-a"}}

// startCluster starts one control instance, the given number of entries and
// upstreamsPerLocation upstreams of each service in each location.
func startCluster(ctx context.Context, entries int, log io.Writer) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "azurestair-try-")
	if err != nil {
		return nil, err
	}
	c := &Cluster{dir: dir, log: log, reserved: map[string]net.Listener{}}
	if err := c.start(ctx, entries); err != nil {
		c.Stop(ctx)
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context, entries int) error {
	voter, err := c.addNode(0, locations[0], settings.RoleControl)
	if err != nil {
		return err
	}
	voters := []settings.Voter{{ID: voter.settings.Instance.ID, PeerAddr: voter.settings.Listen.Peers}}
	for i := range entries {
		if _, err := c.addNode(i+1, locations[i%len(locations)], settings.RoleEntry); err != nil {
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

// addNode adds an instance without starting it. Its listeners are opened here,
// so that no other process takes an address before the instance starts.
func (c *Cluster) addNode(i int, loc location, role settings.Role) (*node, error) {
	s := settings.Default()
	s.Instance = settings.Instance{
		ID: azurestair.InstanceID(fmt.Sprintf("%s-%d", role, i)), Region: loc.region, FailureDomain: loc.domain,
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
		c.reserved[*addr] = l
	}
	s.Tokens.Operators = []settings.Token{{Name: "try", SHA256: sha256.Sum256([]byte(operatorToken))}}
	s.Tokens.Upstreams = []settings.Token{{Name: "try", SHA256: sha256.Sum256([]byte(upstreamToken))}}
	n := &node{settings: s}
	c.nodes = append(c.nodes, n)
	return n, nil
}

// listen returns the reserved listener of an address, or a new one if none is
// reserved.
func (c *Cluster) listen(network, addr string) (net.Listener, error) {
	if l, ok := c.reserved[addr]; ok {
		delete(c.reserved, addr)
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

// upstreamsPerLocation is the number of stub upstreams of a service in one
// location.
const upstreamsPerLocation = 2

func (c *Cluster) startUpstreams() error {
	var entries []string
	for _, n := range c.entries() {
		entries = append(entries, n.settings.Listen.Upstreams)
	}
	for _, s := range []azurestair.ServiceName{serviceCatalogue, servicePayment} {
		for _, loc := range locations {
			for i := range upstreamsPerLocation {
				u, err := stub.Start(stub.Options{
					ID:      azurestair.UpstreamID(fmt.Sprintf("%s-%s-%d", s, loc.domain, i)),
					Service: s, Region: loc.region, FailureDomain: loc.domain, Slots: 9, QueueLimit: 9,
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

// entries returns the instances with the role entry.
func (c *Cluster) entries() []*node {
	var out []*node
	for _, n := range c.nodes {
		if n.settings.Instance.Has(settings.RoleEntry) {
			out = append(out, n)
		}
	}
	return out
}

// admin returns a client of the administration API of the first entry.
func (c *Cluster) admin() *operator.Client {
	return &operator.Client{Addr: c.entries()[0].settings.Listen.Operators, Token: operatorToken}
}

// runs returns how often the request ran, summed over all upstreams.
func (c *Cluster) runs(id string) int {
	n := 0
	for _, u := range c.upstreams {
		n += u.Runs(id)
	}
	return n
}

// accepted returns the number of requests that the upstreams have started.
func (c *Cluster) accepted() int {
	n := 0
	for _, u := range c.upstreams {
		n += u.Accepted()
	}
	return n
}

// checkAccepted returns an error unless more than n requests have been started.
func (c *Cluster) checkAccepted(n int) error {
	if c.accepted() <= n {
		return fmt.Errorf("%w: a request in progress", azurestair.ErrNotFound)
	}
	return nil
}

// Stop stops all instances and upstreams and removes the data directory.
func (c *Cluster) Stop(ctx context.Context) {
	for i := len(c.nodes) - 1; i >= 0; i-- {
		if c.nodes[i].app != nil {
			_ = c.nodes[i].app.Stop(ctx)
		}
	}
	for _, u := range c.upstreams {
		u.Close()
	}
	for _, l := range c.reserved {
		_ = l.Close()
	}
	_ = os.RemoveAll(c.dir)
}
