package azurestair

import "time"

type (
	// Slots is a number of concurrent requests.
	Slots int
	// Conns is a number of open connections.
	Conns int
	// Bytes is a size in bytes.
	Bytes int64
	// BytesPerSecond is a bandwidth or transfer rate.
	BytesPerSecond int64
	// Percent is a percentage.
	Percent int
	// Millis is a duration in milliseconds, used in settings and messages.
	Millis int64
	// UnixMillis is a time in milliseconds since the Unix epoch; zero means
	// none.
	UnixMillis int64
)

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// MillisOf returns d in milliseconds, rounded towards zero.
func MillisOf(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Time returns u as a time.Time.
func (u UnixMillis) Time() time.Time { return time.UnixMilli(int64(u)) }

// UnixMillisOf returns t as UnixMillis.
func UnixMillisOf(t time.Time) UnixMillis { return UnixMillis(t.UnixMilli()) }

// Add returns the time u+m.
func (u UnixMillis) Add(m Millis) UnixMillis { return u + UnixMillis(m) }

// Of returns p percent of n, rounded towards zero.
func (p Percent) Of(n int) int { return n * int(p) / 100 }
