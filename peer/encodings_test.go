package peer

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

var _ = Describe("replies to reports", func() {
	var e encodings
	BeforeEach(func() { e = encodings{} })

	snapshot := func(rev azurestair.Revision, upstreams int) *azurestair.Snapshot {
		s := &azurestair.Snapshot{Term: 1, Revision: rev, Config: &azurestair.Config{}}
		for n := range upstreams {
			s.Upstreams = append(s.Upstreams, azurestair.UpstreamInfo{Confirmed: true, Announcement: azurestair.Announcement{
				Upstream: azurestair.UpstreamID(fmt.Sprintf("worker-%04d", n)), Service: "shop", Addr: fmt.Sprintf("10.1.%d.%d:8080", n/250, n%250),
				Region: "huye", FailureDomain: "huye-a", Slots: 9, MaxConns: 330, State: azurestair.StateServing, Incarnation: 1, Sequence: 1,
			}})
		}
		return s
	}
	// sent returns what a reader gets of a reply, and the size on the way.
	sent := func(r azurestair.ReportReply, reader azurestair.ProtocolVersion) (azurestair.ReportReply, int) {
		GinkgoHelper()
		shared, err := e.reply(r, reader)
		Expect(err).NotTo(HaveOccurred())
		data, err := Codec{}.Marshal(&shared)
		Expect(err).NotTo(HaveOccurred())
		var got encodedReply
		Expect(Codec{}.Unmarshal(data, &got)).To(Succeed())
		opened, err := got.open()
		Expect(err).NotTo(HaveOccurred())
		return opened, len(data)
	}
	// expectSame checks that a reply reads as if it had been encoded as it is.
	expectSame := func(r azurestair.ReportReply) {
		GinkgoHelper()
		plain, err := Codec{}.Marshal(&r)
		Expect(err).NotTo(HaveOccurred())
		var want azurestair.ReportReply
		Expect(Codec{}.Unmarshal(plain, &want)).To(Succeed())
		for _, v := range []azurestair.ProtocolVersion{azurestair.ProtocolOldest, azurestair.ProtocolCurrent} {
			got, _ := sent(r, v)
			Expect(got).To(Equal(want))
		}
	}

	It("are the same with what they share encoded once", func() {
		s, d := snapshot(3, 100), &azurestair.Delta{Term: 1, Base: 2, Revision: 3, RemovedUpstreams: []azurestair.UpstreamID{"w1"}}
		grants := []azurestair.Grant{{Resource: azurestair.Resource{Kind: azurestair.ResourceSlots, Service: "shop", Region: "huye"}, Amount: 4}}
		for range 2 {
			expectSame(azurestair.ReportReply{Term: 1, ControlTTLMs: 3000})
			expectSame(azurestair.ReportReply{Term: 1, ControlTTLMs: 3000, Grants: grants, Snapshot: s})
			expectSame(azurestair.ReportReply{Term: 1, Delta: d, Unknown: []azurestair.UpstreamID{"w2"}})
			expectSame(azurestair.ReportReply{Term: 1, Delta: &azurestair.Delta{Term: 1, Base: 1, Revision: 3, Upstreams: s.Upstreams}})
		}
	})

	It("do not share across revisions", func() {
		for rev := range azurestair.Revision(3) {
			expectSame(azurestair.ReportReply{Term: 1, Snapshot: snapshot(rev+1, 1)})
			expectSame(azurestair.ReportReply{Term: 1, Delta: &azurestair.Delta{Term: 1, Base: rev, Revision: rev + 1}})
		}
		Expect(e.deltas).To(HaveLen(1))
	})

	// Guards against a leader whose link is full for longer than its lease after
	// each change of leader, so that leaders follow each other.
	It("take an eighth for programs that unpack", func() {
		r := azurestair.ReportReply{Term: 1, Snapshot: snapshot(1, 3000)}
		_, plain := sent(r, azurestair.ProtocolRouted)
		_, packed := sent(r, azurestair.ProtocolPacked)
		Expect(8 * packed).To(BeNumerically("<", plain))
	})

	// Guards against a leader that is busy for seconds with the same snapshot for
	// each of hundreds of instances.
	It("encode a snapshot once", func() {
		r := azurestair.ReportReply{Snapshot: snapshot(1, 100)}
		first, err := e.reply(r, azurestair.ProtocolCurrent)
		Expect(err).NotTo(HaveOccurred())
		second, err := e.reply(r, azurestair.ProtocolCurrent)
		Expect(err).NotTo(HaveOccurred())
		Expect(&second.PackedSnapshot[0]).To(BeIdenticalTo(&first.PackedSnapshot[0]))
	})

	DescribeTable("are refused when their update cannot be read",
		func(r encodedReply) {
			_, err := r.open()
			Expect(err).To(MatchError(azurestair.ErrInvalid))
		},
		Entry("no CBOR", encodedReply{Snapshot: []byte{0xff}}),
		Entry("no flate", encodedReply{PackedDelta: []byte("not packed")}),
		Entry("packed, no CBOR", encodedReply{PackedSnapshot: mustPack([]byte{0xff})}),
		Entry("packed and too large", encodedReply{PackedSnapshot: mustPack(bytes.Repeat([]byte{0}, MaxMessageBytes+1))}),
		Entry("both", encodedReply{PackedSnapshot: mustPack([]byte{0xa0}), PackedDelta: mustPack([]byte{0xa0})}),
	)
})

func mustPack(data []byte) []byte {
	packed, err := pack(data)
	if err != nil {
		panic(err)
	}
	return packed
}

// Guards against an instance that ends, or takes memory without bound, on a
// reply that is not the leader's.
func FuzzReply(f *testing.F) {
	var e encodings
	s := &azurestair.Snapshot{Term: 1, Revision: 1, Config: &azurestair.Config{}}
	for _, r := range []azurestair.ReportReply{
		{Term: 1, ControlTTLMs: 3000}, {Term: 1, Snapshot: s}, {Term: 1, Delta: &azurestair.Delta{Term: 1, Base: 1, Revision: 2}},
	} {
		shared, err := e.reply(r, azurestair.ProtocolCurrent)
		if err != nil {
			f.Fatal(err)
		}
		data, err := Codec{}.Marshal(&shared)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	packed := encodedReply{PackedDelta: mustPack([]byte{0xa0})}
	data, err := Codec{}.Marshal(&packed)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		var r encodedReply
		if (Codec{}).Unmarshal(data, &r) != nil {
			return
		}
		opened, err := r.open()
		if err == nil && opened.Validate() != nil {
			t.Fatal("an update that does not check was taken over")
		}
	})
}
