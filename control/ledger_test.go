package control_test

import (
	"fmt"
	"strings"

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
	f := azurestair.ClaimCompletion{
		Service: c.Service, Key: c.Key, Instance: c.Instance, Incarnation: c.Incarnation, Attempt: c.Attempt, State: state,
	}
	if state == azurestair.ClaimDone {
		f.Answer = &azurestair.Answer{Status: 200, Body: body}
	}
	return azurestair.Command{Completion: &f}
}

func (d *stateDriver) expectClaim(c azurestair.Claim, code azurestair.ResultCode) azurestair.Result {
	GinkgoHelper()
	return d.expect(azurestair.Command{Claim: &c}, code)
}

// claimVariants change the base claim of a script into the named variants.
var claimVariants = map[string]func(*azurestair.Claim){
	"a":           func(*azurestair.Claim) {},
	"a2":          func(c *azurestair.Claim) { c.Attempt = 2 },
	"b":           func(c *azurestair.Claim) { c.Instance = "i2" },
	"restarted":   func(c *azurestair.Claim) { c.Incarnation = 2 },
	"earlier":     func(c *azurestair.Claim) { c.Incarnation = 0 },
	"operation":   func(c *azurestair.Claim) { c.Operation = "approve" },
	"fingerprint": func(c *azurestair.Claim) { c.Fingerprint = []byte("g") },
}

// expectScript runs comma-separated steps of the form "action claim result".
// The action "deadline" sets the time to the last moment at which a record
// stays held, and "pass" advances it by one millisecond.
func expectScript(script string) {
	GinkgoHelper()
	d := newStateDriver()
	for step := range strings.SplitSeq(script, ", ") {
		By(step)
		f := strings.Fields(step)
		c := claim("k", "i1", 1)
		switch f[0] {
		case "deadline":
			d.at = epoch.Add(timeout + control.DeadlineMargin)
		case "pass":
			d.at++
		case "state":
			r, _ := d.state.Claim("desk", "k")
			Expect(r.State).To(BeEquivalentTo(f[1]))
		case "claim":
			claimVariants[f[1]](&c)
			d.expectClaim(c, azurestair.ResultCode(f[2]))
		default:
			claimVariants[f[1]](&c)
			d.expect(finish(c, azurestair.ClaimState(f[0]), nil), azurestair.ResultCode(f[2]))
		}
	}
}

var _ = Describe("ledger", func() {
	// Each entry guards against a request that runs twice or against a wrong
	// answer about one.
	DescribeTable("", expectScript,
		Entry("grants a claim once, and again to a resend", "claim a granted, claim a granted, claim b held, claim a2 held"),
		Entry("keeps a claim held until the deadline", "claim a granted, deadline, claim b held, claim restarted held, state held"),
		Entry("sets a claim to unknown past the deadline, also for the same instance under a newer incarnation",
			"claim a granted, deadline, pass, claim restarted recorded, state unknown, claim a recorded, claim b recorded"),
		Entry("allows only done to replace unknown", "claim a granted, unknown a accepted, notRun a conflict, "+
			"unknown a unchanged, done b conflict, done a accepted, state done"),
		Entry("grants another claim after notRun",
			"claim a granted, notRun a accepted, claim a held, claim b granted, done a conflict, state held"),
		Entry("does not grant a claim that arrives after its notRun", "unknown a notFound, done a notFound, "+
			"notRun a accepted, notRun a unchanged, claim a held, claim earlier held, claim a2 granted"),
		Entry("keeps a claim that is done", "claim a granted, done a accepted, done a unchanged, notRun a conflict, unknown a conflict, "+
			"claim a recorded, state done"),
		Entry("rejects a key of another operation", "claim a granted, claim operation keyReused"),
		Entry("rejects a key of another request content", "claim a granted, notRun a accepted, claim fingerprint keyReused"),
	)

	// Guards against records that are removed too early, so that a late retry
	// would run again, and against records that a wrong clock keeps for too
	// long.
	DescribeTable("keeps a record until its deadline and one hour more",
		func(deadline azurestair.UnixMillis, until azurestair.UnixMillis) {
			d := newStateDriver()
			c := claim("k", "i1", 1)
			c.Deadline = deadline
			d.expectClaim(c, azurestair.ResultGranted)
			for i, at := range []azurestair.UnixMillis{until - 1, until} {
				d.at = at
				d.expectClaim(claim("other", "i1", 1), azurestair.ResultGranted)
				Expect(d.state.ClaimCount()).To(Equal(2 - i))
			}
		},
		Entry("deadline within the timeout", epoch.Add(timeout), epoch.Add(timeout+control.ClaimRetention)),
		Entry("deadline in the past", epoch-9_000_000, epoch.Add(control.ClaimRetention)),
		Entry("deadline far ahead", epoch+9e12, epoch.Add(azurestair.MaxTimeoutMs+control.ClaimRetention)),
	)

	// Guards against claims that are removed early when the ledger is full.
	It("rejects new keys when it is full, and accepts them after expiry", func() {
		d := newStateDriver()
		for i := range control.MaxClaims {
			c := claim(fmt.Sprint("n", i), "i1", 1)
			d.apply(azurestair.Command{Claim: &c})
		}
		// The codec must be able to encode the image of a full ledger.
		d.state = restore(d.state.Image())
		a := claim("k", "i1", 1)
		d.expectClaim(a, azurestair.ResultFull)
		d.expect(finish(a, azurestair.ClaimNotRun, nil), azurestair.ResultFull)
		d.expectClaim(claim("n0", "i2", 1), azurestair.ResultHeld)
		d.at = a.Deadline.Add(control.ClaimRetention)
		d.expectClaim(a, azurestair.ResultGranted)
		Expect(d.state.ClaimCount()).To(BeNumerically("<", control.MaxClaims))
	})

	It("drops the oldest answers beyond the limit, also after a restore", func() {
		d := newStateDriver()
		n := int(control.MaxAnswerBytes / azurestair.MaxRecordedAnswer)
		for i := range n + 2 {
			if i == n {
				d.state = restore(d.state.Image())
			}
			c := claim(fmt.Sprint("n", i), "i1", 1)
			d.expectClaim(c, azurestair.ResultGranted)
			d.expect(finish(c, azurestair.ClaimDone, make([]byte, azurestair.MaxRecordedAnswer)), azurestair.ResultAccepted)
		}
		for i, dropped := range []bool{true, true, false} {
			r, _ := d.state.Claim("desk", azurestair.RequestKey(fmt.Sprint("n", i)))
			Expect(r.Answer.Dropped).To(Equal(dropped))
			Expect(r.Answer.Status).To(Equal(200))
		}
	})

	It("drops an answer with oversized header fields", func() {
		d := newStateDriver()
		a := claim("k", "i1", 1)
		d.expectClaim(a, azurestair.ResultGranted)
		c := finish(a, azurestair.ClaimDone, nil)
		c.Completion.Answer.Header = map[string]string{"X": string(make([]byte, 3*azurestair.MaxRecordedAnswer))}
		d.expect(c, azurestair.ResultAccepted)
		r, _ := d.state.Claim("desk", "k")
		Expect(r.Answer).To(Equal(&azurestair.Answer{Status: 200, Dropped: true}))
	})
})
