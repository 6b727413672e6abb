// Package control holds the decisions of the control instances. This part is
// the leader's soft state: the Registry of upstreams and instances, the
// Publisher that turns control state into snapshots and deltas with the plans of
// a Planner, and the Allocator that leases budgets to entry instances, which a
// Holder keeps.
//
// Everything is driven by calls that take a time, from one goroutine.
package control

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// Times of the registry.
const (
	// UpstreamLease is how long an upstream stays confirmed after its last sign of life.
	UpstreamLease = 3 * time.Second
	// InstanceLease is how long an instance stays listed after its last report.
	InstanceLease = 3 * time.Second
	// SuspectBound is how long an upstream stays listed, unconfirmed, when so
	// many leases of its service lapse together that the listener is suspect.
	SuspectBound = 30 * time.Second
	// memoryBound is how long a removed upstream or instance is remembered, so
	// that a delayed older message does not list it again.
	memoryBound = 30 * time.Second
)

// Default limits on the size of a Registry.
const (
	DefaultMaxUpstreams = 4096
	DefaultMaxInstances = 1024
)

// Registry is what the leader knows of upstreams and instances, from reports.
// It is soft state: a new leader starts with the list of its last snapshot,
// unconfirmed, and learns the rest within one announce interval.
//
// An upstream whose lease lapses stays listed as unconfirmed for another lease
// time, because only then it is known whether its whole service lapsed with
// it. If more than half of the service's upstreams have lapsed, the listener
// is suspected and they stay until SuspectBound.
//
// The zero value is an empty registry.
type Registry struct {
	// MaxUpstreams and MaxInstances bound the records; zero means the default.
	MaxUpstreams, MaxInstances int
	// Lease is how long an upstream stays confirmed; zero means UpstreamLease.
	Lease time.Duration

	upstreams map[azurestair.UpstreamID]*upstreamRecord
	instances map[azurestair.InstanceID]*instanceRecord
	// suspectUntil holds, for a service with a suspect listener, the time
	// until which its lapsed upstreams are spared.
	suspectUntil map[azurestair.ServiceName]time.Time
	// atAddr holds the upstream that was last listed at each address.
	atAddr map[string]azurestair.UpstreamID
	// departed holds the incarnations of upstreams that take no more work.
	departed  map[azurestair.UpstreamID]*departureRecord
	warmUntil time.Time
	seeded    bool
	// seededPlans is what the predecessor published.
	seededPlans []azurestair.RegionPlan
	// next is a lower bound of the next deadline; extending a lease leaves it.
	next time.Time
	// listing counts changes that are published at once, soft the others.
	listing, soft uint64
}

type upstreamRecord struct {
	info azurestair.UpstreamInfo
	// until is the end of the lease, or of the memory of an unlisted record.
	until  time.Time
	listed bool
}

type instanceRecord struct {
	info azurestair.InstanceInfo
	// traffic is what the requests that reach the instance ask for.
	traffic []azurestair.Traffic
	until   time.Time
	listed  bool
	// held is the revision that the instance has last said to hold.
	held azurestair.Revision
	// seeded is true until the instance reports to this leader.
	seeded bool
}

// Seed starts a new leader's registry from the last snapshot that the instance
// holds, which may be nil. For one lease time the registry is warming up.
func (r *Registry) Seed(s *azurestair.Snapshot, now time.Time) {
	r.warmUntil = now.Add(r.lease())
	r.wakeAt(r.warmUntil)
	r.listing++
	if s == nil {
		return
	}
	r.seeded, r.seededPlans = true, s.Plans
	r.init()
	for _, u := range s.Upstreams {
		u.Confirmed = false
		r.upstreams[u.Announcement.Upstream] = &upstreamRecord{info: u, until: now.Add(r.lease()), listed: true}
		r.holdAddr(u.Announcement)
	}
	for _, i := range s.Instances {
		r.instances[i.ID] = &instanceRecord{info: i, until: now.Add(InstanceLease), listed: true, seeded: true}
	}
}

func (r *Registry) lease() time.Duration {
	if r.Lease > 0 {
		return r.Lease
	}
	return UpstreamLease
}

func (r *Registry) init() {
	if r.upstreams == nil {
		r.upstreams = map[azurestair.UpstreamID]*upstreamRecord{}
		r.instances = map[azurestair.InstanceID]*instanceRecord{}
		r.suspectUntil = map[azurestair.ServiceName]time.Time{}
		r.atAddr = map[string]azurestair.UpstreamID{}
	}
}

// WarmingUp reports whether the registry may still lack what its predecessor listed.
func (r *Registry) WarmingUp(now time.Time) bool { return now.Before(r.warmUntil) }

// Announce takes over an announcement, unless it is older than the known one.
// A repeat of the known one extends its lease. An upstream that announces an
// address has replaced those that started before it at that address.
func (r *Registry) Announce(a azurestair.Announcement, now time.Time) error {
	r.init()
	if r.isReplaced(a, now) {
		return nil
	}
	rec := r.upstreams[a.Upstream]
	if rec == nil {
		if err := r.makeRoom(); err != nil {
			return err
		}
		rec = &upstreamRecord{}
		r.upstreams[a.Upstream] = rec
	}
	if d := r.departed[a.Upstream]; d != nil && a.Incarnation <= d.incarnation && a.State == azurestair.StateServing {
		a.State = azurestair.StateDraining
	}
	old := rec.info.Announcement
	if old.Newer(a) || (old.State == azurestair.StateLeaving && !a.Newer(old)) {
		return nil
	}
	switch {
	case !rec.listed || !rec.info.Confirmed || !old.IsRepeated(a):
		r.listing++
	case old.Load != a.Load:
		r.soft++
	}
	r.replace(a, now)
	rec.info = azurestair.UpstreamInfo{Announcement: a, Confirmed: true}
	rec.listed = true
	rec.until = now.Add(r.lease())
	r.wakeAt(rec.until)
	return nil
}

// Depart ends new work for an upstream, whatever its later announcements say.
func (r *Registry) Depart(d azurestair.Departure, now time.Time) {
	r.init()
	if r.departed == nil {
		r.departed = map[azurestair.UpstreamID]*departureRecord{}
	}
	last := r.departed[d.Upstream]
	if last != nil && last.incarnation >= d.Incarnation {
		return
	}
	r.departed[d.Upstream] = &departureRecord{incarnation: d.Incarnation, at: now}
	rec := r.upstreams[d.Upstream]
	if last != nil && rec != nil && rec.info.Announcement.State != azurestair.StateServing {
		// The upstream departs already; it only gave no start this time.
		r.departed[d.Upstream].at, r.departed[d.Upstream].shown = last.at, last.shown
	}
	if rec == nil || rec.info.Announcement.Incarnation > d.Incarnation || rec.info.Announcement.State != azurestair.StateServing {
		return
	}
	rec.info.Announcement.State = azurestair.StateDraining
	r.listing++
}

// makeRoom makes room for one upstream record by dropping one that is only remembered.
func (r *Registry) makeRoom() error {
	limit := orDefault(r.MaxUpstreams, DefaultMaxUpstreams)
	if len(r.upstreams) < limit {
		return nil
	}
	for id, rec := range r.upstreams {
		if !rec.listed {
			delete(r.upstreams, id)
			r.freeAddr(rec.info.Announcement)
			return nil
		}
	}
	return fmt.Errorf("%w: the registry holds %d upstreams", azurestair.ErrFull, limit)
}

func orDefault(n, d int) int {
	if n > 0 {
		return n
	}
	return d
}

// Alive extends the leases of upstreams whose announcements have not changed.
// It returns the ids that the registry does not list.
func (r *Registry) Alive(ids []azurestair.UpstreamID, now time.Time) (unknown []azurestair.UpstreamID) {
	for _, id := range ids {
		rec := r.upstreams[id]
		if rec == nil || !rec.listed {
			unknown = append(unknown, id)
			continue
		}
		if rec.info.Announcement.State == azurestair.StateLeaving {
			continue
		}
		if !rec.info.Confirmed {
			rec.info.Confirmed = true
			r.listing++
		}
		rec.until = now.Add(r.lease())
	}
	return unknown
}

// Instance takes over an instance's description of itself, unless a later
// incarnation has reported or this one has announced its end.
func (r *Registry) Instance(info azurestair.InstanceInfo, now time.Time) error {
	r.init()
	rec := r.instances[info.ID]
	if rec == nil {
		limit := orDefault(r.MaxInstances, DefaultMaxInstances)
		if len(r.instances) >= limit {
			return fmt.Errorf("%w: the registry holds %d instances", azurestair.ErrFull, limit)
		}
		rec = &instanceRecord{}
		r.instances[info.ID] = rec
	}
	inc := rec.info.Incarnation
	if info.Incarnation < inc || (!rec.listed && info.Incarnation == inc && !rec.until.IsZero()) {
		return nil
	}
	switch {
	case !rec.listed || !sameInstance(rec.info, info):
		r.listing++
	case rec.info != info:
		r.soft++
	}
	rec.info, rec.listed, rec.seeded = info, true, false
	rec.until = now.Add(InstanceLease)
	r.wakeAt(rec.until)
	return nil
}

// sameInstance reports whether two descriptions differ at most in the version
// in effect, which all instances report after each change of configuration.
func sameInstance(a, b azurestair.InstanceInfo) bool {
	a.InForce = b.InForce
	return a == b
}

// Incarnation returns the latest incarnation that has reported as an instance; zero if none is known.
func (r *Registry) Incarnation(id azurestair.InstanceID) azurestair.Incarnation {
	if rec := r.instances[id]; rec != nil {
		return rec.info.Incarnation
	}
	return 0
}

// InstanceLeaving removes an instance that has announced its end.
func (r *Registry) InstanceLeaving(id azurestair.InstanceID, now time.Time) {
	rec := r.instances[id]
	if rec == nil || !rec.listed {
		return
	}
	rec.listed = false
	rec.until = now.Add(memoryBound)
	r.listing++
}

// wakeAt lowers the next deadline to t.
func (r *Registry) wakeAt(t time.Time) {
	if r.next.IsZero() || t.Before(r.next) {
		r.next = t
	}
}

// NextDeadline returns when Expire must be called next; zero if never. It may
// be earlier than the next change.
func (r *Registry) NextDeadline() time.Time { return r.next }

// Expire takes back what has lapsed.
func (r *Registry) Expire(now time.Time) {
	if r.next.IsZero() || now.Before(r.next) {
		return
	}
	r.next = time.Time{}
	if r.WarmingUp(now) {
		r.wakeAt(r.warmUntil)
	}
	r.expireInstances(now)
	r.lapse(now)
	r.suspect(now)
	r.drop(now)
}

func (r *Registry) expireInstances(now time.Time) {
	for id, rec := range r.instances {
		switch {
		case now.Before(rec.until):
			r.wakeAt(rec.until)
		case rec.listed:
			delete(r.instances, id)
			r.listing++
		default:
			delete(r.instances, id)
		}
	}
}

// lapse marks upstreams whose lease has run out.
func (r *Registry) lapse(now time.Time) {
	for _, rec := range r.upstreams {
		if rec.listed && rec.info.Confirmed && !now.Before(rec.until) {
			rec.info.Confirmed = false
			r.listing++
		}
	}
}

// suspect spares the lapsed upstreams of a service while they are more than half of it.
func (r *Registry) suspect(now time.Time) {
	total, lapsed := map[azurestair.ServiceName]int{}, map[azurestair.ServiceName]int{}
	for _, rec := range r.upstreams {
		if !rec.listed || rec.info.Announcement.State == azurestair.StateLeaving {
			continue
		}
		s := rec.info.Announcement.Service
		total[s]++
		if !now.Before(rec.until) {
			lapsed[s]++
		}
	}
	for s, n := range lapsed {
		if 2*n > total[s] {
			r.suspectUntil[s] = now.Add(r.lease())
		}
	}
	maps.DeleteFunc(r.suspectUntil, func(_ azurestair.ServiceName, t time.Time) bool { return !now.Before(t) })
}

// drop unlists lapsed upstreams at the end of their bound, and forgets
// unlisted ones at the end of their memory.
func (r *Registry) drop(now time.Time) {
	for id, rec := range r.upstreams {
		bound := r.dropAt(rec)
		switch {
		case now.Before(bound):
			r.wakeAt(r.checkAt(rec, bound, now))
		case rec.listed:
			r.unlist(rec, now)
		default:
			delete(r.upstreams, id)
			delete(r.departed, id)
			r.freeAddr(rec.info.Announcement)
		}
	}
}

// unlist takes an upstream off the list and remembers it.
func (r *Registry) unlist(rec *upstreamRecord, now time.Time) {
	rec.listed = false
	rec.until = now.Add(memoryBound)
	r.wakeAt(rec.until)
	r.listing++
}

func (r *Registry) dropAt(rec *upstreamRecord) time.Time {
	a := rec.info.Announcement
	if !rec.listed || a.State == azurestair.StateLeaving {
		return rec.until
	}
	if _, ok := r.suspectUntil[a.Service]; ok {
		return rec.until.Add(SuspectBound)
	}
	return rec.until.Add(r.lease())
}

// checkAt returns when a record needs the next check: at the end of its lease,
// and while its listener is suspect once more in each lease time.
func (r *Registry) checkAt(rec *upstreamRecord, bound, now time.Time) time.Time {
	if now.Before(rec.until) {
		return rec.until
	}
	if recheck := now.Add(r.lease() / 2); recheck.Before(bound) {
		return recheck
	}
	return bound
}

// Upstreams returns the listed upstreams in the order of their ids.
func (r *Registry) Upstreams() []azurestair.UpstreamInfo {
	out := make([]azurestair.UpstreamInfo, 0, len(r.upstreams))
	for _, rec := range r.upstreams {
		if rec.listed {
			out = append(out, rec.info)
		}
	}
	slices.SortFunc(out, func(a, b azurestair.UpstreamInfo) int {
		return cmp.Compare(a.Announcement.Upstream, b.Announcement.Upstream)
	})
	return out
}

// Instances returns the listed instances in the order of their ids.
func (r *Registry) Instances() []azurestair.InstanceInfo {
	out := make([]azurestair.InstanceInfo, 0, len(r.instances))
	for _, rec := range r.instances {
		if rec.listed {
			out = append(out, rec.info)
		}
	}
	slices.SortFunc(out, func(a, b azurestair.InstanceInfo) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
