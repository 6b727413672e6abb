package routing

import (
	"container/heap"
	"time"
)

// timerHeap orders upstreams by the next time at which their candidate set may
// change without an event. Each upstream has at most one entry.
type timerHeap []*upstream

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].checkAt.Before(h[j].checkAt) }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timerIndex, h[j].timerIndex = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	u := x.(*upstream)
	u.timerIndex = len(*h)
	*h = append(*h, u)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	u := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	u.timerIndex = notScheduled
	return u
}

const notScheduled = -1

// schedule ensures that the upstream is checked no later than at. An earlier
// check stays in place and schedules the next one when it is due.
func (h *timerHeap) schedule(u *upstream, at time.Time) {
	if at.IsZero() {
		return
	}
	if u.timerIndex == notScheduled {
		u.checkAt = at
		heap.Push(h, u)
		return
	}
	if at.Before(u.checkAt) {
		u.checkAt = at
		heap.Fix(h, u.timerIndex)
	}
}

// popDue removes and returns the next upstream whose check is due, or nil.
func (h *timerHeap) popDue(now time.Time) *upstream {
	if len(*h) == 0 || (*h)[0].checkAt.After(now) {
		return nil
	}
	return heap.Pop(h).(*upstream)
}

func (h *timerHeap) cancel(u *upstream) {
	if u.timerIndex != notScheduled {
		heap.Remove(h, u.timerIndex)
	}
}
