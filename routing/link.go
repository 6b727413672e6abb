package routing

import (
	"time"

	"azurestair.example/azurestair"
)

// LinkLimiter limits the bytes that an entry sends over a link between regions to
// its leased rate, and measures the rate in use. The zero value is ready to
// use.
//
// It is a token bucket. Bytes are counted after they were sent, so the balance
// may become negative by one read; the next read waits until it is zero again.
type LinkLimiter struct {
	// tokens is the number of bytes that may be sent now; a negative value is a
	// debt.
	tokens     float64
	refilledAt time.Time

	// sent counts the bytes of the current window; rate is that of the
	// previous one.
	sent        azurestair.Bytes
	windowStart time.Time
	rate        azurestair.BytesPerSecond
}

// linkBurst limits the unused rate that accumulates.
const linkBurst = 20 * time.Millisecond

// linkWindow is the interval over which the rate in use is measured.
const linkWindow = 500 * time.Millisecond

// Take counts n bytes that were sent and returns how long to wait before
// sending more under the limit. A limit of zero permits nothing; the wait is
// then one window.
func (m *LinkLimiter) Take(n azurestair.Bytes, limit azurestair.BytesPerSecond, now time.Time) time.Duration {
	m.rollWindow(now)
	m.sent += n
	m.tokens += now.Sub(m.refilledAt).Seconds() * float64(limit)
	if m.refilledAt.IsZero() {
		m.tokens = 0
	}
	m.refilledAt = now
	m.tokens = min(m.tokens, linkBurst.Seconds()*float64(limit)) - float64(n)
	if m.tokens >= 0 {
		return 0
	}
	if limit <= 0 {
		return linkWindow
	}
	return time.Duration(-m.tokens / float64(limit) * float64(time.Second))
}

// Rate returns the rate measured over the last complete window.
func (m *LinkLimiter) Rate(now time.Time) azurestair.BytesPerSecond {
	m.rollWindow(now)
	return m.rate
}

// rollWindow starts a new window when the current one is over.
func (m *LinkLimiter) rollWindow(now time.Time) {
	age := now.Sub(m.windowStart)
	if age < linkWindow {
		return
	}
	m.rate = azurestair.BytesPerSecond(float64(m.sent) / age.Seconds())
	if m.windowStart.IsZero() {
		m.rate = 0
	}
	m.sent, m.windowStart = 0, now
}
