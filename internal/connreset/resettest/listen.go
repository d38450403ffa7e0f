// Package resettest helps tests in which a connection fails while a request is being written on
// it. It has no state.
package resettest

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
)

const (
	// Buffer is the size in bytes of the buffers at both ends of a connection.
	Buffer = 4 << 10
	// LongRequest is the size in bytes of a request that the buffers cannot hold.
	LongRequest = 60 << 10
)

// Listen listens on a free loopback port until the test ends. The connections that it accepts
// have small receive buffers, so that a peer blocks in the middle of a long request which is
// not read.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var set error
		err := raw.Control(func(fd uintptr) { set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, Buffer) })
		return errors.Join(err, set)
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// ServeEarly accepts connections until the listener is closed, and answers the first request on
// each of them before it has read its body. If whole is set, it then ends the response in order
// and reads on; otherwise it resets the connection.
func ServeEarly(listener net.Listener, response string, whole bool) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go answerEarly(conn, response, whole)
	}
}

func answerEarly(conn net.Conn, response string, whole bool) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReaderSize(conn, Buffer)); err != nil {
		return
	}
	_, _ = io.WriteString(conn, response) // an error shows in the test
	if !whole {
		Reset(conn)
		return
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, conn) // ends when the client closes the connection
}

// Dial opens a connection with a small send buffer.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, SmallSendBuffer(conn)
}

// SmallSendBuffer makes writes on a connection block that its peer does not read.
func SmallSendBuffer(conn net.Conn) error { return conn.(*net.TCPConn).SetWriteBuffer(Buffer) }

// Reset closes a connection such that its peer sees a reset.
func Reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // an error shows in the test
	conn.Close()
}
