package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
	"github.com/yuccahatch/yuccahatch/internal/reach"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// The network path of this host to the servers of a service; see package reach.

const (
	// controlTargets is the number of servers to which control connections are opened in
	// one check. Some of them may be lost by chance.
	controlTargets = 3
	// controlTimeout is the timeout of a control connection. It is far above the few
	// milliseconds that opening one takes.
	controlTimeout = 150 * time.Millisecond
	// controlAnswerTimeout is the time within which the server must answer a status check on
	// a control connection.
	controlAnswerTimeout = 250 * time.Millisecond
	// checkPoll is how often a request looks for the end of a check.
	checkPoll = 5 * time.Millisecond
)

// OnDialed records the outcome of an attempt to open a connection to a server. It is called
// by the connection pool.
func (g *Gateway) OnDialed(server backendconn.Server, err error) {
	s := g.Fleet.Server(server.ID)
	switch {
	case s == nil:
	case err == nil && g.Paths.Opened(s.Service):
		go g.checkPath(s.Service, g.Fleet.RandomServers(s.Service, []ident.BackendID{s.ID}, controlTargets))
	case err == nil:
	case g.Paths.Failed(time.Now(), s.Service, s.ID):
		go g.checkPath(s.Service, g.controls(s.Service))
	}
}

// pathSilence is the silence of a server to a request after which the path to it is in doubt.
const pathSilence = 400 * time.Millisecond

// noteSilence is called when a server has sent nothing to a request since a time. If no server
// of the service has sent anything since then, the host may have lost its path to them.
func (g *Gateway) noteSilence(s *fleet.Server, since time.Time) {
	if g.Fleet.ServiceDataSince(s.Service, since) {
		return
	}
	if g.Paths.Silent(time.Now(), s.Service, s.ID) {
		go g.checkPath(s.Service, g.controls(s.Service))
	}
}

// controls returns the servers to which control connections are opened.
func (g *Gateway) controls(service string) []*fleet.Server {
	return g.Fleet.ControlTargets(time.Now(), service, g.Paths.Unreached(service), controlTargets)
}

// checkPath opens control connections to servers of a service, and records whether the path
// to it is lost or back.
func (g *Gateway) checkPath(service string, targets []*fleet.Server) {
	sample := reach.Sample{}
	defer func() { g.endCheck(service, sample) }()
	defer g.recoverPanic("control connections")
	sample = g.openControls(targets)
}

func (g *Gateway) endCheck(service string, sample reach.Sample) {
	now := time.Now()
	change, lostAt := g.Paths.Checked(now, service, sample)
	fields := logrus.Fields{"service": service, "tried": sample.Tried, "opened": sample.Opened}
	switch change {
	case reach.PathLost:
		g.Metrics.pathsLost.Inc(1)
		g.Log.Log(logrus.WarnLevel, telemetry.EventPathLost, fields, "host has lost its path to the servers of a service")
		g.PathChanged()
	case reach.PathBack:
		g.Fleet.ForgetLosses(service, lostAt)
		fields["lost_ms"] = now.Sub(lostAt).Milliseconds()
		g.Log.Log(logrus.InfoLevel, telemetry.EventPathBack, fields, "host has its path to the servers of a service again")
		g.PathChanged()
	}
}

// awaitCheck waits until it is known whether the path to the servers of a service is lost.
func (e *exchange) awaitCheck() {
	for e.relayed == nil && e.g.Paths.Checking(e.service.Name) && !e.g.Paths.Lost(e.service.Name) {
		select {
		case <-time.After(checkPoll):
		case <-e.ctx.Done():
			return
		}
	}
}

// openControls opens connections to servers, all at once.
func (g *Gateway) openControls(targets []*fleet.Server) reach.Sample {
	opened := make(chan bool, len(targets))
	for _, s := range targets {
		go func() {
			ok := false
			defer func() { opened <- ok }()
			defer g.recoverPanic("control connection")
			ok = g.reaches(s)
		}()
	}
	sample := reach.Sample{Tried: len(targets)}
	for range targets {
		if <-opened {
			sample.Opened++
		}
	}
	return sample
}

// reaches reports whether a server answers a status check on a new connection. A device on
// the path may accept connections and reset them some time later, so that an open connection
// shows nothing. A server with a long queue does not answer in time: if the connection stays
// open, data of any server of the service shows that there is a path. Servers that limit
// requests are sent no check.
func (g *Gateway) reaches(s *fleet.Server) bool {
	method, target, known := g.statusCheck(s)
	if !known || g.Fleet.Limited(s) || g.Fleet.InBackoff(s, time.Now()) {
		return g.openControl(s)
	}
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	began := time.Now()
	c, err := g.Pool.OpenSettled(ctx, addressOf(s))
	if err != nil {
		return false
	}
	ctx, cancel = context.WithTimeout(context.Background(), controlAnswerTimeout)
	defer cancel()
	g.Metrics.probes.Inc(1)
	response, _, err := g.exchangeSmall(ctx, s, c, &backendconn.Request{
		Method: method, Target: target, Host: s.Address, Header: http.Header{}, Matches: g.Codec.IsOwnAnswer,
	})
	if response != nil && err == nil {
		g.Pool.Put(addressOf(s), c, response)
		return true
	}
	g.Pool.Close(c)
	return response != nil || ctx.Err() != nil && g.Fleet.ServiceDataSince(s.Service, began)
}

// statusCheck returns the call with which a server is asked for its state.
func (g *Gateway) statusCheck(s *fleet.Server) (method, target string, known bool) {
	table := g.Routes.Current()
	if table == nil {
		return "", "", false
	}
	service := table.Service(s.Service)
	switch {
	case service == nil:
		return "", "", false
	case service.Engine != nil: // which answers this call without a slot
		method, target = g.Codec.Probe()
		return method, target, true
	}
	return http.MethodGet, service.HealthPath, service.HealthPath != ""
}

// openControl opens a connection to a server, which is kept for the next request.
func (g *Gateway) openControl(s *fleet.Server) bool {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	return g.Pool.OpenIdle(ctx, addressOf(s)) == nil
}

// ProbePath looks for the end of the loss of a path: it opens a connection to one of the
// servers of the service. It is called again and again with the next number.
func (g *Gateway) ProbePath(service string, number int) {
	if servers := g.Fleet.OfService(service); len(servers) > 0 {
		g.openControl(servers[number%len(servers)])
	}
}

// pathConfirmed reports whether the failure to reach a server is evidence about the server.
// It opens connections to other servers of the service, if there are any: they cost less than
// a wrong belief about a crash, which would be taken over by all hosts.
func (g *Gateway) pathConfirmed(s *fleet.Server) bool {
	if g.Paths.Lost(s.Service) {
		return false
	}
	targets := g.Fleet.ControlTargets(time.Now(), s.Service, append(g.Paths.Unreached(s.Service), s.ID), controlTargets)
	if len(targets) == 0 {
		return g.Paths.Trusted(time.Now(), s.Service)
	}
	return g.openControls(targets).Sound()
}
