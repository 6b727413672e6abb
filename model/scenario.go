package model

import (
	"cmp"
	"time"

	"azurestair.example/azurestair"
)

// Scenario is a load pattern with the sizes of the simulated deployment. Zero
// fields are replaced by defaults.
type Scenario struct {
	// Pattern is the name of the load pattern.
	Pattern string
	Seed    uint64
	Length  time.Duration

	Regions int
	// Upstreams, Entries and Objects are numbers per region.
	Upstreams, Entries, Objects int
	Slots                       azurestair.Slots
	// QueueLimit is the maximum number of requests that an upstream queues in
	// addition to those in its slots.
	QueueLimit int
	// CacheSize is the number of objects in the cache of an upstream.
	CacheSize int
	// ServiceTime is the mean service time of an object that is not cached. It
	// is multiplied by WarmFactor for a cached object.
	ServiceTime time.Duration
	WarmFactor  float64
	// Skew is the exponent of the Zipf distribution of the requests over the
	// objects; with zero, all objects are requested equally often.
	Skew float64
	// ReportAge is the maximum age of the load that an upstream reports. With
	// zero, it reports its current load.
	ReportAge time.Duration
	// Warmup is the time from the start that Arrivals, TurnedAway and
	// BusiestOverMean omit.
	Warmup time.Duration
	// Rate is the number of requests per second in each region.
	Rate float64
	// Target and Deadline are measured from the first attempt of a client.
	Target, Deadline time.Duration

	// RetryPercent and RetryBurst are the settings of the same names. Without a
	// percentage, entries do not retry.
	RetryPercent azurestair.Percent
	RetryBurst   int

	Burst  Burst
	Outage Outage
	Wave   Wave
	// FixedPlan computes the region plans without traffic, so that they do not
	// follow the load.
	FixedPlan bool

	// SpreadCallers makes the callers of all regions request the same objects
	// through entries whose narrow links limit them, so that each object is
	// placed in one region.
	SpreadCallers bool
	// SpreadObjects is the option of the same name in azurestair.Defaults.
	SpreadObjects bool
	// Copies and Reach are the options of the same names in placement.Options.
	Copies, Reach int
}

// Burst multiplies the request rate by Factor between From and To.
type Burst struct {
	From, To time.Duration
	Factor   float64
}

// Wave varies the request rate of each region sinusoidally around its mean. The
// peaks of the regions are evenly spaced over the period.
type Wave struct {
	Amplitude float64
	Period    time.Duration
}

// Outage removes upstreams of the first region between From and To. They return
// with an empty cache and stay cold for the duration Cold.
type Outage struct {
	From, To  time.Duration
	Upstreams int
	Cold      time.Duration
	// ColdPerSecond is the number of requests per second that a cold upstream
	// tolerates.
	ColdPerSecond float64
	// Unnoticed is how long after their return the upstreams, which then start
	// again under their ids, are listed as the processes before. They also stay
	// listed while they are away.
	Unnoticed time.Duration
}

// withDefaults replaces zero fields with sizes like those of the two present
// deployments: six failure domains in three regions, a service with 20 to 24
// upstreams, and a service time of half a second.
func (s Scenario) withDefaults() Scenario {
	s.Length = cmp.Or(s.Length, 40*time.Second)
	s.Regions = cmp.Or(s.Regions, 3)
	s.Upstreams = cmp.Or(s.Upstreams, 8)
	s.Entries = cmp.Or(s.Entries, 2)
	s.Objects = cmp.Or(s.Objects, 100)
	s.Slots = cmp.Or(s.Slots, 6)
	s.QueueLimit = cmp.Or(s.QueueLimit, 18)
	s.CacheSize = cmp.Or(s.CacheSize, 40)
	s.ServiceTime = cmp.Or(s.ServiceTime, 500*time.Millisecond)
	s.WarmFactor = cmp.Or(s.WarmFactor, 0.3)
	s.Rate = cmp.Or(s.Rate, 120)
	s.Target = cmp.Or(s.Target, 400*time.Millisecond)
	s.Deadline = cmp.Or(s.Deadline, 2500*time.Millisecond)
	s.Seed = cmp.Or(s.Seed, 1)
	return s
}

// windowLength is the length of a Window.
const windowLength = 2 * time.Second

// Window counts the requests whose first attempt was sent within a time window.
type Window struct {
	Requests, WithinTarget, Late, Refused int
	// FirstArrivals and Retries count what reached the upstreams within the
	// window: the first attempt of an entry for a request, and its later ones.
	FirstArrivals, Retries int
}

// lateAnswerValue is the value of a response that arrives after the target but
// before the deadline, relative to one within the target. It is about the same
// in both deployments.
const lateAnswerValue = 0.2

// Score returns the average value of a request, between 0 and 1: 1 within the
// target, lateAnswerValue within the deadline and 0 otherwise.
func (w Window) Score() float64 {
	if w.Requests == 0 {
		return 0
	}
	return (float64(w.WithinTarget) + lateAnswerValue*float64(w.Late)) / float64(w.Requests)
}

func (w *Window) add(o Window) {
	w.Requests += o.Requests
	w.WithinTarget += o.WithinTarget
	w.Late += o.Late
	w.Refused += o.Refused
	w.FirstArrivals += o.FirstArrivals
	w.Retries += o.Retries
}

// Result holds what the clients observed.
type Result struct {
	Windows []Window
	// WarmShare is the fraction of the executed requests whose object was
	// cached by the upstream.
	WarmShare float64
	// MaxColdRate is the maximum number of requests that one cold upstream
	// received within one second.
	MaxColdRate int
	// Arrivals is the number of attempts of all clients after the warm-up, and
	// TurnedAway is how many of them an entry or an upstream refused.
	Arrivals, TurnedAway int
	// BusiestOverMean is the number of attempts that reached the busiest
	// upstream divided by the mean over all upstreams, after the warm-up.
	BusiestOverMean float64
	// PlanChanges is the number of changes of the object plans after the
	// warm-up, and ChangedDemands the number of demands that they changed.
	PlanChanges, ChangedDemands int
	// Idle is the number of upstreams that no attempt reached.
	Idle int
}

// TurnedAwayShare returns the fraction of the attempts that were refused.
func (r Result) TurnedAwayShare() float64 { return float64(r.TurnedAway) / max(float64(r.Arrivals), 1) }

// Between returns the sum of the windows that start in [from, to).
func (r Result) Between(from, to time.Duration) Window {
	var sum Window
	for i, w := range r.Windows {
		if at := time.Duration(i) * windowLength; at >= from && at < to {
			sum.add(w)
		}
	}
	return sum
}

// Total returns the sum of all windows.
func (r Result) Total() Window { return r.Between(0, time.Duration(len(r.Windows))*windowLength) }

// retryWindow is the length of the window in which services count retries.
const retryWindow = 10 * time.Second

// RetryExcess returns the largest number of retries beyond a percentage of the
// first arrivals within retryWindow.
func (r Result) RetryExcess(percent azurestair.Percent) int {
	worst := 0
	for i := range r.Windows {
		from := time.Duration(i) * windowLength
		w := r.Between(from, from+retryWindow)
		worst = max(worst, w.Retries-w.FirstArrivals*int(percent)/100)
	}
	return worst
}

// LowestScore returns the lowest score of a window with requests.
func (r Result) LowestScore() float64 {
	worst := 1.0
	for _, w := range r.Windows {
		if w.Requests > 0 {
			worst = min(worst, w.Score())
		}
	}
	return worst
}
