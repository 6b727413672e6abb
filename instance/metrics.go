package instance

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/peer"
)

// meters counts what an entry does, under the names that logs and status use.
type meters struct {
	registry metrics.Registry
	lookups  metrics.Counter
	latency  metrics.Histogram
	attempts metrics.Counter
	retries  metrics.Counter
}

func newMeters() *meters {
	r := metrics.NewRegistry()
	return &meters{
		registry: r,
		lookups:  metrics.NewRegisteredCounter("lookups", r),
		latency:  metrics.NewRegisteredHistogram("request.latencyMicros", r, metrics.NewExpDecaySample(1028, 0.015)),
		attempts: metrics.NewRegisteredCounter("attempts", r),
		retries:  metrics.NewRegisteredCounter("retries", r),
	}
}

// versionMismatch is the metric that counts the instances that were refused lately.
const versionMismatch = "versionMismatch"

// watchVersions registers the metric of refused instances.
func (m *meters) watchVersions(v *peer.Versions) {
	metrics.NewRegisteredFunctionalGauge(versionMismatch, m.registry, func() int64 { return int64(len(v.Mismatches())) })
}

const (
	outcomePrefix = "outcome."
	reasonPrefix  = "reason."
)

// reply counts a reply and how long its request took.
func (m *meters) reply(r caller.Reply, took time.Duration) {
	m.count(r)
	m.latency.Update(took.Microseconds())
}

func (m *meters) count(r caller.Reply) {
	metrics.GetOrRegisterCounter(outcomePrefix+string(r.Outcome), m.registry).Inc(1)
	if r.Reason != azurestair.ReasonNone {
		metrics.GetOrRegisterCounter(reasonPrefix+string(r.Reason), m.registry).Inc(1)
	}
}

// Metrics lists a process's metrics.
type Metrics interface {
	http.Handler
	// Each calls f for each metric with its name.
	Each(f func(name string, metric any))
}

// Each calls f for each metric with its name.
func (m *meters) Each(f func(string, any)) { m.registry.Each(f) }

// counters returns the counters whose names start with prefix, without it.
func (m *meters) counters(prefix string) map[string]int64 {
	out := map[string]int64{}
	m.registry.Each(func(name string, v any) {
		if c, ok := v.(metrics.Counter); ok && len(name) > len(prefix) && name[:len(prefix)] == prefix {
			out[name[len(prefix):]] = c.Count()
		}
	})
	return out
}

// ServeHTTP writes all metrics as JSON.
func (m *meters) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(m.registry, w)
}
