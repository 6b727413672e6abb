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
	// loadPercent is the change of an upstream's load, in percent of its
	// slots, that is published without waiting for softRefresh.
	loadPercent azurestair.Percent = 20
	// loadInterval is the least time between revisions that carry only loads,
	// so that a change of load at many upstreams makes one revision.
	loadInterval = 500 * time.Millisecond
	// softRefresh is the time after which smaller changes of load and the
	// versions in effect are published.
	softRefresh = 2 * time.Second
	// listingPause is the pause after a revision, for each instance, in which
	// further changes of the listing wait. Each instance gets a notice and reports
	// for a revision, over links that are narrow in some fleets.
	listingPause = 2 * time.Millisecond
	// pairPause takes its place in large fleets, for each pair of instances. A
	// revision costs the leader some 0.3 ms of its processor for each instance, and
	// the work beside it grows with the fleet as well. With 299 instances it is
	// 1.8 s; 0.6 s did not leave the leader time to keep its lease at the start.
	pairPause = 20 * time.Microsecond
	// listingPauseMost bounds it: a departure is acknowledged when all entries
	// hold it, and an upstream waits 2 to 4 s for that.
	listingPauseMost = 2 * time.Second
)

// pauseFor returns the pause between revisions for the listing alone.
func pauseFor(instances int) time.Duration {
	n := time.Duration(instances)
	return min(n*max(listingPause, n*pairPause), listingPauseMost)
}

// Source is the control state that snapshots are made from.
type Source struct {
	Term azurestair.Term
	// Commit is the applied log index. A change of it alone is not published.
	Commit azurestair.Index
	// Config is immutable; a new version is a new pointer.
	Config   *azurestair.Config
	Drains   []azurestair.Drain
	Registry *Registry
}

// Publisher turns control state into immutable snapshots with growing
// revisions, and answers each instance with the delta that follows the
// snapshot it holds. Its slices are sorted by id. The zero value has
// published nothing.
type Publisher struct {
	// History is the number of revisions that a delta may span; zero means DefaultHistory.
	History int

	current *azurestair.Snapshot
	// changes holds what changed with each of the last revisions, the newest last.
	changes []revisionChange
	// deltas holds the deltas made for the current revision, by their base.
	deltas map[azurestair.Revision]*azurestair.Delta
	// listing, loads and refreshed are the registry's counts of changes at the
	// last comparison of each depth.
	listing, loads, refreshed uint64
	// listingAt, loadsAt and refreshAt are the earliest times of the next one.
	listingAt, loadsAt, refreshAt time.Time
	planner                       Planner
	// planAt is the earliest time of the next step of the plans.
	planAt time.Time
}

// revisionChange names what a revision changed; the values are in the current snapshot.
type revisionChange struct {
	config, drains, plans bool

	upstreams []azurestair.UpstreamID
	instances []azurestair.InstanceID
}

func (c revisionChange) empty() bool {
	return !c.config && !c.drains && !c.plans && len(c.upstreams) == 0 && len(c.instances) == 0
}

// depth says which changes of the registry a comparison takes over.
type depth uint8

const (
	// depthListing takes over what changes the work of an entry instance.
	depthListing depth = iota + 1
	// depthLoads adds large changes of load.
	depthLoads
	// depthAll takes over everything.
	depthAll
)

// Current returns the last published snapshot, nil before the first.
func (p *Publisher) Current() *azurestair.Snapshot { return p.current }

// Publish returns the current snapshot and whether this call made it. While a
// registry that had no snapshot to start from warms up, nothing is published:
// it would remove all that the previous leader listed.
func (p *Publisher) Publish(src Source, now time.Time) (*azurestair.Snapshot, bool) {
	if src.Registry.WarmingUp(now) && !src.Registry.seeded {
		return p.current, false
	}
	if p.current == nil || p.current.Term < src.Term {
		p.restart(src, now)
		return p.current, true
	}
	if p.current.Term > src.Term {
		return p.current, false
	}
	next := *p.current
	c := revisionChange{config: src.Config != next.Config, drains: !slices.Equal(src.Drains, next.Drains)}
	if d := p.due(src.Registry, now); d != 0 {
		p.merge(&next, &c, src.Registry, d, now)
	}
	next.Config = src.Config
	if c.drains {
		// Never nil, so that an encoded delta tells no drains from unchanged ones.
		next.Drains = append([]azurestair.Drain{}, src.Drains...)
	}
	c.plans = p.plan(&next, src.Registry, now)
	if c.empty() {
		return p.current, false
	}
	if src.Registry.listing != p.listing {
		// A revision shows all changes of the listing, as ShownBy says.
		p.merge(&next, &c, src.Registry, depthListing, now)
	}
	next.Commit = src.Commit
	next.Revision++
	p.record(&next, c)
	return p.current, true
}

// merge takes changes of the registry over into the next snapshot.
func (p *Publisher) merge(next *azurestair.Snapshot, c *revisionChange, r *Registry, d depth, now time.Time) {
	p.compared(r, d, now)
	next.Upstreams, c.upstreams = mergeSorted(next.Upstreams, r.Upstreams(), upstreamKey, d.keepsUpstream)
	next.Instances, c.instances = mergeSorted(next.Instances, r.Instances(), instanceKey, d.keepsInstance)
}

// plan takes a step of the plans when one is due and reports whether s has new ones.
func (p *Publisher) plan(s *azurestair.Snapshot, r *Registry, now time.Time) bool {
	if s.Config.IsLeased() || now.Before(p.planAt) {
		return false
	}
	p.planAt = now.Add(planStep)
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

// NextDeadline returns when Publish must be called although the registry has
// not changed again; zero if never.
func (p *Publisher) NextDeadline(r *Registry) time.Time {
	switch {
	case r.listing != p.listing:
		return p.listingAt
	case r.soft != p.loads && p.loadsAt.Before(p.refreshAt):
		return p.loadsAt
	case r.soft != p.refreshed:
		return p.refreshAt
	default:
		return time.Time{}
	}
}

// restart publishes the first snapshot of a term, which no delta leads to.
func (p *Publisher) restart(src Source, now time.Time) {
	s := &azurestair.Snapshot{
		Term: src.Term, Revision: 1, Commit: src.Commit, Config: src.Config, Drains: slices.Clone(src.Drains),
		Upstreams: src.Registry.Upstreams(), Instances: src.Registry.Instances(),
		Plans: src.Registry.seededPlans,
	}
	if p.current != nil {
		s.Revision = p.current.Revision + 1
	}
	if s.Plans == nil && !s.Config.IsLeased() {
		s.Plans = p.planner.Step(s, nil, now)
	}
	p.current, p.changes, p.deltas = s, nil, nil
	p.compared(src.Registry, depthAll, now)
}

// ShownBy returns the revision that shows what the registry lists now: the
// current one, or the next while changes of the listing wait. Something has
// been published.
func (p *Publisher) ShownBy(r *Registry) azurestair.Revision {
	if r.listing != p.listing {
		return p.current.Revision + 1
	}
	return p.current.Revision
}

// due returns how deep the registry must be compared now, zero for not at all.
func (p *Publisher) due(r *Registry, now time.Time) depth {
	switch {
	case r.soft != p.refreshed && !now.Before(p.refreshAt):
		return depthAll
	case r.soft != p.loads && !now.Before(p.loadsAt):
		return depthLoads
	case r.listing != p.listing && !now.Before(p.listingAt):
		return depthListing
	default:
		return 0
	}
}

// compared notes a comparison of the registry.
func (p *Publisher) compared(r *Registry, d depth, now time.Time) {
	p.listing, p.listingAt = r.listing, now.Add(pauseFor(len(r.instances)))
	if d >= depthLoads {
		p.loads, p.loadsAt = r.soft, now.Add(loadInterval)
	}
	if d >= depthAll {
		p.refreshed, p.refreshAt = r.soft, now.Add(softRefresh)
	}
}

// keepsUpstream reports whether the published value old stays in place of cur.
func (d depth) keepsUpstream(old, cur azurestair.UpstreamInfo) bool {
	a, b := old.Announcement, cur.Announcement
	if old.Confirmed != cur.Confirmed || !a.IsRepeated(b) {
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

// loadExceeds reports whether the load of two announcements differs by at
// least loadPercent of the slots.
func loadExceeds(a, b azurestair.Announcement) bool {
	diff := int(a.Load.InFlight + a.Load.Queued - b.Load.InFlight - b.Load.Queued)
	return max(diff, -diff)*100 >= int(b.Slots)*int(loadPercent)
}

// keepsInstance reports whether the published value old stays in place of cur.
func (d depth) keepsInstance(old, cur azurestair.InstanceInfo) bool {
	return old == cur || (d != depthAll && sameInstance(old, cur))
}

// record makes s the current snapshot.
func (p *Publisher) record(s *azurestair.Snapshot, c revisionChange) {
	p.current, p.deltas = s, nil
	p.changes = append(p.changes, c)
	if surplus := len(p.changes) - orDefault(p.History, DefaultHistory); surplus > 0 {
		p.changes = slices.Delete(p.changes, 0, surplus)
	}
}

// Delta returns what the holder of a revision needs: nothing when it is
// current, the delta from the held revision, or the whole snapshot after a
// gap or a change of term. A holder of a later term gets nothing.
func (p *Publisher) Delta(heldTerm azurestair.Term, held azurestair.Revision) (*azurestair.Delta, *azurestair.Snapshot) {
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
		p.deltas = map[azurestair.Revision]*azurestair.Delta{}
	}
	p.deltas[held] = d
	return d, nil
}

// deltaFrom joins the changes since a revision of the current term.
func (p *Publisher) deltaFrom(held azurestair.Revision) *azurestair.Delta {
	s := p.current
	d := &azurestair.Delta{Term: s.Term, Base: held, Revision: s.Revision, Commit: s.Commit}
	var all revisionChange
	for _, c := range p.changes[len(p.changes)-int(s.Revision-held):] {
		all.config = all.config || c.config
		all.drains = all.drains || c.drains
		all.plans = all.plans || c.plans
		all.upstreams = append(all.upstreams, c.upstreams...)
		all.instances = append(all.instances, c.instances...)
	}
	if all.config {
		d.Config = s.Config
	}
	if all.drains {
		d.Drains = &s.Drains
	}
	if all.plans {
		d.Plans = s.Plans
	}
	d.Upstreams, d.RemovedUpstreams = collectKeys(s.Upstreams, all.upstreams, upstreamKey)
	d.Instances, d.RemovedInstances = collectKeys(s.Instances, all.instances, instanceKey)
	return d
}

// ApplyDelta returns the snapshot that follows s; it changes neither argument.
// It fails with ErrConflict when the delta starts from another snapshot or
// carries an older configuration.
func ApplyDelta(s *azurestair.Snapshot, d *azurestair.Delta) (*azurestair.Snapshot, error) {
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
	}
	if d.Drains != nil {
		next.Drains = *d.Drains
	}
	if d.Plans != nil {
		next.Plans = d.Plans
	}
	next.Upstreams = patchSorted(s.Upstreams, d.Upstreams, d.RemovedUpstreams, upstreamKey)
	next.Instances = patchSorted(s.Instances, d.Instances, d.RemovedInstances, instanceKey)
	return &next, nil
}

func upstreamKey(u azurestair.UpstreamInfo) azurestair.UpstreamID { return u.Announcement.Upstream }

func instanceKey(i azurestair.InstanceInfo) azurestair.InstanceID { return i.ID }

// mergeSorted returns the list that replaces old, and the keys of what changed. An
// element in both lists keeps its old value where keep says so. Both lists are
// sorted by key. Without a change it returns old itself.
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

// collectKeys returns the elements of a sorted list that have the given keys, and
// the keys that the list does not have.
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

// patchSorted returns the sorted list without the removed elements and with the set ones.
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
