package instance

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/operator"
	"azurestair.example/azurestair/routing"
)

// expectSameReason sends a request to an entry with the given view and checks
// that the reason is the same in the response's header and body, the log,
// the metrics and the status.
func expectSameReason(v *view, target string, header map[string]string, reason azurestair.Reason) {
	ginkgo.GinkgoHelper()
	var log bytes.Buffer
	clock := &fixedClock{now: time.Unix(1_700_000_000, 0)}
	e := &Entry{clock: clock, metrics: newProcessMetrics(), log: slog.New(slog.NewTextHandler(&log, nil))}
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
	(&backend{&Process{entry: e, metrics: e.metrics}}).addTrafficStatus(&st, clock.now)
	Expect(st.Refusals).To(Equal(map[azurestair.Reason]int64{reason: 1}))
}

// Guards against refusals that the operator does not see, or sees under another
// name than the caller.
var _ = ginkgo.DescribeTable("a refusal has the same reason for the caller and the operator", expectSameReason,
	ginkgo.Entry("bad header", nil, "/v1/request/a/b", map[string]string{caller.HeaderTimeout: "0"}, azurestair.ReasonBadRequest),
	ginkgo.Entry("bad block", nil, "/v1/lookup?block=x", nil, azurestair.ReasonBadRequest),
	ginkgo.Entry("lookup without a view", nil, "/v1/lookup", nil, azurestair.ReasonNotReady),
	ginkgo.Entry("request without a view", nil, "/v1/request/a/b", nil, azurestair.ReasonNotReady),
	ginkgo.Entry("key without a view", nil, "/v1/request/a/b", map[string]string{caller.HeaderKey: "k"}, azurestair.ReasonLedgerUnreachable),
	ginkgo.Entry("unknown operation", &view{snapshot: &azurestair.Snapshot{Config: &azurestair.Config{Version: 1}}},
		"/v1/request/a/b", nil, azurestair.ReasonUnknownOperation),
)

// Guards against reporting a lack of link bandwidth as a shift cap, and vice
// versa.
var _ = ginkgo.DescribeTable("a refused shift names the exhausted budget",
	func(used, link int64, want azurestair.Reason) {
		clock := &fixedClock{now: time.Unix(1_700_000_000, 0)}
		v := &view{snapshot: &azurestair.Snapshot{Config: &azurestair.Config{
			Regions: []azurestair.Region{{Name: "kigali"}, {Name: "huye"}},
			Links:   []azurestair.Link{{From: "kigali", To: "huye", Limit: 10}},
		}}, leases: control.Leases{
			{Kind: azurestair.ResourceSlots, Service: "catalogue", Region: "huye"}: {Floor: 5},
			{Kind: azurestair.ResourceShift, Service: "catalogue", Region: "huye"}: {Floor: 5},
			linkResource("kigali", "huye"):                                         {Floor: link},
		}}
		e := &Entry{clock: clock, self: azurestair.InstanceInfo{Region: "kigali"}}
		e.linkPacer = &linkPacer{entry: e}
		e.view.Store(v)
		d := newDispatcher(clock, nil, nil, nil)
		d.inFlight["huye"] = azurestair.Slots(used)
		c := &call{entry: e, dispatcher: d, work: azurestair.RequestInfo{Service: "catalogue"}}
		Expect(c.pickFailureReason(&routing.PickError{Reason: azurestair.ReasonShiftCap})).To(Equal(want))
		Expect(c.pickFailureReason(&routing.PickError{Reason: azurestair.ReasonNoUpstream})).To(Equal(azurestair.ReasonNoUpstream))
	},
	ginkgo.Entry("no link budget", int64(0), int64(0), azurestair.ReasonLinkBudget),
	ginkgo.Entry("link budget left", int64(0), int64(10), azurestair.ReasonShiftCap),
	ginkgo.Entry("at the cap", int64(5), int64(0), azurestair.ReasonShiftCap),
)

// Guards against callers that retry before a newly started entry can have
// reached a leader, and are refused a second time.
var _ = ginkgo.It("an entry without a configuration asks callers to retry after an election", func() {
	clock := &fixedClock{now: time.Unix(1_700_000_000, 0)}
	e := &Entry{clock: clock, metrics: newProcessMetrics(), log: slog.New(slog.DiscardHandler)}
	reply := e.Serve(context.Background(), &caller.Request{ID: "1", Host: "shop.example", Path: "/"})
	Expect(reply.Reason).To(Equal(azurestair.ReasonNotReady))
	Expect(reply.NotRun).To(BeTrue())
	Expect(reply.RetryAfter).To(BeNumerically(">=", 1500), "ms")
})
