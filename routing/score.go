package routing

import (
	"time"

	"azurestair.example/azurestair"
)

const (
	// riseGain is the weight of a latency sample above the average. It exceeds
	// the weight of lower samples, so that a single slow response takes effect
	// at once.
	riseGain = 0.5
	// fallTime is the time constant with which the average falls to lower
	// samples.
	fallTime = time.Second
	// idleDecayTime is the time constant with which the average of an upstream
	// without new samples returns to the service's mean, so that an upstream
	// that was slow is tried again.
	idleDecayTime = 10 * time.Second
	// penaltyDecayTime is the time constant with which the failure penalty
	// decays.
	penaltyDecayTime = 5 * time.Second
	// penaltyStep is the penalty of each failure, in multiples of the
	// upstream's latency. Without it, an upstream that fails fast would look
	// like a fast one.
	penaltyStep = 4.0
	// penaltyMax limits the penalty.
	penaltyMax = 16.0
	// penaltyMin is the penalty below which it counts as zero, so that the
	// upstream is tried again even if all others are equally fast.
	penaltyMin = 0.1
	// meanGain is the weight of a sample in the service's mean latency.
	meanGain = 1.0 / 64
	// maxMeanSample limits a sample, in multiples of the service's mean
	// latency, so that one slow upstream does not shift the mean.
	maxMeanSample = 4.0
	// minLatency replaces latencies that are not known yet, so that scores
	// still differ by requests in flight.
	minLatency = 50 * time.Microsecond
	// loadWeight limits the effect of load reports: a report changes a score by
	// a factor of at most 1 + loadWeight*maxReportedLoad.
	loadWeight = 0.25
	// maxReportedLoad limits the load taken from a report, in multiples of the
	// slots.
	maxReportedLoad = 2.0
	// loadReportTTL is how long a load report is used: two announcement
	// intervals.
	loadReportTTL = 2 * time.Second
	// slowFactor is the multiple of the service's mean latency above which an
	// upstream with a free slot is compared with upstreams that would queue the
	// request.
	slowFactor = 2.0
	// localityFactor is how many times worse the score of a nearer upstream may
	// be before a more distant one is preferred.
	localityFactor = 2.0
)

// stats holds the latency and failure statistics of an upstream.
type stats struct {
	latency   float64
	sampledAt time.Time
	penalty   float64
	failedAt  time.Time
}

func (s *stats) addLatency(sample float64, now time.Time) {
	switch {
	case s.sampledAt.IsZero():
		s.latency = sample
	case sample > s.latency:
		s.latency += riseGain * (sample - s.latency)
	default:
		keep := decay(now.Sub(s.sampledAt), fallTime)
		// The minimum weight lets the average fall when samples arrive at the
		// same instant.
		s.latency += max(1-keep, meanGain) * (sample - s.latency)
	}
	s.sampledAt = now
}

func (s *stats) addFailure(now time.Time) {
	s.penalty = min(s.penaltyAt(now)+penaltyStep, penaltyMax)
	s.failedAt = now
}

func (s *stats) penaltyAt(now time.Time) float64 {
	if s.penalty == 0 {
		return 0
	}
	left := s.penalty * decay(now.Sub(s.failedAt), penaltyDecayTime)
	if left < penaltyMin {
		return 0
	}
	return left
}

// expectedLatency returns the upstream's average latency. It approaches the
// service's mean while no new samples arrive.
func (s *stats) expectedLatency(mean float64, now time.Time) float64 {
	if s.sampledAt.IsZero() {
		return mean
	}
	return mean + (s.latency-mean)*decay(now.Sub(s.sampledAt), idleDecayTime)
}

// decay approximates exp(-d/constant) by the reciprocal of a truncated series.
// The exact function would take a third of the time of a whole choice.
func decay(d, constant time.Duration) float64 {
	x := float64(max(d, 0)) / float64(constant)
	return 1 / (1 + x + x*x/2)
}

// penalizedLatency returns the upstream's expected latency including its
// failure penalty.
func (p *Weighted) penalizedLatency(u *upstream, now time.Time) float64 {
	latency := p.meanLatency
	if !p.opts.Disabled.Latency {
		latency = u.stats.expectedLatency(p.meanLatency, now)
	}
	latency = max(latency, float64(minLatency))
	if !p.opts.Disabled.Penalty {
		latency *= 1 + u.stats.penaltyAt(now)
	}
	return latency
}

// score ranks upstreams; lower is better.
func (p *Weighted) score(u *upstream, now time.Time) float64 {
	perSlot := float64(u.inFlight+1) / u.slotShare
	s := p.penalizedLatency(u, now) * perSlot * p.loadFactor(u, now)
	if u.weight > 1 {
		s /= u.weight
	}
	return s
}

func (p *Weighted) loadFactor(u *upstream, now time.Time) float64 {
	if p.opts.Disabled.LoadReports || now.Sub(u.reportedAt) > loadReportTTL {
		return 1
	}
	return 1 + loadWeight*min(u.reportedLoad, maxReportedLoad)
}

func reportedLoad(a azurestair.Announcement) float64 {
	return max(0, float64(a.Load.InFlight+a.Load.Queued)/float64(max(a.Slots, 1)))
}

// updateMeanLatency adds an upstream's average latency to the service's mean
// after a complete response. An upstream without samples is scored by this
// mean. The averages are biased upwards, so a mean of the samples themselves
// would make such an upstream look faster than the others.
func (p *Weighted) updateMeanLatency(latency float64) {
	if p.meanLatency == 0 {
		p.meanLatency = latency
		return
	}
	p.meanLatency += meanGain * (min(latency, maxMeanSample*p.meanLatency) - p.meanLatency)
}
