package faults

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/operator"
)

// fault is a fault that lasts.
type fault struct {
	name string
	// start induces the fault and returns what ends it.
	start func(p *pair) (end func())
	// voter is true if the fault takes a voter away. While two such faults
	// last, no majority is left and no change is accepted, by design.
	voter bool
	// repair is true if the end of the fault needs a majority of the voters.
	// With another lost voter it comes last, and two lost disks are left out,
	// because a majority of lost disks is not survived, by design.
	repair bool
}

var allFaults = []fault{
	{name: "entry killed", start: func(p *pair) func() { n := p.take(true, p.entriesOnly()); n.kill(); return n.start }},
	{name: "leader killed", voter: true, start: func(p *pair) func() { n := p.takeLeader(); n.kill(); return n.start }},
	{name: "entry frozen", start: func(p *pair) func() { n := p.take(true, p.entriesOnly()); n.freeze(); return n.thaw }},
	{name: "leader frozen", voter: true, start: func(p *pair) func() { n := p.takeLeader(); n.freeze(); return n.thaw }},
	{name: "control partitioned", voter: true, start: func(p *pair) func() { return p.cutOff(p.voters()) }},
	{name: "entry partitioned", start: func(p *pair) func() { return p.cutOff(p.entriesOnly()) }},
	{name: "connections silent", start: (*pair).silence},
	{name: "disk lost", voter: true, repair: true, start: (*pair).loseDisk},
	{name: "upstream dead", start: func(p *pair) func() { return p.stopUpstreams(false) }},
	{name: "upstream shedding", start: (*pair).shed},
	{name: "region without upstreams", start: func(p *pair) func() { return p.stopUpstreams(true) }},
	{name: "entry shut down", start: (*pair).shutDown},
	{name: "upstream drained", start: (*pair).drain},
	{name: "operators racing", start: func(p *pair) func() { p.operate("race-a"); p.operate("race-b"); return func() {} }},
	{name: "announcements stopped", start: func(p *pair) func() { p.mute(true); return func() { p.mute(false) } }},
}

// shortPairs are the pairs of a short run.
var shortPairs = []string{
	"leader killed, announcements stopped",
	"control partitioned, region without upstreams",
	"leader frozen, disk lost",
}

var _ = Describe("pair of faults", func() {
	// Guards against the same as the cases of single faults, where the
	// mechanism against one fault needs what the other takes away.
	for i, a := range allFaults {
		for _, b := range allFaults[i:] {
			name := a.name + ", " + b.name
			if a.repair && b.repair || !*longFlag && !slices.Contains(shortPairs, name) {
				continue
			}
			It(name, func() { runPair(rand.New(rand.NewPCG(*seedFlag, 0)), a, b) })
		}
	}
})

// pair is a fleet under two faults.
type pair struct {
	*fleet
	rng  *rand.Rand
	load *traffic
	// stopped holds the upstreams with a fault by their indices.
	stopped map[int]bool

	mu sync.Mutex
	// hit holds the instances with a fault; those whose process it stops are true.
	hit map[*node]bool

	operators sync.WaitGroup
	// attempts counts the operators, won the queue limits of the changes that were accepted.
	attempts int
	won      []int
}

// baseVersion is what all operators of a pair change.
const baseVersion azurestair.ConfigVersion = 1

// runPair has the second fault start while the first one lasts.
func runPair(rng *rand.Rand, a, b fault) {
	if rng.IntN(2) == 0 {
		a, b = b, a
	}
	p := &pair{fleet: newFleet(fleetOptions{}), rng: rng, hit: map[*node]bool{}, stopped: map[int]bool{}}
	watch := p.watchVersions()
	p.load = p.startTraffic(rng, "idempotent", 8, []kind{browse}, func(rng *rand.Rand, q request) result {
		return p.follow(shuffled(rng, p.running()), q)
	})
	keyed := p.startTraffic(rng, "keyed", 8, []kind{engrave, pay}, p.throughAll())
	p.load.more(50 + rng.IntN(200))
	ends := []func(){a.start(p)}
	p.wait()
	ends = append(ends, b.start(p))
	p.operate("during")
	p.wait()
	if !a.voter || !b.voter {
		p.operators.Wait()
	}
	reverse := rng.IntN(2) == 0
	if a.voter && b.voter && (a.repair || b.repair) {
		reverse = a.repair
	}
	if reverse {
		slices.Reverse(ends)
	}
	for _, end := range ends {
		end()
		p.load.more(rng.IntN(100))
	}
	Eventually(p.whole, "30s").Should(Succeed())
	p.operators.Wait()
	p.expectServed()
	p.expectAccepted()
	results := p.load.stop()
	p.expectTruth(slices.Concat(results, keyed.stop()))
	p.expectHonest(results)
	watch.expectMonotone()
}

// wait keeps the faults for some traffic or until all leases have run out.
func (p *pair) wait() {
	p.load.more(20 + p.rng.IntN(200))
	if p.rng.IntN(2) == 0 {
		end := time.Now().Add(leaseTime + time.Second)
		Eventually(func() bool { return time.Now().After(end) }).Should(BeTrue())
	}
}

// free returns the instances that have no fault yet.
func (p *pair) free(among []*node) []*node {
	return slices.DeleteFunc(slices.Clone(among), func(n *node) bool { _, hit := p.hit[n]; return hit })
}

// take picks the instance for a fault.
func (p *pair) take(stops bool, among []*node) *node {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := shuffled(p.rng, p.free(among))[0]
	p.hit[n] = stops
	return n
}

func (p *pair) takeLeader() *node { return p.take(true, []*node{p.leader(p.free(p.voters())...)}) }

// running returns the instances whose process no fault has stopped.
func (p *pair) running() []*node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(p.nodes), func(n *node) bool { return p.hit[n] })
}

func (p *pair) cutOff(among []*node) func() {
	n := p.take(false, among)
	p.partition(n)
	return func() { p.heal(n) }
}

func (p *pair) shutDown() func() {
	n := p.take(true, p.entriesOnly())
	n.signal(syscall.SIGTERM)
	return func() {
		Expect(n.wait()).To(Succeed())
		n.start()
	}
}

// silence ends with the reset of the silent connections.
func (p *pair) silence() func() {
	for _, r := range p.relays {
		r.Blackhole()
	}
	return func() {
		for _, r := range p.relays {
			r.ResetConns()
		}
	}
}

// loseDisk removes the data of a voter, which joins again as a learner. A
// change is repeated, since the log refuses it before the one before is
// committed, and a promotion before the learner has caught up.
func (p *pair) loseDisk() func() {
	n, tries := p.take(true, p.voters()), 0
	change := func(action azurestair.MemberAction) {
		Eventually(func() error {
			tries++
			_, err := p.free(p.nodes)[0].admin().Members(context.Background(), operator.MemberRequest{
				ChangeID: azurestair.ChangeID(fmt.Sprintf("repair-%d", tries)), Reason: "lost disk", Action: action, Instance: n.id,
			})
			return err
		}, "30s").Should(Succeed())
	}
	n.kill()
	Expect(os.RemoveAll(n.dataDir())).To(Succeed())
	return func() {
		change(azurestair.MemberRemove)
		change(azurestair.MemberAddLearner)
		n.learner = true
		n.writeSettings(p.voters())
		n.init()
		n.start()
		change(azurestair.MemberPromote)
	}
}

func (p *pair) takeUpstream() int {
	i := p.rng.IntN(len(p.upstreams))
	for p.stopped[i] {
		i = (i + 1) % len(p.upstreams)
	}
	p.stopped[i] = true
	return i
}

// stopUpstreams stops one upstream or all of its region that have no fault yet.
func (p *pair) stopUpstreams(region bool) func() {
	first := p.takeUpstream()
	var all []int
	for i, u := range p.upstreams {
		if i == first || region && !p.stopped[i] && u.Region() == p.upstreams[first].Region() {
			u.Close()
			p.stopped[i], all = true, append(all, i)
		}
	}
	return func() {
		for _, i := range all {
			p.restartUpstream(i)
		}
	}
}

func (p *pair) shed() func() {
	u := p.upstreams[p.takeUpstream()]
	u.SetShedding(true)
	return func() { u.SetShedding(false) }
}

func (p *pair) mute(silent bool) {
	for _, u := range p.upstreams {
		u.SetAnnouncementsPaused(silent)
	}
}

func (p *pair) drain() func() {
	i := p.takeUpstream()
	q := operator.DrainRequest{
		ChangeID: azurestair.ChangeID(fmt.Sprintf("drain-%d", i)), Reason: "test",
		Target: azurestair.Target{Kind: azurestair.TargetUpstream, Name: string(p.upstreams[i].ID())},
	}
	Eventually(func() error { _, err := p.free(p.nodes)[0].admin().Drain(context.Background(), q); return err }).Should(Succeed())
	return func() {
		q.ChangeID = "un" + q.ChangeID
		Eventually(func() error { _, err := p.free(p.nodes)[0].admin().Undrain(context.Background(), q); return err }).Should(Succeed())
	}
}

// changeFor bounds how long an operator sends a change again.
const changeFor = time.Minute

// operate has an operator change the base version, lose the first answer, and
// send the change again to other instances until it is answered.
func (p *pair) operate(id azurestair.ChangeID) {
	p.attempts++
	at, q := shuffled(p.rng, p.running()), change(baseVersion, string(id))
	q.Config.Defaults.QueueLimit += p.attempts
	lossy := p.relay(at[0].operators)
	lossy.ResetResponses(1)
	p.operators.Go(func() {
		defer GinkgoRecover()
		_, err := adminAt(lossy.Addr()).Apply(context.Background(), q)
		var a operator.ChangeResponse
		end := time.Now().Add(changeFor)
		for i := 0; err != nil && !errors.Is(err, azurestair.ErrConflict) && time.Now().Before(end); i++ {
			<-time.After(requestPause)
			a, err = at[i%len(at)].admin().Apply(context.Background(), q)
		}
		if err == nil {
			Expect(a.Version).To(Equal(baseVersion + 1))
			p.mu.Lock()
			defer p.mu.Unlock()
			p.won = append(p.won, q.Config.Defaults.QueueLimit)
		}
	})
}

// expectServed checks that every instance serves requests of all kinds.
func (p *pair) expectServed() {
	var served []result
	for _, n := range p.nodes {
		for k := range numKinds {
			served = append(served, p.follow([]*node{n}, request{kind: k, id: fmt.Sprintf("healed-%s-%d", n.id, k)}))
		}
	}
	p.expectTruth(served)
	expectMost(served, 100)
}

// expectAccepted checks that one of the operators' changes was accepted, is
// what every instance works from, and can be changed.
func (p *pair) expectAccepted() {
	Expect(p.won).To(HaveLen(1), "accepted changes of version %d", baseVersion)
	Eventually(func() error { return p.inForce(baseVersion+1, p.nodes...) }).Should(Succeed())
	for _, n := range p.nodes {
		a, err := n.admin().Config(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Version).To(Equal(baseVersion + 1))
		Expect(a.Config.Defaults.QueueLimit).To(Equal(p.won[0]))
	}
	v := p.apply(p.nodes[p.rng.IntN(numInstances)], baseVersion+1, "healed")
	Eventually(func() error { return p.inForce(v, p.nodes...) }).Should(Succeed())
}

// honestGrace is what an answer may take longer than the request's deadline on a busy machine.
const honestGrace = time.Second

// expectHonest checks the idempotent requests at instances that ran all the
// time: each try ends by its deadline with an answer or a refusal, and nearly
// all requests are served in the end. At most a third of a service's upstreams
// is ejected, by design. While more of them have a fault, work goes on to the
// others until their leases end, so that not nearly all of it is served.
func (p *pair) expectHonest(results []result) {
	for _, r := range results {
		for _, t := range r.replies {
			if !p.hit[t.at] {
				Expect(t.err).NotTo(HaveOccurred(), "%v", r)
				Expect(t.took).To(BeNumerically("<", browseTimeout.Duration()+honestGrace), "%v", r)
			}
		}
	}
	faulty := 0
	for i := range p.stopped {
		if p.upstreams[i].Service() == catalogue {
			faulty++
		}
	}
	if 3*faulty <= len(controlPlaces) {
		expectMost(results, 95)
	}
}
