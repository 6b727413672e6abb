package disk

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

// runOnFullDisk runs the workload on a disk that is full from a step on for a
// number of operations, and repeats the calls that fail. After each failed call
// and at the end, a power loss must leave what was acknowledged. It reports
// whether the first full step was reached.
func runOnFullDisk(seed uint64, step, operations int) bool {
	GinkgoHelper()
	By(fmt.Sprint("seed ", seed, " step ", step))
	d := newSimDisk(seed)
	w := &workload{rng: rand.New(rand.NewPCG(seed, 4))}
	Expect(initStore(d, testInstance)).To(Succeed())
	s, _, err := open(d, testInstance, testSegmentBytes)
	Expect(err).NotTo(HaveOccurred())
	d.fullFrom, d.fullUntil = d.steps+step, d.steps+step+operations
	for range 30 {
		call := w.next(s)
		for err = call(); errors.Is(err, azurestair.ErrNoSpace); err = call() {
			expectOpen(d.crash(), w.acknowledged, w.pending)
		}
		Expect(err).NotTo(HaveOccurred())
		w.acknowledged = w.pending
	}
	expectOpen(d.crash(), w.acknowledged)
	expectOpen(d, w.acknowledged)
	return d.steps >= d.fullFrom+operations
}

var _ = Describe("a full disk", func() {
	// Guards against a control instance that ends, again and again, while the
	// disk takes no data, and against the loss of what it acknowledged before.
	DescribeTable("is no reason to stop, whichever step fails first",
		func(operations int) {
			for seed := range uint64(10) {
				step := 1
				for runOnFullDisk(seed, step, operations) {
					step++
				}
				Expect(step).To(BeNumerically(">", 60))
			}
		},
		Entry("for one operation", 1), Entry("for a few", 3), Entry("for long", 50),
	)

	// Guards against an instance that does not start, or that acts on records
	// which the disk may not hold.
	It("is no reason not to start, but the log must be repaired before it counts", func() {
		for seed := range uint64(10) {
			d := newSimDisk(seed)
			w := &workload{rng: rand.New(rand.NewPCG(seed, 4))}
			_, err := w.run(d, 20)
			Expect(err).NotTo(HaveOccurred())
			d.fullFrom, d.fullUntil = d.steps+1, d.steps+1000
			s, _ := expectOpen(d, w.acknowledged)
			Expect(s.NeedsRepair()).To(BeTrue())
			Expect(s.Repair()).To(MatchError(azurestair.ErrNoSpace))
			d.fullUntil = 0
			Expect(s.Repair()).To(Succeed())
			Expect(s.NeedsRepair()).To(BeFalse())
			expectOpen(d.crash(), w.acknowledged)
		}
	})

	It("leaves other failures fatal", func() {
		d := newSimDisk(1)
		w := &workload{rng: rand.New(rand.NewPCG(1, 4))}
		s, err := w.run(d, 5)
		Expect(err).NotTo(HaveOccurred())
		d.failAt, d.failAfter = d.steps+2, true
		for err == nil {
			err = w.step(s)
		}
		Expect(err).NotTo(MatchError(azurestair.ErrNoSpace))
		Expect(s.Repair()).To(MatchError(err))
	})
})

var _ = It("removing names needs no space", func() {
	d := newSimDisk(1)
	Expect(initStore(d, testInstance)).To(Succeed())
	d.names["left"+tempSuffix] = &inode{disk: d}
	s, _, err := open(d, testInstance, testSegmentBytes)
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Close()).To(Succeed())
	_, err = d.read("left"+tempSuffix, 1)
	Expect(err).To(MatchError(os.ErrNotExist))
})
