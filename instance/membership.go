package instance

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/peer"
	"azurestair.example/azurestair/raft"
)

const (
	// membershipCheckInterval is the interval at which the leader checks the
	// membership of the log.
	membershipCheckInterval = 250 * time.Millisecond
	// maxPromotionLag is the number of entries by which a learner may lag
	// behind when it is promoted.
	maxPromotionLag azurestair.Index = 64
)

// maintainMembership proposes the next membership change of the log if the
// leader manages the membership.
func (r *Replica) maintainMembership(now time.Time) {
	if r.membershipPlanner == nil || r.full.isFull() || now.Before(r.nextMembershipCheck) {
		return
	}
	r.nextMembershipCheck = now.Add(membershipCheckInterval)
	st := r.node.Status()
	step, ok := r.membershipPlanner.Next(st.Membership, r.logMembers(st, now), r.liveReplicas(st), now)
	if !ok {
		return
	}
	change := azurestair.MemberChange{
		Change: azurestair.Change{
			ID:       azurestair.ChangeID(fmt.Sprintf("roster-%d-%d", st.Term, st.Last)),
			Operator: automaticOperator, Reason: "the control instances that are alive have changed",
		},
		Action: step.Action, Instance: step.Instance,
	}
	err := r.changeMembers(&change, now)
	switch {
	case err == nil:
		r.log.Info("membership of the log changed", "action", step.Action, "member", step.Instance, "reason", step.Reason, "voters", st.Membership.Voters, "term", st.Term)
		r.propose(proposeEvent{command: azurestair.Command{Members: &change}, reply: make(chan proposeReply, 1)}, now)
	case !errors.Is(err, azurestair.ErrConflict):
		r.log.Warn("membership of the log not changed", "action", step.Action, "member", step.Instance, "reason", step.Reason, "err", err)
	}
}

// automaticOperator is the operator name in the audit trail for changes that
// the leader makes without an operator.
const automaticOperator azurestair.OperatorName = "roster"

// liveReplicas lists the control instances that report to this leader.
func (r *Replica) liveReplicas(st raft.Status) []control.Replica {
	var out []control.Replica
	for _, i := range r.registry.Instances() {
		reportedAt, ok := r.registry.ReportedAt(i.ID)
		if !i.Control || !ok {
			continue
		}
		replica := control.Replica{ID: i.ID, Region: i.Region, FailureDomain: i.FailureDomain, PeerAddr: i.PeerAddr, ReportedAt: reportedAt}
		for _, f := range st.Followers {
			if f.ID == i.ID {
				replica.CaughtUp = f.Learner && f.Match+maxPromotionLag >= st.Last
			}
		}
		out = append(out, replica)
	}
	return out
}

// connectMembers connects to the members of the log and to the leader, as far as
// their addresses are in the address book or can be derived from their IDs. A
// replica that joins learns the members only from entries that the leader sends
// until it replies, so that it has to connect to the leader first.
func (r *Replica) connectMembers() {
	st := r.node.Status()
	for _, id := range slices.Concat(st.Membership.Voters, st.Membership.Learners, []azurestair.InstanceID{st.Leader}) {
		if id == "" || id == r.self || r.peers.Addr(id) != "" {
			continue
		}
		if addr := r.memberAddr(id); addr != "" {
			r.peers.AddPeer(peer.Address{ID: id, Addr: addr})
		}
	}
}

// logMembers returns what the leader knows of the members of the log.
func (r *Replica) logMembers(st raft.Status, now time.Time) control.LogMembers {
	out := control.LogMembers{r.self: {AckedAt: now}}
	for _, f := range st.Followers {
		out[f.ID] = control.LogMember{PeerAddr: cmp.Or(r.peers.Addr(f.ID), r.memberAddr(f.ID)), AckedAt: f.AckedAt}
	}
	return out
}

// memberAddr returns the address of a member from the address book or, if it
// can be derived, from its ID.
func (r *Replica) memberAddr(id azurestair.InstanceID) string {
	addr := r.contacts.book.Addr(id)
	if addr == "" && r.peerAddr != nil {
		addr = r.peerAddr(id)
	}
	return addr
}
