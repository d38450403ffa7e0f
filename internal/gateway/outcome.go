package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/routing"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// fieldSends is the log field with the sends of a request; see sendRecord.
const fieldSends = "sends"

// rejectCall refuses a request before a server was chosen for it, and logs the
// reason.
func (g *Gateway) rejectCall(w http.ResponseWriter, c *Call, status int, retryAfter time.Duration, reason string) {
	writeRefusal(w, status, retryAfter, reason)
	g.Log.Log(logrus.InfoLevel, telemetry.EventRequestTroubled, logrus.Fields{
		telemetry.FieldRequest: c.ID, "host_name": c.Host, "path": c.Path, "config_version": g.Routes.Version(),
		"outcome": "refused", "status": status, "reason": reason, fieldSends: []string{}, "retry_after_ms": retryAfter.Milliseconds(),
	}, "request refused")
}

// writeRefusal answers a request with an error of this node instead of a backend
// server's answer.
func writeRefusal(w http.ResponseWriter, status int, retryAfter time.Duration, reason string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	body := fmt.Sprintf("{\"error\":%q}\n", reason)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body) // fails only if the client has disconnected
}

// fail sends an error to the client of a request that failed before any part of an
// answer was passed on. The error states that the request did not run only if no
// server can have run it.
func (e *exchange) fail(reason string, retryAfter time.Duration) {
	now := time.Now()
	status := http.StatusBadGateway
	switch {
	case e.clientGone():
		e.recordOutcome(outcomeClientGone, 0, reason)
		return
	case !e.mayHaveRunHere():
		status = http.StatusServiceUnavailable
		retryAfter = max(retryAfter, minRetryAfter)
	case e.timeLeft(now) <= 0:
		status = http.StatusGatewayTimeout
		retryAfter = 0
	default:
		retryAfter = 0
	}
	outcome := relayFailed
	if status == http.StatusServiceUnavailable {
		outcome = relayRefused
	}
	if e.relayed != nil {
		e.w.Header().Set(headerRelayOutcome, outcome)
	}
	writeRefusal(e.w, status, retryAfter, reason)
	e.recordOutcome(outcome, status, reason)
}

// statesNotRun reports whether a status tells a client that its request has not run and will
// not run.
func statesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// onlyOnce reports whether the request must not run more than once.
func (e *exchange) onlyOnce() bool {
	return e.route.Kind == routing.NonIdempotent || e.route.Kind == routing.Stream && !e.route.Resumable
}

// mayHaveRunHere reports whether a server may have run the request for this node. What the
// sender of a relayed request has sent before is known to the sender.
func (e *exchange) mayHaveRunHere() bool {
	if e.relayed != nil {
		return e.sentCount > e.relayed.Sent
	}
	return e.sentCount > 0
}

// crashRetryAfter is the Retry-After sent to a client whose request crashes
// servers.
const crashRetryAfter = time.Minute

// minRetryAfter is the shortest Retry-After sent for a request that did not run. It
// keeps refused clients from retrying at once.
const minRetryAfter = 150 * time.Millisecond

// retryAfter returns a random time from base to twice base after which a refused
// client may retry. The jitter keeps clients that were refused together from
// retrying together.
func retryAfter(base time.Duration) time.Duration {
	return base + time.Duration(rand.Int64N(int64(base)+1))
}

// addStep adds a step, with the time since the request started, to the
// request's log line. Steps beyond the 24th are dropped.
func (e *exchange) addStep(format string, args ...any) {
	if len(e.steps) < 24 {
		e.steps = append(e.steps, strconv.Itoa(int(time.Since(e.started).Milliseconds()))+"ms "+fmt.Sprintf(format, args...))
	}
}

// outcomeBroken is the outcome of a stream that could not continue after a part of its answer.
const outcomeBroken = "broken"

// outcomeClientGone is the outcome of a request whose client has disconnected, or has closed
// its direction of the connection.
const outcomeClientGone = "client_gone"

// recordOutcome logs the outcome of the request with its steps, and counts it.
func (e *exchange) recordOutcome(outcome string, status int, reason string) {
	e.abandoned = outcome == outcomeClientGone
	e.interrupted = e.abandoned || outcome == outcomeBroken
	e.g.Metrics.finished(e.route.Kind, outcome, time.Since(e.started))
	level := logrus.InfoLevel
	event := telemetry.EventRequestServed
	if outcome != "served" || e.sentCount > 1 {
		event = telemetry.EventRequestTroubled
	}
	fields := logrus.Fields{
		telemetry.FieldRequest: e.call.ID,
		"route":                e.route.Name,
		"kind":                 e.route.Kind.String(),
		"team":                 e.team,
		"config_version":       e.g.Routes.Version(),
		"outcome":              outcome,
		"status":               status,
		"reason":               reason,
		"attempts":             e.sentCount,
		"refusals":             e.refusedCount,
		"after":                e.call.After,
		"origin":               e.call.Origin,
		"duration_ms":          time.Since(e.started).Milliseconds(),
		"steps":                e.steps,
	}
	if event == telemetry.EventRequestTroubled {
		fields[fieldSends] = e.sendLog.list()
	}
	e.g.Log.Log(level, event, fields, "request "+outcome)
}
