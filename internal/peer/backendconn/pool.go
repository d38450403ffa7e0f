package backendconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/connreset"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// dialTimeout is the timeout for opening a connection. It is far above the few
	// milliseconds that this takes; a server that has not accepted by then counts as
	// lost.
	dialTimeout = 300 * time.Millisecond
	// defaultIdle is how long an idle connection is kept if the server does not
	// announce its own limit.
	defaultIdle = 3 * time.Second
	// idleMargin is subtracted from the idle limit, so that no request is sent
	// while the server closes the connection.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerServer is the maximum number of idle connections to one server.
	maxIdlePerServer = 24
	// userTimeout is the time after which the kernel ends a connection on which
	// sent bytes have not been acknowledged (TCP_USER_TIMEOUT). On Linux it also decides
	// when keep-alive probes give up, whatever their count. It is above the second or so
	// for which a sound server may be silent.
	userTimeout = 1500 * time.Millisecond
)

// Server identifies one incarnation of a backend server and its address.
type Server struct {
	ID          ident.BackendID
	Incarnation int64
	Address     string
}

// Pool keeps idle connections to backend servers.
type Pool struct {
	dial DialFunc

	mu   sync.Mutex
	idle map[Server][]*Conn // guarded by mu; newest last
	open map[Server]int     // guarded by mu; connections that are open or being opened
	// Dialed, if not nil, is called once for each attempt to open a connection that was not
	// cancelled: with an error if it could not be opened, or was reset before any byte
	// arrived on it, and otherwise with nil when the first bytes or an orderly end arrive.
	Dialed func(Server, error)
}

// DialFunc opens a network connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewPool returns an empty pool that opens connections with dial; nil stands for a
// net.Dialer.
func NewPool(dial DialFunc) *Pool {
	if dial == nil {
		dialer := net.Dialer{
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
			Control:         setUserTimeout,
		}
		dial = dialer.DialContext
	}
	return &Pool{dial: dial, idle: map[Server][]*Conn{}, open: map[Server]int{}}
}

// Open returns how many connections are open or being opened, and how many of them are idle.
func (p *Pool) Open() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.open {
		open += n
	}
	for _, conns := range p.idle {
		idle += len(conns)
	}
	return open, idle
}

// Get returns an idle or a new connection to a server that has not carried the request id.
// An idle connection on which nothing was received for longer than maxSilence is closed and
// not reused, since its network path to the server may be broken.
//
// A response names the request by its id alone, so the late copy of the response to an
// earlier send of the request could not be told from the response to this one. That holds
// whoever sent it before: an earlier attempt of the same exchange, or the client once more.
// Requests whose responses name none have the empty id, so that a connection carries at most
// one of them.
func (p *Pool) Get(ctx context.Context, server Server, id ident.RequestID, maxSilence time.Duration) (*Conn, error) {
	if c := p.getIdle(server, id, maxSilence); c != nil {
		return c, nil
	}
	return p.Dial(ctx, server)
}

// GetLimited is like Get, but fails with CodeBusy instead of opening a connection if as many
// as limit returns are open; 0 stands for any number. An idle connection that the request may
// not use makes room for a new one.
func (p *Pool) GetLimited(ctx context.Context, server Server, id ident.RequestID, maxSilence time.Duration, limit func() int) (*Conn, error) {
	if c := p.getIdle(server, id, maxSilence); c != nil {
		return c, nil
	}
	most := limit()
	if !p.reserve(server, most) {
		return nil, newError(CodeBusy).Errorf("all %d connections to %s that this host may open are in use", most, server.Address)
	}
	return p.dialReserved(ctx, server)
}

// getIdle returns an idle connection for a request, or nil.
func (p *Pool) getIdle(server Server, id ident.RequestID, maxSilence time.Duration) *Conn {
	for {
		c := p.pop(server, func(c *Conn) bool { return !c.carried.contains(id) })
		if c == nil {
			return nil
		}
		now := time.Now()
		if now.Sub(c.lastRead) <= maxSilence && c.usable(now) {
			c.reused = true
			return c
		}
		c.close()
	}
}

// reserve counts a connection that is about to be opened, and reports whether limit, if it
// is not 0, allows it. It closes the oldest idle connection if that makes room.
func (p *Pool) reserve(server Server, limit int) bool {
	p.mu.Lock()
	idle := p.idle[server]
	full := limit > 0 && p.open[server] >= limit
	if full && (len(idle) == 0 || p.open[server] > limit) {
		p.mu.Unlock()
		return false
	}
	p.open[server]++
	if full {
		p.idle[server] = slices.Clone(idle[1:])
	}
	p.mu.Unlock()
	if full {
		idle[0].close()
	}
	return true
}

// release ends the count of a connection.
func (p *Pool) release(server Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[server]--; p.open[server] <= 0 {
		delete(p.open, server)
	}
}

// pop takes the newest idle connection to a server that is allowed out of the pool.
func (p *Pool) pop(server Server, allowed func(*Conn) bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[server]
	for i, c := range slices.Backward(conns) {
		if allowed(c) {
			p.idle[server] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

// Dial opens a new connection to a server, also if there are idle ones.
func (p *Pool) Dial(ctx context.Context, server Server) (*Conn, error) {
	p.reserve(server, 0)
	return p.dialReserved(ctx, server)
}

// dialReserved opens a connection that has been counted.
func (p *Pool) dialReserved(ctx context.Context, server Server) (*Conn, error) {
	within, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.dial(within, "tcp", server.Address)
	if err != nil && p.Dialed != nil && !errors.Is(ctx.Err(), context.Canceled) {
		p.Dialed(server, err)
	}
	if err != nil {
		p.release(server)
		if ctx.Err() != nil {
			return nil, newError(CodeCancelled).Errorf("cancelled while connecting to %s", server.Address)
		}
		return nil, newError(CodeConnect).Wrapf(err, "connecting to %s", server.Address)
	}
	c := &Conn{raw: connreset.New(raw), lastRead: time.Now(), released: sync.OnceFunc(func() { p.release(server) })}
	if p.Dialed != nil {
		c.opened = func(err error) { p.Dialed(server, err) }
	}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

// Put returns a connection to the pool after a complete response, or closes it if
// it cannot carry another request.
func (p *Pool) Put(server Server, c *Conn, response *http.Response) {
	now := time.Now()
	// An abort that has begun could hit the next request.
	reusable := c.endAbort() && !response.Close && c.reader.Buffered() == 0 && !c.aborted.Load() && !c.carried.full()
	if c.bodyWritten != nil {
		select {
		case err := <-c.bodyWritten:
			reusable = reusable && err == nil
		default:
			reusable = false // the server answered before it read the whole body
		}
		c.bodyWritten = nil
	}
	c.watch, c.onRead = nil, nil
	c.expires = now.Add(keepAliveFor(response.Header) - idleMargin)
	if !reusable || !p.push(server, c) {
		c.close()
	}
}

// OpenIdle opens a connection and adds it to the pool if it stays open for settleTime: a
// device on the path may accept connections and reset them.
func (p *Pool) OpenIdle(ctx context.Context, server Server) error {
	c, err := p.OpenSettled(ctx, server)
	if err == nil {
		p.Keep(server, c)
	}
	return err
}

// OpenSettled opens a connection that stays open for settleTime. A device on the path may
// still reset it later: only bytes from the server show that there is a path to it.
func (p *Pool) OpenSettled(ctx context.Context, server Server) (*Conn, error) {
	c, err := p.Dial(ctx, server)
	if err != nil {
		return nil, err
	}
	if err := c.settle(); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// Keep adds a new connection that has carried no request to the pool.
func (p *Pool) Keep(server Server, c *Conn) {
	c.expires = time.Now().Add(defaultIdle - idleMargin)
	if !p.push(server, c) {
		c.close()
	}
}

func (p *Pool) push(server Server, c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[server]) >= maxIdlePerServer {
		return false
	}
	p.idle[server] = append(p.idle[server], c)
	return true
}

// Close closes a connection that must not be reused.
func (p *Pool) Close(c *Conn) {
	c.endAbort()
	c.close()
}

// Retain closes the idle connections that have expired and those to servers for
// which keep returns false.
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
		c.close()
	}
}
