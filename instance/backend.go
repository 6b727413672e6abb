package instance

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/operator"
	"azurestair.example/azurestair/upstream"
)

// backend implements the operations of the administration API.
type backend struct{ p *Process }

// Propose submits a change to the leader.
func (b *backend) Propose(ctx context.Context, c azurestair.Command) (azurestair.Result, error) {
	return b.p.peerClient.Propose(ctx, c)
}

// Query reads the control state from the leader.
func (b *backend) Query(ctx context.Context, q control.Query) (control.QueryResult, error) {
	return b.p.peerClient.Query(ctx, q)
}

// Ready returns nil if lookups may return this instance, and otherwise the
// reason why not.
func (b *backend) Ready() error {
	if b.p.entry == nil {
		return nil
	}
	return b.p.entry.Ready()
}

// statusTimeout bounds the wait for the control goroutine.
const statusTimeout = time.Second

// Status returns the state of this instance.
func (b *backend) Status(ctx context.Context) operator.Status {
	now := b.p.options.LeaseClock.Now()
	st := operator.Status{
		Self: b.p.self, Protocol: b.p.versions.Own(), VersionMismatch: b.p.versions.Mismatches(),
		Refusals: map[azurestair.Reason]int64{}, Outcomes: map[azurestair.Outcome]int64{},
	}
	if b.p.entry != nil {
		b.addTrafficStatus(&st, now)
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	if r, err := b.p.controller.ReplicaStatus(ctx); err == nil && r.Raft.ID != "" {
		st.Replica = replicaStatus(r)
		st.Leader = r.Raft.Leader
	}
	st.Workspaces = b.quotaStatus(ctx)
	return st
}

func (b *backend) addTrafficStatus(st *operator.Status, now time.Time) {
	for name, n := range b.p.metrics.counters(reasonPrefix) {
		st.Refusals[azurestair.Reason(name)] = n
	}
	for name, n := range b.p.metrics.counters(outcomePrefix) {
		st.Outcomes[azurestair.Outcome(name)] = n
	}
	v := b.p.entry.view.Load()
	if v == nil {
		return
	}
	s := v.snapshot
	st.Term, st.Commit, st.ConfigVersion = s.Term, s.Commit, s.ConfigVersion()
	st.Current = v.isCurrent(now)
	st.Self.Ready, st.Self.ActiveConfig = b.p.entry.isReady(now), s.ConfigVersion()
	st.Instances, st.Drains = s.Instances, s.Drains
	for _, u := range s.Upstreams {
		a := u.Announcement
		st.Upstreams = append(st.Upstreams, operator.UpstreamStatus{
			Announcement: a, Confirmed: u.Confirmed, Drained: s.IsUpstreamDrained(a),
		})
	}
	st.Budgets = budgets(v, now)
	dispatchers := b.p.entry.allDispatchers()
	for _, name := range slices.Sorted(maps.Keys(dispatchers)) {
		st.Services = append(st.Services, dispatchers[name].status(name))
	}
}

func budgets(v *view, now time.Time) []operator.Budget {
	var out []operator.Budget
	for r, l := range v.leases {
		out = append(out, operator.Budget{
			Resource: r.String(), Usable: v.leases.Limit(r, now), Floor: l.Floor, Leased: now.Before(l.Deadline),
		})
	}
	slices.SortFunc(out, func(a, b operator.Budget) int { return cmp.Compare(a.Resource, b.Resource) })
	return out
}

func replicaStatus(r ReplicaStatus) *operator.ReplicaStatus {
	out := &operator.ReplicaStatus{
		State: r.Raft.Role.String(), Term: r.Raft.Term, Leader: r.Raft.Leader, Commit: r.Raft.Commit,
		Applied: r.Raft.Applied, Members: r.Raft.Membership, Claims: r.Claims, Joining: r.Raft.Joining,
		Match: map[azurestair.InstanceID]azurestair.Index{}, RequiredVersion: r.RequiredVersion, Versions: r.Versions,
		StoreFull: r.StoreFull,
	}
	for _, f := range r.Raft.Followers {
		out.Match[f.ID] = f.Match
	}
	return out
}

// announcementReceiver accepts announcements from upstreams.
type announcementReceiver struct{ p *Process }

// announceTimeout bounds the wait for the control goroutine.
const announceTimeout = 500 * time.Millisecond

// Announce passes an announcement to the control goroutine.
func (a *announcementReceiver) Announce(an azurestair.Announcement) (upstream.AnnounceReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if err := a.p.controller.Announce(ctx, an); err != nil {
		return upstream.AnnounceReply{}, err
	}
	return upstream.AnnounceReply{
		AnnounceEveryMs: azurestair.MillisOf(upstream.AnnounceInterval),
		LeaseMs:         azurestair.MillisOf(control.UpstreamLease),
		Entries:         a.p.entry.announceTargets(an.Upstream),
		Drained:         a.p.entry.isDrained(an),
	}, nil
}
