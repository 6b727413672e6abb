package upstream_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/upstream"
)

type fakeAnnouncer struct {
	err      error
	received []azurestair.Announcement
}

func (f *fakeAnnouncer) Announce(a azurestair.Announcement) (upstream.AnnounceReply, error) {
	f.received = append(f.received, a)
	return upstream.AnnounceReply{AnnounceEveryMs: 1000, LeaseMs: 3000, Entries: []string{"127.0.0.1:1"}}, f.err
}

var _ = Describe("announcements", func() {
	const validBody = `{"upstream":"u1","service":"shop","addr":"127.0.0.1:80","region":"kigali","failureDomain":"kigali-a",` +
		`"slots":9,"maxConns":330,"state":"serving","incarnation":1,"sequence":2,"load":{"inFlight":1,"queued":0}}`

	// Guards against routing requests to an address that was announced without
	// a valid token, and against statuses that make an upstream retry an
	// announcement that can never succeed.
	DescribeTable("get a status that depends on their token, form and effect",
		func(token, body string, err error, status, received int) {
			f := &fakeAnnouncer{err: err}
			auth := func(t string) (string, error) {
				if t != "secret" {
					return "", azurestair.ErrUnauthorized
				}
				return "u1", nil
			}
			r := httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(body))
			r.Header.Set("Authorization", token)
			w := httptest.NewRecorder()
			upstream.NewAnnounceHandler(f, auth).ServeHTTP(w, r)
			Expect([]int{w.Code, len(f.received)}).To(Equal([]int{status, received}), w.Body.String())
			if status == http.StatusOK {
				Expect(w.Body.String()).To(MatchJSON(`{"announceEveryMs":1000,"leaseMs":3000,"entries":["127.0.0.1:1"]}`))
				return
			}
			var e upstream.ErrorBody
			Expect(json.Unmarshal(w.Body.Bytes(), &e)).To(Succeed())
			Expect(e.Error).NotTo(BeEmpty())
		},
		Entry("accepted", "Bearer secret", validBody, nil, 200, 1),
		Entry("no token", "", validBody, nil, 401, 0), Entry("wrong token", "Bearer x", validBody, nil, 401, 0),
		Entry("malformed", "Bearer secret", "{", nil, 400, 0), Entry("two values", "Bearer secret", validBody+validBody, nil, 400, 0),
		Entry("oversized", "Bearer secret", strings.Repeat(" ", 9<<10)+validBody, nil, 400, 0),
		Entry("invalid", "Bearer secret", strings.Replace(validBody, "serving", "asleep", 1), nil, 400, 0),
		Entry("old", "Bearer secret", validBody, azurestair.ErrConflict, 409, 1),
		Entry("full", "Bearer secret", validBody, azurestair.ErrFull, 503, 1),
		Entry("busy", "Bearer secret", validBody, context.DeadlineExceeded, 503, 1),
	)
})
