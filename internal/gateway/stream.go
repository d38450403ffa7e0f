package gateway

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/overload"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

const (
	// engineWait is how long a request waits for an engine when none is usable.
	// Servers that restart are listed again within two seconds.
	engineWait = 1500 * time.Millisecond
	// enginePoll is how often it looks.
	enginePoll = 50 * time.Millisecond
	// maxRefusals bounds the engines that may refuse one request as full.
	maxRefusals = 3
	// maxAbsent bounds the engines that may turn out to be gone or replaced.
	maxAbsent = 8
	// maxLosses bounds the engines that a stream may lose. Engines that died do
	// not count as attempts of the route, but a stream that loses so many is
	// likely to be the cause.
	maxLosses = 6
	// noEngineReturn is when a client may come back if no engine is left. Engines
	// restart within seconds.
	noEngineReturn = 400 * time.Millisecond
)

// streamState is what a stream carries from attempt to attempt.
type streamState struct {
	*exchange
	last   int64 // id of the last event that the client has
	opened bool  // the head has been passed on
	// copy is the copy of the run that was lost last, if there is one.
	copy *runCopy
	// lostAt is the time of the last event before a loss; zero while none is open.
	lostAt time.Time
	way    string // in which the present attempt goes on
	// failure is the newest whole answer with a failure, to be passed on if no
	// other engine does better.
	failure *failure
	write   *http.ResponseController
}

type failure struct {
	status int
	header http.Header
	body   []byte
}

// result is the end of one attempt.
type result int

const (
	resultEnded  result = iota // the answer is complete
	resultGone                 // the client has left or time is up
	resultNotRun               // the engine did not run the request
	resultFailed               // the engine may have run it and failed
)

// stream serves a request that is answered by a series of events.
func (e *exchange) stream() {
	st := &streamState{exchange: e, last: e.call.After, write: http.NewResponseController(e.w)}
	losses := 0
	if st.last > 0 {
		e.g.locate(e.ctx, e.service.Name, e.call.Prompt.Part)
	}
	for {
		now := time.Now()
		if e.left(now) <= 0 {
			st.fail("out of time")
			return
		}
		if losses > 0 {
			e.waitForCause(now)
			now = time.Now()
		}
		if losses > 0 && e.crashesServers(now) {
			st.fail("the request crashes backend servers")
			return
		}
		server, backup, attempt, refused := st.place(now)
		if refused != nil {
			st.refuse(refused)
			return
		}
		if e.arrived() > 0 && !e.g.Budgets.Take(now, e.service.Name) {
			st.fail("the retry budget is used up")
			return
		}
		switch st.run(server, backup, attempt) {
		case resultEnded:
			if e.g.crashes.any() {
				e.g.crashes.clear(e.fingerprint())
			}
			e.done("served", http.StatusOK, "")
			return
		case resultGone:
			if e.clientGone() {
				e.done("client_gone", 0, "")
				return
			}
			st.fail("out of time")
			return
		case resultNotRun:
			e.refused++
			if e.refused-e.absent >= maxRefusals+losses || e.absent >= maxAbsent {
				st.fail("engines refuse the request as full")
				return
			}
		case resultFailed:
			losses++
			if !e.route.Resumable || losses >= min(maxLosses, max(1, e.route.Attempts)) {
				st.fail("too many engines failed")
				return
			}
		}
	}
}

// fail ends a stream that cannot go on.
func (st *streamState) fail(reason string) {
	st.refuse(&refusal{reason, retryAfter(400 * time.Millisecond)})
}

// refuse ends a stream that is not placed. A client that has part of the answer
// sees a broken connection, and may come back with the last event it has.
func (st *streamState) refuse(r *refusal) {
	reason := r.reason
	if st.opened {
		st.done("broken", 0, reason)
		panic(http.ErrAbortHandler)
	}
	if f := st.failure; f != nil && st.sent > 0 {
		st.pass(f)
		st.done("failed", f.status, reason)
		return
	}
	st.giveUp(reason, r.retryAfter)
}

// pass sends a backend server's own failure to the client.
func (e *exchange) pass(f *failure) {
	passHead(e.w, f.header)
	e.w.WriteHeader(f.status)
	_, _ = e.w.Write(f.body) // the client is gone if this fails
}

// memory is the room of one engine of the service in tokens; 0 if unknown.
func (e *exchange) memory() int {
	if e.service.Engine == nil {
		return 0
	}
	return e.service.Engine.CacheTokens
}

// Reasons for which a stream is not placed.
const (
	refusalNoEngine  = "no engine is available"
	refusalLongQueue = "engines cannot begin in time"
	refusalNoRoom    = "no engine has enough free memory"
)

// refusal says why a stream is not placed, and when its client may come back.
type refusal struct {
	reason     string
	retryAfter time.Duration
}

// place chooses the engine of the next attempt and the one that holds its copy,
// or refuses the stream.
func (st *streamState) place(now time.Time) (server, backup *fleet.Server, a Attempt, refused *refusal) {
	if c := st.copy; c != nil {
		st.copy = nil
		if st.g.Fleet.Takes(c.holder, now) {
			a.CopyAt, a.CopyOf = c.source, c.name
			st.way = wayCopy
			return c.holder, st.backupFor(now, c.holder), a, nil
		}
	}
	st.way = wayAgain
	until := now.Add(min(engineWait, st.left(now)))
	for {
		now = time.Now()
		choice, found := st.g.Fleet.Engine(now, st.service.Name, st.memory(), st.call.Prompt, st.exclude)
		if !found && len(st.exclude) > 0 {
			choice, found = st.g.Fleet.Engine(now, st.service.Name, st.memory(), st.call.Prompt, nil)
		}
		if found {
			if refused := st.admit(now, choice); refused != nil {
				return nil, nil, a, refused
			}
			return choice.Server, st.backupFor(now, choice.Server), a, nil
		}
		if !now.Before(until) {
			return nil, nil, a, &refusal{refusalNoEngine, retryAfter(noEngineReturn)}
		}
		select {
		case <-time.After(enginePoll):
		case <-st.ctx.Done():
			return nil, nil, a, &refusal{refusalNoEngine, retryAfter(noEngineReturn)}
		}
	}
}

// admit refuses a stream whose engine would begin too late. One of which the
// client has a part goes on whatever it has to wait.
func (st *streamState) admit(now time.Time, c fleet.Choice) *refusal {
	if st.opened {
		return nil
	}
	// The client's own time counts: that of the route changes with the configuration.
	waited := time.Duration(0)
	if st.call.Timeout > 0 {
		waited = st.g.Overload.Waited(now, st.route.Name, st.call.Timeout-now.Sub(st.started))
	}
	engines := st.g.Fleet.Count(now, st.service.Name)
	_, peers := st.g.Budgets.Others(st.service.Name)
	v := st.g.Overload.Decide(now, overload.Offer{
		Team: st.team, Work: c.Prefill, Wait: c.Wait, Free: c.Free, Target: st.route.Target, Left: st.left(now),
		Late:      waited+c.Prefill > st.route.Target && st.route.Target > 0,
		Continues: st.sent > 0 || st.call.After > 0,
		Readers:   float64(engines) / float64(peers+1),
	}, rand.Float64())
	if v.Admit {
		return nil
	}
	st.note("turned away: wait=%dms limit=%dms free=%.2f retry after %dms", c.Wait.Milliseconds(), v.Limit.Milliseconds(), c.Free, v.RetryAfter.Milliseconds())
	reason := refusalLongQueue
	if v.Full {
		reason = refusalNoRoom
	}
	return &refusal{reason, v.RetryAfter}
}

// copied reports whether the stream's runs have copies.
func (st *streamState) copied() bool {
	return st.route.Resumable && fleet.Copied(st.g.ResumeWeight.Load(), st.call.Prompt)
}

func (st *streamState) backupFor(now time.Time, primary *fleet.Server) *fleet.Server {
	if st.service.Engine == nil || !st.service.Engine.Backups || !st.copied() {
		return nil
	}
	return st.g.Fleet.Backup(now, primary, st.memory(), st.call.Prompt, st.exclude)
}

// run makes one attempt.
func (st *streamState) run(s, backup *fleet.Server, a Attempt) result {
	now := time.Now()
	e, g := st.exchange, st.g
	a.Server, a.Team, a.Timeout, a.After = s.ID, e.team, e.left(now), st.last
	a.Urgent = st.opened || e.sent > 0 || e.call.After > 0
	prompt := e.call.Prompt
	if a.CopyOf != "" {
		prompt.Done = prompt.Tokens
	}
	placed := fleet.Placed{
		Run: g.runNumber(), Server: s.ID, Part: prompt.Part,
		Tokens: prompt.Tokens + prompt.Output, Prefill: g.Fleet.PrefillOn(s, prompt),
	}
	if backup != nil {
		a.Backup, placed.Backup = backup.Address, backup.ID
	}
	c, stop, err := e.open(e.ctx, s, streamFresh)
	if err != nil {
		return st.unsent(s, err)
	}
	defer stop()
	wait := g.Fleet.FirstToken(s, now, prompt)
	g.Fleet.Start(now, g.Self, placed)
	g.Announce.Placed(placed)
	defer func() {
		g.Fleet.End(g.Self, placed)
		g.Announce.Ended(placed)
	}()
	e.note("to %s copy=%t backup=%s wait=%dms after=%d reused=%t", s.ID, a.CopyOf != "", placed.Backup, wait.Milliseconds(), st.last, c.Reused())

	watch := &streamWatch{g: g, st: st, server: s, mark: s.Mark(), expected: wait}
	response, err := c.Exchange(e.ctx, &backendconn.Request{
		Method: e.call.Method, Target: e.call.Target, Host: e.call.Host,
		Header: g.Codec.Encode(e.call, a), Body: e.call.Body,
		Owns:  func(h http.Header) bool { return g.Codec.Owns(e.call, h) },
		Heard: func(now time.Time) { g.Fleet.Heard(s, now) },
		Watch: watch.check,
	})
	if err != nil {
		g.Pool.Close(c)
		return st.broke(s, nil, err, false)
	}
	answer := g.Codec.Answer(response.StatusCode, response.Header)
	if answer.NotRun {
		_, _ = io.CopyN(io.Discard, response.Body, 4<<10) // a short text; the connection is not kept if it is longer
		g.Pool.Put(addressOf(s), c, response)
		e.note("not run, status %d", response.StatusCode)
		switch {
		case answer.Replaced:
			e.absent++
			g.lostBy(s, fleet.LossReplaced, errReplaced)
		case a.CopyOf == "":
			g.Fleet.Full(s, time.Now())
		default:
			return resultNotRun // the copy is not there, but the engine is
		}
		e.exclude = append(e.exclude, s.ID)
		return resultNotRun
	}
	if response.StatusCode >= 300 || !answer.Whole {
		return st.failed(s, c, response, answer)
	}
	return st.forward(s, c, response, watch, newProtection(st, s, backup, placed))
}

// unsent handles a connection that could not be opened: nothing was sent.
func (st *streamState) unsent(s *fleet.Server, err error) result {
	if st.clientGone() {
		return resultGone
	}
	st.absent++
	st.unreached++
	st.note("connect %s: %v", s.ID, err)
	st.g.lost(s, err)
	st.exclude = append(st.exclude, s.ID)
	return resultNotRun
}

// broke handles an attempt whose connection failed, so that the engine may have
// run the request.
func (st *streamState) broke(s *fleet.Server, p *protection, err error, flowing bool) result {
	st.sent++
	if st.clientGone() || errors.Is(err, errGivenUp) {
		return resultGone
	}
	st.note("lost %s: %v", s.ID, err)
	st.g.Log.LogError(logrus.WarnLevel, telemetry.EventAttemptLost, err, logrus.Fields{
		telemetry.FieldRequest: st.call.ID, telemetry.FieldBackend: s.ID, "after": st.last, "flowing": flowing, "attempts": st.sent,
	}, "attempt lost")
	if flowing { // there is no copy before the first event
		st.copy = p.usable()
	}
	if st.lostAt.IsZero() {
		st.lostAt = time.Now()
	}
	switch {
	case backendconn.CodeOf(err) == backendconn.CodeStalled:
		// The engine lives and serves others: it preempted this run, or is slow.
		st.g.Fleet.Result(s, false)
		st.exclude = append(st.exclude, s.ID)
		return resultFailed
	case backendconn.CodeOf(err) == backendconn.CodeSilent:
		st.g.lost(s, err)
	case st.g.resetOnly(s, err):
		// The engine may go on with the request. One that began from a copy holds
		// the prompt.
		if st.way == wayCopy {
			st.g.Fleet.Holds(time.Now(), s, map[uint64]int{st.call.Prompt.Part: st.call.Prompt.Tokens})
		}
		return resultFailed
	}
	st.exclude = append(st.exclude, s.ID)
	if !flowing {
		st.crashed(s)
	}
	return resultFailed
}

// failed keeps an engine's answer with a failure.
func (st *streamState) failed(s *fleet.Server, c *backendconn.Conn, response *http.Response, answer Answer) result {
	st.sent++
	body, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	if err != nil {
		st.g.Pool.Close(c)
	} else {
		st.g.Pool.Put(addressOf(s), c, response)
		if answer.Whole && response.StatusCode >= 300 {
			st.failure = &failure{response.StatusCode, response.Header, body}
		}
	}
	st.note("%s answered status %d", s.ID, response.StatusCode)
	st.g.Fleet.Result(s, false)
	st.exclude = append(st.exclude, s.ID)
	if response.StatusCode < http.StatusInternalServerError && response.StatusCode >= 300 && st.failure != nil && !st.opened {
		st.pass(st.failure)
		st.opened = true
		return resultEnded
	}
	return resultFailed
}
