package control

import (
	"time"

	"azurestair.example/azurestair"
)

const (
	// maxClockGap is the largest lead of the log time over the leader's clock
	// at which the leader continues the log time. The deadlines of claims come
	// from the clock of the leader that proposed them, so a new leader whose
	// clock is behind would hold the keys of a dead entry longer by the
	// difference. If the gap exceeds the retention of claims, the log time is
	// considered wrong and is ignored.
	maxClockGap = ClaimRetention
	// slewPercent is the rate of the log time, in percent of the rate of the
	// leader's clock, while it is ahead of that clock. The clock catches up
	// eventually.
	slewPercent = 99
)

// LogTime assigns timestamps to the commands of a log. The timestamps do not go
// backwards if the previous leader's clock was ahead. The zero value is ready
// for use.
type LogTime struct {
	last azurestair.UnixMillis
	// observedAt is the local time at which last was recorded.
	observedAt time.Time
}

// Observe records the timestamp of an applied command.
func (t *LogTime) Observe(at azurestair.UnixMillis, now time.Time) { t.last, t.observedAt = at, now }

// Next returns the timestamp of a command that is proposed now.
func (t *LogTime) Next(now time.Time) azurestair.UnixMillis {
	local := azurestair.UnixMillisOf(now)
	elapsed := azurestair.MillisOf(max(0, now.Sub(t.observedAt)) * slewPercent / 100)
	if next := t.last.Add(elapsed); !t.observedAt.IsZero() && next > local && next < local.Add(maxClockGap) {
		return next
	}
	return local
}
