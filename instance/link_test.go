package instance

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

// Guards against a size that a header announces and that is taken for bytes on
// the entry's own link, which then refuses all requests.
var _ = ginkgo.Describe("the link of an entry", func() {
	var r *entryFixture
	ginkgo.BeforeEach(func() {
		r = newEntryFixture(SystemClock{}, &fakeLedger{}, newFakeUpstream())
		r.ownLink.Rate = 1_000_000
	})
	post := func() response { return sendRouted(r, strings.NewReader("x"), 1) }
	expectOpen := func() {
		ginkgo.GinkgoHelper()
		r.upstream.handle = nil
		for range 20 {
			expectReply(post(), azurestair.OutcomeDone, azurestair.ReasonNone, false)
		}
	}

	ginkgo.DescribeTable("stays open after a response that breaks off",
		func(announced string) {
			r.upstream.handle = func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", announced)
				_, _ = io.WriteString(w, "begin")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			for range 5 {
				Expect(post().err).To(HaveOccurred())
			}
			expectOpen()
		},
		ginkgo.Entry("of 1 TB", "1000000000000"),
		ginkgo.Entry("of the largest size", fmt.Sprint(uint64(1)<<63-1)),
	)

	ginkgo.It("stays open after a response without a body that names its size", func() {
		r.upstream.handle = func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "1000000000000")
			w.WriteHeader(http.StatusNotModified)
		}
		for range 5 {
			_ = post()
		}
		expectOpen()
	})

	ginkgo.It("stays open after uploads that are answered before they have come", func() {
		r.upstream.handle = func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
		}
		body, sender := io.Pipe()
		ginkgo.DeferCleanup(sender.Close)
		go func() { _, _ = sender.Write(make([]byte, 1<<10)) }()
		expectReply(sendRouted(r, body, 4<<20), azurestair.OutcomeDone, azurestair.ReasonNone, false)
		expectOpen()
	})

	ginkgo.It("counts the bytes that have moved", func() {
		r.upstream.handle = func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 256<<10)) }
		refused := 0
		for range 40 {
			if post().Reason == azurestair.ReasonLinkFull {
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 0))
	})
})
