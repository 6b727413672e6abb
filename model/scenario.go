package model

import (
	"cmp"
	"time"

	"azurestair.example/azurestair"
)

// Scenario is one load pattern. Zero fields stand for the defaults.
type Scenario struct {
	// Pattern names the load pattern.
	Pattern string
	Seed    uint64
	Length  time.Duration

	Regions int
	// Upstreams, Entries and Objects count those of each region.
	Upstreams, Entries, Objects int
	Slots                       azurestair.Slots
	// Queue bounds the work that waits at an upstream beyond its slots.
	Queue int
	// Memory is how many objects an upstream remembers.
	Memory int
	// Work is the mean work on an object, WarmPart the part of it that is left
	// for a remembered one.
	Work     time.Duration
	WarmPart float64
	// Rate is the requests a second of each region.
	Rate float64
	// Target and Deadline count from a client's first try.
	Target, Deadline time.Duration

	Burst Burst
	Loss  Loss
	Wave  Wave
	// FixedPlan keeps the plan of regions as it is without traffic.
	FixedPlan bool

	// Copies and Reach are those of placement.Options.
	Copies, Reach int
}

// Burst multiplies the rate for a time.
type Burst struct {
	From, To time.Duration
	Factor   float64
}

// Wave lets the rate of each region swing round its mean, the busy hours of the
// regions evenly apart.
type Wave struct {
	Swing  float64
	Period time.Duration
}

// Loss takes upstreams of the first region away for a time; they come back
// without memory, and cold for as long as Cold.
type Loss struct {
	From, To  time.Duration
	Upstreams int
	Cold      time.Duration
	// ColdPerSecond is what a cold upstream tolerates.
	ColdPerSecond float64
}

// withDefaults follows the sizes of the two deployments of today: six zones in
// three regions, a service of 20 to 24 upstreams, work of half a second.
func (s Scenario) withDefaults() Scenario {
	s.Length = cmp.Or(s.Length, 40*time.Second)
	s.Regions = cmp.Or(s.Regions, 3)
	s.Upstreams = cmp.Or(s.Upstreams, 8)
	s.Entries = cmp.Or(s.Entries, 2)
	s.Objects = cmp.Or(s.Objects, 100)
	s.Slots = cmp.Or(s.Slots, 6)
	s.Queue = cmp.Or(s.Queue, 18)
	s.Memory = cmp.Or(s.Memory, 40)
	s.Work = cmp.Or(s.Work, 500*time.Millisecond)
	s.WarmPart = cmp.Or(s.WarmPart, 0.3)
	s.Rate = cmp.Or(s.Rate, 120)
	s.Target = cmp.Or(s.Target, 400*time.Millisecond)
	s.Deadline = cmp.Or(s.Deadline, 2500*time.Millisecond)
	s.Seed = cmp.Or(s.Seed, 1)
	return s
}

// windowLength is the span of the windows that a Result tells apart.
const windowLength = 2 * time.Second

// Window counts the requests whose first try fell into a span of time.
type Window struct {
	Asked, InTarget, Late, Refused int
}

// lateWorth is what a late answer is worth of one in time, about as in both deployments.
const lateWorth = 0.2

// Credit returns the share of the worth that was earned.
func (w Window) Credit() float64 {
	if w.Asked == 0 {
		return 0
	}
	return (float64(w.InTarget) + lateWorth*float64(w.Late)) / float64(w.Asked)
}

func (w *Window) add(o Window) {
	w.Asked += o.Asked
	w.InTarget += o.InTarget
	w.Late += o.Late
	w.Refused += o.Refused
}

// Result is what clients saw.
type Result struct {
	Windows []Window
	// WarmShare is the share of the work that was done on remembered objects.
	WarmShare float64
	// MostCold is the most requests that a cold upstream got within one second.
	MostCold int
}

// Between sums up the windows of a span of time.
func (r Result) Between(from, to time.Duration) Window {
	var sum Window
	for i, w := range r.Windows {
		if at := time.Duration(i) * windowLength; at >= from && at < to {
			sum.add(w)
		}
	}
	return sum
}

// Total sums up all windows.
func (r Result) Total() Window { return r.Between(0, time.Duration(len(r.Windows))*windowLength) }

// Worst returns the lowest credit of any window.
func (r Result) Worst() float64 {
	worst := 1.0
	for _, w := range r.Windows {
		if w.Asked > 0 {
			worst = min(worst, w.Credit())
		}
	}
	return worst
}
