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

// Step is one promise that was tried.
type Step struct {
	Name   string `json:"name"`
	OK     bool   `json:"ok"`
	Detail string `json:"detail"`
}

// Report is what a run found.
type Report struct {
	OK    bool   `json:"ok"`
	Steps []Step `json:"steps"`
}

// Write prints the report for a person.
func (r Report) Write(w io.Writer) {
	for _, s := range r.Steps {
		mark := "ok  "
		if !s.OK {
			mark = "FAIL"
		}
		_, _ = fmt.Fprintf(w, "%s  %-34s %s\n", mark, s.Name, s.Detail)
	}
	if r.OK {
		_, _ = fmt.Fprintln(w, "all as promised")
		return
	}
	_, _ = fmt.Fprintln(w, "not all as promised")
}

// numEntries is the number of entries of the embedded fleet.
const numEntries = 2

// startTimeout bounds the wait until the fleet is ready.
const startTimeout = 20 * time.Second

// Run starts the embedded fleet, tries the promises and stops it. Log lines go to log.
func Run(ctx context.Context, log io.Writer) (Report, error) {
	c, err := startCluster(ctx, numEntries, log)
	if err != nil {
		return Report{}, err
	}
	r := &run{cluster: c, http: &http.Client{Timeout: 15 * time.Second}}
	r.all(ctx)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	defer cancel()
	c.Stop(stopCtx)
	r.report.OK = len(r.report.Steps) > 0
	for _, s := range r.report.Steps {
		r.report.OK = r.report.OK && s.OK
	}
	return r.report, nil
}

// run is one run of all steps.
type run struct {
	cluster *Cluster
	http    *http.Client
	report  Report
}

func (r *run) all(ctx context.Context) {
	steps := []struct {
		name string
		do   func(context.Context) (string, error)
	}{
		{"configuration accepted and in force", r.configure},
		{"look-up answered by each entry", r.lookup},
		{"interactive requests answered", r.browse},
		{"urgent request runs once", r.pay},
		{"deferred request runs once", r.engrave},
		{"same key gets the recorded answer", r.repeat},
		{"drained upstream gets no new work", r.drain},
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
	q := operator.ConfigRequest{ChangeID: "try-1", Reason: "embedded default", Config: fleet()}
	var a operator.ChangeAnswer
	err := operator.Poll(ctx, func() error {
		var err error
		a, err = r.cluster.admin().Apply(ctx, q)
		return err
	})
	if err != nil {
		return "", err
	}
	if len(a.NotInForce) > 0 {
		return "", fmt.Errorf("version %d is not in force on %v", a.Version, a.NotInForce)
	}
	err = operator.Poll(ctx, func() error { return r.ready(ctx) })
	return fmt.Sprintf("version %d on %d instances, ready after %d ms", a.Version, len(a.InForce), time.Since(started).Milliseconds()), err
}

// ready reports whether all entries serve all upstreams.
func (r *run) ready(ctx context.Context) error {
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
		if !areLeased(st.Budgets) {
			return fmt.Errorf("%w: budgets are not leased yet: %v", azurestair.ErrNotFound, st.Budgets)
		}
	}
	return nil
}

// areLeased reports whether the entry may use slots of every service. Slots of
// another region are leased only when they are wanted.
func areLeased(budgets []operator.Budget) bool {
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
		a, err := r.lookupAt(ctx, n.settings.Listen.Callers)
		if err != nil {
			return "", err
		}
		total += len(a.Entries)
	}
	return fmt.Sprintf("%d entries named by %d instances", total, numEntries), nil
}

func (r *run) lookupAt(ctx context.Context, addr string) (caller.LookupAnswer, error) {
	var a caller.LookupAnswer
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/lookup?service=catalogue", nil)
	if err != nil {
		return a, err
	}
	resp, err := r.http.Do(q)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return a, err
	}
	if len(a.Entries) != numEntries || a.TTLMs <= 0 {
		return a, fmt.Errorf("look-up at %s named %d entries", addr, len(a.Entries))
	}
	return a, nil
}

// answer is what a request brought.
type answer struct {
	status  int
	outcome string
	replay  bool
	body    string
}

// send sends a request through an entry.
func (r *run) send(ctx context.Context, entry int, method, path, key, body string) (answer, error) {
	addr := r.cluster.entries()[entry].settings.Listen.Callers
	q, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/v1/request/"+path, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	if key != "" {
		q.Header.Set(caller.HeaderKey, key)
		q.Header.Set(stub.HeaderTestID, key)
	}
	resp, err := r.http.Do(q)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read
	data, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, outcome: resp.Header.Get(caller.HeaderOutcome),
		replay: resp.Header.Get(caller.HeaderReplayed) == "true", body: string(data),
	}, err
}

// numBrowse is the number of interactive requests that are sent.
const numBrowse = 100

func (r *run) browse(ctx context.Context) (string, error) {
	for i := range numBrowse {
		path := fmt.Sprintf("catalogue/browse/kit/%d", i)
		a, err := r.send(ctx, i%numEntries, http.MethodGet, path, "", "")
		if err != nil {
			return "", err
		}
		if a.status != http.StatusOK || !strings.HasSuffix(a.body, fmt.Sprintf("/browse/kit/%d\n", i)) {
			return "", fmt.Errorf("request %d got status %d, outcome %s, body %q", i, a.status, a.outcome, a.body)
		}
	}
	return fmt.Sprintf("%d of %d", numBrowse, numBrowse), nil
}

func (r *run) pay(ctx context.Context) (string, error) {
	return r.once(ctx, "payment/pay", "pay-1", "2500 RWF")
}

func (r *run) engrave(ctx context.Context) (string, error) {
	return r.once(ctx, "catalogue/engrave", "engrave-1", "In memory")
}

func (r *run) once(ctx context.Context, path, key, body string) (string, error) {
	a, err := r.send(ctx, 0, http.MethodPost, path, key, body)
	if err != nil {
		return "", err
	}
	if a.status != http.StatusOK || a.body != body {
		return "", fmt.Errorf("got status %d, outcome %s, body %q", a.status, a.outcome, a.body)
	}
	if n := r.cluster.runs(key); n != 1 {
		return "", fmt.Errorf("ran %d times", n)
	}
	return "answered, ran once", nil
}

func (r *run) repeat(ctx context.Context) (string, error) {
	for entry := range numEntries {
		a, err := r.send(ctx, entry, http.MethodPost, "payment/pay", "pay-1", "2500 RWF")
		if err != nil {
			return "", err
		}
		if !a.replay || a.body != "2500 RWF" {
			return "", fmt.Errorf("entry %d got status %d, outcome %s, body %q", entry, a.status, a.outcome, a.body)
		}
	}
	if n := r.cluster.runs("pay-1"); n != 1 {
		return "", fmt.Errorf("ran %d times", n)
	}
	return fmt.Sprintf("through %d entries, still ran once", numEntries), nil
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
	if err := operator.Poll(ctx, func() error { return r.drainedEverywhere(ctx) }); err != nil {
		return "", err
	}
	before := u.Accepted()
	if _, err := r.browse(ctx); err != nil {
		return "", err
	}
	if n := u.Accepted() - before; n > 0 {
		return "", fmt.Errorf("%d requests reached %s", n, u.ID())
	}
	return fmt.Sprintf("%d requests, none at %s", numBrowse, u.ID()), nil
}

func (r *run) drainedEverywhere(ctx context.Context) error {
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

// stopEntry stops an entry while a slow request is in progress there.
func (r *run) stopEntry(ctx context.Context) (string, error) {
	for _, u := range r.cluster.upstreams {
		u.SetServiceTime(400 * time.Millisecond)
	}
	before := r.cluster.accepted()
	done := make(chan error, 1)
	go r.runSlow(ctx, done)
	if err := operator.Poll(ctx, func() error { return r.cluster.hasAccepted(before) }); err != nil {
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
	a, err := r.send(ctx, 0, http.MethodGet, "catalogue/browse/after", "", "")
	if err != nil || a.status != http.StatusOK {
		return "", fmt.Errorf("the other entry answered status %d: %w", a.status, err)
	}
	return "request finished, the other entry serves", nil
}

func (r *run) runSlow(ctx context.Context, done chan<- error) {
	a, err := r.send(ctx, numEntries-1, http.MethodGet, "catalogue/browse/slow", "", "")
	if err == nil && a.status != http.StatusOK {
		err = fmt.Errorf("slow request got status %d, outcome %s", a.status, a.outcome)
	}
	done <- err
}

func (r *run) audit(ctx context.Context) (string, error) {
	a, err := r.cluster.admin().Audit(ctx, control.AuditQuery{})
	if err != nil {
		return "", err
	}
	if len(a.Records) != 2 {
		return "", fmt.Errorf("%d records", len(a.Records))
	}
	return fmt.Sprintf("%d records", len(a.Records)), nil
}
