package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
	"github.com/yuccahatch/yuccahatch/internal/routing"
)

// errReplaced reports that another server now answers at a server's address.
var errReplaced = errors.New("another server now answers at the address")

func addressOf(s *fleet.Server) backendconn.Server {
	return backendconn.Server{ID: s.ID, Incarnation: s.Incarnation, Address: s.Address}
}

// connect returns a connection to a server, reused only if it has been idle for
// at most maxIdle and has not carried the request before. The connection is aborted when
// ctx ends.
func (e *exchange) connect(ctx context.Context, s *fleet.Server, maxIdle time.Duration) (*backendconn.Conn, error) {
	return connect(ctx, e.g.Pool, addressOf(s), e.call.ID, maxIdle, func() int { return e.g.connectionLimit(e.service) })
}

// requestConnections is the fraction of the connections which a server accepts that requests
// use. The rest is for probes and for hosts that the others do not know yet.
const requestConnections = 0.9

// connectionLimit returns how many connections to a server of the service this host may have
// open for requests, or 0 for any number: its part of those that the server accepts from all
// hosts together. A server resets further ones, and a call that was sent on one of them may
// have run, as far as its host can tell.
func (g *Gateway) connectionLimit(service *routing.Service) int {
	if service.MaxConnections <= 0 {
		return 0
	}
	return max(1, int(requestConnections*float64(service.MaxConnections))/(g.AlivePeers()+1))
}

// unlimited is the limit of connections to other hosts.
func unlimited() int { return 0 }

// maxRefusalBody is the size in bytes from which on the body of a refusal, a short text, is
// not read to its end.
const maxRefusalBody = 4 << 10

// putAfterRefusal returns the connection of a refusal to its pool, or closes it if the body
// of the refusal has not ended: the next request would find the rest in front of its answer.
func putAfterRefusal(pool *backendconn.Pool, server backendconn.Server, c *backendconn.Conn, response *http.Response) {
	if _, err := io.CopyN(io.Discard, response.Body, maxRefusalBody); !errors.Is(err, io.EOF) {
		pool.Close(c)
		return
	}
	pool.Put(server, c, response)
}

func connect(ctx context.Context, pool *backendconn.Pool, server backendconn.Server, id ident.RequestID, maxIdle time.Duration, limit func() int) (*backendconn.Conn, error) {
	c, err := pool.GetLimited(ctx, server, id, maxIdle, limit)
	if err != nil {
		return nil, err
	}
	c.AbortOn(ctx)
	return c, nil
}
