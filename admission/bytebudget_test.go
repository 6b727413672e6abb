package admission

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

var _ = Describe("the byte budget", func() {
	const crowd, ordinary azurestair.ClientBlock = 1, 2
	var b *ByteBudget[int]
	expectReserve := func(id int, block azurestair.ClientBlock, n azurestair.Bytes, ok bool, victims ...int) {
		GinkgoHelper()
		got, taken := b.Reserve(id, block, n, false)
		Expect(taken).To(Equal(ok))
		Expect(got).To(ConsistOf(victims))
	}
	BeforeEach(func() { b = NewByteBudget[int](800) })

	// Guards against a crowd of one block that takes the memory of others.
	It("chooses the largest holder of the block that holds most", func() {
		expectReserve(1, ordinary, 250, true)
		expectReserve(2, crowd, 200, true)
		expectReserve(3, crowd, 240, true)
		expectReserve(4, ordinary, 50, true, 3)
		b.Release(3, 240)
		Expect(b.Used()).To(Equal(azurestair.Bytes(500)))
	})

	It("chooses the newest of equal holders", func() {
		for id := range 7 {
			expectReserve(id, crowd, 100, true)
		}
		expectReserve(8, ordinary, 50, true, 6)
	})

	It("refuses the holder that has to give way itself", func() {
		expectReserve(1, crowd, 400, true)
		expectReserve(2, crowd, 200, true)
		expectReserve(1, crowd, 150, false, 1)
		Expect(b.Used()).To(Equal(azurestair.Bytes(600)))
		expectReserve(1, crowd, 1, false)
	})

	// Guards against a request that may have run and loses its response.
	It("never chooses a pinned holder, and refuses what exceeds the budget", func() {
		_, taken := b.Reserve(1, crowd, 600, true)
		Expect(taken).To(BeTrue())
		expectReserve(2, ordinary, 200, false, 2)
		b.Release(2, 200)
		expectReserve(3, ordinary, 300, false)
		expectReserve(4, ordinary, 100, true)
		b.Pin(1, false)
		expectReserve(5, ordinary, 50, true, 1)
	})

	It("never holds more than its limit and forgets what is released", func() {
		rng := rand.New(rand.NewPCG(1, 0))
		for range 200 {
			runBudgetSchedule(rng)
		}
	})
})

// runBudgetSchedule reserves and releases at random and checks the sum after
// each step.
func runBudgetSchedule(rng *rand.Rand) {
	GinkgoHelper()
	const limit = 1000
	b := NewByteBudget[int](limit)
	held := map[int]azurestair.Bytes{}
	for range 200 {
		id := rng.IntN(20)
		switch rng.IntN(4) {
		case 0:
			b.Release(id, held[id])
			delete(held, id)
		case 1:
			b.Pin(id, rng.IntN(2) == 0)
		default:
			n := azurestair.Bytes(1 + rng.IntN(400))
			if _, ok := b.Reserve(id, azurestair.ClientBlock(id%3), n, rng.IntN(4) == 0); ok {
				held[id] += n
			}
		}
		var sum azurestair.Bytes
		for _, n := range held {
			sum += n
		}
		Expect(b.Used()).To(Equal(sum))
		Expect(sum).To(BeNumerically("<=", limit))
	}
	for id, n := range held {
		b.Release(id, n)
	}
	Expect([]any{b.Used(), b.releasing, len(b.holders), len(b.blocks)}).To(Equal([]any{azurestair.Bytes(0), azurestair.Bytes(0), 0, 0}))
}
