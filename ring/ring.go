// Package ring implements a bounded queue between goroutines. The producer learns
// that the queue is full; nothing is dropped silently.
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

// Put waits for free capacity to add an item and reports false if ctx ends first.
func (r *Ring[T]) Put(ctx context.Context, item T) bool {
	select {
	case r.slots <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

// Take waits for an item to remove and reports false if ctx ends first.
func (r *Ring[T]) Take(ctx context.Context) (T, bool) {
	select {
	case item := <-r.slots:
		return item, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

// TryTake removes an item if one is queued, and does not wait.
func (r *Ring[T]) TryTake() (T, bool) {
	select {
	case item := <-r.slots:
		return item, true
	default:
		var none T
		return none, false
	}
}

// Items returns the channel to receive from, for use in a select statement.
func (r *Ring[T]) Items() <-chan T { return r.slots }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.slots) }
