package logring

// Buffer keeps the last items put into it. Its user guards it.
type Buffer[T any] struct {
	items []T
	// oldest is the index of the oldest item once the buffer is full.
	oldest int
}

// NewBuffer returns an empty buffer of size items.
func NewBuffer[T any](size int) Buffer[T] { return Buffer[T]{items: make([]T, 0, size)} }

// Put adds an item; once the buffer is full the oldest makes room.
func (b *Buffer[T]) Put(item T) {
	if len(b.items) < cap(b.items) {
		b.items = append(b.items, item)
		return
	}
	b.items[b.oldest] = item
	b.oldest = (b.oldest + 1) % len(b.items)
}

// All returns a copy of the items, the oldest first.
func (b *Buffer[T]) All() []T {
	return append(append([]T{}, b.items[b.oldest:]...), b.items[:b.oldest]...)
}
