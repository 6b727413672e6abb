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

// fault is a fault that lasts until it is ended.
type fault struct {
	name string
	// start injects the fault and returns a function that ends it.
	start func(run *faultRun) (end func())
	// affectsVoter is true if the fault makes a voter unavailable. While two
	// such faults last, there is no majority and by design no change is
	// accepted.
	affectsVoter bool
	// repairNeedsMajority is true if a majority of the voters must be available
	// to end the fault. If the other fault also affects a voter, this one ends
	// last. Pairs of two such faults are left out, because by design the fleet
	// does not survive the loss of a majority of the disks.
	repairNeedsMajority bool
}

// pairFaults are the faults of the pairs. The soak test injects them, too.
var pairFaults = []fault{
	{name: "entry killed", start: func(run *faultRun) func() { n := run.pickInstance(true, run.entriesOnly()); n.kill(); return n.start }},
	{name: "leader killed", affectsVoter: true, start: func(run *faultRun) func() { n := run.pickLeader(); n.kill(); return n.start }},
	{name: "entry frozen", start: func(run *faultRun) func() {
		n := run.pickInstance(true, run.entriesOnly())
		n.suspend()
		return n.resume
	}},
	{name: "leader frozen", affectsVoter: true, start: func(run *faultRun) func() { n := run.pickLeader(); n.suspend(); return n.resume }},
	{name: "control partitioned", affectsVoter: true, start: func(run *faultRun) func() { return run.partitionInstance(run.voters()) }},
	{name: "entry partitioned", start: func(run *faultRun) func() { return run.partitionInstance(run.entriesOnly()) }},
	{name: "connections silent", start: (*faultRun).silenceUpstreams},
	{name: "disk lost", affectsVoter: true, repairNeedsMajority: true, start: (*faultRun).loseDisk},
	{name: "upstream dead", start: func(run *faultRun) func() { return run.stopUpstreams(false) }},
	{name: "upstream shedding", start: (*faultRun).shedAtUpstream},
	{name: "region without upstreams", start: func(run *faultRun) func() { return run.stopUpstreams(true) }},
	{name: "entry shut down", start: (*faultRun).shutDownEntry},
	{name: "upstream drained", start: (*faultRun).drainUpstream},
	{name: "operators racing", start: func(run *faultRun) func() { run.startOperator("race-a"); run.startOperator("race-b"); return func() {} }},
	{name: "announcements stopped", start: func(run *faultRun) func() {
		run.setAnnouncementsStopped(true)
		return func() { run.setAnnouncementsStopped(false) }
	}},
}

// shortRunPairs are the pairs that run without -faults.long.
var shortRunPairs = []string{
	"leader killed, announcements stopped",
	"control partitioned, region without upstreams",
	"leader frozen, disk lost",
}

var _ = Describe("pair of faults", func() {
	// Guards against the same failures as the tests of single faults, in cases
	// where the recovery from one fault depends on a part that the other fault
	// disables.
	for i, a := range pairFaults {
		for _, b := range pairFaults[i:] {
			name := a.name + ", " + b.name
			if a.repairNeedsMajority && b.repairNeedsMajority || !*longFlag && !slices.Contains(shortRunPairs, name) {
				continue
			}
			It(name, func() { runFaultPair(rand.New(rand.NewPCG(*seedFlag, 0)), a, b) })
		}
	}
})

// faultRun is a fleet under load with injected faults.
type faultRun struct {
	*fleet
	rng  *rand.Rand
	load *traffic
	// faultyUpstreams holds the indices of the upstreams with a fault.
	faultyUpstreams map[int]bool

	mu sync.Mutex
	// affected holds the instances with a fault. The value is true if the fault
	// stops the process.
	affected map[*node]bool

	operatorsWG   sync.WaitGroup
	operatorCount int
	// acceptedQueueLimits holds the queue limits of the accepted changes. They
	// identify the changes, because each operator sets another limit.
	acceptedQueueLimits []int
}

// baseVersion is the version that all operators of a pair of faults change.
const baseVersion azurestair.ConfigVersion = 1

// runFaultPair starts the second fault while the first one lasts, ends both in
// a random order, and checks what the fleet guarantees meanwhile and
// afterwards.
func runFaultPair(rng *rand.Rand, a, b fault) {
	if rng.IntN(2) == 0 {
		a, b = b, a
	}
	run := &faultRun{fleet: newFleet(fleetOptions{}), rng: rng, affected: map[*node]bool{}, faultyUpstreams: map[int]bool{}}
	watch := run.watchVersions()
	run.load = run.startTraffic(rng, "idempotent", 8, []requestKind{browse}, func(rng *rand.Rand, req request) result {
		return run.sendUntilFinal(shuffled(rng, run.runningInstances()), req)
	})
	keyed := run.startTraffic(rng, "keyed", 8, []requestKind{engrave, pay}, run.sendThroughAllEntries())
	run.load.waitForResults(50 + rng.IntN(200))
	ends := []func(){a.start(run)}
	run.waitDuringFault()
	ends = append(ends, b.start(run))
	run.startOperator("during")
	run.waitDuringFault()
	if !a.affectsVoter || !b.affectsVoter {
		run.operatorsWG.Wait()
	}
	reverse := rng.IntN(2) == 0
	if a.affectsVoter && b.affectsVoter && (a.repairNeedsMajority || b.repairNeedsMajority) {
		reverse = a.repairNeedsMajority
	}
	if reverse {
		slices.Reverse(ends)
	}
	for _, end := range ends {
		end()
		run.load.waitForResults(rng.IntN(100))
	}
	Eventually(run.checkReady, "30s").Should(Succeed())
	run.operatorsWG.Wait()
	run.expectAllServing()
	run.expectOneChangeAccepted()
	results := run.load.stop()
	run.expectGuarantees(slices.Concat(results, keyed.stop()))
	run.expectAvailability(results)
	watch.expectMonotonic()
}

// waitDuringFault waits for a random number of requests and in half of the
// cases also until all leases have expired.
func (run *faultRun) waitDuringFault() {
	run.load.waitForResults(20 + run.rng.IntN(200))
	if run.rng.IntN(2) == 0 {
		end := time.Now().Add(leaseDuration + time.Second)
		Eventually(func() bool { return time.Now().After(end) }).Should(BeTrue())
	}
}

// unaffected returns the candidates that have no fault.
func (run *faultRun) unaffected(candidates []*node) []*node {
	return slices.DeleteFunc(slices.Clone(candidates), func(n *node) bool { _, affected := run.affected[n]; return affected })
}

// pickInstance picks a random candidate without a fault and marks it as
// affected. stops is true if the fault stops its process.
func (run *faultRun) pickInstance(stops bool, candidates []*node) *node {
	run.mu.Lock()
	defer run.mu.Unlock()
	n := shuffled(run.rng, run.unaffected(candidates))[0]
	run.affected[n] = stops
	return n
}

func (run *faultRun) pickLeader() *node {
	return run.pickInstance(true, []*node{run.leader(run.unaffected(run.voters())...)})
}

// runningInstances returns the instances whose process is not stopped by a
// fault.
func (run *faultRun) runningInstances() []*node {
	run.mu.Lock()
	defer run.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(run.nodes), func(n *node) bool { return run.affected[n] })
}

func (run *faultRun) partitionInstance(candidates []*node) func() {
	n := run.pickInstance(false, candidates)
	run.partition(n)
	return func() { run.heal(n) }
}

func (run *faultRun) shutDownEntry() func() {
	n := run.pickInstance(true, run.entriesOnly())
	n.signal(syscall.SIGTERM)
	return func() {
		Expect(n.waitExit()).To(Succeed())
		n.start()
	}
}

// silenceUpstreams silences all connections to the upstreams. The end of the
// fault resets them.
func (run *faultRun) silenceUpstreams() func() {
	for _, r := range run.upstreamRelays {
		r.Blackhole()
	}
	return func() {
		for _, r := range run.upstreamRelays {
			r.ResetConns()
		}
	}
}

// loseDisk removes the data of a voter, which then rejoins as a learner. Each
// membership change is retried, because the log refuses a change until the
// previous one is committed, and a promotion until the learner has caught up.
func (run *faultRun) loseDisk() func() {
	n, attempts := run.pickInstance(true, run.voters()), 0
	change := func(action azurestair.MemberAction) {
		Eventually(func() error {
			attempts++
			_, err := run.unaffected(run.nodes)[0].operatorClient().ChangeMembership(context.Background(), operator.MemberRequest{
				ChangeID: azurestair.ChangeID(fmt.Sprintf("repair-%d", attempts)), Reason: "lost disk", Action: action, Instance: n.id,
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
		n.writeSettings(run.voters())
		n.init()
		n.start()
		change(azurestair.MemberPromote)
	}
}

func (run *faultRun) pickUpstream() int {
	i := run.rng.IntN(len(run.upstreams))
	for run.faultyUpstreams[i] {
		i = (i + 1) % len(run.upstreams)
	}
	run.faultyUpstreams[i] = true
	return i
}

// stopUpstreams stops one upstream without a fault or, if wholeRegion is set,
// all such upstreams of its region.
func (run *faultRun) stopUpstreams(wholeRegion bool) func() {
	first := run.pickUpstream()
	var stopped []int
	for i, u := range run.upstreams {
		if i == first || wholeRegion && !run.faultyUpstreams[i] && u.Region() == run.upstreams[first].Region() {
			u.Close()
			run.faultyUpstreams[i], stopped = true, append(stopped, i)
		}
	}
	return func() {
		for _, i := range stopped {
			run.restartUpstream(i)
		}
	}
}

func (run *faultRun) shedAtUpstream() func() {
	u := run.upstreams[run.pickUpstream()]
	u.SetShedding(true)
	return func() { u.SetShedding(false) }
}

func (run *faultRun) setAnnouncementsStopped(stopped bool) {
	for _, u := range run.upstreams {
		u.SetAnnouncementsPaused(stopped)
	}
}

func (run *faultRun) drainUpstream() func() {
	i := run.pickUpstream()
	req := operator.DrainRequest{
		ChangeID: azurestair.ChangeID(fmt.Sprintf("drain-%d", i)), Reason: "test",
		Target: azurestair.Target{Kind: azurestair.TargetUpstream, Name: string(run.upstreams[i].ID())},
	}
	Eventually(func() error {
		_, err := run.unaffected(run.nodes)[0].operatorClient().Drain(context.Background(), req)
		return err
	}).Should(Succeed())
	return func() {
		req.ChangeID = "un" + req.ChangeID
		Eventually(func() error {
			_, err := run.unaffected(run.nodes)[0].operatorClient().Undrain(context.Background(), req)
			return err
		}).Should(Succeed())
	}
}

// changeRetryPeriod is how long an operator retries a change.
const changeRetryPeriod = time.Minute

// startOperator starts an operator that changes the base version. A relay drops
// the first response, and the operator resends the change through one instance
// after the other until it is accepted or conflicts, for at most
// changeRetryPeriod.
func (run *faultRun) startOperator(id azurestair.ChangeID) {
	run.operatorCount++
	nodes, req := shuffled(run.rng, run.runningInstances()), newConfigRequest(baseVersion, string(id))
	req.Config.Defaults.QueueLimit += run.operatorCount
	lossy := run.newRelay(nodes[0].operatorAddr)
	lossy.ResetResponses(1)
	run.operatorsWG.Go(func() {
		defer GinkgoRecover()
		_, err := newOperatorClient(lossy.Addr()).Apply(context.Background(), req)
		var resp operator.ChangeResponse
		end := time.Now().Add(changeRetryPeriod)
		for i := 0; err != nil && !errors.Is(err, azurestair.ErrConflict) && time.Now().Before(end); i++ {
			<-time.After(requestPause)
			resp, err = nodes[i%len(nodes)].operatorClient().Apply(context.Background(), req)
		}
		if err == nil {
			Expect(resp.Version).To(Equal(baseVersion + 1))
			run.mu.Lock()
			defer run.mu.Unlock()
			run.acceptedQueueLimits = append(run.acceptedQueueLimits, req.Config.Defaults.QueueLimit)
		}
	})
}

// expectAllServing checks that every instance serves requests of all kinds.
func (run *faultRun) expectAllServing() {
	var served []result
	for _, n := range run.nodes {
		for k := range numRequestKinds {
			served = append(served, run.sendUntilFinal([]*node{n}, request{kind: k, id: fmt.Sprintf("healed-%s-%d", n.id, k)}))
		}
	}
	run.expectGuarantees(served)
	expectDonePercent(served, 100)
}

// expectOneChangeAccepted checks that exactly one of the operators' changes was
// accepted, that every instance uses it, and that the configuration can be
// changed again.
func (run *faultRun) expectOneChangeAccepted() {
	Expect(run.acceptedQueueLimits).To(HaveLen(1), "accepted changes of version %d", baseVersion)
	Eventually(func() error { return run.checkConfigVersion(baseVersion+1, run.nodes...) }).Should(Succeed())
	for _, n := range run.nodes {
		resp, err := n.operatorClient().Config(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Version).To(Equal(baseVersion + 1))
		Expect(resp.Config.Defaults.QueueLimit).To(Equal(run.acceptedQueueLimits[0]))
	}
	v := run.apply(run.nodes[run.rng.IntN(numInstances)], baseVersion+1, "healed")
	Eventually(func() error { return run.checkConfigVersion(v, run.nodes...) }).Should(Succeed())
}

// deadlineTolerance is how long after the request's deadline a response may
// arrive, because the machine may be busy.
const deadlineTolerance = time.Second

// expectAvailability checks the idempotent requests: each try at an instance
// whose process was never stopped ends by its deadline with a response or a
// refusal, and at least 95% of the requests are done in the end. By design at
// most a third of a service's upstreams is ejected. If more of them have a
// fault, the faulty ones that are not ejected still get requests until their
// leases expire, and the share of done requests is not checked.
func (run *faultRun) expectAvailability(results []result) {
	for _, r := range results {
		for _, resp := range r.responses {
			if !run.affected[resp.entry] {
				Expect(resp.err).NotTo(HaveOccurred(), "%v", r)
				Expect(resp.duration).To(BeNumerically("<", browseTimeout.Duration()+deadlineTolerance), "%v", r)
			}
		}
	}
	faulty := 0
	for i := range run.faultyUpstreams {
		if run.upstreams[i].Service() == catalogue {
			faulty++
		}
	}
	if 3*faulty <= len(controlLocations) {
		expectDonePercent(results, 95)
	}
}
