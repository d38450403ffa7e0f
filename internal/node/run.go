package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/orders"
	"github.com/yuccahatch/yuccahatch/internal/peer/caller"
	peernode "github.com/yuccahatch/yuccahatch/internal/peer/node"
	"github.com/yuccahatch/yuccahatch/internal/peer/operator"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

const (
	// headerTimeout limits the time to read request headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which idle connections are closed.
	idleTimeout = 60 * time.Second
	// drainInterval is how often a leaving node checks for requests in flight.
	drainInterval = 50 * time.Millisecond
	// closeTimeout limits the shutdown of the HTTP servers. After a complete drain
	// only idle connections remain. If there was no drain, or it was cut short,
	// answers that are still being sent may continue for this time.
	closeTimeout = 2 * time.Second
)

// Run serves until the node has left or ctx ends. The node leaves gracefully
// when leave is closed or the host list marks this host as leaving: Run then
// waits until no request is in flight. If ctx ends, requests in flight are cut
// off.
func (n *Node) Run(ctx context.Context, leave <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	servers := n.newServers()
	failed := make(chan error, 3)
	servers.serve(listeners, failed)
	var workers sync.WaitGroup
	n.startWorkers(ctx, &workers)
	n.events.Log(logrus.InfoLevel, telemetry.EventNodeStarted, logrus.Fields{
		"callers":   n.settings.Listen.Callers.String(),
		"operators": n.settings.Listen.Operators.String(),
		"nodes":     n.settings.Listen.Nodes.String(),
	}, "node started")

	select {
	case err = <-failed:
	case <-ctx.Done():
	case <-leave:
		n.leave(ctx, servers)
	case <-n.markedLeaving:
		n.leave(ctx, servers)
	}
	servers.close()
	cancel()
	workers.Wait()
	n.peers.Close()
	n.events.Log(logrus.InfoLevel, telemetry.EventNodeStopped, nil, "node stopped")
	n.events.Flush()
	return err
}

// startWorkers starts the background workers, each in its own goroutine.
func (n *Node) startWorkers(ctx context.Context, workers *sync.WaitGroup) {
	m := n.settings.Membership
	periodic := func(interval time.Duration, step func(context.Context)) {
		workers.Go(func() { runPeriodically(ctx, interval, step) })
	}
	periodic(m.HostListInterval.Duration, n.readHostList)
	periodic(m.HeartbeatInterval.Duration, n.sendHeartbeats)
	workers.Go(func() { n.sendEarlyHeartbeats(ctx) })
	periodic(m.HeartbeatInterval.Duration, n.tickMembership)
	periodic(n.settings.Contracts.PollInterval.Duration, n.pollContracts)
	periodic(admissionInterval, func(context.Context) { n.updateAdmission() })
	periodic(time.Second, func(context.Context) { n.events.Flush() })
	if n.certificates != nil {
		periodic(n.settings.Security.ReloadInterval.Duration, n.reloadCertificates)
	}
	workers.Go(func() { n.backends.Run(ctx) })
	workers.Go(func() { n.gate.Run(ctx) })
	if n.settings.Orders.Enabled {
		planner := n.newPlanner()
		periodic(orders.StepInterval, func(ctx context.Context) { n.stepPlanner(ctx, planner) })
	}
	workers.Go(func() { n.trail.Run(ctx) })
	workers.Go(func() { n.claims.Run(ctx) })
	workers.Go(func() { n.archive.Run(ctx) })
	periodic(time.Second, n.retainPeers)
	periodic(time.Second, n.reportCopies)
}

func (n *Node) reloadCertificates(context.Context) {
	changed, err := n.certificates.Reload()
	if err != nil {
		n.events.LogError(logrus.ErrorLevel, telemetry.EventCertificateFailed, err, nil, "certificate reload failed; keeping the previous certificates")
		return
	}
	if changed {
		n.events.Log(logrus.InfoLevel, telemetry.EventCertificateReloaded, nil, "certificates reloaded")
	}
}

// leave shuts the node down gracefully. It stops waiting when ctx ends or the time
// of the setting leave.limit, if positive, has passed.
func (n *Node) leave(ctx context.Context, servers *servers) {
	if limit := n.settings.Leave.Limit.Duration; limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	n.drain(ctx)
	servers.close()
	// Results that the table has not stored yet exist only in this process. Wait
	// requires that no call starts while it runs; the servers are closed by now.
	if err := n.calls.Wait(ctx); err != nil {
		n.events.LogError(logrus.ErrorLevel, telemetry.EventNodeLeaving, err, nil, "stopped waiting before all results of non-idempotent calls were stored; outcomes that are not stored remain unknown")
	}
}

// drain announces that the node is leaving and waits until it no longer accepts
// work and no request is in flight. The node still accepts work for the time of the
// setting leave.grace, because callers keep using addresses that they received
// before (see addressLifetime).
func (n *Node) drain(ctx context.Context) {
	n.mu.Lock()
	transitions := n.view.Leave(time.Now())
	n.mu.Unlock()
	n.observeTransitions(transitions)
	n.events.Log(logrus.InfoLevel, telemetry.EventNodeLeaving, logrus.Fields{"in_flight": n.runs.inFlight()}, "node is leaving")
	n.sendHeartbeats(ctx)
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.mu.Lock()
		accepts := n.view.AcceptsNewWork(time.Now())
		n.mu.Unlock()
		if !accepts && n.runs.inFlight() == 0 {
			return
		}
	}
}

type listeners struct{ callers, operators, nodes net.Listener }

func (n *Node) listen() (listeners, error) {
	var l listeners
	var err error
	if l.callers, err = n.listenOn(n.settings.Listen.Callers.String()); err != nil {
		return l, err
	}
	if l.operators, err = n.listenOn(n.settings.Listen.Operators.String()); err != nil {
		return l, err
	}
	l.nodes, err = n.listenOn(n.settings.Listen.Nodes.String())
	return l, err
}

func (n *Node) listenOn(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, newError(CodeStart).Wrapf(err, "listen on %s", address)
	}
	return listener, nil
}

type servers struct {
	callers, operators *http.Server
	nodes              *peernode.Server
}

func (n *Node) newServers() *servers {
	callers := caller.NewServer(n, caller.Limits{
		MaxBodyBytes:    n.settings.Limits.MaxBodyBytes,
		MaxOutputTokens: n.settings.Limits.MaxOutputTokens,
		MaxRequests:     n.settings.Limits.MaxConnections,
	})
	operators := operator.NewHandler(n.operatorConfig())
	return &servers{
		callers: &http.Server{
			Handler:           callers.Handler(),
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
		},
		operators: &http.Server{
			Handler:           operators,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
		},
		nodes: peernode.NewServer((*peerHandler)(n), n.certificates),
	}
}

func (s *servers) serve(l listeners, failed chan<- error) {
	serveHTTP := func(server *http.Server, listener net.Listener) {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}
	go serveHTTP(s.callers, l.callers)
	go serveHTTP(s.operators, l.operators)
	go func() {
		if err := s.nodes.Serve(l.nodes); err != nil {
			failed <- err
		}
	}()
}

func (s *servers) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = s.callers.Shutdown(ctx)
	_ = s.operators.Shutdown(ctx)
	s.nodes.Stop()
}
