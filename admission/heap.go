package admission

// indexHeap implements heap.Interface for elements that store their own index.
type indexHeap[T any] struct {
	items    []T
	less     func(a, b T) bool
	setIndex func(v T, index int)
}

// Len returns the number of elements.
func (h *indexHeap[T]) Len() int { return len(h.items) }

// Less compares two elements.
func (h *indexHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap exchanges two elements.
func (h *indexHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}

// Push appends an element.
func (h *indexHeap[T]) Push(v any) {
	h.setIndex(v.(T), len(h.items))
	h.items = append(h.items, v.(T))
}

// Pop removes the last element.
func (h *indexHeap[T]) Pop() any {
	var zero T
	last := len(h.items) - 1
	v := h.items[last]
	h.items[last] = zero
	h.items = h.items[:last]
	h.setIndex(v, notInHeap)
	return v
}

// notInHeap is the index of an element that is not in a heap.
const notInHeap = -1
