package control_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// configWithWorkspaces returns a configuration with n workspaces of one key.
func configWithWorkspaces(version azurestair.ConfigVersion, n int) azurestair.Config {
	cfg := azurestair.Config{Version: version}
	for i := range n {
		cfg.Workspaces = append(cfg.Workspaces, azurestair.Workspace{
			Name: azurestair.WorkspaceName(fmt.Sprintf("w%d", i)),
			Keys: []azurestair.KeyDigest{azurestair.KeyDigestOf(fmt.Sprintf("key-%d", i))},
		})
	}
	return cfg
}

var _ = Describe("a configuration with workspaces", func() {
	// Guards against a conflict that does not show which workspace another
	// operator has changed, and against keys in the list of changes.
	It("is compared with digests of its keys only", func() {
		before, after := configWithWorkspaces(1, 2), configWithWorkspaces(2, 2)
		rank := azurestair.RankUrgent
		after.Workspaces[0].Rank, after.Workspaces[0].RatePerSecond = &rank, 7.5
		after.Workspaces[1].Keys = []azurestair.KeyDigest{azurestair.KeyDigestOf("key-new")}
		after.Defaults.KeyLeaseMs = 4500
		lines := control.Diff(&before, &after)
		Expect(lines).To(HaveLen(3))
		Expect(lines[0]).To(Equal("defaults.keyLeaseMs: 0 -> 4500"))
		Expect(lines[1]).To(HavePrefix("workspace w0: rank=of route homes=[] ratePerSecond=0 burst=0 keys=["))
		Expect(lines[1]).To(ContainSubstring("-> rank=urgent homes=[] ratePerSecond=7.5"))
		Expect(lines[2]).To(HavePrefix("workspace w1: "))
		Expect(strings.Join(lines, "\n")).NotTo(Or(ContainSubstring("key-0"), ContainSubstring("key-new")))
	})

	historyAfter := func(versions, workspaces int) int {
		var s control.State
		for v := range versions {
			cfg := configWithWorkspaces(azurestair.ConfigVersion(v+1), workspaces)
			s.Apply(azurestair.Index(v+1), azurestair.Command{Config: &azurestair.ConfigChange{
				Change: azurestair.Change{ID: azurestair.ChangeID(fmt.Sprintf("c%d", v)), Operator: "o", Reason: "r"}, Highest: true, Config: cfg,
			}})
		}
		Expect(s.Config().Version).To(BeEquivalentTo(versions))
		return len(s.History())
	}

	// Guards against a control instance that runs out of memory because of old
	// versions, and against old versions that are missing in small fleets.
	DescribeTable("is kept with earlier versions as long as they are small together",
		func(workspaces, want int) { Expect(historyAfter(control.MaxHistory+3, workspaces)).To(Equal(want)) },
		Entry("none", 0, control.MaxHistory),
		Entry("few", 84, control.MaxHistory),
		Entry("many", 5_000, 4),
		Entry("as many as allowed", azurestair.MaxWorkspaces, 2),
	)
})

// scopedClaim returns a claim of another entry for the same request and key in a
// workspace; an empty name stands for none.
func scopedClaim(w azurestair.WorkspaceName, attempt uint64) azurestair.Claim {
	c := claim("k", "i1", attempt)
	c.Workspace = w
	return c
}

// finishScoped returns the completion of a claim in its workspace.
func finishScoped(c azurestair.Claim, state azurestair.ClaimState) azurestair.Command {
	cmd := finish(c, state, []byte("answer of "+string(c.Workspace)))
	cmd.Completion.Workspace = c.Workspace
	return cmd
}

var _ = Describe("an idempotency key", func() {
	// Guards against a workspace that gets the answer to a request of another
	// one, or that keeps another one from using a key.
	It("belongs to its workspace", func() {
		d := newStateDriver()
		for i, w := range []azurestair.WorkspaceName{"acme", "bell"} {
			c := scopedClaim(w, uint64(i+1))
			d.expectClaim(c, azurestair.ResultGranted)
			d.expect(finishScoped(c, azurestair.ClaimDone), azurestair.ResultAccepted)
		}
		for _, w := range []azurestair.WorkspaceName{"acme", "bell"} {
			res := d.expectClaim(scopedClaim(w, 9), azurestair.ResultRecorded)
			Expect(string(res.Record.Answer.Body)).To(Equal("answer of " + string(w)))
		}
		d.expectClaim(scopedClaim("carol", 9), azurestair.ResultGranted)
	})

	// Guards against a request that runs twice because one entry knows the
	// workspaces of a new configuration and another one does not, and against an
	// answer that reaches a caller whose identity was not checked.
	DescribeTable("is not granted with and without a workspace for the same request",
		func(first, second azurestair.WorkspaceName, state azurestair.ClaimState, code azurestair.ResultCode) {
			d := newStateDriver()
			c := scopedClaim(first, 1)
			d.expectClaim(c, azurestair.ResultGranted)
			if state != azurestair.ClaimHeld {
				d.expect(finishScoped(c, state), azurestair.ResultAccepted)
			}
			res := d.expectClaim(scopedClaim(second, 2), code)
			Expect(res.Record).To(BeNil())
		},
		Entry("held, then introduced", azurestair.WorkspaceName(""), azurestair.WorkspaceName("acme"), azurestair.ClaimHeld, azurestair.ResultKeyReused),
		Entry("done, then introduced", azurestair.WorkspaceName(""), azurestair.WorkspaceName("acme"), azurestair.ClaimDone, azurestair.ResultKeyReused),
		Entry("unknown, then introduced", azurestair.WorkspaceName(""), azurestair.WorkspaceName("acme"), azurestair.ClaimUnknown, azurestair.ResultKeyReused),
		Entry("not run, then introduced", azurestair.WorkspaceName(""), azurestair.WorkspaceName("acme"), azurestair.ClaimNotRun, azurestair.ResultGranted),
		Entry("held at an entry that knows more", azurestair.WorkspaceName("acme"), azurestair.WorkspaceName(""), azurestair.ClaimHeld, azurestair.ResultKeyReused),
		Entry("done, then removed", azurestair.WorkspaceName("acme"), azurestair.WorkspaceName(""), azurestair.ClaimDone, azurestair.ResultKeyReused),
		Entry("not run, then removed", azurestair.WorkspaceName("acme"), azurestair.WorkspaceName(""), azurestair.ClaimNotRun, azurestair.ResultGranted),
	)

	// Guards against a key whose first attempt did not run, which is then granted
	// in both scopes.
	It("that did not run in one scope is granted in one only", func() {
		d := newStateDriver()
		c := scopedClaim("", 1)
		d.expectClaim(c, azurestair.ResultGranted)
		d.expect(finishScoped(c, azurestair.ClaimNotRun), azurestair.ResultAccepted)
		d.expectClaim(scopedClaim("acme", 2), azurestair.ResultGranted)
		d.expectClaim(scopedClaim("", 3), azurestair.ResultKeyReused)
	})

	// Guards against a false "not run", and against an answer of the other
	// scope.
	It("is reported for the other scope without its answer", func() {
		d := newStateDriver()
		query := func(w azurestair.WorkspaceName) *azurestair.ClaimRecord {
			return d.state.Query(control.Query{Claim: &azurestair.ClaimQuery{Service: "desk", Key: "k", Workspace: w}}).Claim
		}
		Expect(query("acme")).To(BeNil())
		c := scopedClaim("", 1)
		d.expectClaim(c, azurestair.ResultGranted)
		d.expect(finishScoped(c, azurestair.ClaimDone), azurestair.ResultAccepted)
		Expect(query("").Answer).NotTo(BeNil())
		Expect(query("acme").Claim.Workspace).To(BeEmpty())
		Expect(query("acme").Answer).To(BeNil())

		d = newStateDriver()
		d.expectClaim(scopedClaim("acme", 1), azurestair.ResultGranted)
		Expect(query("").Claim.Workspace).To(BeEquivalentTo("acme"))
		Expect(query("bell")).To(BeNil())
	})

	// Guards against scopes that are lost when a replica restarts, and against an
	// index that keeps records which have expired.
	It("keeps its workspace in an image, until it expires", func() {
		d := newStateDriver()
		c := scopedClaim("acme", 1)
		d.expectClaim(c, azurestair.ResultGranted)
		Expect(azurestair.Command{Claim: &c}.RequiredVersion()).To(Equal(azurestair.ProtocolWorkspaces))
		Expect(finishScoped(c, azurestair.ClaimNotRun).RequiredVersion()).To(Equal(azurestair.ProtocolWorkspaces))
		restored, err := control.FromImage(d.state.Image())
		Expect(err).NotTo(HaveOccurred())
		d.state = restored
		d.expectClaim(scopedClaim("", 2), azurestair.ResultKeyReused)
		d.at = c.Deadline.Add(control.ClaimRetention)
		d.expectClaim(scopedClaim("", 2), azurestair.ResultGranted)
	})
})
