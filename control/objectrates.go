package control

import (
	"maps"
	"time"

	"azurestair.example/azurestair"
)

const (
	// reportCycle is the time in which an entry that counts MaxPlannedObjects
	// objects reports each of them once.
	reportCycle = 6 * time.Second
	// objectRateTTL is how long the reported rate of an object counts.
	objectRateTTL = 2 * reportCycle
)

// objectKey identifies an object of a service that is requested from a region.
type objectKey struct {
	service azurestair.ServiceName
	region  azurestair.RegionName
	object  azurestair.ObjectKey
}

// ObjectRates is the request rate of each object over all entries.
type ObjectRates map[objectKey]azurestair.MilliPerSecond

// reportedRate is the rate of an object in the last report that contained it.
type reportedRate struct {
	rate azurestair.MilliPerSecond
	at   time.Time
}

// objectReports holds the rates that one entry has reported. It holds at most
// as many as the entry counts.
type objectReports map[objectKey]reportedRate

// add records the rates in a report.
func (o objectReports) add(list []azurestair.ObjectTraffic, now time.Time) {
	for _, t := range list {
		for _, r := range t.Objects {
			k := objectKey{service: t.Service, region: t.Region, object: r.Object}
			if _, ok := o[k]; ok || len(o) < maxReportedRates {
				o[k] = reportedRate{rate: r.Rate, at: now}
			}
		}
	}
}

// maxReportedRates bounds the rates that are kept of one entry.
const maxReportedRates = azurestair.MaxServices * azurestair.MaxPlannedObjects

// merge adds the rates of another entry.
func (o ObjectRates) merge(reports objectReports, now time.Time) {
	for k, r := range reports {
		if now.Sub(r.at) > objectRateTTL {
			delete(reports, k)
			continue
		}
		o[k] += r.rate
	}
}

// retain drops the rates of services that a configuration does not have, so that the
// number of plans is bounded by the configuration.
func (o ObjectRates) retain(cfg *azurestair.Config) {
	maps.DeleteFunc(o, func(k objectKey, _ azurestair.MilliPerSecond) bool {
		_, ok := cfg.Service(k.service)
		return !ok
	})
}

// SetObjects records the object rates in a report of an instance.
func (r *Registry) SetObjects(id azurestair.InstanceID, list []azurestair.ObjectTraffic, now time.Time) {
	rec := r.instances[id]
	if rec == nil || !rec.listed || len(list) == 0 {
		return
	}
	if rec.objects == nil {
		rec.objects = objectReports{}
	}
	rec.objects.add(list, now)
}

// ObjectRates returns the sum of the rates that the listed instances have
// reported. It returns nil until every instance that the previous leader listed
// has reported or expired.
func (r *Registry) ObjectRates(now time.Time) ObjectRates {
	out := ObjectRates{}
	for _, rec := range r.instances {
		if rec.seeded {
			return nil
		}
		if rec.listed {
			out.merge(rec.objects, now)
		}
	}
	return out
}
