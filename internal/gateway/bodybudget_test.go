package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
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
