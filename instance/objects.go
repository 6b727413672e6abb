package instance

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/placement"
)

// Metrics of the placement of frequent objects, over all services. They are
// registered once object plans are enabled.
const (
	// plannedObjectsMetric is the number of objects with a published demand, and
	// objectCopiesMetric the number of upstreams over which they are spread.
	plannedObjectsMetric = "objects.planned"
	objectCopiesMetric   = "objects.copies"
	// plannedPicksMetric counts the picks by plan, rankedPicksMetric all others.
	plannedPicksMetric = "objects.plannedPicks"
	rankedPicksMetric  = "objects.rankedPicks"
)

// trafficReporter derives the traffic in the reports of an entry. The zero
// value is ready for use.
type trafficReporter struct {
	meter control.TrafficMeter
	// objectsAt is when the rates of objects were last reported.
	objectsAt time.Time
}

// addTo adds the traffic of an entry to a report. The rates of objects are
// added once per reportInterval: reports are more frequent while anything
// changes.
func (t *trafficReporter) addTo(r *azurestair.Report, e *Entry, s *azurestair.Snapshot, now time.Time) {
	if e == nil || s == nil || s.Config.LeasesBudgets() {
		return
	}
	r.Traffic = t.meter.Rates(e.trafficCounts(s.Config), now)
	if s.Config.Defaults.SpreadObjects && now.Sub(t.objectsAt) >= reportInterval {
		t.objectsAt = now
		r.Objects = e.objectTraffic(s.Config, now)
	}
}

// objectTraffic returns the rates of the objects that the pickers of the services
// of a configuration have counted, and updates the metrics.
func (e *Entry) objectTraffic(cfg *azurestair.Config, now time.Time) []azurestair.ObjectTraffic {
	var out []azurestair.ObjectTraffic
	var sum placement.SpreadStats
	for _, d := range e.configuredDispatchers(cfg) {
		list, stats := d.objectTraffic(now)
		out = append(out, list...)
		sum.Add(stats)
	}
	if len(out) > azurestair.MaxTraffic {
		out = out[:azurestair.MaxTraffic]
	}
	for name, n := range map[string]int64{
		plannedObjectsMetric: int64(sum.Objects), objectCopiesMetric: int64(sum.Copies),
		plannedPicksMetric: int64(sum.PlannedPicks), rankedPicksMetric: int64(sum.RankedPicks),
	} {
		metrics.GetOrRegisterGauge(name, e.metrics.registry).Update(n)
	}
	return out
}

func (d *dispatcher) objectTraffic(now time.Time) ([]azurestair.ObjectTraffic, placement.SpreadStats) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.picker.(azurestair.CountingPicker)
	if !ok {
		return nil, placement.SpreadStats{}
	}
	var stats placement.SpreadStats
	if s, ok := d.picker.(interface{ SpreadStats() placement.SpreadStats }); ok {
		stats = s.SpreadStats()
	}
	return p.ObjectTraffic(now), stats
}

// loggedPlans holds the text of the region plans that was logged last, and when
// object plans were last logged.
type loggedPlans struct {
	regions   string
	objectsAt time.Time
}

// objectLogInterval limits the log lines about object plans, which may change
// every 2 s.
const objectLogInterval = 30 * time.Second

// logObjectPlans logs the size of the object plans once they have changed. No
// line names an object.
func (r *Replica) logObjectPlans(prev, next *azurestair.Snapshot, now time.Time) {
	if prev == nil || sameObjects(prev.Objects, next.Objects) || now.Sub(r.loggedPlans.objectsAt) < objectLogInterval {
		return
	}
	r.loggedPlans.objectsAt = now
	for _, p := range next.Objects {
		var demand azurestair.MilliSlots
		for _, o := range p.Objects {
			demand += o.Demand
		}
		r.log.Info("object plan changed", "service", p.Service, "region", p.Region, "objects", len(p.Objects),
			"milliSlots", int64(demand), "revision", next.Revision)
	}
}

// sameObjects reports whether two snapshots share their object plans.
func sameObjects(a, b []azurestair.ObjectPlan) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
