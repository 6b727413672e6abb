package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/operator"
)

var _ = Describe("planned change", func() {
	// Guards against requests that a graceful shutdown interrupts or refuses
	// although their callers use current lookup responses.
	It("of an entry and of the leader by a graceful shutdown interrupts no request", func() {
		forEachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{})
			load := f.startTraffic(rng, "shutdown", 8, allKinds, f.sendThroughLookups())
			load.waitForResults(100)
			entry := f.entriesOnly()[rng.IntN(len(entryLocations))]
			entry.terminate()
			load.waitForResults(100)
			f.leader().terminate()
			load.waitForResults(100)
			results := load.stop()
			f.expectGuarantees(results)
			expectFirstTryDone(results)
		})
	})

	// Guards against requests that an entry accepts late in its grace period
	// and cuts at its end, because callers that do not follow lookups keep it
	// busy.
	It("of an entry under load that never ends cuts no request", func() {
		forEachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{shutdownGrace: 3_000})
			f.setServiceTime(catalogue, 400*time.Millisecond)
			entry := f.entriesOnly()[rng.IntN(len(entryLocations))]
			load := f.startTraffic(rng, "late", 24, []requestKind{browse, engrave}, func(_ *rand.Rand, req request) result {
				return result{request: req, responses: []response{f.send(entry, req)}}
			})
			load.waitForResults(50)
			entry.terminate()
			results := load.stop()
			expectNoneCut(results)
			refused := slices.ContainsFunc(results, func(r result) bool { return r.last().refusal.Reason == azurestair.ReasonLedgerUnreachable })
			Expect(refused).To(BeTrue(), "no request arrived late in the grace period")
		})
	})

	// Guards against new requests to an upstream that an operator has drained
	// or that drains itself, and against requests that such a drain interrupts.
	It("of upstreams by drains interrupts no request and ends new ones to them", func() {
		forEachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{upstreamsPerDomain: 2})
			process := f.startUpstreamProcess(standaloneUpstreamID)
			Eventually(f.checkReady).Should(Succeed())
			load := f.startTraffic(rng, "drain", 16, allKinds, f.sendThroughLookups())
			Eventually(load.hasUsed, "20s").WithArguments("catalogue-kigali-a-1", "payment-huye-a-0", standaloneUpstreamID).Should(BeTrue())
			var drains []drainedUpstream
			drains = append(drains, f.drainByOperator(f.nodes[rng.IntN(numInstances)], "catalogue-kigali-a-1"))
			f.upstream("payment-huye-a-0").Drain()
			drains = append(drains, drainedUpstream{id: "payment-huye-a-0", drainedAt: time.Now(), bound: drainBound})
			load.waitForResults(200)
			Expect(process.Process.Signal(syscall.SIGTERM)).To(Succeed())
			drains = append(drains, drainedUpstream{id: standaloneUpstreamID, drainedAt: time.Now(), bound: drainBound})
			Expect(process.Wait()).To(Succeed())
			load.runUntilChecked(drains)
			results := load.stop()
			f.expectGuarantees(results)
			expectFirstTryDone(results)
			expectNoneAfterDrain(results, drains)
		})
	})

	// Guards against an entry that continues to use an upstream after it has
	// announced that it drains, because the entry is partitioned from the
	// control instances, and against the loss of upstreams that announce to
	// such an entry.
	It("of an upstream that drains itself ends new requests to it, also from an entry that is partitioned from control", func() {
		forEachSeed(func(rng *rand.Rand) {
			// With this many upstreams some of them announce to the partitioned
			// entry.
			f := newFleet(fleetOptions{upstreamsPerDomain: 4})
			f.drainDuringPartition(rng, func(id string) drainedUpstream {
				f.upstream(id).Drain()
				return drainedUpstream{id: id, drainedAt: time.Now(), bound: partitionedDrainBound}
			})
		})
	})

	// Guards against the same after a drain by an operator, which the control
	// instances cannot report to the partitioned entry.
	It("of an upstream that an operator drains ends new requests to it, also from an entry that is partitioned from control", func() {
		forEachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{upstreamsPerDomain: 2})
			f.drainDuringPartition(rng, func(id string) drainedUpstream {
				d := f.drainByOperator(f.voters()[0], id)
				d.bound = partitionedDrainBound
				return d
			})
		})
	})
})

// drainDuringPartition partitions an entry from its peers, drains an upstream
// in its region and checks that the upstream then gets no new requests.
func (f *fleet) drainDuringPartition(rng *rand.Rand, drain func(id string) drainedUpstream) {
	partitioned := f.entriesOnly()[rng.IntN(len(entryLocations))]
	f.partition(partitioned)
	load := f.startTraffic(rng, "cut", 6, []requestKind{browse}, func(rng *rand.Rand, req request) result {
		via := f.nodes[rng.IntN(numInstances)]
		if rng.IntN(2) == 0 {
			via = partitioned
		}
		return result{request: req, responses: []response{f.send(via, req)}}
	})
	load.waitForResults(200)
	drains := []drainedUpstream{drain(fmt.Sprintf("catalogue-%s-a-1", partitioned.location.region))}
	load.runUntilChecked(drains)
	Eventually(partitioned.checkReady).Should(MatchError(errNotReady))
	f.expectUpstreamsConfirmed(f.others(partitioned))
	results := load.stop()
	f.expectGuarantees(results)
	expectNoneAfterDrain(results, drains)
}

// expectUpstreamsConfirmed checks that the given instances know all upstreams
// as confirmed.
func (f *fleet) expectUpstreamsConfirmed(nodes []*node) {
	for _, n := range nodes {
		st, err := n.status()
		Expect(err).NotTo(HaveOccurred())
		Expect(st.Upstreams).To(HaveLen(len(f.upstreams)))
		for _, u := range st.Upstreams {
			Expect(u.Confirmed).To(BeTrue(), "%s at %s", u.Announcement.Upstream, n.id)
		}
	}
}

const (
	// drainBound is the time after which a drained upstream gets no new
	// requests.
	drainBound = time.Second
	// partitionedDrainBound is the same while an entry is partitioned from the
	// control instances.
	partitionedDrainBound = 3 * time.Second
	// drainCheckPeriod is how long the load continues after the bound.
	drainCheckPeriod = 1500 * time.Millisecond
)

// drainedUpstream is an upstream that has been drained, and the bound after
// which it gets no new requests.
type drainedUpstream struct {
	id        string
	drainedAt time.Time
	bound     time.Duration
}

// drainByOperator drains an upstream through an instance. The bound counts from
// the operator's receipt of the response.
func (f *fleet) drainByOperator(via *node, id string) drainedUpstream {
	_, err := via.operatorClient().Drain(context.Background(), operator.DrainRequest{
		ChangeID: azurestair.ChangeID("drain-" + id), Reason: "test",
		Target: azurestair.Target{Kind: azurestair.TargetUpstream, Name: id},
	})
	Expect(err).NotTo(HaveOccurred())
	return drainedUpstream{id: id, drainedAt: time.Now(), bound: drainBound}
}

// runUntilChecked lets the load continue until drainCheckPeriod after the
// bounds of all drains.
func (t *traffic) runUntilChecked(drains []drainedUpstream) {
	for _, d := range drains {
		end := d.drainedAt.Add(d.bound + drainCheckPeriod)
		Eventually(func() bool { return time.Now().After(end) }).Should(BeTrue())
	}
}

// hasUsed reports whether each of the upstreams has answered a request.
func (t *traffic) hasUsed(ids ...string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	unseen := map[string]bool{}
	for _, id := range ids {
		unseen[id] = true
	}
	for _, r := range t.results {
		delete(unseen, r.last().upstream)
	}
	return len(unseen) == 0
}

// expectNoneAfterDrain checks that each drained upstream answered requests
// before its drain and none that was sent after the bound.
func expectNoneAfterDrain(results []result, drains []drainedUpstream) {
	for _, d := range drains {
		before := 0
		var after []string
		for _, r := range results {
			for _, resp := range r.responses {
				switch {
				case resp.upstream != d.id:
				case resp.sentAt.Before(d.drainedAt):
					before++
				case resp.sentAt.After(d.drainedAt.Add(d.bound)):
					after = append(after, fmt.Sprintf("%v sent %v after the drain", resp, resp.sentAt.Sub(d.drainedAt)))
				}
			}
		}
		Expect(before).NotTo(BeZero(), "%s was not in use before its drain", d.id)
		Expect(after).To(BeEmpty(), "%s got new requests later than %v after its drain", d.id, d.bound)
	}
}

// expectFirstTryDone checks that every request was done at its first try.
func expectFirstTryDone(results []result) {
	var failed []string
	for _, r := range results {
		if len(r.responses) != 1 || !r.last().isDone() {
			failed = append(failed, r.String())
		}
	}
	Expect(failed).To(BeEmpty(), "%d of %d requests not done at the first try", len(failed), len(results))
}

// expectNoneCut checks that every request that ran was answered.
func expectNoneCut(results []result) {
	var cut []string
	for _, r := range results {
		if r.last().err != nil && r.last().runsOnReceipt > 0 {
			cut = append(cut, r.String())
		}
	}
	Expect(cut).To(BeEmpty(), "%d of %d requests cut", len(cut), len(results))
}

// lookupCache holds the lookup responses of the workers, by their random
// source.
type lookupCache struct {
	fleet     *fleet
	mu        sync.Mutex
	responses map[*rand.Rand]cachedLookup
}

// cachedLookup is a lookup response and the time until which it may be used.
type cachedLookup struct {
	response caller.LookupResponse
	expires  time.Time
}

// sendThroughLookups returns a send function for startTraffic that sends a
// request once, to the first entry of an unexpired lookup response.
func (f *fleet) sendThroughLookups() func(*rand.Rand, request) result {
	cache := &lookupCache{fleet: f, responses: map[*rand.Rand]cachedLookup{}}
	return func(rng *rand.Rand, req request) result {
		return result{request: req, responses: []response{f.send(cache.entryFor(rng), req)}}
	}
}

// entryFor returns the entry that the worker with this random source uses now.
func (c *lookupCache) entryFor(rng *rand.Rand) *node {
	c.mu.Lock()
	cached := c.responses[rng]
	c.mu.Unlock()
	if time.Now().After(cached.expires) || len(cached.response.Entries) == 0 {
		cached = c.fleet.newLookup(rng)
		c.mu.Lock()
		c.responses[rng] = cached
		c.mu.Unlock()
	}
	for _, n := range c.fleet.nodes {
		if n.id == cached.response.Entries[0].Instance {
			return n
		}
	}
	panic("lookup returned unknown entry " + cached.response.Entries[0].Instance)
}

// newLookup asks one instance after the other until one answers the lookup.
func (f *fleet) newLookup(rng *rand.Rand) cachedLookup {
	block := fmt.Sprintf("10.%d.%d.1", rng.IntN(256), rng.IntN(256))
	for {
		for _, n := range shuffled(rng, f.nodes) {
			asked := time.Now()
			lookupResp, err := n.lookup(block)
			if err == nil && len(lookupResp.Entries) > 0 {
				return cachedLookup{response: lookupResp, expires: asked.Add(lookupResp.TTLMs.Duration())}
			}
		}
	}
}

// startUpstreamProcess starts an upstream of the catalogue as a separate
// process and waits until all instances know it.
func (f *fleet) startUpstreamProcess(id string) *exec.Cmd {
	var entries []string
	for _, n := range f.nodes {
		entries = append(entries, n.upstreamAddr)
	}
	cmd := exec.Command(filepath.Join(binDir, "azurestair-upstream"), "-id", id, "-service", string(catalogue),
		"-region", string(controlLocations[0].region), "-domain", string(controlLocations[0].domain),
		"-token", upstreamToken, "-entries", strings.Join(entries, ","))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Expect(cmd.Start()).To(Succeed())
	DeferCleanup(func() { _ = cmd.Process.Kill() })
	Eventually(func(g Gomega) {
		for _, n := range f.nodes {
			st, err := n.status()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(len(st.Upstreams)).To(BeNumerically(">", len(f.upstreams)))
		}
	}).Should(Succeed())
	return cmd
}
