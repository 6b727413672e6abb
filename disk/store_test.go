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
	me          azurestair.InstanceID = "i1"
	smallFolder azurestair.Bytes      = 400
)

var members = azurestair.Membership{Voters: []azurestair.InstanceID{"i1", "i2", "i3"}}

func entriesFrom(first azurestair.Index, term azurestair.Term, n int) []azurestair.LogEntry {
	var list []azurestair.LogEntry
	for i := range n {
		index := first + azurestair.Index(i)
		list = append(list, azurestair.LogEntry{Index: index, Term: term, Data: []byte(fmt.Sprint("data ", index, term))})
	}
	return list
}

// workload calls a store at random and follows what the log must hold.
type workload struct {
	rng *rand.Rand
	// acked is the state after the last call that succeeded, next the one
	// after the call in progress.
	acked, next azurestair.LogState
}

func (w *workload) step(s *Store) error {
	call := w.append
	if w.rng.IntN(6) == 0 {
		call = w.snapshot
	}
	err := call(s)
	if err == nil {
		w.acked = w.next
	}
	return err
}

func (w *workload) append(s *Store) error {
	hard := w.acked.Hard
	hard.Term += azurestair.Term(1 + w.rng.IntN(2))
	hard.Vote = me
	// A new leader replaces a part of the entries now and then.
	keep := len(w.acked.Entries)
	if w.rng.IntN(4) == 0 {
		keep = w.rng.IntN(keep + 1)
	}
	first := w.acked.Snapshot.Index + azurestair.Index(keep) + 1
	added := entriesFrom(first, hard.Term, w.rng.IntN(4))
	hard.Commit = w.acked.Snapshot.Index
	w.next = w.acked
	w.next.Hard = hard
	if len(added) > 0 {
		w.next.Entries = slices.Concat(w.acked.Entries[:keep], added)
	}
	return s.Append(hard, added)
}

// snapshot stores one inside the log, beyond it, or of another leader's entry.
func (w *workload) snapshot(s *Store) error {
	w.next = w.acked
	meta := azurestair.SnapshotMeta{Index: s.lastIndex() + 2, Term: w.acked.Hard.Term + 1, Membership: members}
	w.next.Entries = nil
	if n := len(w.acked.Entries); n > 0 && w.rng.IntN(3) > 0 {
		at := w.rng.IntN(n)
		meta.Index = w.acked.Entries[at].Index
		if w.rng.IntN(3) > 0 {
			meta.Term = w.acked.Entries[at].Term
			w.next.Entries = w.acked.Entries[at+1:]
		}
	}
	w.next.Snapshot = meta
	w.next.SnapshotData = []byte(fmt.Sprint("state at ", meta.Index))
	w.next.Hard.Commit = meta.Index
	return s.SaveSnapshot(meta, w.next.SnapshotData)
}

func (w *workload) run(fs files, steps int) (*Store, error) {
	if err := initialise(fs, me); err != nil {
		return nil, err
	}
	s, _, err := open(fs, me, smallFolder)
	for range steps {
		if err == nil {
			err = w.step(s)
		}
	}
	return s, err
}

// expectOpen opens a folder and expects one of the states.
func expectOpen(fs files, allowed ...azurestair.LogState) (*Store, azurestair.LogState) {
	GinkgoHelper()
	s, state, err := open(fs, me, smallFolder)
	Expect(err).NotTo(HaveOccurred())
	plain := func(s azurestair.LogState) azurestair.LogState {
		s.Entries = append([]azurestair.LogEntry(nil), s.Entries...)
		return s
	}
	for _, a := range allowed {
		if reflect.DeepEqual(plain(a), plain(state)) {
			return s, state
		}
	}
	Fail(fmt.Sprintf("opened %+v, allowed are %+v", state, allowed))
	return nil, state
}

// expectRecovered opens what a crash left, once with a second crash on the way,
// and expects the acknowledged state or the one that was being written.
func expectRecovered(left *simDisk, w *workload) {
	GinkgoHelper()
	left.failAt, left.halt = 1+left.rng.IntN(8), true
	_, _, _ = open(left, me, smallFolder)
	left = left.crash()
	var s *Store
	s, w.acked = expectOpen(left, w.acked, w.next)
	Expect(w.step(s)).To(Succeed())
	expectOpen(left.crash(), w.acked)
}

// faultAt runs the workload with a fault at a step; it reports whether the step was reached.
func faultAt(seed uint64, step int, halt, restart bool) bool {
	GinkgoHelper()
	By(fmt.Sprint("seed ", seed, " step ", step))
	d := newSimDisk(seed)
	d.failAt, d.halt = step, halt
	w := &workload{rng: rand.New(rand.NewPCG(seed, 4))}
	s, err := w.run(d, 30)
	if err == nil {
		return false
	}
	if s == nil {
		d = d.crash()
		if _, _, err := open(d, me, smallFolder); err != nil {
			Expect(err).To(MatchError(azurestair.ErrNoIdentity))
			Expect(initialise(d, me)).To(Succeed())
		}
		expectRecovered(d, w)
		return true
	}
	before := d.steps
	Expect(s.Append(azurestair.HardState{Term: 99}, nil)).To(MatchError(err))
	Expect(s.SaveSnapshot(azurestair.SnapshotMeta{Index: 99, Term: 99, Membership: members}, nil)).To(MatchError(err))
	Expect(d.steps).To(Equal(before), "a store that failed must not touch the disk again")
	d.failAt = 0
	if restart {
		// What the log holds after a restart of the process must survive a later
		// loss of power, because the replica acts on it.
		_, w.acked = expectOpen(d, w.acked, w.next)
		w.next = w.acked
	}
	expectRecovered(d.crash(), w)
	return true
}

var _ = Describe("faults", func() {
	// Guards against votes and entries that are lost after they were acknowledged.
	DescribeTable("lose nothing that was acknowledged, at every step",
		func(halt, restart bool) {
			for seed := range uint64(20) {
				step := 1
				for faultAt(seed, step, halt, restart) {
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

// written returns a folder whose segment holds n records behind its header,
// its open store, and the offsets at which the header and the records end.
func written(n int) (*simDisk, *Store, []int) {
	GinkgoHelper()
	d := newSimDisk(1)
	Expect(initialise(d, me)).To(Succeed())
	s, _, err := open(d, me, defaultSegmentBytes)
	Expect(err).NotTo(HaveOccurred())
	ends := []int{int(s.size)}
	for i := range n {
		Expect(s.Append(azurestair.HardState{Term: 1}, entriesFrom(azurestair.Index(i+1), 1, 1))).To(Succeed())
		ends = append(ends, int(s.size))
	}
	return d, s, ends
}

func expectEntries(d *simDisk, n int) {
	GinkgoHelper()
	_, state, err := open(d, me, defaultSegmentBytes)
	Expect(err).NotTo(HaveOccurred())
	Expect(state.Entries).To(HaveLen(n))
}

func expectCorrupt(d *simDisk, name string) {
	GinkgoHelper()
	_, _, err := open(d, me, defaultSegmentBytes)
	Expect(err).To(MatchError(azurestair.ErrCorrupt))
	Expect(err.Error()).To(ContainSubstring(name + " at offset "))
}

// expectFlipsFound flips each of the first n bytes of a file in turn.
func expectFlipsFound(d *simDisk, name string, n int) {
	GinkgoHelper()
	data := d.names[name].data
	for i := range n {
		data[i] ^= 0x10
		expectCorrupt(d, name)
		data[i] ^= 0x10
	}
}

var _ = Describe("damaged files", func() {
	name := segmentName(1)

	It("cuts a tail that is torn at any byte", func() {
		d, _, ends := written(4)
		whole := d.names[name].data
		for cut := ends[0]; cut <= len(whole); cut++ {
			d.names[name].data = slices.Clone(whole[:cut])
			n := len(slices.DeleteFunc(slices.Clone(ends), func(end int) bool { return end > cut })) - 1
			expectEntries(d, n)
			Expect(d.names[name].data).To(HaveLen(ends[n]))
		}
	})

	// Guards against silently dropping acknowledged records behind a bad one.
	It("refuses a flipped byte before the last record", func() {
		d, _, ends := written(3)
		expectFlipsFound(d, name, ends[2])
		expectEntries(d, 3)
	})

	// Guards against caller data that passes for a record behind a torn one.
	It("does not take a frame inside a payload for a record", func() {
		d, s, ends := written(1)
		e := entriesFrom(2, 1, 1)
		e[0].Data = slices.Concat(d.names[name].data, seed(0).appendFrame(nil, 0, []byte{1}))
		Expect(s.Append(azurestair.HardState{Term: 1}, e)).To(Succeed())
		d.names[name].data[ends[1]] ^= 1
		expectEntries(d, 1)
	})

	// Guards against a log without the entries that replaced older ones.
	It("refuses a missing segment", func() {
		d, s, _ := written(4)
		s.segmentBytes = 1
		for i, first := range []azurestair.Index{3, 5, 6} {
			hard := azurestair.HardState{Term: 2, Commit: azurestair.Index(i)}
			Expect(s.Append(hard, entriesFrom(first, 2, 2))).To(Succeed())
		}
		delete(d.names, segmentName(2))
		expectCorrupt(d, segmentName(2))
		delete(d.names, segmentName(1))
		expectCorrupt(d, segmentName(3))
	})

	It("refuses a damaged or missing snapshot", func() {
		d, s, _ := written(1)
		meta := azurestair.SnapshotMeta{Index: 1, Term: 1, Membership: members}
		Expect(s.SaveSnapshot(meta, []byte("state"))).To(Succeed())
		expectFlipsFound(d, snapshotName, len(d.names[snapshotName].data))
		delete(d.names, snapshotName)
		expectCorrupt(d, snapshotName)
	})

	It("splits an append that is larger than a record", func() {
		d, s, _ := written(0)
		list := entriesFrom(1, 1, 10)
		for i := range list {
			list[i].Data = make([]byte, azurestair.MaxEntryBytes)
		}
		Expect(s.Append(azurestair.HardState{Term: 1, Commit: 9}, list)).To(Succeed())
		expectEntries(d, 10)
	})
})

// TestSecondProcess opens the folder that the lock test names, in a process of its own.
func TestSecondProcess(t *testing.T) {
	if dir := os.Getenv("AZURESTAIR_TEST_FOLDER"); dir != "" {
		_, _, err := Open(dir, me)
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
		Expect(Init(dir, me)).To(Succeed())
		s, _, err := Open(dir, me)
		Expect(err).NotTo(HaveOccurred())
		expectOpenError(me, ErrLocked)
		cmd := exec.Command(os.Args[0], "-test.run=^TestSecondProcess$")
		cmd.Env = append(os.Environ(), "AZURESTAIR_TEST_FOLDER="+dir)
		out, err := cmd.CombinedOutput()
		Expect(err).To(HaveOccurred())
		Expect(string(out)).To(ContainSubstring(ErrLocked.Error()))
		Expect(s.Close()).To(Succeed())
		Expect(s.Append(azurestair.HardState{}, nil)).To(MatchError(azurestair.ErrClosed))
		s, _, err = Open(dir, me)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Close()).To(Succeed())
	})

	// Guards against a vote by an instance that has lost its disk or got another's.
	It("needs the identity of the instance", func() {
		expectOpenError(me, azurestair.ErrNoIdentity)
		Expect(Init(dir, me)).To(Succeed())
		Expect(Init(dir, me)).To(MatchError(azurestair.ErrConflict))
		expectOpenError("i2", azurestair.ErrNoIdentity)
		Expect(os.Remove(filepath.Join(dir, identityName))).To(Succeed())
		expectOpenError(me, azurestair.ErrNoIdentity)
		Expect(Init(dir, me)).To(MatchError(azurestair.ErrConflict))
	})

	// Guards against an operator who takes another format for damage.
	It("names the format that it has and the one that is read", func() {
		Expect(Init(dir, me)).To(Succeed())
		Expect(os.WriteFile(filepath.Join(dir, formatName), []byte("azurestair data format 2\n"), fileMode)).To(Succeed())
		_, _, err := Open(dir, me)
		Expect(err).To(MatchError(ContainSubstring(`has "azurestair data format 2"; this program reads "azurestair data format 1"; start the program that wrote`)))
	})

	DescribeTable("refuses malformed and oversized files",
		func(name, content string, size int64, want error) {
			Expect(Init(dir, me)).To(Succeed())
			path := filepath.Join(dir, name)
			Expect(os.WriteFile(path, []byte(content), fileMode)).To(Succeed())
			Expect(os.Truncate(path, max(size, int64(len(content))))).To(Succeed())
			expectOpenError(me, want)
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
