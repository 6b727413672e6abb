package upstream

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the time for a connection", func() {
	// Guards against an entry behind a full link that opens no connection at all,
	// and takes out one upstream after the other for it.
	It("grows when most attempts fail, which is then not the upstreams' fault", func() {
		var d dialTime
		Expect(d.timeout()).To(Equal(dialTimeout))
		Expect(d.observe(false, dialTimeout)).To(BeTrue())
		for range 30 {
			d.observe(false, dialTimeout)
		}
		Expect(d.observe(false, dialTimeout)).To(BeFalse())
		Expect(d.timeout()).To(Equal(dialTimeoutMax))
		d.observe(true, 200*time.Millisecond)
		Expect(d.timeout()).To(Equal(800 * time.Millisecond))
		for range 30 {
			d.observe(true, time.Millisecond)
		}
		Expect(d.timeout()).To(Equal(dialTimeout))
		Expect(d.observe(false, dialTimeout)).To(BeTrue())
	})
})
