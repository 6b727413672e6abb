package routing

import (
	"time"

	"azurestair.example/azurestair"
)

// Standing says whether a worker gets new work and, if not, why.
type Standing string

// Standings of a worker, in the order in which they are decided.
const (
	StandingUnlisted    Standing = "unlisted"
	StandingDrained     Standing = "drained"
	StandingExcluded    Standing = "excludedByException"
	StandingDraining    Standing = "draining"
	StandingLeaving     Standing = "leaving"
	StandingUnconfirmed Standing = "unconfirmed"
	StandingEjected     Standing = "ejected"
	StandingTrial       Standing = "trial"
	StandingSaturated   Standing = "saturated"
	StandingSlowStart   Standing = "slowStart"
	StandingServing     Standing = "serving"
)

// Status is what the picker knows of one worker, for status pages and metrics.
type Status struct {
	Upstream azurestair.UpstreamID
	Standing Standing
	// InFlight counts this entry's attempts; Late is the part that timed out
	// and still counts.
	InFlight azurestair.Slots
	Late     azurestair.Slots
	// Latency is the expected latency without the failure penalty.
	Latency time.Duration
	// Ejections counts the ejections that lengthen the next one.
	Ejections int
}

// Status appends the status of every known worker to list and returns it.
func (p *Weighted) Status(list []Status, now time.Time) []Status {
	p.advance(now)
	for _, w := range p.order {
		list = append(list, Status{
			Upstream:  w.info.Upstream,
			Standing:  p.explain(w, now),
			InFlight:  azurestair.Slots(w.inFlight),
			Late:      azurestair.Slots(len(w.lateUntil)),
			Latency:   time.Duration(w.record.expected(p.mean, now)),
			Ejections: w.health.ejections,
		})
	}
	return list
}

func (p *Weighted) explain(w *worker, now time.Time) Standing {
	switch {
	case !w.listed:
		return StandingUnlisted
	case w.drained:
		return StandingDrained
	case w.weight <= 0 || w.share <= 0:
		return StandingExcluded
	case w.state == azurestair.StateLeaving:
		return StandingLeaving
	case w.state != azurestair.StateServing:
		return StandingDraining
	case !p.isConfirmed(w, now):
		return StandingUnconfirmed
	}
	return p.explainUsable(w)
}

func (p *Weighted) explainUsable(w *worker) Standing {
	switch {
	case w.health.state == open:
		return StandingEjected
	case w.health.state == halfOpen:
		return StandingTrial
	case w.set == nil:
		return StandingSaturated
	case !w.rampFrom.IsZero():
		return StandingSlowStart
	default:
		return StandingServing
	}
}
