package routing

import (
	"time"

	"azurestair.example/azurestair"
)

// Confirm records the state that an upstream reported in a response header, a
// probe or a direct announcement.
func (p *Weighted) Confirm(id azurestair.UpstreamID, state azurestair.UpstreamState, now time.Time) {
	p.advance(now)
	u := p.byID[id]
	if u == nil {
		return
	}
	u.setState(state, now)
	if state == azurestair.StateServing && u.state == state {
		u.confirmedAt = now
	}
	p.reclassify(u, now)
}

const (
	// probeAfter is the age of a confirmation from which a probe may renew it.
	probeAfter = ConfirmationTTL / 2
	// minProbeInterval is the shortest time between two probes of one upstream.
	minProbeInterval = 500 * time.Millisecond
	// probeBurst is the time for which unused probe budget accumulates.
	probeBurst = time.Second
)

// probeBudget is a token bucket whose tokens are slot time.
type probeBudget struct {
	tokens     time.Duration
	refilledAt time.Time
}

// refill adds the slot time earned since the last call, at a rate in slots.
func (b *probeBudget) refill(rate float64, now time.Time) {
	limit := max(time.Duration(rate*float64(probeBurst)), ProbeCost)
	if b.refilledAt.IsZero() {
		b.tokens = limit
	} else {
		b.tokens += time.Duration(rate * float64(now.Sub(b.refilledAt)))
	}
	b.tokens, b.refilledAt = min(b.tokens, limit), now
}

func (b *probeBudget) take() bool {
	if b.tokens < ProbeCost {
		return false
	}
	b.tokens -= ProbeCost
	return true
}

// ProbeCandidates returns the upstreams to probe now: those whose confirmation
// has expired or is about to, within this entry's part of the probe budget. The
// slice is valid until the next call.
func (p *Weighted) ProbeCandidates(now time.Time) []azurestair.UpstreamID {
	p.advance(now)
	p.probeBudget.refill(p.probeRate(), now)
	p.probeList = p.probeList[:0]
	// The scan resumes where the last one ran out of budget, so that no
	// upstream is starved.
	for range p.upstreams {
		p.probeCursor++
		if p.probeCursor >= len(p.upstreams) {
			p.probeCursor = 0
		}
		u := p.upstreams[p.probeCursor]
		if !p.needsProbe(u, now) {
			continue
		}
		if !p.probeBudget.take() {
			p.probeCursor--
			break
		}
		u.probedAt = now
		p.probeList = append(p.probeList, u.announcement.Upstream)
	}
	return p.probeList
}

func (p *Weighted) needsProbe(u *upstream, now time.Time) bool {
	if !u.isEligible() || now.Sub(u.probedAt) < minProbeInterval {
		return false
	}
	return p.confirmedUntil(u).Sub(now) < ConfirmationTTL-probeAfter
}

// probeRate returns the mean number of slots that this entry's probes may
// occupy.
func (p *Weighted) probeRate() float64 {
	slots := 0.0
	for _, u := range p.upstreams {
		if u.listed {
			slots += u.slotShare
		}
	}
	return slots * float64(p.defaults.ProbePercent) / 100
}
