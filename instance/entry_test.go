package instance

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

// expectedOutcome returns the expected outcome of a request and how often it
// runs.
func expectedOutcome(steps []step, idempotent bool) (azurestair.Outcome, int) {
	ran := 0
	for i := range 3 {
		s := stepDone
		if i < len(steps) {
			s = steps[i]
		}
		switch s {
		case stepDone:
			return azurestair.OutcomeDone, ran + 1
		case stepBroken, stepTimeout:
			ran++
			if !idempotent {
				return azurestair.OutcomeUnknown, ran
			}
		}
	}
	if ran > 0 {
		return azurestair.OutcomeUnknown, ran
	}
	return azurestair.OutcomeRefused, ran
}

// stepSequences lists all sequences of up to three steps. A timeout only comes
// last, since the time left after it depends on the load of the machine.
func stepSequences() [][]step {
	out := [][]step{{}, {stepTimeout}}
	quick := []step{stepShed, stepBroken, stepRefuse}
	for _, a := range quick {
		out = append(out, []step{a}, []step{a, stepTimeout})
		for _, b := range quick {
			out = append(out, []step{a, b})
			for _, c := range quick {
				out = append(out, []step{a, b, c})
			}
		}
	}
	return out
}

var _ = ginkgo.Describe("an entry that serves a request", func() {
	// Guards against running a payment twice, a false "not run", and a retry
	// after an attempt that may have run, over all sequences of results.
	ginkgo.DescribeTable("reports the correct outcome for every sequence of attempt results",
		func(op azurestair.OperationName, key azurestair.RequestKey) {
			atMostOnce := op == "pay"
			for _, steps := range stepSequences() {
				l := &fakeLedger{}
				r := newEntryFixture(SystemClock{}, l, newFakeUpstream(steps...))
				timeout := len(steps) > 0 && steps[len(steps)-1] == stepTimeout
				d := longTimeout
				if timeout {
					d = 300 * time.Millisecond
				}
				resp := r.sendDefault(op, key, d)
				expectConsistentReply(r, resp, atMostOnce)
				outcome, ran := expectedOutcome(steps, !atMostOnce)
				if timeout && !atMostOnce {
					continue
				}
				if key != "" && !atMostOnce && outcome == azurestair.OutcomeRefused {
					outcome = azurestair.OutcomeUnknown
				}
				Expect([]any{resp.Outcome, r.upstream.ran.Load()}).To(Equal([]any{outcome, int64(ran)}), "steps %v", steps)
				if atMostOnce {
					want := map[azurestair.Outcome]azurestair.ClaimState{
						azurestair.OutcomeDone: azurestair.ClaimDone, azurestair.OutcomeRefused: azurestair.ClaimNotRun,
						azurestair.OutcomeUnknown: azurestair.ClaimUnknown,
					}[outcome]
					Eventually(func() azurestair.ClaimState { return l.stateOf(key) }).Should(Equal(want), "steps %v", steps)
				}
			}
		},
		ginkgo.Entry("idempotent", azurestair.OperationName("read"), azurestair.RequestKey("")),
		ginkgo.Entry("idempotent with a key", azurestair.OperationName("read"), azurestair.RequestKey("k1")),
		ginkgo.Entry("not idempotent", azurestair.OperationName("pay"), azurestair.RequestKey("k1")),
	)

	// seedRecord stores a record of the key "k1" made by another entry.
	seedRecord := func(l *fakeLedger, state azurestair.ClaimState, body string) {
		other := newEntryFixture(SystemClock{}, &fakeLedger{}, newFakeUpstream())
		c := &call{entry: other.Entry, req: other.request("pay", "k1", longTimeout, nil, 0), body: requestBody{chunks: [][]byte{[]byte(body)}, length: int64(len(body))}, work: azurestair.RequestInfo{
			Service: "shop", Operation: "pay", Deadline: time.Now().Add(longTimeout),
		}}
		claim := c.newClaim()
		_, _ = l.Propose(context.Background(), azurestair.Command{Claim: &claim})
		if state == azurestair.ClaimHeld {
			return
		}
		f := azurestair.ClaimCompletion{
			Service: "shop", Key: "k1", Instance: claim.Instance, Incarnation: claim.Incarnation, Attempt: claim.Attempt, State: state,
		}
		if state == azurestair.ClaimDone {
			f.Answer = &azurestair.Answer{Status: 201, Body: []byte("first")}
		}
		_, _ = l.Propose(context.Background(), azurestair.Command{Completion: &f})
	}

	// Guards against a request that runs again, or is reported as not run,
	// despite its ledger record. Without slots, the request is refused at
	// admission and the ledger is only queried.
	ginkgo.DescribeTable("reports the correct outcome for every state of the ledger",
		func(prepare func(*fakeLedger), outcome, unadmitted azurestair.Outcome, reason azurestair.Reason, ran int) {
			for _, n := range []int64{fixtureSlots, 0} {
				l := &fakeLedger{}
				prepare(l)
				r := newEntryFixture(SystemClock{}, l, newFakeUpstream())
				r.setSlots(n)
				d := longTimeout
				if n == 0 {
					d = shortTimeout
				}
				resp := r.sendDefault("pay", "k1", d)
				expectConsistentReply(r, resp, true)
				if n == 0 {
					Expect(resp.Outcome).To(Equal(unadmitted), "not admitted")
					Expect(r.upstream.ran.Load()).To(BeZero())
					continue
				}
				Expect([]any{resp.Outcome, resp.Reason, r.upstream.ran.Load()}).To(Equal([]any{outcome, reason, int64(ran)}))
				if resp.Replayed {
					Expect([]any{resp.Status, resp.body}).To(Equal([]any{201, "first"}))
				}
			}
		},
		ginkgo.Entry("no record", func(*fakeLedger) {}, azurestair.OutcomeDone, azurestair.OutcomeRefused, azurestair.ReasonNone, 1),
		ginkgo.Entry("unreachable", func(l *fakeLedger) { l.down = true },
			azurestair.OutcomeUnknown, azurestair.OutcomeUnknown, azurestair.ReasonLedgerUnreachable, 0),
		ginkgo.Entry("response lost", func(l *fakeLedger) { l.dropResponses = true },
			azurestair.OutcomeUnknown, azurestair.OutcomeRefused, azurestair.ReasonLedgerUnreachable, 0),
		ginkgo.Entry("full", func(l *fakeLedger) { l.claimResult = &azurestair.Result{Code: azurestair.ResultFull} },
			azurestair.OutcomeRefused, azurestair.OutcomeRefused, azurestair.ReasonLedgerFull, 0),
		ginkgo.Entry("held", func(l *fakeLedger) { seedRecord(l, azurestair.ClaimHeld, "x") },
			azurestair.OutcomeInProgress, azurestair.OutcomeInProgress, azurestair.ReasonInProgress, 0),
		ginkgo.Entry("done", func(l *fakeLedger) { seedRecord(l, azurestair.ClaimDone, "x") },
			azurestair.OutcomeDone, azurestair.OutcomeDone, azurestair.ReasonNone, 0),
		ginkgo.Entry("unknown", func(l *fakeLedger) { seedRecord(l, azurestair.ClaimUnknown, "x") },
			azurestair.OutcomeUnknown, azurestair.OutcomeUnknown, azurestair.ReasonEntryLost, 0),
		ginkgo.Entry("not run", func(l *fakeLedger) { seedRecord(l, azurestair.ClaimNotRun, "x") },
			azurestair.OutcomeDone, azurestair.OutcomeRefused, azurestair.ReasonNone, 1),
		ginkgo.Entry("done for another request", func(l *fakeLedger) { seedRecord(l, azurestair.ClaimDone, "y") },
			azurestair.OutcomeInvalid, azurestair.OutcomeInvalid, azurestair.ReasonKeyReused, 0),
	)

	// Guards against sending the first byte before the claim is granted, and
	// against a claim that stays held when its response was lost.
	ginkgo.It("sends nothing for a claim whose response is lost, and releases the claim", func() {
		r := newEntryFixture(SystemClock{}, &fakeLedger{dropResponses: true}, newFakeUpstream())
		expectReply(r.sendDefault("pay", "k1", longTimeout), azurestair.OutcomeUnknown, azurestair.ReasonLedgerUnreachable, false)
		Eventually(func() azurestair.ClaimState { return r.ledger.stateOf("k1") }).Should(Equal(azurestair.ClaimNotRun))
	})

	// Guards against sending a request after its deadline from an entry that
	// was suspended after its claim.
	ginkgo.It("sends nothing for a claim that was granted after the deadline", func() {
		clk, l := newFakeClock(), &fakeLedger{}
		l.afterApply = func() { clk.advance(2 * longTimeout) }
		r := newEntryFixture(clk, l, newFakeUpstream())
		expectReply(r.sendDefault("pay", "k1", longTimeout), azurestair.OutcomeRefused, azurestair.ReasonDeadline, true)
		Expect(r.upstream.ran.Load()).To(BeZero())
		Eventually(func() azurestair.ClaimState { return l.stateOf("k1") }).Should(Equal(azurestair.ClaimNotRun))
	})

	// Guards against running a key twice when two requests use it concurrently.
	ginkgo.It("answers a duplicate from the ledger, also through another entry", func() {
		l, release := &fakeLedger{}, make(chan struct{})
		u := newFakeUpstream()
		u.handle = func(rw http.ResponseWriter, _ *http.Request) { <-release; _, _ = io.WriteString(rw, "answer") }
		one, two := newEntryFixture(SystemClock{}, l, u), newEntryFixture(SystemClock{}, l, u)
		first := make(chan response)
		go func() { first <- one.sendDefault("pay", "k1", longTimeout) }()
		Eventually(u.ran.Load).Should(BeEquivalentTo(1))
		expectReply(one.sendDefault("pay", "k1", longTimeout), azurestair.OutcomeInProgress, azurestair.ReasonInProgress, false)
		expectReply(two.sendDefault("pay", "k1", longTimeout), azurestair.OutcomeInProgress, azurestair.ReasonInProgress, false)
		close(release)
		Expect((<-first).body).To(Equal("answer"))
		for _, r := range []*entryFixture{one, two} {
			resp := r.sendDefault("pay", "k1", longTimeout)
			Expect([]any{resp.body, resp.Replayed}).To(Equal([]any{"answer", true}))
		}
		Expect(u.ran.Load()).To(BeEquivalentTo(1))
	})

	// Guards against reporting "not run" for a key that may have run through
	// another entry.
	ginkgo.DescribeTable("never reports a key as not run without querying the ledger",
		func(prepare func(*entryFixture), op azurestair.OperationName) {
			r := newEntryFixture(SystemClock{}, &fakeLedger{}, newFakeUpstream())
			prepare(r)
			resp := r.sendDefault(op, "k1", shortTimeout)
			Expect(resp.NotRun).To(BeFalse())
			Expect(r.ledger.claims).To(BeZero())
		},
		ginkgo.Entry("unknown operation", func(*entryFixture) {}, azurestair.OperationName("gone")),
		ginkgo.Entry("too many requests", func(r *entryFixture) { r.maxInFlight = 1; r.inFlight.Add(1) }, azurestair.OperationName("pay")),
		ginkgo.Entry("no snapshot", func(r *entryFixture) { r.view.Store(nil) }, azurestair.OperationName("pay")),
		ginkgo.Entry("idempotent, not admitted", func(r *entryFixture) { r.setSlots(0) }, azurestair.OperationName("read")),
	)

	ginkgo.It("requires a key for an operation that is not idempotent", func() {
		r := newEntryFixture(SystemClock{}, &fakeLedger{}, newFakeUpstream())
		expectReply(r.sendDefault("pay", "", longTimeout), azurestair.OutcomeInvalid, azurestair.ReasonKeyMissing, true)
	})
})
