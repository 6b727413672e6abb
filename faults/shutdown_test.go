package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
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
	// Guards against requests that a graceful shutdown cuts or refuses while
	// their callers follow look-ups.
	It("of an entry and of the leader by a graceful shutdown", func() {
		eachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{})
			load := f.startTraffic(rng, "shutdown", 8, allKinds, f.followLookups())
			load.more(100)
			entry := f.entriesOnly()[rng.IntN(len(entryPlaces))]
			entry.terminate()
			load.more(100)
			f.leader().terminate()
			load.more(100)
			results := load.stop()
			f.expectTruth(results)
			expectUncut(results)
		})
	})

	// Guards against new work for an upstream that an operator has drained or
	// that has announced its end, and against requests that such a drain cuts.
	It("of upstreams by drains", func() {
		eachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{perDomain: 2})
			process := f.startUpstreamProcess(upstreamProcess)
			Eventually(f.whole).Should(Succeed())
			load := f.startTraffic(rng, "drain", 16, allKinds, f.followLookups())
			Eventually(load.uses, "20s").WithArguments("catalogue-kigali-a-1", "payment-huye-a-0", upstreamProcess).Should(BeTrue())
			var drains []drained
			drains = append(drains, f.drainByOperator(f.nodes[rng.IntN(numInstances)], "catalogue-kigali-a-1"))
			f.upstream("payment-huye-a-0").Drain()
			drains = append(drains, drained{id: "payment-huye-a-0", at: time.Now(), bound: drainBound})
			load.more(200)
			Expect(process.Process.Signal(syscall.SIGTERM)).To(Succeed())
			drains = append(drains, drained{id: upstreamProcess, at: time.Now(), bound: drainBound})
			Expect(process.Wait()).To(Succeed())
			load.until(drains)
			results := load.stop()
			f.expectTruth(results)
			expectUncut(results)
			expectDrained(results, drains)
		})
	})

	// Guards against an entry that goes on to use an upstream after its end was
	// announced, because the entry is cut off from control, and against the
	// loss of the upstreams that announce themselves at such an entry.
	It("of an upstream by itself while an entry is cut off from control", func() {
		eachSeed(func(rng *rand.Rand) {
			// With so many upstreams some announce themselves at the entry.
			f := newFleet(fleetOptions{perDomain: 4})
			f.whileCutOff(rng, func(id string) drained {
				f.upstream(id).Drain()
				return drained{id: id, at: time.Now(), bound: cutOffBound}
			})
		})
	})

	// Guards against the same after a drain by an operator, of which the
	// entry cannot learn from control.
	It("of an upstream by an operator while an entry is cut off from control", func() {
		eachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{perDomain: 2})
			f.whileCutOff(rng, func(id string) drained {
				d := f.drainByOperator(f.voters()[0], id)
				d.bound = cutOffBound
				return d
			})
		})
	})
})

// whileCutOff drains an upstream in the region of an entry that is cut off from control.
func (f *fleet) whileCutOff(rng *rand.Rand, drain func(id string) drained) {
	cut := f.entriesOnly()[rng.IntN(len(entryPlaces))]
	f.partition(cut)
	load := f.startTraffic(rng, "cut", 6, []kind{browse}, func(rng *rand.Rand, q request) result {
		at := f.nodes[rng.IntN(numInstances)]
		if rng.IntN(2) == 0 {
			at = cut
		}
		return result{request: q, replies: []reply{f.send(at, q)}}
	})
	load.more(200)
	drains := []drained{drain(fmt.Sprintf("catalogue-%s-a-1", cut.place.region))}
	load.until(drains)
	Eventually(cut.ready).Should(MatchError(errNotReady))
	f.expectConfirmed(f.others(cut))
	results := load.stop()
	f.expectTruth(results)
	expectDrained(results, drains)
}

// expectConfirmed checks that no upstream is lost to the given instances.
func (f *fleet) expectConfirmed(nodes []*node) {
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
	// drainBound is when a drained upstream gets no new request any more.
	drainBound = time.Second
	// cutOffBound is the same while an entry is cut off from control.
	cutOffBound = 3 * time.Second
	// checkedFor is how long the load goes on after the bound.
	checkedFor = 1500 * time.Millisecond
)

// drained is an upstream whose end was announced.
type drained struct {
	id    string
	at    time.Time
	bound time.Duration
}

// drainByOperator drains an upstream and returns when the operator had the answer.
func (f *fleet) drainByOperator(at *node, id string) drained {
	_, err := at.admin().Drain(context.Background(), operator.DrainRequest{
		ChangeID: azurestair.ChangeID("drain-" + id), Reason: "test",
		Target: azurestair.Target{Kind: azurestair.TargetUpstream, Name: id},
	})
	Expect(err).NotTo(HaveOccurred())
	return drained{id: id, at: time.Now(), bound: drainBound}
}

// until keeps the load going until all drains have been checked for long enough.
func (t *traffic) until(drains []drained) {
	for _, d := range drains {
		end := d.at.Add(d.bound + checkedFor)
		Eventually(func() bool { return time.Now().After(end) }).Should(BeTrue())
	}
}

// uses reports whether each of the upstreams has answered a request.
func (t *traffic) uses(ids ...string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := map[string]bool{}
	for _, id := range ids {
		left[id] = true
	}
	for _, r := range t.results {
		delete(left, r.last().upstream)
	}
	return len(left) == 0
}

// expectDrained checks that no request sent after a drain's bound was answered by the upstream.
func expectDrained(results []result, drains []drained) {
	for _, d := range drains {
		before := 0
		var after []string
		for _, r := range results {
			for _, p := range r.replies {
				switch {
				case p.upstream != d.id:
				case p.sent.Before(d.at):
					before++
				case p.sent.After(d.at.Add(d.bound)):
					after = append(after, fmt.Sprintf("%v after %v", p, p.sent.Sub(d.at)))
				}
			}
		}
		Expect(before).NotTo(BeZero(), "%s was not in use", d.id)
		Expect(after).To(BeEmpty(), "%s got new requests after %v", d.id, d.bound)
	}
}

// expectUncut checks that every request was done at its first try.
func expectUncut(results []result) {
	var failed []string
	for _, r := range results {
		if len(r.replies) != 1 || !r.last().isDone() {
			failed = append(failed, r.String())
		}
	}
	Expect(failed).To(BeEmpty(), "%d of %d requests", len(failed), len(results))
}

// lookups is what a caller keeps of its look-ups.
type lookups struct {
	fleet *fleet
	mu    sync.Mutex
	found map[*rand.Rand]kept
}

// kept is a look-up answer with the time until which it may be used.
type kept struct {
	answer caller.LookupResponse
	until  time.Time
}

// followLookups returns a serve function that sends a request once, to the
// first entry of a look-up that has not run out.
func (f *fleet) followLookups() func(*rand.Rand, request) result {
	l := &lookups{fleet: f, found: map[*rand.Rand]kept{}}
	return func(rng *rand.Rand, q request) result {
		return result{request: q, replies: []reply{f.send(l.entry(rng), q)}}
	}
}

// entry returns the entry that the worker with this random source uses now.
func (l *lookups) entry(rng *rand.Rand) *node {
	l.mu.Lock()
	k := l.found[rng]
	l.mu.Unlock()
	if time.Now().After(k.until) || len(k.answer.Entries) == 0 {
		k = l.fleet.freshLookup(rng)
		l.mu.Lock()
		l.found[rng] = k
		l.mu.Unlock()
	}
	for _, n := range l.fleet.nodes {
		if n.id == k.answer.Entries[0].Instance {
			return n
		}
	}
	panic("look-up named " + k.answer.Entries[0].Instance)
}

// freshLookup asks one instance after the other.
func (f *fleet) freshLookup(rng *rand.Rand) kept {
	block := fmt.Sprintf("10.%d.%d.1", rng.IntN(256), rng.IntN(256))
	for {
		for _, n := range shuffled(rng, f.nodes) {
			asked := time.Now()
			a, err := n.lookup(block)
			if err == nil && len(a.Entries) > 0 {
				return kept{answer: a, until: asked.Add(a.TTLMs.Duration())}
			}
		}
	}
}

// startUpstreamProcess starts an upstream of the catalogue as a process of its own.
func (f *fleet) startUpstreamProcess(id string) *exec.Cmd {
	var entries []string
	for _, n := range f.nodes {
		entries = append(entries, n.upstreams)
	}
	cmd := exec.Command(filepath.Join(binaries, "azurestair-upstream"), "-id", id, "-service", string(catalogue),
		"-region", string(controlPlaces[0].region), "-domain", string(controlPlaces[0].domain),
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
