package control

import (
	"cmp"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// Built-in values of a MembershipPlanner.
const (
	// DefaultVoters tolerates the simultaneous loss of any two voters.
	DefaultVoters = 5
	// VoterLossTimeout is how long a voter must be silent before a spare
	// replaces it. It is longer than a restart, so that restarts do not change
	// the membership.
	VoterLossTimeout = 5 * time.Second
	// learnerLossAfter is how long a learner must be silent before it is
	// removed.
	learnerLossAfter = 20 * time.Second
)

// Replica describes a live control instance.
type Replica struct {
	ID            azurestair.InstanceID
	Region        azurestair.RegionName
	FailureDomain azurestair.FailureDomainName
	// PeerAddr is the address at which the other instances reach it.
	PeerAddr string
	// CaughtUp is true for a learner that lacks only a few log entries.
	CaughtUp bool
}

// MemberAddrs holds the peer addresses of the members of the log, as far as
// they are known.
type MemberAddrs map[azurestair.InstanceID]string

// MemberReason is why a membership change is due.
type MemberReason string

// Reasons for membership changes.
const (
	ReasonSuperseded MemberReason = "superseded"
	ReasonSilent     MemberReason = "silent"
	ReasonSpare      MemberReason = "spare"
	ReasonCaughtUp   MemberReason = "caughtUp"
)

// MembershipStep is one change of the membership of the log.
type MembershipStep struct {
	Action   azurestair.MemberAction
	Instance azurestair.InstanceID
	Reason   MemberReason
}

// MembershipPlanner decides how the membership of the log follows the live
// control instances. It adds voters up to the wanted number, spread over
// regions and failure domains, and replaces a lost voter with a spare.
//
// A member is superseded when another instance reports from its address: an
// instance that lost its disk comes back under a new id, and its old id never
// answers again. Such a member is removed at once, because it may be the one
// that a quorum lacks after the next loss. A member that is merely silent may
// return, so that it is removed only after a timeout.
//
// The zero value is ready for use.
type MembershipPlanner struct {
	// Voters is the wanted number of voters. Zero means DefaultVoters.
	Voters int

	lastHeard map[azurestair.InstanceID]time.Time
	startedAt time.Time
}

// Next returns the next change of the membership, or false if none is needed.
// The caller must make one change at a time and call Next again once it is
// committed.
func (p *MembershipPlanner) Next(m azurestair.Membership, addrs MemberAddrs, alive []Replica, now time.Time) (MembershipStep, bool) {
	p.updateLastHeard(alive, now)
	if id := superseded(m, addrs, alive); id != "" {
		return MembershipStep{azurestair.MemberRemove, id, ReasonSuperseded}, true
	}
	lost := p.longestLost(m.Voters, VoterLossTimeout, now)
	if id := readyLearner(m, alive); id != "" {
		if len(m.Voters) < p.voters() {
			return MembershipStep{azurestair.MemberPromote, id, ReasonCaughtUp}, true
		}
		if lost != "" {
			return MembershipStep{azurestair.MemberRemove, lost, ReasonSilent}, true
		}
	}
	if lost != "" && len(m.Voters)%2 == 0 {
		// Without it, the quorum of an even number of voters is smaller by one,
		// so that this tolerates the same losses even if it returns.
		return MembershipStep{azurestair.MemberRemove, lost, ReasonSilent}, true
	}
	if id := p.longestLost(m.Learners, learnerLossAfter, now); id != "" {
		return MembershipStep{azurestair.MemberRemove, id, ReasonSilent}, true
	}
	wanted := p.voters() - len(m.Voters)
	if lost != "" {
		wanted++
	}
	if len(m.Learners) < wanted && len(m.Learners) < azurestair.MaxVoters {
		if id := bestSpare(m, alive); id != "" {
			return MembershipStep{azurestair.MemberAddLearner, id, ReasonSpare}, true
		}
	}
	return MembershipStep{}, false
}

func (p *MembershipPlanner) voters() int {
	if p.Voters > 0 {
		return min(p.Voters, azurestair.MaxVoters)
	}
	return DefaultVoters
}

func (p *MembershipPlanner) updateLastHeard(alive []Replica, now time.Time) {
	if p.lastHeard == nil {
		p.lastHeard, p.startedAt = map[azurestair.InstanceID]time.Time{}, now
	}
	for _, a := range alive {
		p.lastHeard[a.ID] = now
	}
	for id, at := range p.lastHeard {
		if now.Sub(at) > 2*learnerLossAfter {
			delete(p.lastHeard, id)
		}
	}
}

// superseded returns a member whose address another instance reports from, or
// an empty id if there is none. Learners come first, since a learner that will
// never answer keeps others from being added.
func superseded(m azurestair.Membership, addrs MemberAddrs, alive []Replica) azurestair.InstanceID {
	for _, id := range slices.Concat(m.Learners, m.Voters) {
		if slices.ContainsFunc(alive, func(r Replica) bool { return r.ID == id }) {
			continue
		}
		if slices.ContainsFunc(alive, func(r Replica) bool { return r.PeerAddr != "" && r.PeerAddr == addrs[id] }) {
			return id
		}
	}
	return ""
}

// longestLost returns the member that has been silent the longest, if it has
// been silent for at least the given time. A member that was never heard counts
// as heard when the planner was first used.
func (p *MembershipPlanner) longestLost(members []azurestair.InstanceID, after time.Duration, now time.Time) azurestair.InstanceID {
	var found azurestair.InstanceID
	var oldest time.Time
	for _, id := range members {
		at, ok := p.lastHeard[id]
		if !ok {
			at = p.startedAt
		}
		if now.Sub(at) >= after && (found == "" || at.Before(oldest)) {
			found, oldest = id, at
		}
	}
	return found
}

func readyLearner(m azurestair.Membership, alive []Replica) azurestair.InstanceID {
	for _, a := range alive {
		if a.CaughtUp && slices.Contains(m.Learners, a.ID) {
			return a.ID
		}
	}
	return ""
}

// bestSpare returns the live instance outside the log whose region has the
// fewest members, and among those the one whose failure domain has the fewest.
func bestSpare(m azurestair.Membership, alive []Replica) azurestair.InstanceID {
	regions := map[azurestair.RegionName]int{}
	domains := map[azurestair.FailureDomainName]int{}
	var spares []Replica
	for _, a := range alive {
		if slices.Contains(m.Voters, a.ID) || slices.Contains(m.Learners, a.ID) {
			regions[a.Region]++
			domains[a.FailureDomain]++
			continue
		}
		spares = append(spares, a)
	}
	if len(spares) == 0 {
		return ""
	}
	return slices.MinFunc(spares, func(a, b Replica) int {
		return cmp.Or(
			cmp.Compare(regions[a.Region], regions[b.Region]),
			cmp.Compare(domains[a.FailureDomain], domains[b.FailureDomain]),
			cmp.Compare(a.ID, b.ID),
		)
	}).ID
}
