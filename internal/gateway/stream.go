package gateway

import (
	"net/http"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
)

const (
	// engineWait is the maximum time that a request waits for an engine when none
	// is usable. Servers that restart are listed again within two seconds.
	engineWait = 1500 * time.Millisecond
	// enginePollInterval is how often a waiting request looks for a usable
	// server.
	enginePollInterval = 50 * time.Millisecond
	// maxRefusals limits the number of engines that may refuse one request as
	// full.
	maxRefusals = 3
	// maxUnavailable limits the number of attempts of one request that fail because
	// the engine is unreachable or was replaced.
	maxUnavailable = 8
	// maxLosses bounds the engines that a stream may lose. Engines that died do
	// not count as attempts of the route once the stream has begun, but a stream that
	// loses so many is likely to be the cause.
	maxLosses = 6
	// retryWait is the maximum time that a stream waits for the retry budget, and
	// retryPollInterval is how often it looks.
	retryWait         = 2 * time.Second
	retryPollInterval = 80 * time.Millisecond
	// noEngineRetryAfter is the value from which the Retry-After of an answer is
	// derived when no engine is usable. Engines restart within seconds.
	noEngineRetryAfter = 400 * time.Millisecond
)

// streamState is the state of a stream that is kept from attempt to attempt. The run
// of an attempt on one engine may have a copy on another engine, its backup, which is
// also called the holder of the copy. After the loss of the run, the stream resumes
// from the copy on that engine.
type streamState struct {
	*exchange
	version     string // software version that began the stream; empty if none has
	lastEventID int64  // id of the last event that the client has; 0 if it has none
	headSent    bool   // the head of the answer has been passed on
	// lostCopy is the copy of the run that was lost last, from which the next attempt
	// is to resume; nil if there is none.
	lostCopy *runCopy
	// lostAt is the time of the last event before a loss; zero while none is open.
	lostAt     time.Time
	resumeMode string // resumeFromCopy or resumeFromPrompt, for the current attempt
	// lastFailure is the latest complete answer with a failure status. It is
	// passed on if no later attempt succeeds.
	lastFailure *bufferedAnswer
	losses      int // engines that failed after they had received the request
	// lostTo lists the engines that failed the stream and may still be running. ended is the
	// number of those that have ended, which do not count as attempts of the route.
	lostTo  []*fleet.Server
	ended   int
	check   endCheck
	waiting engineWaiting
	// leftSilent is set if the current or the last run was given up because its engine was
	// silent for maxHold, although no other one could continue the stream.
	leftSilent      bool
	sound           bool   // a run of the stream has delivered events for soundAfter
	trialOf         uint64 // part for which the stream runs alone; 0 if there is none
	lossReported    bool   // the current run is given up because another request found its engine lost
	responseControl *http.ResponseController
}

// bufferedAnswer is a backend server's answer with its body in memory.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// result is the outcome of one attempt of a stream.
type result int

const (
	resultEnded       result = iota // the answer is complete
	resultAborted                   // the client has disconnected or the deadline has passed
	resultNotRun                    // the engine did not run the request
	resultFailed                    // the engine may have run the request, and failed
	resultNotRelayed                // another host did not accept the request
	resultUnconfirmed               // the answer had no event, and it is not known whether the stream is complete
)

// serveStream serves a request that is answered by a series of events.
func (e *exchange) serveStream() {
	st := &streamState{exchange: e, lastEventID: e.call.After, responseControl: http.NewResponseController(e.w)}
	if e.relayed != nil {
		st.takeOver(e.relayed)
	}
	if st.lastEventID > 0 && st.route.Resumable {
		if st.version == "" && !st.findVersion() {
			st.failStream("the version that began the stream is not known")
			return
		}
		if st.rolledBack(time.Now()) {
			st.failStream(reasonRolledBack)
			return
		}
		if st.lostCopy == nil && !st.canRelay() {
			e.g.locatePrompt(e.ctx, e.service.Name, st.version, e.call.Prompt.SuffixHash)
		}
	}
	defer st.endTrial()
	for {
		now := time.Now()
		if e.clientGone() {
			e.recordOutcome(outcomeClientGone, 0, "")
			return
		}
		if e.timeLeft(now) <= 0 {
			st.failStream("out of time")
			return
		}
		// A stream that has run for a while does not crash servers, whatever counts
		// against its content.
		if st.losses > 0 && !st.sound {
			e.waitForCrashCause(now)
			now = time.Now()
		}
		if st.losses > 0 && !st.sound && e.crashesServers(now) {
			st.addCrashCause(now)
			st.failStream(reasonCrashes)
			return
		}
		r, refused := st.runTried(now)
		if refused != nil && (st.awaitEndCheck(now) || st.awaitEngine(time.Now(), refused.reason)) {
			continue
		}
		if refused != nil {
			st.refuseStream(refused)
			return
		}
		switch r {
		case resultEnded:
			if st.lastEventID > e.call.After { // a rejection does not show that an engine can begin the answer
				e.recordAnswered(time.Now())
			}
			e.recordOutcome("served", http.StatusOK, "")
			return
		case resultAborted:
			if e.clientGone() {
				e.recordOutcome(outcomeClientGone, 0, "")
				return
			}
			st.failStream("out of time")
			return
		case resultNotRelayed, resultUnconfirmed:
		case resultNotRun:
			e.refusedCount++
			if st.awaitEndCheck(now) {
				continue
			}
			if st.check.asking || st.refusedTooOften() && !st.awaitEngine(time.Now(), refusalFull) {
				st.failStream(refusalFull)
				return
			}
		case resultFailed:
			st.losses++
			if st.attemptsLeft() <= 0 && !st.excuseEnded() {
				st.failStream(refusalEnginesFailed)
				return
			}
		}
	}
}

// failStream ends a stream that cannot continue.
func (st *streamState) failStream(reason string) {
	st.refuseStream(&refusal{reason, retryAfter(400 * time.Millisecond)})
}

// refuseStream ends a stream for which no further attempt is made. If the client has
// already received a part of the answer, its connection is aborted, and it may
// reconnect with the id of the last event that it received.
func (st *streamState) refuseStream(r *refusal) {
	reason := r.reason
	if st.headSent {
		st.recordOutcome(outcomeBroken, 0, reason)
		panic(http.ErrAbortHandler)
	}
	if f := st.lastFailure; f != nil && st.sentCount > 0 {
		st.writeAnswer(f)
		st.recordOutcome("failed", f.status, reason)
		return
	}
	st.fail(reason, r.retryAfter)
}

// writeAnswer sends a backend server's answer to the client.
func (e *exchange) writeAnswer(f *bufferedAnswer) {
	passHead(e.w, f.header)
	e.w.WriteHeader(f.status)
	_, _ = e.w.Write(f.body) // fails only if the client has disconnected
}

// run makes one attempt on s. backup is the engine that is to hold the copy of the
// run; it is nil if the run is to have no copy.
func (st *streamState) run(s, backup *fleet.Server, a Attempt) result {
	now := time.Now()
	st.lossReported = false
	e, g := st.exchange, st.g
	defer g.release(s)
	a.Server, a.Team, a.Timeout, a.After = s.ID, e.team, e.timeLeft(now), st.continueAfter()
	a.FromStart = a.After == 0 && (st.lastEventID > 0 || st.relayed != nil)
	a.Rank, a.Ranked = e.rank()
	a.Urgent = st.headSent || e.sentCount > 0 || e.call.After > 0
	prompt := e.call.Prompt
	prompt.Resumed, prompt.Rank = e.call.After > 0, a.Rank
	if a.CopyName != "" {
		prompt.CopiedTokens = prompt.Tokens
	}
	placed := fleet.Placement{
		Run: g.nextRunNumber(), Server: s.ID, SuffixHash: prompt.SuffixHash, Rank: prompt.Rank,
		Tokens: prompt.Tokens + prompt.MaxOutput, Prefill: g.Fleet.PrefillTime(s, prompt),
	}
	if backup != nil {
		a.Backup, placed.Backup = backup.Address, backup.ID
	}
	wait := g.Fleet.FirstToken(s, now, prompt)
	connected := false
	place := func() {
		g.Fleet.AddRun(now, g.Self, placed)
		g.Announce.RunPlaced(placed)
	}
	if prompt.Resumed {
		// When many hosts are lost, the others place the streams of returning clients at the
		// same moment, so these runs count before the connection is open. Other runs count
		// when it is: streams are refused for the work that a run is expected to cause, and a
		// host without a path to the engines causes none.
		place()
	}
	defer func() {
		g.Fleet.RemoveRun(g.Self, placed)
		switch {
		case connected:
			g.Announce.RunEnded(placed)
		case prompt.Resumed:
			g.Announce.RunNotSent(placed)
		}
	}()
	if !st.confirmVersion(s, a) {
		return resultNotRun
	}
	send := e.beginSend(string(s.ID))
	c, err := e.connect(e.ctx, s, streamMaxIdle)
	if err != nil {
		e.endSend(send, sendNotSent, 0, nil)
		return st.connectionFailed(s, err)
	}
	if connected = true; !prompt.Resumed {
		place()
	}
	e.addStep("to %s version=%s copy=%t backup=%s wait=%dms after=%d reused=%t", s.ID, g.Fleet.VersionOf(s), a.CopyName != "", placed.Backup, wait.Milliseconds(), a.After, c.Reused())

	watch := &streamWatch{g: g, st: st, server: s, lossCountAtStart: s.LossCount(), started: now, expected: wait}
	watch.identity = st.askIdentity(s, a)
	e.countSend()
	watch.count = e.countAttempt(now, s, g.Fleet.UsualFirstToken(s, now, prompt))
	defer func() { watch.count.Ignore(time.Now()) }()
	response, err := c.Exchange(e.ctx, &backendconn.Request{
		ID: e.call.ID, Method: e.call.Method, Target: e.call.Target, Host: e.call.Host,
		Header: g.Codec.Encode(e.call, a), Body: e.call.Body,
		Matches: func(h http.Header) bool { return g.Codec.IsAnswerTo(e.call, h) },
		OnRead:  func(now time.Time) { g.Fleet.RecordData(s, now) },
		Watch:   watch.check,
	})
	if err != nil {
		e.endSend(send, sendUnknown, 0, c)
		g.Pool.Close(c)
		recordLostStream(watch.count, err)
		return st.attemptLost(s, nil, err, false)
	}
	answer := g.readAnswer(s, response)
	if answer.NotExecuted {
		e.endSend(send, sendRefused, response.StatusCode, c)
		putAfterRefusal(g.Pool, addressOf(s), c, response)
		e.addStep("not run, status %d", response.StatusCode)
		switch {
		case answer.Replaced:
			e.unavailableCount++
			g.recordLoss(s, fleet.LossReplaced, errReplaced)
		case a.CopyName == "":
			g.Fleet.RecordFull(s, time.Now())
		default:
			return resultNotRun // the engine is running, but no longer has the copy
		}
		e.exclude = append(e.exclude, s.ID)
		st.keepUnconfirmed(s)
		return resultNotRun
	}
	e.endSend(send, sendAnswered, response.StatusCode, c)
	if response.StatusCode != http.StatusOK || !answer.Forwardable {
		if response.StatusCode >= http.StatusInternalServerError {
			watch.count.Failed(time.Now())
		}
		return st.answeredWithFailure(s, c, response, answer)
	}
	return st.forward(s, c, response, watch, newCopyManager(st, s, backup, placed))
}
