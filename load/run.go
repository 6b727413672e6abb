package load

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

var errTimeout = errors.New("timed out")

// Options configure a run.
type Options struct {
	Binary     string
	Controls   int
	Entries    int
	Procs      int
	Deployment string
	// Delay is the one-way delay between the callers and the entries.
	Delay time.Duration
	// RegionDelay is the one-way delay between instances of different regions.
	RegionDelay time.Duration
	// Duration is the length of each measured schedule.
	Duration time.Duration
	// Only lists the scenarios to run; empty means all.
	Only []string
}

// MaxDuration limits one schedule, so that no scenario generates load for more
// than about 20 s.
const MaxDuration = 8 * time.Second

// run holds the state of one run of the scenarios.
type run struct {
	opts     Options
	fleet    *Fleet
	http     *http.Client
	dialer   *countingDialer
	report   RunReport
	scenario string
}

// scenario is a named measurement.
type scenario struct {
	name string
	do   func(*run, context.Context) error
}

func scenarios() []scenario {
	return []scenario{
		{"idle", (*run).idle},
		{"latency", (*run).latency},
		{"lookups", (*run).lookups},
		{"slow", (*run).slow},
		{"drain", (*run).drain},
		{"headroom", (*run).headroom},
		{"deferredFlood", (*run).deferredFlood},
		{"urgentFlood", (*run).urgentFlood},
		{"caller", (*run).greedyCaller},
		{"claims", (*run).claims},
		{"changes", (*run).changes},
		{"leader", (*run).leaderLoss},
	}
}

// ScenarioNames returns the names of all scenarios.
func ScenarioNames() []string {
	var out []string
	for _, s := range scenarios() {
		out = append(out, s.name)
	}
	return out
}

// Run starts a fleet, measures the scenarios and stops the fleet.
func Run(ctx context.Context, o Options) (RunReport, error) {
	d, err := o.deployment()
	if err != nil {
		return RunReport{}, err
	}
	dir, err := os.MkdirTemp("", "azurestair-load-")
	if err != nil {
		return RunReport{}, err
	}
	defer os.RemoveAll(dir) //nolint:errcheck // the result does not matter
	f, err := StartFleet(ctx, FleetOptions{
		Binary: o.Binary, Controls: o.Controls, Entries: o.Entries, Procs: o.Procs, Deployment: d, RegionDelay: o.RegionDelay, Dir: dir,
	})
	if err != nil {
		return RunReport{}, err
	}
	defer f.Stop()
	dialer := newCountingDialer(o.Delay)
	r := &run{opts: o, fleet: f, dialer: dialer, http: newHTTPClient(dialer), report: RunReport{
		Deployment: d.Name, Entries: o.Entries, Controls: o.Controls, Procs: o.Procs,
	}}
	r.runScenarios(ctx)
	return r.report, nil
}

func (o Options) deployment() (Deployment, error) {
	if o.Duration <= 0 || o.Duration > MaxDuration {
		return Deployment{}, fmt.Errorf("%w: duration %s; allowed up to %s", azurestair.ErrInvalid, o.Duration, MaxDuration)
	}
	for _, name := range o.Only {
		if !slices.Contains(ScenarioNames(), name) {
			return Deployment{}, fmt.Errorf("%w: scenario %q; allowed are %v", azurestair.ErrInvalid, name, ScenarioNames())
		}
	}
	for _, d := range Deployments() {
		if d.Name == o.Deployment {
			return d, nil
		}
	}
	return Deployment{}, fmt.Errorf("%w: deployment %q", azurestair.ErrInvalid, o.Deployment)
}

func (r *run) runScenarios(ctx context.Context) {
	for _, s := range scenarios() {
		if len(r.opts.Only) > 0 && !slices.Contains(r.opts.Only, s.name) {
			continue
		}
		r.scenario = s.name
		if err := s.do(r, ctx); err != nil {
			r.report.Failures = append(r.report.Failures, Failure{Scenario: s.name, Error: err.Error()})
		}
	}
}

// record records a figure without a target.
func (r *run) record(name string, value float64, unit string) {
	r.report.Figures = append(r.report.Figures, Figure{Scenario: r.scenario, Name: name, Value: value, Unit: unit})
}

// recordWithTarget records a figure with its target.
func (r *run) recordWithTarget(name string, value float64, unit string, b Bound, target float64) {
	r.report.Figures = append(r.report.Figures, Figure{
		Scenario: r.scenario, Name: name, Value: value, Unit: unit, Bound: b, Target: target,
	})
}

// recordReasons records how many requests of an entrySender were not done, by
// reason.
func (r *run) recordReasons(name string, to Sender) {
	sender, ok := to.(*entrySender)
	if !ok {
		return
	}
	for _, reason := range slices.Sorted(maps.Keys(sender.reasons)) {
		r.record(name+" not done: "+string(reason), float64(sender.reasons[reason]), "")
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// pool returns the i-th pool of the deployment.
func (r *run) pool(i int) Pool { return r.fleet.opts.Deployment.Pools[i] }

func (r *run) callerAddrs() []string {
	var out []string
	for _, m := range r.fleet.members {
		out = append(out, m.callers)
	}
	return out
}

func (r *run) newEntrySender(s azurestair.ServiceName, rank azurestair.Rank) *entrySender {
	return &entrySender{http: r.http, entries: r.callerAddrs(), service: s, rank: rank, keyPrefix: r.scenario + "-" + rank.String()}
}

// runSchedule runs one measured schedule at the given rate.
func (r *run) runSchedule(ctx context.Context, rate Rate, to Sender) *Sample {
	s := NewSample()
	Schedule{Rate: rate, Duration: r.opts.Duration}.Run(ctx, to, s)
	return s
}

// flow is one of several schedules that run concurrently.
type flow struct {
	rate   Rate
	to     Sender
	sample *Sample
}

func (f *flow) run(ctx context.Context, d time.Duration, ended chan<- struct{}) {
	Schedule{Rate: f.rate, Duration: d}.Run(ctx, f.to, f.sample)
	ended <- struct{}{}
}

// runConcurrently runs flows concurrently and waits for them.
func (r *run) runConcurrently(ctx context.Context, flows ...*flow) {
	ended := make(chan struct{}, len(flows))
	for _, f := range flows {
		f.sample = NewSample()
		go f.run(ctx, r.opts.Duration, ended)
	}
	for range flows {
		<-ended
	}
}
