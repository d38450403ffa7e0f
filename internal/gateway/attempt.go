package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
)

// attemptInBackground makes one attempt of an idempotent call in a goroutine of its own.
// A panic there would end the process; it fails the attempt instead.
func (e *exchange) attemptInBackground(ctx context.Context, s *fleet.Server) (r *reply) {
	defer func() {
		if v := recover(); v != nil {
			e.g.logPanic("attempt", v)
			r = &reply{server: s, err: backendconn.NewProtocolError("internal error")}
		}
	}()
	return e.attempt(ctx, s, streamMaxIdle)
}

// attempt makes one attempt of a call.
func (e *exchange) attempt(ctx context.Context, s *fleet.Server, maxIdle time.Duration) *reply {
	g := e.g
	g.Fleet.BeginRequest(s)
	defer g.release(s)
	defer g.Fleet.EndRequest(s)
	r := &reply{server: s}
	started, sent := time.Now(), false
	defer func() { e.endAssigned(s, r, r.load, started, sent) }()
	send := e.beginSend(string(s.ID))
	c, err := e.connect(ctx, s, maxIdle)
	if err != nil {
		e.endSend(send, sendNotSent, 0, nil)
		r.notRun, r.connectFailed = true, backendconn.CodeOf(err) != backendconn.CodeBusy
		if r.connectFailed && ctx.Err() == nil {
			g.recordFailure(s, err)
		}
		return r
	}
	now := time.Now()
	started, sent = now, true
	goneCount := s.GoneCount()
	replaced, noted := false, false
	e.countSend()
	counted := e.countAttempt(now, s, callExpected)
	defer func() { recordCall(counted, r) }()
	response, err := c.Exchange(ctx, &backendconn.Request{
		ID: e.call.ID, Method: e.call.Method, Target: e.call.Target, Host: e.call.Host,
		Header:  g.Codec.Encode(e.call, Attempt{Server: s.ID, Team: e.team, Timeout: e.timeLeft(now)}),
		Body:    e.call.Body,
		Matches: func(h http.Header) bool { return g.Codec.IsAnswerTo(e.call, h) },
		OnRead:  func(now time.Time) { g.Fleet.RecordData(s, now) },
		Watch: func(now time.Time, idle time.Duration) error {
			if e.timeLeft(now) <= 0 {
				return errDeadline
			}
			if idle > pathSilence && !noted {
				noted = true
				g.noteSilence(s, started)
			}
			if s.GoneSince(goneCount) && idle > callSilenceLimit {
				return backendconn.NewSilentError(idle, "found gone by another request")
			}
			return nil
		},
	})
	if err == nil {
		replaced, err = e.readReply(r, c, response)
	}
	e.endSend(send, r.sendOutcome(err), r.status, c)
	if r.rest != nil {
		return r
	}
	if err != nil {
		g.Pool.Close(c)
		if r.notRun {
			return r // the head already states that the call did not run
		}
		r.err = err
		e.recordAttemptFailure(ctx, s, started, err)
		return r
	}
	if r.notRun {
		g.Pool.Put(addressOf(s), c, response)
		if replaced {
			g.recordLoss(s, fleet.LossReplaced, errReplaced)
		} else {
			g.Fleet.RecordFull(s, time.Now())
		}
		return r
	}
	g.Pool.Put(addressOf(s), c, response)
	g.Fleet.RecordResult(s, r.status < 500)
	return r
}

// readReply reads an answer into r, and reports whether it comes from another server. It
// returns an error if the answer may not be passed on. Of a large body it leaves the rest to
// be read through r.rest.
func (e *exchange) readReply(r *reply, c *backendconn.Conn, response *http.Response) (replaced bool, err error) {
	g, s := e.g, r.server
	r.status, r.header = response.StatusCode, response.Header
	answer := g.readAnswer(s, response)
	r.notRun = answer.NotExecuted
	r.body, err = readAnswerBody(response.Body)
	if errors.Is(err, errAnswerTooLarge) && answer.Forwardable && !answer.NotExecuted {
		r.rest = &answerRest{conn: c, response: response}
		return answer.Replaced, nil
	}
	if err != nil {
		err = c.BodyError(err)
	}
	if err == nil && !framed(response) && g.refusesConnections(s) {
		err = backendconn.NewProtocolError("answer without length or chunked encoding, and its server no longer accepts connections")
	}
	r.load = answer.Load
	if answer.Load != nil {
		g.Fleet.RecordLoad(s, time.Now(), *answer.Load)
	}
	if err == nil && !answer.Forwardable && !answer.NotExecuted {
		err = backendconn.NewProtocolError("answer without the server's proof, or with an encoded body")
	}
	return answer.Replaced, err
}

// recordAttemptFailure records a failed attempt. A cancelled attempt is no
// evidence against its server, unless the server sent nothing for longer than
// callSilenceLimit.
func (e *exchange) recordAttemptFailure(ctx context.Context, s *fleet.Server, started time.Time, err error) {
	silent := time.Since(started) > callSilenceLimit && !e.g.Fleet.DataSince(s, started)
	switch {
	case errors.Is(err, errDeadline), ctx.Err() != nil && silent:
		e.g.Fleet.RecordResult(s, false)
		if silent {
			e.g.recordFailure(s, backendconn.NewSilentError(time.Since(started), "call not answered"))
		}
	case ctx.Err() != nil:
	default:
		e.g.Fleet.RecordResult(s, false)
		e.g.recordFailure(s, err)
		if e.g.refusesConnections(s) {
			e.recordCrash(s)
		}
	}
}
