// Package pipenet provides an in-memory network, so that HTTP clients and servers
// can run under the virtual time of testing/synctest. A Network is safe for
// concurrent use.
package pipenet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// Network is a set of in-memory listeners, each with its own address.
type Network struct {
	mu sync.Mutex
	// listeners is guarded by mu.
	listeners map[string]*listener
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: map[string]*listener{}}
}

// Serve starts an HTTP server on an address and returns a function that stops
// it and closes its connections.
func (n *Network) Serve(address string, handler http.Handler) (stop func()) {
	l := &listener{address: pipeAddr(address), conns: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	n.listeners[address] = l
	n.mu.Unlock()
	server := &http.Server{Handler: handler}
	go server.Serve(l) //nolint:errcheck // always returns ErrServerClosed
	return func() {
		n.mu.Lock()
		delete(n.listeners, address)
		n.mu.Unlock()
		server.Close()
	}
}

// Client returns an HTTP client that connects only to servers of the network. Its
// CloseIdleConnections method ends the goroutines of unused connections.
func (n *Network) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.dial}}
}

func (n *Network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("dial %s: connection refused", address)
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, fmt.Errorf("dial %s: listener closed", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type listener struct {
	address pipeAddr
	conns   chan net.Conn
	once    sync.Once
	done    chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr { return l.address }

type pipeAddr string

func (pipeAddr) Network() string  { return "pipe" }
func (a pipeAddr) String() string { return string(a) }
