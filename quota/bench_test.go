package quota

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/peer"
)

func nameOf(n int) azurestair.WorkspaceName {
	return azurestair.WorkspaceName("workspace-" + strconv.Itoa(n))
}

// filledHolder returns a holder with many tokens of n workspaces, and their
// names.
func filledHolder(n int) (*Holder, []azurestair.WorkspaceName) {
	h, names := NewHolder("entry-1", 1), make([]azurestair.WorkspaceName, n)
	for i := range names {
		names[i] = nameOf(i)
		h.Take(names[i], at(0))
		a := h.accounts[names[i]]
		a.held, a.deadline, a.waiting = 1<<40, at(1_000_000), nil
	}
	return h, names
}

// Guards against garbage on the path of each request.
var _ = It("takes and refunds tokens without an allocation", func() {
	h, names := filledHolder(84)
	Expect(testing.AllocsPerRun(1000, func() {
		h.Take(names[3], at(10))
		h.Refund(names[3], at(10))
	})).To(BeZero())
})

func BenchmarkTake(b *testing.B) {
	for _, n := range []int{84, 1000, 10_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			h, names := filledHolder(n)
			b.ReportAllocs()
			i, now := 0, at(10)
			for b.Loop() {
				h.Take(names[i], now)
				if i++; i == n {
					i = 0
				}
			}
		})
	}
}

// BenchmarkAnswer measures an ask for 84 workspaces at a leader that knows n
// workspaces and 31 entries.
func BenchmarkAnswer(b *testing.B) {
	for _, n := range []int{84, 10_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var limits []Limit
			for w := range n {
				limits = append(limits, Limit{Workspace: nameOf(w), Rate: 38, Total: 58})
			}
			i := newIssuer(limits...)
			a := azurestair.QuotaAsk{Incarnation: 1, Term: 1}
			for w := range 84 {
				a.Demands = append(a.Demands, azurestair.QuotaDemand{Workspace: limits[w*n/84].Workspace, Waiting: 1})
			}
			b.ReportAllocs()
			for b.Loop() {
				a.Sequence++
				a.Holder = azurestair.InstanceID(nameOf(int(a.Sequence) % 31))
				if _, err := i.Answer(a, at(full+int(a.Sequence))); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkExchange reports the messages and bytes between entries and leader
// for 84 workspaces with 2,000 requests per second together, of which the
// largest sends 600 and the smallest 3. In "over" the largest sends 7.5 times
// as many.
func BenchmarkExchange(b *testing.B) {
	for _, entries := range []int{31, 125} {
		for _, load := range []struct {
			name  string
			times float64
		}{{name: "calm", times: 1}, {name: "over", times: 7.5}} {
			b.Run(load.name+"/"+strconv.Itoa(entries), func(b *testing.B) {
				for b.Loop() {
					reportExchange(b, entries, load.times)
				}
			})
		}
	}
}

// fleetDemand returns the requests per second of each workspace.
func fleetDemand() []float64 {
	demand := []float64{600}
	for i := range 83 {
		demand = append(demand, 31-28*float64(i)/82)
	}
	return demand
}

func reportExchange(b *testing.B, entries int, times float64) {
	const lasts = 10 * time.Second
	o := simOptions{entries: entries, duration: warmUp + lasts, demand: fleetDemand()}
	for i, d := range o.demand {
		o.limits = append(o.limits, Limit{Workspace: nameOf(i), Rate: azurestair.PerSecond(1.6 * d), Total: 1.6*d + slack})
	}
	s := newSimulation(1, o)
	s.rates[0] = times
	asks, demands, bytesAsked, bytesAnswered := 0, 0, 0, 0
	s.observe = func(ask azurestair.QuotaAsk, answer azurestair.QuotaAnswer) {
		if s.now < warmUp {
			return
		}
		asks++
		demands += len(ask.Demands)
		bytesAsked += encodedSize(b, &ask)
		bytesAnswered += encodedSize(b, &answer)
	}
	s.run()
	waited, n := time.Duration(0), 0
	for _, r := range s.requests {
		if r.at >= warmUp && r.decidedAt > 0 && r.verdict == Admitted {
			waited += r.decidedAt - r.at
			n++
		}
	}
	perSecond := 1 / lasts.Seconds()
	b.ReportMetric(float64(asks)*perSecond, "asks/s")
	b.ReportMetric(float64(demands)/float64(asks), "workspaces/ask")
	b.ReportMetric(float64(bytesAsked)*perSecond/float64(entries), "B/s-asked/entry")
	b.ReportMetric(float64(bytesAnswered)*perSecond/float64(entries), "B/s-answered/entry")
	b.ReportMetric(waited.Seconds()*1000/float64(n), "ms-wait/request")
}

func encodedSize(b *testing.B, v any) int {
	data, err := peer.Codec{}.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}
