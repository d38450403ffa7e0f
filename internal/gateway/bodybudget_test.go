package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

// Guards against bodies that together take more memory than the host has for them, against
// large ones that keep small ones out, and against bytes that are not given back.
func TestBodyBudget(t *testing.T) {
	const host = 10 << 20
	var b BodyBudget
	b.SetHostMemory(host)
	read := func(size int, chunked bool) (*heldBody, int) {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size)))
		if chunked {
			r.ContentLength = -1
		}
		h := &heldBody{budget: &b}
		return h, h.read(r, 4<<20)
	}
	for _, chunked := range []bool{false, true} {
		var held []*heldBody
		refused := 0
		for range 20 {
			h, status := read(600<<10, chunked)
			switch status {
			case 0:
				if len(h.bytes) != 600<<10 {
					t.Errorf("%d bytes read", len(h.bytes))
				}
				held = append(held, h)
			case http.StatusServiceUnavailable:
				refused++
				h.release()
			default:
				t.Fatalf("status %d", status)
			}
		}
		if b.Held() > host*bodyMemoryShare || refused == 0 || len(held) < 3 {
			t.Errorf("chunked %t: %d bytes held, %d refused", chunked, b.Held(), refused)
		}
		small, status := read(1000, chunked)
		if status != 0 {
			t.Errorf("chunked %t: a small body got status %d", chunked, status)
		}
		for _, h := range append(held, small) {
			h.release()
		}
		if b.Held() != 0 {
			t.Errorf("chunked %t: %d bytes are held after the end of all requests", chunked, b.Held())
		}
	}
	if h, status := read(5<<20, true); status != http.StatusServiceUnavailable && status != http.StatusRequestEntityTooLarge {
		t.Errorf("a body above the limit got status %d", status)
	} else {
		h.release()
	}
	if b.Held() != 0 {
		t.Errorf("%d bytes are held", b.Held())
	}
}

// Guards against a body of just the allowed size whose buffer grows to twice that, of which
// the budget counts half.
func TestBufferOfBodyIsCounted(t *testing.T) {
	for _, size := range []int64{1, firstBodyBuffer - 1, firstBodyBuffer, firstBodyBuffer + 1, 3_999_999, 4<<20 - 300, 4 << 20} {
		for _, chunked := range []bool{false, true} {
			var b BodyBudget
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", int(size))))
			if chunked {
				r.ContentLength = -1
			}
			h := &heldBody{budget: &b}
			if status := h.read(r, 4<<20); status != 0 || int64(len(h.bytes)) != size {
				t.Fatalf("%d bytes, chunked %t: status %d, %d bytes read", size, chunked, status, len(h.bytes))
			}
			if int64(cap(h.bytes)) != b.Held() {
				t.Errorf("%d bytes, chunked %t: a buffer of %d bytes, %d are counted", size, chunked, cap(h.bytes), b.Held())
			}
			if !chunked && b.Held() > size+1 {
				t.Errorf("%d bytes take %d", size, b.Held())
			}
		}
	}
}

// Guards against clients that declare long bodies, send nothing, and keep all others out.
func TestDeclaredLengthTakesNoMemory(t *testing.T) {
	const host = 10 << 20
	var b BodyBudget
	b.SetHostMemory(host)
	var unsent []*io.PipeWriter
	var readers sync.WaitGroup
	for range 20 {
		body, w := io.Pipe()
		r := httptest.NewRequest(http.MethodPost, "/", body)
		r.ContentLength = 2 << 20
		h := &heldBody{budget: &b}
		readers.Go(func() {
			defer body.Close()
			if status := h.read(r, 4<<20); status != http.StatusBadRequest {
				t.Errorf("a body that was not sent got status %d", status)
			}
			h.release()
		})
		_, _ = w.Write([]byte("x")) // a part of the body has been read
		unsent = append(unsent, w)
	}
	h := &heldBody{budget: &b}
	if status := h.read(httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", 1<<20))), 4<<20); status != 0 {
		t.Errorf("beside bodies that were not sent a body got status %d, %d bytes are held", status, b.Held())
	}
	h.release()
	for _, w := range unsent {
		w.CloseWithError(io.ErrUnexpectedEOF)
	}
	readers.Wait()
	if b.Held() != 0 {
		t.Errorf("%d bytes are held", b.Held())
	}
}

// Guards against a body that cannot fit being read to its end before it is refused.
func TestBodyThatCannotFitIsRefusedAtOnce(t *testing.T) {
	var b BodyBudget
	b.SetHostMemory(4 << 20)
	body, w := io.Pipe()
	defer w.Close()
	r := httptest.NewRequest(http.MethodPost, "/", body)
	r.ContentLength = 4 << 20
	h := &heldBody{budget: &b}
	if status := h.read(r, 4<<20); status != http.StatusServiceUnavailable || b.Held() != 0 {
		t.Errorf("status %d, %d bytes are held", status, b.Held())
	}
}
