package control

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"azurestair.example/azurestair"
)

// Timing and size limits of the allocator.
const (
	// LeaseTTL is how long a grant is valid.
	LeaseTTL = 2 * time.Second
	// GracePeriod is how long a new leader grants nothing above floors. It is
	// the longest lease of the previous leader plus a margin for clock drift.
	GracePeriod = LeaseTTL + LeaseTTL/20
	// rebalanceInterval is the minimum time between two computations of the
	// fair level of a budget, which iterate over all holders.
	// rebalancePerHolder extends it in large fleets (1.4 s at 690 holders), so
	// that the cost of rebalancing grows no faster than the cost of the
	// reports.
	rebalanceInterval  = 200 * time.Millisecond
	rebalancePerHolder = 2 * time.Millisecond

	// DefaultMaxHolders is the number of holders for which floors are reserved.
	DefaultMaxHolders = 8
	// MaxBudgets bounds the budgets of an Allocator.
	MaxBudgets = 4096
)

// Allocator leases budgets to entry instances. Its state is not replicated:
// each leader rebuilds it.
//
// Invariant: for each budget, the unexpired leases (the largest one of each
// holder) and the floors of all holders that may have one never add up to more
// than the limit. A lease counts until it expires at the leader even if a later
// one is smaller, because the holder may never receive the later one. If the
// reserved floor is larger than the floor that a lease was granted with, only
// the part of the lease's total above the reserved floor counts. After a limit
// is lowered, the invariant holds again one LeaseTTL later.
//
// Leased amounts follow demand with max-min fairness. Capacity that no holder
// demands is leased to each holder up to an equal share, so that a burst can
// start without waiting for the leader.
//
// The zero value has no budgets.
type Allocator struct {
	// MaxHolders is the number of possible holders. Zero means
	// DefaultMaxHolders.
	MaxHolders int

	graceUntil time.Time
	holders    map[azurestair.InstanceID]*holderState
	budgets    map[azurestair.Resource]*budget
	// listed contains the holders that may have floors. If nil, any holder may.
	listed *HolderList
	// changes holds the pending changes of the holder list.
	changes map[azurestair.InstanceID]listChange
	// inherited holds the floors that the previous leader may have granted.
	inherited map[azurestair.Resource]int64
}

// StartGracePeriod starts a grace period in which the allocator grants nothing
// above floors, because leases of the previous leader may still be valid. until
// is when the longest of them has expired.
func (a *Allocator) StartGracePeriod(until time.Time) { a.graceUntil = until }

// InGracePeriod reports whether the grace period of a new leader is still
// running.
func (a *Allocator) InGracePeriod(now time.Time) bool { return now.Before(a.graceUntil) }

// Inherit records the grants that this instance had from the previous leader.
// It must be called before any limit is set. The previous leader granted the
// same floors to other holders, which may be partitioned now and still use
// them.
func (a *Allocator) Inherit(grants []azurestair.Grant) {
	a.inherited = map[azurestair.Resource]int64{}
	for _, g := range grants {
		a.inherited[g.Resource] = max(g.Floor, g.MaxFloor)
	}
}

// SetLimit sets the limit of a budget. An increase takes effect immediately,
// and a decrease as leases expire.
func (a *Allocator) SetLimit(r azurestair.Resource, l Limit) error {
	b := a.budgets[r]
	if b == nil {
		if len(a.budgets) >= MaxBudgets {
			return fmt.Errorf("%w: the allocator already holds %d budgets", azurestair.ErrFull, MaxBudgets)
		}
		if a.budgets == nil {
			a.budgets = map[azurestair.Resource]*budget{}
		}
		b = &budget{allocations: map[azurestair.InstanceID]*allocation{}, inherited: a.inherited[r]}
		b.setListed(a.listed)
		a.budgets[r] = b
	}
	b.setLimit(l)
	return nil
}

// SetLimits sets the limits of all budgets. A budget that is not in the list
// gets the limit zero and is removed once its leases have expired.
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

// Grant returns the grants for the demands of a holder. A report from an older
// incarnation, or from a holder beyond MaxHolders, gets no grants. A report
// without demands, such as one from an instance without the entry role, does
// not count towards MaxHolders.
func (a *Allocator) Grant(
	holder azurestair.InstanceID, inc azurestair.Incarnation, demands []azurestair.Demand, now time.Time,
) []azurestair.Grant {
	if len(demands) == 0 || !a.admit(holder, inc, now) {
		return nil
	}
	inGracePeriod, hasFloor := now.Before(a.graceUntil), a.mayHaveFloor(holder)
	grants := make([]azurestair.Grant, 0, len(demands))
	for _, d := range demands {
		if b := a.budgets[d.Resource]; b != nil {
			b.holders = valueOrDefault(a.MaxHolders, DefaultMaxHolders)
			alloc := b.allocation(holder, inc, now)
			alloc.withoutFloor = !hasFloor
			grants = append(grants, b.grant(alloc, d, inGracePeriod, now))
		}
	}
	return grants
}

// Leased returns the sum of the unexpired leases of a budget and the sum
// of its reserved floors.
func (a *Allocator) Leased(r azurestair.Resource, now time.Time) (leased, reserved int64) {
	b := a.budgets[r]
	if b == nil {
		return 0, 0
	}
	b.updateAllocations(now)
	return b.leasedSum, b.reservedFloors()
}

// budget is the state of one resource.
type budget struct {
	limit Limit
	// holders is the number of possible holders.
	holders int
	// listed contains the holders that may have floors, or nil for any.
	// unreportedListed is the number of listed holders without an allocation.
	listed           *HolderList
	unreportedListed int64
	allocations      map[azurestair.InstanceID]*allocation
	// order holds the allocations sorted by holder, so that the remainder of an
	// uneven split goes to the same holders each time.
	order []*allocation
	// floor is the common floor of the holders. It is raised to limit.Floor
	// only when leases leave enough capacity. inherited is the floor that the
	// previous leader may have granted.
	floor, inherited int64
	// leasedSum, recentSum, reservedSum and useSum are sums over the
	// allocations as of their last update. Leases that have expired since then
	// make leasedSum too large, never too small.
	leasedSum, recentSum, reservedSum, useSum int64
	ramp                                      ramp
	lastGrant                                 time.Time

	// recentUntil is when all leases granted before the first tracked reduction
	// of the pool have expired. Leases that end at this time or later were
	// granted after it. lastReductionUntil is the same time for the latest
	// reduction.
	recentUntil, lastReductionUntil time.Time
	// lastPool is the size of the pool when it was last checked for a
	// reduction.
	lastPool int64

	// idleAmount is the amount up to which each holder keeps a lease without
	// demand.
	idleAmount   int64
	rebalancedAt time.Time
	// stale is true when the limit, the holders or the reserved floors have
	// changed since the last rebalance.
	stale bool
}

func (b *budget) setLimit(l Limit) {
	if b.limit != l {
		b.limit, b.stale = l, true
	}
}

// allocation returns the allocation of a holder and creates it if necessary.
func (b *budget) allocation(id azurestair.InstanceID, inc azurestair.Incarnation, now time.Time) *allocation {
	a := b.allocations[id]
	if a == nil {
		a = &allocation{holder: id, incarnation: inc}
		b.allocations[id] = a
		i, _ := b.search(id)
		b.order = slices.Insert(b.order, i, a)
		b.stale = true
		b.setListed(b.listed)
	}
	if a.incarnation != inc {
		a.startIncarnation(inc, now)
	}
	return a
}

// removeHolder removes the allocation of a holder.
func (b *budget) removeHolder(id azurestair.InstanceID) {
	a := b.allocations[id]
	if a == nil {
		return
	}
	b.leasedSum -= a.leased
	b.recentSum -= a.recent
	b.useSum -= a.use
	b.reservedSum -= a.reserved
	delete(b.allocations, id)
	i, _ := b.search(id)
	b.order = slices.Delete(b.order, i, i+1)
	b.setListed(b.listed)
}

func (b *budget) search(id azurestair.InstanceID) (int, bool) {
	return searchSorted(b.order, id, func(a *allocation) azurestair.InstanceID { return a.holder })
}

// grant returns the grant for one demand.
func (b *budget) grant(a *allocation, d azurestair.Demand, inGracePeriod bool, now time.Time) azurestair.Grant {
	a.recentUse.add(a.inUse)
	a.want, a.inUse, a.remote, a.activeUntil = d.Want, d.InUse, d.OtherRegion, now.Add(LeaseTTL)
	a.noteFloor(d.Floor, now)
	b.updateAllocation(a, now)
	if b.isRebalanceDue(now) {
		b.rebalance(now)
	}
	b.ramp.observe(b.useSum, b.limit.Interval, now)
	floor := b.grantedFloor(a, d, inGracePeriod)
	a.noteFloor(floor, now)
	amount := b.extendedAmount(a, d.Leased, now)
	if !inGracePeriod {
		amount = b.leaseAmount(a, floor, now)
	}
	a.add(amount, floor, now)
	b.updateAllocation(a, now)
	b.lastGrant = now
	g := azurestair.Grant{Resource: d.Resource, Amount: amount, Floor: floor, TTLMs: azurestair.MillisOf(LeaseTTL)}
	if maxFloor := max(b.floor, b.inherited); (a.remote || b.listed != nil) && maxFloor > floor {
		g.MaxFloor = maxFloor
	}
	return g
}

// currentFloor returns the floor of the holder of an allocation at the current
// common floor. grantedFloor may withhold a part of it for a while.
func (b *budget) currentFloor(a *allocation) int64 { return b.floorAt(a, b.floor) }

// floorAt returns the floor of the holder of an allocation if the common floor
// is floor. It is smaller for a remote holder.
func (b *budget) floorAt(a *allocation, floor int64) int64 {
	if a.remote {
		return min(floor, b.limit.RemoteFloor)
	}
	return floor
}

// extendedAmount returns how much of a lease from the previous leader is
// extended. During the grace period nothing else is leased, so the sum of all
// leases stays within what the previous leader granted.
func (b *budget) extendedAmount(a *allocation, held int64, now time.Time) int64 {
	available := b.currentTotal() - b.reservedFloors() - (b.leasedSum - a.leased)
	return max(0, min(held, available+b.unusedReserve(a, now)))
}

// leaseAmount returns what a holder may lease above its floor. While leases
// exceed the pool, which happens after the pool was reduced, a holder may renew
// as much as keeps the leases granted since then within the pool. Leases of
// earlier incarnations count in addition to the new one. In a budget with a
// ramp, a renewal also covers no more than the current use: a holder whose
// lease expired in between may grow back only within the allowed increase.
func (b *budget) leaseAmount(a *allocation, floor int64, now time.Time) int64 {
	pool := b.currentTotal() - b.reservedFloors()
	b.trackPoolReduction(pool, now)
	available := pool - (b.leasedSum - a.leased)
	renewal := min(a.leased, pool-(b.recentSum-a.recent))
	if b.limit.Interval > 0 {
		renewal = min(renewal, a.inUse-a.reserved)
	}
	return max(0, min(b.targetAmount(a, floor, now), max(available, renewal)+b.unusedReserve(a, now)))
}

// targetAmount returns what a holder should lease: its fair share or, if
// larger, its idle lease. The target falls by at most half at a time.
func (b *budget) targetAmount(a *allocation, floor int64, now time.Time) int64 {
	fair := min(a.demandAbove(floor), a.fairLevel)
	return max(fair, holderDemand{remote: a.remote}.idleLease(b.idleAmount), min(a.lastAmount, a.leased+b.unusedReserve(a, now))/2)
}

// unusedReserve returns what is reserved for a larger floor that the holder may
// still have, less what earlier incarnations lease. A lease uses this amount
// before it uses the pool.
func (b *budget) unusedReserve(a *allocation, now time.Time) int64 {
	return a.reserved - b.currentFloor(a) - a.previous.liveAmount(now)
}

// currentTotal returns the current upper bound of leases plus floors.
func (b *budget) currentTotal() int64 {
	if b.limit.Interval <= 0 {
		return b.limit.Total
	}
	return min(b.limit.Total, b.ramp.base()+b.limit.Step)
}

// reservedFloors returns the sum of the floors of all holders that may have
// one, as of the last update.
func (b *budget) reservedFloors() int64 {
	return b.reservedSum + b.unreportedHolders()*max(b.floor, b.inherited)
}

// reservedFloorsAt returns the sum of the floors of all holders that may have
// one if each is granted floor. A holder may still have a larger one, whether
// or not it has reported to this leader.
func (b *budget) reservedFloorsAt(floor int64) int64 {
	sum := b.unreportedHolders() * max(floor, b.inherited)
	for _, a := range b.order {
		sum += max(a.floor, b.floorAt(a, floor))
	}
	return sum
}

// trackPoolReduction records a reduction of the pool. While leases from before
// the first recorded reduction may exist, recentUntil stays, and later
// reductions only move lastReductionUntil.
func (b *budget) trackPoolReduction(pool int64, now time.Time) {
	reduced := pool < b.lastPool
	b.lastPool = pool
	if reduced {
		b.lastReductionUntil = now.Add(LeaseTTL)
	}
	if now.Before(b.recentUntil) || b.recentUntil.Equal(b.lastReductionUntil) {
		return
	}
	b.recentUntil = b.lastReductionUntil
	for _, a := range b.order {
		b.updateAllocation(a, now)
	}
}

// updateAllocation recomputes one allocation and adjusts the sums of the
// budget.
func (b *budget) updateAllocation(a *allocation, now time.Time) {
	b.leasedSum -= a.leased
	b.recentSum -= a.recent
	b.useSum -= a.use
	b.reservedSum -= a.reserved
	floor := b.currentFloor(a)
	if reserved := max(a.floor, floor); a.reserved != reserved {
		// The fair levels depend on the reserved floors.
		a.reserved, b.stale = reserved, true
	}
	a.updateSums(floor, b.recentUntil, now)
	b.leasedSum += a.leased
	b.recentSum += a.recent
	b.useSum += a.use
	b.reservedSum += a.reserved
}

func (b *budget) updateAllocations(now time.Time) {
	for _, a := range b.order {
		b.updateAllocation(a, now)
	}
}

func (b *budget) isRebalanceDue(now time.Time) bool {
	interval := max(rebalanceInterval, time.Duration(len(b.order))*rebalancePerHolder)
	return b.stale || !now.Before(b.rebalancedAt.Add(interval))
}

// rebalance recomputes the floor and the fair levels.
func (b *budget) rebalance(now time.Time) {
	b.updateAllocations(now)
	b.ramp.observe(b.useSum, b.limit.Interval, now)
	b.updateFloor(now)
	b.rebalancedAt, b.stale = now, false
	// Using the pool that remains at the configured floor shrinks the leases
	// until there is capacity to raise the floor.
	pool := max(0, b.currentTotal()-b.reservedFloorsAt(b.limit.Floor))
	demands := make([]holderDemand, 0, len(b.order))
	for _, a := range b.order {
		if a.active(now) {
			demands = append(demands, holderDemand{amount: a.demandAbove(b.currentFloor(a)), unusedReserve: max(0, b.unusedReserve(a, now)), remote: a.remote})
		}
	}
	level, idle, remainder := fairLevels(demands, pool, int64(b.holders))
	b.idleAmount = idle * max(0, pool-b.unassignedFloors()) / max(1, pool)
	for _, a := range b.order {
		a.fairLevel = level
		if remainder > 0 && a.active(now) && a.demandAbove(b.currentFloor(a)) > level {
			a.fairLevel++
			remainder--
		}
	}
}

// updateFloor lowers the floor immediately, and raises it when leases leave
// enough capacity.
func (b *budget) updateFloor(now time.Time) {
	raises := b.limit.Floor > b.floor
	if raises && b.leasedSum+b.reservedFloorsAt(b.limit.Floor) > b.currentTotal() {
		return
	}
	if b.floor != b.limit.Floor {
		b.floor = b.limit.Floor
		b.updateAllocations(now)
	}
}

// holderDemand is what a holder demands above its floor.
type holderDemand struct {
	amount int64
	// unusedReserve is reserved for the holder above its floor and does not
	// count against the pool.
	unusedReserve int64
	remote        bool
}

// remoteIdleLease caps the idle lease of a remote holder. An amount of one is
// enough to start a shift without waiting, and is soon returned.
const remoteIdleLease = 1

// idleLease returns the part of an idle amount that the holder gets.
func (d holderDemand) idleLease(idle int64) int64 {
	if d.remote {
		return min(idle, remoteIdleLease)
	}
	return idle
}

// fairLevels returns the max-min fair level of the demands, the idle amount to
// which the rest of the pool tops up each holder (at most an equal share), and
// how many holders may get one more than level. A remote holder gets a smaller
// idle lease: it can use the amount only within its shift budget, and the
// holders of the region would have to wait one lease time to get it back.
func fairLevels(demands []holderDemand, pool, holders int64) (level, idle, remainder int64) {
	if len(demands) == 0 || holders <= 0 {
		return pool, 0, 0
	}
	leasedAt := func(level, idle int64) int64 {
		sum := int64(0)
		for _, d := range demands {
			amount := max(min(d.amount, level), d.idleLease(idle))
			sum += max(0, amount-d.unusedReserve)
		}
		return sum
	}
	maxLevel := pool
	for _, d := range demands {
		maxLevel = max(maxLevel, pool+d.unusedReserve)
		if d.remote {
			holders--
		}
	}
	holders = max(1, holders)
	level = largestFitting(maxLevel, func(level int64) bool { return leasedAt(level, 0) <= pool })
	idle = largestFitting(pool/holders, func(idle int64) bool { return leasedAt(level, idle) <= pool })
	return level, idle, pool - leasedAt(level, idle)
}

// largestFitting returns the largest number from 0 to limit for which fits is
// true. fits must be true for zero and for every number below one that fits.
func largestFitting(limit int64, fits func(int64) bool) int64 {
	return int64(sort.Search(int(limit), func(i int) bool { return !fits(int64(i) + 1) }))
}
