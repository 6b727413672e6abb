package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/stub"
)

// requestKind is the operation that a request calls.
type requestKind uint8

const (
	browse requestKind = iota
	engrave
	pay
	numRequestKinds
)

// request is a request that a test sends as a caller.
type request struct {
	kind requestKind
	// id identifies the request at the stubs. It is also the idempotency key of
	// a request that is not idempotent.
	id string
}

func (k requestKind) isIdempotent() bool { return k == browse }

func (req request) body() string {
	if req.kind.isIdempotent() {
		return ""
	}
	return "body of " + req.id
}

// isCorrectBody reports whether body is the complete response body of this
// request.
func (req request) isCorrectBody(body string) bool {
	if req.kind.isIdempotent() {
		return strings.HasSuffix(body, "/browse/"+req.id+"\n")
	}
	return body == req.body()
}

// response is what the caller receives for one try of a request.
type response struct {
	entry    *node
	err      error
	status   int
	upstream string
	body     string
	outcome  azurestair.Outcome
	refusal  caller.ErrorBody
	// runsOnReceipt is how often the request had been executed when the
	// response arrived.
	runsOnReceipt int
	sentAt        time.Time
	duration      time.Duration
}

func (r response) isDone() bool { return r.err == nil && r.outcome == azurestair.OutcomeDone }

// String formats the response for failure messages.
func (r response) String() string {
	if r.err != nil {
		return fmt.Sprintf("%s: %v", r.entry.id, r.err)
	}
	return fmt.Sprintf("%s: %d %s %s notRun=%t", r.entry.id, r.status, r.outcome, r.refusal.Reason, r.refusal.NotRun)
}

// result is a request with the responses to all its tries.
type result struct {
	request   request
	responses []response
}

func (r result) last() response { return r.responses[len(r.responses)-1] }

// String formats the result for failure messages.
func (r result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s:", r.request.id)
	for _, resp := range r.responses {
		fmt.Fprintf(&b, " [%v]", resp)
	}
	return b.String()
}

// client opens a new connection for each request. On reused connections
// net/http may retry a request without the test's knowledge.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// requestTimeout is the timeout of one try. It is longer than the timeouts of
// all operations, within which every live instance responds.
const requestTimeout = 6 * time.Second

// keepAliveClient reuses its connections. When an idle connection turns out to
// be closed, net/http itself retries an idempotent request.
var keepAliveClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}

// send sends a request once to one entry, on a new connection.
func (f *fleet) send(via *node, req request) response { return f.sendWith(client, via, req) }

// sendWith sends a request once to one entry with the given client.
func (f *fleet) sendWith(client *http.Client, via *node, req request) (r response) {
	r = response{entry: via, sentAt: time.Now()}
	defer func() { r.duration = time.Since(r.sentAt); r.runsOnReceipt = f.runs(req.id) }()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	method, path := http.MethodPost, "payment/pay"
	switch req.kind {
	case browse:
		method, path = http.MethodGet, "catalogue/browse/"+req.id
	case engrave:
		path = "catalogue/engrave"
	}
	httpReq, err := http.NewRequestWithContext(ctx, method, "http://"+via.callerAddr+"/v1/request/"+path, strings.NewReader(req.body()))
	if err != nil {
		r.err = err
		return r
	}
	httpReq.Header.Set(stub.HeaderTestID, req.id)
	if !req.kind.isIdempotent() {
		httpReq.Header.Set(caller.HeaderKey, req.id)
	}
	resp, err := client.Do(httpReq)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read
	data, err := io.ReadAll(resp.Body)
	r.err, r.status, r.body = err, resp.StatusCode, string(data)
	r.outcome, r.upstream = azurestair.Outcome(resp.Header.Get(caller.HeaderOutcome)), resp.Header.Get(stub.HeaderUpstream)
	if r.err == nil && r.outcome != azurestair.OutcomeDone {
		r.err = json.Unmarshal(data, &r.refusal)
	}
	return r
}

// isFinal reports whether a caller would stop retrying after the response.
func (r response) isFinal() bool {
	switch {
	case r.err != nil:
		return false
	case r.outcome == azurestair.OutcomeUnknown:
		return r.refusal.Reason != azurestair.ReasonLedgerUnreachable
	case r.outcome == azurestair.OutcomeRefused, r.outcome == azurestair.OutcomeInProgress:
		return false
	}
	return true
}

// retryPeriod is how long sendUntilFinal retries a request that is answered. It
// retries for twice as long while the last try failed without a response.
const retryPeriod = 8 * time.Second

// sendUntilFinal sends a request with the same idempotency key to one entry
// after the other until the response is final, as a caller would.
func (f *fleet) sendUntilFinal(entries []*node, req request) result {
	out := result{request: req}
	end := time.Now().Add(retryPeriod)
	for i := 0; ; i++ {
		r := f.send(entries[i%len(entries)], req)
		out.responses = append(out.responses, r)
		if r.isFinal() || (time.Now().After(end) && r.err == nil) || time.Now().After(end.Add(retryPeriod)) {
			return out
		}
		<-time.After(20 * time.Millisecond)
	}
}

// traffic is a load of concurrent requests.
type traffic struct {
	fleet   *fleet
	stopped atomic.Bool
	wg      sync.WaitGroup
	mu      sync.Mutex
	results []result
}

// requestPause is the pause of a worker between two requests.
const requestPause = 5 * time.Millisecond

// startTraffic starts workers that call send with random requests of the given
// kinds until stop.
func (f *fleet) startTraffic(rng *rand.Rand, name string, workers int, kinds []requestKind, send func(*rand.Rand, request) result) *traffic {
	t := &traffic{fleet: f}
	for w := range workers {
		workerRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		t.wg.Go(func() {
			for i := 0; !t.stopped.Load(); i++ {
				req := request{kind: kinds[workerRNG.IntN(len(kinds))], id: fmt.Sprintf("%s-%d-%d", name, w, i)}
				t.addResult(send(workerRNG, req))
				<-time.After(requestPause)
			}
		})
	}
	return t
}

func (t *traffic) addResult(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, r)
}

// count returns the number of completed requests.
func (t *traffic) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.results)
}

// waitForResults waits until n more requests have completed.
func (t *traffic) waitForResults(n int) {
	from := t.count()
	Eventually(t.count, 30*time.Second).Should(BeNumerically(">=", from+n))
}

// stop stops the workers and returns all results.
func (t *traffic) stop() []result {
	t.stopped.Store(true)
	t.wg.Wait()
	return t.results
}

// sendThroughAllEntries returns a send function for startTraffic that tries all
// entries in random order until the response is final.
func (f *fleet) sendThroughAllEntries() func(*rand.Rand, request) result {
	return func(rng *rand.Rand, req request) result { return f.sendUntilFinal(shuffled(rng, f.nodes), req) }
}

var allKinds = []requestKind{browse, engrave, pay}

// expectGuarantees checks the guarantees that hold for every request under any
// fault: the request ends with an outcome; it is executed at most once unless
// it is idempotent; the response "not run" is true; and a response with outcome
// done is the complete response to this request.
func (f *fleet) expectGuarantees(results []result) {
	Expect(results).NotTo(BeEmpty())
	for _, r := range results {
		f.expectResultGuarantees(r)
	}
}

func (f *fleet) expectResultGuarantees(r result) {
	notIdempotent := !r.request.kind.isIdempotent()
	runs := f.runs(r.request.id)
	last := r.last()
	Expect(last.err).NotTo(HaveOccurred(), "%v", r)
	Expect(last.outcome).To(BeElementOf(azurestair.OutcomeDone, azurestair.OutcomeRefused, azurestair.OutcomeUnknown), "%v", r)
	if notIdempotent {
		Expect(runs).To(BeNumerically("<=", 1), "%v", r)
	}
	for _, resp := range r.responses {
		if resp.err == nil && resp.refusal.NotRun && notIdempotent {
			Expect(resp.runsOnReceipt).To(BeZero(), "reported as not run, but had run: %v", r)
		}
		if resp.isDone() {
			Expect(r.request.isCorrectBody(resp.body)).To(BeTrue(), "%v: body %q", r, resp.body)
			if resp.upstream != standaloneUpstreamID {
				Expect(resp.runsOnReceipt).To(BeNumerically(">=", 1), "%v", r)
			}
		}
	}
	if last.refusal.NotRun && notIdempotent {
		Expect(runs).To(BeZero(), "reported as not run, but had run: %v", r)
	}
}

// countDone returns the number of results whose last outcome is done.
func countDone(results []result) int {
	n := 0
	for _, r := range results {
		if r.last().isDone() {
			n++
		}
	}
	return n
}

// expectDonePercent checks that at least percent % of the results are done.
func expectDonePercent(results []result, percent int) {
	var failed []string
	for _, r := range results {
		if !r.last().isDone() {
			failed = append(failed, r.String())
		}
	}
	Expect(100*countDone(results)).To(BeNumerically(">=", percent*len(results)),
		"%d of %d done; not done: %v", countDone(results), len(results), failed)
}
