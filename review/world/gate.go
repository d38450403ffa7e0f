package world

import (
	"io"
	"net"
	"sync"
)

// Gate is a proxy in front of a server. While it is shut it resets all channels, those that
// are open and new ones.
type Gate struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	shut bool                  // guarded by mu
	open map[*net.TCPConn]bool // guarded by mu
}

// NewGate returns an open gate in front of an address.
func NewGate(target string) (*Gate, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &Gate{listener: listener, target: target, open: map[*net.TCPConn]bool{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go g.serve(c.(*net.TCPConn))
		}
	}()
	return g, nil
}

// Address returns the address of the gate, IP:port.
func (g *Gate) Address() string { return g.listener.Addr().String() }

// Close ends the gate and its channels.
func (g *Gate) Close() {
	g.listener.Close()
	g.Shut(true)
}

// Shut shuts or opens the gate.
func (g *Gate) Shut(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = shut
	if !shut {
		return
	}
	for c := range g.open {
		reset(c)
	}
	clear(g.open)
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // it then resets when it is closed; fails only if it is closed already
	c.Close()
}

// keep records a channel. It resets it and returns false if the gate is shut.
func (g *Gate) keep(c *net.TCPConn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		reset(c)
		return false
	}
	g.open[c] = true
	return true
}

func (g *Gate) drop(c *net.TCPConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, c)
	c.Close()
}

func (g *Gate) serve(client *net.TCPConn) {
	if !g.keep(client) {
		return
	}
	defer g.drop(client)
	server, err := net.Dial("tcp", g.target)
	if err != nil {
		return
	}
	s := server.(*net.TCPConn)
	if !g.keep(s) {
		return
	}
	defer g.drop(s)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(s, client) // ends with either channel
		_ = s.CloseWrite()
	}()
	_, _ = io.Copy(client, s)
	_ = client.CloseWrite()
	client.Close()
	<-done
}
