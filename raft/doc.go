// Package raft implements the Raft consensus algorithm as a deterministic state
// machine without input or output.
//
// The caller passes the current time and incoming messages to a Node. After
// each call, or batch of calls, it takes a Ready, which lists the state to
// store, the messages to send and the entries to apply. A separate writer can
// do the storing: several Readys may be pending as long as they are stored in
// order, and Stored reports that a Ready is durable. Messages that depend on
// durable state (votes, append replies) are in Ready.AfterStore and are sent
// only after their Ready and all earlier ones have been stored. A leader counts
// its own entries, and a candidate its own vote, only after Stored.
//
// Elections use pre-vote. A voter that had contact with a leader within the
// last election timeout refuses votes. A restart counts as contact, because the
// replica may have answered a heartbeat just before it stopped. A leader's
// lease and its quorum check are both measured from the send time of the latest
// heartbeat round that a majority answered. Replies that were queued while the
// process was suspended therefore extend neither.
//
// Membership changes add, promote or remove one member at a time and take
// effect when their entry is appended. On its first start each initial voter
// creates the same first entry, which holds the initial membership, so that
// membership is defined by the log alone. A replica that starts with an empty
// log and without an initial membership is joining: it neither votes nor
// campaigns until its stored log lists it as a learner, because it may be a
// voter that lost its disk together with the record of its votes.
//
// The caller runs a loop on one goroutine:
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
