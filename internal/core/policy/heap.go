package policy

// heap is a binary heap with the first element at the top. Each element stores its own
// index, so that it can be moved and removed.
type heap[T comparable] struct {
	elements []T
	// less is a strict total order.
	less func(a, b T) bool
	// index returns where the element stores its one-based index in this heap. Zero means
	// that the element is not in the heap.
	index func(e T) *int
}

func (h *heap[T]) top() (T, bool) {
	if len(h.elements) == 0 {
		var none T
		return none, false
	}
	return h.elements[0], true
}

// update inserts the element, or restores the heap order after its key changed.
func (h *heap[T]) update(e T) {
	at := *h.index(e) - 1
	if at < 0 {
		at = len(h.elements)
		h.elements = append(h.elements, e)
		*h.index(e) = at + 1
	}
	if !h.up(at) {
		h.down(at)
	}
}

// remove deletes the element. It does nothing if the element is not in the heap.
func (h *heap[T]) remove(e T) {
	at := *h.index(e) - 1
	if at < 0 {
		return
	}
	last := len(h.elements) - 1
	h.swap(at, last)
	var none T
	h.elements[last] = none
	h.elements = h.elements[:last]
	*h.index(e) = 0
	if at < last && !h.up(at) {
		h.down(at)
	}
}

func (h *heap[T]) up(at int) bool {
	moved := false
	for at > 0 {
		parent := (at - 1) / 2
		if !h.less(h.elements[at], h.elements[parent]) {
			break
		}
		h.swap(at, parent)
		at = parent
		moved = true
	}
	return moved
}

func (h *heap[T]) down(at int) {
	for {
		first := 2*at + 1
		if first >= len(h.elements) {
			return
		}
		if second := first + 1; second < len(h.elements) && h.less(h.elements[second], h.elements[first]) {
			first = second
		}
		if !h.less(h.elements[first], h.elements[at]) {
			return
		}
		h.swap(at, first)
		at = first
	}
}

func (h *heap[T]) swap(a, b int) {
	h.elements[a], h.elements[b] = h.elements[b], h.elements[a]
	*h.index(h.elements[a]) = a + 1
	*h.index(h.elements[b]) = b + 1
}
