package control

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"azurestair.example/azurestair"
)

// Times and bounds of the allocator.
const (
	// LeaseTTL is how long a grant is valid.
	LeaseTTL = 2 * time.Second
	// QuietTime is how long a new leader grants nothing above floors: the
	// longest lease of its predecessor, with the margin for clock drift.
	QuietTime = LeaseTTL + LeaseTTL/20
	// planInterval is how long the fair level of a budget is kept at least,
	// because it costs a walk over all holders. planPerHolder makes the time
	// longer with many holders, 1.4 s at 690, so that the cost of the walks
	// grows no faster than that of the reports.
	planInterval  = 200 * time.Millisecond
	planPerHolder = 2 * time.Millisecond

	// DefaultMaxHolders is the number of holders for which floors are reserved.
	DefaultMaxHolders = 8
	// MaxBudgets bounds the budgets of an Allocator.
	MaxBudgets = 4096
)

// Allocator leases budgets to entry instances. It is the leader's soft state.
//
// Invariant: for each budget, the unexpired leases, counting the largest one
// of each holder, and the floors of all holders that may have one never exceed
// the limit. A lease counts until it expires at the leader, also when a later one
// is smaller, because the holder may never get the later one. A lease above a
// smaller floor than the one that is reserved counts only as far as both
// together exceed that. After the limit was lowered, the invariant holds again
// one LeaseTTL later.
//
// Leased amounts follow demand with max-min fairness. What nobody asks for is
// leased to each holder up to an equal share, so that a burst can start
// without waiting for the leader.
//
// The zero value has no budgets.
type Allocator struct {
	// MaxHolders is the number of possible holders; zero means DefaultMaxHolders.
	MaxHolders int

	quietUntil time.Time
	holders    map[azurestair.InstanceID]*holderPlace
	budgets    map[azurestair.Resource]*budget
	// listed names the holders that may have floors; nil stands for any.
	listed *HolderList
	// changes holds the changes of the list that holders need.
	changes map[azurestair.InstanceID]listChange
	// inherited holds the floors that the predecessor may have given.
	inherited map[azurestair.Resource]int64
}

// Quiet makes the allocator grant nothing above floors until the predecessor's
// longest lease has run out.
func (a *Allocator) Quiet(until time.Time) { a.quietUntil = until }

// IsQuiet reports whether nothing above what is held may be granted yet.
func (a *Allocator) IsQuiet(now time.Time) bool { return now.Before(a.quietUntil) }

// Inherit takes the grants that this instance had from the predecessor, before
// any limit is set. The predecessor gave the same floors to others, which may
// be cut off now and keep them.
func (a *Allocator) Inherit(grants []azurestair.Grant) {
	a.inherited = map[azurestair.Resource]int64{}
	for _, g := range grants {
		a.inherited[g.Resource] = max(g.Floor, g.MaxFloor)
	}
}

// SetLimit sets the limit of a budget. A raise takes effect at once, and a
// lower limit as leases expire.
func (a *Allocator) SetLimit(r azurestair.Resource, l Limit) error {
	b := a.budgets[r]
	if b == nil {
		if len(a.budgets) >= MaxBudgets {
			return fmt.Errorf("%w: the allocator holds %d budgets", azurestair.ErrFull, MaxBudgets)
		}
		if a.budgets == nil {
			a.budgets = map[azurestair.Resource]*budget{}
		}
		b = &budget{shares: map[azurestair.InstanceID]*share{}, inherited: a.inherited[r]}
		b.setListed(a.listed)
		a.budgets[r] = b
	}
	b.setLimit(l)
	return nil
}

// SetLimits sets the limits of all budgets; one that is not listed allows
// nothing more and is dropped when its leases have expired.
func (a *Allocator) SetLimits(limits []ResourceLimit, now time.Time) error {
	listed := make(map[azurestair.Resource]bool, len(limits))
	for _, l := range limits {
		listed[l.Resource] = true
	}
	for r, b := range a.budgets {
		if listed[r] {
			continue
		}
		b.setLimit(Limit{})
		if !now.Before(b.lastGrant.Add(LeaseTTL)) {
			delete(a.budgets, r)
		}
	}
	for _, l := range limits {
		if err := a.SetLimit(l.Resource, l.Limit); err != nil {
			return err
		}
	}
	return nil
}

// Demand answers the demands of a holder. A report of an older incarnation, or
// of one holder too many, gets no grants. A report without demands, such as
// that of an instance without entry role, takes no place.
func (a *Allocator) Demand(
	holder azurestair.InstanceID, inc azurestair.Incarnation, demands []azurestair.Demand, now time.Time,
) []azurestair.Grant {
	if len(demands) == 0 || !a.admit(holder, inc, now) {
		return nil
	}
	quiet, hasFloor := now.Before(a.quietUntil), a.mayHaveFloor(holder)
	grants := make([]azurestair.Grant, 0, len(demands))
	for _, d := range demands {
		if b := a.budgets[d.Resource]; b != nil {
			b.holders = orDefault(a.MaxHolders, DefaultMaxHolders)
			s := b.share(holder, inc, now)
			s.unlisted = !hasFloor
			grants = append(grants, b.grant(s, d, quiet, now))
		}
	}
	return grants
}

// Outstanding returns the sum of the unexpired leases of a budget and the sum
// of the reserved floors.
func (a *Allocator) Outstanding(r azurestair.Resource, now time.Time) (leased, reserved int64) {
	b := a.budgets[r]
	if b == nil {
		return 0, 0
	}
	b.sweep(now)
	return b.held, b.reserve()
}

// budget is the state of one resource.
type budget struct {
	limit Limit
	// holders is the number of possible holders.
	holders int
	// listed names the holders that may have floors, nil for any, and unseen is
	// how many of them have no share.
	listed *HolderList
	unseen int64
	shares map[azurestair.InstanceID]*share
	// order holds the shares sorted by holder, so that what cannot be split
	// evenly goes to the same holders each time.
	order []*share
	// floor is what holders are given. It rises to limit.Floor only when there
	// is room for it.
	floor, inherited int64
	// held, recent, floors and use are the sums over the shares as last
	// counted. Leases that expired since make held too large, never too small.
	held, recent, floors, use int64
	ramp                      ramp
	lastGrant                 time.Time

	// recentUntil is the end of leases that are granted at the first fall of
	// the pool that leases from before may still exceed, and lastFallUntil the
	// same for the last fall.
	recentUntil, lastFallUntil time.Time
	pooled                     int64

	// warm is the amount up to which each holder is kept warm.
	warm    int64
	planned time.Time
	stale   bool
}

func (b *budget) setLimit(l Limit) {
	if b.limit != l {
		b.limit, b.stale = l, true
	}
}

// share returns the share of a holder, a new one if needed.
func (b *budget) share(id azurestair.InstanceID, inc azurestair.Incarnation, now time.Time) *share {
	s := b.shares[id]
	if s == nil {
		s = &share{holder: id, incarnation: inc}
		b.shares[id] = s
		i, _ := b.search(id)
		b.order = slices.Insert(b.order, i, s)
		b.stale = true
		b.setListed(b.listed)
	}
	if s.incarnation != inc {
		s.restart(inc, now)
	}
	return s
}

// forget drops a holder's share.
func (b *budget) forget(id azurestair.InstanceID) {
	s := b.shares[id]
	if s == nil {
		return
	}
	b.held -= s.held
	b.recent -= s.recent
	b.use -= s.use
	b.floors -= s.reserved
	delete(b.shares, id)
	i, _ := b.search(id)
	b.order = slices.Delete(b.order, i, i+1)
	b.setListed(b.listed)
}

func (b *budget) search(id azurestair.InstanceID) (int, bool) {
	return searchSorted(b.order, id, func(s *share) azurestair.InstanceID { return s.holder })
}

// grant answers one demand.
func (b *budget) grant(s *share, d azurestair.Demand, quiet bool, now time.Time) azurestair.Grant {
	s.lowest.add(s.inUse)
	s.want, s.inUse, s.remote, s.activeUntil = d.Want, d.InUse, d.Remote, now.Add(LeaseTTL)
	s.noteFloor(d.Floor, now)
	b.recount(s, now)
	if b.isPlanDue(now) {
		b.plan(now)
	}
	b.ramp.observe(b.use, b.limit.Interval, now)
	floor := b.grantedFloor(s, d, quiet)
	s.noteFloor(floor, now)
	amount := b.extension(s, d.Held, now)
	if !quiet {
		amount = b.amount(s, floor, now)
	}
	s.add(amount, floor, now)
	b.recount(s, now)
	b.lastGrant = now
	g := azurestair.Grant{Resource: d.Resource, Amount: amount, Floor: floor, TTLMs: azurestair.MillisOf(LeaseTTL)}
	if most := max(b.floor, b.inherited); (s.remote || b.listed != nil) && most > floor {
		g.MaxFloor = most
	}
	return g
}

// floorOf returns the floor that the holder of a share is given.
func (b *budget) floorOf(s *share) int64 { return b.floorFor(s, b.floor) }

// floorFor returns the floor of the holder of a share if each gets floor.
func (b *budget) floorFor(s *share, floor int64) int64 {
	if s.remote {
		return min(floor, b.limit.RemoteFloor)
	}
	return floor
}

// extension returns how much of a lease of the predecessor goes on. While the
// allocator is quiet it grants nothing else, so that the sum of all leases
// stays what the predecessor had granted.
func (b *budget) extension(s *share, held int64, now time.Time) int64 {
	room := b.total() - b.reserve() - (b.held - s.held)
	return max(0, min(held, room+b.spare(s, now)))
}

// amount returns what a share may lease now above its floor. Above the pool,
// which happens after it was lowered, a share may renew as much as keeps the
// leases that are granted since then within the pool. The leases of earlier
// incarnations are counted besides the new one. With a ramp, a renewal also
// covers no more than the use: a holder that lost its lease in between regains
// it only under the cap.
func (b *budget) amount(s *share, floor int64, now time.Time) int64 {
	pool := b.total() - b.reserve()
	b.noteLowered(pool, now)
	room := pool - (b.held - s.held)
	renewal := min(s.held, pool-(b.recent-s.recent))
	if b.limit.Interval > 0 {
		renewal = min(renewal, s.inUse-s.reserved)
	}
	return max(0, min(b.target(s, floor, now), max(room, renewal)+b.spare(s, now)))
}

// target returns what a share should lease: its fair part or, if that is
// more, the part that keeps it warm. It falls by at most half at a time.
func (b *budget) target(s *share, floor int64, now time.Time) int64 {
	fair := min(s.need(floor), s.level)
	return max(fair, need{remote: s.remote}.keptWarm(b.warm), min(s.last, s.held+b.spare(s, now))/2)
}

// spare returns what is reserved for a larger floor that the holder may still
// have, less what earlier incarnations lease. A lease takes it before it takes
// room in the pool.
func (b *budget) spare(s *share, now time.Time) int64 {
	return s.reserved - b.floorOf(s) - s.former.liveAmount(now)
}

// total returns what leases and floors may add up to now.
func (b *budget) total() int64 {
	if b.limit.Interval <= 0 {
		return b.limit.Total
	}
	return min(b.limit.Total, b.ramp.base()+b.limit.Step)
}

// reserve returns the floors of all holders that may have one, as last counted.
func (b *budget) reserve() int64 { return b.floors + b.unknown()*max(b.floor, b.inherited) }

// reserveFor returns the floors of all holders that may have one if floor is
// given to each. A known holder may still have a larger one, and so may one that has
// not reported to this leader.
func (b *budget) reserveFor(floor int64) int64 {
	sum := b.unknown() * max(floor, b.inherited)
	for _, s := range b.order {
		sum += max(s.floor, b.floorFor(s, floor))
	}
	return sum
}

// noteLowered notes a fall of the pool. While leases from before the first
// noted fall may exist, the first one stays, and later falls move only the end.
func (b *budget) noteLowered(pool int64, now time.Time) {
	fell := pool < b.pooled
	b.pooled = pool
	if fell {
		b.lastFallUntil = now.Add(LeaseTTL)
	}
	if now.Before(b.recentUntil) || b.recentUntil.Equal(b.lastFallUntil) {
		return
	}
	b.recentUntil = b.lastFallUntil
	for _, s := range b.order {
		b.recount(s, now)
	}
}

// recount brings the sums up to date with one share.
func (b *budget) recount(s *share, now time.Time) {
	b.held -= s.held
	b.recent -= s.recent
	b.use -= s.use
	b.floors -= s.reserved
	floor := b.floorOf(s)
	if reserved := max(s.floor, floor); s.reserved != reserved {
		// The levels count from what is reserved.
		s.reserved, b.stale = reserved, true
	}
	s.count(floor, b.recentUntil, now)
	b.held += s.held
	b.recent += s.recent
	b.use += s.use
	b.floors += s.reserved
}

func (b *budget) sweep(now time.Time) {
	for _, s := range b.order {
		b.recount(s, now)
	}
}

func (b *budget) isPlanDue(now time.Time) bool {
	keep := max(planInterval, time.Duration(len(b.order))*planPerHolder)
	return b.stale || !now.Before(b.planned.Add(keep))
}

// plan recomputes the floor and the levels.
func (b *budget) plan(now time.Time) {
	b.sweep(now)
	b.ramp.observe(b.use, b.limit.Interval, now)
	b.planFloor(now)
	b.planned, b.stale = now, false
	// With the pool for the wanted floor, leases shrink until it has room.
	pool := max(0, b.total()-b.reserveFor(b.limit.Floor))
	needs := make([]need, 0, len(b.order))
	for _, s := range b.order {
		if s.active(now) {
			needs = append(needs, need{amount: s.need(b.floorOf(s)), spare: max(0, b.spare(s, now)), remote: s.remote})
		}
	}
	level, warm, rest := levels(needs, pool, int64(b.holders))
	b.warm = warm * max(0, pool-b.spareFloors()) / max(1, pool)
	for _, s := range b.order {
		s.level = level
		if rest > 0 && s.active(now) && s.need(b.floorOf(s)) > level {
			s.level++
			rest--
		}
	}
}

// planFloor lowers the floor at once, and raises it when leases leave room.
func (b *budget) planFloor(now time.Time) {
	raised := b.limit.Floor > b.floor
	if raised && b.held+b.reserveFor(b.limit.Floor) > b.total() {
		return
	}
	if b.floor != b.limit.Floor {
		b.floor = b.limit.Floor
		b.sweep(now)
	}
}

// need is what a holder wants above its floor.
type need struct {
	amount int64
	// spare is reserved for the holder above its floor and takes no room in the pool.
	spare  int64
	remote bool
}

// remoteWarm is up to what a remote holder is kept warm: enough to start a
// shift without waiting, and soon given back.
const remoteWarm = 1

// keptWarm returns the part of an amount kept warm that the holder gets.
func (n need) keptWarm(warm int64) int64 {
	if n.remote {
		return min(warm, remoteWarm)
	}
	return warm
}

// levels returns the max-min fair level of the needs, the amount up to which
// the rest of the pool keeps each holder warm, which is an equal share at
// most, and how many holders may have one more than level. A remote holder gets
// less: it could use the amount within its shift budget only, and the holders
// of the region would wait for a lease time to get it.
func levels(needs []need, pool, holders int64) (level, warm, rest int64) {
	if len(needs) == 0 || holders <= 0 {
		return pool, 0, 0
	}
	filled := func(level, warm int64) int64 {
		sum := int64(0)
		for _, n := range needs {
			amount := max(min(n.amount, level), n.keptWarm(warm))
			sum += max(0, amount-n.spare)
		}
		return sum
	}
	most := pool
	for _, n := range needs {
		most = max(most, pool+n.spare)
		if n.remote {
			holders--
		}
	}
	holders = max(1, holders)
	level = highest(most, func(level int64) bool { return filled(level, 0) <= pool })
	warm = highest(pool/holders, func(warm int64) bool { return filled(level, warm) <= pool })
	return level, warm, pool - filled(level, warm)
}

// highest returns the largest number from 0 to limit that fits; a number fits
// if a larger one does, and zero always fits.
func highest(limit int64, fits func(int64) bool) int64 {
	return int64(sort.Search(int(limit), func(i int) bool { return !fits(int64(i) + 1) }))
}
