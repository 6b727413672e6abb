package routing

import (
	"time"

	"azurestair.example/azurestair"
)

// Confirm takes over what an answer's header, a probe or a direct announcement
// says of an upstream's state.
func (p *Weighted) Confirm(id azurestair.UpstreamID, state azurestair.UpstreamState, now time.Time) {
	p.advance(now)
	w := p.workers[id]
	if w == nil {
		return
	}
	w.setState(state, now)
	if state == azurestair.StateServing && w.state == state {
		w.confirmedAt = now
	}
	p.settle(w, now)
}

const (
	// probeAhead is how long before a confirmation ends a probe may renew it.
	probeAhead = ConfirmFor / 2
	// probeEvery is the shortest time between two probes of one upstream.
	probeEvery = 500 * time.Millisecond
	// probeBurst bounds the probes that are saved up: one second's worth.
	probeBurst = time.Second
)

// probeBudget is a token bucket that holds slot time.
type probeBudget struct {
	saved time.Duration
	at    time.Time
}

// earn adds the slot time since the last call, at rate slots.
func (b *probeBudget) earn(rate float64, now time.Time) {
	limit := max(time.Duration(rate*float64(probeBurst)), ProbeCost)
	if b.at.IsZero() {
		b.saved = limit
	} else {
		b.saved += time.Duration(rate * float64(now.Sub(b.at)))
	}
	b.saved, b.at = min(b.saved, limit), now
}

func (b *probeBudget) spend() bool {
	if b.saved < ProbeCost {
		return false
	}
	b.saved -= ProbeCost
	return true
}

// ProbeCandidates returns the upstreams to probe now: those whose confirmation
// has ended or is about to, within this entry's part of the probe budget. The
// slice is valid until the next call.
func (p *Weighted) ProbeCandidates(now time.Time) []azurestair.UpstreamID {
	p.advance(now)
	p.probes.earn(p.probeRate(), now)
	p.probeList = p.probeList[:0]
	// The scan goes on where the last one ran out of budget, so that every
	// upstream has its turn.
	for range p.order {
		p.probeAt++
		if p.probeAt >= len(p.order) {
			p.probeAt = 0
		}
		w := p.order[p.probeAt]
		if !p.needsProbe(w, now) {
			continue
		}
		if !p.probes.spend() {
			p.probeAt--
			break
		}
		w.probedAt = now
		p.probeList = append(p.probeList, w.info.Upstream)
	}
	return p.probeList
}

func (p *Weighted) needsProbe(w *worker, now time.Time) bool {
	if !w.isWanted() || now.Sub(w.probedAt) < probeEvery {
		return false
	}
	return p.confirmedUntil(w).Sub(now) < ConfirmFor-probeAhead
}

// probeRate returns how many slots this entry's probes may keep in use on average.
func (p *Weighted) probeRate() float64 {
	slots := 0.0
	for _, w := range p.order {
		if w.listed {
			slots += w.shareOfSlots
		}
	}
	return slots * float64(p.defaults.ProbePercent) / 100
}
