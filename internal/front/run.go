package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/internal/connlimit"
	"github.com/yuccahatch/yuccahatch/internal/gateway"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
	"github.com/yuccahatch/yuccahatch/internal/routing"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

const (
	// newStreamShare is the fraction of the grace period during which a leaving
	// node still accepts new streams. A later stream is unlikely to end in time.
	newStreamShare = 0.25
	// newCallShare is the same for calls, most of which end within a second. What is left of
	// the grace period after it is time for the others.
	newCallShare = 0.35
	// minLeaveTime is the minimum time for which a leaving node keeps listening:
	// clients keep a list of addresses for up to three times its TTL.
	minLeaveTime = 3*maxAddressTTL + 200*time.Millisecond
	// killMargin is the time left between the end of the wait for requests in
	// flight and the end of the grace period, when the process is killed.
	killMargin = 500 * time.Millisecond
	// answerMargin is the time before the end of that wait at which requests that still wait
	// for a server are answered, so that their clients' connections are not cut off.
	answerMargin = 150 * time.Millisecond
	// headerTimeout is the maximum time for reading the header of a request.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes is the maximum size of the header of a request. It is above the
	// limits of configurations.
	maxHeaderBytes = 64 << 10
	// idleTimeout is the keep-alive time of idle client connections. It exceeds
	// the idle time that configurations allow clients, so that a node does not
	// close a connection that its client is about to reuse.
	idleTimeout = 75 * time.Second
)

// Handlers are the HTTP handlers of a node whose requests and answers have a
// format of the platform. A nil handler is not served.
type Handlers struct{ Readiness, Directory http.Handler }

// Run serves requests until the context ends, or until leave is closed and either
// the requests in flight have ended or the grace period is nearly over.
func (n *Node) Run(ctx context.Context, leave <-chan struct{}, h Handlers) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.log.Log(logrus.InfoLevel, telemetry.EventNodeStarted, logrus.Fields{"clients": n.settings.Clients, "incarnation": n.incarnation}, "node started")
	// Open the listeners before starting the workers: once a heartbeat has announced
	// that this node is ready, peers may return its address to clients.
	servers, err := n.listen(h)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	for _, worker := range []func(context.Context){n.mesh.Run, n.config.run, n.servers.run, n.register, n.housekeep, n.pruneLoop, n.rediscover, n.storeCrashes, n.storeStreams, n.probePaths, n.conductRollouts, n.dispatchWaiting} {
		wg.Go(func() { worker(ctx) })
	}
	end := time.Now()
	select {
	case <-leave:
		end = n.leave(ctx)
	case <-ctx.Done():
	}
	// Requests that were accepted while the listeners close are still answered.
	shutdown, done := context.WithTimeout(context.WithoutCancel(ctx), max(time.Until(end), killMargin/2))
	defer done()
	for _, s := range servers {
		if err := s.Shutdown(shutdown); err != nil {
			s.Close()
		}
	}
	cancel()
	wg.Wait()
	n.log.Log(logrus.InfoLevel, telemetry.EventNodeStopped, logrus.Fields{"in_flight": n.inFlight.Load()}, "node stopped")
	n.log.Flush()
	for _, c := range n.closers {
		c.Close()
	}
	return nil
}

// acceptsNew reports whether a request that starts now is likely to end before the node
// stops.
func (n *Node) acceptsNew(kind routing.Kind) bool {
	if !n.leaving.Load() {
		return true
	}
	share := newCallShare
	if kind == routing.Stream {
		share = newStreamShare
	}
	grace := time.Duration(n.grace.Load())
	since := n.leavingSince.since(time.Now())
	return grace == 0 || since < time.Duration(share*float64(grace))
}

// answerBy returns the time by which requests must be answered because the node stops; zero
// if it does not.
func (n *Node) answerBy() time.Time {
	grace := time.Duration(n.grace.Load())
	if !n.leaving.Load() || grace == 0 {
		return time.Time{}
	}
	return n.leavingSince.Load().Add(max(grace-killMargin-answerMargin, 0))
}

// leave announces that the node is leaving and listens on for minLeaveTime. It returns the
// time by which the requests in flight must have ended: killMargin before the end of the
// grace period, or in one hour without a grace period. A node that listened until no
// requests are in flight would, under load, accept requests until that end and cut them
// off.
func (n *Node) leave(ctx context.Context) time.Time {
	started := time.Now()
	n.leavingSince.Store(started)
	n.leaving.Store(true)
	n.mesh.Announce()
	n.log.Log(logrus.InfoLevel, telemetry.EventNodeLeaving, logrus.Fields{"in_flight": n.inFlight.Load()}, "node is leaving")
	grace := time.Duration(n.grace.Load())
	end := started.Add(max(grace-killMargin, 0))
	if grace == 0 {
		end = started.Add(time.Hour)
	}
	select {
	case <-time.After(min(minLeaveTime, time.Until(end))):
	case <-ctx.Done():
	}
	return end
}

func (n *Node) listen(h Handlers) ([]*http.Server, error) {
	node := mux.NewRouter()
	node.HandleFunc(statePath, n.serveState).Methods(http.MethodGet)
	node.HandleFunc(gateway.RelayPath, n.serveRelayed).Methods(http.MethodPost)
	operators := mux.NewRouter()
	operators.Handle(operatorapi.RouteMetrics, n.metrics).Methods(http.MethodGet)
	operators.HandleFunc(operatorapi.RouteRollouts, n.serveRollouts).Methods(http.MethodGet)
	servers := []struct {
		address string
		handler http.Handler
		clients bool
	}{
		{n.settings.Clients, http.HandlerFunc(n.serveClient), true},
		{n.settings.Readiness, h.Readiness, false},
		{n.settings.Directory, h.Directory, false},
		{n.settings.Mesh, node, false},
		{n.settings.Operators, operators, false},
	}
	var list []*http.Server
	for _, s := range servers {
		if s.address == "" || s.handler == nil {
			continue
		}
		tcp, err := net.Listen("tcp", s.address)
		if err != nil {
			n.log.LogError(logrus.ErrorLevel, telemetry.EventListenFailed, err, logrus.Fields{"address": s.address}, "cannot listen on address")
			return nil, newError(CodeListen).Errorf("listening on %s: %v", s.address, err)
		}
		listener := &connlimit.Listener{Listener: tcp, Book: n.connections, OnClose: n.onConnectionClosed}
		server := &http.Server{
			Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: discardLogger(),
		}
		connlimit.Attach(server)
		list = append(list, server)
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				n.log.LogError(logrus.ErrorLevel, telemetry.EventListenFailed, err, logrus.Fields{"address": s.address}, "HTTP server stopped unexpectedly")
			}
		}()
	}
	return list, nil
}

// onConnectionClosed logs and counts a connection that was closed for room.
func (n *Node) onConnectionClosed(why connlimit.Reason) {
	telemetry.ConnectionsClosed.Counter(n.scope, string(why)).Inc(1)
	open, heads := n.connections.Held()
	n.log.Log(logrus.WarnLevel, telemetry.EventConnectionClosed, logrus.Fields{"reason": why, "connections": open, "head_bytes": heads}, "connection of a client closed for room")
}

// serveClient passes a request to the gateway and counts it as in flight.
func (n *Node) serveClient(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	connlimit.HeadRead(r)
	n.gateway.ServeHTTP(w, r)
}

// serveRelayed passes a request that another host sends through this one to the gateway and
// counts it as in flight.
func (n *Node) serveRelayed(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	connlimit.HeadRead(r)
	n.gateway.ServeRelayed(w, r)
}

// housekeep periodically removes expired state, fetches a peer's state if the
// store data is stale, and flushes the log.
func (n *Node) housekeep(ctx context.Context) {
	flush := 0
	every(ctx, housekeepingInterval, func(now time.Time) {
		n.fleet.Expire(now)
		n.limiter.Expire(now)
		n.rejections.Expire(now)
		n.gateway.RelayPool.Retain(now, func(backendconn.Server) bool { return true })
		n.pool.Retain(now, func(s backendconn.Server) bool { return n.isListed(s) })
		n.readFreshestPeer(ctx, now)
		if flush++; flush%10 == 0 {
			n.log.Flush()
		}
	})
}

// every calls f at an interval until the context ends.
func every(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f(time.Now())
		}
	}
}

func (n *Node) isListed(s backendconn.Server) bool {
	listed := n.fleet.Server(s.ID)
	return listed != nil && listed.Incarnation == s.Incarnation && listed.Address == s.Address
}
