package faults

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/operator"
	"azurestair.example/azurestair/relay"
	"azurestair.example/azurestair/stub"
)

const (
	catalogue azurestair.ServiceName = "catalogue"
	payment   azurestair.ServiceName = "payment"

	// lookupTTL is how long callers use a look-up answer.
	lookupTTL azurestair.Millis = 500
	// payTimeout and engraveTimeout bound urgent and deferred requests.
	payTimeout     azurestair.Millis = 2_000
	engraveTimeout azurestair.Millis = 4_000
	browseTimeout  azurestair.Millis = 1_000
)

var (
	controlPlaces = []place{{"kigali", "kigali-a"}, {"huye", "huye-a"}, {"musanze", "musanze-a"}}
	entryPlaces   = []place{{"kigali", "kigali-b"}, {"huye", "huye-b"}, {"musanze", "musanze-b"}, {"kigali", "kigali-a"}}
	// numInstances is the number of instances of a fleet, all of which are entries.
	numInstances = len(controlPlaces) + len(entryPlaces)
)

// upstreamProcess is the upstream that runs as a process of its own, where the
// runs of a request are not counted.
const upstreamProcess = "catalogue-process"

// binaries is the folder of the programs that the suite has built.
var binaries string

// fleet is seven instances and the stub upstreams.
type fleet struct {
	dir       string
	nodes     []*node
	upstreams []*stub.Upstream
	// relays stand before the upstreams, in the same order.
	relays []*relay.Relay
	extra  []*relay.Relay
	// options are those of the upstreams, in the same order.
	options []stub.Options

	mu sync.Mutex
	// past are upstreams that have been replaced; their runs count.
	past []*stub.Upstream
}

// fleetOptions change the fleet of a test.
type fleetOptions struct {
	// perDomain is the number of upstreams of each service in each failure domain "-a".
	perDomain int
	// stub changes the options of an upstream.
	stub func(o *stub.Options)
	// program is what the instances run first; empty stands for the program under test.
	program string
	// machines has the instances run where clocks and disks can misbehave.
	machines bool
}

// builtProgram returns the program under test.
func builtProgram() string { return filepath.Join(binaries, "azurestair") }

// newFleet starts a fleet, applies a configuration and waits until all of it is ready.
func newFleet(o fleetOptions) *fleet {
	dir, err := os.MkdirTemp("", "azurestair-faults-fleet-")
	Expect(err).NotTo(HaveOccurred())
	f := &fleet{dir: dir}
	DeferCleanup(f.close)
	addrs := freeAddrs(4 * numInstances)
	for i := range numInstances {
		n := &node{links: map[azurestair.InstanceID]*relay.Relay{}, program: cmp.Or(o.program, builtProgram()), machine: o.machines}
		if i < len(controlPlaces) {
			n.id, n.place, n.control = azurestair.InstanceID(fmt.Sprintf("control-%d", i)), controlPlaces[i], true
		} else {
			e := i - len(controlPlaces)
			n.id, n.place = azurestair.InstanceID(fmt.Sprintf("entry-%d", e)), entryPlaces[e]
		}
		n.dir = filepath.Join(dir, string(n.id))
		Expect(os.Mkdir(n.dir, 0o700)).To(Succeed())
		n.callers, n.upstreams, n.operators, n.peers = addrs[4*i], addrs[4*i+1], addrs[4*i+2], addrs[4*i+3]
		f.nodes = append(f.nodes, n)
	}
	f.startNodes()
	f.apply(f.nodes[0], 0, "start")
	f.startUpstreams(o)
	Eventually(f.whole, 20*time.Second).Should(Succeed())
	return f
}

func (f *fleet) startNodes() {
	for _, n := range f.nodes {
		for _, v := range f.voters() {
			if v != n {
				n.links[v.id] = f.relay(v.peers)
			}
		}
		n.writeSettings(f.voters())
	}
	// Each waits for syncs of its own, which take long on a busy disk.
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(func() {
			defer GinkgoRecover()
			if n.control {
				n.init()
			}
			n.start()
		})
	}
	wg.Wait()
}

// relay starts a relay that ends with the fleet.
func (f *fleet) relay(target string) *relay.Relay {
	r, err := relay.New("127.0.0.1:0", target)
	Expect(err).NotTo(HaveOccurred())
	f.extra = append(f.extra, r)
	return r
}

func (f *fleet) startUpstreams(o fleetOptions) {
	var entries []string
	for _, n := range f.nodes {
		entries = append(entries, n.upstreams)
	}
	listen := freeAddrs(2 * len(controlPlaces) * max(1, o.perDomain))
	for _, s := range []azurestair.ServiceName{catalogue, payment} {
		for _, p := range controlPlaces {
			for i := range max(1, o.perDomain) {
				at := listen[len(f.upstreams)]
				first := len(f.upstreams) % len(entries)
				r := f.relay(at)
				opts := stub.Options{
					ID: azurestair.UpstreamID(fmt.Sprintf("%s-%s-%d", s, p.domain, i)), Service: s,
					Region: p.region, FailureDomain: p.domain, Slots: 24, QueueLimit: 24, Listen: at, Advertise: r.Addr(),
					ServiceTime: 2 * time.Millisecond, Token: upstreamToken,
					Entries: slices.Concat(entries[first:], entries[:first]),
				}
				if o.stub != nil {
					o.stub(&opts)
				}
				u, err := stub.Start(opts)
				Expect(err).NotTo(HaveOccurred())
				f.upstreams, f.relays, f.options = append(f.upstreams, u), append(f.relays, r), append(f.options, opts)
			}
		}
	}
}

func (f *fleet) close() {
	if CurrentSpecReport().Failed() {
		for _, n := range f.nodes {
			_, _ = fmt.Fprintf(GinkgoWriter, "--- log of %s\n%s", n.id, n.logText())
		}
	}
	for _, n := range f.nodes {
		n.kill()
	}
	for _, u := range f.upstreams {
		u.Close()
	}
	for _, r := range f.extra {
		r.Close()
	}
	_ = os.RemoveAll(f.dir)
}

func (f *fleet) voters() []*node { return f.nodes[:len(controlPlaces)] }

// entriesOnly returns the instances that do not replicate the log.
func (f *fleet) entriesOnly() []*node { return f.nodes[len(controlPlaces):] }

func (f *fleet) upstream(id string) *stub.Upstream {
	for _, u := range f.upstreams {
		if string(u.ID()) == id {
			return u
		}
	}
	Fail("no upstream " + id)
	return nil
}

func (f *fleet) runs(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, u := range slices.Concat(f.upstreams, f.past) {
		n += u.Runs(id)
	}
	return n
}

// restartUpstream starts an upstream that has died again, at the same address.
func (f *fleet) restartUpstream(i int) {
	u, err := stub.Start(f.options[i])
	Expect(err).NotTo(HaveOccurred())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.past = append(f.past, f.upstreams[i])
	f.upstreams[i] = u
}

// linksOf returns the relays on all connections from and to an instance.
func (f *fleet) linksOf(n *node) []*relay.Relay {
	var out []*relay.Relay
	for _, r := range n.links {
		out = append(out, r)
	}
	for _, other := range f.nodes {
		if r, ok := other.links[n.id]; ok {
			out = append(out, r)
		}
	}
	return out
}

// partition cuts an instance off from all other instances, silently.
func (f *fleet) partition(n *node) {
	for _, r := range f.linksOf(n) {
		r.Partition()
	}
}

func (f *fleet) heal(n *node) {
	for _, r := range f.linksOf(n) {
		r.Heal()
	}
}

// config is the configuration of the fleets; mark tells its versions apart.
func config(mark int) azurestair.Config {
	c := azurestair.Config{
		Defaults: azurestair.Defaults{
			LookupTTLMs: lookupTTL, ShiftIntervalMs: 500, ShiftPercent: 100, LookupMovePercent: 100, SlowStartMs: 200,
			QueueLimit: 512 + mark,
		},
		Services: []azurestair.Service{
			{Name: catalogue, Operations: []azurestair.Operation{
				{Name: "browse", Rank: azurestair.RankInteractive, Idempotent: true, TimeoutMs: browseTimeout},
				{Name: "engrave", Rank: azurestair.RankDeferred, TimeoutMs: engraveTimeout},
			}},
			{Name: payment, Operations: []azurestair.Operation{
				{Name: "pay", Rank: azurestair.RankUrgent, TimeoutMs: payTimeout},
			}},
		},
	}
	for i, p := range controlPlaces {
		region := azurestair.Region{Name: p.region, FailureDomains: []azurestair.FailureDomainName{p.domain, azurestair.FailureDomainName(p.region + "-b")}}
		c.Regions = append(c.Regions, region)
		for j, other := range controlPlaces {
			if i != j {
				c.Links = append(c.Links, azurestair.Link{From: p.region, To: other.region, Limit: 500_000_000})
			}
		}
	}
	return c
}

// apply changes the configuration at an instance and returns the new version.
// Without an answer it sends the same change again.
func (f *fleet) apply(at *node, base azurestair.ConfigVersion, changeID string) azurestair.ConfigVersion {
	q := change(base, changeID)
	var a operator.ChangeResponse
	Eventually(func() error {
		var err error
		a, err = at.admin().Apply(context.Background(), q)
		return err
	}, 20*time.Second).Should(Succeed())
	Expect(a.Code).To(Equal(azurestair.ResultAccepted))
	Expect(a.Version).To(BeNumerically(">", base))
	return a.Version
}

// version returns the newest version as the leader tells it through an instance.
func (f *fleet) version(at *node) azurestair.ConfigVersion {
	var a operator.ConfigResponse
	Eventually(func() error {
		var err error
		a, err = at.admin().Config(context.Background())
		return err
	}).Should(Succeed())
	return a.Version
}

// inForce reports which of the nodes do not work from at least the version.
func (f *fleet) inForce(v azurestair.ConfigVersion, nodes ...*node) error {
	for _, n := range nodes {
		st, err := n.status()
		if err != nil {
			return fmt.Errorf("%s: %w", n.id, err)
		}
		if st.ConfigVersion < v || !st.Current {
			return fmt.Errorf("%w: %s has version %d, current %t; version %d is accepted", errNotReady, n.id, st.ConfigVersion, st.Current, v)
		}
	}
	return nil
}

// whole reports why the fleet is not completely ready.
func (f *fleet) whole() error {
	for _, n := range f.nodes {
		st, err := n.status()
		if err != nil {
			return fmt.Errorf("%s: %w", n.id, err)
		}
		ready := 0
		for _, i := range st.Instances {
			if i.Ready {
				ready++
			}
		}
		if !st.Self.Ready || ready < numInstances || len(st.Upstreams) < len(f.upstreams) {
			return fmt.Errorf("%w: %s: self %t, %d instances, %d upstreams", errNotReady, n.id, st.Self.Ready, ready, len(st.Upstreams))
		}
		if !isLeased(st) {
			return fmt.Errorf("%w: %s has no leases", errNotReady, n.id)
		}
	}
	return nil
}

// isLeased reports whether the instance may use slots of its own region.
func isLeased(st operator.Status) bool {
	n := 0
	for _, b := range st.Budgets {
		if strings.HasPrefix(b.Resource, string(azurestair.ResourceSlots)+":") && strings.HasSuffix(b.Resource, string(st.Self.Region)) {
			if !b.Leased || b.Usable == 0 {
				return false
			}
			n++
		}
	}
	return n > 0
}

// leader returns the control instance that leads.
func (f *fleet) leader(among ...*node) *node {
	if len(among) == 0 {
		among = f.voters()
	}
	var found *node
	Eventually(func() *node {
		var term azurestair.Term
		for _, n := range among {
			st, err := n.status()
			if err == nil && st.Replica != nil && st.Replica.State == "leader" && st.Replica.Term > term {
				found, term = n, st.Replica.Term
			}
		}
		return found
	}).ShouldNot(BeNil())
	return found
}

// others returns all instances but the given ones.
func (f *fleet) others(not ...*node) []*node {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *node) bool { return slices.Contains(not, n) })
}

// lookup asks an instance which entries a caller should use.
func (n *node) lookup(block string) (caller.LookupResponse, error) {
	var a caller.LookupResponse
	c := &http.Client{Timeout: statusTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.callers + "/v1/lookup?service=catalogue&block=" + block)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read
	if resp.StatusCode != http.StatusOK {
		return a, fmt.Errorf("%w: status %d", errNotReady, resp.StatusCode)
	}
	return a, json.NewDecoder(resp.Body).Decode(&a)
}

// lookupNames reports whether look-ups at the instance name another one, over many client blocks.
func (n *node) lookupNames(other *node) (bool, error) {
	for i := range 24 {
		a, err := n.lookup(fmt.Sprintf("10.%d.%d.1", i, i*3))
		if err != nil {
			return false, err
		}
		for _, e := range a.Entries {
			if e.Instance == other.id {
				return true, nil
			}
		}
	}
	return false, nil
}

// versionWatch polls the configuration version of instances and records each decrease.
type versionWatch struct {
	stop   chan struct{}
	wg     sync.WaitGroup
	mu     sync.Mutex
	newest map[*node]azurestair.ConfigVersion
	// knows is the process of a node that has known a version.
	knows  map[*node]azurestair.Incarnation
	faults []string
	polls  int
}

// watchVersions starts to poll all instances. The versions of an instance must
// never go down, also over a restart; only a new process may know none yet.
func (f *fleet) watchVersions() *versionWatch {
	w := &versionWatch{stop: make(chan struct{}), newest: map[*node]azurestair.ConfigVersion{}, knows: map[*node]azurestair.Incarnation{}}
	for _, n := range f.nodes {
		w.wg.Go(func() { w.run(n) })
	}
	return w
}

func (w *versionWatch) run(n *node) {
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-t.C:
		}
		st, err := n.status()
		if err == nil {
			w.take(n, st)
		}
	}
}

func (w *versionWatch) take(n *node, st operator.Status) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls++
	if st.ConfigVersion == 0 && st.Self.Incarnation != w.knows[n] {
		return
	}
	w.knows[n] = st.Self.Incarnation
	if st.ConfigVersion < w.newest[n] {
		w.faults = append(w.faults, fmt.Sprintf("%s went from version %d to %d", n.id, w.newest[n], st.ConfigVersion))
	}
	w.newest[n] = max(w.newest[n], st.ConfigVersion)
}

// expectMonotone ends the watch and checks that no version went down.
func (w *versionWatch) expectMonotone() {
	close(w.stop)
	w.wg.Wait()
	Expect(w.faults).To(BeEmpty())
	Expect(w.polls).To(BeNumerically(">", numInstances))
}

// shuffled returns the nodes in a random order.
func shuffled(rng *rand.Rand, nodes []*node) []*node {
	out := slices.Clone(nodes)
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// change is a change of the configuration that does not wait for the instances.
func change(base azurestair.ConfigVersion, id string) operator.ConfigRequest {
	return operator.ConfigRequest{
		ChangeID: azurestair.ChangeID(id), Reason: "test", BaseVersion: base, Config: config(int(base)), WaitMs: 1,
	}
}
