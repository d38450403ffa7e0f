package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
	"github.com/yuccahatch/yuccahatch/internal/routing"
)

// probeTimeout bounds a probe. It is far above the time that an engine takes to
// report its state.
const probeTimeout = 120 * time.Millisecond

// noRequestID stands for the id of a call of the node's own: answers name none.
const noRequestID = ident.RequestID("")

// errBackoff is the error of a call that is not sent because its server has asked for a
// pause, or because its limit allows no request.
var errBackoff = errors.New("the server accepts no requests for some time")

// call makes one call over a new connection to a server, within probeTimeout. It
// is used for calls that an engine answers without occupying a slot.
func (g *Gateway) call(s *fleet.Server, method, target string) (*http.Response, []byte, error) {
	if g.Fleet.InBackoff(s, time.Now()) {
		return nil, nil, errBackoff
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if !g.permitted(ctx, s) {
		return nil, nil, errBackoff
	}
	g.Metrics.probes.Inc(1)
	c, err := g.Pool.Get(ctx, addressOf(s), noRequestID, 0)
	if err != nil {
		return nil, nil, err
	}
	defer g.Pool.Close(c)
	response, body, err := g.exchangeSmall(ctx, s, c, &backendconn.Request{
		Method: method, Target: target, Host: s.Address, Header: http.Header{},
		Matches: g.Codec.IsOwnAnswer,
	})
	if err != nil && ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", errUnanswered, err)
	}
	return response, body, err
}

// errUnanswered is the error of a call for which the server has accepted a connection and
// has not answered in time. A host that is gone accepts none.
var errUnanswered = errors.New("the server accepted the connection and did not answer")

// maxStateBytes is the maximum size in bytes of an answer to a call of the node's own,
// such as the list of the prompts that an engine has cached.
const maxStateBytes = 256 << 10

// exchangeSmall makes one exchange and reads the body of the answer into memory. A body
// of more than maxStateBytes is an error. It waits for the answer until ctx ends.
func (g *Gateway) exchangeSmall(ctx context.Context, s *fleet.Server, c *backendconn.Conn, r *backendconn.Request) (*http.Response, []byte, error) {
	r.ID = noRequestID
	r.Watch = func(time.Time, time.Duration) error { return ctx.Err() }
	g.Metrics.sends[sendOwn].Inc(1)
	response, err := c.Exchange(ctx, r)
	if err != nil {
		return nil, nil, err
	}
	g.readOwnAnswer(s, response)
	body, err := readAtMost(response.Body, maxStateBytes)
	return response, body, err
}

// errGone is the error of a probe that shows that the incarnation has ended.
var errGone = errors.New("no process or another incarnation answers at the address")

// errProbeStatus is the error of a probe that was answered with a failure.
var errProbeStatus = errors.New("the probe was answered with a failure")

// probe is confirmIncarnation for an engine that seems to be lost. An engine that does not
// report its start time counts as the same incarnation. One that has asked for a pause, or
// whose limit allows none, is sent no request: only a refused connection shows that it has
// ended.
func (g *Gateway) probe(s *fleet.Server) error {
	err := g.confirmIncarnation(s)
	switch {
	case errors.Is(err, errBackoff) && g.refusesConnections(s):
		return errGone
	case errors.Is(err, errBackoff):
		return nil
	}
	return err
}

// confirmIncarnation requests the state of an engine and returns an error if the
// incarnation s did not answer: errGone if it has ended, and errBackoff if no request may
// be sent to it now.
func (g *Gateway) confirmIncarnation(s *fleet.Server) error {
	method, target := g.Codec.Probe()
	response, body, err := g.call(s, method, target)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return errGone
	case err != nil:
		return err
	case response.StatusCode >= http.StatusInternalServerError:
		return errProbeStatus
	}
	if state, _ := g.Codec.EngineState(body); state.Incarnation != 0 && s.Incarnation != 0 && state.Incarnation != s.Incarnation {
		return errGone
	}
	return nil
}

// Successor returns the entry of the engine that now answers at the address of a
// lost one, if there is one. It accepts only an engine with the memory size of the
// service, because the address of a lost server may be reused by a server of another
// service; no other service has engines.
func (g *Gateway) Successor(s *fleet.Server, service *routing.Service) (fleet.Entry, bool) {
	method, target := g.Codec.Probe()
	response, body, err := g.call(s, method, target)
	if err != nil || response.StatusCode != http.StatusOK {
		return fleet.Entry{}, false
	}
	state, ok := g.Codec.EngineState(body)
	if !ok || state.Draining || service.Engine == nil || state.MemoryTokens != service.Engine.CacheTokens {
		return fleet.Entry{}, false
	}
	if state.Incarnation == s.Incarnation {
		g.Fleet.RecordData(s, time.Now())
		return fleet.Entry{}, false
	}
	response, _, err = g.call(s, http.MethodGet, service.HealthPath)
	if err != nil || response.StatusCode != http.StatusOK {
		return fleet.Entry{}, false
	}
	e := s.Entry
	e.Version = fleet.UnknownVersion
	e.ID, e.Incarnation, e.Draining, e.Sequence = g.Codec.Identity(response.Header), state.Incarnation, false, 0
	return e, e.ID != "" && e.ID != s.ID
}

// survivedReset reports whether an engine whose connection was reset is still
// running, and records the result. A crash resets connections, but so do a fault of
// a link and an answer that is lost on the network. An engine that is still running
// still holds the prompt.
func (g *Gateway) survivedReset(s *fleet.Server, err error) bool {
	g.recordFailure(s, err)
	if g.probe(s) == nil {
		g.Fleet.RecordReachable(time.Now(), s)
		return true
	}
	g.recordFailure(s, backendconn.NewSilentError(probeTimeout, "no answer after a reset"))
	return false
}

// refusesConnections reports whether connections to a server's address are refused,
// which means that no process listens there any more. A connection that is reset or not
// accepted in time shows no such thing: the server may have all the connections that it
// allows, or be silent for a while. Neither does an idle connection show that the server
// runs: after a crash, each connection learns of its end on its own.
func (g *Gateway) refusesConnections(s *fleet.Server) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c, err := g.Pool.Dial(ctx, addressOf(s))
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	g.Pool.Close(c)
	return false
}
