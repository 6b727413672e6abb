package placement

import (
	"time"

	"azurestair.example/azurestair"
)

// Cause says why an upstream was ejected.
type Cause string

// Causes of an ejection.
const (
	CauseFailures      Cause = "failures"
	CauseAddressReused Cause = "anotherProcessAnswers"
	CauseUnreachable   Cause = "noConnection"
	CauseTrial         Cause = "trialFailed"
	CauseLeaving       Cause = "leaving"
	CausePause         Cause = "asksForPause"
)

// Restart describes a new process of an upstream, as its first listing shows
// it.
type Restart struct {
	Incarnation, Before azurestair.Incarnation
	// ColdMs is the remaining time for which the new process is cold.
	ColdMs azurestair.Millis
	// RecentRequests is how many requests this entry has sent within the last
	// coldWindow, and Quota how many it may send to the upstream while it is
	// cold.
	RecentRequests, Quota int
}

// Event reports the ejection, the return or the restart of an upstream, that a
// restart is suspected, or that a known process has become cold.
type Event struct {
	Upstream azurestair.UpstreamID
	// Restart is set if the upstream has started again under its id; the other
	// fields are then not set.
	Restart *Restart
	// ColdUntil is set if the upstream has become cold, or is cold for longer than
	// was known; the other fields are then not set.
	ColdUntil time.Time
	// Suspected is true if connections have failed and the upstream may be
	// another process now, which the entry sends no more than its part of what
	// a cold one tolerates; the other fields are then not set.
	Suspected bool
	// Ejected is true if the upstream was ejected until Until, and false if it
	// is used again.
	Ejected bool
	Until   time.Time
	Cause   Cause
	// ConsecutiveFailures and FailRate are the values that led to the ejection.
	ConsecutiveFailures int
	FailRate            float64
}

// maxEvents limits the events that are kept until Events is called.
const maxEvents = 64

func (p *Picker) addEvent(e Event) {
	if len(p.events) < maxEvents {
		p.events = append(p.events, e)
	}
}

// Events returns the events since the last call; the slice is valid until the
// next call.
func (p *Picker) Events() []Event {
	out := p.events
	p.events = nil
	return out
}
