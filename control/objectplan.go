package control

import (
	"cmp"
	"math"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

const (
	// objectPlanInterval is the minimum time between two changes of the object
	// plans. Each change sends a delta to every entry and moves objects, which
	// are then cold.
	objectPlanInterval = 2 * time.Second
	// demandHysteresis is the factor by which the measured demand must exceed
	// the published one, or fall below it, before it is published. The
	// difference must also exceed chanceDeviations standard deviations of the
	// measured rate.
	demandHysteresis = 1.2
	chanceDeviations = 3.0
	// demandStep is the ratio of successive published demands.
	demandStep = 1.1
	// slotsHysteresis is the same for the mean duration of a request, which
	// changes the demand of all objects at once but hardly their proportions.
	slotsHysteresis = 1.5
	// minPlannedRate is the rate from which the demand of an object is
	// published, and minKeptRate the rate below which it is withdrawn.
	minPlannedRate azurestair.MilliPerSecond = 50
	minKeptRate    azurestair.MilliPerSecond = 20
	// incumbentBonus is the factor by which the rate of an object must exceed
	// that of a published one to replace it, if there are too many objects.
	incumbentBonus = 1.5
	// rateWindow is the time constant of the reported rates. smoothingSteps is
	// the number of steps over which the rate of an object is averaged: the
	// rate of an object with one request in 5 s varies by 70% from report to
	// report. A change of more than maxDeviation standard deviations counts at
	// once.
	rateWindow     = 10 * time.Second
	smoothingSteps = 60.0
	maxDeviation   = 4.0
	// defaultSlotsPerRequest is the mean duration of a request in seconds until
	// it is known.
	defaultSlotsPerRequest = 0.2
)

// ObjectPlanner computes the demand of the frequent objects of all services
// from the rates that the entries report. The zero value has published nothing.
type ObjectPlanner struct {
	// nextAt is the earliest time of the next change.
	nextAt time.Time
	// slotsPerRequest is the mean number of slot seconds of a request of each
	// service.
	slotsPerRequest map[azurestair.ServiceName]float64
	smoothed        map[objectKey]smoothedRate
}

// smoothedRate is the mean of the measured rates of an object.
type smoothedRate struct {
	rate  float64
	steps float64
}

// deviation returns the standard deviation of the mean by chance, as a fraction
// of the mean.
func (s smoothedRate) deviation() float64 {
	covered := rateWindow.Seconds() + s.steps*objectPlanInterval.Seconds()
	return 1 / math.Sqrt(max(s.rate, 1)*covered/1000)
}

// add adds a measured rate. The mean covers up to smoothingSteps steps. A rate
// that differs from it by more than chance explains replaces it.
func (s smoothedRate) add(measured float64) smoothedRate {
	deviation := math.Sqrt(max(s.rate, measured) * 1000 / (2 * rateWindow.Seconds()))
	if s.steps == 0 || math.Abs(measured-s.rate) > maxDeviation*deviation {
		return smoothedRate{rate: measured, steps: 1}
	}
	steps := min(s.steps+1, smoothingSteps)
	return smoothedRate{rate: s.rate + (measured-s.rate)/steps, steps: steps}
}

// newObjectPlanner returns the planner of a new term. Until each entry has
// reported all its objects, published ones would seem to be out of use.
func newObjectPlanner(now time.Time) ObjectPlanner {
	return ObjectPlanner{nextAt: now.Add(reportCycle)}
}

// isDue reports whether the next step may change the plans.
func (p *ObjectPlanner) isDue(now time.Time) bool { return !now.Before(p.nextAt) }

// Step returns the object plans that follow old ones. It returns old itself if
// nothing is to be changed. rates is nil if they are not known yet.
func (p *ObjectPlanner) Step(old []azurestair.ObjectPlan, rates ObjectRates, traffic map[azurestair.RegionName][]azurestair.Traffic, now time.Time) []azurestair.ObjectPlan {
	if rates == nil || !p.isDue(now) {
		return old
	}
	p.nextAt = now.Add(objectPlanInterval)
	p.updateSlotsPerRequest(traffic)
	p.smooth(rates)
	published := map[objectKey]azurestair.MilliSlots{}
	for _, plan := range old {
		for _, d := range plan.Objects {
			published[objectKey{service: plan.Service, region: plan.Region, object: d.Object}] = d.Demand
		}
	}
	next := make(map[objectKey]azurestair.MilliSlots, len(rates))
	changed := false
	for k := range selectObjects(rates, published) {
		next[k] = p.demand(k, rates[k], published[k])
		changed = changed || next[k] != published[k]
	}
	if !changed && len(next) == len(published) {
		return old
	}
	return objectPlans(next)
}

// smooth replaces the rates by means over several steps.
func (p *ObjectPlanner) smooth(rates ObjectRates) {
	next := make(map[objectKey]smoothedRate, len(rates))
	for k, rate := range rates {
		next[k] = p.smoothed[k].add(float64(rate))
		rates[k] = azurestair.MilliPerSecond(next[k].rate)
	}
	p.smoothed = next
}

// updateSlotsPerRequest follows large changes of the mean duration of requests.
func (p *ObjectPlanner) updateSlotsPerRequest(traffic map[azurestair.RegionName][]azurestair.Traffic) {
	type sums struct{ rate, slots float64 }
	total := map[azurestair.ServiceName]sums{}
	for _, list := range traffic {
		for _, t := range list {
			s := total[t.Service]
			total[t.Service] = sums{rate: s.rate + float64(t.Rate), slots: s.slots + float64(t.MeanSlots)}
		}
	}
	if p.slotsPerRequest == nil {
		p.slotsPerRequest = map[azurestair.ServiceName]float64{}
	}
	for service, s := range total {
		if s.rate < minDemand || s.slots <= 0 {
			continue
		}
		if cur := p.slotsPerRequest[service]; cur == 0 || differsBy(s.slots/s.rate, cur, slotsHysteresis) {
			p.slotsPerRequest[service] = s.slots / s.rate
		}
	}
}

// differsBy reports whether two positive numbers differ by more than a factor.
func differsBy(a, b, factor float64) bool { return a > b*factor || b > a*factor }

// demand returns the demand to publish for a rate, given the published one,
// which is zero if there is none.
func (p *ObjectPlanner) demand(k objectKey, rate azurestair.MilliPerSecond, published azurestair.MilliSlots) azurestair.MilliSlots {
	measured := min(float64(rate)*cmp.Or(p.slotsPerRequest[k.service], defaultSlotsPerRequest), float64(azurestair.MaxObjectDemand))
	tolerance := 1 + chanceDeviations*p.smoothed[k].deviation()
	if published > 0 && !differsBy(max(measured, 1), float64(published), max(demandHysteresis, tolerance)) {
		return published
	}
	step := math.Round(math.Log(max(measured, 1)) / math.Log(demandStep))
	return min(azurestair.MilliSlots(math.Round(math.Pow(demandStep, step))), azurestair.MaxObjectDemand)
}

// selectObjects returns the objects whose demand is to be published: at most
// MaxPlannedObjects of each service, those with the highest rates. Published
// objects are preferred.
func selectObjects(rates ObjectRates, published map[objectKey]azurestair.MilliSlots) map[objectKey]bool {
	type serviceObject struct {
		service azurestair.ServiceName
		object  azurestair.ObjectKey
	}
	weights := map[serviceObject]float64{}
	eligible := make([]objectKey, 0, len(rates))
	for k, rate := range rates {
		isPublished := published[k] > 0
		if rate < minKeptRate || (!isPublished && rate < minPlannedRate) {
			continue
		}
		weight := float64(rate)
		if isPublished {
			weight *= incumbentBonus
		}
		weights[serviceObject{k.service, k.object}] += weight
		eligible = append(eligible, k)
	}
	ranked := make([]serviceObject, 0, len(weights))
	for o := range weights {
		ranked = append(ranked, o)
	}
	slices.SortFunc(ranked, func(a, b serviceObject) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(weights[b], weights[a]), cmp.Compare(a.object, b.object))
	})
	selected := map[serviceObject]bool{}
	count := 0
	for i, o := range ranked {
		if i == 0 || o.service != ranked[i-1].service {
			count = 0
		}
		if count < azurestair.MaxPlannedObjects {
			selected[o] = true
		}
		count++
	}
	out := map[objectKey]bool{}
	for _, k := range eligible {
		if selected[serviceObject{k.service, k.object}] {
			out[k] = true
		}
	}
	return out
}

// objectPlans groups demands by service and region, sorted.
func objectPlans(demands map[objectKey]azurestair.MilliSlots) []azurestair.ObjectPlan {
	keys := make([]objectKey, 0, len(demands))
	for k := range demands {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b objectKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.region, b.region), cmp.Compare(a.object, b.object))
	})
	out := []azurestair.ObjectPlan{}
	for _, k := range keys {
		if n := len(out); n == 0 || out[n-1].Service != k.service || out[n-1].Region != k.region {
			out = append(out, azurestair.ObjectPlan{Service: k.service, Region: k.region})
		}
		last := &out[len(out)-1]
		last.Objects = append(last.Objects, azurestair.ObjectDemand{Object: k.object, Demand: demands[k]})
	}
	return out
}

func objectDemandKey(d azurestair.ObjectDemand) azurestair.ObjectKey { return d.Object }

// diffObjectPlans returns the changes that lead from old to next: for each plan
// the objects with a new demand, and those that are not in next with a demand
// of zero.
func diffObjectPlans(old, next []azurestair.ObjectPlan) []azurestair.ObjectPlan {
	demands := map[objectKey]azurestair.MilliSlots{}
	for _, p := range old {
		for _, d := range p.Objects {
			demands[objectKey{service: p.Service, region: p.Region, object: d.Object}] = 0
		}
	}
	for _, p := range next {
		for _, d := range p.Objects {
			demands[objectKey{service: p.Service, region: p.Region, object: d.Object}] = d.Demand
		}
	}
	for _, p := range old {
		for _, d := range p.Objects {
			k := objectKey{service: p.Service, region: p.Region, object: d.Object}
			if demands[k] == d.Demand {
				delete(demands, k)
			}
		}
	}
	return objectPlans(demands)
}

// patchObjectPlans returns the plans that result from applying changes, as
// diffObjectPlans returns them. It modifies neither list.
func patchObjectPlans(plans, changes []azurestair.ObjectPlan) []azurestair.ObjectPlan {
	if len(changes) == 0 {
		return plans
	}
	out := slices.Clone(plans)
	for _, c := range changes {
		i, ok := slices.BinarySearchFunc(out, c, azurestair.ObjectPlan.Compare)
		if !ok {
			out = slices.Insert(out, i, azurestair.ObjectPlan{Service: c.Service, Region: c.Region})
		}
		var removed []azurestair.ObjectKey
		var set []azurestair.ObjectDemand
		for _, d := range c.Objects {
			if d.Demand == 0 {
				removed = append(removed, d.Object)
			} else {
				set = append(set, d)
			}
		}
		out[i].Objects = patchSorted(out[i].Objects, set, removed, objectDemandKey)
	}
	return slices.DeleteFunc(out, func(p azurestair.ObjectPlan) bool { return len(p.Objects) == 0 })
}
