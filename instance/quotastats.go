package instance

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/quota"
)

const (
	// maxQuotaSeries is the number of workspaces with metrics of their own, in
	// the order of their first requests. One that loses its limit makes room.
	maxQuotaSeries = 200
	// otherWorkspaces is the name in the metrics of the other workspaces. It is
	// no valid name of a workspace.
	otherWorkspaces = "(other)"
	quotaPrefix     = "quota."
	// Names of the counters of a workspace.
	admittedCounter    = "admitted"
	overLimitCounter   = "overLimit"
	unreachableCounter = "unreachable"
	// quotaLogInterval is the minimum time between two log lines about refused
	// requests of one workspace, quotaLineInterval between two of any.
	quotaLogInterval  = 10 * time.Second
	quotaLineInterval = 100 * time.Millisecond
)

// quotaStats counts and logs the decisions of a quotaGate.
type quotaStats struct {
	registry     metrics.Registry
	log          *slog.Logger
	asks, failed metrics.Counter
	other        *workspaceStats

	mu         sync.Mutex
	workspaces map[azurestair.WorkspaceName]*workspaceStats
	loggedAt   time.Time
}

// workspaceStats are the counters of one workspace, or of all others.
type workspaceStats struct {
	admitted, overLimit, unreachable metrics.Counter
	// refused counts the refused requests since loggedAt.
	refused  int
	loggedAt time.Time
}

func newQuotaStats(r metrics.Registry, log *slog.Logger) *quotaStats {
	s := &quotaStats{
		registry: r, log: log, workspaces: map[azurestair.WorkspaceName]*workspaceStats{},
		asks: metrics.GetOrRegisterCounter(quotaPrefix+"asks", r), failed: metrics.GetOrRegisterCounter(quotaPrefix+"asksFailed", r),
	}
	s.other = s.series(otherWorkspaces)
	return s
}

func counterName(name azurestair.WorkspaceName, what string) string {
	return quotaPrefix + "workspace." + string(name) + "." + what
}

func (s *quotaStats) series(name azurestair.WorkspaceName) *workspaceStats {
	counter := func(what string) metrics.Counter {
		return metrics.GetOrRegisterCounter(counterName(name, what), s.registry)
	}
	return &workspaceStats{admitted: counter(admittedCounter), overLimit: counter(overLimitCounter), unreachable: counter(unreachableCounter)}
}

// retain removes the metrics of the workspaces that are not named, so that those of
// new workspaces have room.
func (s *quotaStats) retain(names map[azurestair.WorkspaceName]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.workspaces {
		if names[name] {
			continue
		}
		delete(s.workspaces, name)
		for _, what := range []string{admittedCounter, overLimitCounter, unreachableCounter} {
			s.registry.Unregister(counterName(name, what))
		}
	}
}

// of returns the counters of a workspace. The caller must hold mu.
func (s *quotaStats) of(name azurestair.WorkspaceName) *workspaceStats {
	w, ok := s.workspaces[name]
	switch {
	case ok:
		return w
	case len(s.workspaces) >= maxQuotaSeries:
		return s.other
	}
	w = s.series(name)
	s.workspaces[name] = w
	return w
}

// count counts a decision.
func (s *quotaStats) count(name azurestair.WorkspaceName, v quota.Verdict, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.of(name)
	switch v {
	case quota.OverLimit:
		w.overLimit.Inc(1)
		s.logRefused(name, w, azurestair.ReasonQuota, now)
	case quota.Unreachable:
		w.unreachable.Inc(1)
		s.logRefused(name, w, azurestair.ReasonQuotaUnreachable, now)
	default:
		w.admitted.Inc(1)
	}
}

// logRefused logs refused requests of a workspace at a bounded rate. The caller
// must hold mu.
func (s *quotaStats) logRefused(name azurestair.WorkspaceName, w *workspaceStats, reason azurestair.Reason, now time.Time) {
	w.refused++
	if now.Sub(w.loggedAt) < quotaLogInterval || now.Sub(s.loggedAt) < quotaLineInterval {
		return
	}
	s.log.Warn("requests refused by the rate limit", "workspace", name, "reason", reason, "requests", w.refused,
		"others", w == s.other)
	w.refused, w.loggedAt, s.loggedAt = 0, now, now
}

// countAsk counts an ask and whether it failed.
func (s *quotaStats) countAsk(err error) {
	s.asks.Inc(1)
	if err != nil {
		s.failed.Inc(1)
	}
}

// quotaStatus returns what the leader knows of the rate limits. An entry without
// any limit asks no other instance.
func (b *backend) quotaStatus(ctx context.Context) []azurestair.QuotaStatus {
	r, err := b.p.controller.Query(ctx, control.Query{Quotas: true, Local: true})
	if err == nil && len(r.Quotas) > 0 {
		return r.Quotas
	}
	if b.p.entry == nil {
		return nil
	}
	v := b.p.entry.view.Load()
	if v == nil || !slices.ContainsFunc(v.snapshot.Config.Workspaces, azurestair.Workspace.IsLimited) {
		return nil
	}
	r, err = b.Query(ctx, control.Query{Quotas: true})
	if err != nil {
		return nil
	}
	return r.Quotas
}
