package instance

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/admission"
)

// Guards against a request that an entry passes on although the grace period of
// its shutdown ends before the request does.
var _ = ginkgo.Describe("an entry that shuts down", func() {
	var r *entryFixture
	ginkgo.BeforeEach(func() {
		r = newEntryFixture(SystemClock{}, &fakeLedger{}, newFakeUpstream())
		now := r.clock.Now()
		r.beginShutdown(admission.Shutdown{OpenUntil: now, EndsAt: now.Add(longTimeout)})
	})

	ginkgo.It("serves requests that end in time", func() {
		expectReply(r.sendDefault("read", "", longTimeout/2), azurestair.OutcomeDone, azurestair.ReasonNone, false)
		expectReply(r.sendDefault("pay", "k1", longTimeout/2), azurestair.OutcomeDone, azurestair.ReasonNone, false)
	})

	ginkgo.It("refuses requests that may not", func() {
		resp := r.sendDefault("read", "", 2*longTimeout)
		expectReply(resp, azurestair.OutcomeRefused, azurestair.ReasonShuttingDown, true)
		Expect(resp.RetryAfter).To(Equal(notReadyRetryAfter))
		Expect(r.upstream.ran.Load()).To(BeZero())
	})

	ginkgo.It("does not claim that a request with a key never ran", func() {
		resp := r.sendDefault("pay", "k1", 2*longTimeout)
		expectReply(resp, azurestair.OutcomeUnknown, azurestair.ReasonLedgerUnreachable, false)
		Expect(r.upstream.ran.Load()).To(BeZero())
	})

	ginkgo.DescribeTable("says whether another entry can serve the request now",
		func(other azurestair.InstanceInfo, want azurestair.Millis) {
			s := testSnapshot(1)
			s.Instances = []azurestair.InstanceInfo{r.self, other}
			r.view.Store(&view{snapshot: s, controlDeadline: r.clock.Now().Add(time.Hour)})
			Expect(r.sendDefault("read", "", 2*longTimeout).RetryAfter).To(Equal(want))
		},
		ginkgo.Entry("a ready entry", azurestair.InstanceInfo{ID: "e2", CallerAddr: "127.0.0.1:1", Ready: true}, azurestair.Millis(0)),
		ginkgo.Entry("an entry that is not ready", azurestair.InstanceInfo{ID: "e2", CallerAddr: "127.0.0.1:1"}, notReadyRetryAfter),
		ginkgo.Entry("a control instance", azurestair.InstanceInfo{ID: "e2", Ready: true}, notReadyRetryAfter),
	)
})
