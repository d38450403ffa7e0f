//go:build linux

package e2e

import (
	"io"
	"net"
	"sync"
	"testing"
)

// tcpProxy forwards TCP connections to an address until it is closed.
type tcpProxy struct {
	listener net.Listener

	mu sync.Mutex
	// closed and conns are guarded by mu.
	closed bool
	conns  []net.Conn
}

// newTCPProxy starts a proxy that forwards connections to an address. It is closed
// at the end of the test.
func newTCPProxy(t *testing.T, to string) *tcpProxy {
	t.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(newLoopbackIP(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	proxy := &tcpProxy{listener: listener}
	t.Cleanup(proxy.close)
	go proxy.serve(to)
	return proxy
}

func (p *tcpProxy) serve(to string) {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", to)
		if err != nil {
			in.Close()
			continue
		}
		if !p.track(in, out) {
			return
		}
		go forward(in, out)
		go forward(out, in)
	}
}

// track records connections for close and reports true. If the proxy is already
// closed, it closes them and reports false.
func (p *tcpProxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		for _, c := range conns {
			c.Close()
		}
		return false
	}
	p.conns = append(p.conns, conns...)
	return true
}

func forward(from, to net.Conn) {
	defer to.Close()
	defer from.Close()
	// The copy ends when either connection is closed; the error does not matter.
	_, _ = io.Copy(to, from)
}

// close closes all connections and the listener, so that new connections are
// refused.
func (p *tcpProxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.listener.Close()
	for _, c := range p.conns {
		c.Close()
	}
}

func (p *tcpProxy) url() string { return "http://" + p.listener.Addr().String() }
