package logring

// RingBuffer keeps the most recent items added to it. It is not safe for concurrent
// use, and its zero value cannot be used.
type RingBuffer[T any] struct {
	items []T
	// oldest is the index of the oldest item once the buffer is full; it is 0 before.
	oldest int
}

// NewRingBuffer returns an empty buffer that holds up to size items. The size must
// be positive.
func NewRingBuffer[T any](size int) RingBuffer[T] { return RingBuffer[T]{items: make([]T, 0, size)} }

// Put adds an item, replacing the oldest one if the buffer is full.
func (b *RingBuffer[T]) Put(item T) {
	if len(b.items) < cap(b.items) {
		b.items = append(b.items, item)
		return
	}
	b.items[b.oldest] = item
	b.oldest = (b.oldest + 1) % len(b.items)
}

// All returns a copy of the items, oldest first.
func (b *RingBuffer[T]) All() []T {
	return append(append([]T{}, b.items[b.oldest:]...), b.items[:b.oldest]...)
}
