package upstream

import (
	"slices"
	"sync"
	"time"
)

// responseMark records when a response was received and when its connection was
// opened.
type responseMark struct {
	opened, received time.Time
}

// livenessTracker tracks whether connections of a given age still receive
// responses. The zero value is ready to use.
//
// A response replaces the marks of all connections that were opened at the same
// time or later, since it proves at least as much as they do. Both times
// therefore increase along marks.
type livenessTracker struct {
	mu    sync.Mutex
	marks []responseMark
}

// observe records a response that was received now.
func (t *livenessTracker) observe(opened, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	keep := len(t.marks)
	for keep > 0 && !t.marks[keep-1].opened.Before(opened) {
		keep--
	}
	t.marks = append(t.marks[:keep], responseMark{opened, now})
	if len(t.marks) > maxResponseMarks {
		t.marks = slices.Delete(t.marks, 0, 1)
	}
}

// maxResponseMarks bounds the number of marks. Under normal traffic there are
// few, since the oldest connections receive responses all the time.
const maxResponseMarks = 256

// isSilentSince reports whether no connection that was open at the given time
// has received a response since. Responses on connections opened later do not
// count: they show that the upstreams work, not that the older connections do.
func (t *livenessTracker) isSilentSince(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, _ := slices.BinarySearchFunc(t.marks, at, func(m responseMark, at time.Time) int { return m.opened.Compare(at) })
	return n == 0 || t.marks[n-1].received.Before(at)
}
