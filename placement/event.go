package placement

import (
	"time"

	"azurestair.example/azurestair"
)

// Cause says why an upstream was taken out.
type Cause string

// Causes of an ejection.
const (
	CauseFailures Cause = "failures"
	CauseGone     Cause = "anotherProcessAnswers"
	CauseDark     Cause = "noConnection"
	CauseTrial    Cause = "trialFailed"
)

// Event is a change of what the picker believes of an upstream.
type Event struct {
	Upstream azurestair.UpstreamID
	// Out is true when the upstream was taken out, until Until.
	Out   bool
	Until time.Time
	Cause Cause
	// InRow and Rate are the failures in a row and the failure rate that decided it.
	InRow int
	Rate  float64
}

// maxEvents bounds the events that wait to be taken.
const maxEvents = 64

func (p *Picker) note(e Event) {
	if len(p.events) < maxEvents {
		p.events = append(p.events, e)
	}
}

// Events returns what has changed since the last call; the slice is valid
// until the next call.
func (p *Picker) Events() []Event {
	out := p.events
	p.events = nil
	return out
}
