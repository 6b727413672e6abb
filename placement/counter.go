package placement

import (
	"math"
	"time"

	"azurestair.example/azurestair"
)

const (
	// countedObjects is how many objects a counter distinguishes. It equals the
	// number of objects of a service whose demand is published.
	countedObjects = azurestair.MaxPlannedObjects
	// countTimeConstant is the time constant with which counts decay. An entry
	// with one request per second for a service sees about ten objects within
	// it.
	countTimeConstant = 10 * time.Second
	// minReportedRate is the rate below which an object is forgotten.
	minReportedRate azurestair.MilliPerSecond = 5
	// maxCountedRegions bounds the regions that a counter distinguishes.
	maxCountedRegions = azurestair.MaxRegions
)

// objectCounter counts the requests for the most frequent objects with the
// space-saving algorithm and decaying counts. Its size is bounded, and add
// allocates nothing once it is full. The zero value is ready for use.
type objectCounter struct {
	keys    []countedKey
	counts  []objectCount
	regions []azurestair.RegionName
	// startedAt is when the first report was made, and decayedAt when the counts
	// were last decayed.
	startedAt, decayedAt time.Time
	// nextReported is the index of the first object of the next report.
	nextReported int
}

// countedKey is an object and the index of the region that it was requested
// from.
type countedKey struct {
	object uint64
	region uint8
}

// objectCount is a decaying count. pending is the number of requests since it
// was last decayed. inherited is the count of the object that was replaced: it
// protects a new object from being replaced at once, but is not reported.
type objectCount struct{ count, pending, inherited float64 }

func (n objectCount) total() float64 { return n.count + n.pending + n.inherited }

// add counts a request for an object that is sent to a region.
func (c *objectCounter) add(object uint64, region azurestair.RegionName) {
	r, ok := c.regionIndex(region)
	if !ok {
		return
	}
	k := countedKey{object: object, region: r}
	for i := range c.keys {
		if c.keys[i] == k {
			c.counts[i].pending++
			return
		}
	}
	if len(c.keys) < countedObjects {
		c.keys, c.counts = append(c.keys, k), append(c.counts, objectCount{pending: 1})
		return
	}
	least := 0
	for i, n := range c.counts {
		if n.total() < c.counts[least].total() {
			least = i
		}
	}
	c.keys[least], c.counts[least] = k, objectCount{pending: 1, inherited: c.counts[least].total()}
}

func (c *objectCounter) regionIndex(region azurestair.RegionName) (uint8, bool) {
	for i, r := range c.regions {
		if r == region {
			return uint8(i), true //nolint:gosec // at most maxCountedRegions
		}
	}
	if len(c.regions) == maxCountedRegions {
		return 0, false
	}
	c.regions = append(c.regions, region)
	return uint8(len(c.regions) - 1), true //nolint:gosec // at most maxCountedRegions
}

// decay lowers the counts for the time since the last call and forgets rare
// objects.
func (c *objectCounter) decay(now time.Time) {
	if c.decayedAt.IsZero() {
		// Counts from before the first report belong to no known interval.
		c.startedAt, c.decayedAt = now, now
		c.keys, c.counts = c.keys[:0], c.counts[:0]
	}
	elapsed := float64(now.Sub(c.decayedAt)) / float64(countTimeConstant)
	if elapsed <= 0 {
		return
	}
	c.decayedAt = now
	factor := math.Exp(-elapsed)
	// The requests of the interval were spread over it.
	recent := (1 - factor) / elapsed
	kept := 0
	for i, n := range c.counts {
		n = objectCount{count: n.count*factor + n.pending*recent, inherited: n.inherited * factor}
		if c.rate(n, now) < minReportedRate {
			continue
		}
		c.keys[kept], c.counts[kept] = c.keys[i], n
		kept++
	}
	c.keys, c.counts = c.keys[:kept], c.counts[:kept]
}

// rate converts a decaying count to a rate. Soon after the start, a count
// covers less than its time constant.
func (c *objectCounter) rate(n objectCount, now time.Time) azurestair.MilliPerSecond {
	covered := countTimeConstant.Seconds() * -math.Expm1(-float64(now.Sub(c.startedAt))/float64(countTimeConstant))
	if covered <= 0 {
		return 0
	}
	return azurestair.MilliPerSecond(math.Round(n.count * 1000 / covered))
}

// report returns the rates of the next MaxReportedObjects objects, grouped by
// region.
func (c *objectCounter) report(service azurestair.ServiceName, now time.Time) []azurestair.ObjectTraffic {
	c.decay(now)
	n := min(len(c.keys), azurestair.MaxReportedObjects)
	var out []azurestair.ObjectTraffic
	for r, region := range c.regions {
		t := azurestair.ObjectTraffic{Service: service, Region: region}
		for i := range n {
			at := (c.nextReported + i) % len(c.keys)
			if int(c.keys[at].region) == r {
				t.Objects = append(t.Objects, azurestair.ObjectRate{Object: azurestair.ObjectKey(c.keys[at].object), Rate: c.rate(c.counts[at], now)})
			}
		}
		if len(t.Objects) > 0 {
			out = append(out, t)
		}
	}
	if len(c.keys) > 0 {
		c.nextReported = (c.nextReported + n) % len(c.keys)
	}
	return out
}

// ObjectTraffic returns rates of the objects whose requests this picker has
// counted, or nil without Defaults.SpreadObjects.
func (p *Picker) ObjectTraffic(now time.Time) []azurestair.ObjectTraffic {
	if p.spread == nil {
		return nil
	}
	return p.spread.counter.report(p.opts.Service, now)
}
