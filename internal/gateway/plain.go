package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/retryshare"
)

const (
	// callMaxIdle is the longest idle time after which a connection may be reused
	// for a call that must not run twice. If the network path failed while the
	// connection was idle, the outcome of the call would be unknown.
	callMaxIdle = 2500 * time.Millisecond
	// hedgeFraction is the fraction of the latency objective after which an
	// idempotent call is also sent to another server.
	hedgeFraction = 0.6
	// defaultHedgeDelay is the delay before the second request on a route
	// without a latency objective.
	defaultHedgeDelay = 250 * time.Millisecond
	// callSilenceLimit is how long a server may send nothing to a call before it counts
	// as silent. The call itself still waits for it, unless the server is known to be
	// gone: a running server may be silent for a second or so.
	callSilenceLimit = 500 * time.Millisecond
	// refusalPause is the shortest time after which a call is sent again to a server
	// that refused it as full. A server with a full queue has room again a few
	// milliseconds later, and the pause leaves that room to other calls first.
	refusalPause = 50 * time.Millisecond
	// serverWait is how long a call waits for a server when none is usable.
	serverWait = 250 * time.Millisecond
)

// reply is the outcome of one attempt of a call.
type reply struct {
	server *fleet.Server
	notRun bool
	// connectFailed reports that no connection to the server could be
	// opened.
	connectFailed bool
	err           error
	status        int
	header        http.Header
	body          []byte
	load          *fleet.Load // that the server reported; nil if it did not
	// rest is the part of a large body that has not been read yet; nil if body is whole.
	rest *answerRest
}

// succeeded reports whether the server answered the call with a status below
// 500.
func (r *reply) succeeded() bool { return r.err == nil && !r.notRun && r.status < 500 }

// sendOutcome returns what is known of the attempt, whose exchange ended with err.
func (r *reply) sendOutcome(err error) sendOutcome {
	switch {
	case r.notRun:
		return sendRefused
	case err != nil:
		return sendUnknown
	}
	return sendAnswered
}

// answered reports whether the server ran the call and the answer may be passed
// on.
func (r *reply) answered() bool { return r.err == nil && !r.notRun }

// serveOnce serves a call that must not run twice. The call is sent again only if
// the server answered that it did not run it, or if no connection could be opened.
func (e *exchange) serveOnce() {
	for {
		if e.serveThroughRelay() {
			return
		}
		now := time.Now()
		s, ok := e.chooseServer(now)
		if !ok && e.awaitRoom(now) {
			continue
		}
		if !ok {
			e.fail(e.noServerReason(), e.noServerRetryAfter())
			return
		}
		if !e.mayRetry(now) {
			e.giveBack(s)
			e.fail("the retry budget is used up", retryAfter(300*time.Millisecond))
			return
		}
		r := e.attempt(e.ctx, s, callMaxIdle)
		switch {
		case r.answered():
			e.sentCount++
			e.sendReply(r)
			return
		case r.notRun:
			e.countRefusal(r)
			if e.refusedCount > maxRefusals {
				e.fail(e.noServerReason(), e.noServerRetryAfter())
				return
			}
		default:
			e.sentCount++
			e.addStep("outcome unknown at %s: %v", s.ID, r.err)
			e.fail("the outcome of the call is unknown", 0)
			return
		}
	}
}

// serveIdempotent serves a call that may run more than once. It sends the call
// to a second server when the first one fails or is slow, and passes on the
// first successful answer.
func (e *exchange) serveIdempotent() {
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	replies := make(chan *reply, e.route.Attempts+maxRefusals+1)
	running := 0
	launch := func(p retryshare.Priority) bool {
		now := time.Now()
		if e.timeLeft(now) <= 0 || e.sentCount+running >= max(1, e.route.Attempts) || e.refusedCount > maxRefusals {
			return false
		}
		if p == retryshare.Optional && e.limited(now) || e.canRelay() {
			return false
		}
		e.optional = p == retryshare.Optional
		s, ok := e.chooseServer(now)
		if !ok {
			return false
		}
		if running+e.attemptsReceived() > 0 && !e.g.Budgets.Take(now, e.service.Name, p) {
			e.giveBack(s)
			return false
		}
		e.unavailable = append(e.unavailable, s.ID)
		running++
		go func() { replies <- e.attemptInBackground(ctx, s) }()
		return true
	}
	if e.serveThroughRelay() {
		return
	}
	if !launch(retryshare.Needed) {
		e.fail(e.noServerReason(), e.noServerRetryAfter())
		return
	}
	delay := time.Duration(hedgeFraction * float64(e.route.LatencyTarget))
	if delay <= 0 {
		delay = defaultHedgeDelay
	}
	hedge := time.NewTimer(delay)
	defer hedge.Stop()
	timeout := time.NewTimer(e.timeLeft(time.Now()))
	defer timeout.Stop()
	var last *reply
	for running > 0 {
		select {
		case r := <-replies:
			running--
			e.unavailable = slices.DeleteFunc(e.unavailable, func(id ident.BackendID) bool { return id == r.server.ID })
			if r.notRun {
				e.countRefusal(r)
			} else {
				e.sentCount++
				e.exclude = append(e.exclude, r.server.ID)
			}
			if r.succeeded() {
				e.sendReply(r)
				return
			}
			if r.answered() {
				last = r
				e.addStep("%s answered status %d", r.server.ID, r.status)
			} else if r.err != nil {
				e.addStep("%s: %v", r.server.ID, r.err)
			}
			if running == 0 && e.serveThroughRelay() {
				return
			}
			if !launch(retryshare.Needed) && running == 0 && e.awaitRoom(time.Now()) {
				launch(retryshare.Needed)
			}
		case <-hedge.C:
			if e.canRelay() { // the servers that run the call are out of reach
				cancel()
				e.sentCount += running
				if !e.serveThroughRelay() {
					e.fail(e.noServerReason(), e.noServerRetryAfter())
				}
				return
			}
			if launch(retryshare.Optional) {
				e.addStep("hedged")
			}
		case <-timeout.C:
			e.sentCount += running
			e.fail("out of time", 0)
			return
		case <-e.ctx.Done():
			e.recordOutcome(outcomeClientGone, 0, "")
			return
		}
	}
	if last != nil {
		e.sendReply(last)
		return
	}
	reason := "backend servers failed"
	if e.sentCount == 0 {
		reason = e.noServerReason()
	}
	e.fail(reason, e.noServerRetryAfter())
}

// countRefusal counts an attempt that did not run. A server that refused the call as
// full is not asked again at once: it would refuse it again, and the repeats of all
// hosts would use up the retry budget that other calls need.
func (e *exchange) countRefusal(r *reply) {
	e.refusedCount++
	if r.connectFailed {
		e.connectFailures++
		e.exclude = append(e.exclude, r.server.ID)
		return
	}
	e.refusedBy = append(e.refusedBy, r.server.ID)
	e.unavailable = append(e.unavailable, r.server.ID)
	e.addStep("%s refused the call", r.server.ID)
}

// noServerRetryAfter is the time after which a client whose call no server takes may
// retry: not before one of the servers accepts requests again.
func (e *exchange) noServerRetryAfter() time.Duration {
	now := time.Now()
	room := retryAfter(200 * time.Millisecond)
	if e.turnedAwayReason != "" {
		room = retryAfter(e.turnedAway)
	}
	return max(e.g.Fleet.BackoffLeft(now, e.service.Name), e.waitForTurn(now), room)
}

// noServerReason is the reason given to a client whose call no server takes.
func (e *exchange) noServerReason() string {
	if len(e.denied) > 0 {
		return refusalLimit
	}
	if e.turnedAwayReason != "" {
		return e.turnedAwayReason
	}
	if e.refusedCount > e.connectFailures {
		return "backend servers refuse the call"
	}
	return "no backend server is available"
}

// awaitRoom waits for refusalPause, up to twice as long, if servers have refused the
// call as full, and then allows another attempt at them. It does so once per call, and
// reports whether it did. The random part keeps calls that were refused together from
// returning together.
func (e *exchange) awaitRoom(now time.Time) bool {
	pause := retryAfter(refusalPause)
	if len(e.refusedBy) == 0 || e.awaitedRoom || e.timeLeft(now) < 4*pause {
		return false
	}
	e.awaitedRoom = true
	select {
	case <-time.After(pause):
	case <-e.ctx.Done():
		return false
	}
	e.unavailable = slices.DeleteFunc(e.unavailable, func(id ident.BackendID) bool { return slices.Contains(e.refusedBy, id) })
	e.refusedBy = nil
	return true
}

// bestServer returns the server with the lowest cost for a call, or nil. It prefers servers
// that have not failed the call.
func (e *exchange) bestServer(now time.Time) *fleet.Server {
	e.choosePool(now)
	if s := e.bestServerOf(now, e.pool); s != nil {
		return s
	}
	if other, ok := e.outsidePool(); ok {
		return e.bestServerOf(now, other)
	}
	return nil
}

func (e *exchange) bestServerOf(now time.Time, pool fleet.Pool) *fleet.Server {
	unavailable := slices.Concat(e.unavailable, e.denied)
	for _, exclude := range []fleet.Exclude{slices.Concat(e.exclude, unavailable), unavailable} {
		if choice, ok := e.g.Fleet.ChoosePlain(now, e.service.Name, pool, exclude); ok {
			return choice.Server
		}
	}
	return nil
}

// chooseServer chooses a server for a call, waiting up to serverWait when none
// is usable. It prefers servers that are not excluded, and returns none at once if
// the only ones left already run the call, refused it as full, or limit requests and allow
// none now.
func (e *exchange) chooseServer(now time.Time) (*fleet.Server, bool) {
	if s, decided := e.assign(now, e.optional); decided {
		return s, s != nil
	}
	until := now.Add(min(serverWait, e.timeLeft(now)))
	for {
		for s := e.bestServer(now); s != nil; s = e.bestServer(now) {
			if e.permitted(s, PurposeFits) {
				return s, true
			}
			if len(e.denied) >= maxDenials {
				break
			}
		}
		if e.awaitTurn(now, until) {
			now = time.Now()
			continue
		}
		if len(e.unavailable)+len(e.denied) > 0 || !now.Before(until) || e.g.Fleet.BackoffLeft(now, e.service.Name) > until.Sub(now) {
			return nil, false
		}
		select {
		case <-time.After(enginePollInterval):
		case <-e.ctx.Done():
			return nil, false
		}
		now = time.Now()
	}
}

// awaitTurn waits for the time at which a server that has denied the call accepts it, if that
// is not after until, and reports whether it did.
func (e *exchange) awaitTurn(now, until time.Time) bool {
	wait := e.waitForTurn(now)
	if wait <= 0 || now.Add(wait).After(until) {
		return false
	}
	select {
	case <-time.After(wait):
	case <-e.ctx.Done():
		return false
	}
	e.denied, e.turn = nil, time.Time{}
	return true
}

// reasonUnstated is the reason for replacing an answer whose status would state that the
// request did not run.
const reasonUnstated = "the server failed, and may have run the request"

// sendReply passes a server's answer on to the client and records the outcome. An answer
// whose status would state that the call did not run, although the server has not stated
// that, is replaced by one that states nothing.
func (e *exchange) sendReply(r *reply) {
	if e.onlyOnce() && statesNotRun(r.status) {
		if r.rest != nil {
			e.g.Pool.Close(r.rest.conn)
		}
		e.addStep("%s answered status %d", r.server.ID, r.status)
		e.fail(reasonUnstated, 0)
		return
	}
	if r.rest != nil {
		e.streamReply(r)
		return
	}
	e.writeAnswer(&bufferedAnswer{r.status, r.header, r.body})
	if r.succeeded() {
		e.recordAnswered(time.Now())
	}
	outcome := "served"
	if !r.succeeded() {
		outcome = "failed"
	}
	e.recordOutcome(outcome, r.status, "")
}
