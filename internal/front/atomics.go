package front

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// atomicTime is a time that may be read and written by any goroutine. It keeps the
// monotonic reading, so that differences do not depend on the time of day, which may
// jump. The zero value holds the zero time.
type atomicTime struct{ p atomic.Pointer[time.Time] }

func (a *atomicTime) Store(t time.Time) { a.p.Store(&t) }

func (a *atomicTime) Load() time.Time {
	if t := a.p.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// since returns the time that has passed since the stored time, or the maximum
// duration if none is stored.
func (a *atomicTime) since(now time.Time) time.Duration {
	t := a.Load()
	if t.IsZero() {
		return 1<<63 - 1
	}
	return now.Sub(t)
}

// atomicPosition is a position in the store that may be read and written by any
// goroutine.
type atomicPosition struct {
	mu sync.Mutex
	p  ident.StorePosition // guarded by mu
}

func (a *atomicPosition) Load() ident.StorePosition {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.p
}

func (a *atomicPosition) Store(p ident.StorePosition) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.p = p
}

// Advance replaces the position by p if p is later.
func (a *atomicPosition) Advance(p ident.StorePosition) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.p = ident.LaterOf(a.p, p)
}
