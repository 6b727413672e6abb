package instance

import (
	"net"
	"net/http"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// namedConn is a connection that notes its end.
type namedConn struct {
	net.Conn
	closed bool
}

func (c *namedConn) Close() error {
	c.closed = true
	return nil
}

// Guards against a listener at its limit because of connections that nobody
// uses: with 3,000 upstreams and five control instances, heartbeats waited for
// a connection until they were late, and their senders turned to the next one.
var _ = ginkgo.Describe("idle connections", func() {
	var (
		i     *idleConns
		conns []*namedConn
	)
	become := func(state http.ConnState, numbers ...int) {
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
			conns = append(conns, &namedConn{})
		}
		become(http.StateNew, 0, 1, 2)
		become(http.StateIdle, 1, 0, 2)
	})

	ginkgo.It("stay within the limit", func() { expectClosed() })

	ginkgo.It("give way to a new one, the longest idle first", func() {
		become(http.StateNew, 3)
		expectClosed(1)
		become(http.StateClosed, 1)
		become(http.StateNew, 4)
		expectClosed(0, 1)
	})

	ginkgo.It("are not closed while they are used", func() {
		become(http.StateActive, 1, 0)
		become(http.StateNew, 3)
		expectClosed(2)
	})

	ginkgo.It("are closed as soon as one of too many is idle", func() {
		become(http.StateActive, 0, 1, 2)
		become(http.StateNew, 3)
		expectClosed()
		become(http.StateIdle, 0)
		expectClosed(0)
	})

	ginkgo.It("are forgotten with their end", func() {
		become(http.StateClosed, 0, 1, 2)
		become(http.StateNew, 3, 4)
		Expect([]int{i.open, len(i.at), i.idle.Len()}).To(Equal([]int{2, 0, 0}))
		expectClosed()
	})
})
