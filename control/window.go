package control

// window holds the newest items of a sequence. It never modifies a stored item,
// so a copy of the slice stays valid.
type window[T any] struct {
	items []T
}

// push adds an item. It drops the oldest items beyond limit and returns them.
func (w *window[T]) push(item T, limit int) []T {
	w.items = append(w.items, item)
	n := max(0, len(w.items)-limit)
	dropped := w.items[:n:n]
	w.items = w.items[n:]
	return dropped
}

// view returns the items, oldest first. Appending to the result copies them.
func (w *window[T]) view() []T {
	return w.items[:len(w.items):len(w.items)]
}
