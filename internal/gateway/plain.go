package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
)

const (
	// callFresh is the longest silence of a connection that carries a call that
	// must not run twice: on one that has lost its path, the outcome would be
	// unknown.
	callFresh = 2500 * time.Millisecond
	// hedgePart is the part of the latency objective after which an idempotent
	// call is also sent to another server.
	hedgePart = 0.6
	// hedgeDefault is the same for a route without an objective.
	hedgeDefault = 250 * time.Millisecond
	// silentCall is the silence after which a call's server counts as lost.
	silentCall = 500 * time.Millisecond
	// maxAnswer bounds the body of an answer that is held in memory.
	maxAnswer = 8 << 20
	// serverWait is how long a call waits for a server when none is usable.
	serverWait = 250 * time.Millisecond
)

// reply is the end of one attempt of a call.
type reply struct {
	server *fleet.Server
	notRun bool
	// unreached replies come from a server that no connection was opened to.
	unreached bool
	err       error
	status    int
	header    http.Header
	body      []byte
}

// good reports whether the reply is the server's own answer and no failure.
func (r *reply) good() bool { return r.err == nil && !r.notRun && r.status < 500 }

// answered reports whether the reply may be passed on.
func (r *reply) answered() bool { return r.err == nil && !r.notRun }

// once serves a call that must not run twice. It is sent again only after a
// server's word, or the proof of a connection that was never opened, that it
// has not run.
func (e *exchange) once() {
	for {
		now := time.Now()
		s, ok := e.plainServer(now)
		if !ok {
			e.giveUp("no backend server is available", retryAfter(200*time.Millisecond))
			return
		}
		if e.arrived() > 0 && !e.g.Budgets.Take(now, e.service.Name) {
			e.giveUp("the retry budget is used up", retryAfter(300*time.Millisecond))
			return
		}
		r := e.try(e.ctx, s, callFresh)
		switch {
		case r.answered():
			e.sent++
			e.finish(r)
			return
		case r.notRun:
			e.countRefusal(r)
			e.exclude = append(e.exclude, s.ID)
			if e.refused > maxRefusals {
				e.giveUp("backend servers refuse the call", retryAfter(200*time.Millisecond))
				return
			}
		default:
			e.sent++
			e.note("outcome unknown at %s: %v", s.ID, r.err)
			e.giveUp("the outcome of the call is unknown", 0)
			return
		}
	}
}

// idempotent serves a call that may run more than once. A second server gets it
// when the first one fails or is slow, and the first good answer counts.
func (e *exchange) idempotent() {
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	replies := make(chan *reply, e.route.Attempts+maxRefusals+1)
	running := 0
	launch := func() bool {
		now := time.Now()
		if e.sent+running >= max(1, e.route.Attempts) || e.refused > maxRefusals {
			return false
		}
		s, ok := e.plainServer(now)
		if !ok {
			return false
		}
		if running+e.arrived() > 0 && !e.g.Budgets.Take(now, e.service.Name) {
			return false
		}
		e.exclude = append(e.exclude, s.ID)
		running++
		go func() { replies <- e.try(ctx, s, streamFresh) }()
		return true
	}
	if !launch() {
		e.giveUp("no backend server is available", retryAfter(200*time.Millisecond))
		return
	}
	delay := time.Duration(hedgePart * float64(e.route.Target))
	if delay <= 0 {
		delay = hedgeDefault
	}
	hedge := time.NewTimer(delay)
	defer hedge.Stop()
	timeout := time.NewTimer(e.left(time.Now()))
	defer timeout.Stop()
	var last *reply
	for running > 0 {
		select {
		case r := <-replies:
			running--
			switch {
			case r.notRun:
				e.countRefusal(r)
			default:
				e.sent++
			}
			if r.good() {
				e.finish(r)
				return
			}
			if r.answered() {
				last = r
				e.note("%s answered status %d", r.server.ID, r.status)
			} else if r.err != nil {
				e.note("%s: %v", r.server.ID, r.err)
			}
			launch()
		case <-hedge.C:
			if launch() {
				e.note("hedged")
			}
		case <-timeout.C:
			e.sent += running
			e.giveUp("out of time", 0)
			return
		case <-e.ctx.Done():
			e.done("client_gone", 0, "")
			return
		}
	}
	if last != nil {
		e.finish(last)
		return
	}
	e.giveUp("backend servers failed", retryAfter(200*time.Millisecond))
}

func (e *exchange) countRefusal(r *reply) {
	e.refused++
	if r.unreached {
		e.unreached++
	}
}

// plainServer chooses a server, waiting a little when none is usable.
func (e *exchange) plainServer(now time.Time) (*fleet.Server, bool) {
	until := now.Add(min(serverWait, e.left(now)))
	for {
		choice, ok := e.g.Fleet.Plain(now, e.service.Name, e.exclude)
		if !ok && len(e.exclude) > 0 {
			choice, ok = e.g.Fleet.Plain(now, e.service.Name, nil)
		}
		if ok {
			return choice.Server, true
		}
		if !now.Before(until) {
			return nil, false
		}
		select {
		case <-time.After(enginePoll):
		case <-e.ctx.Done():
			return nil, false
		}
		now = time.Now()
	}
}

// finish passes a server's answer on.
func (e *exchange) finish(r *reply) {
	e.pass(&failure{r.status, r.header, r.body})
	outcome := "served"
	if !r.good() {
		outcome = "failed"
	}
	e.done(outcome, r.status, "")
}

// try makes one attempt of a call.
func (e *exchange) try(ctx context.Context, s *fleet.Server, fresh time.Duration) *reply {
	g := e.g
	g.Fleet.Begin(s)
	defer g.Fleet.Done(s)
	r := &reply{server: s}
	c, stop, err := e.open(ctx, s, fresh)
	if err != nil {
		r.notRun, r.unreached = true, true
		if ctx.Err() == nil {
			g.lost(s, err)
		}
		return r
	}
	defer stop()
	now := time.Now()
	started := now
	mark := s.Mark()
	replaced := false
	response, err := c.Exchange(ctx, &backendconn.Request{
		Method: e.call.Method, Target: e.call.Target, Host: e.call.Host,
		Header: g.Codec.Encode(e.call, Attempt{Server: s.ID, Team: e.team, Timeout: e.left(now)}),
		Body:   e.call.Body,
		Owns:   func(h http.Header) bool { return g.Codec.Owns(e.call, h) },
		Heard:  func(now time.Time) { g.Fleet.Heard(s, now) },
		Watch: func(now time.Time, idle time.Duration) error {
			if !now.Before(e.end) {
				return errGivenUp
			}
			if s.Gone(mark) && idle > silentCall {
				return backendconn.SilentError(idle, "found lost by another request")
			}
			return nil
		},
	})
	if err == nil {
		r.status, r.header = response.StatusCode, response.Header
		answer := g.Codec.Answer(response.StatusCode, response.Header)
		r.notRun, replaced = answer.NotRun, answer.Replaced
		r.body, err = io.ReadAll(io.LimitReader(response.Body, maxAnswer))
		if err != nil {
			err = c.BodyError(err)
		}
		if err == nil && !framed(response) && g.refuses(ctx, s) {
			err = backendconn.ProtocolError("the answer has no length and ended with its server")
		}
		if answer.Load != nil {
			g.Fleet.Reported(s, time.Now(), *answer.Load)
		}
		if err == nil && !answer.Whole && !answer.NotRun {
			err = backendconn.ProtocolError("the answer bears no proof of its server")
		}
	}
	if err != nil {
		g.Pool.Close(c)
		if r.notRun {
			return r // the head already said so
		}
		r.err = err
		e.tryFailed(ctx, s, started, err)
		return r
	}
	g.Pool.Put(addressOf(s), c, response)
	if r.notRun {
		if replaced {
			g.lostBy(s, fleet.LossReplaced, errReplaced)
		} else {
			g.Fleet.Full(s, time.Now())
		}
		return r
	}
	g.Fleet.Result(s, r.status < 500)
	return r
}

// tryFailed records a failed attempt. One that was cancelled says nothing of
// its server unless the server had been silent for long.
func (e *exchange) tryFailed(ctx context.Context, s *fleet.Server, started time.Time, err error) {
	silent := time.Since(started) > silentCall && !e.g.Fleet.HeardSince(s, started)
	switch {
	case errors.Is(err, errGivenUp), ctx.Err() != nil && silent:
		e.g.Fleet.Result(s, false)
		if silent {
			e.g.lost(s, backendconn.SilentError(time.Since(started), "call not answered"))
		}
	case ctx.Err() != nil:
	default:
		e.g.Fleet.Result(s, false)
		e.g.lost(s, err)
		if e.g.refuses(ctx, s) {
			e.crashed(s)
		}
	}
}

// refuses reports whether nothing listens at a server's address any more.
func (g *Gateway) refuses(ctx context.Context, s *fleet.Server) bool {
	c, err := g.Pool.Get(ctx, addressOf(s), streamFresh)
	if err != nil {
		return backendconn.CodeOf(err) == backendconn.CodeConnect
	}
	g.Pool.Close(c)
	return false
}
