package instance

import (
	"fmt"
	"time"

	"azurestair.example/azurestair"
)

// fullStore is the state of a replica whose disk takes no more data. The zero
// value is that of a working disk.
//
// Meanwhile the replica takes part in the log only as far as what is durable
// allows: it answers the heartbeats of its term and counts the answers of its
// followers, but takes no entries, grants no votes and does not campaign. A
// leader passes on its leadership and accepts no changes. Reports, reads and
// commands go to another leader as on any follower.
type fullStore struct {
	// since is when the disk was found to be full, or zero.
	since time.Time
	// repairing is true until the log that was read at the start is durable.
	// Before that, the replica must not take part at all.
	repairing bool
}

// errStoreFull reports a leader that cannot store changes.
var errStoreFull = fmt.Errorf("%w: the disk of the leader is full", azurestair.ErrNoQuorum)

func (f *fullStore) isFull() bool { return !f.since.IsZero() }

// accepts reports whether the replica handles a Raft message in its term.
func (f *fullStore) accepts(m azurestair.RaftMessage, term azurestair.Term) bool {
	if !f.isFull() {
		return true
	}
	switch m.Kind {
	case azurestair.RaftHeartbeat, azurestair.RaftHeartbeatReply, azurestair.RaftAppendReply:
		return m.Term == term && !f.repairing
	default:
		return false
	}
}

// handleStoreFull is called for each call to the store that fails because the
// disk is full.
func (r *Replica) handleStoreFull(err error, now time.Time) {
	if !r.full.isFull() {
		r.full.since = now
		r.storeFullGauge.Update(1)
		r.log.Error("disk is full; log not stored", "err", err, "leader", r.node.IsLeader(), "term", r.node.Status().Term)
	}
	r.transferLeadership(now)
}

// handleStoreWorking is called when a call to the store has succeeded.
func (r *Replica) handleStoreWorking(now time.Time) {
	if !r.full.isFull() {
		return
	}
	r.log.Info("disk takes data again; log stored", "after", now.Sub(r.full.since))
	r.full = fullStore{}
	r.storeFullGauge.Update(0)
}

// startRepair makes the replica wait until the log that was read from a full
// disk is durable.
func (r *Replica) startRepair(now time.Time) {
	r.full = fullStore{since: now, repairing: true}
	r.storeFullGauge.Update(1)
	r.log.Error("started with a full disk; the log is not used before it is stored")
	r.storesInFlight++
	r.writer.jobs <- &storeJob{repair: true}
}
