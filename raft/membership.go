package raft

import (
	"fmt"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// promoteLag is how many entries a learner may lack when it gets its vote.
// More would delay commits that need it.
const promoteLag azurestair.Index = 128

// config is a membership and the log index from which it holds.
type config struct {
	index      azurestair.Index
	membership azurestair.Membership
}

// transfer is a hand-over of the leadership in progress.
type transfer struct {
	to       azurestair.InstanceID
	deadline time.Time
	// sent is true once the target was told to campaign. From then on voters
	// may elect it at any time, so the leader's term ends with the transfer.
	sent bool
}

func cloneMembership(m azurestair.Membership) azurestair.Membership {
	return azurestair.Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// membership returns the latest membership in the log, committed or not.
func (n *Node) membership() azurestair.Membership {
	return n.configs[len(n.configs)-1].membership
}

func (n *Node) membershipAt(i azurestair.Index) azurestair.Membership {
	k := len(n.configs) - 1
	for k > 0 && n.configs[k].index > i {
		k--
	}
	return n.configs[k].membership
}

func (n *Node) isVoter(id azurestair.InstanceID) bool {
	return slices.Contains(n.membership().Voters, id)
}

func (n *Node) isMember(id azurestair.InstanceID) bool {
	return n.isVoter(id) || slices.Contains(n.membership().Learners, id)
}

func (n *Node) addConfigs(entries []azurestair.LogEntry) {
	for _, e := range entries {
		if e.Kind == azurestair.EntryMembership {
			n.configs = append(n.configs, config{index: e.Index, membership: *e.Membership})
		}
	}
}

// dropConfigs undoes the memberships of truncated entries.
func (n *Node) dropConfigs(from azurestair.Index) {
	for len(n.configs) > 1 && n.configs[len(n.configs)-1].index >= from {
		n.configs = n.configs[:len(n.configs)-1]
	}
}

// trimConfigs drops the memberships that no index in the log needs.
func (n *Node) trimConfigs() {
	k := 0
	for k+1 < len(n.configs) && n.configs[k+1].index <= n.log.base {
		k++
	}
	n.configs = slices.Clone(n.configs[k:])
}

// updateJoining ends the joining of a replica once its stored log lists it as
// a learner. A lost voter is added as a learner only after its removal was
// committed, so from then on its log refuses every candidate that still counts
// on the lost vote.
func (n *Node) updateJoining() {
	for _, c := range n.configs {
		if n.joining && c.index <= n.log.stored && slices.Contains(c.membership.Learners, n.opts.ID) {
			n.joining = false
		}
	}
}

// ChangeMembership appends a change of one member. It takes effect at once and
// is final when its entry is committed. The error is ErrNotLeader, ErrConflict
// while another change or the leader's first entry is not committed or the
// member is not in the state that the action needs, ErrNotFound, ErrFull, or
// ErrNoQuorum if too few of the resulting voters answer heartbeats.
func (n *Node) ChangeMembership(
	action azurestair.MemberAction, id azurestair.InstanceID, now time.Time,
) (azurestair.Index, azurestair.Term, error) {
	n.observe(now)
	if n.role != RoleLeader || n.lead.transfer.to != "" {
		return 0, 0, azurestair.ErrNotLeader
	}
	if err := azurestair.CheckName("member", string(id)); err != nil {
		return 0, 0, err
	}
	if n.log.commit < n.lead.first || n.configs[len(n.configs)-1].index > n.log.commit {
		return 0, 0, fmt.Errorf("%w: an earlier change or the leader's first entry is not committed", azurestair.ErrConflict)
	}
	m, err := n.changed(action, id)
	if err != nil {
		return 0, 0, err
	}
	if action != azurestair.MemberAddLearner && !n.hasLiveMajority(m) {
		return 0, 0, fmt.Errorf("%w: too few of the voters after the change answer", azurestair.ErrNoQuorum)
	}
	e := azurestair.LogEntry{Kind: azurestair.EntryMembership, Membership: &m}
	i := n.appendOwn(e)
	n.configs = append(n.configs, config{index: i, membership: m})
	n.syncPeers()
	return i, n.term, nil
}

// changed returns the membership after a change.
func (n *Node) changed(action azurestair.MemberAction, id azurestair.InstanceID) (azurestair.Membership, error) {
	m := cloneMembership(n.membership())
	if err := n.checkChange(action, id); err != nil {
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

// checkChange checks that the member is in the state that the action needs.
func (n *Node) checkChange(action azurestair.MemberAction, id azurestair.InstanceID) error {
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
		if !n.caughtUp(id) {
			return fmt.Errorf("%w: learner %s has not caught up", azurestair.ErrConflict, id)
		}
	case azurestair.MemberRemove:
		if !n.isMember(id) {
			return fmt.Errorf("%w: %s is not a member", azurestair.ErrNotFound, id)
		}
		if id == n.opts.ID {
			// A leader that alone holds its own removal would neither stand
			// for election nor grant a vote, and two voters would be stuck.
			return fmt.Errorf("%w: %s leads; transfer the leadership before its removal", azurestair.ErrConflict, id)
		}
	default:
		return fmt.Errorf("%w: member action %q", azurestair.ErrInvalid, action)
	}
	return nil
}

func (n *Node) isLive(id azurestair.InstanceID) bool {
	if id == n.opts.ID {
		return true
	}
	p := n.peer(id)
	return p != nil && n.now.Before(p.ackedAt.Add(n.opts.ElectionTimeout))
}

// caughtUp reports whether a learner may get its vote. It must have stored the
// membership that lists it as a learner, because without it it never votes.
func (n *Node) caughtUp(id azurestair.InstanceID) bool {
	p := n.peer(id)
	if p == nil || !n.isLive(id) || p.state != ProgressReplicate {
		return false
	}
	return p.match >= n.configs[len(n.configs)-1].index && p.match+promoteLag >= n.log.last()
}

func (n *Node) hasLiveMajority(m azurestair.Membership) bool {
	live := 0
	for _, id := range m.Voters {
		if n.isLive(id) {
			live++
		}
	}
	return live > len(m.Voters)/2
}

// syncPeers makes the leader's view of the followers fit the membership.
func (n *Node) syncPeers() {
	m := n.membership()
	var peers []*progress
	for _, id := range slices.Concat(m.Voters, m.Learners) {
		if id == n.opts.ID {
			continue
		}
		p := n.peer(id)
		if p == nil {
			p = &progress{id: id, next: n.log.last() + 1}
		}
		p.learner = slices.Contains(m.Learners, id)
		peers = append(peers, p)
	}
	n.lead.peers = peers
}

// TransferLeadership hands the leadership to another voter. Until the transfer
// ends, the leader takes no proposals and holds no lease. A transfer that
// cannot bring the target up to date within an election timeout is given up.
func (n *Node) TransferLeadership(to azurestair.InstanceID, now time.Time) error {
	n.observe(now)
	if n.role != RoleLeader {
		return azurestair.ErrNotLeader
	}
	if to == n.opts.ID || !n.isVoter(to) {
		return fmt.Errorf("%w: %q is not another voter", azurestair.ErrNotFound, to)
	}
	if n.lead.transfer.to != "" {
		return fmt.Errorf("%w: a transfer to %s is in progress", azurestair.ErrConflict, n.lead.transfer.to)
	}
	n.lead.transfer = transfer{to: to, deadline: n.now.Add(n.opts.ElectionTimeout)}
	n.continueTransfer()
	return nil
}

func (n *Node) continueTransfer() {
	t := &n.lead.transfer
	if n.role != RoleLeader || t.to == "" || t.sent {
		return
	}
	if p := n.peer(t.to); p != nil && p.match == n.log.last() {
		n.send(azurestair.RaftMessage{Kind: azurestair.RaftTimeoutNow, To: t.to})
		t.sent = true
	}
}

// abortTransfer ends a transfer at its deadline. If the target was told to
// campaign, the leader steps down, because that message may still arrive and
// lead to an election that no lease of this term survives.
func (n *Node) abortTransfer() {
	if n.lead.transfer.sent {
		n.becomeFollower(n.term, "")
		return
	}
	n.lead.transfer = transfer{}
}

func (n *Node) handleTimeoutNow(m azurestair.RaftMessage) {
	if m.Term == n.term && n.leader == m.From && n.electable() {
		n.campaign(true)
	}
}
