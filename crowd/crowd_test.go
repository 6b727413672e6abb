package crowd

import . "github.com/onsi/ginkgo/v2"

// memoryLimits are the limits of a process.
// The time limits are far above the duration of a test, so that only limits of
// memory and connections apply.
func memoryLimits() []string {
	return []string{"maxConns = 900", "headerTimeoutMs = 60000", "bodyTimeoutMs = 600000", "idleTimeoutMs = 600000"}
}

// Each test guards against a process that exceeds the memory or the descriptors
// of its machine, ends, or no longer serves an ordinary caller.
var _ = Describe("a crowd of clients", Serial, func() {
	// Guards against connections of clients that use up the limit and keep
	// ordinary callers out.
	DescribeTable("larger than the limit of connections does not keep others out", func(send func(c *client)) {
		m := startMachine(memoryLimits()...)
		gather(m, maxConns+100, send)
		m.expectSurvived()
	},
		Entry("that send nothing", func(*client) {}),
		Entry("that stay idle after a response", func(c *client) {
			if c.send(c.head("GET", pathReady), 0) {
				_, _ = c.Read(make([]byte, 1024))
			}
		}),
		Entry("that stop within the head", func(c *client) { c.send([]byte("GET / HTTP/1.1\r\nHost: cro"), 0) }),
		Entry("that send a head byte by byte", func(c *client) { c.trickle() }),
		Entry("that stop within a small body at a path without a route", func(c *client) { c.sendBody(pathNoRoute, 10, 100, 0) }),
		Entry("that stop within a small body at the ready path", func(c *client) { c.sendBody(pathReady, 10, 100, 0) }),
		Entry("that stop within a small body at a route", func(c *client) { c.sendBody(pathNotIdempotent, 10, 100, 0) }),
	)
})
