package admission

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the table of client connections", func() {
	var (
		t     *ConnTable[int]
		start = time.Unix(1_000, 0)
	)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	expectOpen := func(id, ms, victim int) {
		GinkgoHelper()
		got, _, accepted := t.Open(id, at(ms))
		Expect(accepted).To(BeTrue())
		Expect(got).To(Equal(victim))
	}
	expectRefused := func(id, ms int) {
		GinkgoHelper()
		_, hasVictim, accepted := t.Open(id, at(ms))
		Expect([]bool{hasVictim, accepted}).To(Equal([]bool{false, false}))
	}
	BeforeEach(func() {
		t = NewConnTable[int](ConnLimits{MaxConns: 3, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second})
		for id := 1; id <= 3; id++ {
			expectOpen(id, id, 0)
		}
	})

	// Guards against a listener that accepts nothing more while clients keep
	// their connections open.
	It("closes the longest idle connection for a new one", func() {
		for i, id := range []int{2, 1, 3} {
			t.SetState(id, ConnIdle, at(10+i))
		}
		expectOpen(4, 20, 2)
		expectOpen(5, 30, 1)
		Expect(t.Len()).To(Equal(3))
	})

	It("closes a connection without a head before idle ones, once it is old", func() {
		t.SetState(1, ConnIdle, at(10))
		t.SetState(2, ConnServing, at(10))
		expectOpen(4, 900, 1)
		expectOpen(5, 1100, 3)
		expectRefused(6, 1200)
	})

	// Guards against slow heads that renew their time with each byte.
	It("counts the time of a head from its first byte", func() {
		t.SetState(1, ConnIdle, at(10))
		t.SetState(1, ConnHead, at(500))
		t.SetState(1, ConnHead, at(3400))
		Expect(t.Expired(at(3499))).To(ConsistOf(2, 3))
		Expect(t.Expired(at(3500))).To(ConsistOf(1))
	})

	It("closes a stalled body for a new connection, but no request that is served", func() {
		for id := 1; id <= 3; id++ {
			t.SetState(id, ConnServing, at(10))
		}
		expectRefused(4, 60_000)
		t.SetState(2, ConnReceiving, at(60_000))
		t.SetState(3, ConnReceiving, at(60_001))
		t.SetState(2, ConnReceiving, at(61_000))
		expectRefused(4, 65_000)
		expectOpen(4, 65_001, 3)
	})

	// Guards against closing a connection that an ordinary client still reuses,
	// and against limits that need a restart.
	It("closes idle connections at the limit in force", func() {
		for id := 1; id <= 3; id++ {
			t.SetState(id, ConnIdle, at(id*1000))
		}
		Expect(t.Expired(at(15_999))).To(BeEmpty())
		Expect(t.Expired(at(16_000))).To(Equal([]int{1}))
		t.SetLimits(ConnLimits{IdleTimeout: 5 * time.Second})
		Expect(t.Expired(at(16_000))).To(Equal([]int{2, 3}))
		Expect(t.Len()).To(BeZero())
	})

	It("ignores connections that are closed", func() {
		t.Close(2)
		t.SetState(2, ConnIdle, at(10))
		_, open := t.State(2)
		Expect(open).To(BeFalse())
		expectOpen(4, 20, 0)
	})
})
