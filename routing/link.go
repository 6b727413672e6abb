package routing

import (
	"time"

	"azurestair.example/azurestair"
)

// LinkPacer limits the bytes that an entry sends over a link between regions
// to its leased rate, and measures the rate in use. The zero value is ready to
// use.
//
// It is a token bucket. Bytes are counted after they were sent, so the balance
// may become negative by one read; the next read waits until it is zero again.
type LinkPacer struct {
	// tokens is the number of bytes that may be sent now; a negative value is a
	// debt.
	tokens     float64
	refilledAt time.Time

	// sent counts the bytes of the current window; rate is the rate measured
	// over the previous window.
	sent        azurestair.Bytes
	windowStart time.Time
	rate        azurestair.BytesPerSecond
}

// linkBurst is the time for which unused rate accumulates.
const linkBurst = 20 * time.Millisecond

// linkWindow is the interval over which the rate in use is measured.
const linkWindow = 500 * time.Millisecond

// Take counts n bytes that were sent and returns how long to wait before
// sending more under the limit. A limit of zero permits nothing; the wait is
// then one window.
func (l *LinkPacer) Take(n azurestair.Bytes, limit azurestair.BytesPerSecond, now time.Time) time.Duration {
	l.rollWindow(now)
	l.sent += n
	l.tokens += now.Sub(l.refilledAt).Seconds() * float64(limit)
	if l.refilledAt.IsZero() {
		l.tokens = 0
	}
	l.refilledAt = now
	l.tokens = min(l.tokens, linkBurst.Seconds()*float64(limit)) - float64(n)
	if l.tokens >= 0 {
		return 0
	}
	if limit <= 0 {
		return linkWindow
	}
	return time.Duration(-l.tokens / float64(limit) * float64(time.Second))
}

// Rate returns the rate measured over the last complete window.
func (l *LinkPacer) Rate(now time.Time) azurestair.BytesPerSecond {
	l.rollWindow(now)
	return l.rate
}

// rollWindow starts a new window when the current one is over.
func (l *LinkPacer) rollWindow(now time.Time) {
	age := now.Sub(l.windowStart)
	if age < linkWindow {
		return
	}
	l.rate = azurestair.BytesPerSecond(float64(l.sent) / age.Seconds())
	if l.windowStart.IsZero() {
		l.rate = 0
	}
	l.sent, l.windowStart = 0, now
}
