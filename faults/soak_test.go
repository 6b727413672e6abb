package faults

import (
	"flag"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var soakFlag = flag.Int("faults.soak", shortSoakFaults, "number of faults in the soak test")

const (
	// shortSoakFaults is the default number of faults.
	shortSoakFaults = 6
	// maxActiveFaults is the largest number of faults that are active at the
	// same time.
	maxActiveFaults = 3
	// longFaultInterval is the average number of faults for each wait until all
	// leases have expired.
	longFaultInterval = 4
)

// nonRepeatableFaults occur at most once, because they use fixed change IDs and
// a change ID identifies only one change.
var nonRepeatableFaults = []string{"disk lost", "upstream drained"}

// excludedSoakFaults are left out because their check relies on the number of
// operators in a test of a pair of faults.
var excludedSoakFaults = []string{"operators racing"}

// activeFault is a fault that has not ended, with the instances and upstreams
// that it affects.
type activeFault struct {
	fault
	end       func()
	nodes     []*node
	upstreams []int
}

// soak is a fleet under a series of overlapping faults.
type soak struct {
	*faultRun
	active  []activeFault
	started map[string]bool
	// brokenConnections holds the responses that failed on reused connections
	// to instances without a fault.
	brokenConnections []response
}

var _ = Describe("soak", func() {
	// Guards against failures that faults cause only when they recur, start in
	// another order, or start during the recovery from an earlier fault. Seeds
	// that failed are listed in docs/PROOF.md with their causes.
	It("of a series of overlapping faults", func() { runSoak(rand.New(rand.NewPCG(*seedFlag, 1))) })
})

// runSoak checks the guarantees to callers while faults start and end, and that
// the fleet recovers completely afterwards.
func runSoak(rng *rand.Rand) {
	s := &soak{
		faultRun: &faultRun{fleet: newFleet(fleetOptions{injectMachineFaults: true}), rng: rng, affected: map[*node]bool{}, faultyUpstreams: map[int]bool{}},
		started:  map[string]bool{},
	}
	watch := s.watchVersions()
	s.load = s.startTraffic(rng, "idempotent", 8, []requestKind{browse}, func(rng *rand.Rand, req request) result {
		return s.sendUntilFinal(shuffled(rng, s.runningInstances()), req)
	})
	keyed := s.startTraffic(rng, "keyed", 8, []requestKind{engrave, pay}, s.sendThroughAllEntries())
	keepAlive := s.startTraffic(rng, "kept", 4, []requestKind{browse}, s.sendKeepAlive)
	s.load.waitForResults(50)
	for range *soakFlag {
		for len(s.active) == maxActiveFaults || len(s.active) > 0 && rng.IntN(3) == 0 {
			s.endFault()
		}
		s.startFault()
		s.load.waitForResults(10 + rng.IntN(150))
		if rng.IntN(longFaultInterval) == 0 {
			<-time.After(leaseDuration + time.Second)
		}
	}
	for len(s.active) > 0 {
		s.endFault()
	}
	Eventually(s.checkReady, "40s").Should(Succeed())
	s.expectAllServing()
	results := s.load.stop()
	s.expectGuarantees(slices.Concat(results, keyed.stop(), keepAlive.stop()))
	Expect(s.brokenConnections).To(BeEmpty(), "connections to instances without a fault broke")
	watch.expectMonotonic()
}

// startFault starts a random fault that may overlap with the active ones. At
// most one fault affects a voter and at most one the upstreams, so that a
// majority of the voters and some upstreams of each service remain.
func (s *soak) startFault() {
	choices := slices.DeleteFunc(slices.Concat(pairFaults, soakOnlyFaults), func(f fault) bool { return !s.mayStart(f) })
	f := choices[s.rng.IntN(len(choices))]
	By("start: " + f.name)
	nodesBefore, upstreamsBefore := keysOf(s.affected), keysOf(s.faultyUpstreams)
	newFault := activeFault{fault: f, end: f.start(s.faultRun)}
	newFault.nodes = slices.DeleteFunc(keysOf(s.affected), func(n *node) bool { return slices.Contains(nodesBefore, n) })
	newFault.upstreams = slices.DeleteFunc(keysOf(s.faultyUpstreams), func(i int) bool { return slices.Contains(upstreamsBefore, i) })
	s.active = append(s.active, newFault)
	s.started[f.name] = true
}

func (s *soak) mayStart(f fault) bool {
	if slices.Contains(excludedSoakFaults, f.name) || s.started[f.name] && slices.Contains(nonRepeatableFaults, f.name) {
		return false
	}
	return !slices.ContainsFunc(s.active, func(active activeFault) bool {
		return active.name == f.name || active.affectsVoter && f.affectsVoter || len(active.upstreams) > 0 && isUpstreamFault(f)
	})
}

func isUpstreamFault(f fault) bool {
	return slices.Contains([]string{"upstream dead", "upstream shedding", "region without upstreams", "upstream drained"}, f.name)
}

// endFault ends a random active fault.
func (s *soak) endFault() {
	i := s.rng.IntN(len(s.active))
	ended := s.active[i]
	s.active = slices.Delete(s.active, i, i+1)
	By("end: " + ended.name)
	ended.end()
	for _, u := range ended.upstreams {
		delete(s.faultyUpstreams, u)
	}
	// Workers send requests to the instances again only when they are ready.
	for _, n := range ended.nodes {
		Eventually(n.checkReady, 40*time.Second).Should(Succeed())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range ended.nodes {
		delete(s.affected, n)
	}
}

// sendKeepAlive sends a request on a reused connection to a random instance. If
// the response is not final, it retries through the running instances.
func (s *soak) sendKeepAlive(rng *rand.Rand, req request) result {
	via := s.nodes[rng.IntN(len(s.nodes))]
	wasAffected := s.isAffected(via)
	r := s.sendWith(keepAliveClient, via, req)
	if r.err != nil && !wasAffected && !s.isAffected(via) {
		s.mu.Lock()
		s.brokenConnections = append(s.brokenConnections, r)
		s.mu.Unlock()
	}
	out := result{request: req, responses: []response{r}}
	if !r.isFinal() {
		out.responses = append(out.responses, s.sendUntilFinal(shuffled(rng, s.runningInstances()), req).responses...)
	}
	return out
}

func (s *soak) isAffected(n *node) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, affected := s.affected[n]
	return affected
}

func keysOf[K comparable, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	return out
}
