package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// The body of a request is held in memory until its answer ends, since it may have to be sent
// again. Clients choose its size and its number, so the sum is bounded; a request beyond that
// is refused before anything of it is sent.

const (
	// bodyMemoryShare is the fraction of the host's memory that bodies may hold together.
	// The rest is for connections, answers and the garbage of all of them.
	bodyMemoryShare = 0.5
	// largeBody is the size in bytes above which a body may use only largeBodyShare of that,
	// so that a few large requests do not keep many small ones out.
	largeBody      = 64 << 10
	largeBodyShare = 0.85
	// firstBodyBuffer is the size in bytes of the first buffer of a body, if the client
	// declares no smaller one. What a client only declares takes no memory.
	firstBodyBuffer = 64 << 10
	// bodyGrowth is the factor by which a full buffer grows, up to the declared size.
	bodyGrowth = 4
	// undeclaredBodyGrowth is bodyGrowth for a body of unknown size, of whose last buffer
	// a part may stay empty.
	undeclaredBodyGrowth = 2
)

// BodyBudget bounds the memory that the bodies of requests hold. Without a limit it refuses
// nothing. It is safe for concurrent use.
type BodyBudget struct {
	mu    sync.Mutex
	limit int64 // bytes; 0 for none; guarded by mu
	held  int64 // bytes; guarded by mu
}

// SetHostMemory sets the limit for a host with the given memory in bytes.
func (b *BodyBudget) SetHostMemory(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = int64(bodyMemoryShare * float64(n))
}

// Held returns the number of bytes that bodies hold.
func (b *BodyBudget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// grow takes n more bytes for a body that holds some already, and reports whether there was
// room for them.
func (b *BodyBudget) grow(n, already int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fits(n, already) {
		return false
	}
	b.held += n
	return true
}

// hasRoom reports whether a body of n bytes would fit now. It takes nothing.
func (b *BodyBudget) hasRoom(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fits(n, 0)
}

// fits reports whether there is room for n more bytes of a body that holds some already. The
// lock is held.
func (b *BodyBudget) fits(n, already int64) bool {
	limit := b.limit
	if already+n > largeBody {
		limit = int64(largeBodyShare * float64(limit))
	}
	return b.limit == 0 || b.held+n <= limit
}

func (b *BodyBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
}

// heldBody is the body of a request and the bytes that its buffers have taken from a budget.
type heldBody struct {
	budget *BodyBudget
	bytes  []byte
	taken  int64
}

// release gives the bytes back. The body must not be used any more.
func (h *heldBody) release() {
	h.budget.release(h.taken)
	h.taken = 0
}

// resize moves the body into a buffer of the given size in bytes. It reports whether the
// budget had room for it beside the one before.
func (h *heldBody) resize(size int64) bool {
	if !h.budget.grow(size, h.taken) {
		return false
	}
	buf := make([]byte, len(h.bytes), size)
	copy(buf, h.bytes)
	h.bytes = buf
	h.budget.release(h.taken)
	h.taken = size
	return true
}

// read reads the whole body of a request. It returns a status other than 0 if the request
// must be refused for its body. release must be called in any case.
func (h *heldBody) read(r *http.Request, limit int64) (status int) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	longest, growth := limit, int64(undeclaredBodyGrowth)
	if r.ContentLength >= 0 {
		longest, growth = r.ContentLength, bodyGrowth
	}
	switch {
	case longest > limit:
		return http.StatusRequestEntityTooLarge
	case r.ContentLength > 0 && !h.budget.hasRoom(r.ContentLength):
		return http.StatusServiceUnavailable
	}
	for {
		if held := int64(cap(h.bytes)); int64(len(h.bytes)) == held {
			// The byte after the longest body shows its end.
			if !h.resize(min(longest+1, max(firstBodyBuffer, growth*held))) {
				return http.StatusServiceUnavailable
			}
		}
		n, err := r.Body.Read(h.bytes[len(h.bytes):cap(h.bytes)])
		h.bytes = h.bytes[:len(h.bytes)+n]
		switch {
		case int64(len(h.bytes)) > longest:
			return http.StatusRequestEntityTooLarge
		case errors.Is(err, io.EOF):
			return 0
		case err != nil:
			return http.StatusBadRequest
		}
	}
}
