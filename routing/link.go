package routing

import (
	"time"

	"azurestair.example/azurestair"
)

// LinkMeter paces the bytes that an entry sends over a link between regions to
// the rate that it has leased. The zero value has sent nothing.
//
// Bytes are counted after they were moved, so that a meter may fall into debt
// by one read; the next read waits until the debt is paid.
type LinkMeter struct {
	// balance is what may be moved at once; negative is a debt.
	balance float64
	at      time.Time

	// moved counts the bytes of the present window, and rate is that of the one before.
	moved    azurestair.Bytes
	windowAt time.Time
	rate     azurestair.BytesPerSecond
}

// linkBurst bounds the time for which an unused rate is saved up.
const linkBurst = 20 * time.Millisecond

// linkWindow is the time over which the rate in use is measured.
const linkWindow = 500 * time.Millisecond

// Take counts n bytes that were moved and returns how long to wait before
// more may be moved under the limit. Without a limit nothing may be moved, and
// the wait is one window.
func (m *LinkMeter) Take(n azurestair.Bytes, limit azurestair.BytesPerSecond, now time.Time) time.Duration {
	m.roll(now)
	m.moved += n
	m.balance += now.Sub(m.at).Seconds() * float64(limit)
	if m.at.IsZero() {
		m.balance = 0
	}
	m.at = now
	m.balance = min(m.balance, linkBurst.Seconds()*float64(limit)) - float64(n)
	if m.balance >= 0 {
		return 0
	}
	if limit <= 0 {
		return linkWindow
	}
	return time.Duration(-m.balance / float64(limit) * float64(time.Second))
}

// Rate returns the rate in use.
func (m *LinkMeter) Rate(now time.Time) azurestair.BytesPerSecond {
	m.roll(now)
	return m.rate
}

// roll starts a new window when the present one is over.
func (m *LinkMeter) roll(now time.Time) {
	age := now.Sub(m.windowAt)
	if age < linkWindow {
		return
	}
	m.rate = azurestair.BytesPerSecond(float64(m.moved) / age.Seconds())
	if m.windowAt.IsZero() {
		m.rate = 0
	}
	m.moved, m.windowAt = 0, now
}
