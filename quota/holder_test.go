package quota

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

// holderWith returns a holder that got tokens at the given time.
func holderWith(n azurestair.Tokens, now time.Time) *Holder {
	GinkgoHelper()
	h := NewHolder("entry-1", 1)
	d := h.Take("jars", now)
	Expect(d.Verdict).To(Equal(Waiting))
	h.Ask(now)
	Expect(h.Answer(grant(h, azurestair.QuotaGrant{Granted: n + 1}), now)).To(Equal([]Decision{{Verdict: Admitted, Ticket: d.Ticket}}))
	return h
}

// grant returns the answer of term 1 to the ask in flight.
func grant(h *Holder, g azurestair.QuotaGrant) azurestair.QuotaAnswer {
	return azurestair.QuotaAnswer{Term: 1, Sequence: h.sequence, Grants: []azurestair.QuotaGrant{g}}
}

func expectVerdict(h *Holder, want Verdict, now time.Time) Decision {
	GinkgoHelper()
	d := h.Take("jars", now)
	Expect(d.Verdict).To(Equal(want))
	return d
}

// expectDemand checks the next ask, which is abandoned.
func expectDemand(h *Holder, now time.Time, fields ...any) {
	GinkgoHelper()
	a := h.Ask(now)
	Expect(a.Validate()).To(Succeed())
	Expect(a.Demands).To(HaveLen(1))
	for i := 0; i < len(fields); i += 2 {
		Expect(a.Demands[0]).To(HaveField(fields[i].(string), BeEquivalentTo(fields[i+1])))
	}
	h.Abandon(a.Sequence)
}

var _ = Describe("the holder", func() {
	It("uses its tokens and then lets requests wait", func() {
		h := holderWith(1, at(0))
		expectVerdict(h, Admitted, at(10))
		expectVerdict(h, Waiting, at(20))
		expectDemand(h, at(20), "Used", 2, "Waiting", 1, "Answered", 1)
	})
	// Guards against tokens that a cut or suspended entry uses after the leader
	// has leased their place to others.
	It("uses no token past the deadline, which counts from the ask", func() {
		h := holderWith(2, at(0))
		expectVerdict(h, Admitted, at(3999))
		expectVerdict(h, Waiting, at(4000))
	})
	It("ignores an answer to an ask that it has abandoned", func() {
		h := holderWith(0, at(0))
		expectVerdict(h, Waiting, at(10))
		late := h.Ask(at(50))
		h.Abandon(late.Sequence)
		Expect(h.Answer(azurestair.QuotaAnswer{Term: 1, Sequence: late.Sequence, Grants: []azurestair.QuotaGrant{{Granted: 5}}}, at(60))).To(BeEmpty())
		expectDemand(h, at(100), "Answered", 1, "Held", 0, "Used", 1)
	})
	It("discards an answer that arrives after a suspension", func() {
		h := NewHolder("entry-1", 1)
		expectVerdict(h, Waiting, at(0))
		h.Ask(at(0))
		Expect(h.Answer(grant(h, azurestair.QuotaGrant{Granted: 5}), at(5000))).To(BeEmpty())
		expectDemand(h, at(5000), "Held", 0)
	})
	It("returns a refunded token until its use was reported", func() {
		h := holderWith(1, at(0))
		expectVerdict(h, Admitted, at(10))
		h.Refund("jars", at(20))
		expectVerdict(h, Admitted, at(30))
		expectDemand(h, at(50), "Used", 2)
		h.Refund("jars", at(60))
		expectVerdict(h, Waiting, at(70))
	})
	It("counts tokens used between an ask and its answer in the next ask", func() {
		h := holderWith(3, at(0))
		h.Ask(at(50))
		expectVerdict(h, Admitted, at(60))
		h.Answer(grant(h, azurestair.QuotaGrant{}), at(70))
		expectDemand(h, at(200), "Answered", 2, "Used", 1)
	})
	It("refuses at once while the workspace is known to be over its limit", func() {
		h := holderWith(0, at(0))
		waiting := expectVerdict(h, Waiting, at(10))
		h.Ask(at(50))
		Expect(h.Answer(grant(h, azurestair.QuotaGrant{OverLimit: true, NextMs: 200, RetryAfterMs: 900}), at(60))).To(
			Equal([]Decision{{Verdict: OverLimit, Ticket: waiting.Ticket, RetryAfter: 900}}))
		Expect(expectVerdict(h, OverLimit, at(160)).RetryAfter).To(BeEquivalentTo(800))
		Expect(h.NextAsk()).To(Equal(at(260)))
		expectVerdict(h, Waiting, at(260))
	})
	// Guards against tokens that lie unused at the entries of refused callers.
	It("asks for no token for a refused caller that is not expected back", func() {
		h := holderWith(0, at(0))
		expectVerdict(h, Waiting, at(2000))
		h.Ask(at(2000))
		Expect(h.Answer(grant(h, azurestair.QuotaGrant{OverLimit: true, NextMs: 200, RetryAfterMs: 900}), at(2010))).To(HaveLen(1))
		expectDemand(h, at(2300), "OverLimit", 1, "Waiting", 0)
	})
	It("says that the leader is not reached if no answer came", func() {
		h := holderWith(0, at(0))
		w := expectVerdict(h, Waiting, at(10))
		d, ok := h.Cancel("jars", w.Ticket, at(160))
		Expect(ok).To(BeTrue())
		Expect(d.Verdict).To(Equal(Unreachable))
	})
	It("does not decide twice on a request", func() {
		h := holderWith(0, at(0))
		w := expectVerdict(h, Waiting, at(10))
		h.Ask(at(50))
		Expect(h.Answer(grant(h, azurestair.QuotaGrant{Granted: 1}), at(60))).To(HaveLen(1))
		_, ok := h.Cancel("jars", w.Ticket, at(160))
		Expect(ok).To(BeFalse())
	})
	It("admits waiting requests without a token if the workspace has no limit, and takes no refund for them", func() {
		h := NewHolder("entry-1", 1)
		w := expectVerdict(h, Waiting, at(0))
		h.Ask(at(0))
		Expect(h.Answer(grant(h, azurestair.QuotaGrant{Unlimited: true}), at(10))).To(Equal([]Decision{{Verdict: Unlimited, Ticket: w.Ticket}}))
	})
	It("gives up revoked tokens", func() {
		h := holderWith(3, at(0))
		h.Ask(at(50))
		h.Answer(grant(h, azurestair.QuotaGrant{Revoked: 2}), at(60))
		expectDemand(h, at(100), "Held", 0)
	})
	It("returns tokens that it has not used for a second while others lack them", func() {
		h := holderWith(20, at(0))
		for range 10 {
			expectVerdict(h, Admitted, at(0))
		}
		h.Ask(at(500))
		h.Answer(grant(h, azurestair.QuotaGrant{Scarce: true}), at(510))
		expectDemand(h, at(990), "Held", 5)
		expectDemand(h, at(1010), "Held", 0, "Ahead", 0)
	})
	It("asks at once when a request waits, but not twice within 50 ms", func() {
		h := holderWith(0, at(0))
		Expect(h.NextAsk()).To(Equal(at(500)))
		expectVerdict(h, Waiting, at(10))
		Expect(h.NextAsk()).To(Equal(at(50)))
		h.Ask(at(200))
		Expect(h.NextAsk().IsZero()).To(BeTrue())
	})
	// Guards against messages of entries without traffic.
	It("stops asking once nothing is left to say", func() {
		h := holderWith(1, at(0))
		for ms := 500; !h.NextAsk().IsZero() && ms < 60_000; ms += 500 {
			h.Ask(at(ms))
			h.Answer(grant(h, azurestair.QuotaGrant{}), at(ms))
		}
		Expect(h.NextAsk().IsZero()).To(BeTrue())
		expectVerdict(h, Waiting, at(70_000))
		Expect(h.NextAsk()).NotTo(BeZero())
	})
	It("bounds the size of an ask and includes waiting requests first", func() {
		h := NewHolder("entry-1", 1)
		const workspaces = 2000
		for n := range workspaces {
			h.Take(nameOf(n), at(0))
		}
		seen := map[azurestair.WorkspaceName]bool{}
		for ms := 50; len(seen) < workspaces && ms < 1000; ms += 50 {
			a := h.Ask(at(ms))
			Expect(len(a.Demands)).To(BeNumerically("<=", azurestair.MaxQuotaDemands))
			Expect(a.Validate()).To(Succeed())
			ans := azurestair.QuotaAnswer{Term: 1, Sequence: a.Sequence, Grants: make([]azurestair.QuotaGrant, len(a.Demands))}
			for i, d := range a.Demands {
				seen[d.Workspace] = true
				ans.Grants[i].Granted = 1
			}
			h.Answer(ans, at(ms))
		}
		Expect(seen).To(HaveLen(workspaces))
	})
})
