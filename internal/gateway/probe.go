package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
	"github.com/yuccahatch/yuccahatch/internal/routing"
)

// probeTimeout is far above the time that an engine takes to tell its state.
const probeTimeout = 120 * time.Millisecond

// ask makes one call without a slot to the server at an address over a new
// connection.
func (g *Gateway) ask(address backendconn.Server, method, target string) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	g.Metrics.probes.Inc(1)
	c, err := g.Pool.Get(ctx, address, 0)
	if err != nil {
		return nil, nil, err
	}
	defer g.Pool.Close(c)
	return g.exchangeSmall(ctx, c, &backendconn.Request{
		Method: method, Target: target, Host: address.Address, Header: http.Header{},
		Owns: func(http.Header) bool { return true },
	})
}

// exchangeSmall makes one exchange whose answer is small, until ctx ends.
func (g *Gateway) exchangeSmall(ctx context.Context, c *backendconn.Conn, r *backendconn.Request) (*http.Response, []byte, error) {
	r.Watch = func(time.Time, time.Duration) error { return ctx.Err() }
	response, err := c.Exchange(ctx, r)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	return response, body, err
}

// probe asks an engine for its state and reports whether it is the same one.
func (g *Gateway) probe(s *fleet.Server) bool {
	method, target := g.Codec.Probe()
	response, body, err := g.ask(addressOf(s), method, target)
	if err != nil || response.StatusCode >= http.StatusInternalServerError {
		return false
	}
	state, _ := g.Codec.EngineState(body)
	return state.Born == 0 || s.Born == 0 || state.Born == s.Born
}

// Successor looks for the engine that has taken the address of a lost one. It
// is taken for one of the same service only if it is an engine with that
// service's memory, and no other service has engines: another service may use
// the address of a server that is gone.
func (g *Gateway) Successor(s *fleet.Server, service *routing.Service) (fleet.Entry, bool) {
	method, target := g.Codec.Probe()
	response, body, err := g.ask(addressOf(s), method, target)
	if err != nil || response.StatusCode != http.StatusOK {
		return fleet.Entry{}, false
	}
	state, ok := g.Codec.EngineState(body)
	if !ok || state.Leaving || service.Engine == nil || state.MemoryTokens != service.Engine.CacheTokens {
		return fleet.Entry{}, false
	}
	if state.Born == s.Born {
		g.Fleet.Heard(s, time.Now())
		return fleet.Entry{}, false
	}
	response, _, err = g.ask(addressOf(s), http.MethodGet, service.HealthPath)
	if err != nil || response.StatusCode != http.StatusOK {
		return fleet.Entry{}, false
	}
	e := s.Entry
	e.ID, e.Born, e.Draining, e.Sequence = g.Codec.Identity(response.Header), state.Born, false, 0
	return e, e.ID != "" && e.ID != s.ID
}

// resetOnly finds out whether an engine whose connection was reset is still
// there. A crash resets connections, and so do a fault of a link and an answer
// that is lost on the way. An engine that lives still holds the prompt.
func (g *Gateway) resetOnly(s *fleet.Server, err error) bool {
	g.lost(s, err)
	if g.probe(s) {
		g.Fleet.Verified(time.Now(), s)
		return true
	}
	g.lost(s, backendconn.SilentError(probeTimeout, "no answer after a reset"))
	return false
}
