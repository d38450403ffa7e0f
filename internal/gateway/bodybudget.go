package gateway

import (
	"bytes"
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
	// bodyStep is the number of bytes by which the share of a body without a length grows.
	bodyStep = 64 << 10
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
	limit := b.limit
	if already+n > largeBody {
		limit = int64(largeBodyShare * float64(limit))
	}
	if b.limit > 0 && b.held+n > limit {
		return false
	}
	b.held += n
	return true
}

func (b *BodyBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
}

// heldBody is the body of a request and the bytes that it has taken from a budget.
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

// take takes n more bytes from the budget.
func (h *heldBody) take(n int64) bool {
	if !h.budget.grow(n, h.taken) {
		return false
	}
	h.taken += n
	return true
}

// read reads the whole body of a request. It returns a status other than 0 if the request
// must be refused for its body. release must be called in any case.
func (h *heldBody) read(r *http.Request, limit int64) (status int) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return http.StatusRequestEntityTooLarge
	}
	var buf bytes.Buffer
	if r.ContentLength > 0 {
		if !h.take(r.ContentLength) {
			return http.StatusServiceUnavailable
		}
		buf.Grow(int(r.ContentLength))
	}
	body := io.LimitReader(r.Body, limit+1)
	for {
		if r.ContentLength < 0 && !h.take(bodyStep) {
			return http.StatusServiceUnavailable
		}
		_, err := io.CopyN(&buf, body, bodyStep)
		switch {
		case int64(buf.Len()) > limit:
			return http.StatusRequestEntityTooLarge
		case errors.Is(err, io.EOF):
			h.bytes = buf.Bytes()
			return 0
		case err != nil:
			return http.StatusBadRequest
		}
	}
}
