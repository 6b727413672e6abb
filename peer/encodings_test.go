package peer

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

var _ = Describe("replies to reports", func() {
	var e encodings
	BeforeEach(func() { e = encodings{} })

	// expectSame checks that a reply reads as if it had been encoded as it is.
	expectSame := func(r azurestair.ReportReply) {
		GinkgoHelper()
		shared, err := e.reply(r)
		Expect(err).NotTo(HaveOccurred())
		data, err := Codec{}.Marshal(&shared)
		Expect(err).NotTo(HaveOccurred())
		var got azurestair.ReportReply
		Expect(Codec{}.Unmarshal(data, &got)).To(Succeed())
		plain, err := Codec{}.Marshal(&r)
		Expect(err).NotTo(HaveOccurred())
		var want azurestair.ReportReply
		Expect(Codec{}.Unmarshal(plain, &want)).To(Succeed())
		Expect(got).To(Equal(want))
	}
	snapshot := func(rev azurestair.Revision) *azurestair.Snapshot {
		return &azurestair.Snapshot{Term: 1, Revision: rev, Config: &azurestair.Config{}}
	}

	It("are the same with what they share encoded once", func() {
		s := snapshot(3)
		d := &azurestair.Delta{Term: 1, Base: 2, Revision: 3, RemovedUpstreams: []azurestair.UpstreamID{"w1"}}
		grants := []azurestair.Grant{{Resource: azurestair.Resource{Kind: azurestair.ResourceSlots, Service: "shop", Region: "huye"}, Amount: 4}}
		for range 2 {
			expectSame(azurestair.ReportReply{Term: 1, ControlTTLMs: 3000})
			expectSame(azurestair.ReportReply{Term: 1, ControlTTLMs: 3000, Grants: grants, Snapshot: s})
			expectSame(azurestair.ReportReply{Term: 1, Delta: d, Unknown: []azurestair.UpstreamID{"w2"}})
		}
	})

	It("do not share across revisions", func() {
		for rev := range azurestair.Revision(3) {
			expectSame(azurestair.ReportReply{Term: 1, Snapshot: snapshot(rev + 1)})
			expectSame(azurestair.ReportReply{Term: 1, Delta: &azurestair.Delta{Term: 1, Base: rev, Revision: rev + 1}})
		}
		Expect(e.deltas).To(HaveLen(1))
	})

	// Guards against a leader that is busy for seconds with the same snapshot for
	// each of hundreds of instances.
	It("encode a snapshot once", func() {
		s := snapshot(1)
		first, err := e.reply(azurestair.ReportReply{Snapshot: s})
		Expect(err).NotTo(HaveOccurred())
		second, err := e.reply(azurestair.ReportReply{Snapshot: s})
		Expect(err).NotTo(HaveOccurred())
		Expect(&second.Snapshot[0]).To(BeIdenticalTo(&first.Snapshot[0]))
	})
})
