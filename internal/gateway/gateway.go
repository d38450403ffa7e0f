package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/overload"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
	"github.com/yuccahatch/yuccahatch/internal/quarantine"
	"github.com/yuccahatch/yuccahatch/internal/routing"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// defaultTimeout bounds a call whose client names no time.
const defaultTimeout = 30 * time.Second

// Weight is a number from 0 to 1 that may change while requests are served.
type Weight struct{ bits atomic.Uint64 }

// Store sets the weight.
func (w *Weight) Store(value float64) { w.bits.Store(math.Float64bits(value)) }

// Load returns the weight.
func (w *Weight) Load() float64 { return math.Float64frombits(w.bits.Load()) }

// Announcer tells peers what this node has placed and lost.
type Announcer interface {
	Placed(p fleet.Placed)
	First(p fleet.Placed)
	Ended(p fleet.Placed)
	Copied(p fleet.Placed)
	CopyDropped(p fleet.Placed)
	Lost(server ident.BackendID, how fleet.Loss)
	Crashed(x Crash)
}

// Gateway serves the clients of a node.
type Gateway struct {
	Codec    Codec
	Routes   *routing.Holder
	Fleet    *fleet.Fleet
	Pool     *backendconn.Pool
	Self     ident.HostID
	Announce Announcer
	Log      *telemetry.EventLog
	Metrics  *Metrics
	Budgets  *Budgets
	Overload *overload.Controller
	// ResumeWeight is the part of the streams whose runs have copies.
	ResumeWeight Weight
	// Leaving reports whether the node is about to stop.
	Leaving func() bool
	// TakesStreams reports whether a stream may begin; one that is refused has
	// not run, and its client goes to another node.
	TakesStreams func() bool

	locating locator
	crashes  crashes

	mu      sync.Mutex
	nextRun uint64 // guarded by mu
}

// exchange is one request while it is served.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	ctx     context.Context
	call    *Call
	route   *routing.Route
	service *routing.Service
	team    string
	end     time.Time // when the client or the route gives the request up

	// sent counts attempts that may have run, refused those that did not, absent
	// those of the latter whose server was gone or replaced, and unreached those
	// that no connection was opened for.
	sent      int
	refused   int
	absent    int
	unreached int
	exclude   fleet.Exclude
	// printed is the fingerprint of the request once it was computed.
	printed quarantine.Fingerprint
	// history is the list of attempts for the log, oldest first.
	history []string
	started time.Time
}

// ServeHTTP implements http.Handler for the traffic of clients.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	if g.Leaving() {
		w.Header().Set("Connection", "close")
	}
	call := g.Codec.Decode(r, now)
	table := g.Routes.Current()
	if table == nil {
		g.turnAway(w, call, http.StatusServiceUnavailable, time.Second, "no configuration has been read yet")
		return
	}
	route := table.Match(call.Host, call.Path)
	if route == nil {
		g.turnAway(w, call, http.StatusNotFound, 0, "no route for this host and path")
		return
	}
	team := ""
	if table.NeedsKeys() && !route.Public {
		t := table.TeamOf(call.Key)
		if t == nil {
			g.turnAway(w, call, http.StatusUnauthorized, 0, "unknown key")
			return
		}
		team = t.Name
	}
	body, status := readBody(r, table.Limits.BodyBytes)
	if status != 0 {
		g.turnAway(w, call, status, 0, "the body could not be read")
		return
	}
	call.Body = body
	if route.Kind == routing.Stream && !g.TakesStreams() {
		g.turnAway(w, call, http.StatusServiceUnavailable, minRetryAfter, "the node is about to stop")
		return
	}
	service := table.Service(route.Pick(rand.Float64()))
	if service == nil {
		g.turnAway(w, call, http.StatusServiceUnavailable, time.Second, "the route's service is not configured")
		return
	}
	e := &exchange{g: g, w: w, ctx: r.Context(), call: call, route: route, service: service, team: team, started: now}
	e.end = now.Add(timeoutOf(call, route))
	e.waitForCause(now)
	if now = time.Now(); e.crashesServers(now) {
		refuse(w, http.StatusServiceUnavailable, crashRetryAfter, "the request crashes backend servers")
		e.done("refused", http.StatusServiceUnavailable, "the request crashes backend servers")
		return
	}
	g.Budgets.Started(now, service.Name)
	switch {
	case route.Kind == routing.Stream:
		e.stream()
	case route.Kind == routing.Idempotent:
		e.idempotent()
	default:
		e.once()
	}
}

func timeoutOf(c *Call, r *routing.Route) time.Duration {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if r.Timeout > 0 {
		timeout = min(timeout, r.Timeout)
	}
	return timeout
}

// readBody reads the whole body, since it may have to be sent twice. A status
// other than 0 is the answer to a body that cannot be taken.
func readBody(r *http.Request, limit int64) ([]byte, int) {
	if limit <= 0 {
		limit = 1 << 20
	}
	if r.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge
	}
	var buf bytes.Buffer
	if r.ContentLength > 0 {
		buf.Grow(int(r.ContentLength))
	}
	n, err := io.Copy(&buf, io.LimitReader(r.Body, limit+1))
	switch {
	case n > limit:
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return buf.Bytes(), 0
}

// turnAway refuses a request before any server was chosen for it, with the line
// that explains it.
func (g *Gateway) turnAway(w http.ResponseWriter, c *Call, status int, retryAfter time.Duration, reason string) {
	refuse(w, status, retryAfter, reason)
	g.Log.Log(logrus.InfoLevel, telemetry.EventRequestTroubled, logrus.Fields{
		telemetry.FieldRequest: c.ID, "host_name": c.Host, "path": c.Path, "config_version": g.Routes.Version(),
		"outcome": "refused", "status": status, "reason": reason, "retry_after_ms": retryAfter.Milliseconds(),
	}, "request refused")
}

// refuse answers a request that this node does not forward.
func refuse(w http.ResponseWriter, status int, retryAfter time.Duration, reason string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	body := fmt.Sprintf("{\"error\":%q}\n", reason)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body) // the client is gone if this fails
}

// left is the time until the request is given up.
func (e *exchange) left(now time.Time) time.Duration { return e.end.Sub(now) }

func (e *exchange) clientGone() bool { return e.ctx.Err() != nil }

// arrived is the number of attempts that reached a server. Further ones are
// repeats, which the retry budget bounds.
func (e *exchange) arrived() int { return e.sent + e.refused - e.unreached }

// giveUp sends the final answer of a request that failed before any part of an
// answer was passed on. Only a request that no server may have run is refused
// as not run.
func (e *exchange) giveUp(reason string, retryAfter time.Duration) {
	now := time.Now()
	status := http.StatusBadGateway
	switch {
	case e.clientGone():
		e.done("client_gone", 0, reason)
		return
	case e.sent == 0:
		status = http.StatusServiceUnavailable
		retryAfter = max(retryAfter, minRetryAfter)
	case e.left(now) <= 0:
		status = http.StatusGatewayTimeout
		retryAfter = 0
	default:
		retryAfter = 0
	}
	refuse(e.w, status, retryAfter, reason)
	outcome := "failed"
	if status == http.StatusServiceUnavailable {
		outcome = "refused"
	}
	e.done(outcome, status, reason)
}

// crashRetryAfter is what a client is told whose request crashes servers.
const crashRetryAfter = time.Minute

// minRetryAfter spreads clients that are told to come back.
const minRetryAfter = 150 * time.Millisecond

// retryAfter is a time after which a refused client may come back, spread so
// that those that were refused together do not return together.
func retryAfter(base time.Duration) time.Duration {
	return base + time.Duration(rand.Int64N(int64(base)+1))
}

// note adds a step to the request's history.
func (e *exchange) note(format string, args ...any) {
	if len(e.history) < 24 {
		e.history = append(e.history, strconv.Itoa(int(time.Since(e.started).Milliseconds()))+"ms "+fmt.Sprintf(format, args...))
	}
}

// done writes the line that explains the request and counts it.
func (e *exchange) done(outcome string, status int, reason string) {
	e.g.Metrics.finished(e.route.Kind, outcome, time.Since(e.started))
	level := logrus.InfoLevel
	event := telemetry.EventRequestServed
	if outcome != "served" || e.sent > 1 {
		event = telemetry.EventRequestTroubled
	}
	e.g.Log.Log(level, event, logrus.Fields{
		telemetry.FieldRequest: e.call.ID,
		"route":                e.route.Name,
		"kind":                 e.route.Kind.String(),
		"team":                 e.team,
		"config_version":       e.g.Routes.Version(),
		"outcome":              outcome,
		"status":               status,
		"reason":               reason,
		"attempts":             e.sent,
		"refusals":             e.refused,
		"after":                e.call.After,
		"duration_ms":          time.Since(e.started).Milliseconds(),
		"steps":                e.history,
	}, "request "+outcome)
}

// lost records a server that failed a request and tells peers of it.
func (g *Gateway) lost(s *fleet.Server, err error) {
	how := fleet.LossReset
	switch backendconn.CodeOf(err) {
	case backendconn.CodeConnect:
		how = fleet.LossRefused
	case backendconn.CodeSilent:
		how = fleet.LossSilent
	}
	g.lostBy(s, how, err)
}

func (g *Gateway) lostBy(s *fleet.Server, how fleet.Loss, err error) {
	if g.Fleet.Lost(time.Now(), s.ID, how) {
		g.Announce.Lost(s.ID, how)
		g.Log.LogError(logrus.WarnLevel, telemetry.EventBackendLost, err, logrus.Fields{
			telemetry.FieldBackend: s.ID, "how": how.String(), "address": s.Address,
		}, "backend server lost")
	}
}

// errReplaced is the answer of another server at the address.
var errReplaced = errors.New("another server has the address")

func addressOf(s *fleet.Server) backendconn.Server {
	return backendconn.Server{ID: s.ID, Born: s.Born, Address: s.Address}
}

// open connects to a server and keeps the request abortable by its client.
func (e *exchange) open(ctx context.Context, s *fleet.Server, fresh time.Duration) (*backendconn.Conn, func() bool, error) {
	c, err := e.g.Pool.Get(ctx, addressOf(s), fresh)
	if err != nil {
		return nil, nil, err
	}
	return c, context.AfterFunc(ctx, c.Abort), nil
}

func (g *Gateway) runNumber() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextRun++
	return g.nextRun
}

// errGivenUp ends the wait for a server when the request is out of time.
var errGivenUp = errors.New("the request is out of time")
