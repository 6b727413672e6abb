package disk

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// FuzzRecord guards against a panic on damaged files and against a record that
// changes when it is decoded and encoded again.
func FuzzRecord(f *testing.F) {
	seed := seedForFile(storeID{1}, 7)
	membership := azurestair.LogEntry{Index: 1, Term: 1, Kind: azurestair.EntryMembership, Membership: &testMembership}
	for _, r := range []record{
		{Segment: &segmentHeader{Number: 7, LogStart: true, BaseIndex: 3, BaseTerm: 1}},
		{Hard: azurestair.HardState{Term: 2, Vote: testInstance, Commit: 1}, Entries: makeEntries(4, 2, 3)},
		{Entries: []azurestair.LogEntry{membership}},
	} {
		payload := must(cbor.Marshal(r))
		f.Add(payload)
		f.Add(seed.appendFrame(nil, 0, payload))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _, _ = decodeSegment(data, seed, 7, true)
		_, _, _ = decodeSegment(seed.appendFrame(nil, 0, data), seed, 7, false)
		r, err := decodeRecord(data)
		if err != nil {
			return
		}
		encoded := must(cbor.Marshal(r))
		if again := must(cbor.Marshal(must(decodeRecord(encoded)))); !bytes.Equal(encoded, again) {
			t.Fatalf("%x became %x", encoded, again)
		}
	})
}

func benchStore(b *testing.B) (*Store, string) {
	dir := b.TempDir()
	must(0, Init(dir, testInstance))
	s, _, err := Open(dir, testInstance)
	return must(s, err), dir
}

func BenchmarkAppend(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprint("entries=", batch), func(b *testing.B) {
			s, _ := benchStore(b)
			list := makeEntries(1, 1, batch)
			for b.Loop() {
				for i := range list {
					list[i].Index = s.lastIndex() + azurestair.Index(i) + 1
					list[i].Data = make([]byte, 300)
				}
				must(0, s.Append(azurestair.HardState{Term: 1}, list))
			}
			b.ReportMetric(float64(b.N*batch)/b.Elapsed().Seconds(), "entries/s")
			must(0, s.Close())
		})
	}
}

// BenchmarkSaveSnapshot stores a snapshot as large as that of a full ledger.
func BenchmarkSaveSnapshot(b *testing.B) {
	s, _ := benchStore(b)
	data := make([]byte, 40<<20)
	for b.Loop() {
		meta := azurestair.SnapshotMeta{Index: s.lastIndex() + 1, Term: 1, Membership: testMembership}
		must(0, s.SaveSnapshot(meta, data))
	}
	must(0, s.Close())
}

// BenchmarkRecovery opens a log of 500 configuration changes of 1.5 KB each and
// applies them.
func BenchmarkRecovery(b *testing.B) {
	s, dir := benchStore(b)
	target := azurestair.Target{Kind: azurestair.TargetUpstream, Name: "u1"}
	exception := azurestair.Exception{Target: target, Setting: azurestair.SettingSlots, Reason: "capacity of one worker"}
	config := azurestair.Config{Exceptions: slices.Repeat([]azurestair.Exception{exception}, 15)}
	for n := range 500 {
		change := azurestair.Change{ID: azurestair.ChangeID(fmt.Sprint("c", n)), Operator: "ada", Reason: "capacity"}
		c := azurestair.ConfigChange{Change: change, BaseVersion: azurestair.ConfigVersion(n), Config: config}
		e := azurestair.LogEntry{Index: azurestair.Index(n + 1), Term: 1, Data: must(cbor.Marshal(azurestair.Command{Config: &c}))}
		must(0, s.Append(azurestair.HardState{Term: 1}, []azurestair.LogEntry{e}))
	}
	must(0, s.Close())
	for b.Loop() {
		s, log, err := Open(dir, testInstance)
		must(0, err)
		var state control.State
		for _, e := range log.Entries {
			var c azurestair.Command
			must(0, cbor.Unmarshal(e.Data, &c))
			state.Apply(e.Index, c)
		}
		if v := state.Config().Version; v != 500 {
			b.Fatalf("recovered version %d", v)
		}
		must(0, s.Close())
	}
}
