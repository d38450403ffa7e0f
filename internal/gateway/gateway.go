package gateway

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/connlimit"
	"github.com/yuccahatch/yuccahatch/internal/crashcause"
	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/overload"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
	"github.com/yuccahatch/yuccahatch/internal/quarantine"
	"github.com/yuccahatch/yuccahatch/internal/reach"
	"github.com/yuccahatch/yuccahatch/internal/retryshare"
	"github.com/yuccahatch/yuccahatch/internal/rollout"
	"github.com/yuccahatch/yuccahatch/internal/routing"
	"github.com/yuccahatch/yuccahatch/internal/serverlimit"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// defaultTimeout is the timeout of a call whose client sets none.
const defaultTimeout = 30 * time.Second

// bodyRetryAfter is the value from which the Retry-After of an answer is derived when there
// is no memory for the body of a request. Large requests are streams, which last seconds.
const bodyRetryAfter = time.Second

// Weight is a number from 0 to 1 that may be changed while requests are served.
type Weight struct{ bits atomic.Uint64 }

// Store sets the weight.
func (w *Weight) Store(value float64) { w.bits.Store(math.Float64bits(value)) }

// Load returns the weight.
func (w *Weight) Load() float64 { return math.Float64frombits(w.bits.Load()) }

// Announcer notifies peers of the runs that this node places, of the progress of
// these runs and their copies, and of the servers that it finds lost or leaving.
type Announcer interface {
	RunPlaced(p fleet.Placement)
	FirstEvent(p fleet.Placement)
	RunEnded(p fleet.Placement)
	// RunNotSent withdraws a placement of which the server has received nothing.
	RunNotSent(p fleet.Placement)
	CopyAdded(p fleet.Placement)
	CopyRemoved(p fleet.Placement)
	ServerLost(server ident.BackendID, how fleet.Loss)
	ServerLeaving(server ident.BackendID, incarnation int64)
	LimitChanged(n fleet.LimitNotice)
	RequestRejected(server ident.BackendID)
	Crashed(x crashcause.Crash)
	ContentAnswered(c crashcause.Content)
}

// Gateway serves the requests of a node's clients.
type Gateway struct {
	Codec    Codec
	Routes   *routing.Holder
	Fleet    *fleet.Fleet
	Pool     *backendconn.Pool
	Self     ident.HostID
	Announce Announcer
	Log      *telemetry.EventLog
	Metrics  *Metrics
	Budgets  *retryshare.Budget
	// Borrow asks other hosts for retries to a service and reports whether one of
	// them lent some.
	Borrow func(ctx context.Context, service string) bool
	// Permit asks for permission to send a request to a server that limits the requests of
	// all hosts together or is brittle.
	Permit func(ctx context.Context, s *fleet.Server, purpose Purpose) serverlimit.Decision
	// Release ends the permission for a request to a brittle server.
	Release func(s *fleet.Server)
	// Rejected counts a rejection by a server, and reports whether the server is brittle.
	Rejected func(now time.Time, server ident.BackendID) bool
	Overload *overload.Controller
	Versions StreamVersions
	// Dispatch assigns calls to servers for all hosts; nil if each host chooses by itself.
	Dispatch Dispatcher
	// Rollouts assigns requests to versions during roll-outs; nil if there are none.
	Rollouts *rollout.Host
	// ResumeWeight is the fraction of the streams whose runs have copies, 0 to 1.
	ResumeWeight Weight
	// Leaving reports whether the node is about to stop.
	Leaving func() bool
	// AlivePeers returns the number of other hosts that are alive.
	AlivePeers func() int
	// AcceptsNew reports whether a new request may begin. A refused one has not run, and its
	// client sends it to another node.
	AcceptsNew func(routing.Kind) bool
	// AnswerBy returns the time by which requests must be answered because the node stops;
	// zero if it does not.
	AnswerBy func() time.Time

	// Paths knows the network paths of this host to the servers. PathChanged notifies peers
	// when one is lost or back.
	Paths       *reach.Tracker
	PathChanged func()
	// Relays sends requests through other hosts while this one has no path to the servers.
	Relays Relays

	// Crashes decides which content crashes servers.
	Crashes *crashcause.Tracker

	// RelayPool holds the connections to other hosts over which requests are sent.
	RelayPool *backendconn.Pool

	// Bodies bounds the memory that the bodies of requests hold.
	Bodies BodyBudget

	locating        locator
	trials          trials
	invalid         invalidHeaders
	relayedInFlight relayedCount

	mu      sync.Mutex
	lastRun uint64 // guarded by mu
}

// exchange is the state of one request while it is served.
type exchange struct {
	g        *Gateway
	w        http.ResponseWriter
	ctx      context.Context
	call     *Call
	route    *routing.Route
	service  *routing.Service
	team     string
	deadline time.Time // end of the client's timeout or the route's, whichever is earlier

	// sentCount is the number of attempts that may have run, and refusedCount the
	// number of attempts that did not run. Of the latter, unavailableCount is the
	// number of those whose server was unreachable or replaced, and connectFailures
	// the number of those for which no connection could be opened.
	sentCount        int
	refusedCount     int
	unavailableCount int
	connectFailures  int
	// exclude lists the servers that failed the request, to which it is sent again
	// only if there is no other.
	exclude fleet.Exclude
	// unavailable lists the servers to which a call is not sent: those that run it
	// now and those that refused it as full. refusedBy lists the latter.
	unavailable, refusedBy fleet.Exclude
	// denied lists the servers whose limits allow no request now, and turn is the earliest
	// time at which one of them accepts this request; zero if none was asked.
	denied fleet.Exclude
	turn   time.Time
	// relayed is the description of a request that another host sends through this one;
	// nil for a request of a client of this node. relayTries lists the hosts through which
	// this node has tried to send the request.
	relayed       *relayHead
	relayTries    []ident.HostID
	awaitedRoom   bool // see awaitRoom
	retryReserved bool // a retry was taken for the next attempt; see reserveRetry
	// retryWaited is how long the attempt before has waited for a retry already.
	retryWaited time.Duration
	// cachedFingerprint is the fingerprint of the request, computed once by content, which
	// the attempts of a call may need at the same time.
	cachedFingerprint quarantine.Fingerprint
	fingerprintOnce   sync.Once
	// sends is the number of attempts for which the request was sent to a server.
	sends   atomic.Int32
	sendLog sendLog
	// pool selects the servers by version, for an answer that none has begun; see choosePool.
	// point is the random number by which a roll-out assigns the request.
	pool  fleet.Pool
	point float64
	// assigned are the servers that the dispatcher has assigned to attempts that run.
	assignedMu sync.Mutex // attempts of a call may run at the same time
	assigned   map[ident.BackendID]Assignment
	// turnedAway is the time after which there is room, as the dispatcher has said when it
	// turned the call away, and turnedAwayReason its reason; empty if it has not.
	turnedAway       time.Duration
	turnedAwayReason string
	optional         bool // the next attempt of a call is one beside another
	// releaseHold ends the count of the request at the version of its first attempt, and
	// interrupted tells whether its client may come back.
	holdMu      sync.Mutex // attempts of a call may begin at the same time
	releaseHold func(now time.Time, interrupted bool)
	interrupted bool
	// abandoned is set if the request has ended without a whole answer because its client is
	// gone.
	abandoned bool
	// steps lists the steps in serving the request, oldest first, for the log.
	steps   []string
	started time.Time
}

// ServeHTTP implements http.Handler for requests of clients.
func (g *Gateway) ServeHTTP(writer http.ResponseWriter, r *http.Request) {
	w := &answerWriter{ResponseWriter: writer}
	defer g.answerPanic(w)
	now := time.Now()
	if g.Leaving() {
		w.Header().Set("Connection", "close")
	}
	control := http.NewResponseController(w)
	setWriteDeadline(control, now.Add(defaultTimeout))
	call := g.Codec.Decode(r, now)
	table := g.Routes.Current()
	if table == nil {
		g.rejectCall(w, call, http.StatusServiceUnavailable, time.Second, "no configuration has been read yet")
		return
	}
	route := table.Match(call.Host, call.Path)
	if route == nil {
		g.rejectCall(w, call, http.StatusNotFound, 0, "no route for this host and path")
		return
	}
	team := ""
	if table.NeedsKeys() && !route.Public {
		t := table.TeamOf(call.Key)
		if t == nil {
			g.rejectCall(w, call, http.StatusUnauthorized, 0, "unknown key")
			return
		}
		team = t.Name
	}
	timeout := timeoutOf(call, route)
	setWriteDeadline(control, now.Add(timeout+writeSlack))
	body := heldBody{budget: &g.Bodies}
	defer body.release()
	switch status := body.readWithin(control, r, table.Limits.BodyBytes, now.Add(max(timeout, minBodyTime))); status {
	case 0:
	case http.StatusServiceUnavailable:
		g.rejectCall(w, call, status, retryAfter(bodyRetryAfter), "the bodies of other requests fill the memory")
		return
	default:
		g.rejectCall(w, call, status, 0, "the body could not be read")
		return
	}
	call.Body = body.bytes
	connlimit.RequestRead(r.Context())
	if !g.AcceptsNew(route.Kind) {
		g.rejectCall(w, call, http.StatusServiceUnavailable, minRetryAfter, "the node is about to stop")
		return
	}
	service := table.Service(route.Pick(rand.Float64()))
	if service == nil {
		g.rejectCall(w, call, http.StatusServiceUnavailable, time.Second, "the route's service is not configured")
		return
	}
	e := &exchange{g: g, w: w, ctx: r.Context(), call: call, route: route, service: service, team: team, started: now, point: rand.Float64()}
	e.deadline = now.Add(timeout)
	e.waitForCrashCause(now)
	if now = time.Now(); e.crashesServers(now) {
		e.addCrashCause(now)
		writeRefusal(w, http.StatusServiceUnavailable, crashRetryAfter, reasonCrashes)
		e.recordOutcome("refused", http.StatusServiceUnavailable, reasonCrashes)
		return
	}
	g.Budgets.RecordRequest(now, service.Name)
	e.serve()
}

// serve serves the request by the kind of its route. If it was abandoned, the connection is
// aborted: net/http would end the answer as a whole one, with status 200 if it had not begun,
// and a client that has closed only its own direction of the connection receives that.
func (e *exchange) serve() {
	defer e.endHold()
	switch e.route.Kind {
	case routing.Stream:
		e.serveStream()
	case routing.Idempotent:
		e.serveIdempotent()
	default:
		e.serveOnce()
	}
	if e.abandoned {
		panic(http.ErrAbortHandler)
	}
}

// timeoutOf returns the client's timeout, or defaultTimeout if it set none,
// bounded by the timeout of the route.
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

// timeLeft returns the time until the request's deadline, or until it must be answered
// because the node stops, if that is earlier.
func (e *exchange) timeLeft(now time.Time) time.Duration {
	left := e.deadline.Sub(now)
	if by := e.g.AnswerBy(); !by.IsZero() {
		left = min(left, by.Sub(now))
	}
	return left
}

func (e *exchange) clientGone() bool { return e.ctx.Err() != nil }

// attemptsReceived returns the number of attempts that reached a server. If it is
// not 0, further attempts are retries, which the retry budget limits.
func (e *exchange) attemptsReceived() int { return e.sentCount + e.refusedCount - e.connectFailures }

// countSend counts an attempt that is about to be sent to a server.
func (e *exchange) countSend() {
	purpose := sendRepeat
	if e.sends.Add(1) == 1 {
		purpose = sendFirst
	}
	e.g.Metrics.sends[purpose].Inc(1)
}

// mayRetry reports whether a further attempt may be sent after a failure, and counts
// it against the retry budget if so.
func (e *exchange) mayRetry(now time.Time) bool {
	if e.retryReserved {
		e.retryReserved = false
		return true
	}
	return e.attemptsReceived() == 0 || e.takeRetry(now)
}

// takeRetry counts a retry against the budget and reports whether there was one.
func (e *exchange) takeRetry(now time.Time) bool {
	return e.g.Budgets.Take(now, e.service.Name, retryshare.Needed)
}

// recordFailure records the loss of a server that failed a request, with the kind
// of loss that err implies, and notifies peers.
func (g *Gateway) recordFailure(s *fleet.Server, err error) {
	how := fleet.LossReset
	switch backendconn.CodeOf(err) {
	case backendconn.CodeConnect:
		how = fleet.LossSilent
		if errors.Is(err, syscall.ECONNREFUSED) {
			how = fleet.LossRefused
		}
	case backendconn.CodeSilent:
		how = fleet.LossSilent
	}
	g.recordLoss(s, how, err)
}

// recordLoss records the loss of a server. The first evidence of a loss is logged
// and sent to peers, unless this host may have lost its own path.
func (g *Gateway) recordLoss(s *fleet.Server, how fleet.Loss, err error) {
	now := time.Now()
	if g.Fleet.RecordLoss(now, s.ID, how) {
		if how == fleet.LossReplaced || g.Paths.Trusted(now, s.Service) {
			g.Announce.ServerLost(s.ID, how)
		}
		g.Log.LogError(logrus.WarnLevel, telemetry.EventBackendLost, err, logrus.Fields{
			telemetry.FieldBackend: s.ID, "how": how.String(), "address": s.Address,
		}, "backend server lost")
	}
}

// nextRunNumber returns a run number that this node has not used before.
func (g *Gateway) nextRunNumber() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastRun++
	return g.lastRun
}

// errDeadline is the error of an attempt that was still waiting for its server at
// the request's deadline.
var errDeadline = errors.New("request deadline exceeded")
