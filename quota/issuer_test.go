package quota

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

// jars is a workspace with a capacity of 50 tokens and an allowance of 10.
var jars = Limit{Workspace: "jars", Rate: 10, Total: 80}

// full is a time at which the bucket of a leader that started at at(0) is full.
const full = 20_000

func newIssuer(limits ...Limit) *Issuer {
	i := NewIssuer(1, at(0))
	i.SetLimits(limits, at(0))
	return i
}

// ask returns the ask of an entry that has heard term 1.
func ask(n int, seq azurestair.Sequence, d azurestair.QuotaDemand) azurestair.QuotaAsk {
	d.Workspace = "jars"
	return azurestair.QuotaAsk{
		Holder: azurestair.InstanceID(fmt.Sprintf("entry-%d", n)), Incarnation: 1, Sequence: seq, Term: 1,
		Demands: []azurestair.QuotaDemand{d},
	}
}

func answer(i *Issuer, a azurestair.QuotaAsk, now time.Time) azurestair.QuotaGrant {
	GinkgoHelper()
	ans, err := i.Answer(a, now)
	Expect(err).NotTo(HaveOccurred())
	Expect(ans.Grants).To(HaveLen(len(a.Demands)))
	Expect(ans.Validate()).To(Succeed())
	return ans.Grants[0]
}

// expectGranted checks how many tokens an ask for n waiting requests gets.
func expectGranted(i *Issuer, holder int, seq azurestair.Sequence, waiting, want azurestair.Tokens, now time.Time) {
	GinkgoHelper()
	Expect(answer(i, ask(holder, seq, azurestair.QuotaDemand{Waiting: waiting}), now).Granted).To(Equal(want))
}

func statusOf(i *Issuer, now time.Time) azurestair.QuotaStatus {
	GinkgoHelper()
	all := i.Status(now)
	Expect(all).To(HaveLen(1))
	return all[0]
}

var _ = Describe("the issuer", func() {
	// Guards against a leader that leases anew what entries still have from its
	// predecessor.
	It("leases no more than the allowance while tokens of earlier leaders may exist", func() {
		i := newIssuer(jars)
		expectGranted(i, 1, 1, 100, 10, at(4000))
		expectGranted(i, 2, 1, 100, 0, at(4100))
	})
	It("starts with level 0", func() { expectGranted(newIssuer(jars), 1, 1, 100, 1, at(100)) })
	// Guards against a small burst that refuses every request.
	It("admits at the rate without any burst, also as a new leader", func() {
		i := newIssuer(Limit{Workspace: "jars", Rate: 1})
		expectGranted(i, 1, 1, 5, 1, at(1000))
		Expect(answer(i, ask(1, 2, azurestair.QuotaDemand{Answered: 1, Used: 1, Waiting: 1}), at(1500)).Granted).To(BeZero())
		Expect(answer(i, ask(1, 3, azurestair.QuotaDemand{Answered: 2, Waiting: 1}), at(2500)).Granted).To(BeEquivalentTo(1))
	})
	It("refills up to the capacity", func() { expectGranted(newIssuer(jars), 1, 1, 100, 50, at(full)) })
	// Guards against tokens of a cut or killed entry that are leased to others
	// without the time that refills them.
	It("counts tokens past their deadline as used", func() {
		i := newIssuer(jars)
		expectGranted(i, 1, 1, 50, 50, at(full))
		expectGranted(i, 2, 1, 50, 0, at(full+4000))
		Expect(statusOf(i, at(full+4200)).Available).To(BeZero())
		expectGranted(i, 2, 2, 50, 10, at(full+5200))
	})
	It("keeps counting the tokens of a killed entry beside those of its next run", func() {
		i := newIssuer(jars)
		expectGranted(i, 1, 1, 50, 50, at(full))
		next := ask(1, 1, azurestair.QuotaDemand{Waiting: 5})
		next.Incarnation = 2
		Expect(answer(i, next, at(full+1000)).Granted).To(BeZero())
		Expect(statusOf(i, at(full+1000)).Leased).To(Equal(azurestair.Tokens(50)))
	})
	It("reclaims the tokens of an answer that the entry has abandoned", func() {
		i := newIssuer(jars)
		expectGranted(i, 1, 1, 50, 50, at(full))
		expectGranted(i, 1, 2, 50, 50, at(full+500))
	})
	It("reclaims an abandoned answer, but not what was used meanwhile", func() {
		i := newIssuer(jars)
		expectGranted(i, 1, 1, 20, 20, at(full))
		Expect(answer(i, ask(1, 2, azurestair.QuotaDemand{Answered: 1, Held: 15, Used: 5, Waiting: 10}), at(full)).Granted).To(BeEquivalentTo(10))
		answer(i, ask(1, 3, azurestair.QuotaDemand{Answered: 1, Held: 12, Used: 8}), at(full))
		Expect(statusOf(i, at(full))).To(And(HaveField("Leased", azurestair.Tokens(12)), HaveField("Available", azurestair.Tokens(30))))
	})
	It("takes back the tokens that an entry returns", func() {
		i := newIssuer(jars)
		expectGranted(i, 1, 1, 50, 50, at(full))
		answer(i, ask(1, 2, azurestair.QuotaDemand{Answered: 1, Held: 5, Used: 10}), at(full))
		Expect(statusOf(i, at(full))).To(And(HaveField("Leased", azurestair.Tokens(5)), HaveField("Available", azurestair.Tokens(35))))
	})
	// Guards against an ask that is delivered late and undoes a later one.
	It("rejects an ask that was overtaken", func() {
		i := newIssuer(jars)
		expectGranted(i, 1, 2, 10, 10, at(full))
		_, err := i.Answer(ask(1, 1, azurestair.QuotaDemand{}), at(full))
		Expect(err).To(MatchError(azurestair.ErrConflict))
	})
	It("adopts the tokens of earlier leaders and revokes what exceeds the capacity", func() {
		i := newIssuer(jars)
		expectGranted(i, 1, 1, 10, 10, at(3000))
		old := ask(2, 7, azurestair.QuotaDemand{Held: 50, Answered: 6})
		old.Term = 0
		Expect(answer(i, old, at(3000)).Revoked).To(BeEquivalentTo(10))
		Expect(statusOf(i, at(3000)).Leased).To(BeEquivalentTo(60))
	})
	// Guards against a new leader that first gets a late ask and then counts what
	// the entry has told the former leader as used since as returned.
	It("takes back nothing of what a late ask to an earlier leader told", func() {
		i := NewIssuer(2, at(0))
		i.SetLimits([]Limit{jars}, at(0))
		answer(i, ask(1, 5, azurestair.QuotaDemand{Held: 10, Answered: 4}), at(100))
		answer(i, ask(1, 7, azurestair.QuotaDemand{Answered: 6}), at(100))
		Expect(statusOf(i, at(100))).To(And(HaveField("Leased", BeZero()), HaveField("Available", BeEquivalentTo(1))))
	})
	It("does not renew tokens above a lowered limit", func() {
		i := newIssuer(jars)
		expectGranted(i, 1, 1, 50, 50, at(full))
		i.SetLimits([]Limit{{Workspace: "jars", Rate: 1, Total: 16}}, at(full))
		Expect(answer(i, ask(1, 2, azurestair.QuotaDemand{Answered: 1, Held: 50}), at(full)).Revoked).To(BeEquivalentTo(40))
		Expect(answer(i, ask(1, 3, azurestair.QuotaDemand{Answered: 2, Held: 10}), at(full))).To(
			And(HaveField("Revoked", BeZero()), HaveField("Granted", BeZero())))
	})
	It("refills a raised limit at the new rate", func() {
		i := newIssuer(jars)
		expectGranted(i, 1, 1, 50, 50, at(full))
		i.SetLimits([]Limit{{Workspace: "jars", Rate: 20, Total: 160}}, at(full))
		expectGranted(i, 2, 1, 100, 20, at(full+1000))
	})
	It("remembers the tokens of a workspace that is removed and comes back", func() {
		i := newIssuer(jars)
		expectGranted(i, 1, 1, 50, 50, at(full))
		i.SetLimits(nil, at(full+100))
		Expect(answer(i, ask(2, 1, azurestair.QuotaDemand{Waiting: 1}), at(full+100)).Unlimited).To(BeTrue())
		i.SetLimits([]Limit{jars}, at(full+200))
		expectGranted(i, 2, 2, 50, 0, at(full+1200))
	})
	It("meets waiting requests in proportion, and before tokens ahead", func() {
		i := newIssuer(jars)
		expectGranted(i, 1, 1, 50, 50, at(full))
		answer(i, ask(2, 1, azurestair.QuotaDemand{Waiting: 30}), at(full))
		answer(i, ask(1, 2, azurestair.QuotaDemand{Answered: 1, Used: 50}), at(full))
		Expect(answer(i, ask(3, 1, azurestair.QuotaDemand{Waiting: 10, Ahead: 100}), at(full+1000)).Granted).To(BeEquivalentTo(10))
		expectGranted(i, 2, 2, 30, 10, at(full+2000))
	})
	It("says when an overdrawn workspace has tokens again", func() {
		i := newIssuer(jars)
		expectGranted(i, 1, 1, 50, 50, at(full))
		g := answer(i, ask(1, 2, azurestair.QuotaDemand{Answered: 1, Used: 50, Waiting: 20}), at(full))
		Expect(g).To(Equal(azurestair.QuotaGrant{OverLimit: true, Scarce: true, NextMs: 100, RetryAfterMs: 2000}))
	})
	It("does not call a workspace over its limit whose tokens other entries hold", func() {
		i := newIssuer(jars)
		expectGranted(i, 1, 1, 50, 50, at(full))
		Expect(answer(i, ask(2, 1, azurestair.QuotaDemand{Waiting: 20}), at(full))).To(
			And(HaveField("OverLimit", BeFalse()), HaveField("Scarce", BeTrue())))
	})
	It("counts requests once, also when an answer is lost", func() {
		i := newIssuer(jars)
		expectGranted(i, 1, 1, 20, 20, at(full))
		answer(i, ask(1, 2, azurestair.QuotaDemand{Answered: 1, Held: 15, Used: 5, OverLimit: 2}), at(full))
		answer(i, ask(1, 3, azurestair.QuotaDemand{Answered: 1, Held: 14, Used: 6, OverLimit: 3, Unreachable: 1}), at(full))
		Expect(statusOf(i, at(full))).To(And(
			HaveField("Admitted", BeEquivalentTo(6)), HaveField("OverLimit", BeEquivalentTo(3)), HaveField("Unreachable", BeEquivalentTo(1)),
			HaveField("Rate", BeEquivalentTo(6)), HaveField("Limit", BeEquivalentTo(10))))
	})
})
