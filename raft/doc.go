// Package raft holds the decision logic of the replicated log.
//
// A Node is driven by calls with a time and does no input or output. After
// each call, or batch of calls, the owner takes a Ready: what to store, what
// to send and what to apply. The owner hands the storing to a disk writer and
// goes on; several Readys may be outstanding as long as they are stored in
// order. Stored reports back that a Ready is durable. Messages that promise
// something durable (votes, append replies) are in Ready.AfterStore and leave
// only after their Ready, and all earlier ones, were stored. A leader counts
// its own entries, and a candidate its own vote, only after Stored.
//
// Elections use pre-vote. A voter that heard a leader within the last election
// timeout refuses votes, and a start counts as hearing a leader because the
// replica may have answered a heartbeat just before it stopped. A leader's
// lease and its quorum check both count from when the heartbeat round that a
// majority answered was sent, so that replies that wait in a queue while the
// process is frozen extend neither.
//
// Membership changes one member at a time and takes effect when its entry is
// appended. On first start each initial voter creates the same first entry,
// which holds the initial membership, so that the log alone defines it. A
// replica that starts empty and without an initial membership is joining: it
// neither votes nor campaigns before its stored log lists it as a learner,
// because it may be a voter that lost its disk and with it its votes.
//
// The owner's loop, on one goroutine:
//
//	select {
//	case <-timer.C:
//		node.Tick(clock.Now())
//	case m := <-messages:
//		err = node.Step(m, clock.Now())
//	case seq := <-stored:
//		node.Stored(seq)
//	}
//	for rd, ok := node.Ready(); ok; rd, ok = node.Ready() {
//		send(rd.Messages)
//		if rd.Seq > 0 {
//			writer <- rd // Append, SaveSnapshot, send AfterStore, report Seq
//		}
//		if rd.Restore {
//			load(rd.Snapshot)
//		}
//		apply(rd.Committed)
//	}
//	resetTimer(node.NextDeadline())
package raft
