package stdout

import (
	"sync"
	"time"
)

// LineLimit bounds the lines of one kind in each second and counts the others.
// It is safe for concurrent use; the zero value is ready.
type LineLimit struct {
	mu     sync.Mutex
	second time.Time
	lines  int
	folded int
}

// Allow reports whether a line may be written now, with the most in a second,
// and, at the first line of a second, how many were left out since the last one.
func (l *LineLimit) Allow(most int, now time.Time) (bool, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	folded := 0
	if now.Sub(l.second) >= time.Second {
		folded = l.folded
		l.second, l.lines, l.folded = now, 0, 0
	}
	if l.lines >= most {
		l.folded++
		return false, folded
	}
	l.lines++
	return true, folded
}
