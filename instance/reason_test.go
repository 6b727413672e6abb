package instance

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/operator"
)

// expectEverywhere sends a request to an entry with a view and expects the same
// reason in the answer's header and body, the log, the metrics and the status.
func expectEverywhere(v *view, target string, header map[string]string, reason azurestair.Reason) {
	ginkgo.GinkgoHelper()
	var log bytes.Buffer
	clock := &fixedClock{now: time.Unix(1_700_000_000, 0)}
	e := &Entry{clock: clock, metrics: newMeters(), log: slog.New(slog.NewTextHandler(&log, nil))}
	e.view.Store(v)
	q := httptest.NewRequest(http.MethodGet, target, nil)
	for name, value := range header {
		q.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	caller.NewHandler(e, clock, time.Second).ServeHTTP(w, q)

	var body caller.ErrorBody
	Expect(json.Unmarshal(w.Body.Bytes(), &body)).To(Succeed())
	Expect(body.Reason).To(Equal(reason))
	Expect(w.Header().Get(caller.HeaderReason)).To(Equal(string(reason)))
	Expect(log.String()).To(ContainSubstring(" reason=" + string(reason) + " "))
	Expect(e.metrics.counters(reasonPrefix)).To(Equal(map[string]int64{string(reason): 1}))
	st := operator.Status{Refusals: map[azurestair.Reason]int64{}, Outcomes: map[azurestair.Outcome]int64{}}
	(&backend{&Process{entry: e, metrics: e.metrics}}).fillTraffic(&st, clock.now)
	Expect(st.Refusals).To(Equal(map[azurestair.Reason]int64{reason: 1}))
}

// Guards against refusals that a caller sees and the operator does not, or under another name.
var _ = ginkgo.DescribeTable("a refusal has one name everywhere", expectEverywhere,
	ginkgo.Entry("bad header", nil, "/v1/request/a/b", map[string]string{caller.HeaderTimeout: "0"}, azurestair.ReasonBadRequest),
	ginkgo.Entry("bad block", nil, "/v1/lookup?block=x", nil, azurestair.ReasonBadRequest),
	ginkgo.Entry("lookup without a view", nil, "/v1/lookup", nil, azurestair.ReasonNotReady),
	ginkgo.Entry("request without a view", nil, "/v1/request/a/b", nil, azurestair.ReasonNotReady),
	ginkgo.Entry("key without a view", nil, "/v1/request/a/b", map[string]string{caller.HeaderKey: "k"}, azurestair.ReasonLedgerUnreachable),
	ginkgo.Entry("unknown operation", &view{snapshot: &azurestair.Snapshot{Config: &azurestair.Config{Version: 1}}},
		"/v1/request/a/b", nil, azurestair.ReasonUnknownOperation),
)
