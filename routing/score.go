package routing

import (
	"time"

	"azurestair.example/azurestair"
)

const (
	// riseGain is the weight of a sample above the average. It exceeds the
	// gain of falling samples, so that one slow answer is felt at once.
	riseGain = 0.5
	// fallTime is the time constant with which the average falls to lower samples.
	fallTime = time.Second
	// idleTime is the time constant with which the average of a worker without
	// new samples returns to the service's, so that a worker that was slow is
	// tried again.
	idleTime = 10 * time.Second
	// penaltyTime is the time constant with which the failure penalty decays.
	penaltyTime = 5 * time.Second
	// penaltyStep is what each failure adds, in multiples of the worker's
	// latency: a worker that fails fast counts as slow.
	penaltyStep = 4.0
	// penaltyMax bounds the penalty.
	penaltyMax = 16.0
	// penaltyMin ends the penalty, so that the worker is tried again even if
	// all others are equally fast.
	penaltyMin = 0.1
	// meanGain is the weight of a sample in the service's latency.
	meanGain = 1.0 / 64
	// meanClip bounds a sample's influence on the service's latency, in
	// multiples of it, so that one slow worker does not move it.
	meanClip = 4.0
	// minLatency stands in for latencies that are not known yet, so that
	// scores still differ by requests in flight.
	minLatency = 50 * time.Microsecond
	// hintWeight bounds the load report's influence: a report changes a score
	// by a factor of at most 1 + hintWeight*hintMax.
	hintWeight = 0.25
	// hintMax bounds the load that a report may claim, in multiples of the slots.
	hintMax = 2.0
	// hintFor is how long a load report is used: two announce intervals.
	hintFor = 2 * time.Second
	// suspectFactor is the multiple of the service's latency from which a
	// worker with a free slot is compared with workers that would queue.
	suspectFactor = 2.0
	// nearFactor is how much worse a nearer worker's score may be.
	nearFactor = 2.0
)

// record holds the worker's own latency and failure statistics.
type record struct {
	latency   float64
	sampledAt time.Time
	penalty   float64
	failedAt  time.Time
}

func (r *record) sample(v float64, now time.Time) {
	switch {
	case r.sampledAt.IsZero():
		r.latency = v
	case v > r.latency:
		r.latency += riseGain * (v - r.latency)
	default:
		keep := decay(now.Sub(r.sampledAt), fallTime)
		// The lower bound lets the average fall when samples arrive at one instant.
		r.latency += max(1-keep, meanGain) * (v - r.latency)
	}
	r.sampledAt = now
}

func (r *record) fail(now time.Time) {
	r.penalty = min(r.penaltyAt(now)+penaltyStep, penaltyMax)
	r.failedAt = now
}

func (r *record) penaltyAt(now time.Time) float64 {
	if r.penalty == 0 {
		return 0
	}
	left := r.penalty * decay(now.Sub(r.failedAt), penaltyTime)
	if left < penaltyMin {
		return 0
	}
	return left
}

// expected returns the latency to expect, given the service's.
func (r *record) expected(mean float64, now time.Time) float64 {
	if r.sampledAt.IsZero() {
		return mean
	}
	return mean + (r.latency-mean)*decay(now.Sub(r.sampledAt), idleTime)
}

// decay falls from 1 towards 0 like the exponential function, whose series it
// cuts off: the exact function takes a third of the time of a choice.
func decay(d, constant time.Duration) float64 {
	x := float64(max(d, 0)) / float64(constant)
	return 1 / (1 + x + x*x/2)
}

// cost is the worker's expected latency with its failure penalty.
func (p *Weighted) cost(w *worker, now time.Time) float64 {
	c := p.mean
	if !p.opts.Without.Latency {
		c = w.record.expected(p.mean, now)
	}
	c = max(c, float64(minLatency))
	if !p.opts.Without.Penalty {
		c *= 1 + w.record.penaltyAt(now)
	}
	return c
}

// score compares workers; lower is better.
func (p *Weighted) score(w *worker, now time.Time) float64 {
	perSlot := float64(w.inFlight+1) / w.shareOfSlots
	s := p.cost(w, now) * perSlot * p.hint(w, now)
	if w.weight > 1 {
		s /= w.weight
	}
	return s
}

func (p *Weighted) hint(w *worker, now time.Time) float64 {
	if p.opts.Without.LoadReports || now.Sub(w.reportedAt) > hintFor {
		return 1
	}
	return 1 + hintWeight*min(w.reportedLoad, hintMax)
}

func reportedLoad(a azurestair.Announcement) float64 {
	return max(0, float64(a.Load.InFlight+a.Load.Queued)/float64(max(a.Slots, 1)))
}

// observeMean takes a worker's average, after a complete answer, into the
// service's latency. Averages rather than samples, because rising averages are
// biased upwards and a worker without samples must not look faster than others.
func (p *Weighted) observeMean(v float64) {
	if p.mean == 0 {
		p.mean = v
		return
	}
	p.mean += meanGain * (min(v, meanClip*p.mean) - p.mean)
}
