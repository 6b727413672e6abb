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

// kind is a kind of request.
type kind uint8

const (
	browse kind = iota
	engrave
	pay
	numKinds
)

// request is a request of a test's caller.
type request struct {
	kind kind
	// id is its name at the stubs and, if it is not idempotent, its key.
	id string
}

func (k kind) isIdempotent() bool { return k == browse }

func (q request) body() string {
	if q.kind.isIdempotent() {
		return ""
	}
	return "body of " + q.id
}

// isRight reports whether the body is the whole answer to this request.
func (q request) isRight(body string) bool {
	if q.kind.isIdempotent() {
		return strings.HasSuffix(body, "/browse/"+q.id+"\n")
	}
	return body == q.body()
}

// reply is what one try of a request brought.
type reply struct {
	at       *node
	err      error
	status   int
	upstream string
	body     string
	outcome  azurestair.Outcome
	refusal  caller.ErrorBody
	// runs is how often the request had run when the reply arrived.
	runs int
	sent time.Time
	took time.Duration
}

func (r reply) isDone() bool { return r.err == nil && r.outcome == azurestair.OutcomeDone }

// String describes the reply for failures.
func (r reply) String() string {
	if r.err != nil {
		return fmt.Sprintf("%s: %v", r.at.id, r.err)
	}
	return fmt.Sprintf("%s: %d %s %s notRun=%t", r.at.id, r.status, r.outcome, r.refusal.Reason, r.refusal.NotRun)
}

// result is a request with all replies to its tries.
type result struct {
	request request
	replies []reply
}

func (r result) last() reply { return r.replies[len(r.replies)-1] }

// String describes the result for failures.
func (r result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s:", r.request.id)
	for _, p := range r.replies {
		fmt.Fprintf(&b, " [%v]", p)
	}
	return b.String()
}

// client opens a connection for each request, so that no request is repeated
// behind the test's back.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// tryTimeout bounds one try, which every instance answers within the
// operation's timeout while it lives.
const tryTimeout = 6 * time.Second

// keptClient keeps its connections. The package repeats an idempotent request
// by itself when a connection that was idle has ended.
var keptClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}

// send sends a request once, to one entry.
func (f *fleet) send(at *node, q request) reply { return f.sendBy(client, at, q) }

// sendBy sends a request once, through the client's connections.
func (f *fleet) sendBy(client *http.Client, at *node, q request) (r reply) {
	r = reply{at: at, sent: time.Now()}
	defer func() { r.took = time.Since(r.sent); r.runs = f.runs(q.id) }()
	ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
	defer cancel()
	method, path := http.MethodPost, "payment/pay"
	switch q.kind {
	case browse:
		method, path = http.MethodGet, "catalogue/browse/"+q.id
	case engrave:
		path = "catalogue/engrave"
	}
	hq, err := http.NewRequestWithContext(ctx, method, "http://"+at.callers+"/v1/request/"+path, strings.NewReader(q.body()))
	if err != nil {
		r.err = err
		return r
	}
	hq.Header.Set(stub.HeaderTestID, q.id)
	if !q.kind.isIdempotent() {
		hq.Header.Set(caller.HeaderKey, q.id)
	}
	resp, err := client.Do(hq)
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

// isFinal reports whether a caller would give up after the reply.
func (r reply) isFinal() bool {
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

// followFor bounds the tries of one request.
const followFor = 8 * time.Second

// follow sends a request to one entry after the other under the same key until
// the answer is final, as a caller would.
func (f *fleet) follow(order []*node, q request) result {
	out := result{request: q}
	end := time.Now().Add(followFor)
	for i := 0; ; i++ {
		r := f.send(order[i%len(order)], q)
		out.replies = append(out.replies, r)
		if r.isFinal() || (time.Now().After(end) && r.err == nil) || time.Now().After(end.Add(followFor)) {
			return out
		}
		<-time.After(20 * time.Millisecond)
	}
}

// traffic is a steady load.
type traffic struct {
	fleet   *fleet
	stopped atomic.Bool
	wg      sync.WaitGroup
	mu      sync.Mutex
	results []result
}

// requestPause is how long a worker waits between two requests.
const requestPause = 5 * time.Millisecond

// startTraffic has workers send requests of the kinds through serve until stop.
func (f *fleet) startTraffic(rng *rand.Rand, name string, workers int, kinds []kind, serve func(*rand.Rand, request) result) *traffic {
	t := &traffic{fleet: f}
	for w := range workers {
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		t.wg.Go(func() {
			for i := 0; !t.stopped.Load(); i++ {
				q := request{kind: kinds[own.IntN(len(kinds))], id: fmt.Sprintf("%s-%d-%d", name, w, i)}
				t.add(serve(own, q))
				<-time.After(requestPause)
			}
		})
	}
	return t
}

func (t *traffic) add(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, r)
}

// count returns how many requests have ended.
func (t *traffic) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.results)
}

// more waits until n more requests have ended.
func (t *traffic) more(n int) {
	from := t.count()
	Eventually(t.count, 30*time.Second).Should(BeNumerically(">=", from+n))
}

// stop ends the load and returns all results.
func (t *traffic) stop() []result {
	t.stopped.Store(true)
	t.wg.Wait()
	return t.results
}

// throughAll returns a serve function that tries all entries in a random order.
func (f *fleet) throughAll() func(*rand.Rand, request) result {
	return func(rng *rand.Rand, q request) result { return f.follow(shuffled(rng, f.nodes), q) }
}

var allKinds = []kind{browse, engrave, pay}

// expectTruth checks what holds for every request at any time: it ends, it
// runs at most once unless it is idempotent, "not run" is true, and a done
// answer is the whole answer to this very request.
func (f *fleet) expectTruth(results []result) {
	Expect(results).NotTo(BeEmpty())
	for _, r := range results {
		f.expectTrue(r)
	}
}

func (f *fleet) expectTrue(r result) {
	once := !r.request.kind.isIdempotent()
	runs := f.runs(r.request.id)
	last := r.last()
	Expect(last.err).NotTo(HaveOccurred(), "%v", r)
	Expect(last.outcome).To(BeElementOf(azurestair.OutcomeDone, azurestair.OutcomeRefused, azurestair.OutcomeUnknown), "%v", r)
	if once {
		Expect(runs).To(BeNumerically("<=", 1), "%v", r)
	}
	for _, p := range r.replies {
		if p.err == nil && p.refusal.NotRun && once {
			Expect(p.runs).To(BeZero(), "answered not run, but ran: %v", r)
		}
		if p.isDone() {
			Expect(r.request.isRight(p.body)).To(BeTrue(), "%v: body %q", r, p.body)
			if p.upstream != upstreamProcess {
				Expect(p.runs).To(BeNumerically(">=", 1), "%v", r)
			}
		}
	}
	if last.refusal.NotRun && once {
		Expect(runs).To(BeZero(), "answered not run, but ran: %v", r)
	}
}

// done counts the requests that were done.
func done(results []result) int {
	n := 0
	for _, r := range results {
		if r.last().isDone() {
			n++
		}
	}
	return n
}

// expectMost checks that at least the given percentage of the results is done.
func expectMost(results []result, percent int) {
	var failed []string
	for _, r := range results {
		if !r.last().isDone() {
			failed = append(failed, r.String())
		}
	}
	Expect(100*done(results)).To(BeNumerically(">=", percent*len(results)),
		"%d of %d done; not done: %v", done(results), len(results), failed)
}
