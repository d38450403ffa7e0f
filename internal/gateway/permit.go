package gateway

import (
	"context"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/serverlimit"
)

// Servers may limit the requests per second of all hosts together. Whatever is sent to
// such a server needs a permission: first attempts, repeats, resumes, probes, and calls
// that copy runs. A copy needs one of its holder too. At a brittle server the requests of
// clients need a permission; calls of the node's own need no room there.

// Purpose is what a permission is asked for.
type Purpose int

const (
	// PurposeOwn is a call of the node's own.
	PurposeOwn Purpose = iota
	// PurposeFits is a request of a client that fits into the server, as far as known.
	PurposeFits
	// PurposeTight is a request of a client for which the server may lack the memory.
	PurposeTight
)

// maxDenials is the maximum number of servers that are asked for permission for one attempt.
// What the answers say of the servers steers the next requests to others.
const maxDenials = 3

// askPermission asks for permission to send one request to a server. A server without a
// limit needs none.
func (g *Gateway) askPermission(ctx context.Context, s *fleet.Server, purpose Purpose) serverlimit.Decision {
	if !g.Fleet.Limited(s) || purpose == PurposeOwn && !g.Fleet.LimitsRate(s) {
		return serverlimit.Decision{Granted: true}
	}
	d := g.Permit(ctx, s, purpose)
	if !d.Granted {
		g.Metrics.denied.Inc(1)
		g.Fleet.RecordDenied(time.Now(), s, d.Free)
	}
	return d
}

// release ends the permission for a request to a server, if it needed one to be ended.
func (g *Gateway) release(s *fleet.Server) {
	if g.Fleet.Brittle(s) {
		g.Release(s)
	}
}

// permitted reports whether the node may make a call of its own to a server now.
func (g *Gateway) permitted(ctx context.Context, s *fleet.Server) bool {
	return g.askPermission(ctx, s, PurposeOwn).Granted
}

// permitted reports whether the request may be sent to a server now. If not, the server is
// not chosen again for the request.
func (e *exchange) permitted(s *fleet.Server, purpose Purpose) bool {
	d := e.g.askPermission(e.ctx, s, purpose)
	if d.Granted {
		return true
	}
	e.denied = append(e.denied, s.ID)
	if turn := time.Now().Add(d.Turn); e.turn.IsZero() || turn.Before(e.turn) {
		e.turn = turn
	}
	e.addStep("limit of %s allows no request for %dms", s.ID, d.Free.Milliseconds())
	return false
}

// limited reports whether the next server for a call limits requests, or there is none. The
// requests that a limit allows are left to calls that have failed or were not sent yet.
func (e *exchange) limited(now time.Time) bool {
	s := e.bestServer(now)
	return s == nil || e.g.Fleet.Limited(s)
}

// waitForTurn returns the time until a server that limits requests accepts this one; 0 if
// no server was asked.
func (e *exchange) waitForTurn(now time.Time) time.Duration {
	if e.turn.IsZero() {
		return 0
	}
	return max(0, e.turn.Sub(now))
}
