package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// connectionFailed handles an attempt for which no connection could be opened.
// Nothing was sent.
func (st *streamState) connectionFailed(s *fleet.Server, err error) result {
	if st.clientGone() {
		return resultAborted
	}
	st.addStep("connect %s: %v", s.ID, err)
	if backendconn.CodeOf(err) == backendconn.CodeBusy {
		st.exclude = append(st.exclude, s.ID)
		st.keepUnconfirmed(s)
		return resultNotRun
	}
	st.unavailableCount++
	st.connectFailures++
	st.g.recordFailure(s, err)
	st.exclude = append(st.exclude, s.ID)
	st.keepUnconfirmed(s)
	return resultNotRun
}

// attemptLost handles an attempt whose connection failed after the request was sent;
// the engine may have run it. eventDelivered is true if an event of the run has been
// delivered to the client; if it is false, p may be nil.
func (st *streamState) attemptLost(s *fleet.Server, p *copyManager, err error, eventDelivered bool) result {
	st.sentCount++
	if st.clientGone() || errors.Is(err, errDeadline) {
		return resultAborted
	}
	if errors.Is(err, errCrashesServers) {
		return resultFailed
	}
	st.lostTo = append(st.lostTo, s)
	st.addStep("lost %s: %v", s.ID, err)
	st.g.Log.LogError(logrus.WarnLevel, telemetry.EventAttemptLost, err, logrus.Fields{
		telemetry.FieldRequest: st.call.ID, telemetry.FieldBackend: s.ID, "after": st.lastEventID, "flowing": eventDelivered, "attempts": st.sentCount,
	}, "attempt lost")
	if eventDelivered { // there is no copy before the first event
		st.lostCopy = p.usableCopy()
	}
	if st.lostAt.IsZero() {
		st.lostAt = time.Now()
	}
	switch {
	case backendconn.CodeOf(err) == backendconn.CodeStalled:
		// The engine is running and serves other requests: it preempted this
		// run, or is slow.
		st.g.Fleet.RecordResult(s, false)
		st.exclude = append(st.exclude, s.ID)
		return resultFailed
	case backendconn.CodeOf(err) == backendconn.CodeSilent:
		st.g.recordFailure(s, err)
	case st.g.survivedReset(s, err):
		// The engine may still be running the request. If the run resumed from a
		// copy, the engine has the prompt in its cache.
		if st.resumeMode == resumeFromCopy {
			st.g.Fleet.RecordCachedPrompts(time.Now(), s, map[uint64]int{st.call.Prompt.SuffixHash: st.call.Prompt.Tokens})
		}
		return resultFailed
	}
	st.exclude = append(st.exclude, s.ID)
	loss := runLoss{sound: st.sound, silent: backendconn.CodeOf(err) == backendconn.CodeSilent, reported: st.lossReported, begun: eventDelivered}
	if loss.mayBeCrash(func() bool { return st.g.refusesConnections(s) }) {
		st.recordCrash(s)
	}
	return resultFailed
}

// answeredWithFailure handles an answer with a status other than 200, or one that
// may not be passed on. It stores a complete answer with a failure status that may be
// passed on in lastFailure, unless the engine was asked for more than the client had asked
// for. After a status of 300 to 499 it sends lastFailure to the client at once, unless the
// head of an answer has already been sent.
func (st *streamState) answeredWithFailure(s *fleet.Server, c *backendconn.Conn, response *http.Response, answer Answer) result {
	st.sentCount++
	body, err := readAnswerBody(response.Body)
	if err != nil {
		st.g.Pool.Close(c)
	} else {
		st.g.Pool.Put(addressOf(s), c, response)
		if answer.Forwardable && response.StatusCode >= 300 && !st.check.asking && !(st.onlyOnce() && statesNotRun(response.StatusCode)) {
			st.lastFailure = &bufferedAnswer{response.StatusCode, response.Header, body}
		}
	}
	st.addStep("%s answered status %d", s.ID, response.StatusCode)
	st.g.Fleet.RecordResult(s, false)
	st.exclude = append(st.exclude, s.ID)
	if response.StatusCode < http.StatusInternalServerError && response.StatusCode >= 300 && st.lastFailure != nil && !st.headSent && !st.check.asking {
		st.writeAnswer(st.lastFailure)
		st.headSent = true
		return resultEnded
	}
	return resultFailed
}
