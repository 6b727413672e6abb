package instance

import (
	"net"
	"net/http"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// trackedConn is a connection that records whether it was closed.
type trackedConn struct {
	net.Conn
	closed bool
}

func (c *trackedConn) Close() error {
	c.closed = true
	return nil
}

// Guards against idle connections that exhaust the limit of a listener. With
// 3,000 upstreams and five control instances, heartbeats waited for a
// connection until they were late, and their senders switched to the next
// instance.
var _ = ginkgo.Describe("idle connections", func() {
	var (
		i     *idleConns
		conns []*trackedConn
	)
	setState := func(state http.ConnState, numbers ...int) {
		for _, n := range numbers {
			i.connState(conns[n], state)
		}
	}
	expectClosed := func(want ...int) {
		ginkgo.GinkgoHelper()
		got := []int{}
		for n, c := range conns {
			if c.closed {
				got = append(got, n)
			}
		}
		Expect(got).To(Equal(append([]int{}, want...)))
	}
	ginkgo.BeforeEach(func() {
		i, conns = newIdleConns(3), nil
		for range 5 {
			conns = append(conns, &trackedConn{})
		}
		setState(http.StateNew, 0, 1, 2)
		setState(http.StateIdle, 1, 0, 2)
	})

	ginkgo.It("stay open within the limit", func() { expectClosed() })

	ginkgo.It("are closed for a new one, the longest idle first", func() {
		setState(http.StateNew, 3)
		expectClosed(1)
		setState(http.StateClosed, 1)
		setState(http.StateNew, 4)
		expectClosed(0, 1)
	})

	ginkgo.It("are not closed while in use", func() {
		setState(http.StateActive, 1, 0)
		setState(http.StateNew, 3)
		expectClosed(2)
	})

	ginkgo.It("are closed as soon as one becomes idle above the limit", func() {
		setState(http.StateActive, 0, 1, 2)
		setState(http.StateNew, 3)
		expectClosed()
		setState(http.StateIdle, 0)
		expectClosed(0)
	})

	ginkgo.It("are no longer tracked after they are closed", func() {
		setState(http.StateClosed, 0, 1, 2)
		setState(http.StateNew, 3, 4)
		Expect([]int{i.open, len(i.elements), i.idle.Len()}).To(Equal([]int{2, 0, 0}))
		expectClosed()
	})
})
