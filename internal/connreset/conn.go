// Package connreset tells a TCP connection that has failed from one that its peer has ended in
// order.
//
// The kernel reports the error of a connection once, to whichever call comes first. While a
// request is still being written, that may be the write: a read after it finds the end of the
// input, as if the peer had closed the connection after a whole response. A response without a
// length or chunked encoding then looks complete.
//
// A Conn may be read by one goroutine while another one writes, like a net.Conn. Its state is
// the error of the first failed write, guarded by the lock that Write holds.
package connreset

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose reads report io.EOF only if the peer has ended its direction in
// order.
type Conn struct {
	net.Conn

	writing  sync.Mutex // held while a write is in progress
	writeErr error      // guarded by writing; of the first write that failed
}

// New returns a Conn that uses conn.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// DialFunc opens a network connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that opens connections with dial and wraps them in a Conn.
func Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(conn), nil
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. At the end of the input it ends a write that is still blocked.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, io.EOF) {
		return 0, c.endOfInput()
	}
	return n, err
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// endOfInput returns io.EOF if the peer has ended the connection in order, and otherwise the
// error that a write has taken. Nobody reads the request to its end any more, so a write that
// is still blocked is ended: what it returns shows whether it has taken an error.
func (c *Conn) endOfInput() error {
	_ = c.SetWriteDeadline(longAgo) // fails only if the connection is closed, which ends writes too
	c.writing.Lock()
	defer c.writing.Unlock()
	if endsInOrder(c.writeErr) {
		return io.EOF
	}
	return fmt.Errorf("connection failed while the request was being written: %w", c.writeErr)
}

// endsInOrder reports whether the error of a write is compatible with an orderly end of the
// other direction. A peer that ends its direction and then resets the connection, because it
// has not read the request to its end, makes writes fail with EPIPE; without such an end before
// it, a reset is reported as ECONNRESET.
func endsInOrder(writeErr error) bool {
	return writeErr == nil || errors.Is(writeErr, os.ErrDeadlineExceeded) || errors.Is(writeErr, syscall.EPIPE)
}
