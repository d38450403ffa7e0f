package gateway

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
)

// runTried makes the next attempt of a stream, within the trial of its content if there is one.
func (st *streamState) runTried(now time.Time) (result, *refusal) {
	if st.sound || st.g.Crashes.Len(now) == 0 {
		return st.runNext(now)
	}
	through, refused := st.awaitTrial(now)
	switch {
	case refused != nil:
		return 0, refused
	case through != nil:
		return st.runThrough(*through)
	case st.trialOf != 0 && st.crashesServers(time.Now()):
		return 0, &refusal{reasonCrashes, crashRetryAfter}
	}
	return st.runNext(time.Now())
}

// runNext makes the next attempt, through another host if this one has no path to the
// servers, or returns the reason for which the stream is refused.
func (st *streamState) runNext(now time.Time) (result, *refusal) {
	st.awaitCheck()
	if host, ok := st.chooseRelay(); ok {
		return st.runThrough(host)
	}
	for {
		server, backup, attempt, refused := st.place(now)
		if refused != nil {
			return 0, refused
		}
		if !st.awaitRetry(now) {
			st.giveUpEngine(server)
			return 0, &refusal{"the retry budget is used up", retryAfter(noEngineRetryAfter)}
		}
		now = time.Now()
		if !st.g.Fleet.Refuses(server, now) {
			return st.run(server, backup, attempt), nil
		}
		// While the stream waited for the retry, the engine has left, or has said that it is
		// leaving or accepts nothing for some time.
		st.addStep("%s accepts no request of this host any more", server.ID)
		st.giveUpEngine(server)
		st.retryReserved = st.attemptsReceived() > 0
	}
}

// giveUpEngine is called for an engine that was chosen for the next attempt and is not sent it.
func (st *streamState) giveUpEngine(s *fleet.Server) {
	st.g.release(s)
	if st.check.asking {
		st.check.engine = s
	}
}
