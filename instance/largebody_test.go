package instance

import (
	"io"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/routing"
)

// Guards against a budget that refuses the largest body that a single client may
// send, and against a body over the limit whose upstream takes its beginning for
// the whole.
var _ = ginkgo.Describe("a body of the largest size on a small machine", func() {
	const machine, limit = 136 << 20, 64 << 20
	var (
		r        *entryFixture
		received chan int64
		bodyErr  chan error
	)
	ginkgo.BeforeEach(func() {
		r, received, bodyErr = newEntryFixture(SystemClock{}, &fakeLedger{}, newFakeUpstream()), make(chan int64, 1), make(chan error, 1)
		r.clientMemory.machine = machine
		r.upstream.handle = func(_ http.ResponseWriter, q *http.Request) {
			n, err := io.Copy(io.Discard, q.Body)
			received <- n
			bodyErr <- err
		}
	})
	send := func(size, announced int64) response {
		q := routedRequest(r, 1, io.LimitReader(zeroReader{}, size), announced)
		s := r.view.Load().snapshot
		s.Config.Routes[0].MaxBodyBytes = limit
		r.view.Store(&view{snapshot: s, routes: routing.NewRoutes(s.Config), controlDeadline: r.clock.Now().Add(time.Hour), heardAt: r.clock.Now()})
		return r.send(ginkgo.GinkgoT().Context(), q)
	}

	ginkgo.DescribeTable("is served", func(announced int64) {
		expectReply(send(limit, announced), azurestair.OutcomeDone, "", false)
		Expect(received).To(Receive(BeEquivalentTo(limit)))
		Expect(r.clientMemory.used()).To(BeZero())
	}, ginkgo.Entry("with its length", int64(limit)), ginkgo.Entry("of unknown length", int64(-1)))

	ginkgo.It("is rejected above it, without the claim that it has not run", func() {
		expectReply(send(limit+1, -1), azurestair.OutcomeInvalid, azurestair.ReasonBodyTooLarge, false)
		Eventually(bodyErr).Should(Receive(HaveOccurred()))
		Eventually(r.clientMemory.used).Should(BeZero())
	})
})
