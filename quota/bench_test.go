package quota

import (
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
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
