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
	// replaces it. It is longer than the restart of a process, so that restarts
	// do not change the membership. The platform may take the next machine away
	// 4 s after the successor of a lost one has started, and the replacement
	// must be complete by then.
	VoterLossTimeout = 3 * time.Second
	// learnerLossAfter is how long a learner must be silent before it is
	// removed.
	learnerLossAfter = 20 * time.Second
	// electionReplyTime is how long a new leader waits for the replies of the
	// members before it judges their silence.
	electionReplyTime = time.Second
)

// Replica describes a control instance that reports to the leader.
type Replica struct {
	ID            azurestair.InstanceID
	Region        azurestair.RegionName
	FailureDomain azurestair.FailureDomainName
	// PeerAddr is the address at which the other instances reach it.
	PeerAddr string
	// ReportedAt is when the leader received its last report.
	ReportedAt time.Time
	// CaughtUp is true for a learner that lacks only a few log entries.
	CaughtUp bool
}

// LogMember is what the leader knows of a member of the log.
type LogMember struct {
	// PeerAddr is empty if the address is not known.
	PeerAddr string
	// AckedAt is when the leader sent the latest heartbeat that the member has
	// answered. It is zero if the member has answered none of this leader.
	AckedAt time.Time
}

// LogMembers holds what the leader knows of the members of the log, by their
// ids.
type LogMembers map[azurestair.InstanceID]LogMember

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
// Silence is counted from the last contact with a member, and not from the
// election of the leader: leaders that are lost in turn would otherwise never
// see the timeout pass. The zero value is ready for use in one term.
type MembershipPlanner struct {
	// Voters is the wanted number of voters. Zero means DefaultVoters.
	Voters int
	// LeaderContactAt is when this replica last heard from the leader of an
	// earlier term. A member that has not answered this leader counts as heard
	// then, or when Next was first called if LeaderContactAt is zero.
	LeaderContactAt time.Time

	startedAt time.Time
}

// Next returns the next change of the membership, or false if none is needed.
// The caller must make one change at a time and call Next again once it is
// committed.
func (p *MembershipPlanner) Next(m azurestair.Membership, members LogMembers, alive []Replica, now time.Time) (MembershipStep, bool) {
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	if id := superseded(m, members, alive); id != "" {
		return MembershipStep{azurestair.MemberRemove, id, ReasonSuperseded}, true
	}
	heard := p.contactTimes(m, members, alive)
	lost := p.longestLost(m.Voters, heard, VoterLossTimeout, now)
	if id := readyLearner(m, heard, alive, now); id != "" {
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
	if id := p.longestLost(m.Learners, heard, learnerLossAfter, now); id != "" {
		return MembershipStep{azurestair.MemberRemove, id, ReasonSilent}, true
	}
	wanted := p.voters() - len(m.Voters)
	if lost != "" {
		wanted++
	}
	if heard.countRecent(m.Learners, now) < wanted && len(m.Learners) < azurestair.MaxVoters {
		if id := bestSpare(m, alive, now); id != "" {
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

// contactTimes returns when each member of the log was last heard.
func (p *MembershipPlanner) contactTimes(m azurestair.Membership, members LogMembers, alive []Replica) lastHeard {
	before := p.LeaderContactAt
	if before.IsZero() {
		before = p.startedAt
	}
	heard := lastHeard{}
	for _, id := range slices.Concat(m.Voters, m.Learners) {
		heard[id] = later(before, members[id].AckedAt)
	}
	for _, a := range alive {
		if at, ok := heard[a.ID]; ok {
			heard[a.ID] = later(at, a.ReportedAt)
		}
	}
	return heard
}

// superseded returns a member whose address another instance reports from, or
// an empty id if there is none. Learners come first, since a learner that will
// never answer keeps others from being added.
func superseded(m azurestair.Membership, members LogMembers, alive []Replica) azurestair.InstanceID {
	for _, id := range slices.Concat(m.Learners, m.Voters) {
		if slices.ContainsFunc(alive, func(r Replica) bool { return r.ID == id }) {
			continue
		}
		if slices.ContainsFunc(alive, func(r Replica) bool { return r.PeerAddr != "" && r.PeerAddr == members[id].PeerAddr }) {
			return id
		}
	}
	return ""
}

// longestLost returns the member that has been silent the longest, if it has
// been silent for at least the given time and could have answered this leader.
func (p *MembershipPlanner) longestLost(members []azurestair.InstanceID, heard lastHeard, after time.Duration, now time.Time) azurestair.InstanceID {
	if !p.LeaderContactAt.IsZero() && now.Sub(p.startedAt) < electionReplyTime {
		return ""
	}
	return heard.longestSilent(members, after, now)
}

// readyLearner returns the learner that can be promoted and was heard last.
func readyLearner(m azurestair.Membership, heard lastHeard, alive []Replica, now time.Time) azurestair.InstanceID {
	var found azurestair.InstanceID
	for _, a := range alive {
		if !a.CaughtUp || !slices.Contains(m.Learners, a.ID) || !isRecent(heard[a.ID], now) {
			continue
		}
		if found == "" || heard[a.ID].After(heard[found]) {
			found = a.ID
		}
	}
	return found
}

// bestSpare returns the instance outside the log whose region has the fewest
// members, and among those the one whose failure domain has the fewest. It
// leaves out instances that have stopped reporting.
func bestSpare(m azurestair.Membership, alive []Replica, now time.Time) azurestair.InstanceID {
	regions := map[azurestair.RegionName]int{}
	domains := map[azurestair.FailureDomainName]int{}
	var spares []Replica
	for _, a := range alive {
		if slices.Contains(m.Voters, a.ID) || slices.Contains(m.Learners, a.ID) {
			regions[a.Region]++
			domains[a.FailureDomain]++
			continue
		}
		if isRecent(a.ReportedAt, now) {
			spares = append(spares, a)
		}
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
