package upstream

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("silence of connections", func() {
	var (
		h  heardTimes
		at = func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	)
	BeforeEach(func() { h = heardTimes{} })

	It("holds before the first answer", func() { Expect(h.isSilentSince(at(0))).To(BeTrue()) })

	It("ends with an answer on a connection of that age", func() {
		h.observe(at(0), at(10))
		Expect(h.isSilentSince(at(5))).To(BeFalse())
		Expect(h.isSilentSince(at(11))).To(BeTrue())
	})

	// Guards against the first requests that found a new connection making all
	// others that wait on silent ones look slow.
	It("goes on while only newer connections answer", func() {
		h.observe(at(0), at(10))
		h.observe(at(100), at(102))
		h.observe(at(100), at(110))
		Expect(h.isSilentSince(at(50))).To(BeTrue())
		Expect(h.isSilentSince(at(105))).To(BeFalse())
	})

	It("is answered for each age, whatever the order of the answers", func() {
		h.observe(at(40), at(50))
		h.observe(at(20), at(60))
		h.observe(at(90), at(95))
		Expect(h.isSilentSince(at(30))).To(BeFalse())
		Expect(h.isSilentSince(at(70))).To(BeTrue())
		Expect(h.isSilentSince(at(91))).To(BeFalse())
	})

	It("keeps a bounded number of marks", func() {
		for i := range 4 * maxHeardMarks {
			h.observe(at(2*i), at(2*i+1))
		}
		Expect(len(h.marks)).To(Equal(maxHeardMarks))
	})
})
