// Package ring owns the bounded queue that joins two duties. A full ring is an
// outcome that the producer sees; nothing is dropped silently.
package ring

import "context"

// Ring is a bounded first-in first-out queue for any number of producers and consumers.
type Ring[T any] struct {
	slots chan T
}

// New returns a ring that holds at most capacity items; capacity must be positive.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, capacity)}
}

// Offer adds an item and reports false if the ring is full.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.slots <- item:
		return true
	default:
		return false
	}
}

// Put waits for room and reports false if ctx ends first.
func (r *Ring[T]) Put(ctx context.Context, item T) bool {
	select {
	case r.slots <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

// Take waits for an item and reports false if ctx ends first.
func (r *Ring[T]) Take(ctx context.Context) (T, bool) {
	select {
	case item := <-r.slots:
		return item, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

// TryTake returns an item if one is waiting.
func (r *Ring[T]) TryTake() (T, bool) {
	select {
	case item := <-r.slots:
		return item, true
	default:
		var none T
		return none, false
	}
}

// Items is the receiving side, for use in a select statement.
func (r *Ring[T]) Items() <-chan T { return r.slots }

// Len is the number of waiting items.
func (r *Ring[T]) Len() int { return len(r.slots) }
