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
	var cache replyCache
	BeforeEach(func() { cache = replyCache{} })

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
	// roundTrip returns the reply as decoded by the receiver, and its encoded
	// size.
	roundTrip := func(r azurestair.ReportReply, version azurestair.ProtocolVersion) (azurestair.ReportReply, int) {
		GinkgoHelper()
		encoded, err := cache.encodeReply(r, version)
		Expect(err).NotTo(HaveOccurred())
		data, err := Codec{}.Marshal(&encoded)
		Expect(err).NotTo(HaveOccurred())
		var got encodedReply
		Expect(Codec{}.Unmarshal(data, &got)).To(Succeed())
		decoded, err := got.decode()
		Expect(err).NotTo(HaveOccurred())
		return decoded, len(data)
	}
	// expectSame checks that a reply decodes to the same value as without the
	// cache.
	expectSame := func(r azurestair.ReportReply) {
		GinkgoHelper()
		plain, err := Codec{}.Marshal(&r)
		Expect(err).NotTo(HaveOccurred())
		var want azurestair.ReportReply
		Expect(Codec{}.Unmarshal(plain, &want)).To(Succeed())
		for _, v := range []azurestair.ProtocolVersion{azurestair.ProtocolOldest, azurestair.ProtocolCurrent} {
			got, _ := roundTrip(r, v)
			Expect(got).To(Equal(want))
		}
	}

	It("decode to the same value when they share an encoding", func() {
		s, d := snapshot(3, 100), &azurestair.SnapshotDelta{Term: 1, Base: 2, Revision: 3, RemovedUpstreams: []azurestair.UpstreamID{"w1"}}
		grants := []azurestair.Grant{{Resource: azurestair.Resource{Kind: azurestair.ResourceSlots, Service: "shop", Region: "huye"}, Amount: 4}}
		for range 2 {
			expectSame(azurestair.ReportReply{Term: 1, ControlTTLMs: 3000})
			expectSame(azurestair.ReportReply{Term: 1, ControlTTLMs: 3000, Grants: grants, Snapshot: s})
			expectSame(azurestair.ReportReply{Term: 1, Delta: d, Unknown: []azurestair.UpstreamID{"w2"}})
			expectSame(azurestair.ReportReply{Term: 1, Delta: &azurestair.SnapshotDelta{Term: 1, Base: 1, Revision: 3, Upstreams: s.Upstreams}})
		}
	})

	It("do not share across revisions", func() {
		for rev := range azurestair.Revision(3) {
			expectSame(azurestair.ReportReply{Term: 1, Snapshot: snapshot(rev+1, 1)})
			expectSame(azurestair.ReportReply{Term: 1, Delta: &azurestair.SnapshotDelta{Term: 1, Base: rev, Revision: rev + 1}})
		}
		Expect(cache.deltaForms).To(HaveLen(1))
	})

	// Guards against snapshots that saturate a new leader's link for longer
	// than its lease, so that one election follows another.
	It("take less than an eighth of the bytes for receivers that decompress", func() {
		r := azurestair.ReportReply{Term: 1, Snapshot: snapshot(1, 3000)}
		_, plain := roundTrip(r, azurestair.ProtocolRouted)
		_, compressed := roundTrip(r, azurestair.ProtocolCompressed)
		Expect(8 * compressed).To(BeNumerically("<", plain))
	})

	// Guards against a leader that spends seconds encoding the same snapshot
	// for each of hundreds of instances.
	It("encode a snapshot once", func() {
		r := azurestair.ReportReply{Snapshot: snapshot(1, 100)}
		first, err := cache.encodeReply(r, azurestair.ProtocolCurrent)
		Expect(err).NotTo(HaveOccurred())
		second, err := cache.encodeReply(r, azurestair.ProtocolCurrent)
		Expect(err).NotTo(HaveOccurred())
		Expect(&second.CompressedSnapshot[0]).To(BeIdenticalTo(&first.CompressedSnapshot[0]))
	})

	// Guards against a leader that runs out of memory after a change of a large
	// configuration, because instances hold many revisions.
	It("keep a bounded size of encoded deltas", func() {
		cfg := &azurestair.Config{Document: bytes.Repeat([]byte("d"), 500_000)}
		for base := range azurestair.Revision(100) {
			r := azurestair.ReportReply{Delta: &azurestair.SnapshotDelta{Term: 1, Base: base, Revision: 100, Config: cfg}}
			_, err := cache.encodeReply(r, azurestair.ProtocolCurrent)
			Expect(err).NotTo(HaveOccurred())
			held := azurestair.Bytes(0)
			for _, f := range cache.deltaForms {
				held += f.size()
			}
			Expect(held).To(And(Equal(cache.deltaBytes), BeNumerically("<=", maxDeltaBytes)))
		}
		Expect(cache.deltaForms).NotTo(BeEmpty())
	})

	DescribeTable("are rejected when their update cannot be decoded",
		func(r encodedReply) {
			_, err := r.decode()
			Expect(err).To(MatchError(azurestair.ErrInvalid))
		},
		Entry("no CBOR", encodedReply{Snapshot: []byte{0xff}}),
		Entry("not compressed", encodedReply{CompressedDelta: []byte("not packed")}),
		Entry("compressed, no CBOR", encodedReply{CompressedSnapshot: mustCompress([]byte{0xff})}),
		Entry("compressed and too large", encodedReply{CompressedSnapshot: mustCompress(bytes.Repeat([]byte{0}, MaxMessageBytes+1))}),
		Entry("snapshot and delta", encodedReply{CompressedSnapshot: mustCompress([]byte{0xa0}), CompressedDelta: mustCompress([]byte{0xa0})}),
	)
})

func mustCompress(data []byte) []byte {
	compressed, err := compress(data)
	if err != nil {
		panic(err)
	}
	return compressed
}

// FuzzReply guards against a crash or unbounded memory use of an instance that
// receives a malformed reply.
func FuzzReply(f *testing.F) {
	var cache replyCache
	s := &azurestair.Snapshot{Term: 1, Revision: 1, Config: &azurestair.Config{}}
	for _, r := range []azurestair.ReportReply{
		{Term: 1, ControlTTLMs: 3000}, {Term: 1, Snapshot: s}, {Term: 1, Delta: &azurestair.SnapshotDelta{Term: 1, Base: 1, Revision: 2}},
	} {
		encoded, err := cache.encodeReply(r, azurestair.ProtocolCurrent)
		if err != nil {
			f.Fatal(err)
		}
		data, err := Codec{}.Marshal(&encoded)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	compressed := encodedReply{CompressedDelta: mustCompress([]byte{0xa0})}
	data, err := Codec{}.Marshal(&compressed)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		var r encodedReply
		if (Codec{}).Unmarshal(data, &r) != nil {
			return
		}
		decoded, err := r.decode()
		if err == nil && decoded.Validate() != nil {
			t.Fatal("an invalid update was accepted")
		}
	})
}
