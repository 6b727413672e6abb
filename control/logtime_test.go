package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// Guards against keys that stay in progress for minutes after the entry that
// held them has died together with a leader whose clock was ahead.
var _ = Describe("log time", func() {
	var t control.LogTime
	ms := func(n int) azurestair.UnixMillis { return azurestair.UnixMillisOf(at(n)) }
	BeforeEach(func() { t = control.LogTime{} })

	It("is the leader's clock before the first command", func() { Expect(t.Next(at(5))).To(Equal(ms(5))) })

	It("is the leader's clock when that is ahead", func() {
		t.Observe(ms(1000), at(2000))
		Expect(t.Next(at(2500))).To(Equal(ms(2500)))
	})

	It("continues from the last command when the leader's clock is behind", func() {
		t.Observe(ms(600_000), at(0))
		Expect(t.Next(at(0))).To(Equal(ms(600_000)))
		Expect(t.Next(at(10_000))).To(Equal(ms(609_900)))
	})

	It("converges to the leader's clock", func() {
		t.Observe(ms(1000), at(0))
		Expect(t.Next(at(200_000))).To(Equal(ms(200_000)))
	})

	It("is the leader's clock when the log is hours ahead", func() {
		t.Observe(ms(int(5*time.Hour/time.Millisecond)), at(0))
		Expect(t.Next(at(100))).To(Equal(ms(100)))
	})

	It("does not advance when the leader's clock steps back", func() {
		t.Observe(ms(60_000), at(0))
		Expect(t.Next(at(-30_000))).To(Equal(ms(60_000)))
	})
})
