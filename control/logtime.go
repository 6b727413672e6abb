package control

import (
	"time"

	"azurestair.example/azurestair"
)

const (
	// maxClockGap is how far the clock of a leader may be behind the time in the
	// log for the log's time to go on from there. Claims have deadlines by the
	// clock of the leader that proposed them; a successor whose clock is behind
	// would hold the keys of a dead entry for longer by the difference. Beyond
	// the retention of claims the time in the log is given up as wrong.
	maxClockGap = ClaimRetention
	// slewPercent is how fast the log's time goes while it is ahead of the
	// leader's clock, so that it comes back to that in the end.
	slewPercent = 99
)

// LogTime gives the commands of a log their times. They do not go back when a
// leader follows one whose clock was ahead. The zero value is ready.
type LogTime struct {
	last azurestair.UnixMillis
	// set is when last was taken over by the own clock.
	set time.Time
}

// Observe takes over the time of a command that was applied.
func (t *LogTime) Observe(at azurestair.UnixMillis, now time.Time) { t.last, t.set = at, now }

// Next returns the time of a command that is proposed now.
func (t *LogTime) Next(now time.Time) azurestair.UnixMillis {
	own := azurestair.UnixMillisOf(now)
	elapsed := azurestair.MillisOf(max(0, now.Sub(t.set)) * slewPercent / 100)
	if next := t.last.Add(elapsed); !t.set.IsZero() && next > own && next < own.Add(maxClockGap) {
		return next
	}
	return own
}
