package connlimit

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Listener accepts connections that a Book keeps.
type Listener struct {
	net.Listener
	Book *Book
	// OnClose is called for each connection that is closed for room. It must not block.
	OnClose func(Reason)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &limitedConn{Conn: conn, book: l.Book}
		var closed atomic.Bool
		c.entry = l.Book.Open(time.Now(), func(why Reason) {
			closed.Store(true)
			l.OnClose(why)
			conn.Close()
		})
		if !closed.Load() {
			return c, nil
		}
	}
}

// limitedConn counts what a client sends as the head of its next request.
type limitedConn struct {
	net.Conn
	book      *Book
	entry     *Entry
	closeOnce sync.Once
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.book.Read(time.Now(), c.entry, n, bytes.Count(p[:n], []byte{'\n'}))
	}
	return n, err
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.closeOnce.Do(func() { c.book.Closed(c.entry) })
	return c.Conn.Close()
}

// CloseWrite closes the sending direction, as net/http does before it closes a connection
// whose client still sends.
func (c *limitedConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

type connKey struct{}

// Attach makes an HTTP server tell the phases of its connections.
func Attach(server *http.Server) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if x, ok := c.(*limitedConn); ok && state == http.StateIdle {
			x.book.Enter(time.Now(), x.entry, Idle)
		}
	}
}

// HeadRead records that the head of the request was read. Its body then counts no longer as a
// head.
func HeadRead(r *http.Request) {
	x, ok := r.Context().Value(connKey{}).(*limitedConn)
	if !ok {
		return
	}
	bytes, lines := len(r.RequestURI), 1
	for name, values := range r.Header {
		for _, v := range values {
			bytes += len(name) + len(v)
			lines++
		}
	}
	x.book.HeadRead(time.Now(), x.entry, bytes, lines)
}

// RequestRead records that the request with a context has been read whole.
func RequestRead(ctx context.Context) {
	if x, ok := ctx.Value(connKey{}).(*limitedConn); ok {
		x.book.Enter(time.Now(), x.entry, Serving)
	}
}
