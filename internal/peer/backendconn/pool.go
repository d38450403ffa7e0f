package backendconn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// dialTimeout is far above the few milliseconds that a connection takes;
	// a server that does not answer by then is lost.
	dialTimeout = 300 * time.Millisecond
	// defaultIdle is how long an idle connection is kept if the server does not
	// say how long it keeps it.
	defaultIdle = 3 * time.Second
	// idleMargin is subtracted from the server's own limit, so that a request
	// does not cross its close.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 24
	// userTimeout ends a connection whose sent bytes are not acknowledged.
	userTimeout = 1500 * time.Millisecond
)

// Server identifies one life of a backend server and its address.
type Server struct {
	ID      ident.BackendID
	Born    int64
	Address string
}

// Pool keeps idle connections to backend servers.
type Pool struct {
	dialer net.Dialer

	mu   sync.Mutex
	idle map[Server][]*Conn // guarded by mu; newest last

	// Opened counts new connections; may be nil.
	Opened func()
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
			Control:         setUserTimeout,
		},
		idle: map[Server][]*Conn{},
	}
}

// Get returns a connection to a server. A connection that has been silent for
// longer than fresh is not reused; it may have lost its path to the server.
func (p *Pool) Get(ctx context.Context, server Server, fresh time.Duration) (*Conn, error) {
	for {
		c := p.take(server)
		if c == nil {
			return p.dial(ctx, server)
		}
		now := time.Now()
		if now.Sub(c.heard) <= fresh && c.alive(now) {
			c.reused = true
			return c, nil
		}
		c.raw.Close()
	}
}

func (p *Pool) take(server Server) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[server]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[server] = conns[:len(conns)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, server Server) (*Conn, error) {
	if p.Opened != nil {
		p.Opened()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", server.Address)
	if err != nil {
		if ctx.Err() != nil {
			return nil, newError(CodeCancelled).Errorf("given up while connecting to %s", server.Address)
		}
		return nil, newError(CodeConnect).Errorf("connecting to %s: %v", server.Address, err)
	}
	c := &Conn{raw: raw, heard: time.Now()}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

// Put gives a connection back after a whole answer, or closes it if it cannot
// carry another request.
func (p *Pool) Put(server Server, c *Conn, response *http.Response) {
	now := time.Now()
	reusable := !response.Close && c.reader.Buffered() == 0 && !c.aborted.Load()
	if c.writing != nil {
		select {
		case err := <-c.writing:
			reusable = reusable && err == nil
		default:
			reusable = false // the server answered before it read the body
		}
		c.writing = nil
	}
	c.watch, c.onHeard = nil, nil
	c.expires = now.Add(keepAliveFor(response.Header) - idleMargin)
	if !reusable || !p.keep(server, c) {
		c.raw.Close()
	}
}

func (p *Pool) keep(server Server, c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[server]) >= maxIdlePerServer {
		return false
	}
	p.idle[server] = append(p.idle[server], c)
	return true
}

// Close closes a connection that cannot be used again.
func (p *Pool) Close(c *Conn) { c.raw.Close() }

// Retain closes the idle connections to all servers but the given ones, and
// those that have expired.
func (p *Pool) Retain(now time.Time, keep func(Server) bool) {
	var closing []*Conn
	p.mu.Lock()
	for server, conns := range p.idle {
		if !keep(server) {
			closing = append(closing, conns...)
			delete(p.idle, server)
			continue
		}
		kept := conns[:0]
		for _, c := range conns {
			if now.After(c.expires) {
				closing = append(closing, c)
			} else {
				kept = append(kept, c)
			}
		}
		p.idle[server] = kept
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.raw.Close()
	}
}
