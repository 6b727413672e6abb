package instance

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/raft"
)

// lead keeps the leader's soft state and publishes a snapshot when it has changed.
// held and inherited are the snapshot and the budgets that this instance had
// from the predecessor.
func (r *Replica) lead(now time.Time, held *azurestair.Snapshot, inherited []azurestair.Grant) {
	if _, err := r.node.ReadIndex(now); err != nil {
		return
	}
	term := r.node.Status().Term
	if r.leading != term {
		r.leading = term
		r.registry = &control.Registry{Lease: r.lease}
		if r.roster != nil {
			r.roster = &control.Roster{Voters: r.roster.Voters}
		}
		r.publisher = &control.Publisher{}
		r.allocator = &control.Allocator{}
		r.reports = &control.ReportReceiver{}
		if r.state.Config().Version == 0 {
			// Without a configuration no predecessor can have listed or leased anything.
			held = &azurestair.Snapshot{}
		} else {
			r.allocator.Quiet(now.Add(control.QuietTime))
		}
		if held == nil && r.keepsListing {
			held = r.state.LastListing()
		}
		r.registry.Seed(held, now)
		for _, d := range r.state.Departures() {
			r.registry.Depart(d, now)
		}
		r.allocator.Inherit(inherited)
		r.limited = nil
		r.log.Info("leading", "term", term, "commit", r.state.Applied())
	}
	r.registry.Expire(now)
	r.publish(now)
	r.listHolders(now)
	r.keepRoster(now)
	r.keepListing(now)
}

// listingEvery bounds how often the list of upstreams is written to the log.
const listingEvery = 250 * time.Millisecond

// keepListing has the log follow which upstreams the registry lists. Nobody
// waits for it: until it is applied, the next leader misses the latest change.
func (r *Replica) keepListing(now time.Time) {
	if !r.keepsListing || now.Before(r.listingAt) || r.registry.WarmingUp(now) {
		return
	}
	r.listingAt = now.Add(listingEvery)
	if change, ok := r.state.ListingChange(r.registry); ok {
		r.propose(proposeEvent{command: azurestair.Command{Listing: &change}, reply: make(chan proposeReply, 1)}, now)
	}
}

// listHolders proposes the changes of the list of holders that are due. Nobody
// waits for them: the list shows what was applied.
func (r *Replica) listHolders(now time.Time) {
	for _, change := range r.allocator.HolderChanges(now) {
		r.propose(proposeEvent{command: azurestair.Command{Holder: &change}, reply: make(chan proposeReply, 1)}, now)
		r.log.Info("holder list change proposed", "holder", change.Instance, "removed", change.Removed)
	}
}

func (r *Replica) publish(now time.Time) {
	prev := r.publisher.Current()
	snap, changed := r.publisher.Publish(control.Source{
		Term: r.leading, Commit: r.state.Applied(), Config: r.publishedConfig(), Drains: r.state.Drains(), Registry: r.registry,
	}, now)
	if snap != nil && snap != r.limited {
		r.setLimits(snap, now)
	}
	if !changed {
		return
	}
	r.logPlans(snap)
	if isUrgent(prev, snap) {
		r.notifier.notify(snap.Term, snap.Instances)
	}
}

// logPlans logs the plans of regions when they have changed, at most once a
// second as the planner steps.
func (r *Replica) logPlans(s *azurestair.Snapshot) {
	var b strings.Builder
	for _, p := range s.Plans {
		fmt.Fprintf(&b, "%s/%s:", p.Service, p.Region)
		for _, share := range p.Shares {
			fmt.Fprintf(&b, " %s=%.2f", share.Region, share.Share)
		}
		b.WriteString("; ")
	}
	if text := strings.TrimSuffix(b.String(), "; "); text != r.saidPlans {
		r.saidPlans = text
		r.log.Info("plan of regions changed", "shares", text, "revision", s.Revision)
	}
}

// publishedConfig returns the configuration in effect without its document,
// which only reads at the leader need. One version has one pointer, by which
// the publisher tells versions apart.
func (r *Replica) publishedConfig() *azurestair.Config {
	cfg := r.state.Config()
	if len(cfg.Document) == 0 {
		return cfg
	}
	if r.published == nil || r.published.Version != cfg.Version {
		c := *cfg
		c.Document = nil
		r.published = &c
	}
	return r.published
}

// grants answers the demands of a report. What a report says of held leases
// counts only if its sender has heard this leader before: then the predecessor
// had stopped to grant when the report was sent. Until then the sender keeps
// what the predecessor granted. The caller has checked that all entries of
// earlier terms are applied, as the list of holders requires.
func (r *Replica) grants(q azurestair.Report, now time.Time) []azurestair.Grant {
	heard := q.HeldTerm == r.leading
	demands := q.Demands
	if !heard {
		demands = slices.Clone(demands)
		for i := range demands {
			demands[i].Held = 0
		}
	}
	r.allocator.SetHolders(r.state.Holders(), now)
	grants := r.allocator.Demand(q.Instance.ID, q.Instance.Incarnation, demands, now)
	if !heard && r.allocator.IsQuiet(now) {
		return nil
	}
	return grants
}

// setLimits derives the budgets' limits from a new snapshot.
func (r *Replica) setLimits(snap *azurestair.Snapshot, now time.Time) {
	r.limited = snap
	limits := control.LimitsFor(snap, control.DefaultMaxHolders)
	if err := r.allocator.SetLimits(limits, now); err != nil {
		r.log.Error("budgets not limited", "err", err)
	}
}

// isUrgent reports whether instances should fetch the snapshot at once rather
// than with their next report; load reports and versions in force can wait.
func isUrgent(prev, next *azurestair.Snapshot) bool {
	if prev == nil || prev.ConfigVersion() != next.ConfigVersion() || !slices.Equal(prev.Drains, next.Drains) {
		return true
	}
	if len(prev.Upstreams) != len(next.Upstreams) || len(prev.Instances) != len(next.Instances) {
		return true
	}
	for i, u := range next.Upstreams {
		p := prev.Upstreams[i]
		if u.Announcement.Upstream != p.Announcement.Upstream || u.Announcement.State != p.Announcement.State ||
			u.Announcement.Addr != p.Announcement.Addr {
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

// report answers an instance's report.
func (r *Replica) report(q azurestair.Report, now time.Time) (azurestair.ReportReply, error) {
	var reply azurestair.ReportReply
	if err := r.readable(now); err != nil {
		return reply, err
	}
	if r.leading != r.node.Status().Term {
		return reply, fmt.Errorf("%w: the leader is starting", azurestair.ErrNoQuorum)
	}
	q, known := r.reports.Expand(q)
	if !known {
		return azurestair.ReportReply{Term: r.leading, Resend: true}, nil
	}
	if known := r.incarnationOf(q.Instance.ID); q.Instance.Incarnation < known {
		return azurestair.ReportReply{Term: r.leading, Superseded: known}, nil
	}
	if q.Leaving {
		r.registry.InstanceLeaving(q.Instance.ID, now)
		r.allocator.Leave(q.Instance.ID, q.Instance.Incarnation)
	} else if err := r.registry.Instance(q.Instance, now); err != nil {
		return reply, err
	}
	held := q.HeldRevision
	if q.HeldTerm != r.leading {
		held = 0
	}
	r.registry.SetHeld(q.Instance.ID, held)
	r.registry.SetTraffic(q.Instance.ID, q.Traffic)
	for _, a := range q.Announcements {
		if err := r.registry.Announce(a, now); err != nil {
			r.log.Warn("announcement rejected", "upstream", a.Upstream, "from", q.Instance.ID, "err", err)
		}
	}
	reply.Unknown = r.registry.Alive(q.Alive, now)
	r.publish(now)
	r.reports.Shorten(q, r.grants(q, now), &reply)
	r.listHolders(now)
	reply.Term = r.leading
	reply.ControlTTLMs = controlTTL
	reply.Delta, reply.Snapshot = r.publisher.Delta(q.HeldTerm, q.HeldRevision)
	return reply, nil
}

// incarnationOf returns the latest incarnation of an instance that has reported.
func (r *Replica) incarnationOf(id azurestair.InstanceID) azurestair.Incarnation {
	return max(r.registry.Incarnation(id), r.allocator.Incarnation(id))
}

// departureStatus returns how far a departure has spread. An instance that does
// not lead, or is starting to, knows of no entry that holds it.
func (r *Replica) departureStatus(d azurestair.Departure, now time.Time) control.DepartureStatus {
	if !r.node.IsLeader() || r.leading != r.node.Status().Term {
		return control.DepartureStatus{}
	}
	r.publish(now)
	if r.publisher.Current() == nil {
		return control.DepartureStatus{}
	}
	return r.registry.DepartureStatus(d, r.publisher.ShownBy(r.registry), now)
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
	return res
}

// ackedLately is how recently a follower must have answered to be handed the
// leadership; heartbeats leave four times in it.
const ackedLately = time.Second

// handOver passes the leadership to the follower that has most of the log. It
// returns false when there is nothing to pass on.
func (r *Replica) handOver(now time.Time) bool {
	st := r.node.Status()
	if !r.node.IsLeader() || len(st.Membership.Voters) < 2 {
		return false
	}
	var best raft.FollowerStatus
	for _, f := range st.Followers {
		if !f.Learner && now.Sub(f.AckedAt) < ackedLately && f.Match >= best.Match {
			best = f
		}
	}
	if err := r.node.TransferLeadership(best.ID, now); err != nil {
		r.log.Debug("leadership not passed on", "to", best.ID, "err", err)
	}
	return true
}
