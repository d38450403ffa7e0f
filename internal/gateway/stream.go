package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
	"github.com/yuccahatch/yuccahatch/internal/routing"
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
	// longestQueue is the part of a request's time that it may spend in a queue.
	longestQueue = 0.6
)

// streamState is what a stream carries from attempt to attempt.
type streamState struct {
	*exchange
	last   int64 // id of the last event that the client has
	opened bool  // the head has been passed on
	// copyAt is the engine that holds a copy of the run, if any.
	copyAt *fleet.Server
	// lostAt is the time of the last event before a loss; zero while none is open.
	lostAt time.Time
	way    string
	events int
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
		server, backup, attempt, ok := st.place(now)
		if !ok {
			st.fail("no engine is available")
			return
		}
		if e.sent+e.refused > 0 && !e.g.Budgets.Take(now, e.service.Name) {
			st.fail("the retry budget is used up")
			return
		}
		switch st.run(server, backup, attempt) {
		case resultEnded:
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

// fail ends a stream that cannot go on. A client that has part of the answer
// sees a broken connection, and may come back with the last event it has.
func (st *streamState) fail(reason string) {
	if st.opened {
		st.done("broken", 0, reason)
		panic(http.ErrAbortHandler)
	}
	if f := st.failure; f != nil && st.sent > 0 {
		st.pass(f)
		st.done("failed", f.status, reason)
		return
	}
	st.giveUp(reason, retryAfter(400*time.Millisecond))
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

// place chooses the engine of the next attempt and the one that holds its copy.
func (st *streamState) place(now time.Time) (server, backup *fleet.Server, a Attempt, ok bool) {
	if c := st.copyAt; c != nil {
		st.copyAt = nil
		if st.g.Fleet.Takes(c, now) {
			a.CopyAt, a.CopyOf = c.Address, string(st.call.ID)
			st.way = wayCopy
			return c, st.backupFor(now, c), a, true
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
			if !st.opened && choice.Wait > time.Duration(longestQueue*float64(st.left(now))) {
				return nil, nil, a, false
			}
			return choice.Server, st.backupFor(now, choice.Server), a, true
		}
		if !now.Before(until) {
			return nil, nil, a, false
		}
		select {
		case <-time.After(enginePoll):
		case <-st.ctx.Done():
			return nil, nil, a, false
		}
	}
}

func (st *streamState) backupFor(now time.Time, primary *fleet.Server) *fleet.Server {
	if st.service.Engine == nil || !st.service.Engine.Backups || !st.route.Resumable {
		return nil
	}
	return st.g.Fleet.Backup(now, primary, st.memory(), st.call.Prompt, st.exclude)
}

// run makes one attempt.
func (st *streamState) run(s, backup *fleet.Server, a Attempt) result {
	now := time.Now()
	e, g := st.exchange, st.g
	a.Server, a.Team, a.Timeout, a.After = s.ID, e.team, e.left(now), st.last
	a.Urgent = st.opened || e.call.After > 0
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
	wait := g.Fleet.QueueWait(s, now) + placed.Prefill
	g.Fleet.Start(now, g.Self, placed)
	g.Announce.Placed(placed)
	defer func() {
		g.Fleet.End(time.Now(), g.Self, placed)
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
		return st.broke(s, nil, err) // there is no copy before the first event
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
	return st.forward(s, backup, c, response, placed, watch)
}

// unsent handles a connection that could not be opened: nothing was sent.
func (st *streamState) unsent(s *fleet.Server, err error) result {
	if st.clientGone() {
		return resultGone
	}
	st.absent++
	st.note("connect %s: %v", s.ID, err)
	st.g.lost(s, err)
	st.exclude = append(st.exclude, s.ID)
	return resultNotRun
}

// broke handles an attempt whose connection failed, so that the engine may have
// run the request.
func (st *streamState) broke(s, backup *fleet.Server, err error) result {
	st.sent++
	if st.clientGone() || errors.Is(err, errGivenUp) {
		return resultGone
	}
	st.note("lost %s: %v", s.ID, err)
	st.g.lost(s, err)
	st.exclude = append(st.exclude, s.ID)
	st.copyAt = backup
	if st.lostAt.IsZero() {
		st.lostAt = time.Now()
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

// forward passes events on as they arrive until the answer ends or breaks off.
func (st *streamState) forward(s, backup *fleet.Server, c *backendconn.Conn, response *http.Response, placed fleet.Placed, watch *streamWatch) result {
	var events eventReader
	buf := make([]byte, 4<<10)
	for {
		n, err := response.Body.Read(buf)
		if n > 0 {
			events.add(buf[:n])
			if r, ok := st.deliver(&events, response.Header, placed, watch); !ok {
				st.sent++
				g := st.g
				g.Pool.Close(c)
				if r == resultFailed {
					g.Fleet.Result(s, false)
					st.exclude = append(st.exclude, s.ID)
				}
				return r
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF) && !events.partial():
			st.sent++
			st.open(response.Header)
			st.g.Pool.Put(addressOf(s), c, response)
			st.g.Fleet.Result(s, true)
			return resultEnded
		default:
			st.g.Pool.Close(c)
			if !watch.flowing {
				backup = nil // there is no copy before the first event
			}
			return st.broke(s, backup, c.BodyError(err))
		}
	}
}

// open passes the head of the first run on.
func (st *streamState) open(h http.Header) {
	if st.opened {
		return
	}
	st.opened = true
	passHead(st.w, h)
	st.w.WriteHeader(http.StatusOK)
}

// deliver writes the whole events that have arrived. The numbers of events rise
// by one, so a number that does not follow is a fault of the engine.
func (st *streamState) deliver(events *eventReader, head http.Header, placed fleet.Placed, watch *streamWatch) (result, bool) {
	wrote := false
	for {
		ev, ok := events.next()
		if !ok {
			break
		}
		if ev.id != st.last+1 {
			st.note("event %d after %d from %s", ev.id, st.last, placed.Server)
			return resultFailed, false
		}
		st.open(head)
		if _, err := st.w.Write(ev.raw); err != nil {
			return resultGone, false
		}
		st.last = ev.id
		st.events++
		wrote = true
	}
	if !wrote {
		return 0, true
	}
	if err := st.write.Flush(); err != nil {
		return resultGone, false
	}
	st.progress(placed, watch)
	return 0, true
}

// progress notes the first event of a run.
func (st *streamState) progress(placed fleet.Placed, watch *streamWatch) {
	if watch.flowing {
		return
	}
	watch.flowing = true
	now := time.Now()
	st.g.Fleet.First(now, st.g.Self, placed)
	st.g.Announce.First(placed)
	if st.lostAt.IsZero() {
		st.g.Metrics.first.RecordDuration(now.Sub(st.started))
		st.note("first event")
		return
	}
	resume := now.Sub(st.lostAt)
	st.g.Metrics.resumes[st.way].Inc(1)
	st.g.Metrics.resume.RecordDuration(resume)
	st.note("resumed by %s in %dms", st.way, resume.Milliseconds())
	st.lostAt = time.Time{}
}

// streamFresh is the longest silence of a connection that carries a stream. A
// stream may be sent again, so a dead connection only costs time.
const streamFresh = 10 * time.Second

// streamWatch decides how long a stream waits for its engine.
type streamWatch struct {
	g        *Gateway
	st       *streamState
	server   *fleet.Server
	mark     uint32
	expected time.Duration // until the first event
	flowing  bool
	// checked is the silence at which the engine last proved to be alive.
	checked time.Duration
	probes  int
}

const (
	// firstSlack is what the first event may be later than expected before the
	// engine is asked for its state.
	firstSlack = 900 * time.Millisecond
	// quietGap is the silence after which a stream's engine is asked, if its
	// route does not say how long a pause may be.
	quietGap = 300 * time.Millisecond
	// quietPart is the same as a part of the route's longest pause.
	quietPart = 0.42
	// stallParts is the number of longest pauses after which a stream goes on
	// elsewhere though its engine answers.
	stallParts = 2.0
	// suspectGap is the silence after which an engine in a data centre that was
	// just lost is asked.
	suspectGap = 120 * time.Millisecond
	// maxFirstProbes bounds the questions to an engine that does not begin.
	maxFirstProbes = 5
)

// check implements backendconn.Watch.
func (w *streamWatch) check(now time.Time, idle time.Duration) error {
	if !now.Before(w.st.end) {
		return errGivenUp
	}
	if idle <= w.checked {
		w.checked = 0 // bytes have arrived since
	}
	if w.server.Gone(w.mark) {
		return w.silent(idle, "found lost by another request")
	}
	limit := w.limit()
	if w.g.Fleet.ZoneLost(w.server, now) {
		limit = min(limit, suspectGap)
	}
	if w.flowing && idle > time.Duration(stallParts*float64(w.route().MaxGap)) && w.route().MaxGap > 0 {
		return w.silent(idle, "stalled")
	}
	if idle-w.checked < limit {
		return nil
	}
	w.probes++
	if w.probes > maxFirstProbes && !w.flowing {
		return w.silent(idle, "does not begin")
	}
	if !w.g.probe(w.server) {
		return w.silent(idle, "does not answer")
	}
	w.checked = idle
	w.g.Fleet.Heard(w.server, time.Now())
	return nil
}

func (w *streamWatch) route() *routing.Route { return w.st.route }

func (w *streamWatch) limit() time.Duration {
	if !w.flowing {
		return w.expected + w.expected/2 + firstSlack
	}
	if gap := w.route().MaxGap; gap > 0 {
		return time.Duration(quietPart * float64(gap))
	}
	return quietGap
}

func (w *streamWatch) silent(idle time.Duration, why string) error {
	return backendconn.SilentError(idle, why)
}
