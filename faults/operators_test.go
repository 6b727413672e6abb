package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/operator"
)

// racers is the number of operators that change the same version.
const racers = 12

var _ = Describe("operators", func() {
	// Guards against two accepted changes of the same version, a loser that
	// does not learn what changed, and a resend that makes a second version.
	It("race with the same version and resend after a lost answer", func() {
		eachSeed(func(rng *rand.Rand) {
			f := newFleet(fleetOptions{})
			v := f.version(f.nodes[0])
			for round := range 5 {
				f.race(rng, v, round)
				v++
				Expect(f.version(f.nodes[rng.IntN(numInstances)])).To(Equal(v))
			}
			for i := range 5 {
				f.resend(f.nodes[rng.IntN(numInstances)], v, i)
				v++
			}
			Expect(f.accepted(f.nodes[0])).To(Equal(int(v)))
		})
	})
})

// race has all racers change version v at once and checks that one wins.
func (f *fleet) race(rng *rand.Rand, v azurestair.ConfigVersion, round int) {
	var wg sync.WaitGroup
	answers := make([]operator.ChangeResponse, racers)
	errs := make([]error, racers)
	for i := range racers {
		at := f.nodes[rng.IntN(numInstances)]
		q := change(v, fmt.Sprintf("race-%d-%d", round, i))
		q.Config.Defaults.QueueLimit = 1000 + round*racers + i
		wg.Go(func() { answers[i], errs[i] = at.admin().Apply(context.Background(), q) })
	}
	wg.Wait()
	won := 0
	for i, err := range errs {
		if err == nil {
			won++
			Expect(answers[i].Version).To(Equal(v + 1))
			continue
		}
		Expect(err).To(MatchError(azurestair.ErrConflict))
		Expect(answers[i].Code).To(Equal(azurestair.ResultConflict))
		Expect(answers[i].Diff).NotTo(BeEmpty(), "a conflict says what changed")
	}
	Expect(won).To(Equal(1), "accepted changes of version %d", v)
}

// resend loses the answer to a change and sends the change again.
func (f *fleet) resend(at *node, v azurestair.ConfigVersion, i int) {
	r := f.relay(at.operators)
	r.ResetResponses(1)
	q := change(v, fmt.Sprintf("resend-%d", i))
	_, err := adminAt(r.Addr()).Apply(context.Background(), q)
	Expect(err).To(HaveOccurred(), "the relay cuts the answer")
	for range 3 {
		a, err := adminAt(r.Addr()).Apply(context.Background(), q)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Code).To(Equal(azurestair.ResultAccepted))
		Expect(a.Version).To(Equal(v + 1))
	}
	Expect(f.version(at)).To(Equal(v + 1))
}

// accepted returns the number of accepted changes of the configuration in the
// audit trail, read through an instance.
func (f *fleet) accepted(at *node) int {
	n := 0
	for _, r := range f.auditTrail(at) {
		if r.Result == azurestair.ResultAccepted {
			n++
		}
	}
	return n
}

// auditTrail reads the whole audit trail through an instance.
func (f *fleet) auditTrail(at *node) []azurestair.AuditRecord {
	var a operator.AuditResponse
	Eventually(func() error {
		var err error
		a, err = at.admin().Audit(context.Background(), control.AuditQuery{Limit: control.MaxAudit})
		return err
	}, "20s").Should(Succeed())
	return a.Records
}
