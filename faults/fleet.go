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

	// lookupTTL is how long callers may use a lookup response.
	lookupTTL azurestair.Millis = 500
	// payTimeout, engraveTimeout and browseTimeout are the timeouts of urgent,
	// deferred and interactive requests.
	payTimeout     azurestair.Millis = 2_000
	engraveTimeout azurestair.Millis = 4_000
	browseTimeout  azurestair.Millis = 1_000
)

var (
	controlLocations = []location{{"kigali", "kigali-a"}, {"huye", "huye-a"}, {"musanze", "musanze-a"}}
	entryLocations   = []location{{"kigali", "kigali-b"}, {"huye", "huye-b"}, {"musanze", "musanze-b"}, {"kigali", "kigali-a"}}
	// numInstances is the number of instances in a fleet. All of them have the
	// entry role.
	numInstances = len(controlLocations) + len(entryLocations)
)

// standaloneUpstreamID identifies the upstream that runs as a separate process.
// The harness cannot count the executions of a request there.
const standaloneUpstreamID = "catalogue-process"

// binDir is the directory of the programs that the suite builds.
var binDir string

// fleet consists of seven instances and their stub upstreams.
type fleet struct {
	dir       string
	nodes     []*node
	upstreams []*stub.Upstream
	// upstreamRelays are the relays in front of the upstreams, in the same
	// order.
	upstreamRelays []*relay.Relay
	// allRelays are closed with the fleet.
	allRelays []*relay.Relay
	// stubOptions are the options of the upstreams, in the same order.
	stubOptions []stub.Options

	mu sync.Mutex
	// replacedUpstreams are upstreams that restartUpstream has replaced. Their
	// executions still count.
	replacedUpstreams []*stub.Upstream
}

// fleetOptions configure the fleet of a test.
type fleetOptions struct {
	// upstreamsPerDomain is the number of upstreams of each service in each
	// failure domain whose name ends in "-a".
	upstreamsPerDomain int
	// modifyStub modifies the options of an upstream before it starts.
	modifyStub func(o *stub.Options)
	// program is the program that the instances run at first. The default is
	// the program under test.
	program string
	// injectMachineFaults runs the instances in the program faults/machine,
	// which injects clock and disk faults.
	injectMachineFaults bool
	// shutdownGrace is the grace period of a shutdown; zero means the default.
	shutdownGrace azurestair.Millis
}

// programUnderTest returns the path of the program under test.
func programUnderTest() string { return filepath.Join(binDir, "azurestair") }

// newFleet starts a fleet, applies a configuration and waits until all
// instances are ready.
func newFleet(o fleetOptions) *fleet {
	dir, err := os.MkdirTemp("", "azurestair-faults-fleet-")
	Expect(err).NotTo(HaveOccurred())
	f := &fleet{dir: dir}
	DeferCleanup(f.close)
	addrs := freeAddrs(4 * numInstances)
	for i := range numInstances {
		n := &node{controlRelays: map[azurestair.InstanceID]*relay.Relay{}, program: cmp.Or(o.program, programUnderTest()), injectMachineFaults: o.injectMachineFaults, shutdownGrace: o.shutdownGrace}
		if i < len(controlLocations) {
			n.id, n.location, n.isControl = azurestair.InstanceID(fmt.Sprintf("control-%d", i)), controlLocations[i], true
		} else {
			e := i - len(controlLocations)
			n.id, n.location = azurestair.InstanceID(fmt.Sprintf("entry-%d", e)), entryLocations[e]
		}
		n.dir = filepath.Join(dir, string(n.id))
		Expect(os.Mkdir(n.dir, 0o700)).To(Succeed())
		n.callerAddr, n.upstreamAddr, n.operatorAddr, n.peerAddr = addrs[4*i], addrs[4*i+1], addrs[4*i+2], addrs[4*i+3]
		f.nodes = append(f.nodes, n)
	}
	f.startNodes()
	f.apply(f.nodes[0], 0, "start")
	f.startUpstreams(o)
	Eventually(f.checkReady, 20*time.Second).Should(Succeed())
	return f
}

func (f *fleet) startNodes() {
	for _, n := range f.nodes {
		for _, v := range f.voters() {
			if v != n {
				n.controlRelays[v.id] = f.newRelay(v.peerAddr)
			}
		}
		n.writeSettings(f.voters())
	}
	// The nodes start in parallel because each of them waits for its own file
	// syncs, which take long on a busy disk.
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(func() {
			defer GinkgoRecover()
			if n.isControl {
				n.init()
			}
			n.start()
		})
	}
	wg.Wait()
}

// addSpare starts a control instance that the log does not list.
func (f *fleet) addSpare() *node {
	addrs := freeAddrs(4)
	n := &node{
		id: "spare", location: controlLocations[0], isControl: true, learner: true, program: programUnderTest(),
		dir: filepath.Join(f.dir, "spare"), controlRelays: map[azurestair.InstanceID]*relay.Relay{},
		callerAddr: addrs[0], upstreamAddr: addrs[1], operatorAddr: addrs[2], peerAddr: addrs[3],
	}
	Expect(os.Mkdir(n.dir, 0o700)).To(Succeed())
	for _, v := range f.voters() {
		n.controlRelays[v.id] = f.newRelay(v.peerAddr)
	}
	n.writeSettings(f.voters())
	n.init()
	n.start()
	DeferCleanup(n.kill)
	return n
}

// newRelay starts a relay that is closed with the fleet.
func (f *fleet) newRelay(target string) *relay.Relay {
	r, err := relay.New("127.0.0.1:0", target)
	Expect(err).NotTo(HaveOccurred())
	f.allRelays = append(f.allRelays, r)
	return r
}

func (f *fleet) startUpstreams(o fleetOptions) {
	var entries []string
	for _, n := range f.nodes {
		entries = append(entries, n.upstreamAddr)
	}
	addrs := freeAddrs(2 * len(controlLocations) * max(1, o.upstreamsPerDomain))
	for _, s := range []azurestair.ServiceName{catalogue, payment} {
		for _, loc := range controlLocations {
			for i := range max(1, o.upstreamsPerDomain) {
				addr := addrs[len(f.upstreams)]
				firstEntry := len(f.upstreams) % len(entries)
				r := f.newRelay(addr)
				stubOpts := stub.Options{
					ID: azurestair.UpstreamID(fmt.Sprintf("%s-%s-%d", s, loc.domain, i)), Service: s,
					Region: loc.region, FailureDomain: loc.domain, Slots: 24, QueueLimit: 24, Listen: addr, Advertise: r.Addr(),
					ServiceTime: 2 * time.Millisecond, Token: upstreamToken,
					Entries: slices.Concat(entries[firstEntry:], entries[:firstEntry]),
				}
				if o.modifyStub != nil {
					o.modifyStub(&stubOpts)
				}
				u, err := stub.Start(stubOpts)
				Expect(err).NotTo(HaveOccurred())
				f.upstreams, f.upstreamRelays, f.stubOptions = append(f.upstreams, u), append(f.upstreamRelays, r), append(f.stubOptions, stubOpts)
			}
		}
	}
}

func (f *fleet) close() {
	if CurrentSpecReport().Failed() {
		for _, n := range f.nodes {
			_, _ = fmt.Fprintf(GinkgoWriter, "--- log of %s\n%s", n.id, n.logTail())
		}
	}
	for _, n := range f.nodes {
		n.kill()
	}
	for _, u := range f.upstreams {
		u.Close()
	}
	for _, r := range f.allRelays {
		r.Close()
	}
	_ = os.RemoveAll(f.dir)
}

func (f *fleet) voters() []*node { return f.nodes[:len(controlLocations)] }

// entriesOnly returns the instances that have only the entry role and do not
// replicate the log.
func (f *fleet) entriesOnly() []*node { return f.nodes[len(controlLocations):] }

func (f *fleet) upstream(id string) *stub.Upstream {
	for _, u := range f.upstreams {
		if string(u.ID()) == id {
			return u
		}
	}
	Fail("unknown upstream " + id)
	return nil
}

// runs returns how often the request was executed at all stub upstreams.
func (f *fleet) runs(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, u := range slices.Concat(f.upstreams, f.replacedUpstreams) {
		n += u.Runs(id)
	}
	return n
}

// restartUpstream starts a closed upstream again at the same address.
func (f *fleet) restartUpstream(i int) {
	u, err := stub.Start(f.stubOptions[i])
	Expect(err).NotTo(HaveOccurred())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replacedUpstreams = append(f.replacedUpstreams, f.upstreams[i])
	f.upstreams[i] = u
}

// peerRelaysOf returns the relays of all peer connections from and to an
// instance.
func (f *fleet) peerRelaysOf(n *node) []*relay.Relay {
	var out []*relay.Relay
	for _, r := range n.controlRelays {
		out = append(out, r)
	}
	for _, other := range f.nodes {
		if r, ok := other.controlRelays[n.id]; ok {
			out = append(out, r)
		}
	}
	return out
}

// partition drops all traffic between an instance and its peers. Connections
// stay open, so that neither side sees an error.
func (f *fleet) partition(n *node) {
	for _, r := range f.peerRelaysOf(n) {
		r.Partition()
	}
}

func (f *fleet) heal(n *node) {
	for _, r := range f.peerRelaysOf(n) {
		r.Heal()
	}
}

// fleetConfig returns the fleet configuration. The marker is added to the queue
// limit so that configurations with different markers differ.
func fleetConfig(marker int) azurestair.Config {
	c := azurestair.Config{
		Defaults: azurestair.Defaults{
			LookupTTLMs: lookupTTL, ShiftIntervalMs: 500, ShiftPercent: 100, LookupMovePercent: 100, SlowStartMs: 200,
			QueueLimit: 512 + marker,
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
	for i, loc := range controlLocations {
		region := azurestair.Region{Name: loc.region, FailureDomains: []azurestair.FailureDomainName{loc.domain, azurestair.FailureDomainName(loc.region + "-b")}}
		c.Regions = append(c.Regions, region)
		for j, other := range controlLocations {
			if i != j {
				c.Links = append(c.Links, azurestair.Link{From: loc.region, To: other.region, Limit: 500_000_000})
			}
		}
	}
	return c
}

// apply changes the configuration through an instance and returns the new
// version. It retries with the same change ID until the change succeeds.
func (f *fleet) apply(via *node, base azurestair.ConfigVersion, changeID string) azurestair.ConfigVersion {
	req := newConfigRequest(base, changeID)
	var resp operator.ChangeResponse
	Eventually(func() error {
		var err error
		resp, err = via.operatorClient().Apply(context.Background(), req)
		return err
	}, 20*time.Second).Should(Succeed())
	Expect(resp.Code).To(Equal(azurestair.ResultAccepted))
	Expect(resp.Version).To(BeNumerically(">", base))
	return resp.Version
}

// version reads the newest configuration version from the leader through an
// instance.
func (f *fleet) version(via *node) azurestair.ConfigVersion {
	var resp operator.ConfigResponse
	Eventually(func() error {
		var err error
		resp, err = via.operatorClient().Config(context.Background())
		return err
	}).Should(Succeed())
	return resp.Version
}

// checkConfigVersion returns an error unless all nodes use version v or a newer
// one and know that it is current.
func (f *fleet) checkConfigVersion(v azurestair.ConfigVersion, nodes ...*node) error {
	for _, n := range nodes {
		st, err := n.status()
		if err != nil {
			return fmt.Errorf("%s: %w", n.id, err)
		}
		if st.ConfigVersion < v || !st.Current {
			return fmt.Errorf("%w: %s has configuration version %d (current: %t), want at least %d", errNotReady, n.id, st.ConfigVersion, st.Current, v)
		}
	}
	return nil
}

// checkReady returns an error unless every instance is ready, knows all
// instances and upstreams, and holds slot leases.
func (f *fleet) checkReady() error {
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
			return fmt.Errorf("%w: %s: self ready %t, %d ready instances, %d upstreams", errNotReady, n.id, st.Self.Ready, ready, len(st.Upstreams))
		}
		if !hasSlotLeases(st) {
			return fmt.Errorf("%w: %s holds no slot leases", errNotReady, n.id)
		}
	}
	return nil
}

// hasSlotLeases reports whether the instance holds usable leases on slots of
// its own region.
func hasSlotLeases(st operator.Status) bool {
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

// leader waits until one of the candidates, by default all voters, is leader
// and returns the one with the highest term.
func (f *fleet) leader(candidates ...*node) *node {
	if len(candidates) == 0 {
		candidates = f.voters()
	}
	var found *node
	Eventually(func() *node {
		var term azurestair.Term
		for _, n := range candidates {
			st, err := n.status()
			if err == nil && st.Replica != nil && st.Replica.State == "leader" && st.Replica.Term > term {
				found, term = n, st.Replica.Term
			}
		}
		return found
	}).ShouldNot(BeNil())
	return found
}

// others returns all instances except the given ones.
func (f *fleet) others(excluded ...*node) []*node {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *node) bool { return slices.Contains(excluded, n) })
}

// lookup asks an instance which entries a caller in the client block should
// use.
func (n *node) lookup(block string) (caller.LookupResponse, error) {
	var lookupResp caller.LookupResponse
	c := &http.Client{Timeout: statusTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.callerAddr + "/v1/lookup?service=catalogue&block=" + block)
	if err != nil {
		return lookupResp, err
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read
	if resp.StatusCode != http.StatusOK {
		return lookupResp, fmt.Errorf("%w: status %d", errNotReady, resp.StatusCode)
	}
	return lookupResp, json.NewDecoder(resp.Body).Decode(&lookupResp)
}

// lookupIncludes reports whether lookups at this instance return the other
// instance for any of several client blocks.
func (n *node) lookupIncludes(other *node) (bool, error) {
	for i := range 24 {
		lookupResp, err := n.lookup(fmt.Sprintf("10.%d.%d.1", i, i*3))
		if err != nil {
			return false, err
		}
		for _, e := range lookupResp.Entries {
			if e.Instance == other.id {
				return true, nil
			}
		}
	}
	return false, nil
}

// versionWatch polls the configuration versions of all instances and records
// each decrease.
type versionWatch struct {
	stop    chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	highest map[*node]azurestair.ConfigVersion
	// incarnations holds, for each node, the last incarnation that reported a
	// version.
	incarnations map[*node]azurestair.Incarnation
	decreases    []string
	polls        int
}

// watchVersions starts to poll the configuration version of all instances. The
// version must never decrease, not even across a restart. Only a restarted
// process may report version 0 until it has received a configuration.
func (f *fleet) watchVersions() *versionWatch {
	w := &versionWatch{stop: make(chan struct{}), highest: map[*node]azurestair.ConfigVersion{}, incarnations: map[*node]azurestair.Incarnation{}}
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
			w.record(n, st)
		}
	}
}

func (w *versionWatch) record(n *node, st operator.Status) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls++
	if st.ConfigVersion == 0 && st.Self.Incarnation != w.incarnations[n] {
		return
	}
	w.incarnations[n] = st.Self.Incarnation
	if st.ConfigVersion < w.highest[n] {
		w.decreases = append(w.decreases, fmt.Sprintf("configuration version of %s decreased from %d to %d", n.id, w.highest[n], st.ConfigVersion))
	}
	w.highest[n] = max(w.highest[n], st.ConfigVersion)
}

// expectMonotonic stops the watch and checks that no version decreased.
func (w *versionWatch) expectMonotonic() {
	close(w.stop)
	w.wg.Wait()
	Expect(w.decreases).To(BeEmpty())
	Expect(w.polls).To(BeNumerically(">", numInstances))
}

// shuffled returns the nodes in a random order.
func shuffled(rng *rand.Rand, nodes []*node) []*node {
	out := slices.Clone(nodes)
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// newConfigRequest returns a configuration change that does not wait until the
// instances use it.
func newConfigRequest(base azurestair.ConfigVersion, id string) operator.ConfigRequest {
	return operator.ConfigRequest{
		ChangeID: azurestair.ChangeID(id), Reason: "test", BaseVersion: base, Config: fleetConfig(int(base)), WaitMs: 1,
	}
}
