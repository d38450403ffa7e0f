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

	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

const (
	// streamsUntil is the part of the grace period in which a leaving node still
	// begins streams. One that begins later is not likely to end in time.
	streamsUntil = 0.25
	// leaveAtLeast is how long a leaving node goes on listening: clients keep a
	// list of addresses up to three times as long as told.
	leaveAtLeast = 3*listTTL + 200*time.Millisecond
	// leaveMargin is left between the end and the kill.
	leaveMargin = 500 * time.Millisecond
	// headerTimeout bounds how long a client may take to send a request's head.
	headerTimeout = 10 * time.Second
	// idleTimeout is above what configurations allow clients to stay idle, so that
	// a node does not close a connection that its client is about to use again.
	idleTimeout = 75 * time.Second
)

// Handlers are what a node serves in the platform's own form.
type Handlers struct{ Readiness, Directory http.Handler }

// Run serves until leave is closed and the requests in flight have ended, or
// until the context ends.
func (n *Node) Run(ctx context.Context, leave <-chan struct{}, h Handlers) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.log.Log(logrus.InfoLevel, telemetry.EventNodeStarted, logrus.Fields{"clients": n.settings.Clients, "incarnation": n.incarnation}, "node started")
	// Clients may be sent here as soon as a worker has told a peer that this node
	// is ready, so the addresses are listened on before.
	servers, err := n.listen(h)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	for _, worker := range []func(context.Context){n.mesh.Run, n.config.run, n.servers.run, n.register, n.housekeep, n.keepRows, n.rediscover} {
		wg.Go(func() { worker(ctx) })
	}
	select {
	case <-leave:
		n.leave(ctx)
	case <-ctx.Done():
	}
	shutdown, done := context.WithTimeout(context.WithoutCancel(ctx), leaveMargin/2)
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

// takesStreams reports whether a stream that begins now is likely to end before
// the node does.
func (n *Node) takesStreams() bool {
	if !n.leaving.Load() {
		return true
	}
	grace := time.Duration(n.grace.Load())
	since := time.Since(time.Unix(0, n.leavingSince.Load()))
	return grace == 0 || since < time.Duration(streamsUntil*float64(grace))
}

// leave waits until the requests in flight have ended.
func (n *Node) leave(ctx context.Context) {
	started := time.Now()
	n.leavingSince.Store(started.UnixNano())
	n.leaving.Store(true)
	n.mesh.Announce()
	n.log.Log(logrus.InfoLevel, telemetry.EventNodeLeaving, logrus.Fields{"in_flight": n.inFlight.Load()}, "node is leaving")
	grace := time.Duration(n.grace.Load())
	end := started.Add(max(grace-leaveMargin, 0))
	if grace == 0 {
		end = started.Add(time.Hour)
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		if time.Since(started) >= leaveAtLeast && n.inFlight.Load() == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (n *Node) listen(h Handlers) ([]*http.Server, error) {
	node := mux.NewRouter()
	node.HandleFunc(statePath, n.serveState).Methods(http.MethodGet)
	operators := mux.NewRouter()
	operators.Handle("/metrics", n.metrics).Methods(http.MethodGet)
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
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			n.log.LogError(logrus.ErrorLevel, telemetry.EventListenFailed, err, logrus.Fields{"address": s.address}, "address cannot be listened on")
			return nil, newError(CodeListen).Errorf("listening on %s: %v", s.address, err)
		}
		server := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: quietLog()}
		list = append(list, server)
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				n.log.LogError(logrus.ErrorLevel, telemetry.EventListenFailed, err, logrus.Fields{"address": s.address}, "server ended")
			}
		}()
	}
	return list, nil
}

// serveClient counts the requests in flight around the gateway.
func (n *Node) serveClient(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	n.gateway.ServeHTTP(w, r)
}

// housekeep drops state that has expired.
func (n *Node) housekeep(ctx context.Context) {
	ticker := time.NewTicker(housekeeping)
	defer ticker.Stop()
	flush := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		n.fleet.Expire(now)
		n.pool.Retain(now, func(s backendconn.Server) bool { return n.keeps(s) })
		n.readPeers(ctx, now)
		if flush++; flush%10 == 0 {
			n.log.Flush()
		}
	}
}

func (n *Node) keeps(s backendconn.Server) bool {
	listed := n.fleet.Server(s.ID)
	return listed != nil && listed.Born == s.Born && listed.Address == s.Address
}
