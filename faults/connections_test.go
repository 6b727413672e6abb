package faults

import (
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// silenced is the number of idempotent requests that are under way or
	// start while the connections are silent.
	silenced = 800
	// silentWorkers is the number of callers that send them.
	silentWorkers = 24
)

var _ = Describe("connections to upstreams", func() {
	// Guards against requests that wait for connections that will never
	// answer, and against repeats of requests that may have run.
	It("go silent all at once", func() {
		eachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{perDomain: 2})
			once := func(rng *rand.Rand, q request) result {
				return result{request: q, replies: []reply{f.send(f.nodes[rng.IntN(numInstances)], q)}}
			}
			idempotent := f.startTraffic(rng, "silent", silentWorkers, []kind{browse}, once)
			keyed := f.startTraffic(rng, "keyed", 4, []kind{engrave, pay}, f.throughAll())
			idempotent.more(400)
			f.fillPools()
			before := idempotent.count()
			for _, r := range f.relays {
				r.Blackhole()
			}
			idempotent.more(silenced)
			results := idempotent.stop()
			f.expectTruth(results)
			expectMost(results[before:], 99)
			f.expectTruth(keyed.stop())
		})
	})

	// Guards against an entry that takes a part of an answer, or the answer to
	// another request, for the answer.
	It("bring wrong answers", func() {
		eachSeed(func(rng *rand.Rand) {
			m := newMisbehaviour()
			f := newFleet(fleetOptions{perDomain: 2, stub: m.install})
			load := f.startTraffic(rng, "wrong", 16, allKinds, f.throughAll())
			Eventually(m.least, "30s").Should(BeNumerically(">=", wrongAnswers))
			results := load.stop()
			f.expectTruth(results)
			Expect(f.answeredBy(results, badSuffix)).To(BeZero(), "wrong answers were passed on as whole")
			expectMost(ofKind(results, browse), 90)
		})
	})
})

// pooled is the number of requests at one entry that fill its connection pools.
const pooled = 40

// fillPools has every entry open several connections to each upstream, all of
// which are idle afterwards.
func (f *fleet) fillPools() {
	f.setServiceTime(catalogue, 100*time.Millisecond)
	var all []*traffic
	for _, n := range f.nodes {
		all = append(all, f.sendAll(n, browse, "pool-"+string(n.id), pooled))
	}
	for _, t := range all {
		t.wait()
	}
	f.setServiceTime(catalogue, 2*time.Millisecond)
}

// wrongAnswers is the least number of answers with each fault in a test.
const wrongAnswers = 5

// answeredBy counts the done answers of upstreams whose name has the suffix.
func (f *fleet) answeredBy(results []result, suffix string) int {
	n := 0
	for _, r := range results {
		for _, p := range r.replies {
			if p.isDone() && strings.HasSuffix(p.upstream, suffix) {
				n++
			}
		}
	}
	return n
}

// ofKind returns the results of one kind of request.
func ofKind(results []result, k kind) []result {
	var out []result
	for _, r := range results {
		if r.request.kind == k {
			out = append(out, r)
		}
	}
	return out
}
