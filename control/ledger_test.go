package control_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

const timeout azurestair.Millis = 30_000

func claim(key, instance string, attempt uint64) azurestair.Claim {
	return azurestair.Claim{
		Service: "desk", Operation: "engrave", Key: azurestair.RequestKey(key), Fingerprint: []byte("f"),
		Instance: azurestair.InstanceID(instance), Incarnation: 1, Attempt: attempt, Deadline: epoch.Add(timeout),
	}
}

func finish(c azurestair.Claim, state azurestair.ClaimState, body []byte) azurestair.Command {
	f := azurestair.ClaimFinish{
		Service: c.Service, Key: c.Key, Instance: c.Instance, Incarnation: c.Incarnation, Attempt: c.Attempt, State: state,
	}
	if state == azurestair.ClaimDone {
		f.Answer = &azurestair.Answer{Status: 200, Body: body}
	}
	return azurestair.Command{Finish: &f}
}

func (d *driver) expectClaim(c azurestair.Claim, code azurestair.ResultCode) azurestair.Result {
	GinkgoHelper()
	return d.expect(azurestair.Command{Claim: &c}, code)
}

func (d *driver) expectState(key azurestair.RequestKey, state azurestair.ClaimState) {
	GinkgoHelper()
	r, ok := d.state.Claim("desk", key)
	Expect(ok).To(BeTrue())
	Expect(r.State).To(Equal(state))
}

var _ = Describe("ledger", func() {
	var d *driver
	a, b := claim("k", "i1", 1), claim("k", "i2", 1)
	a2 := claim("k", "i1", 2)
	BeforeEach(func() { d = newDriver() })

	It("grants a key once, and again to a resend", func() {
		d.expectClaim(a, azurestair.ResultGranted)
		d.expectClaim(a, azurestair.ResultGranted)
		d.expectClaim(b, azurestair.ResultHeld)
		d.expectClaim(a2, azurestair.ResultHeld)
	})

	// Guards against a second run after the holder was frozen or lost.
	It("turns a held record to unknown past its deadline and never grants it again", func() {
		d.expectClaim(a, azurestair.ResultGranted)
		d.at = a.Deadline.Add(control.DeadlineMargin)
		restarted := a
		restarted.Incarnation = 2
		d.expectClaim(restarted, azurestair.ResultHeld)
		d.at++
		Expect(d.expectClaim(restarted, azurestair.ResultRecorded).Record.State).To(Equal(azurestair.ClaimUnknown))
		d.expectClaim(a, azurestair.ResultRecorded)
		d.expect(finish(a, azurestair.ClaimNotRun, nil), azurestair.ResultConflict)
		d.expect(finish(b, azurestair.ClaimDone, nil), azurestair.ResultConflict)
		d.expect(finish(a, azurestair.ClaimDone, []byte("late")), azurestair.ResultAccepted)
		Expect(d.expectClaim(b, azurestair.ResultRecorded).Record.Answer.Body).To(BeEquivalentTo("late"))
	})

	It("lets another claim take over after notRun", func() {
		d.expectClaim(a, azurestair.ResultGranted)
		d.expect(finish(a, azurestair.ClaimNotRun, nil), azurestair.ResultAccepted)
		d.expectClaim(a, azurestair.ResultHeld)
		d.expectClaim(b, azurestair.ResultGranted)
		d.expect(finish(a, azurestair.ClaimDone, nil), azurestair.ResultConflict)
		d.expectState("k", azurestair.ClaimHeld)
	})

	// Guards against a delayed claim of an attempt whose caller was told "not run".
	It("does not grant a claim that arrives after its notRun", func() {
		d.expect(finish(a, azurestair.ClaimUnknown, nil), azurestair.ResultNotFound)
		d.expect(finish(a, azurestair.ClaimNotRun, nil), azurestair.ResultAccepted)
		d.expectClaim(a, azurestair.ResultHeld)
		older := a2
		older.Incarnation = 0
		d.expectClaim(older, azurestair.ResultHeld)
		d.expectClaim(a2, azurestair.ResultGranted)
	})

	It("keeps a final answer", func() {
		d.expectClaim(a, azurestair.ResultGranted)
		d.expect(finish(a, azurestair.ClaimDone, []byte("x")), azurestair.ResultAccepted)
		d.expect(finish(a, azurestair.ClaimDone, []byte("y")), azurestair.ResultUnchanged)
		d.expect(finish(a, azurestair.ClaimNotRun, nil), azurestair.ResultConflict)
		d.expect(finish(a, azurestair.ClaimUnknown, nil), azurestair.ResultConflict)
		Expect(d.expectClaim(a, azurestair.ResultRecorded).Record.Answer.Body).To(BeEquivalentTo("x"))
	})

	DescribeTable("refuses a key that belongs to another request",
		func(change func(*azurestair.Claim)) {
			d.expectClaim(a, azurestair.ResultGranted)
			c := b
			change(&c)
			d.expectClaim(c, azurestair.ResultKeyReused)
		},
		Entry("operation", func(c *azurestair.Claim) { c.Operation = "approve" }),
		Entry("fingerprint", func(c *azurestair.Claim) { c.Fingerprint = []byte("g") }),
	)

	// Guards against records that are dropped early, which would let a late
	// retry run again, and against records that a wrong clock pins.
	DescribeTable("keeps a record until its deadline and one hour more",
		func(deadline azurestair.UnixMillis, until azurestair.UnixMillis) {
			c := a
			c.Deadline = deadline
			d.expectClaim(c, azurestair.ResultGranted)
			d.at = until - 1
			d.expectClaim(claim("other", "i1", 1), azurestair.ResultGranted)
			Expect(d.state.Claims()).To(Equal(2))
			d.at = until
			d.expectClaim(claim("other", "i1", 1), azurestair.ResultGranted)
			Expect(d.state.Claims()).To(Equal(1))
		},
		Entry("as usual", epoch.Add(timeout), epoch.Add(timeout+control.ClaimRetention)),
		Entry("deadline in the past", epoch-9_000_000, epoch.Add(control.ClaimRetention)),
		Entry("deadline far ahead", epoch+9e12, epoch.Add(azurestair.MaxTimeoutMs+control.ClaimRetention)),
	)

	// Guards against early removal of claims under pressure.
	It("refuses new keys when it is full, and accepts them after expiry", func() {
		for i := range control.MaxClaims {
			c := claim(fmt.Sprint("n", i), "i1", 1)
			d.apply(azurestair.Command{Claim: &c})
		}
		d.expectClaim(a, azurestair.ResultFull)
		d.expect(finish(a, azurestair.ClaimNotRun, nil), azurestair.ResultFull)
		d.expectClaim(claim("n0", "i2", 1), azurestair.ResultHeld)
		d.at = a.Deadline.Add(control.ClaimRetention)
		d.expectClaim(a, azurestair.ResultGranted)
		Expect(d.state.Claims()).To(BeNumerically("<", control.MaxClaims))
	})

	It("drops the oldest answers beyond the limit, also after a restore", func() {
		body := make([]byte, azurestair.MaxKeptAnswer)
		n := int(control.MaxKeptAnswers / azurestair.MaxKeptAnswer)
		for i := range n + 2 {
			if i == n {
				d.state = decode(encode(d.state))
			}
			c := claim(fmt.Sprint("n", i), "i1", 1)
			d.expectClaim(c, azurestair.ResultGranted)
			d.expect(finish(c, azurestair.ClaimDone, body), azurestair.ResultAccepted)
		}
		for i, dropped := range []bool{true, true, false} {
			r, _ := d.state.Claim("desk", azurestair.RequestKey(fmt.Sprint("n", i)))
			Expect(r.Answer.Dropped).To(Equal(dropped))
			Expect(r.Answer.Status).To(Equal(200))
		}
	})

	It("drops an answer with oversized header fields", func() {
		d.expectClaim(a, azurestair.ResultGranted)
		c := finish(a, azurestair.ClaimDone, nil)
		c.Finish.Answer.Header = map[string]string{"X": string(make([]byte, 3*azurestair.MaxKeptAnswer))}
		d.expect(c, azurestair.ResultAccepted)
		r, _ := d.state.Claim("desk", "k")
		Expect(r.Answer).To(Equal(&azurestair.Answer{Status: 200, Dropped: true}))
	})
})
