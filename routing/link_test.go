package routing_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/routing"
)

var _ = Describe("a link meter", func() {
	const limit azurestair.BytesPerSecond = 1_000_000
	start := time.Unix(1_700_000_000, 0)

	// Guards the link cap: whoever waits as long as it is told moves no more
	// than the limit in any time, but for one burst and one read.
	It("keeps the rate under the limit", func() {
		const read = 32 << 10
		rng := rand.New(rand.NewPCG(1, 0))
		m, now, moved := routing.LinkMeter{}, start, int64(0)
		for range 2000 {
			n := 1 + rng.Int64N(read)
			moved += n
			now = now.Add(m.Take(azurestair.Bytes(n), limit, now))
			now = now.Add(time.Duration(rng.Int64N(int64(20 * time.Millisecond))))
			allowed := now.Sub(start).Seconds()*float64(limit) + 0.02*float64(limit) + read
			Expect(float64(moved)).To(BeNumerically("<=", allowed))
		}
	})

	// Guards against bytes over a link without a lease.
	It("holds everything back without a limit", func() {
		var m routing.LinkMeter
		Expect(m.Take(1, 0, start)).To(BeNumerically(">=", 500*time.Millisecond))
	})

	It("measures the rate in use", func() {
		var m routing.LinkMeter
		for i := range 20 {
			m.Take(50_000, limit, start.Add(time.Duration(i)*50*time.Millisecond))
		}
		Expect(m.Rate(start.Add(time.Second))).To(BeNumerically("~", 1_000_000, 100_000))
	})
})
