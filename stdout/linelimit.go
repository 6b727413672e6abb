package stdout

import (
	"sync"
	"time"
)

// LineLimiter is a rate limiter for log lines of one kind that counts the
// suppressed lines. It is safe for concurrent use; the zero value is ready to
// use.
type LineLimiter struct {
	mu          sync.Mutex
	windowStart time.Time
	written     int
	suppressed  int
}

// Allow reports whether a line may be written now, given the limit of lines per
// second. The first call in a new one-second window also returns the number of
// lines suppressed in the previous window.
func (l *LineLimiter) Allow(limit int, now time.Time) (bool, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	suppressed := 0
	if now.Sub(l.windowStart) >= time.Second {
		suppressed = l.suppressed
		l.windowStart, l.written, l.suppressed = now, 0, 0
	}
	if l.written >= limit {
		l.suppressed++
		return false, suppressed
	}
	l.written++
	return true, suppressed
}
