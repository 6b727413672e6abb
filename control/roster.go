package control

import (
	"cmp"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// Built-in values of a Roster.
const (
	// DefaultVoters bears the loss of any two voters at once.
	DefaultVoters = 5
	// VoterLossAfter is how long a voter must be unheard before a spare replaces
	// it. It is longer than a restart, so that restarts change no membership.
	VoterLossAfter = 5 * time.Second
	// learnerLossAfter is how long a learner must be unheard before it is removed.
	learnerLossAfter = 20 * time.Second
)

// Replica is what the leader knows of a control instance that is alive.
type Replica struct {
	ID            azurestair.InstanceID
	Region        azurestair.RegionName
	FailureDomain azurestair.FailureDomainName
	// CaughtUp is true for a learner that lacks few entries of the log.
	CaughtUp bool
}

// Roster decides how the membership of the log follows the control instances
// that are alive: it fills up the voters, spread over regions and failure
// domains, and has a spare replace a voter that is lost. The zero value is ready.
type Roster struct {
	// Voters is how many voters are wanted; zero means DefaultVoters.
	Voters int

	heard map[azurestair.InstanceID]time.Time
	since time.Time
}

// Next returns the next change of the membership, or false. The caller makes
// one change at a time and asks again once it is committed.
func (r *Roster) Next(m azurestair.Membership, alive []Replica, now time.Time) (azurestair.MemberAction, azurestair.InstanceID, bool) {
	r.note(alive, now)
	lost := r.longestLost(m.Voters, VoterLossAfter, now)
	if id := readyLearner(m, alive); id != "" {
		if len(m.Voters) < r.voters() {
			return azurestair.MemberPromote, id, true
		}
		if lost != "" {
			return azurestair.MemberRemove, lost, true
		}
	}
	if id := r.longestLost(m.Learners, learnerLossAfter, now); id != "" {
		return azurestair.MemberRemove, id, true
	}
	wanted := r.voters() - len(m.Voters)
	if lost != "" {
		wanted++
	}
	if len(m.Learners) < wanted && len(m.Learners) < azurestair.MaxVoters {
		if id := bestSpare(m, alive); id != "" {
			return azurestair.MemberAddLearner, id, true
		}
	}
	return "", "", false
}

func (r *Roster) voters() int {
	if r.Voters > 0 {
		return min(r.Voters, azurestair.MaxVoters)
	}
	return DefaultVoters
}

func (r *Roster) note(alive []Replica, now time.Time) {
	if r.heard == nil {
		r.heard, r.since = map[azurestair.InstanceID]time.Time{}, now
	}
	for _, a := range alive {
		r.heard[a.ID] = now
	}
	for id, at := range r.heard {
		if now.Sub(at) > 2*learnerLossAfter {
			delete(r.heard, id)
		}
	}
}

// longestLost returns the member that has been unheard for longest, if for at
// least the given time. A member counts as heard when this roster was new.
func (r *Roster) longestLost(members []azurestair.InstanceID, after time.Duration, now time.Time) azurestair.InstanceID {
	var found azurestair.InstanceID
	var oldest time.Time
	for _, id := range members {
		at, ok := r.heard[id]
		if !ok {
			at = r.since
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

// bestSpare returns the live instance outside the log whose region, and then
// whose failure domain, has the fewest members.
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
