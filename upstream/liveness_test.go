package upstream

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("silence of connections", func() {
	var (
		tracker livenessTracker
		at      = func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	)
	BeforeEach(func() { tracker = livenessTracker{} })

	It("lasts until the first response", func() { Expect(tracker.isSilentSince(at(0))).To(BeTrue()) })

	It("ends with a response on a connection of that age", func() {
		tracker.observe(at(0), at(10))
		Expect(tracker.isSilentSince(at(5))).To(BeFalse())
		Expect(tracker.isSilentSince(at(11))).To(BeTrue())
	})

	// Guards against responses on new connections hiding that older connections
	// have stalled, so that attempts on those seem to wait for a slow upstream.
	It("continues while only newer connections deliver responses", func() {
		tracker.observe(at(0), at(10))
		tracker.observe(at(100), at(102))
		tracker.observe(at(100), at(110))
		Expect(tracker.isSilentSince(at(50))).To(BeTrue())
		Expect(tracker.isSilentSince(at(105))).To(BeFalse())
	})

	It("is determined for each age, independently of the order of the responses", func() {
		tracker.observe(at(40), at(50))
		tracker.observe(at(20), at(60))
		tracker.observe(at(90), at(95))
		Expect(tracker.isSilentSince(at(30))).To(BeFalse())
		Expect(tracker.isSilentSince(at(70))).To(BeTrue())
		Expect(tracker.isSilentSince(at(91))).To(BeFalse())
	})

	It("is tracked with a bounded number of marks", func() {
		for i := range 4 * maxResponseMarks {
			tracker.observe(at(2*i), at(2*i+1))
		}
		Expect(len(tracker.marks)).To(Equal(maxResponseMarks))
	})
})
