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
	// maxShiftPerSecond is the share of a region's requests that a change of the
	// plan moves in a second. Between two spans of 2 s it moves 8%; the
	// deployments allow 15%, of which chance needs a part.
	maxShiftPerSecond = 0.04
	// returnPerSecond is the share of a region's requests that comes back in a
	// second once the region has room again, and returnGap the share that it must
	// lack: work in other regions costs bytes, but each move costs a cold object.
	returnPerSecond = 0.01
	returnGap       = 0.3
	// spreadGap is the part of the requests that must be placed otherwise before
	// the plan changes while callers are spread; upstreams come and go all the time.
	spreadGap = 0.1
	// planStep is the time between two steps of a plan, that of reports.
	planStep = time.Second
	// planChange is the least change of a share that is published.
	planChange = 0.005
	// loadChange is the least change of a region's load, in parts of its slots,
	// that is published.
	loadChange = 0.1
	// calmLoad is the part of a region's slots up to which a plan may load it.
	// The busiest upstream of a region has about one and a half times the mean.
	calmLoad = 0.6
	// loadSpread is by how much the load of a region may exceed that of all
	// before the plan changes: each object that moves is cold once.
	loadSpread = 1.25
	// lostRoom is the part of its slots whose loss lets the plan change at once,
	// for hurryFor: a zone is lost or evacuated. What the loss leads to shows in
	// the traffic within a few reports.
	lostRoom = 0.125
	hurryFor = 5 * time.Second
	// demandMemory is the time constant with which a region's traffic falls: an
	// entry that restarts counts nothing for a few seconds.
	demandMemory = 10 * time.Second
	// leastDemand is the rate, in requests a second, below which a region counts
	// as one without traffic.
	leastDemand = 0.01
	// spareRoom is the part of a region's slots that counts as room for objects
	// of others when it has none beyond its own traffic.
	spareRoom = 0.001
)

// Planner makes the plans of all services from the usable upstreams and the
// traffic of each region. The zero value has no plans.
//
// A plan starts as if all regions had the same traffic. It changes while it
// gives a region more than its part of the load, slowly, so that few objects
// move at a time, but at once after the loss of much room.
type Planner struct {
	// at is the time of the last step.
	at time.Time
	// demand is the rate of requests of each service and region.
	demand map[regionKey]float64
	// hurryUntil is until when the plan of a service that has lost room may
	// change at once.
	hurryUntil map[azurestair.ServiceName]time.Time
}

type regionKey struct {
	service azurestair.ServiceName
	region  azurestair.RegionName
}

// Step returns the plans that follow those of a snapshot with its upstreams.
func (p *Planner) Step(s *azurestair.Snapshot, traffic map[azurestair.RegionName][]azurestair.Traffic, now time.Time) []azurestair.RegionPlan {
	elapsed := min(now.Sub(p.at), planStep)
	if p.at.IsZero() {
		elapsed = planStep
	}
	p.at = now
	p.learn(traffic, elapsed)
	var out []azurestair.RegionPlan
	spread := s.SpreadsCallers()
	for _, service := range s.Config.Services {
		slots := slotsOf(s, service.Name)
		if len(slots) == 0 {
			continue
		}
		r, known := p.regionsOf(service.Name, slots, busyOf(service.Name, traffic))
		r.spread = spread
		out = append(out, p.step(service.Name, r, known, s.PlanOf(service.Name), elapsed)...)
	}
	slices.SortFunc(out, func(a, b azurestair.RegionPlan) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
	})
	return out
}

// learn takes over the rates of requests; they fall slowly.
func (p *Planner) learn(traffic map[azurestair.RegionName][]azurestair.Traffic, elapsed time.Duration) {
	if p.demand == nil {
		p.demand = map[regionKey]float64{}
	}
	left := math.Exp(-float64(elapsed) / float64(demandMemory))
	for k, n := range p.demand {
		if p.demand[k] = n * left; p.demand[k] < leastDemand {
			delete(p.demand, k)
		}
	}
	for r, list := range traffic {
		for _, t := range list {
			k := regionKey{service: t.Service, region: r}
			if rate := float64(t.Rate); rate >= leastDemand {
				p.demand[k] = max(p.demand[k], rate)
			}
		}
	}
}

// busyOf returns how many slots the requests of all regions take.
func busyOf(service azurestair.ServiceName, traffic map[azurestair.RegionName][]azurestair.Traffic) float64 {
	busy := 0.0
	for _, list := range traffic {
		for _, t := range list {
			if t.Service == service {
				busy += float64(t.Slots)
			}
		}
	}
	return busy
}

// slotsOf returns the slots of each region's usable upstreams.
func slotsOf(s *azurestair.Snapshot, service azurestair.ServiceName) map[azurestair.RegionName]azurestair.Slots {
	slots := map[azurestair.RegionName]azurestair.Slots{}
	skip := s.SkipsUnconfirmed(service)
	for _, u := range s.Upstreams {
		a := u.Announcement
		if a.Service == service && a.State == azurestair.StateServing && !s.IsUpstreamDrained(a) && (u.Confirmed || !skip) {
			slots[a.Region] += a.Slots
		}
	}
	return slots
}

// regions is one service's plan as a matrix over its regions.
type regions struct {
	names []azurestair.RegionName
	slots []float64
	// demand is what the callers of each region take, in slots.
	demand []float64
	// fill is the part of its slots up to which each region is to be used.
	fill float64
	// spread is true if callers reach the entries of all regions alike.
	spread bool
}

// step returns the plans of one service that follow the old ones.
func (p *Planner) step(service azurestair.ServiceName, r regions, known bool, old []azurestair.RegionPlan, elapsed time.Duration) []azurestair.RegionPlan {
	target := r.target()
	if !known || len(old) == 0 {
		return r.plans(service, target, known)
	}
	if r.hasLostRoom(old) {
		if p.hurryUntil == nil {
			p.hurryUntil = map[azurestair.ServiceName]time.Time{}
		}
		p.hurryUntil[service] = p.at.Add(hurryFor)
	}
	shares := r.sharesIn(old, target)
	if p.at.Before(p.hurryUntil[service]) && r.isUneven(shares, 1) {
		return r.plans(service, target, true)
	}
	isUneven := r.isUneven(shares, loadSpread)
	for i := range shares {
		switch {
		case isUneven, r.spread && distanceOf(shares[i], target[i]) > spreadGap:
			approach(shares[i], target[i], maxShiftPerSecond*elapsed.Seconds())
		case target[i][i]-shares[i][i] > returnGap:
			approach(shares[i], target[i], returnPerSecond*elapsed.Seconds())
		}
	}
	return r.plans(service, shares, true)
}

// regionsOf returns the regions that have room or traffic, and whether there is
// traffic. Without it, all regions count as having the same, and the slots as
// all in use.
func (p *Planner) regionsOf(service azurestair.ServiceName, slots map[azurestair.RegionName]azurestair.Slots, busy float64) (regions, bool) {
	names := map[azurestair.RegionName]bool{}
	for n := range slots {
		names[n] = true
	}
	asked, total := 0.0, 0.0
	for k, n := range p.demand {
		if k.service == service {
			names[k.region] = true
			asked += n
		}
	}
	r := regions{names: slices.Sorted(maps.Keys(names)), fill: 1}
	for _, name := range r.names {
		r.slots = append(r.slots, float64(slots[name]))
		total += float64(slots[name])
	}
	isKnown := asked > 0 && busy > 0
	for _, name := range r.names {
		part := total / float64(len(r.names))
		if isKnown {
			part = p.demand[regionKey{service: service, region: name}] * busy / asked
		}
		r.demand = append(r.demand, part)
	}
	if isKnown {
		r.fill = max(calmLoad, busy/max(total, 1))
	}
	return r, isKnown
}

// target returns the shares in which each region keeps what its slots carry,
// and the rest goes to regions with room left. When callers are spread, all
// regions have the same shares, by the slots: requests for an object arrive in
// each region, and would otherwise find it cold in each.
func (r regions) target() [][]float64 {
	n := len(r.names)
	if r.spread {
		return slices.Repeat([][]float64{partsOf(r.slots)}, n)
	}
	room, keep := make([]float64, n), make([]float64, n)
	for i := range r.names {
		limit := r.fill * r.slots[i]
		keep[i] = 1
		if r.demand[i] > limit {
			keep[i] = limit / r.demand[i]
		}
		room[i] = max(limit-r.demand[i], spareRoom*r.slots[i])
	}
	out := make([][]float64, n)
	for i := range out {
		out[i] = sharesOf(i, keep[i], room)
	}
	return out
}

// partsOf returns the part of each in the sum of all.
func partsOf(list []float64) []float64 {
	sum := 0.0
	for _, n := range list {
		sum += n
	}
	parts := make([]float64, len(list))
	for i, n := range list {
		parts[i] = n / max(sum, 1)
	}
	return parts
}

// sharesOf returns the shares of the region with the index home, which keeps
// the part keep and spreads the rest over the others by their room.
func sharesOf(home int, keep float64, room []float64) []float64 {
	others := 0.0
	for i, n := range room {
		if i != home {
			others += n
		}
	}
	shares := make([]float64, len(room))
	shares[home] = 1
	if others > 0 {
		shares[home] = keep
	}
	for i, n := range room {
		if i != home && others > 0 {
			shares[i] = (1 - keep) * n / others
		}
	}
	return shares
}

// sharesIn returns the shares of earlier plans in the regions of now, or those of
// target for a region without any.
func (r regions) sharesIn(old []azurestair.RegionPlan, target [][]float64) [][]float64 {
	out := make([][]float64, len(r.names))
	for i, name := range r.names {
		out[i] = slices.Clone(target[i])
		for _, o := range old {
			if o.Region != name {
				continue
			}
			shares, sum := make([]float64, len(r.names)), 0.0
			for _, s := range o.Shares {
				if j := slices.Index(r.names, s.Region); j >= 0 {
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

// hasLostRoom reports whether a region has much less room than earlier plans were made for.
func (r regions) hasLostRoom(old []azurestair.RegionPlan) bool {
	return slices.ContainsFunc(old, func(o azurestair.RegionPlan) bool {
		i := slices.Index(r.names, o.Region)
		return i < 0 || r.slots[i] < (1-lostRoom)*float64(o.Slots)
	})
}

// distanceOf returns the part of the requests that a change of the shares moves.
func distanceOf(shares, target []float64) float64 {
	distance := 0.0
	for i, t := range target {
		distance += max(0, t-shares[i])
	}
	return distance
}

// approach moves shares towards target by at most step.
func approach(shares, target []float64, step float64) {
	distance := distanceOf(shares, target)
	if distance == 0 {
		return
	}
	part := min(1, step/distance)
	for i, t := range target {
		shares[i] += (t - shares[i]) * part
	}
}

// isUneven reports whether a region has to carry more than spread times its part
// of the load.
func (r regions) isUneven(shares [][]float64, spread float64) bool {
	for i, slots := range r.slots {
		if r.carried(shares, i) > max(calmLoad, spread*r.fill)*slots+1e-9 {
			return true
		}
	}
	return false
}

// carried returns how many slots of a region the shares take.
func (r regions) carried(shares [][]float64, region int) float64 {
	sum := 0.0
	for home := range r.names {
		sum += r.demand[home] * shares[home][region]
	}
	return sum
}

// plans returns the shares for publication, with the load if it is known.
func (r regions) plans(service azurestair.ServiceName, shares [][]float64, known bool) []azurestair.RegionPlan {
	out := make([]azurestair.RegionPlan, len(r.names))
	for i, name := range r.names {
		out[i] = azurestair.RegionPlan{Service: service, Region: name, Slots: azurestair.Slots(r.slots[i])}
		if known {
			out[i].Carries, out[i].Fill = azurestair.MeanSlots(math.Round(r.carried(shares, i))), math.Round(r.fill*100)/100
		}
		for j, share := range shares[i] {
			if share > 0 {
				share = min(1, math.Round(share*1000)/1000)
				out[i].Shares = append(out[i].Shares, azurestair.RegionShare{Region: r.names[j], Share: share})
			}
		}
	}
	return out
}

// plansDiffer reports whether two lists of plans differ by more than small changes.
func plansDiffer(old, cur []azurestair.RegionPlan) bool {
	return !slices.EqualFunc(old, cur, func(a, b azurestair.RegionPlan) bool {
		return a.Service == b.Service && a.Region == b.Region && a.Slots == b.Slots &&
			math.Abs(float64(a.Carries-b.Carries)) <= loadChange*float64(a.Slots) && math.Abs(a.Fill-b.Fill) <= loadChange &&
			slices.EqualFunc(a.Shares, b.Shares, func(x, y azurestair.RegionShare) bool {
				return x.Region == y.Region && math.Abs(x.Share-y.Share) < planChange
			})
	})
}
