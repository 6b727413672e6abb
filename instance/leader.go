package instance

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/peer"
	"azurestair.example/azurestair/raft"
)

// updateLeaderState maintains the leader's soft state and publishes a new
// snapshot when it has changed. held and inherited are the snapshot and the
// grants that this instance received from the previous leader.
func (r *Replica) updateLeaderState(now time.Time, held *azurestair.Snapshot, inherited []azurestair.Grant) {
	if _, err := r.node.ReadIndex(now); err != nil {
		return
	}
	st := r.node.Status()
	if term := st.Term; r.leaderTerm != term {
		r.leaderTerm = term
		r.registry = &control.Registry{Lease: r.upstreamLease}
		if r.membershipPlanner != nil {
			r.membershipPlanner = &control.MembershipPlanner{Voters: r.membershipPlanner.Voters, LeaderContactAt: st.LeaderContactAt}
		}
		r.publisher = &control.Publisher{}
		r.allocator = &control.Allocator{}
		r.reportReceiver = &control.ReportReceiver{}
		if r.state.Config().Version == 0 {
			// Without a configuration, no previous leader can have listed
			// upstreams or granted leases.
			held = &azurestair.Snapshot{}
		} else {
			r.allocator.StartGracePeriod(now.Add(control.GracePeriod))
		}
		if r.persistListing && (held == nil || r.heldIsProvisional) {
			// The log may list upstreams that the held snapshot lacks.
			held = r.state.ListingSnapshot(held)
		}
		r.registry.Seed(held, now)
		for _, d := range r.state.Departures() {
			r.registry.MarkDeparted(d, now)
		}
		r.allocator.Inherit(inherited)
		r.limitsSnapshot = nil
		r.contacts.startTerm(r.registry.Instances(), now)
		r.log.Info("leading", "term", term, "commit", r.state.Applied())
	}
	r.registry.Expire(now)
	r.publish(now)
	r.updateQuotas(now)
	r.introduce(now)
	r.proposeHolderChanges(now)
	r.maintainMembership(now)
	r.proposeListingChange(now)
}

// introduce tells instances that do not report who the leader is.
func (r *Replica) introduce(now time.Time) {
	for _, c := range r.contacts.introducer.Due(now) {
		r.log.Debug("leader introduced", "to", c.ID, "addr", c.Addr, "term", r.leaderTerm)
		r.notifier.introduce(peer.Address{ID: c.ID, Addr: c.Addr}, r.notice(r.leaderTerm))
	}
}

// notice returns the notice of this leader in a term.
func (r *Replica) notice(term azurestair.Term) azurestair.SnapshotNotice {
	return azurestair.SnapshotNotice{Leader: r.self, Term: term, Addr: r.contacts.self, Fleet: r.state.Fleet()}
}

// listingInterval is the minimum time between writes of the upstream list to
// the log.
const listingInterval = 250 * time.Millisecond

// proposeListingChange updates the upstream list in the log to match the
// registry. Nothing waits for the update: a leader elected before it is applied
// misses the latest change.
func (r *Replica) proposeListingChange(now time.Time) {
	if !r.persistListing || now.Before(r.nextListingAt) || r.registry.WarmingUp(now) {
		return
	}
	r.nextListingAt = now.Add(listingInterval)
	if change, ok := r.state.UpstreamListDiff(r.registry); ok {
		r.propose(proposeEvent{command: azurestair.Command{UpstreamList: &change}, reply: make(chan proposeReply, 1)}, now)
	}
}

// proposeHolderChanges proposes the pending changes of the holder list. Nothing
// waits for them: only applied changes appear in the list.
func (r *Replica) proposeHolderChanges(now time.Time) {
	for _, change := range r.allocator.HolderChanges(now) {
		r.propose(proposeEvent{command: azurestair.Command{HolderChange: &change}, reply: make(chan proposeReply, 1)}, now)
		r.log.Info("holder list change proposed", "holder", change.Instance, "removed", change.Removed)
	}
}

func (r *Replica) publish(now time.Time) {
	prev := r.publisher.Current()
	snap, changed := r.publisher.Publish(control.SnapshotSource{
		Term: r.leaderTerm, Commit: r.state.Applied(), Config: r.publishedConfig(), Drains: r.state.Drains(), Registry: r.registry,
		Fleet: r.state.Fleet(),
	}, now)
	if snap != nil && snap != r.limitsSnapshot {
		r.setLimits(snap, now)
	}
	if !changed {
		return
	}
	r.logPlans(snap)
	r.logObjectPlans(prev, snap, now)
	if needsNotice(prev, snap) {
		r.notifier.notify(r.notice(snap.Term), snap.Instances)
	}
}

// logPlans logs the region plans when they have changed. The planner runs at
// most once a second.
func (r *Replica) logPlans(s *azurestair.Snapshot) {
	var b strings.Builder
	for _, p := range s.Plans {
		fmt.Fprintf(&b, "%s/%s:", p.Service, p.Region)
		for _, share := range p.Shares {
			fmt.Fprintf(&b, " %s=%.2f", share.Region, share.Share)
		}
		b.WriteString("; ")
	}
	if text := strings.TrimSuffix(b.String(), "; "); text != r.loggedPlans.regions {
		r.loggedPlans.regions = text
		r.log.Info("plan of regions changed", "shares", text, "revision", s.Revision)
	}
}

// publishedConfig returns the effective configuration without its document,
// which is needed only for reads at the leader. Each version has exactly one
// pointer, because the publisher compares versions by pointer.
func (r *Replica) publishedConfig() *azurestair.Config {
	cfg := r.state.Config()
	if len(cfg.Document) == 0 {
		return cfg
	}
	if r.publishedCfg == nil || r.publishedCfg.Version != cfg.Version {
		c := *cfg
		c.Document = nil
		r.publishedCfg = &c
	}
	return r.publishedCfg
}

// grants answers the demands of a report. The leases listed in a report count
// only if its sender already held a snapshot of this leader's term, because the
// previous leader had then stopped granting before the report was sent. Until
// then, the sender keeps the grants of the previous leader. The caller has
// checked that all entries of earlier terms are applied, as the holder list
// requires.
func (r *Replica) grants(report azurestair.Report, now time.Time) []azurestair.Grant {
	heldFromThisTerm := report.SnapshotTerm == r.leaderTerm
	demands := report.Demands
	if !heldFromThisTerm {
		demands = slices.Clone(demands)
		for i := range demands {
			demands[i].Leased = 0
		}
	}
	r.allocator.SetHolders(r.state.Holders(), now)
	grants := r.allocator.Grant(report.Instance.ID, report.Instance.Incarnation, demands, now)
	if !heldFromThisTerm && r.allocator.InGracePeriod(now) {
		return nil
	}
	return grants
}

// setLimits derives the budget limits from a new snapshot.
func (r *Replica) setLimits(snap *azurestair.Snapshot, now time.Time) {
	r.limitsSnapshot = snap
	limits := control.LimitsFromSnapshot(snap, control.DefaultMaxHolders)
	if err := r.allocator.SetLimits(limits, now); err != nil {
		r.log.Error("budgets not limited", "err", err)
	}
}

// needsNotice reports whether instances should fetch the snapshot at once
// rather than with their next report. Changes of load, upstreams that have
// become warm, and the configuration versions that instances report as in force
// can wait.
func needsNotice(prev, next *azurestair.Snapshot) bool {
	if prev == nil || prev.ConfigVersion() != next.ConfigVersion() || !slices.Equal(prev.Drains, next.Drains) {
		return true
	}
	if len(prev.Upstreams) != len(next.Upstreams) || len(prev.Instances) != len(next.Instances) {
		return true
	}
	for i, u := range next.Upstreams {
		if needsNoticeOf(prev.Upstreams[i], u) {
			return true
		}
	}
	for i, n := range next.Instances {
		if n.ID != prev.Instances[i].ID || n.Ready != prev.Instances[i].Ready {
			return true
		}
	}
	return false
}

// needsNoticeOf reports whether entries should learn of a change of an upstream
// at once. An entry sends requests at the full rate to an upstream that it takes
// for the earlier, warm process.
func needsNoticeOf(before, after azurestair.UpstreamInfo) bool {
	prev, next := before.Announcement, after.Announcement
	return next.Upstream != prev.Upstream || next.State != prev.State || next.Addr != prev.Addr ||
		next.Incarnation != prev.Incarnation || next.ColdMs > prev.ColdMs || after.ColdEnd.After(before.ColdEnd)
}

// report answers an instance's report.
func (r *Replica) report(report azurestair.Report, now time.Time) (azurestair.ReportReply, error) {
	var reply azurestair.ReportReply
	if err := r.checkReadable(now); err != nil {
		return reply, err
	}
	if r.leaderTerm != r.node.Status().Term {
		return reply, fmt.Errorf("%w: the leader is starting", azurestair.ErrNoQuorum)
	}
	if r.state.Fleet().Conflicts(report.Fleet) {
		return reply, fmt.Errorf("%w: %s belongs to fleet %s", azurestair.ErrOtherFleet, report.Instance.ID, report.Fleet)
	}
	if report.Sender != 0 {
		// An instance that is refused drops out of lookups.
		if err := r.state.Config().CheckProgram(report.Sender); err != nil {
			return reply, err
		}
	}
	report, known := r.reportReceiver.Expand(report)
	if !known {
		return azurestair.ReportReply{Term: r.leaderTerm, Resend: true}, nil
	}
	if latest := r.incarnationOf(report.Instance.ID); report.Instance.Incarnation < latest {
		return azurestair.ReportReply{Term: r.leaderTerm, SupersededBy: latest}, nil
	}
	r.contacts.introducer.MarkHeard(report.Instance.PeerAddr, now)
	if report.Leaving {
		r.registry.RemoveInstance(report.Instance.ID, now)
		r.allocator.MarkDeparted(report.Instance.ID, report.Instance.Incarnation)
	} else if err := r.registry.UpdateInstance(report.Instance, now); err != nil {
		return reply, err
	}
	held := report.SnapshotRevision
	if report.SnapshotTerm != r.leaderTerm {
		held = 0
	}
	r.registry.SetHeldRevision(report.Instance.ID, held)
	r.registry.SetTraffic(report.Instance.ID, report.Traffic)
	r.registry.SetObjects(report.Instance.ID, report.Objects, now)
	for _, a := range report.Announcements {
		if err := r.registry.Announce(a, now); err != nil {
			r.log.Warn("announcement rejected", "upstream", a.Upstream, "from", report.Instance.ID, "err", err)
		}
	}
	reply.Unknown = r.registry.RenewLeases(report.Alive, now)
	r.publish(now)
	r.reportReceiver.SetGrants(report, r.grants(report, now), &reply)
	r.proposeHolderChanges(now)
	reply.Term, reply.NewestConfig = r.leaderTerm, r.state.Config().Version
	reply.ControlTTLMs = controlTTL
	reply.Delta, reply.Snapshot = r.publisher.Delta(report.SnapshotTerm, report.SnapshotRevision)
	return reply, nil
}

// incarnationOf returns the latest known incarnation of an instance.
func (r *Replica) incarnationOf(id azurestair.InstanceID) azurestair.Incarnation {
	return max(r.registry.Incarnation(id), r.allocator.Incarnation(id))
}

// departureStatus returns how far a departure has been propagated. An instance
// that is not the leader, or has only just become the leader, reports that no
// entry holds it.
func (r *Replica) departureStatus(d azurestair.Departure, now time.Time) control.DepartureStatus {
	if !r.node.IsLeader() || r.leaderTerm != r.node.Status().Term {
		return control.DepartureStatus{}
	}
	r.publish(now)
	if r.publisher.Current() == nil {
		return control.DepartureStatus{}
	}
	return r.registry.DepartureStatus(d, r.publisher.RevisionWithListing(r.registry), now)
}

// query reads parts of the control state.
func (r *Replica) query(q control.Query, now time.Time) control.QueryResult {
	res := r.state.Query(q)
	if q.Departure != nil {
		status := r.departureStatus(*q.Departure, now)
		res.Departure = &status
	}
	if q.Instances && r.registry != nil {
		res.Instances = r.registry.Instances()
	}
	if q.Quotas {
		res.Quotas = r.quotaStatus(now)
	}
	return res
}

// recentAckWindow is how recently a follower must have responded to be a
// candidate for a leadership transfer. A leader sends four heartbeats in this
// time.
const recentAckWindow = time.Second

// transferLeadership transfers the leadership to the follower with the most
// complete log. It returns false if this instance is not the leader or is the
// only voter.
func (r *Replica) transferLeadership(now time.Time) bool {
	st := r.node.Status()
	if !r.node.IsLeader() || len(st.Membership.Voters) < 2 {
		return false
	}
	var best raft.FollowerStatus
	for _, f := range st.Followers {
		if !f.Learner && now.Sub(f.AckedAt) < recentAckWindow && f.Match >= best.Match {
			best = f
		}
	}
	if err := r.node.TransferLeadership(best.ID, now); err != nil {
		r.log.Debug("leadership not passed on", "to", best.ID, "err", err)
	}
	return true
}
