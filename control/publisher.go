package control

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// Limits of the publisher.
const (
	// DefaultHistory is the number of revisions that a delta may span.
	DefaultHistory = 256
	// loadChangePercent is the change of an upstream's load, in percent of its
	// slots, that is published before softRefreshInterval has passed.
	loadChangePercent azurestair.Percent = 20
	// loadInterval is the minimum time between revisions that carry only load
	// changes, so that load changes of many upstreams share a revision.
	loadInterval = 500 * time.Millisecond
	// softRefreshInterval is the interval at which smaller load changes and the
	// configuration versions in effect are published.
	softRefreshInterval = 2 * time.Second
	// listingPausePerInstance is the pause per instance after a revision, in
	// which further changes of the listing wait. For every revision each
	// instance is notified and reports, over links that are narrow in some
	// fleets.
	listingPausePerInstance = 2 * time.Millisecond
	// listingPausePerPair takes its place in large fleets and applies to each
	// pair of instances. A revision costs the leader about 0.3 ms of CPU time
	// per instance, and its other work grows with the fleet as well. The pause
	// is 1.8 s for 299 instances. With a pause of 0.6 s the leader did not have
	// enough time left to keep its lease while the fleet started.
	listingPausePerPair = 20 * time.Microsecond
	// maxListingPause bounds the pause. A departure is acknowledged when all
	// entries hold it, and an upstream waits 2 to 4 s for that.
	maxListingPause = 2 * time.Second
)

// listingPause returns the pause between revisions that carry only listing
// changes.
func listingPause(instances int) time.Duration {
	n := time.Duration(instances)
	return min(n*max(listingPausePerInstance, n*listingPausePerPair), maxListingPause)
}

// SnapshotSource is the control state that snapshots are built from.
type SnapshotSource struct {
	Term azurestair.Term
	// Commit is the applied log index. A change of Commit alone is not
	// published.
	Commit azurestair.Index
	// Config is immutable. A new version is a new pointer.
	Config   *azurestair.Config
	Drains   []azurestair.Drain
	Registry *Registry
	// Fleet changes only together with Config.
	Fleet azurestair.FleetID
}

// Publisher builds immutable snapshots with increasing revisions from the
// control state and answers each instance with the delta from the snapshot that
// it holds. The slices of a snapshot are sorted by id. The zero value has
// published nothing.
type Publisher struct {
	// History is the number of revisions that a delta may span. Zero means
	// DefaultHistory.
	History int

	current *azurestair.Snapshot
	// changes holds what each of the last revisions changed, newest last.
	changes []revisionChange
	// deltas caches the deltas to the current revision by their base.
	deltas map[azurestair.Revision]*azurestair.SnapshotDelta
	// comparedListing, comparedLoads and comparedAll are the change counters of
	// the registry at the last comparison of each depth.
	comparedListing, comparedLoads, comparedAll uint64
	// listingAt, loadsAt and refreshAt are the earliest times of the next
	// comparison of each depth.
	listingAt, loadsAt, refreshAt time.Time
	planner                       RegionPlanner
	// planAt is the earliest time of the next step of the plans.
	planAt time.Time

	objectPlanner ObjectPlanner
}

// revisionChange identifies what a revision changed. The values are in the
// current snapshot.
type revisionChange struct {
	config, drains, plans bool

	// objects holds the object plans before the revision if it changed them.
	objects   *[]azurestair.ObjectPlan
	upstreams []azurestair.UpstreamID
	instances []azurestair.InstanceID
}

func (c revisionChange) empty() bool {
	return !c.config && !c.drains && !c.plans && c.objects == nil && len(c.upstreams) == 0 && len(c.instances) == 0
}

// compareDepth selects the changes of the registry that a comparison includes.
type compareDepth uint8

const (
	// depthListing includes the changes that affect the work of an entry
	// instance.
	depthListing compareDepth = iota + 1
	// depthLoads adds large load changes.
	depthLoads
	// depthAll includes all changes.
	depthAll
)

// Current returns the last published snapshot, or nil if there is none.
func (p *Publisher) Current() *azurestair.Snapshot { return p.current }

// Publish returns the current snapshot and whether this call created it.
// Nothing is published while a registry that was not seeded from a snapshot
// warms up, because that would remove everything that the previous leader
// listed.
func (p *Publisher) Publish(src SnapshotSource, now time.Time) (*azurestair.Snapshot, bool) {
	if src.Registry.WarmingUp(now) && !src.Registry.seeded {
		return p.current, false
	}
	if p.current == nil || p.current.Term < src.Term {
		p.startTerm(src, now)
		return p.current, true
	}
	if p.current.Term > src.Term {
		return p.current, false
	}
	next := *p.current
	c := revisionChange{config: src.Config != next.Config, drains: !slices.Equal(src.Drains, next.Drains)}
	if d := p.dueDepth(src.Registry, now); d != 0 {
		p.merge(&next, &c, src.Registry, d, now)
	}
	next.Config, next.Fleet = src.Config, src.Fleet
	if c.drains {
		// Use a non-nil slice, so that an encoded delta distinguishes an empty
		// list of drains from an unchanged one.
		next.Drains = append([]azurestair.Drain{}, src.Drains...)
	}
	c.plans = p.updatePlans(&next, src.Registry, now)
	c.objects = p.updateObjects(&next, src.Registry, now)
	if c.empty() {
		return p.current, false
	}
	if src.Registry.listingChanges != p.comparedListing {
		// A revision includes all changes of the listing, which
		// RevisionWithListing relies on.
		p.merge(&next, &c, src.Registry, depthListing, now)
	}
	next.Commit = src.Commit
	next.Revision++
	p.setCurrent(&next, c)
	return p.current, true
}

// merge applies the changes of the registry to the next snapshot.
func (p *Publisher) merge(next *azurestair.Snapshot, c *revisionChange, r *Registry, d compareDepth, now time.Time) {
	p.markCompared(r, d, now)
	next.Upstreams, c.upstreams = mergeSorted(next.Upstreams, r.Upstreams(), upstreamKey, d.keepsUpstream)
	next.Upstreams = withColdTimes(next.Upstreams, now)
	next.Instances, c.instances = mergeSorted(next.Instances, r.Instances(), instanceKey, d.keepsInstance)
}

// withColdTimes returns the list with the cold times that remain at now. An instance
// that gets the whole list counts them from its receipt.
func withColdTimes(list []azurestair.UpstreamInfo, now time.Time) []azurestair.UpstreamInfo {
	isCold := func(u azurestair.UpstreamInfo) bool { return u.Announcement.ColdMs > 0 }
	if !slices.ContainsFunc(list, isCold) {
		return list
	}
	out := slices.Clone(list)
	for i, u := range out {
		out[i].Announcement = u.Announcement.WithColdEnd(u.ColdEnd, now)
	}
	return out
}

// updatePlans performs a step of the plans if one is due, and reports whether
// it changed the plans of s.
func (p *Publisher) updatePlans(s *azurestair.Snapshot, r *Registry, now time.Time) bool {
	if s.Config.LeasesBudgets() || now.Before(p.planAt) {
		return false
	}
	p.planAt = now.Add(planInterval)
	traffic := r.Traffic()
	if traffic == nil {
		return false
	}
	plans := p.planner.Step(s, traffic, now)
	if !plansDiffer(s.Plans, plans) {
		return false
	}
	s.Plans = plans
	return true
}

// updateObjects performs a step of the object plans if one is due. It returns
// the plans before the step if it changed them, otherwise nil. Without
// SpreadObjects there are none.
func (p *Publisher) updateObjects(s *azurestair.Snapshot, r *Registry, now time.Time) *[]azurestair.ObjectPlan {
	old := s.Objects
	switch {
	case s.Config.LeasesBudgets() || !s.Config.Defaults.SpreadObjects:
		s.Objects = nil
	case p.objectPlanner.isDue(now):
		rates := r.ObjectRates(now)
		rates.retain(s.Config)
		s.Objects = p.objectPlanner.Step(old, rates, r.Traffic(), now)
	}
	if len(old) == 0 && len(s.Objects) == 0 || len(old) > 0 && len(s.Objects) > 0 && &old[0] == &s.Objects[0] {
		return nil
	}
	return &old
}

// NextDeadline returns when Publish must be called even if the registry does
// not change again, or zero if it need not be.
func (p *Publisher) NextDeadline(r *Registry) time.Time {
	switch {
	case r.listingChanges != p.comparedListing:
		return p.listingAt
	case r.softChanges != p.comparedLoads && p.loadsAt.Before(p.refreshAt):
		return p.loadsAt
	case r.softChanges != p.comparedAll:
		return p.refreshAt
	default:
		return time.Time{}
	}
}

// startTerm publishes the first snapshot of a term. There is no delta to it.
func (p *Publisher) startTerm(src SnapshotSource, now time.Time) {
	s := &azurestair.Snapshot{
		Term: src.Term, Revision: 1, Commit: src.Commit, Config: src.Config, Drains: slices.Clone(src.Drains),
		Upstreams: withColdTimes(src.Registry.Upstreams(), now), Instances: src.Registry.Instances(),
		Plans: src.Registry.seededPlans, Fleet: src.Fleet,
	}
	if s.Config.Defaults.SpreadObjects && !s.Config.LeasesBudgets() {
		s.Objects = src.Registry.seededObjects
	}
	p.objectPlanner = newObjectPlanner(now)
	if p.current != nil {
		s.Revision = p.current.Revision + 1
	}
	if s.Plans == nil && !s.Config.LeasesBudgets() {
		s.Plans = p.planner.Step(s, nil, now)
	}
	p.current, p.changes, p.deltas = s, nil, nil
	p.markCompared(src.Registry, depthAll, now)
}

// RevisionWithListing returns the revision that includes the current contents
// of the registry: the current revision, or the next one while changes of the
// listing are pending. It must not be called before the first snapshot is
// published.
func (p *Publisher) RevisionWithListing(r *Registry) azurestair.Revision {
	if r.listingChanges != p.comparedListing {
		return p.current.Revision + 1
	}
	return p.current.Revision
}

// dueDepth returns the depth at which the registry must be compared now, or
// zero if no comparison is due.
func (p *Publisher) dueDepth(r *Registry, now time.Time) compareDepth {
	switch {
	case r.softChanges != p.comparedAll && !now.Before(p.refreshAt):
		return depthAll
	case r.softChanges != p.comparedLoads && !now.Before(p.loadsAt):
		return depthLoads
	case r.listingChanges != p.comparedListing && !now.Before(p.listingAt):
		return depthListing
	default:
		return 0
	}
}

// markCompared records a comparison of the registry.
func (p *Publisher) markCompared(r *Registry, d compareDepth, now time.Time) {
	p.comparedListing, p.listingAt = r.listingChanges, now.Add(listingPause(len(r.instances)))
	if d >= depthLoads {
		p.comparedLoads, p.loadsAt = r.softChanges, now.Add(loadInterval)
	}
	if d >= depthAll {
		p.comparedAll, p.refreshAt = r.softChanges, now.Add(softRefreshInterval)
	}
}

// keepsUpstream reports whether the published value old is kept instead of cur.
func (d compareDepth) keepsUpstream(old, cur azurestair.UpstreamInfo) bool {
	a, b := old.Announcement, cur.Announcement
	if !old.IsRepeatedBy(cur) {
		return false
	}
	switch {
	case a.Load == b.Load:
		return true
	case d == depthAll:
		return false
	case d == depthLoads:
		return !loadExceeds(a, b)
	default:
		return true
	}
}

// loadExceeds reports whether the loads of two announcements differ by at least
// loadChangePercent of the slots.
func loadExceeds(a, b azurestair.Announcement) bool {
	diff := int(a.Load.InFlight + a.Load.Queued - b.Load.InFlight - b.Load.Queued)
	return max(diff, -diff)*100 >= int(b.Slots)*int(loadChangePercent)
}

// keepsInstance reports whether the published value old is kept instead of cur.
func (d compareDepth) keepsInstance(old, cur azurestair.InstanceInfo) bool {
	return old == cur || (d != depthAll && sameInstance(old, cur))
}

// setCurrent makes s the current snapshot.
func (p *Publisher) setCurrent(s *azurestair.Snapshot, c revisionChange) {
	p.current, p.deltas = s, nil
	p.changes = append(p.changes, c)
	if surplus := len(p.changes) - valueOrDefault(p.History, DefaultHistory); surplus > 0 {
		p.changes = slices.Delete(p.changes, 0, surplus)
	}
}

// Delta returns what an instance with the given revision needs: nothing if the
// revision is current, otherwise the delta from it, or the complete snapshot if
// the gap is too large or the term has changed. An instance that holds a later
// term gets nothing.
func (p *Publisher) Delta(heldTerm azurestair.Term, held azurestair.Revision) (*azurestair.SnapshotDelta, *azurestair.Snapshot) {
	s := p.current
	switch {
	case s == nil || heldTerm > s.Term || (heldTerm == s.Term && held == s.Revision):
		return nil, nil
	case heldTerm < s.Term || held > s.Revision || s.Revision-held > azurestair.Revision(len(p.changes)):
		return nil, s
	}
	if d := p.deltas[held]; d != nil {
		return d, nil
	}
	d := p.deltaFrom(held)
	if p.deltas == nil {
		p.deltas = map[azurestair.Revision]*azurestair.SnapshotDelta{}
	}
	p.deltas[held] = d
	return d, nil
}

// deltaFrom combines the changes since a revision of the current term.
func (p *Publisher) deltaFrom(held azurestair.Revision) *azurestair.SnapshotDelta {
	s := p.current
	d := &azurestair.SnapshotDelta{Term: s.Term, Base: held, Revision: s.Revision, Commit: s.Commit}
	var all revisionChange
	for _, c := range p.changes[len(p.changes)-int(s.Revision-held):] {
		all.config = all.config || c.config
		all.drains = all.drains || c.drains
		all.plans = all.plans || c.plans
		if all.objects == nil {
			all.objects = c.objects
		}
		all.upstreams = append(all.upstreams, c.upstreams...)
		all.instances = append(all.instances, c.instances...)
	}
	if all.config {
		d.Config, d.Fleet = s.Config, s.Fleet
	}
	if all.drains {
		d.Drains = &s.Drains
	}
	if all.plans {
		d.Plans = s.Plans
	}
	if all.objects != nil {
		d.Objects = diffObjectPlans(*all.objects, s.Objects)
	}
	d.Upstreams, d.RemovedUpstreams = collectKeys(s.Upstreams, all.upstreams, upstreamKey)
	d.Instances, d.RemovedInstances = collectKeys(s.Instances, all.instances, instanceKey)
	return d
}

// ApplyDelta returns the snapshot that results from applying d to s. It
// modifies neither. It fails with ErrConflict if the delta starts from another
// snapshot or contains an older configuration.
func ApplyDelta(s *azurestair.Snapshot, d *azurestair.SnapshotDelta) (*azurestair.Snapshot, error) {
	if s == nil || s.Term != d.Term || s.Revision != d.Base {
		return nil, fmt.Errorf("%w: the delta starts from term %d revision %d", azurestair.ErrConflict, d.Term, d.Base)
	}
	next := *s
	next.Revision, next.Commit = d.Revision, d.Commit
	if d.Config != nil {
		if d.Config.Version < s.ConfigVersion() {
			return nil, fmt.Errorf("%w: the delta carries configuration %d, older than %d",
				azurestair.ErrConflict, d.Config.Version, s.ConfigVersion())
		}
		next.Config = d.Config
		next.Fleet = cmp.Or(d.Fleet, s.Fleet)
	}
	if d.Drains != nil {
		next.Drains = *d.Drains
	}
	if d.Plans != nil {
		next.Plans = d.Plans
	}
	next.Objects = patchObjectPlans(s.Objects, d.Objects)
	next.Upstreams = patchSorted(s.Upstreams, d.Upstreams, d.RemovedUpstreams, upstreamKey)
	next.Instances = patchSorted(s.Instances, d.Instances, d.RemovedInstances, instanceKey)
	return &next, nil
}

func upstreamKey(u azurestair.UpstreamInfo) azurestair.UpstreamID { return u.Announcement.Upstream }

func instanceKey(i azurestair.InstanceInfo) azurestair.InstanceID { return i.ID }

// mergeSorted returns the list that replaces old, and the keys of the elements
// that changed. An element in both lists keeps its old value if keep returns
// true. Both lists are sorted by key. If nothing changed, it returns old
// itself.
func mergeSorted[T any, K cmp.Ordered](old, cur []T, key func(T) K, keep func(old, cur T) bool) ([]T, []K) {
	var changed []K
	out := make([]T, 0, len(cur))
	i := 0
	for _, c := range cur {
		k := key(c)
		for ; i < len(old) && key(old[i]) < k; i++ {
			changed = append(changed, key(old[i]))
		}
		switch {
		case i == len(old) || key(old[i]) != k:
			changed = append(changed, k)
		case keep(old[i], c):
			c = old[i]
			i++
		default:
			changed = append(changed, k)
			i++
		}
		out = append(out, c)
	}
	for ; i < len(old); i++ {
		changed = append(changed, key(old[i]))
	}
	if len(changed) == 0 {
		return old, nil
	}
	return out, changed
}

// collectKeys returns the elements of a sorted list with the given keys, and
// the keys that are not in the list.
func collectKeys[T any, K cmp.Ordered](list []T, keys []K, key func(T) K) (found []T, missing []K) {
	slices.Sort(keys)
	for _, k := range slices.Compact(keys) {
		i, ok := searchSorted(list, k, key)
		if ok {
			found = append(found, list[i])
		} else {
			missing = append(missing, k)
		}
	}
	return found, missing
}

// patchSorted returns the sorted list without the removed elements and with the
// elements of set added or replaced.
func patchSorted[T any, K cmp.Ordered](list, set []T, removed []K, key func(T) K) []T {
	if len(set) == 0 && len(removed) == 0 {
		return list
	}
	drop := make(map[K]bool, len(set)+len(removed))
	for _, k := range removed {
		drop[k] = true
	}
	for _, t := range set {
		drop[key(t)] = true
	}
	out := make([]T, 0, len(list)+len(set))
	for _, t := range list {
		if !drop[key(t)] {
			out = append(out, t)
		}
	}
	out = append(out, set...)
	slices.SortFunc(out, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return out
}

func searchSorted[T any, K cmp.Ordered](list []T, k K, key func(T) K) (int, bool) {
	return slices.BinarySearchFunc(list, k, func(t T, k K) int { return cmp.Compare(key(t), k) })
}
