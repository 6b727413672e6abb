package raft

import (
	"fmt"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// maxPromoteLag is how many entries a learner may lag behind the leader when it
// is promoted. With a larger lag, commits that need the new voter would wait
// for it to catch up.
const maxPromoteLag azurestair.Index = 128

// membershipRecord is a membership and the index of the entry that set it.
type membershipRecord struct {
	index      azurestair.Index
	membership azurestair.Membership
}

// transfer is a leadership transfer in progress.
type transfer struct {
	target   azurestair.InstanceID
	deadline time.Time
	// timeoutNowSent is true once the target has been told to campaign. From
	// then on it may be elected at any time, so the leader steps down if the
	// transfer does not complete.
	timeoutNowSent bool
}

func cloneMembership(m azurestair.Membership) azurestair.Membership {
	return azurestair.Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// membership returns the latest membership in the log, whether or not it is
// committed.
func (n *Node) membership() azurestair.Membership {
	return n.memberships[len(n.memberships)-1].membership
}

func (n *Node) membershipAt(i azurestair.Index) azurestair.Membership {
	k := len(n.memberships) - 1
	for k > 0 && n.memberships[k].index > i {
		k--
	}
	return n.memberships[k].membership
}

func (n *Node) isVoter(id azurestair.InstanceID) bool {
	return slices.Contains(n.membership().Voters, id)
}

func (n *Node) isMember(id azurestair.InstanceID) bool {
	return n.isVoter(id) || slices.Contains(n.membership().Learners, id)
}

func (n *Node) addMemberships(entries []azurestair.LogEntry) {
	for _, e := range entries {
		if e.Kind == azurestair.EntryMembership {
			n.memberships = append(n.memberships, membershipRecord{index: e.Index, membership: *e.Membership})
		}
	}
}

// truncateMemberships removes the memberships of the truncated entries from an
// index on.
func (n *Node) truncateMemberships(from azurestair.Index) {
	for len(n.memberships) > 1 && n.memberships[len(n.memberships)-1].index >= from {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

// compactMemberships drops the memberships that were superseded at or before
// the start of the log.
func (n *Node) compactMemberships() {
	k := 0
	for k+1 < len(n.memberships) && n.memberships[k+1].index <= n.log.base {
		k++
	}
	n.memberships = slices.Clone(n.memberships[k:])
}

// updateJoining ends the joining state once the stored log lists the replica as
// a learner. A voter that lost its disk is added as a learner only after its
// removal was committed. A candidate that still regards it as a voter lacks the
// removal, so the replica's log is ahead of the candidate's and the replica
// rejects the vote request. It thus grants no second vote in a term in which it
// may have voted before it lost its disk.
func (n *Node) updateJoining() {
	for _, record := range n.memberships {
		if n.joining && record.index <= n.log.stored && slices.Contains(record.membership.Learners, n.opts.ID) {
			n.joining = false
		}
	}
}

// ChangeMembership adds, promotes or removes one member. The change takes
// effect when its entry is appended and is final when the entry is committed.
// The errors are
//
//   - ErrNotLeader on other replicas and during a leadership transfer,
//   - ErrConflict while an earlier change or the leader's first entry is not
//     committed, or if the member's state does not allow the action,
//   - ErrNotFound if the member to promote or remove is unknown,
//   - ErrFull if there are too many voters or learners,
//   - ErrInvalid for an invalid name or action, and
//   - ErrNoQuorum if too few of the resulting voters answer heartbeats.
func (n *Node) ChangeMembership(
	action azurestair.MemberAction, id azurestair.InstanceID, now time.Time,
) (azurestair.Index, azurestair.Term, error) {
	n.advanceTime(now)
	if n.role != RoleLeader || n.leaderState.transfer.target != "" {
		return 0, 0, azurestair.ErrNotLeader
	}
	if err := azurestair.CheckName("member", string(id)); err != nil {
		return 0, 0, err
	}
	if n.log.commit < n.leaderState.firstIndex || n.memberships[len(n.memberships)-1].index > n.log.commit {
		return 0, 0, fmt.Errorf("%w: an earlier change or the leader's first entry is not committed", azurestair.ErrConflict)
	}
	m, err := n.changedMembership(action, id)
	if err != nil {
		return 0, 0, err
	}
	if action != azurestair.MemberAddLearner && !n.hasActiveQuorum(m) {
		return 0, 0, fmt.Errorf("%w: no majority of the voters after the change is reachable", azurestair.ErrNoQuorum)
	}
	e := azurestair.LogEntry{Kind: azurestair.EntryMembership, Membership: &m}
	i := n.appendEntry(e)
	n.memberships = append(n.memberships, membershipRecord{index: i, membership: m})
	n.updateFollowers()
	return i, n.term, nil
}

// changedMembership returns the membership that results from a change.
func (n *Node) changedMembership(action azurestair.MemberAction, id azurestair.InstanceID) (azurestair.Membership, error) {
	m := cloneMembership(n.membership())
	if err := n.validateChange(action, id); err != nil {
		return m, err
	}
	if action == azurestair.MemberAddLearner {
		m.Learners = append(m.Learners, id)
		return m, nil
	}
	is := func(other azurestair.InstanceID) bool { return other == id }
	m.Learners = slices.DeleteFunc(m.Learners, is)
	m.Voters = slices.DeleteFunc(m.Voters, is)
	if action == azurestair.MemberPromote {
		m.Voters = append(m.Voters, id)
	}
	return m, nil
}

// validateChange checks that the member's state allows the action.
func (n *Node) validateChange(action azurestair.MemberAction, id azurestair.InstanceID) error {
	m := n.membership()
	switch action {
	case azurestair.MemberAddLearner:
		if n.isMember(id) {
			return fmt.Errorf("%w: %s is already a member", azurestair.ErrConflict, id)
		}
		if len(m.Learners) >= azurestair.MaxVoters {
			return fmt.Errorf("%w: %d learners; allowed %d", azurestair.ErrFull, len(m.Learners), azurestair.MaxVoters)
		}
	case azurestair.MemberPromote:
		if !slices.Contains(m.Learners, id) {
			return fmt.Errorf("%w: %s is not a learner", azurestair.ErrNotFound, id)
		}
		if len(m.Voters) >= azurestair.MaxVoters {
			return fmt.Errorf("%w: %d voters; allowed %d", azurestair.ErrFull, len(m.Voters), azurestair.MaxVoters)
		}
		if !n.isCaughtUp(id) {
			return fmt.Errorf("%w: learner %s has not caught up", azurestair.ErrConflict, id)
		}
	case azurestair.MemberRemove:
		if !n.isMember(id) {
			return fmt.Errorf("%w: %s is not a member", azurestair.ErrNotFound, id)
		}
		if id == n.opts.ID {
			// If only the leader holds the entry of its own removal, it neither
			// campaigns nor grants a vote, and with two voters no leader can be
			// elected.
			return fmt.Errorf("%w: %s is the leader; transfer the leadership before removing it", azurestair.ErrConflict, id)
		}
	default:
		return fmt.Errorf("%w: member action %q", azurestair.ErrInvalid, action)
	}
	return nil
}

func (n *Node) recentlyActive(id azurestair.InstanceID) bool {
	if id == n.opts.ID {
		return true
	}
	p := n.followerProgress(id)
	return p != nil && n.now.Before(p.ackedAt.Add(n.opts.ElectionTimeout))
}

// isCaughtUp reports whether a learner can be promoted. It must have stored the
// membership that lists it as a learner, because it does not vote before that.
func (n *Node) isCaughtUp(id azurestair.InstanceID) bool {
	p := n.followerProgress(id)
	if p == nil || !n.recentlyActive(id) || p.state != ProgressReplicate {
		return false
	}
	return p.match >= n.memberships[len(n.memberships)-1].index && p.match+maxPromoteLag >= n.log.last()
}

func (n *Node) hasActiveQuorum(m azurestair.Membership) bool {
	active := 0
	for _, id := range m.Voters {
		if n.recentlyActive(id) {
			active++
		}
	}
	return active > len(m.Voters)/2
}

// updateFollowers adjusts the list of followers to the latest membership.
func (n *Node) updateFollowers() {
	m := n.membership()
	var followers []*progress
	for _, id := range slices.Concat(m.Voters, m.Learners) {
		if id == n.opts.ID {
			continue
		}
		p := n.followerProgress(id)
		if p == nil {
			p = &progress{id: id, next: n.log.last() + 1}
		}
		p.learner = slices.Contains(m.Learners, id)
		followers = append(followers, p)
	}
	n.leaderState.followers = followers
}

// TransferLeadership transfers the leadership to another voter. Until the
// transfer ends, the leader accepts no proposals and holds no lease. A transfer
// is aborted if the target does not catch up within an election timeout.
func (n *Node) TransferLeadership(to azurestair.InstanceID, now time.Time) error {
	n.advanceTime(now)
	if n.role != RoleLeader {
		return azurestair.ErrNotLeader
	}
	if to == n.opts.ID || !n.isVoter(to) {
		return fmt.Errorf("%w: %q is not another voter", azurestair.ErrNotFound, to)
	}
	if n.leaderState.transfer.target != "" {
		return fmt.Errorf("%w: a transfer to %s is in progress", azurestair.ErrConflict, n.leaderState.transfer.target)
	}
	n.leaderState.transfer = transfer{target: to, deadline: n.now.Add(n.opts.ElectionTimeout)}
	n.maybeSendTimeoutNow()
	return nil
}

func (n *Node) maybeSendTimeoutNow() {
	t := &n.leaderState.transfer
	if n.role != RoleLeader || t.target == "" || t.timeoutNowSent {
		return
	}
	if p := n.followerProgress(t.target); p != nil && p.match == n.log.last() {
		n.send(azurestair.RaftMessage{Kind: azurestair.RaftTimeoutNow, To: t.target})
		t.timeoutNowSent = true
	}
}

// abortTransfer ends a transfer at its deadline. If the target was told to
// campaign, the leader steps down, because a lease of this term would no longer
// be safe: the message may still arrive and start an election in which voters
// vote although they hear from the leader.
func (n *Node) abortTransfer() {
	if n.leaderState.transfer.timeoutNowSent {
		n.becomeFollower(n.term, "")
		return
	}
	n.leaderState.transfer = transfer{}
}

func (n *Node) handleTimeoutNow(m azurestair.RaftMessage) {
	if m.Term == n.term && n.leader == m.From && n.canCampaign() {
		n.campaign(true)
	}
}
