package connreset

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/yuccahatch/yuccahatch/internal/connreset/resettest"
)

// pair is a connection of which the client's end has a write blocked, after the peer has sent a
// part of its response.
type pair struct {
	client  *Conn
	server  *net.TCPConn
	written chan error // result of the write
}

const response = "a part of a response"

func newPair(t *testing.T) *pair {
	t.Helper()
	listener := resettest.Listen(t)
	raw, err := resettest.Dial(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { raw.Close() })
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	p := &pair{client: New(raw), server: server.(*net.TCPConn), written: make(chan error, 1)}
	go func() {
		_, err := p.client.Write(make([]byte, resettest.LongRequest))
		p.written <- err
	}()
	if _, err := io.ReadFull(server, make([]byte, resettest.Buffer)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(server, response); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(p.client, make([]byte, len(response))); err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against a reset that looks like the orderly end of a response: the write, which is
// still blocked, takes the error, and the read after it finds the end of the input.
func TestResetThatTheWriteTakes(t *testing.T) {
	p := newPair(t)
	resettest.Reset(p.server)
	if err := <-p.written; !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("the write ended with %v, want a reset", err)
	}
	for range 2 {
		if _, err := p.client.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) || !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read: %v, want the reset", err)
		}
	}
}

// Guards against the same if the read comes first or at the same time as the write.
func TestResetDuringReadAndWrite(t *testing.T) {
	for range 50 {
		p := newPair(t)
		read := make(chan error, 1)
		go func() {
			_, err := p.client.Read(make([]byte, 1))
			read <- err
		}()
		resettest.Reset(p.server)
		if err := <-read; err == nil || errors.Is(err, io.EOF) {
			t.Fatalf("read: %v, want the reset", err)
		}
	}
}

// Guards against an orderly end that is taken for a failure because the peer has not read the
// request to its end, and against waiting for a write that nobody reads.
func TestOrderlyEndDuringWrite(t *testing.T) {
	for name, finish := range map[string]func(*testing.T, *pair){
		"peer leaves the rest unread": func(*testing.T, *pair) {},
		"peer resets it afterwards": func(t *testing.T, p *pair) {
			resettest.Reset(p.server)
			if err := <-p.written; !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("the write ended with %v", err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			if err := p.server.CloseWrite(); err != nil {
				t.Fatal(err)
			}
			finish(t, p)
			if _, err := p.client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("read: %v, want the end", err)
			}
		})
	}
}

// Guards against a failure where no request is being written: the read reports errors itself.
func TestEndWithoutWrite(t *testing.T) {
	listener := resettest.Listen(t)
	for name, c := range map[string]struct {
		end   func(*net.TCPConn)
		whole bool
	}{
		"orderly end": {func(s *net.TCPConn) { s.Close() }, true},
		"reset":       {func(s *net.TCPConn) { resettest.Reset(s) }, false},
	} {
		raw, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer raw.Close()
		server, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.end(server.(*net.TCPConn))
		if _, err := New(raw).Read(make([]byte, 1)); errors.Is(err, io.EOF) != c.whole {
			t.Errorf("%s: read: %v", name, err)
		}
	}
}
