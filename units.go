package azurestair

import "time"

type (
	// Slots counts requests that an upstream can work on at once.
	Slots int
	// Conns counts open connections.
	Conns int
	// Bytes counts bytes.
	Bytes int64
	// BytesPerSecond is a transfer rate.
	BytesPerSecond int64
	// Percent is a share in hundredths.
	Percent int
	// Millis is a span of time in milliseconds, as settings and time-to-live fields on the wire give it.
	Millis int64
	// UnixMillis is a point in time in milliseconds since the Unix epoch; zero means none.
	UnixMillis int64
)

// Duration converts the span.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// MillisOf converts a duration, rounding towards zero.
func MillisOf(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Time converts the point in time.
func (u UnixMillis) Time() time.Time { return time.UnixMilli(int64(u)) }

// UnixMillisOf converts a point in time.
func UnixMillisOf(t time.Time) UnixMillis { return UnixMillis(t.UnixMilli()) }

// Add returns the point in time that lies m later.
func (u UnixMillis) Add(m Millis) UnixMillis { return u + UnixMillis(m) }

// Of returns the share p of n, rounded down.
func (p Percent) Of(n int) int { return n * int(p) / 100 }
