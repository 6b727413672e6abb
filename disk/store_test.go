package disk

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
)

func TestDisk(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "data folder")
}

const (
	testInstance     azurestair.InstanceID = "i1"
	testSegmentBytes azurestair.Bytes      = 400
)

var testMembership = azurestair.Membership{Voters: []azurestair.InstanceID{"i1", "i2", "i3"}}

func makeEntries(first azurestair.Index, term azurestair.Term, n int) []azurestair.LogEntry {
	var list []azurestair.LogEntry
	for i := range n {
		index := first + azurestair.Index(i)
		list = append(list, azurestair.LogEntry{Index: index, Term: term, Data: []byte(fmt.Sprint("data ", index, term))})
	}
	return list
}

// workload makes random calls to a store and tracks the state that the log must
// hold.
type workload struct {
	rng *rand.Rand
	// acknowledged is the state after the last call that succeeded, and pending
	// is the state after the call in progress.
	acknowledged, pending azurestair.LogState
}

func (w *workload) step(s *Store) error {
	err := w.next(s)()
	if err == nil {
		w.acknowledged = w.pending
	}
	return err
}

// next returns the next call, which can be repeated.
func (w *workload) next(s *Store) func() error {
	if w.rng.IntN(6) == 0 {
		return w.snapshot(s)
	}
	return w.append(s)
}

func (w *workload) append(s *Store) func() error {
	hard := w.acknowledged.HardState
	hard.Term += azurestair.Term(1 + w.rng.IntN(2))
	hard.Vote = testInstance
	// Sometimes replaces the last entries, as a new leader does.
	keep := len(w.acknowledged.Entries)
	if w.rng.IntN(4) == 0 {
		keep = w.rng.IntN(keep + 1)
	}
	first := w.acknowledged.Snapshot.Index + azurestair.Index(keep) + 1
	added := makeEntries(first, hard.Term, w.rng.IntN(4))
	hard.Commit = w.acknowledged.Snapshot.Index
	w.pending = w.acknowledged
	w.pending.HardState = hard
	if len(added) > 0 {
		w.pending.Entries = slices.Concat(w.acknowledged.Entries[:keep], added)
	}
	return func() error { return s.Append(hard, added) }
}

// snapshot saves a snapshot within the log, past its end, or with the term of
// another leader's entry.
func (w *workload) snapshot(s *Store) func() error {
	w.pending = w.acknowledged
	meta := azurestair.SnapshotMeta{Index: s.lastIndex() + 2, Term: w.acknowledged.HardState.Term + 1, Membership: testMembership}
	w.pending.Entries = nil
	if n := len(w.acknowledged.Entries); n > 0 && w.rng.IntN(3) > 0 {
		at := w.rng.IntN(n)
		meta.Index = w.acknowledged.Entries[at].Index
		if w.rng.IntN(3) > 0 {
			meta.Term = w.acknowledged.Entries[at].Term
			w.pending.Entries = w.acknowledged.Entries[at+1:]
		}
	}
	w.pending.Snapshot = meta
	w.pending.SnapshotData = []byte(fmt.Sprint("state at ", meta.Index))
	w.pending.HardState.Commit = meta.Index
	data := w.pending.SnapshotData
	return func() error { return s.SaveSnapshot(meta, data) }
}

func (w *workload) run(fs fileSystem, steps int) (*Store, error) {
	if err := initStore(fs, testInstance); err != nil {
		return nil, err
	}
	s, _, err := open(fs, testInstance, testSegmentBytes)
	for range steps {
		if err == nil {
			err = w.step(s)
		}
	}
	return s, err
}

// expectOpen opens a store and expects one of the allowed states.
func expectOpen(fs fileSystem, allowed ...azurestair.LogState) (*Store, azurestair.LogState) {
	GinkgoHelper()
	s, state, err := open(fs, testInstance, testSegmentBytes)
	Expect(err).NotTo(HaveOccurred())
	normalize := func(s azurestair.LogState) azurestair.LogState {
		s.Entries = append([]azurestair.LogEntry(nil), s.Entries...)
		return s
	}
	for _, a := range allowed {
		if reflect.DeepEqual(normalize(a), normalize(state)) {
			return s, state
		}
	}
	Fail(fmt.Sprintf("opened %+v, want one of %+v", state, allowed))
	return nil, state
}

// expectRecovered opens a disk after a crash, with a second crash during
// recovery, and expects the acknowledged state or the one that was being
// written.
func expectRecovered(d *simDisk, w *workload) {
	GinkgoHelper()
	d.failAt, d.failAfter = 1+d.rng.IntN(8), true
	_, _, _ = open(d, testInstance, testSegmentBytes)
	d = d.crash()
	var s *Store
	s, w.acknowledged = expectOpen(d, w.acknowledged, w.pending)
	Expect(w.step(s)).To(Succeed())
	expectOpen(d.crash(), w.acknowledged)
}

// runWithFault runs the workload with a fault at a step and checks the
// recovery. It reports whether the step was reached.
func runWithFault(seed uint64, step int, failAfter, restart bool) bool {
	GinkgoHelper()
	By(fmt.Sprint("seed ", seed, " step ", step))
	d := newSimDisk(seed)
	d.failAt, d.failAfter = step, failAfter
	w := &workload{rng: rand.New(rand.NewPCG(seed, 4))}
	s, err := w.run(d, 30)
	if err == nil {
		return false
	}
	if s == nil {
		d = d.crash()
		if _, _, err := open(d, testInstance, testSegmentBytes); err != nil {
			Expect(err).To(MatchError(azurestair.ErrNoIdentity))
			Expect(initStore(d, testInstance)).To(Succeed())
		}
		expectRecovered(d, w)
		return true
	}
	before := d.steps
	Expect(s.Append(azurestair.HardState{Term: 99}, nil)).To(MatchError(err))
	Expect(s.SaveSnapshot(azurestair.SnapshotMeta{Index: 99, Term: 99, Membership: testMembership}, nil)).To(MatchError(err))
	Expect(d.steps).To(Equal(before), "a failed store must not access the disk again")
	d.failAt = 0
	if restart {
		// The log that is read after a restart of the process must survive a
		// later power loss, because the replica acts on it.
		_, w.acknowledged = expectOpen(d, w.acknowledged, w.pending)
		w.pending = w.acknowledged
	}
	expectRecovered(d.crash(), w)
	return true
}

var _ = Describe("faults", func() {
	// Guards against the loss of acknowledged votes and entries.
	DescribeTable("lose nothing that was acknowledged, whichever step fails",
		func(failAfter, restart bool) {
			for seed := range uint64(20) {
				step := 1
				for runWithFault(seed, step, failAfter, restart) {
					step++
				}
				Expect(step).To(BeNumerically(">", 60))
			}
		},
		Entry("crash", true, false),
		Entry("failed or short call", false, false),
		Entry("crash after a restart of the process", true, true),
		Entry("failed or short call, restart of the process, crash", false, true),
	)
})

// newStoreWithRecords returns a disk whose segment holds n records after its
// header, the open store, and the offsets at which the header and the records
// end.
func newStoreWithRecords(n int) (*simDisk, *Store, []int) {
	GinkgoHelper()
	d := newSimDisk(1)
	Expect(initStore(d, testInstance)).To(Succeed())
	s, _, err := open(d, testInstance, defaultSegmentBytes)
	Expect(err).NotTo(HaveOccurred())
	ends := []int{int(s.segmentSize)}
	for i := range n {
		Expect(s.Append(azurestair.HardState{Term: 1}, makeEntries(azurestair.Index(i+1), 1, 1))).To(Succeed())
		ends = append(ends, int(s.segmentSize))
	}
	return d, s, ends
}

func expectEntries(d *simDisk, n int) {
	GinkgoHelper()
	_, state, err := open(d, testInstance, defaultSegmentBytes)
	Expect(err).NotTo(HaveOccurred())
	Expect(state.Entries).To(HaveLen(n))
}

func expectCorrupt(d *simDisk, name string) {
	GinkgoHelper()
	_, _, err := open(d, testInstance, defaultSegmentBytes)
	Expect(err).To(MatchError(azurestair.ErrCorrupt))
	Expect(err.Error()).To(ContainSubstring(name + " at offset "))
}

// expectBitFlipsDetected flips a bit in each of the first n bytes of a file in
// turn.
func expectBitFlipsDetected(d *simDisk, name string, n int) {
	GinkgoHelper()
	data := d.names[name].data
	for i := range n {
		data[i] ^= 0x10
		expectCorrupt(d, name)
		data[i] ^= 0x10
	}
}

var _ = Describe("store", func() {
	name := segmentName(1)

	It("cuts a tail that is torn at any byte", func() {
		d, _, ends := newStoreWithRecords(4)
		whole := d.names[name].data
		for cut := ends[0]; cut <= len(whole); cut++ {
			d.names[name].data = slices.Clone(whole[:cut])
			n := len(slices.DeleteFunc(slices.Clone(ends), func(end int) bool { return end > cut })) - 1
			expectEntries(d, n)
			Expect(d.names[name].data).To(HaveLen(ends[n]))
		}
	})

	// Guards against silently dropping acknowledged records after an invalid
	// one.
	It("rejects a flipped bit before the last record", func() {
		d, _, ends := newStoreWithRecords(3)
		expectBitFlipsDetected(d, name, ends[2])
		expectEntries(d, 3)
	})

	// Guards against entry data that is taken for a record after a torn one.
	It("does not accept a frame inside a payload as a record", func() {
		d, s, ends := newStoreWithRecords(1)
		e := makeEntries(2, 1, 1)
		e[0].Data = slices.Concat(d.names[name].data, checksumSeed(0).appendFrame(nil, 0, []byte{1}))
		Expect(s.Append(azurestair.HardState{Term: 1}, e)).To(Succeed())
		d.names[name].data[ends[1]] ^= 1
		expectEntries(d, 1)
	})

	// Guards against a log that lacks entries which replaced older ones.
	It("rejects a missing segment", func() {
		d, s, _ := newStoreWithRecords(4)
		s.segmentBytes = 1
		for i, first := range []azurestair.Index{3, 5, 6} {
			hard := azurestair.HardState{Term: 2, Commit: azurestair.Index(i)}
			Expect(s.Append(hard, makeEntries(first, 2, 2))).To(Succeed())
		}
		delete(d.names, segmentName(2))
		expectCorrupt(d, segmentName(2))
		delete(d.names, segmentName(1))
		expectCorrupt(d, segmentName(3))
	})

	It("rejects a damaged or missing snapshot", func() {
		d, s, _ := newStoreWithRecords(1)
		meta := azurestair.SnapshotMeta{Index: 1, Term: 1, Membership: testMembership}
		Expect(s.SaveSnapshot(meta, []byte("state"))).To(Succeed())
		expectBitFlipsDetected(d, snapshotName, len(d.names[snapshotName].data))
		delete(d.names, snapshotName)
		expectCorrupt(d, snapshotName)
	})

	It("splits an append that is larger than a record", func() {
		d, s, _ := newStoreWithRecords(0)
		list := makeEntries(1, 1, 10)
		for i := range list {
			list[i].Data = make([]byte, azurestair.MaxEntryBytes)
		}
		Expect(s.Append(azurestair.HardState{Term: 1, Commit: 9}, list)).To(Succeed())
		expectEntries(d, 10)
	})
})

// TestSecondProcess is run by the lock test in a separate process and opens the
// test's data directory.
func TestSecondProcess(t *testing.T) {
	if dir := os.Getenv("AZURESTAIR_TEST_FOLDER"); dir != "" {
		_, _, err := Open(dir, testInstance)
		t.Fatal(err)
	}
}

var _ = Describe("data folder", func() {
	var dir string
	BeforeEach(func() { dir = filepath.Join(GinkgoT().TempDir(), "data") })
	expectOpenError := func(id azurestair.InstanceID, want error) {
		GinkgoHelper()
		_, _, err := Open(dir, id)
		Expect(err).To(MatchError(want))
	}

	It("excludes a second process and a second store", func() {
		Expect(Init(dir, testInstance)).To(Succeed())
		s, _, err := Open(dir, testInstance)
		Expect(err).NotTo(HaveOccurred())
		expectOpenError(testInstance, ErrLocked)
		cmd := exec.Command(os.Args[0], "-test.run=^TestSecondProcess$")
		cmd.Env = append(os.Environ(), "AZURESTAIR_TEST_FOLDER="+dir)
		out, err := cmd.CombinedOutput()
		Expect(err).To(HaveOccurred())
		Expect(string(out)).To(ContainSubstring(ErrLocked.Error()))
		Expect(s.Close()).To(Succeed())
		Expect(s.Append(azurestair.HardState{}, nil)).To(MatchError(azurestair.ErrClosed))
		s, _, err = Open(dir, testInstance)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Close()).To(Succeed())
	})

	// Guards against a vote by an instance that lost its disk or was given the
	// disk of another instance.
	It("requires the identity of the instance", func() {
		expectOpenError(testInstance, azurestair.ErrNoIdentity)
		Expect(Init(dir, testInstance)).To(Succeed())
		Expect(Init(dir, testInstance)).To(MatchError(azurestair.ErrConflict))
		expectOpenError("i2", azurestair.ErrNoIdentity)
		Expect(os.Remove(filepath.Join(dir, identityName))).To(Succeed())
		expectOpenError(testInstance, azurestair.ErrNoIdentity)
		Expect(Init(dir, testInstance)).To(MatchError(azurestair.ErrConflict))
	})

	// Guards against an error that an operator could mistake for damaged data
	// when the directory has a different format version.
	It("reports the stored and the supported format", func() {
		Expect(Init(dir, testInstance)).To(Succeed())
		Expect(os.WriteFile(filepath.Join(dir, formatName), []byte("azurestair data format 2\n"), fileMode)).To(Succeed())
		_, _, err := Open(dir, testInstance)
		Expect(err).To(MatchError(ContainSubstring(`has "azurestair data format 2"; this program reads "azurestair data format 1"; start the program that wrote`)))
	})

	DescribeTable("rejects malformed and oversized files",
		func(name, content string, size int64, want error) {
			Expect(Init(dir, testInstance)).To(Succeed())
			path := filepath.Join(dir, name)
			Expect(os.WriteFile(path, []byte(content), fileMode)).To(Succeed())
			Expect(os.Truncate(path, max(size, int64(len(content))))).To(Succeed())
			expectOpenError(testInstance, want)
		},
		Entry("newer format", formatName, "azurestair data format 2\n", int64(0), azurestair.ErrInvalid),
		Entry("oversized format", formatName, "", int64(1<<20), azurestair.ErrTooLarge),
		Entry("empty identity", identityName, "", int64(0), azurestair.ErrCorrupt),
		Entry("empty segment", segmentName(1), "", int64(0), azurestair.ErrCorrupt),
		Entry("segment of zeros", segmentName(1), "", int64(1<<20), azurestair.ErrCorrupt),
		Entry("oversized segment", segmentName(1), "", int64(maxSegmentBytes+1), azurestair.ErrTooLarge),
		Entry("oversized snapshot", snapshotName, "", int64(maxSnapshotBytes+1), azurestair.ErrTooLarge),
		Entry("garbage snapshot", snapshotName, "AzSt0000", int64(0), azurestair.ErrCorrupt),
	)
})
