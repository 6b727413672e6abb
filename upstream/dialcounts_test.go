package upstream_test

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair/upstream"
)

var _ = Describe("dial counts", func() {
	// Guards against metrics that cannot tell an upstream that is down from a
	// saturated link.
	It("tell refused dials from other failures", func() {
		dialed := map[string]error{"127.0.0.1:1": refusedDial(), "127.0.0.1:2": errors.New("no route")}
		c := upstream.NewClient(func(_ context.Context, addr string) (net.Conn, error) { return nil, dialed[addr] }, newFakeClock())
		for addr := range dialed {
			_, err := c.Do(context.Background(), addr, newAttempt(long))
			Expect(err).To(HaveOccurred())
		}
		Expect(c.DialCounts()).To(Equal(upstream.DialCounts{Refused: 1, Failed: 1}))
	})
})

var _ = Describe("a refused connection", func() {
	// Guards against an entry that blames its own link because most new
	// connections go to upstreams that have crashed: working upstreams are
	// reached over open ones. It then keeps sending to those that crashed, and
	// floods them when they listen again.
	It("counts against the upstream, however many are refused", func() {
		c := upstream.NewClient(func(context.Context, string) (net.Conn, error) { return nil, refusedDial() }, newFakeClock())
		for range 40 {
			resp, err := c.Do(context.Background(), "127.0.0.1:1", newAttempt(long))
			Expect(err).To(HaveOccurred())
			Expect(resp.Unreachable).To(BeTrue())
		}
	})
})

// refusedDial returns the error of a dial to a port on which nothing listens.
func refusedDial() error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
}
