package instance

import (
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/peer"
)

// This file holds what a member does with notices, and with snapshots that no
// leader has confirmed.

// adoptProvisional makes the member use a snapshot that no leader has confirmed
// in this run, until a leader replies. Before that, an instance cannot know a
// newer one, and after a loss of power its callers would wait for seconds.
func (m *Member) adoptProvisional(s *azurestair.Snapshot, now time.Time) {
	if m.term > 0 || m.fleet.Conflicts(s.Fleet) || !isProvisionallyUsable(s) || !s.Version().IsNewerThan(m.snapshot.Version()) {
		return
	}
	before := m.snapshot
	m.snapshot, m.provisional = withPlans(s), true
	m.log.Info("snapshot used before a leader is known", "version", s.ConfigVersion(), "term", s.Term, "revision", s.Revision, "upstreams", len(s.Upstreams))
	m.snapshotChanged(before, now)
	m.publish(now)
}

// handleNotice requests a report. If the notice names a leader of a newer term,
// or this instance has no contact with the leader, the report is sent to the
// named leader, and a report that is in flight to another one is aborted.
func (m *Member) handleNotice(n azurestair.SnapshotNotice, now time.Time) {
	if m.fleet.Conflicts(n.Fleet) {
		m.logOtherFleet(n.Leader, n.Fleet, now)
		return
	}
	if n.Leader == "" && n.Source != "" {
		if m.term == 0 && m.learnSource != nil {
			m.learnSource(peer.Address{ID: n.Source, Addr: n.Addr})
		}
		return
	}
	isNews := n.Term > m.term || (n.Term == m.term && !m.leaderReached)
	if isNews && n.Leader != "" && m.followLeader != nil {
		m.followLeader(peer.Address{ID: n.Leader, Addr: n.Addr})
	}
	m.requestReport()
}

// logOtherFleet logs a leader of another fleet that is not followed.
func (m *Member) logOtherFleet(leader azurestair.InstanceID, fleet azurestair.FleetID, now time.Time) {
	if now.Sub(m.otherFleetLoggedAt) < repeatedLogInterval {
		return
	}
	m.otherFleetLoggedAt = now
	m.log.Warn("leader of another fleet not followed", "leader", leader, "theirFleet", fleet, "fleet", m.fleet)
}
