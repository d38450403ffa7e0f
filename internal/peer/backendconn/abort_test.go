package backendconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a request that is cut off because the client of an earlier one on its
// connection leaves just after that one was answered.
func TestConnectionInPoolIsNotAborted(t *testing.T) {
	s := serve(t, func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, answer) })
	p := NewPool(nil)
	ctx, cancel := context.WithCancel(t.Context())
	first, err := p.Get(ctx, s, "r", time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	first.AbortOn(ctx)
	response, err := first.Exchange(ctx, &Request{ID: "r", Method: "GET", Target: "/", Host: "h", Matches: hasMatchingID})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	p.Put(s, first, response)
	second, err := p.Get(t.Context(), s, "other", time.Minute)
	if err != nil || second != first {
		t.Fatalf("the connection is not used again: %v", err)
	}
	cancel()
	<-ctx.Done()
	response, err = second.Exchange(t.Context(), &Request{ID: "other", Method: "GET", Target: "/", Host: "h", Matches: hasMatchingID})
	if err != nil {
		t.Fatalf("the second request was cut off: %v", err)
	}
	response.Body.Close()
	p.Close(second)
}

// Guards against a connection of a request whose client has left that is used again.
func TestAbortedConnectionIsNotKept(t *testing.T) {
	s := serve(t, func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, answer) })
	p := NewPool(nil)
	ctx, cancel := context.WithCancel(t.Context())
	c, err := p.Get(ctx, s, "r", time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	c.AbortOn(ctx)
	response, err := c.Exchange(ctx, &Request{ID: "r", Method: "GET", Target: "/", Host: "h", Matches: hasMatchingID})
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	<-ctx.Done()
	p.Put(s, c, response)
	if p.pop(s, anyConn) != nil {
		t.Error("the connection is kept")
	}
}
