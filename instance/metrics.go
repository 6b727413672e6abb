package instance

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/peer"
	"azurestair.example/azurestair/upstream"
)

// processMetrics holds the metrics of a process. Logs and status use the same
// names.
type processMetrics struct {
	registry metrics.Registry
	lookups  metrics.Counter
	latency  metrics.Histogram
	attempts metrics.Counter
	retries  metrics.Counter
	// panics counts the panics that ended only one request or message.
	panics metrics.Counter
	// storeFull is 1 while the disk of a control instance is full.
	storeFull metrics.Gauge
}

func newProcessMetrics() *processMetrics {
	r := metrics.NewRegistry()
	return &processMetrics{
		registry:  r,
		lookups:   metrics.NewRegisteredCounter("lookups", r),
		latency:   metrics.NewRegisteredHistogram("request.latencyMicros", r, metrics.NewExpDecaySample(1028, 0.015)),
		attempts:  metrics.NewRegisteredCounter("attempts", r),
		retries:   metrics.NewRegisteredCounter("retries", r),
		panics:    metrics.NewRegisteredCounter("panics", r),
		storeFull: metrics.NewRegisteredGauge("storeFull", r),
	}
}

// versionMismatchMetric counts the instances that were recently refused because
// of their version.
const versionMismatchMetric = "versionMismatch"

// registerVersionMismatch registers the metric of refused instances.
func (m *processMetrics) registerVersionMismatch(v *peer.Versions) {
	metrics.NewRegisteredFunctionalGauge(versionMismatchMetric, m.registry, func() int64 { return int64(len(v.Mismatches())) })
}

// registerDials registers the metrics of the connections that are opened to
// upstreams.
func (m *processMetrics) registerDials(c *upstream.Client) {
	for name, count := range map[string]func(upstream.DialCounts) int64{
		"dials.opened":        func(d upstream.DialCounts) int64 { return d.Opened },
		"dials.refused":       func(d upstream.DialCounts) int64 { return d.Refused },
		"dials.failed":        func(d upstream.DialCounts) int64 { return d.Failed },
		"dials.notAttributed": func(d upstream.DialCounts) int64 { return d.NotAttributed },
	} {
		metrics.NewRegisteredFunctionalGauge(name, m.registry, func() int64 { return count(c.DialCounts()) })
	}
}

const (
	outcomePrefix = "outcome."
	reasonPrefix  = "reason."
)

// observeReply counts a reply and records the duration of its request.
func (m *processMetrics) observeReply(r caller.Reply, took time.Duration) {
	m.countReply(r)
	m.latency.Update(took.Microseconds())
}

func (m *processMetrics) countReply(r caller.Reply) {
	metrics.GetOrRegisterCounter(outcomePrefix+string(r.Outcome), m.registry).Inc(1)
	if r.Reason != azurestair.ReasonNone {
		metrics.GetOrRegisterCounter(reasonPrefix+string(r.Reason), m.registry).Inc(1)
	}
}

// Metrics gives access to the metrics of a process.
type Metrics interface {
	http.Handler
	// Each calls f with the name and value of each metric.
	Each(f func(name string, metric any))
}

// Each calls f with the name and value of each metric.
func (m *processMetrics) Each(f func(string, any)) { m.registry.Each(f) }

// counters returns the counters whose names start with prefix, keyed by the
// rest of the name.
func (m *processMetrics) counters(prefix string) map[string]int64 {
	out := map[string]int64{}
	m.registry.Each(func(name string, v any) {
		if c, ok := v.(metrics.Counter); ok && len(name) > len(prefix) && name[:len(prefix)] == prefix {
			out[name[len(prefix):]] = c.Count()
		}
	})
	return out
}

// ServeHTTP writes all metrics as JSON.
func (m *processMetrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(m.registry, w)
}
