package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/overload"
)

// attemptsLeft returns the number of further engines that may run the stream.
func (st *streamState) attemptsLeft() int {
	if !st.route.Resumable {
		return 0
	}
	return min(maxLosses, max(1, st.route.Attempts)+st.ended) - st.losses
}

// mayMove reports whether a stream whose engine is running but makes no progress can
// resume elsewhere. Otherwise it keeps waiting: a slow stream is worth more than a broken
// one.
func (st *streamState) mayMove(now time.Time) bool {
	return st.attemptsLeft() > 1 && len(st.g.Fleet.Accepting(now, st.service.Name, st.version)) > 1 && st.g.Budgets.HasLeft(now, st.service.Name)
}

// reserveRetry takes a retry for the next attempt while the current one still waits for
// an engine that is silent, and reports whether another engine may continue the stream.
func (st *streamState) reserveRetry(now time.Time, current *fleet.Server) bool {
	if st.retryReserved {
		return true
	}
	if st.attemptsLeft() > 1 && st.canRelay() {
		return true // the other host counts the retry
	}
	isOther := func(s *fleet.Server) bool { return s != current }
	if st.attemptsLeft() <= 1 || !slices.ContainsFunc(st.g.Fleet.Accepting(now, st.service.Name, st.version), isOther) {
		return false
	}
	st.retryReserved = st.takeRetry(now) || st.g.Borrow(st.ctx, st.service.Name) && st.takeRetry(time.Now())
	return st.retryReserved
}

// awaitRetry reports whether a further attempt may be sent, like mayRetry. If this host
// has used up its share of the retry budget, it borrows from others, and otherwise waits
// until a part of its share is free again: a stream that pauses is worth more than one
// that breaks.
func (st *streamState) awaitRetry(now time.Time) bool {
	wait := retryWait - st.retryWaited
	if st.check.asking {
		wait = 0 // awaitEndCheck waits, without the permission for a server
	}
	until := now.Add(min(wait, st.timeLeft(now)))
	st.retryWaited = 0
	for {
		if st.mayRetry(now) || st.g.Borrow(st.ctx, st.service.Name) && st.mayRetry(time.Now()) {
			return true
		}
		if now = time.Now(); !now.Before(until) {
			return false
		}
		select {
		case <-time.After(retryPollInterval):
		case <-st.ctx.Done():
			return false
		}
		now = time.Now()
	}
}

// engineMemory returns the cache memory of each engine of the service, in tokens; 0
// if it is unknown.
func (e *exchange) engineMemory() int {
	if e.service.Engine == nil {
		return 0
	}
	return e.service.Engine.CacheTokens
}

// Reasons for which no engine is chosen for a stream.
const (
	refusalNoEngine  = "no engine is available"
	refusalFull      = "engines refuse the request as full"
	refusalLongQueue = "engines cannot begin in time"
	refusalNoRoom    = "no engine has enough free memory"
	refusalLimit     = "backend servers limit requests"
	// refusalBusy: the engine that is to say whether the stream is complete accepts no request.
	refusalBusy = "the engine of the stream accepts no request"
	// refusalEnginesFailed: the stream has used up the engines that may run it.
	refusalEnginesFailed = "too many engines failed"
	// reasonRolledBack and reasonReplaced: the version that began the stream gets no more
	// requests.
	reasonRolledBack = "the version that began the stream was rolled back"
	reasonReplaced   = "the version that began the stream has been replaced"
)

// refusal is the reason for which a stream is refused, and the time after which its
// client may retry.
type refusal struct {
	reason     string
	retryAfter time.Duration
}

// place chooses the engine for the next attempt and the one that is to hold the copy
// of its run (nil for none), or returns the reason for which the stream is refused.
func (st *streamState) place(now time.Time) (server, backup *fleet.Server, a Attempt, refused *refusal) {
	switch s, busy := st.takeUnconfirmed(now); {
	case busy:
		return nil, nil, a, &refusal{refusalBusy, retryAfter(noEngineRetryAfter)}
	case s != nil:
		st.resumeMode = resumeFromPrompt
		return s, nil, a, nil
	}
	if st.endUnknown() {
		return nil, nil, a, &refusal{refusalEnginesFailed, retryAfter(noEngineRetryAfter)}
	}
	if c := st.lostCopy; c != nil {
		st.lostCopy = nil
		if st.g.Fleet.Accepts(c.holder, now) && st.permitted(c.holder, PurposeFits) {
			a.CopySource, a.CopyName = c.source, c.name
			st.resumeMode = resumeFromCopy
			return c.holder, st.backupFor(now, c.holder), a, nil
		}
	}
	st.resumeMode = resumeFromPrompt
	until := now.Add(min(engineWait, st.timeLeft(now)))
	for {
		now = time.Now()
		if st.rolledBack(now) {
			return nil, nil, a, &refusal{reasonRolledBack, retryAfter(noEngineRetryAfter)}
		}
		choice, found := st.bestEngine(now)
		if !found && st.replaced() {
			return nil, nil, a, &refusal{reasonReplaced, retryAfter(noEngineRetryAfter)}
		}
		if found {
			if refused := st.admit(now, choice); refused != nil {
				return nil, nil, a, refused
			}
			if st.permitted(choice.Server, purposeOf(choice)) {
				return choice.Server, st.backupFor(now, choice.Server), a, nil
			}
			if len(st.denied) < maxDenials {
				continue
			}
		}
		backoff := st.g.Fleet.BackoffLeft(now, st.service.Name)
		if len(st.denied) > 0 {
			if !st.begun() || !now.Before(until) {
				return nil, nil, a, &refusal{refusalLimit, max(backoff, st.waitForTurn(now))}
			}
			st.denied = nil // the limits may allow a request after the pause
		} else if backoff > until.Sub(now) || !now.Before(until) {
			return nil, nil, a, &refusal{refusalNoEngine, max(backoff, retryAfter(noEngineRetryAfter))}
		}
		select {
		case <-time.After(max(enginePollInterval, min(backoff, until.Sub(now)))):
		case <-st.ctx.Done():
			return nil, nil, a, &refusal{refusalNoEngine, retryAfter(noEngineRetryAfter)}
		}
	}
}

// purposeOf returns the purpose of a permission for a request to the chosen engine.
func purposeOf(c fleet.Choice) Purpose {
	if c.FreeMemory < 0 {
		return PurposeTight
	}
	return PurposeFits
}

// begun reports whether an engine may have run the stream. It then waits for an engine
// whose limit allows a request; other requests are refused at once.
func (st *streamState) begun() bool { return st.headSent || st.sentCount > 0 }

// prompt returns the prompt of the stream, for engines of the version that began it.
func (st *streamState) prompt() fleet.Prompt {
	st.resolveVersion()
	p := st.call.Prompt
	p.Version, p.Resumed = st.version, st.call.After > 0
	p.Rank, _ = st.rank()
	if st.version == "" {
		st.choosePool(time.Now())
		p.Pool = st.pool
	} else {
		st.pool = fleet.Pool{Only: st.version}
	}
	return p
}

// bestEngine chooses the engine for the next attempt. It prefers engines that have not
// failed the stream, and returns none whose limit has just allowed no request.
func (st *streamState) bestEngine(now time.Time) (fleet.Choice, bool) {
	choose := func(exclude fleet.Exclude) (fleet.Choice, bool) {
		p := st.prompt()
		choice, found := st.g.Fleet.ChooseEngine(now, st.service.Name, st.engineMemory(), p, exclude)
		if other, ok := st.outsidePool(); !found && ok && p.Version == "" {
			p.Pool = other
			return st.g.Fleet.ChooseEngine(now, st.service.Name, st.engineMemory(), p, exclude)
		}
		return choice, found
	}
	choice, found := choose(slices.Concat(st.exclude, st.denied))
	if !found && len(st.exclude) > 0 {
		return choose(slices.Concat(st.check.failed, st.denied))
	}
	return choice, found
}

// admit returns a refusal for a stream whose engine would begin too late or lacks the
// memory, and nil for a stream that is admitted. A stream whose head has been sent to
// the client on this connection, by this host or the one that sends it through this one, is
// always admitted.
func (st *streamState) admit(now time.Time, c fleet.Choice) *refusal {
	if st.headSent || st.relayed != nil && st.relayed.Begun {
		return nil
	}
	// The time that the client has waited is estimated from its own timeout and not
	// from the timeout of the route, which changes with the configuration.
	waited := time.Duration(0)
	if st.call.Timeout > 0 {
		waited = st.g.Overload.TimeWaited(now, st.route.Name, st.call.Timeout-now.Sub(st.started))
	}
	engines := st.g.Fleet.CountUsable(now, st.service.Name, st.pool)
	rank, _ := st.rank()
	v := st.g.Overload.Decide(now, overload.Request{
		Team: st.team, Route: st.route.Name, Rank: rank, Prefill: c.Prefill, QueueWait: c.QueueWait, FreeMemory: c.FreeMemory, Objective: st.route.LatencyTarget, TimeLeft: st.timeLeft(now),
		Late:           waited+c.Prefill > st.route.LatencyTarget && st.route.LatencyTarget > 0,
		Resumed:        st.sentCount > 0 || st.call.After > 0,
		EnginesPerHost: float64(engines) / float64(st.g.AlivePeers()+1),
	}, rand.Float64())
	if v.Admit {
		return nil
	}
	st.addStep("refused: wait=%dms limit=%dms free=%.2f retry after %dms", c.QueueWait.Milliseconds(), v.MaxWait.Milliseconds(), c.FreeMemory, v.RetryAfter.Milliseconds())
	reason := refusalLongQueue
	if v.MemoryFull {
		reason = refusalNoRoom
	}
	return &refusal{reason, v.RetryAfter}
}

// copiesEnabled reports whether copies of the stream's runs are to be kept on other
// engines.
func (st *streamState) copiesEnabled() bool {
	return st.route.Resumable && fleet.ShouldCopy(st.g.ResumeWeight.Load(), st.call.Prompt)
}

// backupFor chooses the engine that is to hold the copy of a run on primary; it
// returns nil if the run is to have no copy or no engine can hold it.
func (st *streamState) backupFor(now time.Time, primary *fleet.Server) *fleet.Server {
	if st.service.Engine == nil || !st.service.Engine.KeepsBackups || !st.copiesEnabled() {
		return nil
	}
	holder := st.g.Fleet.ChooseBackup(now, primary, st.engineMemory(), st.call.Prompt, st.exclude)
	if holder == nil || !st.g.permitted(st.ctx, holder) {
		return nil
	}
	return holder
}
