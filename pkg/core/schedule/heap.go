package schedule

// indexed is an element that stores its own position in a heap.
type indexed[T any] interface {
	// before reports whether the element precedes other in the heap named key.
	before(other T, key int) bool
	// setPosition stores the position in the heap named key; -1 when removed.
	setPosition(key, position int)
	// position returns the stored position in the heap named key.
	position(key int) int
}

// heap is a binary heap that supports reordering and removal of any element.
// key identifies the heap to elements that are in several heaps at once.
type heap[T indexed[T]] struct {
	key   int
	items []T
}

func (h *heap[T]) len() int {
	return len(h.items)
}

func (h *heap[T]) peek() T {
	return h.items[0]
}

func (h *heap[T]) push(x T) {
	h.items = append(h.items, x)
	x.setPosition(h.key, len(h.items)-1)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) remove(x T) {
	i := x.position(h.key)
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	x.setPosition(h.key, -1)
	if i < last {
		h.fixAt(i)
	}
}

// fix restores the heap order after x has changed.
func (h *heap[T]) fix(x T) {
	h.fixAt(x.position(h.key))
}

func (h *heap[T]) fixAt(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.items[i].before(h.items[parent], h.key) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.items[child+1].before(h.items[child], h.key) {
			child++
		}
		if !h.items[child].before(h.items[i], h.key) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}

func (h *heap[T]) swap(i, j int) {
	if i == j {
		return
	}
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].setPosition(h.key, i)
	h.items[j].setPosition(h.key, j)
}
