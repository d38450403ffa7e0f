package world

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Path is a proxy in front of a server that can cut off single nodes: their open channels
// are reset, and new ones are reset some time after they were accepted. Nothing passes on
// them.
type Path struct {
	listener net.Listener
	target   string
	nodes    func() []*Node

	mu   sync.Mutex
	cut  map[*Node]bool         // guarded by mu
	open map[*net.TCPConn]*Node // guarded by mu
}

// The time after which a new channel of a node that is cut off is reset.
const (
	minReset = 80 * time.Millisecond
	maxReset = 190 * time.Millisecond
)

// NewPath returns a proxy in front of an address for some nodes.
func NewPath(target string, nodes func() []*Node) (*Path, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Path{listener: listener, target: target, nodes: nodes, cut: map[*Node]bool{}, open: map[*net.TCPConn]*Node{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(c.(*net.TCPConn))
		}
	}()
	return p, nil
}

// Address returns the address of the proxy, IP:port.
func (p *Path) Address() string { return p.listener.Addr().String() }

// Close ends the proxy.
func (p *Path) Close() { p.listener.Close() }

// Cut cuts a node off, or ends that.
func (p *Path) Cut(n *Node, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[n] = on
	for c, owner := range p.open {
		if on && owner == n {
			reset(c)
			delete(p.open, c)
		}
	}
}

func (p *Path) serve(client *net.TCPConn) {
	owner := ownerOf(client, p.nodes())
	p.mu.Lock()
	cut := p.cut[owner]
	if !cut {
		p.open[client] = owner
	}
	p.mu.Unlock()
	if cut {
		time.Sleep(minReset + rand.N(maxReset-minReset))
		reset(client)
		return
	}
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.open, client)
		client.Close()
	}()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	go func() {
		_, _ = io.Copy(server, client) // ends with either channel
		server.Close()
	}()
	_, _ = io.Copy(client, server)
}

// ownerOf returns the node whose process opened a channel, or nil.
func ownerOf(c *net.TCPConn, nodes []*Node) *Node {
	socket := socketOf(c.RemoteAddr().(*net.TCPAddr).Port, c.LocalAddr().(*net.TCPAddr).Port)
	if socket == "" {
		return nil
	}
	for _, n := range nodes {
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", n.PID())) // the pattern is valid
		for _, link := range links {
			if target, err := os.Readlink(link); err == nil && target == socket {
				return n
			}
		}
	}
	return nil
}

// socketOf returns the name of the socket with a local and a remote port, or nothing.
func socketOf(local, remote int) string {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer f.Close()
	ends := [2]string{fmt.Sprintf(":%04X", local), fmt.Sprintf(":%04X", remote)}
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && strings.HasSuffix(fields[1], ends[0]) && strings.HasSuffix(fields[2], ends[1]) {
			return "socket:[" + fields[9] + "]"
		}
	}
	return ""
}
