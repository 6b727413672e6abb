package upstream

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("dial timeout", func() {
	// Guards against an entry behind a saturated link that cannot open any
	// connection and therefore ejects one upstream after the other.
	It("grows when most dials fail, and these failures are not attributed to the upstreams", func() {
		var d dialTimer
		Expect(d.timeout()).To(Equal(minDialTimeout))
		Expect(d.observe(false, minDialTimeout)).To(BeTrue())
		for range 30 {
			d.observe(false, minDialTimeout)
		}
		Expect(d.observe(false, minDialTimeout)).To(BeFalse())
		Expect(d.timeout()).To(Equal(maxDialTimeout))
		d.observe(true, 200*time.Millisecond)
		Expect(d.timeout()).To(Equal(800 * time.Millisecond))
		for range 30 {
			d.observe(true, time.Millisecond)
		}
		Expect(d.timeout()).To(Equal(minDialTimeout))
		Expect(d.observe(false, minDialTimeout)).To(BeTrue())
	})
})
