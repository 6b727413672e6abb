package faults

import (
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// silencedRequests is the number of idempotent requests that are in
	// progress or start while the connections are silent.
	silencedRequests = 800
	// silencedWorkers is the number of workers that send these requests.
	silencedWorkers = 24
)

var _ = Describe("connections to upstreams", func() {
	// Guards against requests that wait on connections that deliver nothing any
	// more, and against retries of requests that may have run and are not
	// idempotent.
	It("may all stall at once while at least 99% of the idempotent requests are done", func() {
		forEachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{upstreamsPerDomain: 2})
			sendOnce := func(rng *rand.Rand, req request) result {
				return result{request: req, responses: []response{f.send(f.nodes[rng.IntN(numInstances)], req)}}
			}
			idempotent := f.startTraffic(rng, "silent", silencedWorkers, []requestKind{browse}, sendOnce)
			keyed := f.startTraffic(rng, "keyed", 4, []requestKind{engrave, pay}, f.sendThroughAllEntries())
			idempotent.waitForResults(400)
			f.fillConnectionPools()
			countBefore := idempotent.count()
			for _, r := range f.upstreamRelays {
				r.Blackhole()
			}
			idempotent.waitForResults(silencedRequests)
			results := idempotent.stop()
			f.expectGuarantees(results)
			expectDonePercent(results[countBefore:], 99)
			f.expectGuarantees(keyed.stop())
		})
	})

	// Guards against an entry that passes on a truncated response, or the
	// response to another request, as the response to a request.
	It("may return wrong responses, none of which is passed on as done", func() {
		forEachSeed(func(rng *rand.Rand) {
			injected := newResponseFaults()
			f := newFleet(fleetOptions{upstreamsPerDomain: 2, modifyStub: injected.applyTo})
			load := f.startTraffic(rng, "wrong", 16, allKinds, f.sendThroughAllEntries())
			Eventually(injected.minPerFault, "30s").Should(BeNumerically(">=", minWrongResponses))
			results := load.stop()
			f.expectGuarantees(results)
			Expect(f.countDoneBy(results, faultySuffix)).To(BeZero(), "wrong responses were passed on as done")
			expectDonePercent(filterKind(results, browse), 90)
		})
	})
})

// poolFillRequests is the number of concurrent requests at one entry that fill
// its connection pools.
const poolFillRequests = 40

// fillConnectionPools makes every entry open several connections to each
// catalogue upstream. All of them are idle afterwards.
func (f *fleet) fillConnectionPools() {
	f.setServiceTime(catalogue, 100*time.Millisecond)
	var all []*traffic
	for _, n := range f.nodes {
		all = append(all, f.sendConcurrently(n, browse, "pool-"+string(n.id), poolFillRequests))
	}
	for _, t := range all {
		t.wait()
	}
	f.setServiceTime(catalogue, 2*time.Millisecond)
}

// minWrongResponses is how often each response fault is injected, at least.
const minWrongResponses = 5

// countDoneBy counts the responses with outcome done from upstreams whose ID
// has the suffix.
func (f *fleet) countDoneBy(results []result, suffix string) int {
	n := 0
	for _, r := range results {
		for _, resp := range r.responses {
			if resp.isDone() && strings.HasSuffix(resp.upstream, suffix) {
				n++
			}
		}
	}
	return n
}

// filterKind returns the results of requests of one kind.
func filterKind(results []result, k requestKind) []result {
	var out []result
	for _, r := range results {
		if r.request.kind == k {
			out = append(out, r)
		}
	}
	return out
}
