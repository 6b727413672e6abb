package raft

import (
	"time"

	"azurestair.example/azurestair"
)

// Status is the state of a replica for monitoring.
type Status struct {
	ID     azurestair.InstanceID
	Role   Role
	Term   azurestair.Term
	Leader azurestair.InstanceID
	// LeaderContactAt is the time of the last contact with a leader, or of the
	// start if there was none. On a leader, it is from an earlier term.
	LeaderContactAt time.Time
	Joining         bool
	Membership      azurestair.Membership
	Commit          azurestair.Index
	Applied         azurestair.Index
	Stored          azurestair.Index
	Last            azurestair.Index
	// Snapshot is the index of the latest snapshot.
	Snapshot azurestair.Index
	// LogBytes is the size of the entries in memory. The caller uses it to
	// decide when to compact.
	LogBytes azurestair.Bytes
	// LeaseDeadline is the end of the lease; see Node.LeaseDeadline.
	LeaseDeadline time.Time
	Followers     []FollowerStatus
}

// FollowerStatus is the replication state of a follower on the leader.
type FollowerStatus struct {
	ID      azurestair.InstanceID
	Learner bool
	State   ProgressState
	Match   azurestair.Index
	// AckedAt is the send time of the latest heartbeat round that it answered.
	AckedAt time.Time
	// SnapshotOffset is the offset of the chunk in flight during a snapshot
	// transfer.
	SnapshotOffset azurestair.Bytes
}

// Leader returns the ID of the known leader, or an empty ID.
func (n *Node) Leader() azurestair.InstanceID { return n.leader }

// IsLeader reports whether the replica is the leader of its term. It may still
// be true on an old leader after another replica has become the leader of a
// newer term. Only LeaseDeadline shows that there is no other leader.
func (n *Node) IsLeader() bool { return n.role == RoleLeader }

// Status returns the current state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.opts.ID, Role: n.role, Term: n.term, Leader: n.leader, LeaderContactAt: n.leaderContactAt, Joining: n.joining,
		Membership: cloneMembership(n.membership()),
		Commit:     n.log.commit, Applied: n.log.applied, Stored: n.log.stored, Last: n.log.last(),
		LogBytes: n.log.bytes, LeaseDeadline: n.LeaseDeadline(),
	}
	if n.log.snapshot != nil {
		s.Snapshot = n.log.snapshot.Meta.Index
	}
	for _, p := range n.leaderState.followers {
		f := FollowerStatus{ID: p.id, Learner: p.learner, State: p.state, Match: p.match, AckedAt: p.ackedAt}
		if p.state == ProgressSnapshot {
			f.SnapshotOffset = p.snapshotOffset
		}
		s.Followers = append(s.Followers, f)
	}
	return s
}
