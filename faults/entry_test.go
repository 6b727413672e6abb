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
	// Guards against a second run of requests whose entry died after it had
	// sent them, and against callers that are still sent to the dead entry.
	It("dies with requests in hand", func() {
		eachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{})
			victim := f.entriesOnly()[rng.IntN(len(entryPlaces))]
			rest := f.others(victim)
			load := f.startTraffic(rng, "other", 6, allKinds, func(rng *rand.Rand, q request) result {
				return f.follow(shuffled(rng, rest), q)
			})
			load.more(50)
			f.hold(payment, "held")
			held := f.sendAll(victim, pay, "held", 8)
			Eventually(func() int { return f.runsOf("held", 8) }).Should(Equal(8))
			victim.kill()
			held.wait()
			for _, r := range held.results {
				again := f.follow(shuffled(rng, rest), r.request)
				Expect(again.last().outcome).To(Equal(azurestair.OutcomeUnknown), "%v", again)
				Expect(again.last().refusal.Reason).To(Equal(azurestair.ReasonEntryLost), "%v", again)
				Expect(again.last().refusal.NotRun).To(BeFalse(), "%v", again)
				Expect(f.runs(r.request.id)).To(Equal(1), "%v", again)
			}
			for _, n := range rest {
				Eventually(n.lookupNames).WithArguments(victim).Should(BeFalse())
			}
			load.more(200)
			results := load.stop()
			f.expectTruth(results)
			expectMost(results, 95)
		})
	})

	// Guards against a frozen entry that sends a claimed request after its
	// deadline, or takes an old configuration for the newest, once it runs again.
	It("is frozen with claims in hand and runs again", func() {
		eachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{})
			watch := f.watchVersions()
			victim := f.entriesOnly()[rng.IntN(len(entryPlaces))]
			rest := f.others(victim)
			claims := f.claims()
			for _, r := range victim.links {
				r.SetDelay(relay.FromTarget, 400*time.Millisecond)
			}
			held := f.sendAll(victim, pay, "claimed", 20)
			Eventually(f.claims).Should(BeNumerically(">", claims))
			victim.freeze()
			ran := f.runsOf("claimed", 20)
			deadline := time.Now().Add(payTimeout.Duration())
			v := f.apply(rest[0], 1, "while-frozen")
			for _, r := range victim.links {
				r.SetDelay(relay.FromTarget, 0)
			}
			Eventually(f.inForce).WithArguments(v, rest[0], rest[1]).Should(Succeed())
			Eventually(rest[0].lookupNames).WithArguments(victim).Should(BeFalse())
			Eventually(func() bool { return time.Now().After(deadline) }).Should(BeTrue())
			victim.thaw()
			f.expectCurrentOnly(victim, v)
			held.wait()
			Expect(f.runsOf("claimed", 20)).To(Equal(ran), "sent after the deadline")
			f.expectTruth(held.results)
			for _, r := range held.results {
				again := f.follow(shuffled(rng, rest), r.request)
				f.expectTrue(again)
			}
			Eventually(rest[0].lookupNames).WithArguments(victim).Should(BeTrue())
			watch.expectMonotone()
		})
	})
})

// hold keeps the requests of a service whose ids begin with the prefix unanswered.
func (f *fleet) hold(s azurestair.ServiceName, prefix string) {
	for _, u := range f.upstreams {
		if u.Service() == s {
			u.HoldRequests(prefix)
		}
	}
}

// setServiceTime changes how long the requests of a service take.
func (f *fleet) setServiceTime(s azurestair.ServiceName, d time.Duration) {
	for _, u := range f.upstreams {
		if u.Service() == s {
			u.SetServiceTime(d)
		}
	}
}

// sendAll sends n requests of one kind through one entry at the same time, once each.
func (f *fleet) sendAll(at *node, k kind, name string, n int) *traffic {
	t := &traffic{fleet: f}
	for i := range n {
		t.wg.Go(func() {
			q := request{kind: k, id: fmt.Sprintf("%s-%d", name, i)}
			t.add(result{request: q, replies: []reply{f.send(at, q)}})
		})
	}
	return t
}

// wait waits until all requests have ended.
func (t *traffic) wait() { t.wg.Wait() }

// runsOf returns how often the n requests of sendAll ran together.
func (f *fleet) runsOf(name string, n int) int {
	runs := 0
	for i := range n {
		runs += f.runs(fmt.Sprintf("%s-%d", name, i))
	}
	return runs
}

// claims returns the number of records in the leader's ledger, or -1 while there is no leader.
func (f *fleet) claims() int {
	for _, n := range f.voters() {
		st, err := n.status()
		if err == nil && st.Replica != nil && st.Replica.State == "leader" {
			return st.Replica.Claims
		}
	}
	return -1
}

// expectCurrentOnly checks that an instance never calls itself ready with an
// older version than v, until it has v.
func (f *fleet) expectCurrentOnly(n *node, v azurestair.ConfigVersion) {
	Eventually(func(g Gomega) {
		isReady := n.ready() == nil
		st, err := n.status()
		g.Expect(err).NotTo(HaveOccurred())
		if isReady || st.Current || st.Self.Ready {
			Expect(st.ConfigVersion).To(BeNumerically(">=", v), "%s takes an old configuration for the newest", n.id)
		}
		g.Expect(st.Current).To(BeTrue())
		g.Expect(isReady).To(BeTrue())
	}).Should(Succeed())
}
