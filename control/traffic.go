package control

import (
	"cmp"
	"math"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// trafficTimeConstant is the time constant of the smoothing. It is long
// compared to the report interval.
const trafficTimeConstant = 2 * time.Second

// TrafficCount counts the requests for a service since the process started.
type TrafficCount struct {
	Requests, Finished uint64
	// BusyTime is the total duration of all finished attempts.
	BusyTime time.Duration
}

// TrafficMeter derives request rates and the slots that requests occupy from
// cumulative counters. The zero value is ready for use.
type TrafficMeter struct {
	at     time.Time
	counts map[azurestair.ServiceName]TrafficCount
	rates  map[azurestair.ServiceName]trafficRates
}

// trafficRates holds smoothed rates in events per second, or in seconds of work
// per second.
type trafficRates struct{ requests, finished, busy float64 }

// Rates returns the traffic according to the counters up to now, sorted by
// service.
func (m *TrafficMeter) Rates(counts map[azurestair.ServiceName]TrafficCount, now time.Time) []azurestair.Traffic {
	if elapsed := now.Sub(m.at); !m.at.IsZero() && elapsed > 0 {
		m.updateRates(counts, elapsed)
	}
	m.at, m.counts = now, counts
	var out []azurestair.Traffic
	for s, r := range m.rates {
		slots := 0.0
		if r.finished > 0 {
			slots = r.requests * r.busy / r.finished
		}
		out = append(out, azurestair.Traffic{
			Service: s, Rate: azurestair.PerSecond(math.Round(r.requests*100) / 100), MeanSlots: azurestair.MeanSlots(math.Round(slots*100) / 100),
		})
	}
	slices.SortFunc(out, func(a, b azurestair.Traffic) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func (m *TrafficMeter) updateRates(counts map[azurestair.ServiceName]TrafficCount, elapsed time.Duration) {
	gain := 1 - math.Exp(-float64(elapsed)/float64(trafficTimeConstant))
	rates := map[azurestair.ServiceName]trafficRates{}
	for s, c := range counts {
		last, r := m.counts[s], m.rates[s]
		if c.Requests < last.Requests || c.Finished < last.Finished {
			// The service was removed and added again.
			last = TrafficCount{}
		}
		smooth := func(rate *float64, events float64) { *rate += gain * (events/elapsed.Seconds() - *rate) }
		smooth(&r.requests, float64(c.Requests-last.Requests))
		smooth(&r.finished, float64(c.Finished-last.Finished))
		smooth(&r.busy, (c.BusyTime - last.BusyTime).Seconds())
		rates[s] = r
	}
	m.rates = rates
}

// SetTraffic records the traffic of the requests that reach an instance.
func (r *Registry) SetTraffic(id azurestair.InstanceID, t []azurestair.Traffic) {
	if rec := r.instances[id]; rec != nil && rec.listed {
		rec.traffic = t
	}
}

// Traffic returns the traffic of each region. It returns nil until every
// instance that the previous leader listed has reported or expired.
func (r *Registry) Traffic() map[azurestair.RegionName][]azurestair.Traffic {
	out := map[azurestair.RegionName][]azurestair.Traffic{}
	for _, rec := range r.instances {
		if rec.seeded {
			return nil
		}
		if rec.listed {
			out[rec.info.Region] = addTraffic(out[rec.info.Region], rec.traffic)
		}
	}
	return out
}

// addTraffic adds the traffic of another instance to a sum.
func addTraffic(sum, more []azurestair.Traffic) []azurestair.Traffic {
	for _, t := range more {
		i := slices.IndexFunc(sum, func(s azurestair.Traffic) bool { return s.Service == t.Service })
		if i < 0 {
			sum = append(sum, t)
			continue
		}
		sum[i].Rate += t.Rate
		sum[i].MeanSlots += t.MeanSlots
	}
	return sum
}
