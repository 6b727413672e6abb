package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// Guards against keys that stay in progress for minutes after the entry that
// held them has died with a leader whose clock was ahead.
var _ = Describe("the time of commands", func() {
	var t control.LogTime
	ms := func(n int) azurestair.UnixMillis { return azurestair.UnixMillisOf(at(n)) }
	BeforeEach(func() { t = control.LogTime{} })

	It("is the leader's own before the first command", func() { Expect(t.Next(at(5))).To(Equal(ms(5))) })

	It("is the leader's own when that is ahead", func() {
		t.Observe(ms(1000), at(2000))
		Expect(t.Next(at(2500))).To(Equal(ms(2500)))
	})

	It("goes on from the last command when the leader's clock is behind", func() {
		t.Observe(ms(600_000), at(0))
		Expect(t.Next(at(0))).To(Equal(ms(600_000)))
		Expect(t.Next(at(10_000))).To(Equal(ms(609_900)))
	})

	It("comes back to the leader's own", func() {
		t.Observe(ms(1000), at(0))
		Expect(t.Next(at(200_000))).To(Equal(ms(200_000)))
	})

	It("is the leader's own when the log's is hours ahead", func() {
		t.Observe(ms(int(5*time.Hour/time.Millisecond)), at(0))
		Expect(t.Next(at(100))).To(Equal(ms(100)))
	})

	It("counts steps of the leader's clock as no time", func() {
		t.Observe(ms(60_000), at(0))
		Expect(t.Next(at(-30_000))).To(Equal(ms(60_000)))
	})
})
