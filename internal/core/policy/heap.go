package policy

// heap keeps the first element on top. Elements remember their own position,
// so that they can be moved and removed.
type heap[T comparable] struct {
	list []T
	// less is a strict total order.
	less func(a, b T) bool
	// position returns where the element keeps its position in this heap, one
	// based; zero stands for an element that is not in the heap.
	position func(e T) *int
}

func (h *heap[T]) top() (T, bool) {
	if len(h.list) == 0 {
		var none T
		return none, false
	}
	return h.list[0], true
}

// update adds the element, or moves it to where its key belongs now.
func (h *heap[T]) update(e T) {
	at := *h.position(e) - 1
	if at < 0 {
		at = len(h.list)
		h.list = append(h.list, e)
		*h.position(e) = at + 1
	}
	if !h.up(at) {
		h.down(at)
	}
}

// remove takes the element out; it does nothing where the element is not in the heap.
func (h *heap[T]) remove(e T) {
	at := *h.position(e) - 1
	if at < 0 {
		return
	}
	last := len(h.list) - 1
	h.swap(at, last)
	var none T
	h.list[last] = none
	h.list = h.list[:last]
	*h.position(e) = 0
	if at < last && !h.up(at) {
		h.down(at)
	}
}

func (h *heap[T]) up(at int) bool {
	moved := false
	for at > 0 {
		parent := (at - 1) / 2
		if !h.less(h.list[at], h.list[parent]) {
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
		if first >= len(h.list) {
			return
		}
		if second := first + 1; second < len(h.list) && h.less(h.list[second], h.list[first]) {
			first = second
		}
		if !h.less(h.list[first], h.list[at]) {
			return
		}
		h.swap(at, first)
		at = first
	}
}

func (h *heap[T]) swap(a, b int) {
	h.list[a], h.list[b] = h.list[b], h.list[a]
	*h.position(h.list[a]) = a + 1
	*h.position(h.list[b]) = b + 1
}
