package backendconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

func limitOf(n int) func() int { return func() int { return n } }

// checkOpen checks how many connections of the pool are open, and how many of them are idle.
func checkOpen(t *testing.T, p *Pool, open, idle int) {
	t.Helper()
	if o, i := p.Open(); o != open || i != idle {
		t.Errorf("%d connections open, %d of them idle; want %d and %d", o, i, open, idle)
	}
}

// Guards against more connections to a server than the limit allows, and against connections
// that still count after they were closed, in which ever way: requests would be refused for
// good.
func TestLimitOfConnections(t *testing.T) {
	s := serve(t, func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, answer) })
	p := NewPool(nil)
	get := func(limit int) (*Conn, error) {
		return p.GetLimited(t.Context(), s, ident.NewRequestID(), time.Minute, limitOf(limit))
	}
	var conns []*Conn
	for range 3 {
		c, err := get(3)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	if _, err := get(3); CodeOf(err) != CodeBusy {
		t.Errorf("fourth connection: %v; want code %s", err, CodeBusy)
	}
	if _, err := get(2); CodeOf(err) != CodeBusy {
		t.Errorf("connection after the limit has fallen: %v; want code %s", err, CodeBusy)
	}
	checkOpen(t, p, 3, 0)
	conns[0].Abort()
	p.Close(conns[0])
	checkOpen(t, p, 2, 0)
	if c, err := get(0); err != nil {
		t.Errorf("without a limit: %v", err)
	} else {
		p.Close(c)
	}
	for _, c := range conns[1:] {
		p.Keep(s, c)
	}
	checkOpen(t, p, 2, 2)
	p.Retain(time.Now(), func(Server) bool { return false })
	checkOpen(t, p, 0, 0)
}

// Guards against a request that is refused because of an idle connection that it may not use.
func TestIdleConnectionMakesRoom(t *testing.T) {
	s := serve(t, func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, answer) })
	p := NewPool(nil)
	if _, _, err := exchange(p, s, &Request{ID: "r", Method: "GET", Target: "/", Host: "h"}); err != nil {
		t.Fatal(err)
	}
	checkOpen(t, p, 1, 1)
	c, err := p.GetLimited(t.Context(), s, "r", time.Minute, limitOf(1))
	if err != nil || c.Reused() {
		t.Fatalf("connection for a request that the idle one has carried: %v", err)
	}
	checkOpen(t, p, 1, 0)
	p.Close(c)
	checkOpen(t, p, 0, 0)
}

// Guards against attempts to connect that still count after they have failed.
func TestFailedConnectionsDoNotCount(t *testing.T) {
	p := NewPool(func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 2 {
		if _, err := p.GetLimited(ctx, Server{ID: "s"}, "r", time.Minute, limitOf(1)); CodeOf(err) != CodeCancelled {
			t.Errorf("%v; want code %s", err, CodeCancelled)
		}
	}
	if _, err := p.Dial(t.Context(), Server{ID: "s"}); CodeOf(err) != CodeConnect {
		t.Errorf("%v; want code %s", err, CodeConnect)
	}
	checkOpen(t, p, 0, 0)
}
