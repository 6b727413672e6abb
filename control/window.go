package control

// window holds the newest items of a sequence. It never writes into a stored
// item, so that a copy of the slice stays valid.
type window[T any] struct {
	items []T
}

// push adds an item and drops the oldest ones beyond limit, which it returns.
func (w *window[T]) push(item T, limit int) []T {
	w.items = append(w.items, item)
	n := max(0, len(w.items)-limit)
	dropped := w.items[:n:n]
	w.items = w.items[n:]
	return dropped
}

// view returns the items, oldest first. Appending to it copies them.
func (w *window[T]) view() []T {
	return w.items[:len(w.items):len(w.items)]
}
