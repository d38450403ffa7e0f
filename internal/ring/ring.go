// Package ring provides the fixed-capacity queue that connects the workers of
// a node. When the queue is full, TryPush rejects the value and counts the
// rejection, and Push blocks the sender (back-pressure). A Ring may be used by
// any number of goroutines at once.
package ring

import (
	"context"
	"errors"
	"sync"
)

// ErrClosed is returned by pushes to a closed ring, and by pops once a closed
// ring is empty.
var ErrClosed = errors.New("ring is closed")

// Ring is a first-in, first-out queue of fixed capacity for any number of
// concurrent senders and receivers.
type Ring[T any] struct {
	mu sync.Mutex
	// The fields from buf to closed are guarded by mu.
	buf       []T
	head      int
	count     int
	dropped   uint64
	receivers int // goroutines waiting for a value
	senders   int // goroutines waiting for room
	closed    bool

	// filled and freed each hold at most one wake-up signal. A goroutine that
	// receives the signal and leaves work for other waiting goroutines sends
	// the signal again.
	filled chan struct{} // a value was added
	freed  chan struct{} // room became available
	done   chan struct{} // closed by Close
}

// New returns a ring that holds at most capacity values. The capacity must be
// at least 1.
func New[T any](capacity int) *Ring[T] {
	if capacity < 1 {
		panic("ring: capacity must be at least 1")
	}
	return &Ring[T]{
		buf:    make([]T, capacity),
		filled: make(chan struct{}, 1),
		freed:  make(chan struct{}, 1),
		done:   make(chan struct{}),
	}
}

// TryPush appends v without waiting and reports whether it did; it does not if
// the ring is full or closed. Rejections by a full ring are counted in Dropped.
func (r *Ring[T]) TryPush(v T) bool {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return false
	}
	if r.count == len(r.buf) {
		r.dropped++
		r.mu.Unlock()
		return false
	}
	r.put(v)
	wake := r.receivers > 0
	r.mu.Unlock()
	if wake {
		signal(r.filled)
	}
	return true
}

// Push appends v. While the ring is full it blocks, until ctx is done or the
// ring is closed.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	for {
		r.mu.Lock()
		if r.closed {
			r.mu.Unlock()
			return ErrClosed
		}
		if r.count < len(r.buf) {
			r.put(v)
			wake, pass := r.receivers > 0, r.senders > 0 && r.count < len(r.buf)
			r.mu.Unlock()
			if wake {
				signal(r.filled)
			}
			if pass {
				signal(r.freed)
			}
			return nil
		}
		r.senders++
		r.mu.Unlock()
		err := r.wait(ctx, r.freed)
		r.mu.Lock()
		r.senders--
		pass := err != nil && r.senders > 0 && r.count < len(r.buf)
		r.mu.Unlock()
		if pass {
			signal(r.freed)
		}
		if err != nil {
			return err
		}
	}
}

// Pop removes and returns the oldest value. While the ring is empty it blocks,
// until ctx is done or the ring is closed.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	if err := r.lockFilled(ctx); err != nil {
		var zero T
		return zero, err
	}
	v := r.take()
	r.unlockAfterPop()
	return v, nil
}

// PopAll waits for at least one value, then removes all values, appends them to
// buf and returns the extended slice. Passing the previous result truncated to
// length 0 avoids an allocation.
func (r *Ring[T]) PopAll(ctx context.Context, buf []T) ([]T, error) {
	if err := r.lockFilled(ctx); err != nil {
		return buf, err
	}
	buf = r.takeAll(buf)
	r.unlockAfterPop()
	return buf, nil
}

// TryPopAll is like PopAll but does not wait if the ring is empty.
func (r *Ring[T]) TryPopAll(buf []T) []T {
	r.mu.Lock()
	buf = r.takeAll(buf)
	r.unlockAfterPop()
	return buf
}

func (r *Ring[T]) takeAll(buf []T) []T {
	first := r.buf[r.head:min(r.head+r.count, len(r.buf))]
	rest := r.buf[:r.count-len(first)]
	buf = append(append(buf, first...), rest...)
	clear(first)
	clear(rest)
	r.head, r.count = 0, 0
	return buf
}

// Len returns the number of values in the ring.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Cap returns the number of values that the ring can hold.
func (r *Ring[T]) Cap() int { return len(r.buf) }

// Dropped returns the number of values that TryPush rejected because the ring
// was full.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// Close makes further pushes fail. Values already in the ring can still be
// popped.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		close(r.done)
	}
}

// lockFilled returns nil with mu held and at least one value present, or an
// error with mu released.
func (r *Ring[T]) lockFilled(ctx context.Context) error {
	r.mu.Lock()
	for r.count == 0 {
		if r.closed {
			r.mu.Unlock()
			return ErrClosed
		}
		r.receivers++
		r.mu.Unlock()
		err := r.wait(ctx, r.filled)
		r.mu.Lock()
		r.receivers--
		if err != nil && (err != ErrClosed || r.count == 0) {
			pass := r.receivers > 0 && r.count > 0
			r.mu.Unlock()
			if pass {
				signal(r.filled)
			}
			return err
		}
	}
	return nil
}

// unlockAfterPop releases mu and wakes the goroutines that can continue after a
// pop.
func (r *Ring[T]) unlockAfterPop() {
	wake, pass := r.senders > 0, r.receivers > 0 && r.count > 0
	r.mu.Unlock()
	if wake {
		signal(r.freed)
	}
	if pass {
		signal(r.filled)
	}
}

// wait blocks until wake delivers a signal, the ring is closed or ctx is done.
func (r *Ring[T]) wait(ctx context.Context, wake <-chan struct{}) error {
	select {
	case <-wake:
		return nil
	case <-r.done:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Ring[T]) put(v T) {
	i := r.head + r.count
	if i >= len(r.buf) {
		i -= len(r.buf)
	}
	r.buf[i] = v
	r.count++
}

func (r *Ring[T]) take() T {
	var zero T
	v := r.buf[r.head]
	r.buf[r.head] = zero
	if r.head++; r.head == len(r.buf) {
		r.head = 0
	}
	r.count--
	return v
}

// signal sends a wake-up unless one is already pending.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
