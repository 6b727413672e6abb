package caller_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
)

var _ = Describe("an API key", func() {
	send := func(f *fakeEntry, header http.Header) *httptest.ResponseRecorder {
		req := httptest.NewRequest(http.MethodGet, "/v1/request/shop/read", strings.NewReader(""))
		req.Header = header
		w := httptest.NewRecorder()
		caller.NewHandler(f, clock{}, 10*time.Second).ServeHTTP(w, req)
		return w
	}

	// Guards against upstreams that get the key of a caller, or a workspace that
	// the caller has chosen itself.
	It("is kept as a digest and is not forwarded, nor is a workspace", func() {
		f := &fakeEntry{reply: doneReply(200, "", nil)}
		send(f, http.Header{"Azurestair-Key": {"key-one"}, "Azurestair-Workspace": {"bell"}, "X-Own": {"1"}})
		Expect([]any{f.lastRequest.HasAPIKey, f.lastRequest.APIKey}).To(Equal([]any{true, azurestair.KeyDigestOf("key-one")}))
		Expect(f.lastRequest.Header).To(Equal(http.Header{"X-Own": {"1"}}))
	})

	// Guards against a request that is served by one of several keys.
	It("is missing if it is empty, and unknown if there are several", func() {
		f := &fakeEntry{reply: doneReply(200, "", nil)}
		send(f, http.Header{"Azurestair-Key": {""}})
		Expect(f.lastRequest.HasAPIKey).To(BeFalse())
		send(f, http.Header{"Azurestair-Key": {"key-one", "key-two"}})
		Expect([]any{f.lastRequest.HasAPIKey, f.lastRequest.APIKey}).To(Equal([]any{true, azurestair.KeyDigest{}}))
	})

	DescribeTable("has its own statuses",
		func(o azurestair.Outcome, reason azurestair.Reason, status int) {
			f := &fakeEntry{reply: func(*caller.Request) caller.Reply { return caller.Reply{Outcome: o, Reason: reason, NotRun: true} }}
			w := send(f, http.Header{"Azurestair-Key": {"key-one"}})
			Expect([]any{w.Code, w.Header().Get(caller.HeaderReason)}).To(Equal([]any{status, string(reason)}))
			Expect(w.Body.String()).NotTo(ContainSubstring("key-one"))
		},
		Entry("missing", azurestair.OutcomeInvalid, azurestair.ReasonWorkspaceKeyMissing, 401),
		Entry("unknown", azurestair.OutcomeInvalid, azurestair.ReasonWorkspaceKeyUnknown, 401),
		Entry("not known here", azurestair.OutcomeRefused, azurestair.ReasonKeysUnknown, 503),
		Entry("no region", azurestair.OutcomeRefused, azurestair.ReasonHomeRegions, 503),
		Entry("beyond its rate", azurestair.OutcomeRefused, azurestair.ReasonQuota, 429),
		Entry("rate not known here", azurestair.OutcomeRefused, azurestair.ReasonQuotaUnreachable, 503),
	)
})
