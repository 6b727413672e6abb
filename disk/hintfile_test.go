package disk

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

var _ = Describe("a hint file", func() {
	before, after := []byte("before"), []byte("after, which is longer")

	It("returns what was stored last, and nothing before", func() {
		f := HintFile{Dir: GinkgoT().TempDir(), Name: ContactsFile}
		Expect(f.Load()).To(BeNil())
		Expect(f.Save(before)).To(Succeed())
		Expect(f.Save(after)).To(Succeed())
		Expect(f.Load()).To(Equal(after))
	})

	// Guards against a file that is torn, and against one that a full disk
	// destroys.
	It("holds the old or the new content whichever step fails, also after a power loss", func() {
		for failAt := 1; ; failAt++ {
			d := newSimDisk(uint64(failAt))
			f := HintFile{fileSystem: d, Name: SnapshotFile}
			Expect(f.Save(before)).To(Succeed())
			d.failAt = d.steps + failAt
			err := f.Save(after)
			Expect(f.Load()).To(Or(Equal(before), Equal(after)))
			crashed := HintFile{fileSystem: d.crash(), Name: SnapshotFile}
			Expect(crashed.Load()).To(Or(Equal(before), Equal(after)))
			if d.steps < d.failAt {
				Expect(err).NotTo(HaveOccurred())
				break
			}
		}
	})

	DescribeTable("is reported when it is not readable", func(change func(data []byte) []byte) {
		d := newSimDisk(1)
		f := HintFile{fileSystem: d, Name: ContactsFile}
		Expect(f.Save(before)).To(Succeed())
		d.names[ContactsFile].data = change(d.names[ContactsFile].data)
		_, err := f.Load()
		Expect(err).To(MatchError(azurestair.ErrCorrupt))
	},
		Entry("cut", func(data []byte) []byte { return data[:len(data)-1] }),
		Entry("empty", func([]byte) []byte { return nil }),
		Entry("flipped", func(data []byte) []byte { data[len(data)-3] ^= 1; return data }),
	)
})
