package gateway

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/crashcause"
	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/quarantine"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// soundAfter is how long after its first event a run must have delivered events for its
// content to count as sound. Content that crashes servers does so when they begin to
// write the answer.
const soundAfter = 250 * time.Millisecond

// reasonCrashes is the reason given for a request that must not run again.
const reasonCrashes = "the request crashes backend servers"

// errCrashesServers is the error of an attempt that is given up before its first event
// because the content of the request is found to crash servers.
var errCrashesServers = errors.New(reasonCrashes)

// content returns what may be the cause if this request crashes a server.
func (e *exchange) content() crashcause.Content {
	e.fingerprintOnce.Do(func() {
		e.cachedFingerprint = quarantine.FingerprintOf(ident.Team(e.team+" "+e.call.Method+" "+e.call.Target), e.call.Body)
	})
	return crashcause.Content{Request: e.cachedFingerprint, Parts: e.call.SharedParts}
}

// crashesServers reports whether the request must not run again because its content
// crashes servers.
func (e *exchange) crashesServers(now time.Time) bool {
	if e.g.Crashes.Len(now) == 0 {
		return false
	}
	refused, _ := e.g.Crashes.Verdict(now, e.content(), e.g.Fleet)
	return refused
}

// addCrashCause adds a step with the evidence for which the request is refused.
func (e *exchange) addCrashCause(now time.Time) {
	c := e.g.Crashes.Cause(now, e.content(), e.g.Fleet)
	if c == nil {
		return // a peer has just reported an answer
	}
	answered := "never"
	if !c.Answered.IsZero() {
		answered = fmt.Sprintf("%dms ago", now.Sub(c.Answered).Milliseconds())
	}
	e.addStep("content=%s parts=%v crashes=%d limit=%d oldest=%dms newest=%dms ago answered=%s", c.Request, formatParts(c.Parts), c.Crashes, c.Limit, now.Sub(c.Oldest).Milliseconds(), now.Sub(c.Newest).Milliseconds(), answered)
}

// waitForCrashCause waits until it is known whether this request is the cause
// of earlier crashes, but at most until the request's deadline.
func (e *exchange) waitForCrashCause(now time.Time) {
	if e.g.Crashes.Len(now) == 0 {
		return
	}
	for {
		_, wait := e.g.Crashes.Verdict(now, e.content(), e.g.Fleet)
		wait = min(wait, e.timeLeft(now))
		if wait <= 0 {
			return
		}
		e.addStep("wait %dms until the cause of earlier crashes is known", wait.Milliseconds())
		select {
		case <-time.After(wait):
		case <-e.ctx.Done():
			return
		}
		now = time.Now()
	}
}

// runLoss describes how a run was lost.
type runLoss struct {
	sound    bool // the stream has delivered events for soundAfter
	begun    bool // the run has delivered an event
	silent   bool // the server sent nothing for too long; no connection was reset
	reported bool // only another request has found the server lost
}

// mayBeCrash reports whether the content of the request may have crashed the server.
// refused reports whether the server refuses connections. A server that is only silent
// may be running, so a run that had begun, or that was given up because of what another
// request found, counts only if the server's process has ended.
func (l runLoss) mayBeCrash(refused func() bool) bool {
	switch {
	case l.sound:
		return false
	case l.silent && (l.begun || l.reported):
		return refused()
	}
	return true
}

// recordCrash records that a server crashed before it answered this request, and
// notifies peers if the crash is new. It records nothing if this host may have lost its
// path to the server instead.
func (e *exchange) recordCrash(s *fleet.Server) {
	if e.g.Fleet.MayHaveFallen(time.Now(), s) {
		e.logNoCrash(s, "the server is brittle and had to reject requests")
		return
	}
	x := crashcause.Crash{Content: e.content(), Server: s.ID, Incarnation: s.Incarnation, Service: s.Service, DataCentre: s.DataCentre}
	if !e.g.pathConfirmed(s) {
		e.logNoCrash(s, "the host may have lost its path to the servers")
		e.g.Crashes.AddDoubtful(time.Now(), x)
		return
	}
	if !e.g.Crashes.Add(time.Now(), x) {
		return
	}
	e.g.Announce.Crashed(x)
	e.g.Log.Log(logrus.WarnLevel, telemetry.EventCrashEvidence, logrus.Fields{
		telemetry.FieldRequest: e.call.ID, telemetry.FieldBackend: s.ID, "content": x.Request, "shared_parts": formatParts(x.Parts),
	}, "backend server crashed while it ran a request that it had not begun to answer")
}

// logNoCrash logs why the end of a server is no evidence against the content of the request.
// Attempts in the background call it too, which may not add steps.
func (e *exchange) logNoCrash(s *fleet.Server, reason string) {
	e.g.Log.Log(logrus.InfoLevel, telemetry.EventCrashEvidence, logrus.Fields{
		telemetry.FieldRequest: e.call.ID, telemetry.FieldBackend: s.ID, "reason": reason,
	}, "end of a backend server is no evidence against a request")
}

// recordAnswered records that a server has answered the request, and notifies peers if
// they may suspect its content.
func (e *exchange) recordAnswered(now time.Time) {
	if e.g.Crashes.Len(now) == 0 && len(e.call.SharedParts) == 0 {
		return
	}
	c := crashcause.Content{Parts: e.call.SharedParts}
	if e.g.Crashes.Len(now) > 0 {
		c = e.content()
	}
	if e.g.Crashes.Answered(now, c) {
		e.g.Announce.ContentAnswered(c)
	}
}

// formatParts returns hashes of prompt parts as they are logged.
func formatParts(parts []uint64) []string {
	out := make([]string, 0, len(parts))
	for _, p := range parts {
		out = append(out, strconv.FormatUint(p, 16))
	}
	return out
}
