package upstream

import (
	"slices"
	"sync"
	"time"
)

// heardMark says that an answer came at a time on a connection that was opened
// at another.
type heardMark struct {
	opened, heard time.Time
}

// heardTimes tells whether connections of a given age still bring answers. The
// zero value is ready.
//
// It keeps only what a later answer on an older connection has not replaced, so
// that both times increase along marks.
type heardTimes struct {
	mu    sync.Mutex
	marks []heardMark
}

// observe takes an answer into account that came now.
func (h *heardTimes) observe(opened, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	keep := len(h.marks)
	for keep > 0 && !h.marks[keep-1].opened.Before(opened) {
		keep--
	}
	h.marks = append(h.marks[:keep], heardMark{opened, now})
	if len(h.marks) > maxHeardMarks {
		h.marks = slices.Delete(h.marks, 0, 1)
	}
}

// maxHeardMarks bounds the marks. An entry with its usual traffic keeps few, as
// the oldest of its connections bring answers all the time.
const maxHeardMarks = 256

// isSilentSince reports whether no connection that was open at the time has
// brought an answer since. Answers on connections that were opened later do not
// count: they say that the upstreams live, not that the older connections do.
func (h *heardTimes) isSilentSince(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n, _ := slices.BinarySearchFunc(h.marks, at, func(m heardMark, at time.Time) int { return m.opened.Compare(at) })
	return n == 0 || h.marks[n-1].heard.Before(at)
}
