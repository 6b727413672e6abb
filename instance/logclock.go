package instance

import (
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// logClock assigns timestamps to the commands of the log. Timestamps are times
// of day, which the lease clock of the control goroutine does not tell after the
// machine was suspended: its time of day is then ahead by the time that it was
// suspended for.
type logClock struct {
	control.LogTime
	// timeOfDay tells the time of day; nil stands for the lease clock.
	timeOfDay azurestair.Clock
}

// Observe records the timestamp of an applied command.
func (c *logClock) Observe(at azurestair.UnixMillis, now time.Time) {
	c.LogTime.Observe(at, c.dayTime(now))
}

// Next returns the timestamp of a command that is proposed now.
func (c *logClock) Next(now time.Time) azurestair.UnixMillis { return c.LogTime.Next(c.dayTime(now)) }

func (c *logClock) dayTime(now time.Time) time.Time {
	if c.timeOfDay == nil {
		return now
	}
	return c.timeOfDay.Now()
}
