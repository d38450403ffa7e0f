package gateway

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
)

// A client that has received events cannot be told that its request is refused: its stream
// can only be cut off. Nothing is lost by waiting instead, as long as the client waits: a
// refused request does not run, and each further one names the time that is left. So a stream
// that has begun waits for an engine while engines are full, limit requests, pause or are
// missing, and while the retry budget is used up.

const (
	// minEnginePause is the pause of a stream that has begun before it tries again to find an
	// engine. It doubles with each try up to maxEnginePause: each try that is refused takes a
	// retry of the budget.
	minEnginePause = 150 * time.Millisecond
	maxEnginePause = 600 * time.Millisecond
)

// engineWaiting is the state of a stream that has begun and waits for an engine, from
// attempt to attempt.
type engineWaiting struct {
	pause time.Duration // of the last try; 0 if there was none
	// refused and unavailable are the values of refusedCount and unavailableCount at the last
	// try.
	refused, unavailable int
}

// awaitEngine pauses a stream that has begun and that no engine takes now, and reports
// whether it is to try again. Streams that have not begun are refused instead: their clients
// may go to another host. A stream of a service with a single engine, which stays silent, ends
// too: its client is told while it has time to come back.
func (st *streamState) awaitEngine(now time.Time, reason string) bool {
	if !st.headSent || !st.route.Resumable || st.check.asking || st.attemptsLeft() <= 0 || st.timeLeft(now) <= 0 {
		return false
	}
	if st.leftSilent && reason == refusalNoEngine && len(st.g.Fleet.OfService(st.service.Name)) <= 1 {
		return false
	}
	w := &st.waiting
	if w.pause == 0 {
		st.addStep("waits for an engine: %s", reason)
	}
	w.pause = min(maxEnginePause, max(minEnginePause, 2*w.pause))
	w.refused, w.unavailable = st.refusedCount, st.unavailableCount
	// Engines and hosts that had no room may have some, and silent engines may answer again.
	st.exclude, st.relayTries = nil, nil
	pause := w.pause/2 + rand.N(w.pause)
	select {
	case <-time.After(min(pause, st.timeLeft(now))):
	case <-st.ctx.Done():
	}
	return true
}

// refusedTooOften reports whether so many engines have refused the stream that no further
// one is asked at once. A stream that waits for an engine asks one at a time.
func (st *streamState) refusedTooOften() bool {
	w := &st.waiting
	if w.pause > 0 {
		return st.refusedCount > w.refused
	}
	return st.refusedCount-st.unavailableCount >= maxRefusals+st.losses || st.unavailableCount >= maxUnavailable
}

// excuseEnded counts the engines whose processes have ended no longer as attempts of the
// route, and reports whether the stream that has begun may have a further attempt then.
func (st *streamState) excuseEnded() bool {
	if !st.headSent || st.losses >= maxLosses {
		return false
	}
	st.lostTo = slices.DeleteFunc(st.lostTo, func(s *fleet.Server) bool {
		ended := errors.Is(st.g.probe(s), errGone)
		if ended {
			st.ended++
		}
		return ended
	})
	return st.attemptsLeft() > 0
}
