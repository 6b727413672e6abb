package disk

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

func FuzzRecord(f *testing.F) {
	where := seedOf(storeID{1}, 7)
	for _, r := range []record{
		{},
		{Segment: &segmentHeader{Number: 7, Restart: true, BaseIndex: 3, BaseTerm: 1}},
		{Hard: azurestair.HardState{Term: 2, Vote: me, Commit: 1}, Entries: entriesFrom(4, 2, 3)},
		{Entries: []azurestair.LogEntry{{Index: 1, Term: 1, Kind: azurestair.EntryMembership, Membership: &members}}},
	} {
		payload, _ := cbor.Marshal(r)
		f.Add(payload)
		f.Add(where.appendFrame(nil, 0, payload))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _, _ = decodeSegment(data, where, 7, true)
		_, _, _ = decodeSegment(where.appendFrame(nil, 0, data), where, 7, false)
		r, err := decodeRecord(data)
		if err != nil {
			return
		}
		again, err := cbor.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		second, err := decodeRecord(again)
		if err != nil {
			t.Fatalf("a valid record does not decode again: %v", err)
		}
		if third, _ := cbor.Marshal(second); string(third) != string(again) {
			t.Fatalf("a record changed over encoding: %x became %x", again, third)
		}
	})
}

func benchStore(b *testing.B) (*Store, string) {
	dir := b.TempDir()
	if err := Init(dir, me); err != nil {
		b.Fatal(err)
	}
	s, _, err := Open(dir, me)
	if err != nil {
		b.Fatal(err)
	}
	return s, dir
}

func BenchmarkAppend(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprint("entries=", batch), func(b *testing.B) {
			s, _ := benchStore(b)
			list := entriesFrom(1, 1, batch)
			for i := range list {
				list[i].Data = make([]byte, 300)
			}
			hard := azurestair.HardState{Term: 1}
			for b.Loop() {
				if err := s.Append(hard, list); err != nil {
					b.Fatal(err)
				}
				for i := range list {
					list[i].Index += azurestair.Index(batch)
				}
			}
			b.ReportMetric(float64(b.N*batch)/b.Elapsed().Seconds(), "entries/s")
			_ = s.Close()
		})
	}
}

// BenchmarkSaveSnapshot stores a snapshot as large as that of a full ledger.
func BenchmarkSaveSnapshot(b *testing.B) {
	s, _ := benchStore(b)
	data := make([]byte, 40<<20)
	meta := azurestair.SnapshotMeta{Term: 1, Membership: members}
	for b.Loop() {
		meta.Index++
		if err := s.SaveSnapshot(meta, data); err != nil {
			b.Fatal(err)
		}
	}
	_ = s.Close()
}

// configOf returns a change like that of a real fleet: 3 services, 3 regions, 6 domains.
func configOf(n int) azurestair.Command {
	c := azurestair.Config{Defaults: azurestair.Defaults{QueueLimit: n + 1}}
	for i := range 3 {
		name := fmt.Sprint("service-", i)
		c.Services = append(c.Services, azurestair.Service{Name: azurestair.ServiceName(name), Operations: []azurestair.Operation{
			{Name: "read", Rank: azurestair.RankInteractive, Idempotent: true, TimeoutMs: 2000},
			{Name: "order", TimeoutMs: 30_000},
		}})
		domains := []azurestair.FailureDomainName{azurestair.FailureDomainName(name + "a"), azurestair.FailureDomainName(name + "b")}
		c.Regions = append(c.Regions, azurestair.Region{Name: azurestair.RegionName(fmt.Sprint("region-", i)), FailureDomains: domains})
	}
	change := azurestair.Change{ID: azurestair.ChangeID(fmt.Sprint("c", n)), Operator: "ada", Reason: "capacity change"}
	return azurestair.Command{At: 1, Config: &azurestair.ConfigChange{Change: change, BaseVersion: azurestair.ConfigVersion(n), Config: c}}
}

// BenchmarkRecovery opens a log of 500 configuration changes and applies it.
func BenchmarkRecovery(b *testing.B) {
	s, dir := benchStore(b)
	for n := range 500 {
		data, _ := cbor.Marshal(configOf(n))
		e := []azurestair.LogEntry{{Index: azurestair.Index(n + 1), Term: 1, Data: data}}
		if err := s.Append(azurestair.HardState{Term: 1, Commit: azurestair.Index(n)}, e); err != nil {
			b.Fatal(err)
		}
	}
	_ = s.Close()
	for b.Loop() {
		s, log, err := Open(dir, me)
		if err != nil {
			b.Fatal(err)
		}
		var state control.State
		for _, e := range log.Entries {
			var c azurestair.Command
			_ = cbor.Unmarshal(e.Data, &c)
			state.Apply(e.Index, c)
		}
		if v := state.Config().Version; v != 500 {
			b.Fatalf("recovered version %d", v)
		}
		_ = s.Close()
	}
}
