package logring

// Buffer keeps the last things put in. Its user guards it.
type Buffer[T any] struct {
	xs []T
	n  int
}

func NewBuffer[T any](size int) Buffer[T] { return Buffer[T]{xs: make([]T, 0, size)} }

func (b *Buffer[T]) Put(x T) {
	if len(b.xs) < cap(b.xs) {
		b.xs = append(b.xs, x)
		return
	}
	b.xs[b.n] = x
	b.n = (b.n + 1) % len(b.xs)
}

// All gives a copy, the oldest first.
func (b *Buffer[T]) All() []T { return append(append([]T{}, b.xs[b.n:]...), b.xs[:b.n]...) }

func (b *Buffer[T]) Clear() { b.xs, b.n = b.xs[:0], 0 }
