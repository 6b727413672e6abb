package operator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/operator"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

// fakeBackend applies commands to a control.State without replication.
type fakeBackend struct {
	state     control.State
	index     azurestair.Index
	err       error
	result    *azurestair.Result
	instances []azurestair.InstanceInfo
}

func (b *fakeBackend) Propose(_ context.Context, c azurestair.Command) (azurestair.Result, error) {
	if b.err != nil {
		return azurestair.Result{}, b.err
	}
	if b.result != nil {
		return *b.result, nil
	}
	b.index++
	c.At = 1000
	return b.state.Apply(b.index, c), nil
}

func (b *fakeBackend) Query(_ context.Context, q control.Query) (control.QueryResult, error) {
	res := b.state.Query(q)
	res.Instances = b.instances
	return res, b.err
}

func (b *fakeBackend) Status(context.Context) operator.Status {
	return operator.Status{
		Self: azurestair.InstanceInfo{ID: "e1"}, Leader: "c1", Term: 4, ConfigVersion: b.state.Config().Version,
		Refusals: map[azurestair.Reason]int64{azurestair.ReasonShed: 2},
	}
}

func (b *fakeBackend) Ready() error { return b.err }

const config = `{"version":0,"defaults":{},"services":[],"regions":[{"name":"kigali","failureDomains":["kigali-a"]}]}`

// configChange returns the body of a PUT /v1/config request.
func configChange(id string, base int, cfg string) string {
	return fmt.Sprintf(`{"changeId":%q,"reason":"test","baseVersion":%d,"config":%s}`, id, base, cfg)
}

const drainRequest = `{"changeId":"d1","reason":"disk","target":{"kind":"upstream","name":"u1"}}`

var _ = Describe("the administration API", func() {
	var (
		b      *fakeBackend
		server *httptest.Server
		client *operator.Client
		ctx    = context.Background()
	)
	BeforeEach(func() {
		b = &fakeBackend{instances: []azurestair.InstanceInfo{{ID: "e1", ActiveConfig: 100}}}
		auth := func(token string) (azurestair.OperatorName, error) {
			if token != "secret" {
				return "", azurestair.ErrUnauthorized
			}
			return "alice", nil
		}
		server = httptest.NewServer(operator.NewHandler(b, auth, clock{}, http.NotFoundHandler()))
		DeferCleanup(server.Close)
		client = &operator.Client{Addr: strings.TrimPrefix(server.URL, "http://"), Token: "secret"}
	})
	call := func(method, path, token, body string) (int, string) {
		GinkgoHelper()
		r, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		if token != "" {
			r.Header.Set("Authorization", token)
		}
		resp, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode, string(data)
	}
	const token = "Bearer secret"

	// Guards against unauthenticated changes and reads of the fleet.
	It("needs a token on every path but health, readiness and metrics", func() {
		for _, t := range []string{"", "secret", "Bearer", "Bearer ", "Bearer wrong", "bearer secret", "Basic secret", "Bearer secret2"} {
			for path, method := range map[string]string{
				"/v1/config": "PUT", "/v1/config/history": "GET", "/v1/drain": "POST", "/v1/undrain": "POST", "/v1/members": "POST", "/v1/status": "GET", "/v1/audit": "GET",
			} {
				status, body := call(method, path, t, configChange("c1", 0, config))
				Expect([]any{status, body}).To(Equal([]any{401, `{"error":"unauthorized"}`}), t+path)
			}
		}
		Expect(b.index).To(BeZero())
		for path, want := range map[string]int{"/healthz": 200, "/readyz": 200, "/metrics": 404} {
			status, _ := call("GET", path, "", "")
			Expect(status).To(Equal(want), path)
		}
	})

	// Guards against applying a change that the operator did not intend, for
	// example because a field is misspelled.
	DescribeTable("rejects bad input and proposes nothing",
		func(method, path, body string, want int) {
			status, data := call(method, path, token, body)
			Expect(status).To(Equal(want), data)
			var e operator.ErrorBody
			Expect(json.Unmarshal([]byte(data), &e)).To(Succeed())
			Expect(e.Error).NotTo(BeEmpty())
			Expect(b.index).To(BeZero())
		},
		Entry(nil, "PUT", "/v1/config", "", 400), Entry(nil, "PUT", "/v1/config", "{", 400), Entry(nil, "PUT", "/v1/config", "[]", 400),
		Entry("unknown field", "PUT", "/v1/config", `{"baseVerison":1}`, 400),
		Entry("unknown field of the configuration", "PUT", "/v1/config", configChange("c1", 0, `{"version":0,"default":{}}`), 400),
		Entry("two values", "PUT", "/v1/config", configChange("c1", 0, config)+configChange("c2", 0, config), 400),
		Entry("trailing text", "PUT", "/v1/config", configChange("c1", 0, config)+"x", 400),
		Entry("oversized", "PUT", "/v1/config", configChange("c1", 0, strings.Repeat(" ", 4<<20)+config), 413),
		Entry("no id", "PUT", "/v1/config", configChange("", 0, config), 400),
		Entry("no reason", "PUT", "/v1/config", `{"changeId":"c1","config":`+config+`}`, 400),
		Entry("negative base", "PUT", "/v1/config", configChange("c1", -1, config), 400),
		Entry("long wait", "PUT", "/v1/config", `{"waitMs":30001,`+configChange("c1", 0, config)[1:], 400),
		Entry("bad value", "PUT", "/v1/config", configChange("c1", 0, `{"defaults":{"retryPercent":51}}`), 400),
		Entry("drain without target", "POST", "/v1/drain", `{"changeId":"d1","reason":"x"}`, 400),
		Entry("drain of a bad kind", "POST", "/v1/undrain", strings.Replace(drainRequest, "upstream", "service", 1), 400),
		Entry("drain without reason", "POST", "/v1/drain", strings.Replace(drainRequest, "disk", " ", 1), 400),
		Entry("member without action", "POST", "/v1/members", `{"changeId":"m1","reason":"x","instance":"c4"}`, 400),
		Entry("member without instance", "POST", "/v1/members", `{"changeId":"m1","reason":"x","action":"promote"}`, 400),
		Entry("audit limit", "GET", "/v1/audit?limit=-1", "", 400), Entry("audit time", "GET", "/v1/audit?from=yesterday", "", 400),
		Entry("audit overflow", "GET", "/v1/audit?to=9223372036854775808", "", 400),
	)

	It("changes the configuration, answers a resend with the first result and a conflict with the diff", func() {
		apply := func(id string, base int) (operator.ChangeResponse, error) {
			var req operator.ConfigRequest
			Expect(json.Unmarshal([]byte(configChange(id, base, config)), &req)).To(Succeed())
			return client.Apply(ctx, req)
		}
		first, err := apply("c1", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(first).To(Equal(operator.ChangeResponse{Code: azurestair.ResultAccepted, Version: 1, AppliedBy: []azurestair.InstanceID{"e1"}}))
		// Guards against creating a second version when a request is retried
		// after a lost response.
		again, err := apply("c1", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect([]any{again.Code, again.Version}).To(Equal([]any{first.Code, first.Version}))
		// Guards against overwriting a change that the operator has not seen.
		conflict, err := apply("c2", 0)
		Expect(err).To(MatchError(azurestair.ErrConflict))
		Expect(conflict.Code).To(Equal(azurestair.ResultConflict))
		Expect(conflict.Diff).To(ContainElement(ContainSubstring("kigali")))
		cfg, err := client.Config(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect([]any{cfg.Version, cfg.Config.Regions[0].Name}).To(Equal([]any{azurestair.ConfigVersion(1), azurestair.RegionName("kigali")}))
		history, err := client.History(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(history.Versions[len(history.Versions)-1].Config.Version).To(BeEquivalentTo(1))
	})

	// Guards against reporting a change as applied on instances that have not
	// applied it.
	It("lists the instances that have not applied the change", func() {
		b.instances = append(b.instances, azurestair.InstanceInfo{ID: "e2"})
		var req operator.ConfigRequest
		Expect(json.Unmarshal([]byte(configChange("c1", 0, config)), &req)).To(Succeed())
		req.WaitMs = 1
		resp, err := client.Apply(ctx, req)
		Expect(err).NotTo(HaveOccurred())
		Expect([]any{resp.AppliedBy, resp.NotAppliedBy}).To(Equal([]any{[]azurestair.InstanceID{"e1"}, []azurestair.InstanceID{"e2"}}))
	})

	It("drains, ends the drain, and writes both to the audit trail", func() {
		var req operator.DrainRequest
		Expect(json.Unmarshal([]byte(drainRequest), &req)).To(Succeed())
		_, err := client.Drain(ctx, req)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.state.Drains()).To(HaveLen(1))
		req.ChangeID = "d2"
		_, err = client.Undrain(ctx, req)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.state.Drains()).To(BeEmpty())
		audit, err := client.Audit(ctx, control.AuditQuery{Operator: "alice", Limit: 1, From: 1000, To: 1001})
		Expect(err).NotTo(HaveOccurred())
		Expect(audit.Records).To(HaveLen(1))
		r := audit.Records[0]
		Expect([]any{r.ChangeID, r.Operator, r.Reason, r.Result, r.At}).To(Equal([]any{
			azurestair.ChangeID("d2"), azurestair.OperatorName("alice"), "disk", azurestair.ResultAccepted, azurestair.UnixMillis(1000),
		}))
		audit, err = client.Audit(ctx, control.AuditQuery{Operator: "bob"})
		Expect(err).NotTo(HaveOccurred())
		Expect(audit.Records).To(BeEmpty())
	})

	It("shows the status", func() {
		st, err := client.Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(st).To(Equal(b.Status(ctx)))
		_, data := call("GET", "/v1/status", token, "")
		var fields map[string]any
		Expect(json.Unmarshal([]byte(data), &fields)).To(Succeed())
		for _, name := range []string{
			"self", "leader", "term", "commit", "configVersion", "current", "instances", "upstreams", "drains", "budgets", "refusals", "outcomes",
		} {
			Expect(fields).To(HaveKey(name))
		}
	})

	// Guards against a client that mistakes an error for another one or for
	// success.
	DescribeTable("returns each error with its status, and as its sentinel at the client",
		func(err error, status int, want error) {
			b.err = err
			got, _ := call("GET", "/v1/config", token, "")
			Expect(got).To(Equal(status))
			var req operator.DrainRequest
			Expect(json.Unmarshal([]byte(drainRequest), &req)).To(Succeed())
			_, failed := client.Drain(ctx, req)
			Expect(failed).To(MatchError(want))
			_, failed = client.History(ctx)
			Expect(failed).To(MatchError(want))
		},
		Entry(nil, azurestair.ErrInvalid, 400, azurestair.ErrInvalid), Entry(nil, azurestair.ErrNotFound, 404, azurestair.ErrNotFound),
		Entry(nil, azurestair.ErrTooLarge, 413, azurestair.ErrTooLarge), Entry(nil, azurestair.ErrFull, 507, azurestair.ErrFull),
		Entry(nil, azurestair.NotLeaderError{}, 503, azurestair.ErrNoQuorum), Entry(nil, azurestair.ErrNoQuorum, 503, azurestair.ErrNoQuorum),
		Entry(nil, azurestair.ErrDeadline, 503, azurestair.ErrNoQuorum), Entry(nil, context.DeadlineExceeded, 503, azurestair.ErrNoQuorum),
		Entry(nil, azurestair.ErrClosed, 503, azurestair.ErrNoQuorum),
	)

	DescribeTable("returns each failed result of a change as its sentinel at the client",
		func(code azurestair.ResultCode, want error) {
			b.result = &azurestair.Result{Code: code, Detail: "why"}
			var req operator.DrainRequest
			Expect(json.Unmarshal([]byte(drainRequest), &req)).To(Succeed())
			_, err := client.Drain(ctx, req)
			Expect(err).To(MatchError(want))
		},
		Entry(nil, azurestair.ResultConflict, azurestair.ErrConflict), Entry(nil, azurestair.ResultInvalid, azurestair.ErrInvalid),
		Entry(nil, azurestair.ResultNotFound, azurestair.ErrNotFound), Entry(nil, azurestair.ResultFull, azurestair.ErrFull),
	)

	It("returns a wrong token as unauthorized at the client", func() {
		client.Token = "wrong"
		_, err := client.Status(ctx)
		Expect(err).To(MatchError(azurestair.ErrUnauthorized))
	})
})
