package placement_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/placement"
	"azurestair.example/azurestair/routing"
)

// demandOf returns a plan for n objects whose demand falls with their number.
func demandOf(region azurestair.RegionName, n int) azurestair.ObjectPlan {
	plan := azurestair.ObjectPlan{Service: "desk", Region: region}
	for i := range n {
		plan.Objects = append(plan.Objects, azurestair.ObjectDemand{Object: objectOf(i), Demand: azurestair.MilliSlots(4000 / (i + 1))})
	}
	slices.SortFunc(plan.Objects, func(a, b azurestair.ObjectDemand) int {
		if a.Object < b.Object {
			return -1
		}
		return 1
	})
	return plan
}

// publishObjects publishes object plans and upstreams to all entries.
func (h *harness) publishObjects(plan azurestair.ObjectPlan, list ...azurestair.Announcement) {
	cfg := *h.snap.Config
	cfg.Defaults.SpreadObjects, cfg.Routes = true, make([]azurestair.Route, 1)
	h.snap.Config, h.snap.Objects = &cfg, []azurestair.ObjectPlan{plan}
	h.set(list...)
}

// copiesOf returns the upstreams to which an entry sends requests for an
// object, sorted.
func (h *harness) copiesOf(entry, object int) []azurestair.UpstreamID {
	GinkgoHelper()
	var out []azurestair.UpstreamID
	for range 100 {
		out = append(out, h.place(entry, workOn(object)).Upstream)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// allCopies returns the copies of n objects.
func (h *harness) allCopies(entry, n int) map[int][]azurestair.UpstreamID {
	GinkgoHelper()
	out := map[int][]azurestair.UpstreamID{}
	for i := range n {
		out[i] = h.copiesOf(entry, i)
	}
	return out
}

// movedCopies returns the fraction of the copies in a that are not in b.
func movedCopies(a, b map[int][]azurestair.UpstreamID) float64 {
	moved, all := 0.0, 0.0
	for i, list := range a {
		for _, u := range list {
			all++
			if !slices.Contains(b[i], u) {
				moved++
			}
		}
	}
	return moved / all
}

var _ = Describe("a published object", func() {
	const objects = 60

	// Guards against entries that keep an object warm on different upstreams.
	It("is served by the same upstreams on every entry", func() {
		h := newHarness(3, "huye")
		h.publishObjects(demandOf("huye", objects), upstreams("huye", 30)...)
		Expect(h.allCopies(1, objects)).To(Equal(h.allCopies(0, objects)))
		Expect(h.allCopies(2, objects)).To(Equal(h.allCopies(0, objects)))
	})

	// Guards against a frequent object that overloads one upstream.
	It("is served by as many upstreams as its demand needs", func() {
		h := newHarness(1, "huye")
		h.publishObjects(demandOf("huye", objects), upstreams("huye", 30)...)
		copies := h.allCopies(0, objects)
		Expect(len(copies[0])).To(BeNumerically(">", 10))
		Expect(copies[objects-1]).To(HaveLen(1))
	})

	// Guards against an assignment that gives an upstream more than its part.
	It("loads no upstream with much more than the mean", func() {
		h := newHarness(1, "huye")
		plan := demandOf("huye", objects)
		h.publishObjects(plan, upstreams("huye", 30)...)
		load, total := map[azurestair.UpstreamID]float64{}, 0.0
		for i, copies := range h.allCopies(0, objects) {
			d := 4000.0 / float64(i+1)
			total += d
			for _, u := range copies {
				load[u] += d / float64(len(copies))
			}
		}
		for _, n := range load {
			Expect(n).To(BeNumerically("<", 1.25*total/30))
		}
	})

	// Guards against objects that become cold everywhere when one upstream is
	// added or removed.
	It("mostly keeps its upstreams when an upstream leaves and returns", func() {
		list := upstreams("huye", 30)
		h := newHarness(1, "huye")
		h.publishObjects(demandOf("huye", objects), list...)
		before := h.allCopies(0, objects)
		h.publishObjects(demandOf("huye", objects), slices.Concat(list[:7], list[8:])...)
		Expect(movedCopies(before, h.allCopies(0, objects))).To(BeNumerically("<", 0.2))
		h.publishObjects(demandOf("huye", objects), list...)
		Expect(h.allCopies(0, objects)).To(Equal(before))
	})

	// Guards against a plan in which the demand of one object moves all others.
	It("mostly keeps its upstreams when the demand of another object changes", func() {
		list := upstreams("huye", 30)
		h := newHarness(1, "huye")
		plan := demandOf("huye", objects)
		h.publishObjects(plan, list...)
		before := h.allCopies(0, objects)
		plan.Objects = slices.Clone(plan.Objects)
		plan.Objects[objects/2].Demand = plan.Objects[objects/2].Demand*13/10 + 1
		h.publishObjects(plan, list...)
		Expect(movedCopies(before, h.allCopies(0, objects))).To(BeNumerically("<", 0.1))
	})

	// Guards against entries that all send the first requests for an object to
	// the same idle copy.
	It("is requested from different copies by different entries", func() {
		h := newHarness(40, "huye")
		h.publishObjects(demandOf("huye", objects), upstreams("huye", 30)...)
		first := map[azurestair.UpstreamID]int{}
		for e := range h.pickers {
			first[h.place(e, workOn(0)).Upstream]++
		}
		for _, n := range first {
			Expect(n).To(BeNumerically("<", 15))
		}
	})

	// Guards against a copy that still gets its turn while it is busy.
	It("avoids a copy that is more than one slot busier than the next ones", func() {
		h := newHarness(1, "huye")
		h.publishObjects(demandOf("huye", objects), upstreams("huye", 30)...)
		copies := h.copiesOf(0, 0)
		c := h.place(0, workOn(0))
		h.pickers[0].Observe(c, azurestair.Observation{Load: &azurestair.Load{InFlight: 4, Queued: 1}}, h.now)
		for range len(copies) {
			Expect(h.place(0, workOn(0)).Upstream).NotTo(Equal(c.Upstream))
		}
		h.now = h.now.Add(time.Second)
		Expect(h.copiesOf(0, 0)).To(ContainElement(c.Upstream), "an old report no longer counts")
	})

	// Guards against an overload that spreads over all upstreams and evicts
	// their cached objects.
	It("overflows to the next upstreams of its ranking, and is then refused", func() {
		h := newHarness(1, "huye")
		h.publishObjects(demandOf("huye", objects), upstreams("huye", 30)...)
		copies := h.copiesOf(0, 3)
		used := map[azurestair.UpstreamID]bool{}
		var err error
		for range 400 {
			var c azurestair.Choice
			if c, err = h.pickers[0].Pick(workOn(3), nil, h.now); err != nil {
				break
			}
			used[c.Upstream] = true
		}
		Expect(routing.ReasonOf(err)).To(Equal(azurestair.ReasonSaturated))
		Expect(used).To(HaveLen(len(copies) + placement.DefaultReach))
	})

	// Guards against requests to an upstream that has said that it leaves, that
	// is ejected, or that was already tried.
	It("is not requested from a copy that may not be used", func() {
		h := newHarness(1, "huye")
		h.publishObjects(demandOf("huye", objects), upstreams("huye", 30)...)
		copies := h.copiesOf(0, 0)
		p := h.pickers[0]
		h.now = h.now.Add(time.Second)
		p.Confirm(copies[0], azurestair.StateDraining, h.now)
		for _, u := range copies[1:3] {
			p.Observe(azurestair.Choice{Upstream: u, Incarnation: 1}, azurestair.Observation{Unreachable: true}, h.now)
		}
		Expect(h.copiesOf(0, 0)).To(Equal(copies[3:]))
		for range 50 {
			c, err := p.Pick(workOn(0), copies[3:], h.now)
			Expect(err).NotTo(HaveOccurred())
			Expect(copies).NotTo(ContainElement(c.Upstream))
			p.Done(c, done, latency, h.now)
		}
	})

	// Guards against a plan that overrides the limit of a cold upstream.
	It("sends no more to a cold copy than it tolerates", func() {
		list := upstreams("huye", 30)
		h := newHarness(3, "huye")
		h.publishObjects(demandOf("huye", objects), list...)
		cold := h.copiesOf(0, 0)[2]
		list[slices.IndexFunc(list, func(a azurestair.Announcement) bool { return a.Upstream == cold })].ColdMs = 3000
		h.publishObjects(demandOf("huye", objects), list...)
		sent := 0
		for e := range h.pickers {
			for range 300 {
				if h.place(e, workOn(0)).Upstream == cold {
					sent++
				}
			}
		}
		Expect(sent).To(BeNumerically("<=", 10))
	})

	// Guards against a plan that sends a request out of its home regions.
	It("stays in its home regions", func() {
		h := newHarness(1, "huye")
		h.publishObjects(demandOf("huye", objects), append(upstreams("huye", 10), upstreams("kigali", 10)...)...)
		w := workOn(0)
		w.HomeRegions = []azurestair.RegionName{"kigali"}
		for range 100 {
			Expect(h.place(0, w).Region).To(BeEquivalentTo("kigali"))
		}
	})
})

var _ = Describe("the counter of objects", func() {
	spreading := func() *harness {
		h := newHarness(1, "huye")
		h.publishObjects(demandOf("huye", 1), upstreams("huye", 30)...)
		h.pickers[0].ObjectTraffic(h.now)
		return h
	}

	// Guards against rates from which the leader plans too few copies.
	It("reports the rate of each object", func() {
		h := spreading()
		for range 400 {
			h.now = h.now.Add(100 * time.Millisecond)
			h.place(0, workOn(1))
		}
		list := h.pickers[0].ObjectTraffic(h.now)
		Expect(list).To(HaveLen(1))
		Expect(list[0].Objects).To(HaveLen(1))
		Expect(list[0].Validate()).To(Succeed())
		Expect(list[0].Objects[0].Object).To(Equal(objectOf(1)))
		Expect(list[0].Objects[0].Rate).To(BeNumerically("~", 10_000, 1500))
	})

	// Guards against reports whose size grows with the number of objects, and
	// against objects that are never reported.
	It("reports few objects at a time and all frequent ones in turn", func() {
		h := spreading()
		source := rand.New(rand.NewPCG(1, 2))
		for range 20_000 {
			h.now = h.now.Add(time.Millisecond)
			n := 100 + source.IntN(10_000)
			if source.IntN(2) == 0 {
				n = source.IntN(100)
			}
			h.place(0, workOn(n))
		}
		seen := map[azurestair.ObjectKey]bool{}
		for range 6 {
			list := h.pickers[0].ObjectTraffic(h.now)
			Expect(list[0].Validate()).To(Succeed())
			for _, o := range list[0].Objects {
				seen[o.Object] = true
			}
		}
		Expect(len(seen)).To(BeNumerically("<=", azurestair.MaxPlannedObjects))
		for i := range 100 {
			Expect(seen).To(HaveKey(objectOf(i)))
		}
	})

	// Guards against objects that stay in the plan after their last request.
	It("forgets objects that are no longer requested", func() {
		h := spreading()
		for range 100 {
			h.place(0, workOn(1))
		}
		h.pickers[0].ObjectTraffic(h.now.Add(time.Second))
		h.now = h.now.Add(2 * time.Minute)
		Expect(h.pickers[0].ObjectTraffic(h.now)).To(BeEmpty())
	})
})

// choiceDigest returns a digest of a sequence of choices under load, with
// ejections, pauses, retries and an upstream that leaves.
func choiceDigest(h *harness) uint64 {
	digest, source := fnv.New64a(), rand.New(rand.NewPCG(3, 4))
	type attempt struct {
		entry  int
		choice azurestair.Choice
	}
	var open []attempt
	for i := range 5000 {
		h.now = h.now.Add(5 * time.Millisecond)
		e := source.IntN(len(h.pickers))
		var avoid []azurestair.UpstreamID
		if len(open) > 0 && source.IntN(8) == 0 {
			avoid = append(avoid, open[0].choice.Upstream)
		}
		w := workOn(source.IntN(40))
		w.Rank = azurestair.Rank(source.IntN(int(azurestair.NumRanks))) //nolint:gosec // small
		c, err := h.pickers[e].Pick(w, avoid, h.now)
		fmt.Fprintln(digest, i, c.Upstream, c.Trial, routing.ReasonOf(err), routing.RetryAtOf(err).UnixNano())
		if err == nil {
			open = append(open, attempt{entry: e, choice: c})
		}
		for len(open) > 60 || (len(open) > 0 && source.IntN(3) == 0) {
			a, p := open[0], h.pickers[open[0].entry]
			open = open[1:]
			result := done
			switch source.IntN(40) {
			case 0:
				p.Observe(a.choice, azurestair.Observation{Unreachable: true}, h.now)
				result = azurestair.AttemptNotRun
			case 1:
				p.Observe(a.choice, azurestair.Observation{PausedUntil: h.now.Add(300 * time.Millisecond)}, h.now)
			case 2:
				result = azurestair.AttemptTimeout
			default:
				p.Observe(a.choice, azurestair.Observation{Load: &azurestair.Load{InFlight: azurestair.Slots(source.IntN(6))}}, h.now)
			}
			p.Done(a.choice, result, time.Duration(source.IntN(200))*time.Millisecond, h.now)
		}
	}
	return digest.Sum64()
}

var _ = Describe("without SpreadObjects", func() {
	// choicesBefore is the digest of the choices of the picker without object
	// plans.
	const choicesBefore = uint64(1222223831025556688)

	// Guards against a change of the choices where object plans are not enabled.
	It("the choices are the same as without object plans", func() {
		h := newHarness(2, "huye", append(upstreams("huye", 12), upstreams("kigali", 8)...)...)
		Expect(choiceDigest(h)).To(Equal(choicesBefore))
	})

	// Guards against other limits of cold upstreams.
	It("the choices among cold upstreams are the same", func() {
		const coldChoicesBefore = uint64(1277041484717309461)
		list := append(upstreams("huye", 12), upstreams("kigali", 8)...)
		for i := range list {
			if i%2 == 0 {
				list[i].ColdMs = 20_000
			}
		}
		Expect(choiceDigest(newHarness(9, "huye", list...))).To(Equal(coldChoicesBefore))
	})

	// Guards against plans of a leader that take effect where they are not
	// enabled, and against reports that grow.
	It("a published plan has no effect", func() {
		h := newHarness(2, "huye")
		h.snap.Objects = []azurestair.ObjectPlan{demandOf("huye", 40)}
		h.set(append(upstreams("huye", 12), upstreams("kigali", 8)...)...)
		Expect(choiceDigest(h)).To(Equal(choicesBefore))
		Expect(h.pickers[0].ObjectTraffic(h.now)).To(BeNil())
	})
})

// benchmarkPick measures a pick and the end of its attempt.
func benchmarkPick(b *testing.B, upstreamCount int, published bool) {
	RegisterFailHandler(func(message string, _ ...int) { b.Fatal(message) })
	h := newHarness(1, "huye")
	list := upstreams("huye", upstreamCount)
	for i := range list {
		list[i].Addr = "127.0.0.1:80"
	}
	plan := demandOf("huye", 250)
	if !published {
		plan.Objects = plan.Objects[:1]
	}
	h.publishObjects(plan, list...)
	var work []azurestair.RequestInfo
	for i := range 250 {
		work = append(work, workOn(i))
	}
	p := h.pickers[0]
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		h.now = h.now.Add(time.Millisecond)
		c, err := p.Pick(work[i%len(work)], nil, h.now)
		if err != nil {
			b.Fatal(err)
		}
		p.Done(c, done, latency, h.now)
		i++
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 94, 1000} {
		b.Run(fmt.Sprintf("published/%d", n), func(b *testing.B) { benchmarkPick(b, n, true) })
		b.Run(fmt.Sprintf("ranked/%d", n), func(b *testing.B) { benchmarkPick(b, n, false) })
	}
}

// BenchmarkUpdate measures a new snapshot with 125 entries and 94 upstreams, of
// which the demand of no object or of one has changed.
func BenchmarkUpdate(b *testing.B) {
	RegisterFailHandler(func(message string, _ ...int) { b.Fatal(message) })
	for _, name := range []string{"notPublished", "unchanged", "changed"} {
		b.Run(name, func(b *testing.B) {
			h := newHarness(125, "huye")
			plan := demandOf("huye", 250)
			if name == "notPublished" {
				h.set(upstreams("huye", 94)...)
			} else {
				h.publishObjects(plan, upstreams("huye", 94)...)
			}
			p, n := h.pickers[0], azurestair.MilliSlots(0)
			for b.Loop() {
				s := h.snap
				if name == "changed" {
					n++
					plan.Objects = slices.Clone(plan.Objects)
					plan.Objects[100].Demand = 40 + n%2
					s.Objects = []azurestair.ObjectPlan{plan}
				}
				p.Update(&s, h.now)
			}
		})
	}
}

var _ = Describe("a pick of a published object", func() {
	// Guards against garbage for each request.
	It("allocates nothing", func() {
		h := newHarness(1, "huye")
		h.publishObjects(demandOf("huye", 60), upstreams("huye", 30)...)
		p, work := h.pickers[0], workOn(0)
		Expect(testing.AllocsPerRun(2000, func() {
			h.now = h.now.Add(20 * time.Millisecond)
			c, _ := p.Pick(work, nil, h.now)
			p.Done(c, done, latency, h.now)
		})).To(BeZero())
	})
})
