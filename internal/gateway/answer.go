package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// readAnswer decodes the head of an answer to a client's request and records what the
// server says in it about itself.
func (g *Gateway) readAnswer(s *fleet.Server, response *http.Response) Answer {
	a := g.readOwnAnswer(s, response)
	if a.NotExecuted && !a.Replaced {
		g.recordRejection(s)
	}
	if a.NotExecuted {
		return a
	}
	changed := a.Limit == nil && !a.LimitInvalid && g.Fleet.RecordNoLimit(time.Now(), s)
	if a.MaxRejected == nil && !a.BrittleInvalid && g.Fleet.RecordNotBrittle(time.Now(), s) {
		changed = true
	}
	if changed {
		g.limitChanged(s)
	}
	return a
}

// readOwnAnswer is readAnswer for the answer to a call of the node's own. An answer to
// such a call, or one of a server that did not run a request, may lack a limit that is
// still in force.
func (g *Gateway) readOwnAnswer(s *fleet.Server, response *http.Response) Answer {
	a := g.Codec.Answer(response.StatusCode, response.Header)
	changed := a.Limit != nil && !a.Replaced && g.Fleet.RecordLimit(time.Now(), s, *a.Limit)
	if a.MaxRejected != nil && !a.Replaced && g.Fleet.RecordBrittle(time.Now(), s, *a.MaxRejected) {
		changed = true
	}
	if changed {
		g.limitChanged(s)
	}
	if a.Leaving && g.Fleet.RecordLeaving(s.ID, s.Incarnation) {
		g.Announce.ServerLeaving(s.ID, s.Incarnation)
		g.Log.Log(logrus.InfoLevel, telemetry.EventBackendListed, logrus.Fields{
			telemetry.FieldBackend: s.ID, "address": s.Address, "service": s.Service, "leaving": true, "source": "answer",
		}, "backend server is leaving")
	}
	if a.RetryAfter > 0 {
		g.Fleet.RecordRetryAfter(time.Now(), s, a.RetryAfter)
	}
	for _, header := range a.Invalid {
		g.reportInvalid(s, header)
	}
	return a
}

// recordRejection records that a server has rejected a request for want of room. If the
// server is brittle, the peers count it too.
func (g *Gateway) recordRejection(s *fleet.Server) {
	if g.Rejected(time.Now(), s.ID) {
		g.Announce.RequestRejected(s.ID)
	}
}

// limitChanged notifies peers of the limit that a server has named in an answer, and logs
// it.
func (g *Gateway) limitChanged(s *fleet.Server) {
	n := g.Fleet.LimitOf(time.Now(), s)
	g.Announce.LimitChanged(n)
	g.LogLimit(n, "answer")
}

// LogLimit logs a change of the limit of a server. source is "answer" or the id of a peer.
func (g *Gateway) LogLimit(n fleet.LimitNotice, source string) {
	g.Log.Log(logrus.InfoLevel, telemetry.EventBackendState, logrus.Fields{
		telemetry.FieldBackend: n.Server, "limit_per_second": n.PerSecond, "brittle": n.Brittle, "max_rejected": n.MaxRejected, "age_ms": n.AgeMs, "source": source,
	}, "limit of a backend server has changed")
}

// reportInvalid counts an invalid header, and logs it once for each server and value.
func (g *Gateway) reportInvalid(s *fleet.Server, header string) {
	g.Metrics.invalidHeaders.Inc(1)
	if g.invalid.isNew(s.ID, header) {
		g.Log.Log(logrus.WarnLevel, telemetry.EventBackendState, logrus.Fields{
			telemetry.FieldBackend: s.ID, "address": s.Address, "header": header,
		}, "invalid header from backend server ignored")
	}
}

// maxInvalidHeaders is the maximum number of invalid headers that are remembered.
// Further ones are counted, but not logged.
const maxInvalidHeaders = 256

// invalidHeaders remembers the invalid headers that have been logged.
type invalidHeaders struct {
	mu     sync.Mutex
	logged map[invalidHeader]bool // guarded by mu
}

type invalidHeader struct {
	server ident.BackendID
	header string
}

// isNew reports whether the header has not been logged yet and should be now.
func (i *invalidHeaders) isNew(server ident.BackendID, header string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	key := invalidHeader{server, header}
	if i.logged[key] || len(i.logged) >= maxInvalidHeaders {
		return false
	}
	if i.logged == nil {
		i.logged = map[invalidHeader]bool{}
	}
	i.logged[key] = true
	return true
}
