package faults

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/relay"
)

var _ = Describe("entry", func() {
	// Guards against a second execution of requests whose entry was killed
	// after it had sent them to an upstream, and against lookups that still
	// return the killed entry.
	It("is killed with requests in flight", func() {
		forEachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{})
			victim := f.entriesOnly()[rng.IntN(len(entryLocations))]
			rest := f.others(victim)
			load := f.startTraffic(rng, "other", 6, allKinds, func(rng *rand.Rand, req request) result {
				return f.sendUntilFinal(shuffled(rng, rest), req)
			})
			load.waitForResults(50)
			f.hold(payment, "held")
			held := f.sendConcurrently(victim, pay, "held", 8)
			Eventually(func() int { return f.totalRuns("held", 8) }).Should(Equal(8))
			victim.kill()
			held.wait()
			for _, r := range held.results {
				retried := f.sendUntilFinal(shuffled(rng, rest), r.request)
				Expect(retried.last().outcome).To(Equal(azurestair.OutcomeUnknown), "%v", retried)
				Expect(retried.last().refusal.Reason).To(Equal(azurestair.ReasonEntryLost), "%v", retried)
				Expect(retried.last().refusal.NotRun).To(BeFalse(), "%v", retried)
				Expect(f.runs(r.request.id)).To(Equal(1), "%v", retried)
			}
			for _, n := range rest {
				Eventually(n.lookupIncludes).WithArguments(victim).Should(BeFalse())
			}
			load.waitForResults(200)
			results := load.stop()
			f.expectGuarantees(results)
			expectDonePercent(results, 95)
		})
	})

	// Guards against an entry that is suspended while its claims are in
	// progress and, once resumed, sends a claimed request after its deadline or
	// treats an old configuration as current. The delayed responses of the
	// control instances keep the claims in progress.
	It("is suspended with claims in progress and resumed", func() {
		forEachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{})
			watch := f.watchVersions()
			victim := f.entriesOnly()[rng.IntN(len(entryLocations))]
			rest := f.others(victim)
			claimsBefore := f.claimCount()
			for _, r := range victim.controlRelays {
				r.SetDelay(relay.FromTarget, 400*time.Millisecond)
			}
			held := f.sendConcurrently(victim, pay, "claimed", 20)
			Eventually(f.claimCount).Should(BeNumerically(">", claimsBefore))
			victim.suspend()
			runsBefore := f.totalRuns("claimed", 20)
			deadline := time.Now().Add(payTimeout.Duration())
			v := f.apply(rest[0], 1, "while-frozen")
			for _, r := range victim.controlRelays {
				r.SetDelay(relay.FromTarget, 0)
			}
			Eventually(f.checkConfigVersion).WithArguments(v, rest[0], rest[1]).Should(Succeed())
			Eventually(rest[0].lookupIncludes).WithArguments(victim).Should(BeFalse())
			Eventually(func() bool { return time.Now().After(deadline) }).Should(BeTrue())
			victim.resume()
			f.expectReadyOnlyWithVersion(victim, v)
			held.wait()
			Expect(f.totalRuns("claimed", 20)).To(Equal(runsBefore), "requests were sent after their deadline")
			f.expectGuarantees(held.results)
			for _, r := range held.results {
				retried := f.sendUntilFinal(shuffled(rng, rest), r.request)
				f.expectResultGuarantees(retried)
			}
			Eventually(rest[0].lookupIncludes).WithArguments(victim).Should(BeTrue())
			watch.expectMonotonic()
		})
	})
})

// hold makes the upstreams of a service leave requests unanswered whose IDs
// begin with the prefix.
func (f *fleet) hold(s azurestair.ServiceName, prefix string) {
	for _, u := range f.upstreams {
		if u.Service() == s {
			u.HoldRequests(prefix)
		}
	}
}

// setServiceTime sets the service time of all upstreams of a service.
func (f *fleet) setServiceTime(s azurestair.ServiceName, d time.Duration) {
	for _, u := range f.upstreams {
		if u.Service() == s {
			u.SetServiceTime(d)
		}
	}
}

// sendConcurrently sends n requests of one kind through one entry at the same
// time, each of them once.
func (f *fleet) sendConcurrently(via *node, k requestKind, name string, n int) *traffic {
	t := &traffic{fleet: f}
	for i := range n {
		t.wg.Go(func() {
			req := request{kind: k, id: fmt.Sprintf("%s-%d", name, i)}
			t.addResult(result{request: req, responses: []response{f.send(via, req)}})
		})
	}
	return t
}

// wait waits until all requests have completed.
func (t *traffic) wait() { t.wg.Wait() }

// totalRuns returns how many executions the n requests of a sendConcurrently
// call with this name had in total.
func (f *fleet) totalRuns(name string, n int) int {
	runs := 0
	for i := range n {
		runs += f.runs(fmt.Sprintf("%s-%d", name, i))
	}
	return runs
}

// claimCount returns the number of records in the leader's ledger, or -1 if
// there is no leader.
func (f *fleet) claimCount() int {
	for _, n := range f.voters() {
		st, err := n.status()
		if err == nil && st.Replica != nil && st.Replica.State == "leader" {
			return st.Replica.Claims
		}
	}
	return -1
}

// expectReadyOnlyWithVersion waits until an instance is ready and checks that
// it does not report itself ready or current with an older version than v.
func (f *fleet) expectReadyOnlyWithVersion(n *node, v azurestair.ConfigVersion) {
	Eventually(func(g Gomega) {
		isReady := n.checkReady() == nil
		st, err := n.status()
		g.Expect(err).NotTo(HaveOccurred())
		if isReady || st.Current || st.Self.Ready {
			Expect(st.ConfigVersion).To(BeNumerically(">=", v), "%s is ready or current with an old configuration", n.id)
		}
		g.Expect(st.Current).To(BeTrue())
		g.Expect(isReady).To(BeTrue())
	}).Should(Succeed())
}
