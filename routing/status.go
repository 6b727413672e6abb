package routing

import (
	"time"

	"azurestair.example/azurestair"
)

// Standing says whether an upstream gets new requests and, if not, why.
type Standing string

// The standings of an upstream, in the order in which they are checked.
const (
	StandingUnlisted    Standing = "unlisted"
	StandingDrained     Standing = "drained"
	StandingExcluded    Standing = "excludedByException"
	StandingDraining    Standing = "draining"
	StandingLeaving     Standing = "leaving"
	StandingUnconfirmed Standing = "unconfirmed"
	StandingEjected     Standing = "ejected"
	StandingTrial       Standing = "trial"
	StandingPaused      Standing = "paused"
	StandingSaturated   Standing = "saturated"
	StandingSlowStart   Standing = "slowStart"
	StandingServing     Standing = "serving"
)

// Status is the picker's view of one upstream, for status pages and metrics.
type Status struct {
	Upstream azurestair.UpstreamID
	Standing Standing
	// InFlight counts this entry's attempts. Late counts those among them that
	// timed out and still hold a slot.
	InFlight azurestair.Slots
	Late     azurestair.Slots
	// Latency is the expected latency without the failure penalty.
	Latency time.Duration
	// Ejections counts the recent ejections that lengthen the next one.
	Ejections int
}

// Status appends the status of every known upstream to list and returns it.
func (p *Weighted) Status(list []Status, now time.Time) []Status {
	p.advance(now)
	for _, u := range p.upstreams {
		list = append(list, Status{
			Upstream:  u.announcement.Upstream,
			Standing:  p.standing(u, now),
			InFlight:  azurestair.Slots(u.inFlight),
			Late:      azurestair.Slots(len(u.lateUntil)),
			Latency:   time.Duration(u.stats.expectedLatency(p.meanLatency, now)),
			Ejections: u.health.ejections,
		})
	}
	return list
}

func (p *Weighted) standing(u *upstream, now time.Time) Standing {
	switch {
	case !u.listed:
		return StandingUnlisted
	case u.drained:
		return StandingDrained
	case u.weight <= 0 || u.slotLimit <= 0:
		return StandingExcluded
	case u.state == azurestair.StateLeaving:
		return StandingLeaving
	case u.state != azurestair.StateServing:
		return StandingDraining
	case !p.isConfirmed(u, now):
		return StandingUnconfirmed
	}
	return p.usableStanding(u)
}

func (p *Weighted) usableStanding(u *upstream) Standing {
	switch {
	case u.health.state == open:
		return StandingEjected
	case u.health.state == halfOpen:
		return StandingTrial
	case u.set == nil:
		return StandingSaturated
	case !u.rampStart.IsZero():
		return StandingSlowStart
	default:
		return StandingServing
	}
}
