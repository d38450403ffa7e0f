// Package ring provides the fixed-capacity queue that connects the workers of
// a node. Overflow is visible to the sender, either as a refusal that is
// counted (TryPush) or as back-pressure (Push).
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
// senders and receivers.
type Ring[T any] struct {
	mu sync.Mutex
	// mu guards the fields down to closed.
	buf       []T
	head      int
	count     int
	dropped   uint64
	receivers int // goroutines waiting for a value
	senders   int // goroutines waiting for room
	closed    bool

	// Each wake channel holds at most one token. A waiter that takes the token
	// and leaves work for other waiters passes the token on.
	filled chan struct{}
	freed  chan struct{}
	done   chan struct{}
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

// TryPush appends v and returns true, or returns false if the ring is full or
// closed. A refusal by a full ring is counted in Dropped.
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

// Push appends v. It waits while the ring is full, until ctx is done or the
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

// Pop removes the oldest value. It waits while the ring is empty, until ctx is
// done or the ring is closed.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	if err := r.lockFilled(ctx); err != nil {
		var zero T
		return zero, err
	}
	v := r.take()
	r.unlockAfterPop()
	return v, nil
}

// PopAll waits for at least one value, then appends all values present to buf
// and returns it. Passing the previous result cut to length 0 avoids
// allocation.
func (r *Ring[T]) PopAll(ctx context.Context, buf []T) ([]T, error) {
	if err := r.lockFilled(ctx); err != nil {
		return buf, err
	}
	buf = r.takeAll(buf)
	r.unlockAfterPop()
	return buf, nil
}

// TryPopAll appends all values present to buf without waiting.
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

// Cap returns the capacity.
func (r *Ring[T]) Cap() int { return len(r.buf) }

// Dropped returns the number of values that a full ring refused.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// Close refuses further values. The values present can still be popped.
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

// unlockAfterPop releases mu and wakes goroutines that can go on after a pop.
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

// wait blocks until a token arrives, the ring is closed or ctx is done.
func (r *Ring[T]) wait(ctx context.Context, token <-chan struct{}) error {
	select {
	case <-token:
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

func signal(token chan<- struct{}) {
	select {
	case token <- struct{}{}:
	default:
	}
}
