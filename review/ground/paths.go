package ground

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Paths lead from the nodes to servers. A node whose path is cut reaches no server: its
// connections hang, open ones and new ones.
type Paths struct {
	w *World

	mu  sync.Mutex
	cut map[*Node]bool // guarded by mu
}

// NewPaths returns paths that are whole.
func (w *World) NewPaths() *Paths { return &Paths{w: w, cut: map[*Node]bool{}} }

// Cut cuts the path of a node, or mends it.
func (p *Paths) Cut(n *Node, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[n] = on
}

func (p *Paths) isCut(n *Node) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[n]
}

// Lead returns the address at which nodes reach a server.
func (p *Paths) Lead(server string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.join(c, server)
		}
	}()
	return listener.Addr().String(), nil
}

// join passes bytes between a node and a server while the path of the node is whole.
func (p *Paths) join(c net.Conn, server string) {
	defer c.Close()
	n := p.w.nodeOf(c)
	p.await(n)
	s, err := net.Dial("tcp", server)
	if err != nil {
		return
	}
	defer s.Close()
	var both sync.WaitGroup
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 4<<10)
		for {
			read, err := from.Read(buffer)
			p.await(n)
			if read > 0 {
				if _, err := to.Write(buffer[:read]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		if tcp, ok := to.(*net.TCPConn); ok {
			_ = tcp.CloseWrite() // an error means that it is closed
		}
	}
	both.Go(func() { pass(s, c) })
	both.Go(func() { pass(c, s) })
	both.Wait()
}

// await waits until the path of a node is whole.
func (p *Paths) await(n *Node) {
	for n != nil && p.isCut(n) {
		time.Sleep(10 * time.Millisecond)
	}
}

// nodeOf returns the node whose process has opened a connection, or nil.
func (w *World) nodeOf(c net.Conn) *Node {
	port := c.RemoteAddr().(*net.TCPAddr).Port
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	end := fmt.Sprintf(":%04X", port)
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || !strings.HasSuffix(fields[1], end) {
			continue
		}
		for _, n := range w.Nodes {
			links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", n.PID()))
			for _, link := range links {
				if to, _ := os.Readlink(link); to == "socket:["+fields[9]+"]" {
					return n
				}
			}
		}
	}
	return nil
}
