package control

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// Time limits of the registry.
const (
	// UpstreamLease is how long an upstream stays confirmed after its last
	// heartbeat.
	UpstreamLease = 3 * time.Second
	// InstanceLease is how long an instance stays listed after its last report.
	InstanceLease = 3 * time.Second
	// SuspectTimeout is how long an upstream stays listed as unconfirmed if so
	// many leases of its service expire together that the listener is suspected
	// to have failed.
	SuspectTimeout = 30 * time.Second
	// tombstoneRetention is how long a removed upstream or instance is
	// remembered, so that a delayed message does not list it again.
	tombstoneRetention = 30 * time.Second
)

// Default limits on the size of a Registry.
const (
	DefaultMaxUpstreams = 4096
	DefaultMaxInstances = 1024
)

// Registry holds what the leader knows about upstreams and instances from their
// reports. It is not replicated: a new leader starts with the list of its last
// snapshot, unconfirmed, and learns the rest within one announcement interval.
//
// An upstream whose lease expires stays listed as unconfirmed for another lease
// time, because only then is it known whether its whole service expired with
// it. If the leases of more than half of the service's upstreams have expired,
// the listener is suspected to have failed, and the upstreams stay listed until
// SuspectTimeout.
//
// The zero value is an empty registry.
type Registry struct {
	// MaxUpstreams and MaxInstances bound the records. Zero means the default.
	MaxUpstreams, MaxInstances int
	// Lease is how long an upstream stays confirmed. Zero means UpstreamLease.
	Lease time.Duration

	upstreams map[azurestair.UpstreamID]*upstreamRecord
	instances map[azurestair.InstanceID]*instanceRecord
	// suspectUntil holds, for each service with a suspected listener, the time
	// until which its expired upstreams stay listed.
	suspectUntil map[azurestair.ServiceName]time.Time
	// ownerByAddr holds the upstream that was last listed at each address.
	ownerByAddr map[string]azurestair.UpstreamID
	// departed holds the incarnations of upstreams that accept no more work.
	departed    map[azurestair.UpstreamID]*departureRecord
	warmUpUntil time.Time
	seeded      bool
	// seededPlans holds the plans that the previous leader published.
	seededPlans []azurestair.RegionPlan
	// seededObjects holds the object plans that the previous leader published.
	seededObjects []azurestair.ObjectPlan
	// nextCheckAt is a lower bound of the next deadline. Renewing a lease does
	// not change it.
	nextCheckAt time.Time
	// listingChanges counts the changes that are published immediately,
	// softChanges all others.
	listingChanges, softChanges uint64
}

type upstreamRecord struct {
	info azurestair.UpstreamInfo
	// expiresAt is when the lease ends, or when an unlisted record is
	// forgotten.
	expiresAt time.Time
	listed    bool
}

type instanceRecord struct {
	info azurestair.InstanceInfo
	// traffic describes the requests that reach the instance.
	traffic []azurestair.Traffic
	// objects holds the object rates that the instance has reported.
	objects   objectReports
	expiresAt time.Time
	listed    bool
	// heldRevision is the revision that the instance last reported to hold.
	heldRevision azurestair.Revision
	// seeded is true until the instance reports to this leader.
	seeded bool
}

// Seed initializes the registry of a new leader from the last snapshot that the
// instance holds, which may be nil. The registry warms up for one lease time.
func (r *Registry) Seed(s *azurestair.Snapshot, now time.Time) {
	r.warmUpUntil = now.Add(r.lease())
	r.scheduleCheck(r.warmUpUntil)
	r.listingChanges++
	if s == nil {
		return
	}
	r.seeded, r.seededPlans, r.seededObjects = true, s.Plans, s.Objects
	r.initMaps()
	for _, u := range s.Upstreams {
		u.Confirmed, u.ColdEnd = false, listedColdEnd(u.Announcement, now)
		r.upstreams[u.Announcement.Upstream] = &upstreamRecord{info: u, expiresAt: now.Add(r.lease()), listed: true}
		r.setAddrOwner(u.Announcement)
	}
	for _, i := range s.Instances {
		r.instances[i.ID] = &instanceRecord{info: i, expiresAt: now.Add(InstanceLease), listed: true, seeded: true}
	}
}

func (r *Registry) lease() time.Duration {
	if r.Lease > 0 {
		return r.Lease
	}
	return UpstreamLease
}

func (r *Registry) initMaps() {
	if r.upstreams == nil {
		r.upstreams = map[azurestair.UpstreamID]*upstreamRecord{}
		r.instances = map[azurestair.InstanceID]*instanceRecord{}
		r.suspectUntil = map[azurestair.ServiceName]time.Time{}
		r.ownerByAddr = map[string]azurestair.UpstreamID{}
	}
}

// WarmingUp reports whether the registry may still lack upstreams or instances
// that the previous leader listed.
func (r *Registry) WarmingUp(now time.Time) bool { return now.Before(r.warmUpUntil) }

// Announce records an announcement unless it is older than the known one. A
// repeated announcement renews the lease. An upstream that announces an address
// replaces upstreams that were started earlier at that address.
func (r *Registry) Announce(a azurestair.Announcement, now time.Time) error {
	r.initMaps()
	if r.isSuperseded(a, now) {
		return nil
	}
	rec := r.upstreams[a.Upstream]
	if rec == nil {
		if err := r.ensureCapacity(); err != nil {
			return err
		}
		rec = &upstreamRecord{}
		r.upstreams[a.Upstream] = rec
	}
	if d := r.departed[a.Upstream]; d != nil && a.Incarnation <= d.incarnation && a.State == azurestair.StateServing {
		a.State = azurestair.StateDraining
	}
	old := rec.info.Announcement
	if old.IsNewerThan(a) || (old.State == azurestair.StateLeaving && !a.IsNewerThan(old)) {
		return nil
	}
	info := azurestair.UpstreamInfo{Announcement: a, Confirmed: true, ColdEnd: listedColdEnd(a, now)}
	if rec.listed && rec.info.IsRepeatedBy(info) {
		// Otherwise differences within the tolerance could add up.
		info.ColdEnd = rec.info.ColdEnd
		if old.Load != a.Load {
			r.softChanges++
		}
	} else {
		r.listingChanges++
	}
	r.takeOverAddr(a, now)
	rec.info = info
	rec.listed = true
	rec.expiresAt = now.Add(r.lease())
	r.scheduleCheck(rec.expiresAt)
	return nil
}

// listedColdEnd returns the end of the cold time that is listed for an upstream that
// is announced at now. Until it has passed, announcements of ends that are later
// within the tolerance need not be listed.
func listedColdEnd(a azurestair.Announcement, now time.Time) time.Time {
	end := a.ColdEnd(now)
	if end.IsZero() {
		return end
	}
	return end.Add(azurestair.ColdTolerance)
}

// MarkDeparted ends new work for an upstream, regardless of its later
// announcements.
func (r *Registry) MarkDeparted(d azurestair.Departure, now time.Time) {
	r.initMaps()
	if r.departed == nil {
		r.departed = map[azurestair.UpstreamID]*departureRecord{}
	}
	last := r.departed[d.Upstream]
	if last != nil && last.incarnation >= d.Incarnation {
		return
	}
	r.departed[d.Upstream] = &departureRecord{incarnation: d.Incarnation, acceptedAt: now}
	rec := r.upstreams[d.Upstream]
	if last != nil && rec != nil && rec.info.Announcement.State != azurestair.StateServing {
		// The upstream has departed already. The incarnation is newer only
		// because this message did not contain the start time.
		r.departed[d.Upstream].acceptedAt, r.departed[d.Upstream].shownBy = last.acceptedAt, last.shownBy
	}
	if rec == nil || rec.info.Announcement.Incarnation > d.Incarnation || rec.info.Announcement.State != azurestair.StateServing {
		return
	}
	rec.info.Announcement.State = azurestair.StateDraining
	r.listingChanges++
}

// ensureCapacity makes sure that an upstream record can be added. It removes an
// unlisted one if necessary.
func (r *Registry) ensureCapacity() error {
	limit := valueOrDefault(r.MaxUpstreams, DefaultMaxUpstreams)
	if len(r.upstreams) < limit {
		return nil
	}
	for id, rec := range r.upstreams {
		if !rec.listed {
			delete(r.upstreams, id)
			r.releaseAddr(rec.info.Announcement)
			return nil
		}
	}
	return fmt.Errorf("%w: the registry already holds %d upstreams", azurestair.ErrFull, limit)
}

func valueOrDefault(n, d int) int {
	if n > 0 {
		return n
	}
	return d
}

// RenewLeases renews the leases of upstreams whose announcements have not
// changed. It returns the ids that the registry does not list.
func (r *Registry) RenewLeases(ids []azurestair.UpstreamID, now time.Time) (unknown []azurestair.UpstreamID) {
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
			r.listingChanges++
		}
		rec.expiresAt = now.Add(r.lease())
	}
	return unknown
}

// UpdateInstance records the description that an instance reports, unless a
// later incarnation has reported, this one has announced its shutdown, or
// another instance has its address now.
func (r *Registry) UpdateInstance(info azurestair.InstanceInfo, now time.Time) error {
	r.initMaps()
	if !r.replaceInstancesAt(info, now) {
		return nil
	}
	rec := r.instances[info.ID]
	if rec == nil {
		if err := r.ensureInstanceCapacity(); err != nil {
			return err
		}
		rec = &instanceRecord{}
		r.instances[info.ID] = rec
	}
	inc := rec.info.Incarnation
	if info.Incarnation < inc || (!rec.listed && info.Incarnation == inc && !rec.expiresAt.IsZero()) {
		return nil
	}
	switch {
	case !rec.listed || !sameInstance(rec.info, info):
		r.listingChanges++
	case rec.info != info:
		r.softChanges++
	}
	rec.info, rec.listed, rec.seeded = info, true, false
	rec.expiresAt = now.Add(InstanceLease)
	r.scheduleCheck(rec.expiresAt)
	return nil
}

// ensureInstanceCapacity makes sure that an instance record can be added. It removes
// one of an instance that has left if necessary.
func (r *Registry) ensureInstanceCapacity() error {
	limit := valueOrDefault(r.MaxInstances, DefaultMaxInstances)
	if len(r.instances) < limit {
		return nil
	}
	for id, rec := range r.instances {
		if !rec.listed {
			delete(r.instances, id)
			return nil
		}
	}
	return fmt.Errorf("%w: the registry already holds %d instances", azurestair.ErrFull, limit)
}

// sameInstance reports whether two descriptions differ at most in the
// configuration version in effect, which every instance reports after a
// configuration change.
func sameInstance(a, b azurestair.InstanceInfo) bool {
	a.ActiveConfig = b.ActiveConfig
	return a == b
}

// Incarnation returns the latest incarnation of an instance that has reported,
// or zero if none has.
func (r *Registry) Incarnation(id azurestair.InstanceID) azurestair.Incarnation {
	if rec := r.instances[id]; rec != nil {
		return rec.info.Incarnation
	}
	return 0
}

// RemoveInstance removes an instance that has announced its shutdown.
func (r *Registry) RemoveInstance(id azurestair.InstanceID, now time.Time) {
	rec := r.instances[id]
	if rec == nil || !rec.listed {
		return
	}
	rec.listed = false
	rec.expiresAt = now.Add(tombstoneRetention)
	r.listingChanges++
}

// scheduleCheck moves the next deadline up to t if t is earlier.
func (r *Registry) scheduleCheck(t time.Time) {
	if r.nextCheckAt.IsZero() || t.Before(r.nextCheckAt) {
		r.nextCheckAt = t
	}
}

// NextDeadline returns when Expire must be called next, or zero if it need not
// be. It may be earlier than the next change.
func (r *Registry) NextDeadline() time.Time { return r.nextCheckAt }

// Expire removes expired upstreams and instances.
func (r *Registry) Expire(now time.Time) {
	if r.nextCheckAt.IsZero() || now.Before(r.nextCheckAt) {
		return
	}
	r.nextCheckAt = time.Time{}
	if r.WarmingUp(now) {
		r.scheduleCheck(r.warmUpUntil)
	}
	r.expireInstances(now)
	r.unconfirmExpired(now)
	r.detectSuspectListeners(now)
	r.removeExpired(now)
}

func (r *Registry) expireInstances(now time.Time) {
	for id, rec := range r.instances {
		switch {
		case now.Before(rec.expiresAt):
			r.scheduleCheck(rec.expiresAt)
		case rec.listed:
			delete(r.instances, id)
			r.listingChanges++
		default:
			delete(r.instances, id)
		}
	}
}

// unconfirmExpired marks the upstreams with expired leases as unconfirmed.
func (r *Registry) unconfirmExpired(now time.Time) {
	for _, rec := range r.upstreams {
		if rec.listed && rec.info.Confirmed && !now.Before(rec.expiresAt) {
			rec.info.Confirmed = false
			r.listingChanges++
		}
	}
}

// detectSuspectListeners protects the expired upstreams of a service from
// removal while they are more than half of its upstreams.
func (r *Registry) detectSuspectListeners(now time.Time) {
	total, expired := map[azurestair.ServiceName]int{}, map[azurestair.ServiceName]int{}
	for _, rec := range r.upstreams {
		if !rec.listed || rec.info.Announcement.State == azurestair.StateLeaving {
			continue
		}
		s := rec.info.Announcement.Service
		total[s]++
		if !now.Before(rec.expiresAt) {
			expired[s]++
		}
	}
	for s, n := range expired {
		if 2*n > total[s] {
			r.suspectUntil[s] = now.Add(r.lease())
		}
	}
	maps.DeleteFunc(r.suspectUntil, func(_ azurestair.ServiceName, t time.Time) bool { return !now.Before(t) })
}

// removeExpired unlists expired upstreams at their removal time and deletes
// unlisted ones at the end of their retention.
func (r *Registry) removeExpired(now time.Time) {
	for id, rec := range r.upstreams {
		removeAt := r.removalTime(rec)
		switch {
		case now.Before(removeAt):
			r.scheduleCheck(r.nextCheck(rec, removeAt, now))
		case rec.listed:
			r.unlist(rec, now)
		default:
			delete(r.upstreams, id)
			delete(r.departed, id)
			r.releaseAddr(rec.info.Announcement)
		}
	}
}

// unlist removes an upstream from the list and keeps its record for
// tombstoneRetention.
func (r *Registry) unlist(rec *upstreamRecord, now time.Time) {
	rec.listed = false
	rec.expiresAt = now.Add(tombstoneRetention)
	r.scheduleCheck(rec.expiresAt)
	r.listingChanges++
}

func (r *Registry) removalTime(rec *upstreamRecord) time.Time {
	a := rec.info.Announcement
	if !rec.listed || a.State == azurestair.StateLeaving {
		return rec.expiresAt
	}
	if _, ok := r.suspectUntil[a.Service]; ok {
		return rec.expiresAt.Add(SuspectTimeout)
	}
	return rec.expiresAt.Add(r.lease())
}

// nextCheck returns when a record must be checked next: at the end of its lease
// and, while its listener is suspected, every half lease time.
func (r *Registry) nextCheck(rec *upstreamRecord, removeAt, now time.Time) time.Time {
	if now.Before(rec.expiresAt) {
		return rec.expiresAt
	}
	if recheck := now.Add(r.lease() / 2); recheck.Before(removeAt) {
		return recheck
	}
	return removeAt
}

// Upstreams returns the listed upstreams, sorted by id.
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

// ReportedAt returns when a listed instance last reported to this leader. It
// returns false for an instance that is known from the last snapshot only.
func (r *Registry) ReportedAt(id azurestair.InstanceID) (time.Time, bool) {
	rec, ok := r.instances[id]
	if !ok || !rec.listed || rec.seeded {
		return time.Time{}, false
	}
	return rec.expiresAt.Add(-InstanceLease), true
}

// Instances returns the listed instances, sorted by id.
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
