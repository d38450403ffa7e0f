// Package backendconn is the client for backend servers that speak HTTP/1.1.
//
// It exists beside net/http's client because the outcome of a request must be
// known exactly: whether anything was written, whether an idle connection still
// proves to be alive before it is used, and whether an answer on it belongs to
// the request. It never repeats a request.
//
// A Pool is safe for concurrent use. A Conn is used by one goroutine at a time;
// Abort may be called from any.
package backendconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// tick is how often a reader that waits checks whether it should go on.
	tick = 50 * time.Millisecond
	// syncBody is the largest body that is written before the answer is read.
	// It fits into socket buffers, so that the write does not wait for a server
	// that answers before it has read the body.
	syncBody = 16 << 10
	// readBuffer holds a response head and several events.
	readBuffer = 4 << 10
	// writeTimeout bounds the write of a request to a server that does not read.
	writeTimeout = 2 * time.Second
	// maxDrained is the most that is read of an answer to another request.
	maxDrained = 64 << 10
)

// Watch decides whether a reader goes on waiting. It is called at least every
// tick with the time since the last byte, and its error ends the wait.
type Watch func(now time.Time, idle time.Duration) error

// Request is one request to a backend server.
type Request struct {
	Method string
	Target string // path and query as the client sent them
	Host   string
	Header http.Header
	Body   []byte
	// Owns reports whether a response head answers this request.
	Owns func(http.Header) bool
	// Heard is called for each read that returned bytes.
	Heard func(now time.Time)
	// Watch may be nil.
	Watch Watch
}

// Conn is a connection to a backend server.
type Conn struct {
	raw     net.Conn
	reader  *bufio.Reader
	aborted atomic.Bool

	// heard is the time of the newest byte, or of the connection's start.
	heard time.Time
	// expires is the time at which the server may close the idle connection.
	expires time.Time
	reused  bool
	watch   Watch
	onHeard func(time.Time)
	stopped error      // the error with which watch ended a read
	writing chan error // result of a body that is written while the answer is read
}

// Reused reports whether the connection carried an earlier request.
func (c *Conn) Reused() bool { return c.reused }

// Abort closes the connection. A read that waits ends with CodeCancelled.
func (c *Conn) Abort() {
	c.aborted.Store(true)
	c.raw.Close()
}

// Read implements io.Reader for the response parser. Timeouts are handled here,
// since the parser's state does not survive an error.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		now := time.Now()
		if err := c.raw.SetReadDeadline(now.Add(tick)); err != nil {
			return 0, err
		}
		n, err := c.raw.Read(p)
		now = time.Now()
		if n > 0 {
			c.heard = now
			if c.onHeard != nil {
				c.onHeard(now)
			}
			return n, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err
		}
		if c.watch != nil {
			if err := c.watch(now, now.Sub(c.heard)); err != nil {
				c.stopped = err
				return 0, err
			}
		}
	}
}

// alive reports whether an idle connection is still open and has no unexpected
// bytes waiting.
func (c *Conn) alive(now time.Time) bool {
	if c.reader.Buffered() > 0 || now.After(c.expires) {
		return false
	}
	// A deadline of the last read that has passed would fail the check below.
	if err := c.raw.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	sc, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rc.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, err := syscall.Read(int(fd), buf[:])
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// Exchange sends a request and reads the head of its answer. Answers to other
// requests on the connection are skipped. The response body must be read to its
// end before the connection is put back.
func (c *Conn) Exchange(ctx context.Context, r *Request) (*http.Response, error) {
	c.watch, c.onHeard = r.Watch, r.Heard
	c.heard = time.Now()
	if err := c.send(r); err != nil {
		if c.aborted.Load() {
			return nil, newError(CodeCancelled).Errorf("request given up while it was sent")
		}
		return nil, newError(CodeSend).Errorf("sending to %s: %v", c.raw.RemoteAddr(), err)
	}
	request := &http.Request{Method: r.Method}
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, c.receiveError(err)
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if r.Owns(response.Header) {
			return response, nil
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxDrained); !errors.Is(err, io.EOF) {
			return nil, newError(CodeProtocol).Errorf("answer to another request from %s could not be skipped: %v", c.raw.RemoteAddr(), err)
		}
	}
}

func (c *Conn) send(r *Request) error {
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	var head bytes.Buffer
	head.Grow(512)
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&head); err != nil {
		return err
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete) {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if len(r.Body) <= syncBody {
		head.Write(r.Body)
		_, err := c.raw.Write(head.Bytes())
		return err
	}
	if _, err := c.raw.Write(head.Bytes()); err != nil {
		return err
	}
	c.writing = make(chan error, 1)
	go func(done chan<- error) {
		_, err := c.raw.Write(r.Body)
		done <- err
	}(c.writing)
	return nil
}

// receiveError turns an error of the response parser into one of this package.
func (c *Conn) receiveError(err error) error {
	if c.aborted.Load() {
		return newError(CodeCancelled).Errorf("request given up")
	}
	if c.stopped != nil {
		return c.stopped
	}
	var netErr *net.OpError
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) {
		return newError(CodeReceive).Errorf("connection to %s ended before the answer: %v", c.raw.RemoteAddr(), err)
	}
	return newError(CodeProtocol).Errorf("not an answer from %s: %v", c.raw.RemoteAddr(), err)
}

// BodyError turns an error from reading a response body into one of this package.
func (c *Conn) BodyError(err error) error { return c.receiveError(err) }

// keepAliveFor returns how long the server keeps the idle connection, by its
// Keep-Alive header.
func keepAliveFor(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return defaultIdle
}
