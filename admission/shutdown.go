package admission

import (
	"time"

	"azurestair.example/azurestair"
)

// Shutdown decides which requests an instance still accepts after it has begun
// to shut down. Requests in progress when the grace period ends are cut, and
// their callers cannot tell whether an upstream has run them.
//
// For the first part of the grace period, callers still reach the instance
// through lookups that name it, and every request is accepted. Later, only
// requests are accepted that end in time even if they use all of their time.
// The others are refused, because they can still run elsewhere. The zero value
// belongs to an instance that does not shut down.
type Shutdown struct {
	// OpenUntil is the time until which every request is accepted.
	OpenUntil time.Time
	// EndsAt is the time by which all requests must have ended.
	EndsAt time.Time
}

// closeReserve is the part of a grace period in which the instance sends the
// last responses, closes its listeners and signs off at the leader.
const closeReserve = 400 * time.Millisecond

// NewShutdown returns the decisions for a shutdown that begins at start and
// must be complete after the grace period. Half of the period is left to the
// requests that were accepted last without regard to their deadlines.
func NewShutdown(start time.Time, grace time.Duration) Shutdown {
	return Shutdown{OpenUntil: start.Add(grace / 2), EndsAt: start.Add(grace - min(closeReserve, grace/4))}
}

// Admits reports whether a request that arrives now may be served.
func (s Shutdown) Admits(w azurestair.RequestInfo, now time.Time) bool {
	return s.EndsAt.IsZero() || now.Before(s.OpenUntil) || !w.Deadline.After(s.EndsAt)
}
