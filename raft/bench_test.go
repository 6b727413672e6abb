package raft

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"azurestair.example/azurestair"
)

// pump runs replicas without delay, storing at once, until none has work left.
func pump(nodes []*Node, now time.Time) {
	for busy := true; busy; {
		busy = false
		for _, n := range nodes {
			rd, ok := n.Ready()
			if !ok {
				continue
			}
			busy = true
			if rd.Seq > 0 {
				n.Stored(rd.Seq)
			}
			route(nodes, rd.Messages, now)
			route(nodes, rd.AfterStore, now)
		}
	}
}

func route(nodes []*Node, ms []azurestair.RaftMessage, now time.Time) {
	for _, m := range ms {
		for _, n := range nodes {
			if n.opts.ID == m.To {
				n.Step(m, now)
			}
		}
	}
}

func benchCluster(b *testing.B, voters ...azurestair.InstanceID) (nodes []*Node, leader *Node, now time.Time) {
	b.Helper()
	for _, id := range voters {
		n, err := New(Options{ID: id, Membership: azurestair.Membership{Voters: voters}}, azurestair.LogState{}, simStart)
		if err != nil {
			b.Fatal(err)
		}
		nodes = append(nodes, n)
	}
	now = simStart.Add(2 * time.Second)
	nodes[0].Tick(now)
	pump(nodes, now)
	return nodes, nodes[0], now
}

// BenchmarkProposeCommit measures one proposal from Propose until all three
// replicas know that it is committed, with the given number in a batch.
func BenchmarkProposeCommit(b *testing.B) {
	for _, batch := range []int{1, 64} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			nodes, leader, now := benchCluster(b, "a", "b", "c")
			data := make([]byte, 256)
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				if _, _, err := leader.Propose(data, now); err != nil {
					b.Fatal(err)
				}
				if i%batch == batch-1 {
					pump(nodes, now)
				}
				if i%10000 == 9999 {
					pump(nodes, now)
					for _, n := range nodes {
						n.Compact(n.log.applied, nil)
					}
				}
			}
		})
	}
}

// BenchmarkIdleInterval measures a heartbeat interval of an idle cluster: one
// round with its answers on all three replicas.
func BenchmarkIdleInterval(b *testing.B) {
	nodes, leader, _ := benchCluster(b, "a", "b", "c")
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		now := leader.NextDeadline()
		leader.Tick(now)
		pump(nodes, now)
	}
}

// BenchmarkTickNotDue measures a Tick and a Ready of a leader with nothing to do.
func BenchmarkTickNotDue(b *testing.B) {
	_, leader, now := benchCluster(b, "a", "b", "c")
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		leader.Tick(now)
		leader.Ready()
	}
}

// BenchmarkMemory reports the heap of one leader with two followers and an
// empty log, and of one log entry without its data.
func BenchmarkMemory(b *testing.B) {
	const entries = 10000
	var perNode, perEntry float64
	for i := 0; i < b.N; i++ {
		before := heap()
		_, n, _ := benchCluster(b, "a")
		for _, id := range []azurestair.InstanceID{"b", "c"} {
			n.ChangeMembership(azurestair.MemberAddLearner, id, n.now)
			pump([]*Node{n}, n.now)
		}
		empty := heap()
		for range entries {
			n.Propose(nil, n.now)
		}
		full := heap()
		runtime.KeepAlive(n)
		perNode, perEntry = float64(empty-before), float64(full-empty)/entries
	}
	b.ReportMetric(perNode, "B/node")
	b.ReportMetric(perEntry, "B/entry")
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
