package caller_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
)

const (
	// bodyTimeout is the time for a body, and answerTime how long an entry then
	// takes to answer.
	bodyTimeout = 100 * time.Millisecond
	answerTime  = 4 * bodyTimeout
)

// lateEntry answers after answerTime, unless the caller seems to have left.
type lateEntry struct{ *fakeEntry }

func (e lateEntry) Serve(ctx context.Context, r *caller.Request) caller.Reply {
	select {
	case <-ctx.Done():
		return caller.Reply{Outcome: azurestair.OutcomeUnknown, Reason: azurestair.ReasonCallerLeft}
	case <-time.After(answerTime):
		return e.fakeEntry.Serve(ctx, r)
	}
}

// Guards against requests that are broken off at their upstream because the time to
// send a body is over.
var _ = DescribeTable("a request is served beyond the time for a body", func(method, body string) {
	e := lateEntry{&fakeEntry{reply: doneReply(200, "hi", nil)}}
	s := httptest.NewServer(caller.NewHandler(e, clock{}, bodyTimeout))
	DeferCleanup(s.Close)
	for range 2 {
		req, err := http.NewRequest(method, s.URL+"/v1/request/shop/read", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		resp, err := s.Client().Do(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(resp.Body)).To(Equal([]byte("hi")))
	}
},
	Entry("without a body", "GET", ""), Entry("with a body", "POST", "abc"),
)

// Guards against callers that send their next request on a connection that is about
// to close, or on one whose requests net/http reports as cancelled.
var _ = DescribeTable("a response says whether its connection closes", func(stop, cancelled bool, want string) {
	f := &fakeEntry{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.reply = func(r *caller.Request) caller.Reply {
		if stop {
			f.ready = azurestair.ErrClosed
		}
		if cancelled {
			cancel()
		}
		return doneReply(200, "hi", nil)(r)
	}
	w := httptest.NewRecorder()
	caller.NewHandler(f, clock{}, bodyTimeout).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/request/shop/read", nil).WithContext(ctx))
	Expect(w.Header().Get("Connection")).To(Equal(want))
},
	Entry("of a running instance", false, false, ""),
	Entry("of an instance that has begun to stop meanwhile", true, false, "close"),
	Entry("of a request whose context has ended", false, true, "close"),
)
