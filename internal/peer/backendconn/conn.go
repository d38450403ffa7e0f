// Package backendconn is an HTTP/1.1 client for backend servers.
//
// It is used instead of the client of net/http because the outcome of a request
// must be known exactly: whether anything was written, whether an idle connection
// is still open before it is reused, and whether a response on it belongs to the
// request. It never retries a request.
//
// A Pool is safe for concurrent use. A Conn may be used by one goroutine at a
// time, except for Abort, which may be called from any goroutine.
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

	"github.com/yuccahatch/yuccahatch/internal/connreset"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// watchInterval is the interval at which reads call the Watch, also while bytes
	// arrive.
	watchInterval = 50 * time.Millisecond
	// maxSyncBody is the size in bytes of the largest body that is written before
	// the response is read. It fits into the socket buffers, so that the write does
	// not block on a server that answers before it has read the body.
	maxSyncBody = 16 << 10
	// readBuffer is the size in bytes of the read buffer. It holds a response
	// header and several events.
	readBuffer = 4 << 10
	// writeTimeout is the timeout for writing a request to a server that does not
	// read.
	writeTimeout = 2 * time.Second
	// maxSkippedBody is the maximum number of body bytes that are read to skip the
	// response to another request.
	maxSkippedBody = 64 << 10
	// maxHeadBytes is the maximum number of bytes that are read until the header of the
	// response to a request is complete, including skipped responses. Beyond it, the
	// server is sending something other than a response.
	maxHeadBytes = 32 << 10
)

// Watch decides whether a read keeps waiting. It is called every watchInterval with the
// time since the latest byte was received, also while bytes arrive, so that a server
// that sends some now and then cannot hold a request for ever. If it returns an error,
// the read ends with that error.
type Watch func(now time.Time, idle time.Duration) error

// Request is one request to a backend server.
type Request struct {
	Method string
	Target string // path and query as sent by the client
	Host   string
	Header http.Header
	// BodyHead and Body are the parts of the body, in this order.
	BodyHead, Body []byte
	// ID is the id by which a response names this request; empty if responses name none. The
	// connection must come from Pool.Get with the same id.
	ID ident.RequestID
	// Matches reports whether a response header belongs to this request.
	Matches func(http.Header) bool
	// OnRead, if not nil, is called after each read that returned bytes.
	OnRead func(now time.Time)
	// Watch may be nil; reads then wait without a limit.
	Watch Watch
}

// Conn is a connection to a backend server.
type Conn struct {
	raw     *connreset.Conn
	reader  *bufio.Reader
	aborted atomic.Bool
	// released ends the pool's count of the connection.
	released func()
	// stopAbort ends AbortOn; nil if it is not in effect.
	stopAbort func() bool

	// opened is Pool.Dialed for this connection until its outcome is known; nil then.
	opened func(error)
	// lastRead is the time at which bytes were last received, or at which the
	// connection was opened or the current request was started, if later.
	lastRead time.Time
	// expires is the time after which the idle connection is not reused, since the
	// server may close it.
	expires time.Time
	reused  bool
	// carried holds the requests that were sent on the connection, and skipped is the number
	// of responses to others that were skipped while the latest one was waited for.
	carried   requestSet
	skipped   int
	watch     Watch
	onRead    func(time.Time)
	watchedAt time.Time // time of the latest call of watch
	watchErr  error     // error with which watch ended a read; nil if it has not
	// headLeft is the number of bytes that may still be read before the header is
	// complete; it is not used while readingHead is false.
	headLeft    int
	readingHead bool
	bodyWritten chan error // result of writing a body while the response is read; nil if there is none
}

// Reused reports whether the connection has carried an earlier request.
func (c *Conn) Reused() bool { return c.reused }

// Requests returns the number of requests that were sent on the connection, the current one
// included.
func (c *Conn) Requests() int { return len(c.carried) }

// Skipped returns the number of responses to other requests that were skipped while the
// response to the latest request was waited for.
func (c *Conn) Skipped() int { return c.skipped }

// LocalPort returns the local port of the connection, which names it in logs; 0 if the
// network has no ports.
func (c *Conn) LocalPort() int {
	if address, ok := c.raw.LocalAddr().(*net.TCPAddr); ok {
		return address.Port
	}
	return 0
}

// AbortOn aborts the connection when ctx ends, unless it has been returned to its pool or
// closed before.
func (c *Conn) AbortOn(ctx context.Context) { c.stopAbort = context.AfterFunc(ctx, c.Abort) }

// endAbort ends AbortOn and reports whether the connection will not be aborted any more.
func (c *Conn) endAbort() bool {
	stop := c.stopAbort
	c.stopAbort = nil
	return stop == nil || stop()
}

// Abort closes the connection. A blocked read fails with CodeCancelled.
func (c *Conn) Abort() {
	c.aborted.Store(true)
	c.close()
}

func (c *Conn) close() {
	c.raw.Close()
	if c.released != nil {
		c.released()
	}
}

// Read implements io.Reader for the response parser. It handles read deadlines
// itself, since the parser cannot continue after an error.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		now := time.Now()
		if err := c.raw.SetReadDeadline(now.Add(watchInterval)); err != nil {
			return 0, err
		}
		n, err := c.raw.Read(p)
		now = time.Now()
		if n > 0 {
			c.lastRead = now
			c.reportOpened(nil)
			if c.onRead != nil {
				c.onRead(now)
			}
			return n, c.checkRead(now, n)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.reportEnd(err)
			return 0, err
		}
		if err := c.callWatch(now); err != nil {
			return 0, err
		}
	}
}

// reportOpened reports the outcome of opening the connection, once.
func (c *Conn) reportOpened(err error) {
	if c.opened == nil || c.aborted.Load() {
		return
	}
	c.opened(err)
	c.opened = nil
}

// reportEnd reports the outcome of opening a connection that has ended without a byte. An
// orderly end comes from the server, so there is a path to it.
func (c *Conn) reportEnd(err error) {
	if errors.Is(err, io.EOF) {
		err = nil
	}
	c.reportOpened(err)
}

// settleTime is the time within which a new connection that is not to last is reset.
const settleTime = 20 * time.Millisecond

// settle returns an error if a new connection is closed, or carries bytes that nobody has
// asked for, within settleTime.
func (c *Conn) settle() error {
	if err := c.raw.SetReadDeadline(time.Now().Add(settleTime)); err != nil {
		return err
	}
	var buf [1]byte
	n, err := c.raw.Read(buf[:])
	switch {
	case n > 0:
		c.reportOpened(nil)
		return newError(CodeProtocol).Errorf("%s sends before a request", c.raw.RemoteAddr())
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.reportOpened(nil)
		return nil
	}
	c.reportOpened(err)
	return newError(CodeConnect).Errorf("connection to %s was closed at once: %v", c.raw.RemoteAddr(), err)
}

// checkRead is called after n bytes were received. It counts the bytes of a header and
// calls the watch if that is due.
func (c *Conn) checkRead(now time.Time, n int) error {
	if c.readingHead {
		if c.headLeft -= n; c.headLeft < 0 {
			return errHeadTooLarge
		}
	}
	if now.Sub(c.watchedAt) < watchInterval {
		return nil
	}
	return c.callWatch(now)
}

// callWatch calls the watch and records its error.
func (c *Conn) callWatch(now time.Time) error {
	c.watchedAt = now
	if c.watch == nil {
		return nil
	}
	c.watchErr = c.watch(now, now.Sub(c.lastRead))
	return c.watchErr
}

// errHeadTooLarge ends a read when maxHeadBytes were received without a complete
// header.
var errHeadTooLarge = errors.New("no complete response header within the size limit")

// usable reports whether an idle connection has not expired, is still open, and
// has no unexpected bytes waiting.
func (c *Conn) usable(now time.Time) bool {
	if c.reader.Buffered() > 0 || now.After(c.expires) {
		return false
	}
	// Clear the deadline of the last read. If it has passed, the check below would
	// fail.
	if err := c.raw.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	sc, ok := c.raw.Conn.(syscall.Conn)
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

// Exchange sends a request and reads the header of its response. Informational
// responses and responses to other requests on the connection are skipped. The
// response body must be read to its end before the connection is returned to the
// pool.
func (c *Conn) Exchange(ctx context.Context, r *Request) (*http.Response, error) {
	c.watch, c.onRead = r.Watch, r.OnRead
	c.carried.add(r.ID)
	c.skipped = 0
	c.lastRead = time.Now()
	c.watchedAt = c.lastRead
	if err := c.send(r); err != nil {
		c.reportOpened(err)
		if c.aborted.Load() {
			return nil, newError(CodeCancelled).Errorf("request cancelled while it was being sent")
		}
		return nil, newError(CodeSend).Errorf("sending to %s: %v", c.raw.RemoteAddr(), err)
	}
	request := &http.Request{Method: r.Method}
	c.headLeft, c.readingHead = maxHeadBytes, true
	defer func() { c.readingHead = false }()
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, c.receiveError(err)
		}
		switch {
		case response.StatusCode < 100:
			return nil, newError(CodeProtocol).Errorf("invalid status %q from %s", response.Status, c.raw.RemoteAddr())
		case response.StatusCode < 200:
			continue
		}
		if r.Matches(response.Header) {
			return response, nil
		}
		c.skipped++
		if _, err := io.CopyN(io.Discard, response.Body, maxSkippedBody); !errors.Is(err, io.EOF) {
			return nil, newError(CodeProtocol).Errorf("cannot skip the response to another request from %s: %v", c.raw.RemoteAddr(), err)
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
	length := len(r.BodyHead) + len(r.Body)
	if length > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete) {
		head.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	head.WriteString("\r\n")
	if length <= maxSyncBody {
		head.Write(r.BodyHead)
		head.Write(r.Body)
		_, err := c.raw.Write(head.Bytes())
		return err
	}
	if _, err := c.raw.Write(head.Bytes()); err != nil {
		return err
	}
	c.bodyWritten = make(chan error, 1)
	go func(done chan<- error) {
		body := net.Buffers{r.BodyHead, r.Body}
		_, err := body.WriteTo(c.raw)
		done <- err
	}(c.bodyWritten)
	return nil
}

// receiveError converts an error of the response parser to an error of this
// package.
func (c *Conn) receiveError(err error) error {
	if c.aborted.Load() {
		return newError(CodeCancelled).Errorf("request cancelled")
	}
	if c.watchErr != nil {
		return c.watchErr
	}
	var netErr *net.OpError
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) {
		return newError(CodeReceive).Errorf("connection to %s ended before the answer: %v", c.raw.RemoteAddr(), err)
	}
	return newError(CodeProtocol).Errorf("invalid HTTP response from %s: %v", c.raw.RemoteAddr(), err)
}

// BodyError converts an error from reading a response body to an error of this
// package.
func (c *Conn) BodyError(err error) error { return c.receiveError(err) }

// keepAliveFor returns how long the server keeps an idle connection open according
// to its Keep-Alive header, or defaultIdle if the header has no valid timeout.
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
