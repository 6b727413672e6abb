package try

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/operator"
	"azurestair.example/azurestair/stub"
)

// Step is the result of one check.
type Step struct {
	Name   string `json:"name"`
	OK     bool   `json:"ok"`
	Detail string `json:"detail"`
}

// Report is the result of a run.
type Report struct {
	OK    bool   `json:"ok"`
	Steps []Step `json:"steps"`
}

// Write prints the report as text.
func (r Report) Write(w io.Writer) {
	for _, s := range r.Steps {
		status := "ok  "
		if !s.OK {
			status = "FAIL"
		}
		_, _ = fmt.Fprintf(w, "%s  %-34s %s\n", status, s.Name, s.Detail)
	}
	if r.OK {
		_, _ = fmt.Fprintln(w, "all as promised")
		return
	}
	_, _ = fmt.Fprintln(w, "not all as promised")
}

// numEntries is the number of entries of the embedded fleet.
const numEntries = 2

// startTimeout limits the wait until the fleet is ready, and its shutdown.
const startTimeout = 20 * time.Second

// Run starts the embedded fleet, runs the steps up to the first failure and
// stops the fleet. The instances write their log lines to log.
func Run(ctx context.Context, log io.Writer) (Report, error) {
	c, err := startCluster(ctx, numEntries, log)
	if err != nil {
		return Report{}, err
	}
	r := &run{cluster: c, http: &http.Client{Timeout: 15 * time.Second}}
	r.runSteps(ctx)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	defer cancel()
	c.Stop(stopCtx)
	r.report.OK = len(r.report.Steps) > 0
	for _, s := range r.report.Steps {
		r.report.OK = r.report.OK && s.OK
	}
	return r.report, nil
}

// run holds the state of one run of the steps.
type run struct {
	cluster *Cluster
	http    *http.Client
	report  Report
	// apiKey is sent with each request; empty means none.
	apiKey string
}

func (r *run) runSteps(ctx context.Context) {
	steps := []struct {
		name string
		do   func(context.Context) (string, error)
	}{
		{"configuration accepted and in force", r.configure},
		{"look-up answered by each entry", r.lookup},
		{"interactive requests answered", r.browse},
		{"urgent request runs once", r.pay},
		{"deferred request runs once", r.engrave},
		{"same key gets the recorded answer", r.repeatKey},
		{"drained upstream gets no new work", r.drain},
		{"requests need a key of a workspace", r.workspaces},
		{"entry stops without a cut request", r.stopEntry},
		{"changes stand in the audit trail", r.audit},
	}
	for _, s := range steps {
		detail, err := s.do(ctx)
		if err != nil {
			detail = err.Error()
		}
		r.report.Steps = append(r.report.Steps, Step{Name: s.name, OK: err == nil, Detail: detail})
		if err != nil {
			return
		}
	}
}

func (r *run) configure(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	started := time.Now()
	req := operator.ConfigRequest{ChangeID: "try-1", Reason: "embedded default", Config: fleet()}
	var resp operator.ChangeResponse
	err := operator.Poll(ctx, func() error {
		var err error
		resp, err = r.cluster.admin().Apply(ctx, req)
		return err
	})
	if err != nil {
		return "", err
	}
	if len(resp.NotAppliedBy) > 0 {
		return "", fmt.Errorf("version %d is not in force on %v", resp.Version, resp.NotAppliedBy)
	}
	err = operator.Poll(ctx, func() error { return r.checkReady(ctx) })
	return fmt.Sprintf("version %d on %d instances, ready after %d ms", resp.Version, len(resp.AppliedBy), time.Since(started).Milliseconds()), err
}

// checkReady returns an error unless every entry knows that all entries are
// ready, knows all upstreams and holds leases for all services.
func (r *run) checkReady(ctx context.Context) error {
	for _, n := range r.cluster.entries() {
		admin := operator.Client{Addr: n.settings.Listen.Operators, Token: operatorToken}
		st, err := admin.Status(ctx)
		if err != nil {
			return err
		}
		ready := 0
		for _, i := range st.Instances {
			if i.Ready {
				ready++
			}
		}
		if ready < numEntries || len(st.Upstreams) < len(r.cluster.upstreams) {
			return fmt.Errorf("%w: %d entries and %d upstreams are ready", azurestair.ErrNotFound, ready, len(st.Upstreams))
		}
		if !hasLeases(st.Budgets) {
			return fmt.Errorf("%w: budgets are not leased yet: %v", azurestair.ErrNotFound, st.Budgets)
		}
	}
	return nil
}

// hasLeases reports whether the entry may use slots of every service. It does
// not require slots of every region, because those of other regions are leased
// on demand.
func hasLeases(budgets []operator.Budget) bool {
	leased := map[azurestair.ServiceName]bool{}
	for _, b := range budgets {
		name, ok := strings.CutPrefix(b.Resource, string(azurestair.ResourceSlots)+":")
		service, _, _ := strings.Cut(name, "@")
		if ok && b.Leased && b.Usable > 0 {
			leased[azurestair.ServiceName(service)] = true
		}
	}
	return leased[serviceCatalogue] && leased[servicePayment]
}

func (r *run) lookup(ctx context.Context) (string, error) {
	total := 0
	for _, n := range r.cluster.entries() {
		answer, err := r.lookupAt(ctx, n.settings.Listen.Callers)
		if err != nil {
			return "", err
		}
		total += len(answer.Entries)
	}
	return fmt.Sprintf("%d entries returned by %d instances", total, numEntries), nil
}

func (r *run) lookupAt(ctx context.Context, addr string) (caller.LookupResponse, error) {
	var answer caller.LookupResponse
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/lookup?service=catalogue", nil)
	if err != nil {
		return answer, err
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return answer, err
	}
	if len(answer.Entries) != numEntries || answer.TTLMs <= 0 {
		return answer, fmt.Errorf("look-up at %s returned %d entries", addr, len(answer.Entries))
	}
	return answer, nil
}

// response is the result of a request.
type response struct {
	status   int
	header   http.Header
	outcome  string
	replayed bool
	body     string
}

// send sends a request through the entry with the given index.
func (r *run) send(ctx context.Context, entry int, method, path, key, body string) (response, error) {
	addr := r.cluster.entries()[entry].settings.Listen.Callers
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/v1/request/"+path, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	if key != "" {
		req.Header.Set(caller.HeaderKey, key)
		req.Header.Set(stub.HeaderTestID, key)
	}
	if r.apiKey != "" {
		req.Header.Set(caller.HeaderAPIKey, r.apiKey)
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read
	data, err := io.ReadAll(resp.Body)
	return response{
		status: resp.StatusCode, header: resp.Header, outcome: resp.Header.Get(caller.HeaderOutcome),
		replayed: resp.Header.Get(caller.HeaderReplayed) == "true", body: string(data),
	}, err
}

// numBrowseRequests is the number of interactive requests in one step.
const numBrowseRequests = 100

func (r *run) browse(ctx context.Context) (string, error) {
	for i := range numBrowseRequests {
		path := fmt.Sprintf("catalogue/browse/kit/%d", i)
		resp, err := r.send(ctx, i%numEntries, http.MethodGet, path, "", "")
		if err != nil {
			return "", err
		}
		if resp.status != http.StatusOK || !strings.HasSuffix(resp.body, fmt.Sprintf("/browse/kit/%d\n", i)) {
			return "", fmt.Errorf("request %d got status %d, outcome %s, body %q", i, resp.status, resp.outcome, resp.body)
		}
	}
	return fmt.Sprintf("%d of %d", numBrowseRequests, numBrowseRequests), nil
}

func (r *run) pay(ctx context.Context) (string, error) {
	return r.sendOnce(ctx, "payment/pay", "pay-1", "2500 RWF")
}

func (r *run) engrave(ctx context.Context) (string, error) {
	return r.sendOnce(ctx, "catalogue/engrave", "engrave-1", "In memory")
}

func (r *run) sendOnce(ctx context.Context, path, key, body string) (string, error) {
	resp, err := r.send(ctx, 0, http.MethodPost, path, key, body)
	if err != nil {
		return "", err
	}
	if resp.status != http.StatusOK || resp.body != body {
		return "", fmt.Errorf("request got status %d, outcome %s, body %q", resp.status, resp.outcome, resp.body)
	}
	if n := r.cluster.runs(key); n != 1 {
		return "", fmt.Errorf("request ran %d times instead of once", n)
	}
	return "answered, ran once", nil
}

func (r *run) repeatKey(ctx context.Context) (string, error) {
	for entry := range numEntries {
		resp, err := r.send(ctx, entry, http.MethodPost, "payment/pay", "pay-1", "2500 RWF")
		if err != nil {
			return "", err
		}
		if !resp.replayed || resp.body != "2500 RWF" {
			return "", fmt.Errorf("entry %d got status %d, outcome %s, body %q", entry, resp.status, resp.outcome, resp.body)
		}
	}
	if n := r.cluster.runs("pay-1"); n != 1 {
		return "", fmt.Errorf("request ran %d times instead of once", n)
	}
	return fmt.Sprintf("sent through %d entries, ran once", numEntries), nil
}

func (r *run) drain(ctx context.Context) (string, error) {
	u := r.cluster.upstreams[0]
	_, err := r.cluster.admin().Drain(ctx, operator.DrainRequest{
		ChangeID: "try-2", Reason: "planned work on the embedded fleet",
		Target: azurestair.Target{Kind: azurestair.TargetUpstream, Name: string(u.ID())},
	})
	if err != nil {
		return "", err
	}
	if err := operator.Poll(ctx, func() error { return r.checkDrained(ctx) }); err != nil {
		return "", err
	}
	before := u.Accepted()
	if _, err := r.browse(ctx); err != nil {
		return "", err
	}
	if n := u.Accepted() - before; n > 0 {
		return "", fmt.Errorf("%d requests reached the drained upstream %s", n, u.ID())
	}
	return fmt.Sprintf("%d requests, none at %s", numBrowseRequests, u.ID()), nil
}

func (r *run) checkDrained(ctx context.Context) error {
	for _, n := range r.cluster.entries() {
		admin := operator.Client{Addr: n.settings.Listen.Operators, Token: operatorToken}
		st, err := admin.Status(ctx)
		if err != nil {
			return err
		}
		if len(st.Drains) == 0 {
			return fmt.Errorf("%w: drain on %s", azurestair.ErrNotFound, n.settings.Instance.ID)
		}
	}
	return nil
}

// stopEntry stops an entry while it has a slow request in progress.
func (r *run) stopEntry(ctx context.Context) (string, error) {
	for _, u := range r.cluster.upstreams {
		u.SetServiceTime(400 * time.Millisecond)
	}
	before := r.cluster.accepted()
	done := make(chan error, 1)
	go r.runSlowRequest(ctx, done)
	if err := operator.Poll(ctx, func() error { return r.cluster.checkAccepted(before) }); err != nil {
		return "", err
	}
	last := r.cluster.entries()[numEntries-1]
	if err := last.app.Stop(ctx); err != nil {
		return "", err
	}
	last.app = nil
	if err := <-done; err != nil {
		return "", err
	}
	for _, u := range r.cluster.upstreams {
		u.SetServiceTime(0)
	}
	resp, err := r.send(ctx, 0, http.MethodGet, "catalogue/browse/after", "", "")
	if err != nil || resp.status != http.StatusOK {
		return "", fmt.Errorf("the other entry responded with status %d: %w", resp.status, err)
	}
	return "request finished, the other entry serves", nil
}

func (r *run) runSlowRequest(ctx context.Context, done chan<- error) {
	resp, err := r.send(ctx, numEntries-1, http.MethodGet, "catalogue/browse/slow", "", "")
	if err == nil && resp.status != http.StatusOK {
		err = fmt.Errorf("slow request got status %d, outcome %s", resp.status, resp.outcome)
	}
	done <- err
}

func (r *run) audit(ctx context.Context) (string, error) {
	resp, err := r.cluster.admin().Audit(ctx, control.AuditQuery{})
	if err != nil {
		return "", err
	}
	if len(resp.Records) != 3 {
		return "", fmt.Errorf("the audit trail has %d records instead of 3", len(resp.Records))
	}
	return fmt.Sprintf("%d records", len(resp.Records)), nil
}
