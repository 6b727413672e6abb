package crowd

import (
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair/knownred"
)

// memoryLimits are the limits of a process that has the memory of its machine.
// The time limits are far above the duration of a test, so that only limits of
// memory and connections apply.
func memoryLimits() []string {
	return []string{"maxConns = 900", "headerTimeoutMs = 60000", "bodyTimeoutMs = 600000", "idleTimeoutMs = 600000", "memoryBytes = 142606336"}
}

// Each test guards against a process that exceeds the memory or the descriptors
// of its machine, ends, or no longer serves an ordinary caller.
var _ = Describe("a crowd of clients", Serial, func() {
	const many = 800
	DescribeTable("is survived", func(n int, send func(c *client)) {
		knownred.Skip()
		m := startMachine(memoryLimits()...)
		gather(m, n, send)
		m.expectSurvived()
	},
		Entry("that stop short of the end of a body, in one piece", many, func(c *client) { c.sendBody(pathIdempotent, maxBody-1000, maxBody, 0) }),
		Entry("that stop short of the end of a body, in small pieces", many, func(c *client) { c.sendBody(pathIdempotent, maxBody-1000, maxBody, 1000) }),
		Entry("that stop within a chunked body", many, func(c *client) { c.sendChunks(pathIdempotent, 300_000) }),
		Entry("that stop short of the end of a body with a key", many, func(c *client) { c.sendBody(pathNotIdempotent, maxBody-1000, maxBody, 0) }),
		Entry("that stop half-way in a body with a key", many, func(c *client) { c.sendBody(pathNotIdempotent, maxBody/2, maxBody, 1000) }),
		Entry("that stop within a body at a path without a route", many, func(c *client) { c.sendBody(pathNoRoute, maxBody-1000, maxBody, 0) }),
		Entry("that stop within a body at the ready path", many, func(c *client) { c.sendBody(pathReady, maxBody-1000, maxBody, 0) }),
		Entry("that stop within a body at the lookup path", many, func(c *client) { c.sendBody(pathLookup, maxBody-1000, maxBody, 0) }),
		Entry("with bodies far over the limit", 200, func(c *client) { c.sendBody(pathIdempotent, 5*maxBody, 100*maxBody, 0) }),
		Entry("with chunked bodies far over the limit", 200, func(c *client) { c.sendChunks(pathIdempotent, 5*maxBody) }),
		Entry("with chunked bodies far over the limit at a path without a route", 200, func(c *client) { c.sendChunks(pathNoRoute, 5*maxBody) }),
		Entry("with very many header fields", many, func(c *client) { c.sendFields(pathIdempotent, true) }),
		Entry("that stop within very many header fields", many, func(c *client) { c.sendFields(pathIdempotent, false) }),
		Entry("with very many header fields and a body that stops", many, func(c *client) {
			head := c.head("POST", pathIdempotent, "Content-Length: 100000")
			head = append(head[:len(head)-2], shortFields(maxHead-1000)...)
			c.send(append(head, "\r\nstop"...), 0)
		}),
		Entry("that send requests ahead and read no response", many, func(c *client) { c.pipeline(pathIdempotent) }),
		Entry("that request large responses ahead and read none", many, func(c *client) { c.pipeline(pathLarge) }),
		Entry("that send requests ahead at a path without a route", many, func(c *client) { c.pipeline(pathNoRoute) }),
		Entry("that send requests ahead at the ready path", many, func(c *client) { c.pipeline(pathReady) }),
		Entry("that send requests ahead at the lookup path", many, func(c *client) { c.pipeline(pathLookup) }),
	)

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

// Guards against limits that refuse what a single client may send.
var _ = Describe("a single client in calm", Serial, func() {
	It("is served with the largest body", func() {
		m := startMachine(memoryLimits()...)
		c := &http.Client{Timeout: time.Minute}
		for _, path := range []string{pathIdempotent, pathNotIdempotent} {
			req, err := http.NewRequest(http.MethodPost, "http://"+m.callers+path, strings.NewReader(strings.Repeat("b", maxBody)))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Idempotency-Key", "one")
			resp, err := c.Do(req)
			Expect(err).NotTo(HaveOccurred())
			_ = resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(http.StatusOK), path)
		}
	})

	// Guards against a body whose line ends count as header fields.
	It("is served with a body of short lines", func() {
		m := startMachine(memoryLimits()...)
		c := &http.Client{Timeout: time.Minute}
		for _, size := range []int{3000, 8000, maxBody} {
			resp, err := c.Post("http://"+m.callers+pathIdempotent, "text/plain", strings.NewReader(strings.Repeat("1\n", size/2)))
			Expect(err).NotTo(HaveOccurred())
			_ = resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(http.StatusOK), "%d bytes", size)
		}
	})

	It("is served with the largest head", func() {
		m := startMachine(memoryLimits()...)
		req, err := http.NewRequest(http.MethodGet, "http://"+m.callers+pathIdempotent, nil)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Large", strings.Repeat("h", maxHead-1000))
		resp, err := (&http.Client{Timeout: time.Minute}).Do(req)
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	})
})
