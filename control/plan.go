package control

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

const (
	// maxMoveRate is the fraction of a region's requests that a plan change may
	// move per second. This amounts to 8% from one 2 s interval to the next.
	// The deployments allow 15%, which leaves a margin for random variation.
	maxMoveRate = 0.04
	// returnRate is the fraction of a region's requests that returns per second
	// once the region has spare capacity again. returnThreshold is the fraction
	// that must be placed elsewhere before that happens: requests in other
	// regions cost link bandwidth, but each move costs a cold start for an
	// object.
	returnRate      = 0.01
	returnThreshold = 0.3
	// spreadThreshold is the fraction of requests that must need another
	// placement before the plan changes while callers are spread over all
	// regions. It avoids a change whenever an upstream joins or leaves.
	spreadThreshold = 0.1
	// planInterval is the time between two steps of a plan. It equals the
	// report interval.
	planInterval = time.Second
	// minShareChange is the smallest change of a share that is published.
	minShareChange = 0.005
	// minLoadChange is the smallest change of a region's load that is
	// published, as a fraction of its slots.
	minLoadChange = 0.1
	// targetLoad is the fraction of its slots up to which a plan loads a
	// region, unless the overall load is higher. The busiest upstream of a
	// region has about 1.5 times the mean load.
	targetLoad = 0.6
	// maxImbalance is the factor by which the load of a region may exceed the
	// overall load before the plan changes. Each object that moves is cold
	// once.
	maxImbalance = 1.25
	// capacityLossThreshold is the fraction of its slots that a region must
	// lose for the plan to change at once, without a rate limit, for
	// immediatePeriod. This happens when a failure domain fails or is
	// evacuated. The period is long enough for the effects of the loss to show
	// in the traffic, which takes a few reports.
	capacityLossThreshold = 0.125
	immediatePeriod       = 5 * time.Second
	// demandTimeConstant is the time constant with which the measured demand of
	// a region decays. It bridges the few seconds in which a restarting entry
	// reports no traffic.
	demandTimeConstant = 10 * time.Second
	// minDemand is the rate in requests per second below which a region counts
	// as having no traffic.
	minDemand = 0.01
	// minSpareCapacity is the fraction of a region's slots that counts as spare
	// capacity for other regions' objects even if its own traffic needs all of
	// them.
	minSpareCapacity = 0.001
)

// RegionPlanner computes the plans of all services from the usable upstreams
// and the traffic of each region. The zero value has no plans.
//
// The first plan assumes equal traffic in all regions. A plan changes while it
// gives a region more than its share of the load. The rate of change is
// limited, so that few objects move at a time, except after a large loss of
// capacity.
type RegionPlanner struct {
	// steppedAt is the time of the last step.
	steppedAt time.Time
	// demand is the request rate of each service and region.
	demand map[regionKey]float64
	// immediateUntil is the time until which the plan of a service that has
	// lost capacity may change without a rate limit.
	immediateUntil map[azurestair.ServiceName]time.Time
	locality       callerLocality
}

type regionKey struct {
	service azurestair.ServiceName
	region  azurestair.RegionName
}

// Step returns the plans that follow those of a snapshot, for its upstreams.
func (p *RegionPlanner) Step(s *azurestair.Snapshot, traffic map[azurestair.RegionName][]azurestair.Traffic, now time.Time) []azurestair.RegionPlan {
	elapsed := min(now.Sub(p.steppedAt), planInterval)
	if p.steppedAt.IsZero() {
		elapsed = planInterval
	}
	p.steppedAt = now
	p.updateDemand(traffic, elapsed)
	var out []azurestair.RegionPlan
	local := p.locality.update(s, len(p.demand) > 0, now)
	spread := s.HasNarrowLinks() && !local
	for _, service := range s.Config.Services {
		slots := slotsByRegion(s, service.Name)
		if len(slots) == 0 {
			continue
		}
		pl, known := p.newPlacement(service.Name, slots, slotsInUse(service.Name, traffic))
		pl.spread = spread
		out = append(out, p.step(service.Name, pl, known, s.PlansOf(service.Name), elapsed)...)
	}
	for i := range out {
		out[i].LocalCallers = local
	}
	slices.SortFunc(out, func(a, b azurestair.RegionPlan) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
	})
	return out
}

// updateDemand records the reported request rates. A falling rate decays
// slowly.
func (p *RegionPlanner) updateDemand(traffic map[azurestair.RegionName][]azurestair.Traffic, elapsed time.Duration) {
	if p.demand == nil {
		p.demand = map[regionKey]float64{}
	}
	decay := math.Exp(-float64(elapsed) / float64(demandTimeConstant))
	for k, n := range p.demand {
		if p.demand[k] = n * decay; p.demand[k] < minDemand {
			delete(p.demand, k)
		}
	}
	for r, list := range traffic {
		for _, t := range list {
			k := regionKey{service: t.Service, region: r}
			if rate := float64(t.Rate); rate >= minDemand {
				p.demand[k] = max(p.demand[k], rate)
			}
		}
	}
}

// slotsInUse returns how many slots the requests of all regions occupy.
func slotsInUse(service azurestair.ServiceName, traffic map[azurestair.RegionName][]azurestair.Traffic) float64 {
	sum := 0.0
	for _, list := range traffic {
		for _, t := range list {
			if t.Service == service {
				sum += float64(t.MeanSlots)
			}
		}
	}
	return sum
}

// slotsByRegion returns the slots of the usable upstreams in each region.
func slotsByRegion(s *azurestair.Snapshot, service azurestair.ServiceName) map[azurestair.RegionName]azurestair.Slots {
	slots := map[azurestair.RegionName]azurestair.Slots{}
	skipUnconfirmed := s.ExcludesUnconfirmed(service)
	for _, u := range s.Upstreams {
		a := u.Announcement
		if a.Service == service && a.State == azurestair.StateServing && !s.IsUpstreamDrained(a) && (u.Confirmed || !skipUnconfirmed) {
			slots[a.Region] += a.Slots
		}
	}
	return slots
}

// placement is the input for the plan of one service, indexed by region.
type placement struct {
	names []azurestair.RegionName
	slots []float64
	// demand is the number of slots that the callers of each region need.
	demand []float64
	// targetUtilization is the fraction of its slots up to which each region is
	// used.
	targetUtilization float64
	// spread is true if callers connect to the entries of all regions alike.
	spread bool
}

// step returns the plans of one service that follow the old ones.
func (p *RegionPlanner) step(service azurestair.ServiceName, pl placement, known bool, old []azurestair.RegionPlan, elapsed time.Duration) []azurestair.RegionPlan {
	target := pl.targetShares()
	if !known || len(old) == 0 {
		return pl.regionPlans(service, target, known)
	}
	if pl.hasLostCapacity(old) {
		if p.immediateUntil == nil {
			p.immediateUntil = map[azurestair.ServiceName]time.Time{}
		}
		p.immediateUntil[service] = p.steppedAt.Add(immediatePeriod)
	}
	shares := pl.previousShares(old, target)
	if p.steppedAt.Before(p.immediateUntil[service]) && pl.isImbalanced(shares, 1) {
		return pl.regionPlans(service, target, true)
	}
	imbalanced := pl.isImbalanced(shares, maxImbalance)
	for i := range shares {
		switch {
		case imbalanced, pl.spread && movedFraction(shares[i], target[i]) > spreadThreshold:
			moveTowards(shares[i], target[i], maxMoveRate*elapsed.Seconds())
		case target[i][i]-shares[i][i] > returnThreshold:
			moveTowards(shares[i], target[i], returnRate*elapsed.Seconds())
		}
	}
	return pl.regionPlans(service, shares, true)
}

// newPlacement returns the placement over the regions that have slots or
// traffic, and whether there is traffic. Without traffic it assumes equal
// demand in all regions and that all slots are in use.
func (p *RegionPlanner) newPlacement(service azurestair.ServiceName, slots map[azurestair.RegionName]azurestair.Slots, busySlots float64) (placement, bool) {
	names := map[azurestair.RegionName]bool{}
	for n := range slots {
		names[n] = true
	}
	requestRate, total := 0.0, 0.0
	for k, n := range p.demand {
		if k.service == service {
			names[k.region] = true
			requestRate += n
		}
	}
	pl := placement{names: slices.Sorted(maps.Keys(names)), targetUtilization: 1}
	for _, name := range pl.names {
		pl.slots = append(pl.slots, float64(slots[name]))
		total += float64(slots[name])
	}
	known := requestRate > 0 && busySlots > 0
	for _, name := range pl.names {
		demand := total / float64(len(pl.names))
		if known {
			demand = p.demand[regionKey{service: service, region: name}] * busySlots / requestRate
		}
		pl.demand = append(pl.demand, demand)
	}
	if known {
		pl.targetUtilization = max(targetLoad, busySlots/max(total, 1))
	}
	return pl, known
}

// targetShares returns the shares with which each region keeps what its slots
// can handle and the excess goes to regions with spare capacity. When callers
// are spread over all regions, every region gets the same shares, in proportion
// to the slots. Requests for an object then arrive in every region, and with
// different shares they would be placed in different regions and find the
// object cold in each of them.
func (p placement) targetShares() [][]float64 {
	n := len(p.names)
	if p.spread {
		return slices.Repeat([][]float64{normalize(p.slots)}, n)
	}
	spare, keep := make([]float64, n), make([]float64, n)
	for i := range p.names {
		limit := p.targetUtilization * p.slots[i]
		keep[i] = 1
		if p.demand[i] > limit {
			keep[i] = limit / p.demand[i]
		}
		spare[i] = max(limit-p.demand[i], minSpareCapacity*p.slots[i])
	}
	out := make([][]float64, n)
	for i := range out {
		out[i] = homeShares(i, keep[i], spare)
	}
	return out
}

// normalize returns each value as a fraction of the sum.
func normalize(values []float64) []float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	fractions := make([]float64, len(values))
	for i, v := range values {
		fractions[i] = v / max(sum, 1)
	}
	return fractions
}

// homeShares returns the shares of the region with index home, which keeps the
// fraction keep and distributes the rest over the other regions in proportion
// to their spare capacity.
func homeShares(home int, keep float64, spare []float64) []float64 {
	otherSpare := 0.0
	for i, n := range spare {
		if i != home {
			otherSpare += n
		}
	}
	shares := make([]float64, len(spare))
	shares[home] = 1
	if otherSpare > 0 {
		shares[home] = keep
	}
	for i, n := range spare {
		if i != home && otherSpare > 0 {
			shares[i] = (1 - keep) * n / otherSpare
		}
	}
	return shares
}

// previousShares returns the shares of the old plans for the current regions,
// or the target shares for a region without an old plan.
func (p placement) previousShares(old []azurestair.RegionPlan, target [][]float64) [][]float64 {
	out := make([][]float64, len(p.names))
	for i, name := range p.names {
		out[i] = slices.Clone(target[i])
		for _, o := range old {
			if o.Region != name {
				continue
			}
			shares, sum := make([]float64, len(p.names)), 0.0
			for _, s := range o.Shares {
				if j := slices.Index(p.names, s.Region); j >= 0 {
					shares[j] = s.Share
					sum += s.Share
				}
			}
			if sum == 0 {
				continue
			}
			for j := range shares {
				out[i][j] = shares[j] / sum
			}
		}
	}
	return out
}

// hasLostCapacity reports whether a region has considerably fewer slots than
// the old plans assumed.
func (p placement) hasLostCapacity(old []azurestair.RegionPlan) bool {
	return slices.ContainsFunc(old, func(o azurestair.RegionPlan) bool {
		i := slices.Index(p.names, o.Region)
		return i < 0 || p.slots[i] < (1-capacityLossThreshold)*float64(o.Capacity)
	})
}

// movedFraction returns the fraction of the requests that a change of the
// shares moves.
func movedFraction(shares, target []float64) float64 {
	moved := 0.0
	for i, t := range target {
		moved += max(0, t-shares[i])
	}
	return moved
}

// moveTowards moves shares towards target by at most step.
func moveTowards(shares, target []float64, step float64) {
	remaining := movedFraction(shares, target)
	if remaining == 0 {
		return
	}
	fraction := min(1, step/remaining)
	for i, t := range target {
		shares[i] += (t - shares[i]) * fraction
	}
}

// isImbalanced reports whether a region has to handle more than factor times
// its share of the load.
func (p placement) isImbalanced(shares [][]float64, factor float64) bool {
	for i, slots := range p.slots {
		if p.carriedLoad(shares, i) > max(targetLoad, factor*p.targetUtilization)*slots+1e-9 {
			return true
		}
	}
	return false
}

// carriedLoad returns how many slots of a region the shares use.
func (p placement) carriedLoad(shares [][]float64, region int) float64 {
	sum := 0.0
	for home := range p.names {
		sum += p.demand[home] * shares[home][region]
	}
	return sum
}

// regionPlans returns the shares in the published form, with the load if it is
// known.
func (p placement) regionPlans(service azurestair.ServiceName, shares [][]float64, known bool) []azurestair.RegionPlan {
	out := make([]azurestair.RegionPlan, len(p.names))
	for i, name := range p.names {
		out[i] = azurestair.RegionPlan{Service: service, Region: name, Capacity: azurestair.Slots(p.slots[i])}
		if known {
			out[i].PlannedSlots, out[i].TargetUtilization = azurestair.MeanSlots(math.Round(p.carriedLoad(shares, i))), math.Round(p.targetUtilization*100)/100
		}
		for j, share := range shares[i] {
			if share > 0 {
				share = min(1, math.Round(share*1000)/1000)
				out[i].Shares = append(out[i].Shares, azurestair.RegionShare{Region: p.names[j], Share: share})
			}
		}
	}
	return out
}

// plansDiffer reports whether two lists of plans differ by more than the
// minimum published changes.
func plansDiffer(old, cur []azurestair.RegionPlan) bool {
	return !slices.EqualFunc(old, cur, func(a, b azurestair.RegionPlan) bool {
		return a.Service == b.Service && a.Region == b.Region && a.Capacity == b.Capacity && a.LocalCallers == b.LocalCallers &&
			math.Abs(float64(a.PlannedSlots-b.PlannedSlots)) <= minLoadChange*float64(a.Capacity) && math.Abs(a.TargetUtilization-b.TargetUtilization) <= minLoadChange &&
			slices.EqualFunc(a.Shares, b.Shares, func(x, y azurestair.RegionShare) bool {
				return x.Region == y.Region && math.Abs(x.Share-y.Share) < minShareChange
			})
	})
}
