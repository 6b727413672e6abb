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

// racingOperators is the number of operators that change the same version.
const racingOperators = 12

var _ = Describe("operators", func() {
	// Guards against two accepted changes of the same base version, a conflict
	// response without the difference, and a resent change that creates a second
	// version.
	It("change the same version concurrently and resend after a lost response", func() {
		forEachSeed(func(rng *rand.Rand) {
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
			Expect(f.acceptedChanges(f.nodes[0])).To(Equal(int(v)))
		})
	})
})

// race makes all operators change version v concurrently and checks that
// exactly one change is accepted and the others get a conflict with a diff.
func (f *fleet) race(rng *rand.Rand, v azurestair.ConfigVersion, round int) {
	var wg sync.WaitGroup
	responses := make([]operator.ChangeResponse, racingOperators)
	errs := make([]error, racingOperators)
	for i := range racingOperators {
		via := f.nodes[rng.IntN(numInstances)]
		req := newConfigRequest(v, fmt.Sprintf("race-%d-%d", round, i))
		req.Config.Defaults.QueueLimit = 1000 + round*racingOperators + i
		wg.Go(func() { responses[i], errs[i] = via.operatorClient().Apply(context.Background(), req) })
	}
	wg.Wait()
	accepted := 0
	for i, err := range errs {
		if err == nil {
			accepted++
			Expect(responses[i].Version).To(Equal(v + 1))
			continue
		}
		Expect(err).To(MatchError(azurestair.ErrConflict))
		Expect(responses[i].Code).To(Equal(azurestair.ResultConflict))
		Expect(responses[i].Diff).NotTo(BeEmpty(), "conflict response without a diff")
	}
	Expect(accepted).To(Equal(1), "accepted changes of version %d", v)
}

// resend drops the response to a change, sends the same change again several
// times, and checks that it creates only one version.
func (f *fleet) resend(via *node, v azurestair.ConfigVersion, i int) {
	r := f.newRelay(via.operatorAddr)
	r.ResetResponses(1)
	req := newConfigRequest(v, fmt.Sprintf("resend-%d", i))
	_, err := newOperatorClient(r.Addr()).Apply(context.Background(), req)
	Expect(err).To(HaveOccurred(), "the relay drops the response")
	for range 3 {
		resp, err := newOperatorClient(r.Addr()).Apply(context.Background(), req)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Code).To(Equal(azurestair.ResultAccepted))
		Expect(resp.Version).To(Equal(v + 1))
	}
	Expect(f.version(via)).To(Equal(v + 1))
}

// acceptedChanges reads the audit trail through an instance and returns the
// number of accepted changes.
func (f *fleet) acceptedChanges(via *node) int {
	n := 0
	for _, r := range f.auditTrail(via) {
		if r.Result == azurestair.ResultAccepted {
			n++
		}
	}
	return n
}

// auditTrail reads the complete audit trail through an instance.
func (f *fleet) auditTrail(via *node) []azurestair.AuditRecord {
	var resp operator.AuditResponse
	Eventually(func() error {
		var err error
		resp, err = via.operatorClient().Audit(context.Background(), control.AuditQuery{Limit: control.MaxAudit})
		return err
	}, "20s").Should(Succeed())
	return resp.Records
}
