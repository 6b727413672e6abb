package routing

import (
	"container/heap"
	"time"
)

// agenda orders workers by the time at which their standing may change by
// itself. A worker stands in it at most once.
type agenda []*worker

// Len implements heap.Interface.
func (a agenda) Len() int { return len(a) }

// Less implements heap.Interface.
func (a agenda) Less(i, j int) bool { return a[i].wakeAt.Before(a[j].wakeAt) }

// Swap implements heap.Interface.
func (a agenda) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].agendaPos, a[j].agendaPos = i, j
}

// Push implements heap.Interface.
func (a *agenda) Push(x any) {
	w := x.(*worker)
	w.agendaPos = len(*a)
	*a = append(*a, w)
}

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	last := len(*a) - 1
	w := (*a)[last]
	(*a)[last] = nil
	*a = (*a)[:last]
	w.agendaPos = notOnAgenda
	return w
}

const notOnAgenda = -1

// wake makes sure that the worker is looked at no later than at. A worker that
// is already due earlier stays so: the early look only recomputes the time.
func (a *agenda) wake(w *worker, at time.Time) {
	if at.IsZero() {
		return
	}
	if w.agendaPos == notOnAgenda {
		w.wakeAt = at
		heap.Push(a, w)
		return
	}
	if at.Before(w.wakeAt) {
		w.wakeAt = at
		heap.Fix(a, w.agendaPos)
	}
}

// due takes the next worker whose time has come off the agenda; nil if none.
func (a *agenda) due(now time.Time) *worker {
	if len(*a) == 0 || (*a)[0].wakeAt.After(now) {
		return nil
	}
	return heap.Pop(a).(*worker)
}

func (a *agenda) drop(w *worker) {
	if w.agendaPos != notOnAgenda {
		heap.Remove(a, w.agendaPos)
	}
}
