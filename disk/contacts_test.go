package disk

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

var _ = Describe("the contact file", func() {
	before := azurestair.ContactList{Fleet: "f1", Contacts: []azurestair.Contact{{ID: "c1", Addr: "10.0.0.1:1", Control: true}}}
	after := azurestair.ContactList{Fleet: "f1", Contacts: []azurestair.Contact{{ID: "c2", Addr: "10.0.0.2:1"}, {ID: "c1", Addr: "10.0.0.3:1"}}}

	It("returns what was stored last, and nothing before", func() {
		f := ContactFile{Dir: GinkgoT().TempDir()}
		Expect(f.Load()).To(Equal(azurestair.ContactList{}))
		Expect(f.Save(before)).To(Succeed())
		Expect(f.Save(after)).To(Succeed())
		Expect(f.Load()).To(Equal(after))
	})

	// Guards against a list that is torn, and against one that a full disk
	// destroys.
	It("holds the old or the new list whichever step fails, also after a power loss", func() {
		for failAt := 1; ; failAt++ {
			d := newSimDisk(uint64(failAt))
			f := ContactFile{fileSystem: d}
			Expect(f.Save(before)).To(Succeed())
			d.failAt = d.steps + failAt
			err := f.Save(after)
			Expect(f.Load()).To(Or(Equal(before), Equal(after)))
			crashed := ContactFile{fileSystem: d.crash()}
			Expect(crashed.Load()).To(Or(Equal(before), Equal(after)))
			if d.steps < d.failAt {
				Expect(err).NotTo(HaveOccurred())
				break
			}
		}
	})

	DescribeTable("is reported when it is not readable", func(change func(data []byte) []byte) {
		d := newSimDisk(1)
		f := ContactFile{fileSystem: d}
		Expect(f.Save(before)).To(Succeed())
		d.names[contactsName].data = change(d.names[contactsName].data)
		_, err := f.Load()
		Expect(err).To(MatchError(azurestair.ErrCorrupt))
	},
		Entry("cut", func(data []byte) []byte { return data[:len(data)-1] }),
		Entry("empty", func([]byte) []byte { return nil }),
		Entry("flipped", func(data []byte) []byte { data[len(data)-3] ^= 1; return data }),
		Entry("another type", func([]byte) []byte { return checksumSeed(0).appendFrame(nil, 0, []byte{0x81, 0x01}) }),
	)
})
