package instance

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing/iotest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

// withRetryBurst gives a fixture a snapshot with a joint burst and as many
// entries.
func withRetryBurst(r *entryFixture, burst, entries int) {
	s := testSnapshot(2)
	s.Config.Defaults.RetryBurst = burst
	for i := range entries {
		s.Instances = append(s.Instances, azurestair.InstanceInfo{ID: azurestair.InstanceID(fmt.Sprintf("e%d", i)), CallerAddr: "127.0.0.1:80"})
	}
	s.Instances = append(s.Instances, azurestair.InstanceInfo{ID: "c1", PeerAddr: "127.0.0.1:81", Control: true})
	r.update(s)
}

func (r *entryFixture) availableRetries(at time.Time) int {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.mu.Unlock()
	return r.dispatcher.retryBudget.Available(at)
}

var _ = ginkgo.Describe("the retry budget of an entry", func() {
	// Guards against free retries that exceed the joint burst, and against a
	// change without one.
	ginkgo.DescribeTable("charges the free retry to a joint burst only",
		func(burst, attempts int, outcome azurestair.Outcome) {
			r := newEntryFixture(SystemClock{}, &fakeLedger{}, newFakeUpstream(stepRefuse))
			withRetryBurst(r, burst, 7)
			for r.spendRetry() {
			}
			resp := r.sendDefault("read", "", longTimeout)
			Expect(resp.Outcome).To(Equal(outcome))
			Expect(resp.Attempts).To(Equal(attempts))
		},
		ginkgo.Entry("burst of each entry", 0, 2, azurestair.OutcomeDone),
		ginkgo.Entry("joint burst", 52, 1, azurestair.OutcomeRefused),
	)

	// Guards against a burst of 10 for each of 125 entries, and against a
	// divisor that counts control instances.
	ginkgo.It("is the part of one entry", func() {
		r := newEntryFixture(newFakeClock(), &fakeLedger{}, newFakeUpstream())
		withRetryBurst(r, 40*8, 7)
		Expect(r.availableRetries(r.clock.Now())).To(BeZero())
		Expect(r.availableRetries(r.clock.Now().Add(time.Minute))).To(Equal(38), "slots without the saved percentage")
	})

	// Guards against requests that no upstream received and that pay for
	// retries of others.
	ginkgo.It("earns a joint burst by the requests that are sent", func() {
		r := newEntryFixture(SystemClock{}, &fakeLedger{}, newFakeUpstream())
		withRetryBurst(r, 16, 7)
		for range 100 {
			r.dispatcher.creditRetryBudget(false)
		}
		Expect(r.availableRetries(r.clock.Now())).To(BeZero())
		for range 20 {
			Expect(r.sendDefault("read", "", longTimeout).Outcome).To(Equal(azurestair.OutcomeDone))
		}
		Expect(r.availableRetries(r.clock.Now())).To(Equal(2))
	})

	// Guards against retries that are lost because a request that cannot be
	// repeated took one and sent none.
	ginkgo.It("keeps the retry of a request whose caller is gone", func() {
		r := newEntryFixture(SystemClock{}, &fakeLedger{}, newFakeUpstream())
		ctx, cancel := context.WithCancel(context.Background())
		r.upstream.handle = func(http.ResponseWriter, *http.Request) {
			cancel()
			panic(http.ErrAbortHandler)
		}
		before := r.availableRetries(r.clock.Now())
		r.send(ctx, r.request("read", "", longTimeout, iotest.ErrReader(errors.New("no body")), 0))
		Expect(r.availableRetries(r.clock.Now())).To(Equal(before))
	})
})

// spendRetry takes one retry from the budget, if there is one.
func (r *entryFixture) spendRetry() bool {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.mu.Unlock()
	return r.dispatcher.retryBudget.Spend(r.clock.Now())
}
