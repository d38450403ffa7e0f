//go:build linux

package e2e

import (
	"io"
	"net"
	"sync"
	"testing"
)

// link forwards TCP connections to an address until it is cut.
type link struct {
	listener net.Listener

	mu sync.Mutex
	// cut and open are guarded by mu.
	cut  bool
	open []net.Conn
}

// newLink starts a link to an address.
func newLink(t *testing.T, to string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(loopback(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	l := &link{listener: listener}
	t.Cleanup(l.sever)
	go l.serve(to)
	return l
}

func (l *link) serve(to string) {
	for {
		in, err := l.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", to)
		if err != nil {
			in.Close()
			continue
		}
		if !l.keep(in, out) {
			return
		}
		go forward(in, out)
		go forward(out, in)
	}
}

// keep remembers connections for the cut.
func (l *link) keep(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		for _, c := range conns {
			c.Close()
		}
		return false
	}
	l.open = append(l.open, conns...)
	return true
}

func forward(from, to net.Conn) {
	defer to.Close()
	defer from.Close()
	// The copy ends with either connection; which one does not matter.
	_, _ = io.Copy(to, from)
}

// sever ends all connections and refuses new ones.
func (l *link) sever() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
	l.listener.Close()
	for _, c := range l.open {
		c.Close()
	}
}

func (l *link) url() string { return "http://" + l.listener.Addr().String() }
