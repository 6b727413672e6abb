package raft

import (
	"time"

	"azurestair.example/azurestair"
)

// Status describes a replica for operators.
type Status struct {
	ID         azurestair.InstanceID
	Role       Role
	Term       azurestair.Term
	Leader     azurestair.InstanceID
	Joining    bool
	Membership azurestair.Membership
	Commit     azurestair.Index
	Applied    azurestair.Index
	Stored     azurestair.Index
	Last       azurestair.Index
	// Snapshot is the index of the latest snapshot.
	Snapshot azurestair.Index
	// LogBytes counts the entries in memory; the owner compacts by it.
	LogBytes azurestair.Bytes
	// LeaseDeadline is zero on replicas other than the leader.
	LeaseDeadline time.Time
	Followers     []FollowerStatus
}

// FollowerStatus describes a follower as its leader sees it.
type FollowerStatus struct {
	ID      azurestair.InstanceID
	Learner bool
	State   ProgressState
	Match   azurestair.Index
	// AckedAt is when the newest heartbeat that it answered was sent.
	AckedAt time.Time
	// SnapshotOffset is how far a snapshot transfer has come.
	SnapshotOffset azurestair.Bytes
}

// Leader returns the leader that the replica knows, or an empty name.
func (n *Node) Leader() azurestair.InstanceID { return n.leader }

// IsLeader reports whether the replica leads its term; only LeaseDeadline says
// whether it is the only one that believes so.
func (n *Node) IsLeader() bool { return n.role == RoleLeader }

// Status returns the present state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.opts.ID, Role: n.role, Term: n.term, Leader: n.leader, Joining: n.joining,
		Membership: cloneMembership(n.membership()),
		Commit:     n.log.commit, Applied: n.log.applied, Stored: n.log.stored, Last: n.log.last(),
		LogBytes: n.log.bytes, LeaseDeadline: n.LeaseDeadline(),
	}
	if n.log.snapshot != nil {
		s.Snapshot = n.log.snapshot.Meta.Index
	}
	for _, p := range n.lead.peers {
		f := FollowerStatus{ID: p.id, Learner: p.learner, State: p.state, Match: p.match, AckedAt: p.ackedAt}
		if p.state == ProgressSnapshot {
			f.SnapshotOffset = p.offset
		}
		s.Followers = append(s.Followers, f)
	}
	return s
}
