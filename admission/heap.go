package admission

// indexHeap implements heap.Interface for elements that know their place in it.
type indexHeap[T any] struct {
	list  []T
	less  func(a, b T) bool
	place func(v T, index int)
}

// Len returns the number of elements.
func (h *indexHeap[T]) Len() int { return len(h.list) }

// Less compares two elements.
func (h *indexHeap[T]) Less(i, j int) bool { return h.less(h.list[i], h.list[j]) }

// Swap exchanges two elements.
func (h *indexHeap[T]) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.place(h.list[i], i)
	h.place(h.list[j], j)
}

// Push appends an element.
func (h *indexHeap[T]) Push(v any) {
	h.place(v.(T), len(h.list))
	h.list = append(h.list, v.(T))
}

// Pop removes the last element.
func (h *indexHeap[T]) Pop() any {
	var zero T
	last := len(h.list) - 1
	v := h.list[last]
	h.list[last] = zero
	h.list = h.list[:last]
	h.place(v, notInHeap)
	return v
}

// notInHeap is the index of an element that is in no heap.
const notInHeap = -1
