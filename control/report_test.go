package control_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

var _ = Describe("repeated reports", func() {
	var (
		sender   control.ReportSender
		receiver control.ReportReceiver
		report   azurestair.Report
		grants   []azurestair.Grant
	)

	BeforeEach(func() {
		sender, receiver = control.ReportSender{}, control.ReportReceiver{}
		report = azurestair.Report{
			Instance: azurestair.InstanceInfo{ID: "entry-1", Incarnation: 7, Region: "kigali", FailureDomain: "kigali-a"},
			Alive:    []azurestair.UpstreamID{"u1"}, Demands: []azurestair.Demand{{Want: 3}},
		}
		grants = []azurestair.Grant{{Amount: 3}}
	})

	// exchange sends the report and handles the reply, which is discarded if
	// lost is true.
	exchange := func(lost bool) (sent azurestair.Report, reply azurestair.ReportReply) {
		GinkgoHelper()
		sent = sender.Prepare(report)
		got, ok := receiver.Expand(sent)
		if !ok {
			reply.Resend = true
		} else {
			Expect([]any{got.Instance, got.Alive, got.Demands}).To(Equal([]any{report.Instance, report.Alive, report.Demands}))
			receiver.SetGrants(got, grants, &reply)
		}
		if !lost {
			received, ok := sender.HandleReply(reply)
			Expect(ok).To(Equal(!reply.Resend))
			if ok {
				Expect(received).To(Equal(grants))
			}
		}
		return sent, reply
	}

	It("omit what has not changed, in both directions", func() {
		exchange(false)
		sent, reply := exchange(false)
		Expect(sent.RepeatOf).NotTo(BeNil())
		Expect(sent.Demands).To(BeEmpty())
		Expect(reply.SameGrants).To(BeTrue())
		report.Alive = nil
		sent, _ = exchange(false)
		Expect(sent.RepeatOf).To(BeNil())
	})

	// Guards against an instance that continues with grants that it never
	// received.
	It("are answered with all grants after a lost reply", func() {
		exchange(false)
		grants = []azurestair.Grant{{Amount: 9}}
		exchange(true)
		_, reply := exchange(false)
		Expect(reply.SameGrants).To(BeFalse())
	})

	// Guards against a leader that mistakes a report for a repeat of another
	// one.
	It("are answered with a request for a complete report when the repeated one is unknown", func() {
		exchange(false)
		receiver = control.ReportReceiver{}
		_, reply := exchange(false)
		Expect(reply.Resend).To(BeTrue())
		sent, _ := exchange(false)
		Expect(sent.RepeatOf).To(BeNil())
		other := sender
		report.Demands = []azurestair.Demand{{Want: 5}}
		exchange(false)
		sender = other
		report.Demands = []azurestair.Demand{{Want: 3}}
		_, reply = exchange(false)
		Expect(reply.Resend).To(BeTrue())
	})
})
