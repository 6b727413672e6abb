package routing_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/routing"
)

var _ = Describe("a link rate limiter", func() {
	const limit azurestair.BytesPerSecond = 1_000_000
	start := time.Unix(1_700_000_000, 0)

	// Guards against a link rate above the lease: a caller that waits as long
	// as Take says sends no more than the limit in any interval, plus one burst
	// and one read.
	It("keeps the rate under the limit", func() {
		const read = 32 << 10
		rng := rand.New(rand.NewPCG(1, 0))
		limiter, now, sent := routing.LinkPacer{}, start, int64(0)
		for range 2000 {
			n := 1 + rng.Int64N(read)
			sent += n
			now = now.Add(limiter.Take(azurestair.Bytes(n), limit, now))
			now = now.Add(time.Duration(rng.Int64N(int64(20 * time.Millisecond))))
			allowed := now.Sub(start).Seconds()*float64(limit) + 0.02*float64(limit) + read
			Expect(float64(sent)).To(BeNumerically("<=", allowed))
		}
	})

	// Guards against sending over a link without a lease.
	It("permits nothing without a limit", func() {
		var limiter routing.LinkPacer
		Expect(limiter.Take(1, 0, start)).To(BeNumerically(">=", 500*time.Millisecond))
	})

	// Guards against a wrong rate in the reports to the leader.
	It("measures the rate in use", func() {
		var limiter routing.LinkPacer
		for i := range 20 {
			limiter.Take(50_000, limit, start.Add(time.Duration(i)*50*time.Millisecond))
		}
		Expect(limiter.Rate(start.Add(time.Second))).To(BeNumerically("~", 1_000_000, 100_000))
	})
})
