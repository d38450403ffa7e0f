package gateway

import (
	"errors"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
	"github.com/yuccahatch/yuccahatch/internal/rollout"
	"github.com/yuccahatch/yuccahatch/internal/routing"
)

// streamMaxIdle is the longest idle time after which a connection may carry a
// stream. A stream may be sent again, so a failed connection only costs time.
const streamMaxIdle = 10 * time.Second

// streamWatch decides how long a stream waits for its engine. It probes the engine
// when that has sent nothing for some time.
type streamWatch struct {
	g                *Gateway
	st               *streamState
	server           *fleet.Server
	lossCountAtStart uint32
	started          time.Time
	expected         time.Duration // expected time until the first event
	eventDelivered   bool
	firstEventAt     time.Time // delivery of the first event
	lastEventAt      time.Time // delivery of the latest event
	repeated         bool      // the server has repeated the last event; see endCheck
	// identity is the answer to askIdentity; nil if nothing was asked or it has come.
	identity <-chan error
	// count and pace are the evidence on the server's version in a roll-out.
	count *rollout.Request
	pace  paceWatch
	// idleAtProbe is how long the engine had sent nothing to the stream when it was
	// last probed; 0 if it has sent bytes since.
	idleAtProbe time.Duration
	// heldSince is the time since which the run is kept although its engine is silent
	// or found lost, because no other engine may continue it or because the engine accepts
	// connections; zero if it is not.
	heldSince time.Time
	// soundUntil is the time until which the engine may be sound and silent: it has accepted
	// the connection of the last probe. It is zero if it has not.
	soundUntil time.Time
}

const (
	// firstEventSlack is the fixed part of the time by which the first event may be
	// later than expected before the engine is probed. The other part is half of
	// the expected time.
	firstEventSlack = 900 * time.Millisecond
	// defaultProbeDelay is the silence between events after which the
	// engine is probed, if the route does not set a longest pause.
	defaultProbeDelay = 300 * time.Millisecond
	// probeFraction is the silence between events after which the engine is
	// probed, as a fraction of the route's longest pause.
	probeFraction = 0.42
	// stallFactor is the time without an event after which a stream is moved to
	// another engine although its engine still answers probes or sends bytes, as a
	// multiple of the route's longest pause.
	stallFactor = 2.0
	// suspectProbeDelay is the longest silence after which an engine is probed that a
	// peer has reported lost, or that is in a data centre that was just lost.
	suspectProbeDelay = 120 * time.Millisecond
	// maxFirstProbes is the number of probe delays after which a run that has not begun
	// counts as stalled.
	maxFirstProbes = 5
	// maxHold is how long a run on a silent engine is kept while no other engine may
	// continue it. A sound engine may be silent for a second or so; after a longer
	// silence the client is told, while it has time to send the request again.
	maxHold = retryWait
	// soundSilence is how long a run is kept on a silent engine that accepts connections,
	// although another engine may continue it: a sound engine may be silent for a second or
	// so, and a run that is moved from it runs twice and reads its prompt again. An engine
	// whose host is gone accepts no connection.
	soundSilence = 1500 * time.Millisecond
)

// check implements backendconn.Watch.
func (w *streamWatch) check(now time.Time, idle time.Duration) error {
	if w.st.timeLeft(now) <= 0 {
		return errDeadline
	}
	if !w.eventDelivered && w.st.crashesServers(now) {
		return errCrashesServers
	}
	if idle <= w.idleAtProbe {
		w.idleAtProbe = 0 // bytes have arrived since
	}
	if w.held() && idle < now.Sub(w.heldSince) {
		w.release()
	}
	if w.held() && !now.Before(w.soundUntil) && w.mayGiveUp(now) {
		return w.silentError(idle, "still no answer")
	}
	if w.eventDelivered && idle < suspectProbeDelay && !w.held() {
		w.lossCountAtStart = w.server.LossCount() // the engine sends to this run
	}
	if !w.held() && w.server.LostSince(w.lossCountAtStart) {
		if w.mayGiveUp(now) {
			w.st.lossReported = true
			return w.silentError(idle, "found lost by another request")
		}
		w.hold(now)
	}
	limit := w.probeDelay()
	if w.g.Fleet.Suspected(w.server, now) {
		limit = min(limit, suspectProbeDelay)
	}
	if !w.held() && w.stalled(now) && w.st.mayMove(now) {
		return backendconn.NewStalledError(idle, "the run makes no progress")
	}
	if idle-w.idleAtProbe < limit {
		return nil
	}
	w.idleAtProbe = idle
	if w.st.attemptsLeft() > 1 && w.st.canRelay() {
		return w.silentError(idle, "the host has no path to the servers")
	}
	err := w.g.probe(w.server)
	if errors.Is(err, errUnanswered) {
		w.g.noteSilence(w.server, now.Add(-idle))
	}
	switch {
	case err == nil:
		w.release()
		w.g.Fleet.RecordData(w.server, time.Now())
		return nil
	case errors.Is(err, errUnanswered) && w.maySound(now, idle):
		w.hold(now)
		w.g.recordLoss(w.server, fleet.LossUnanswered, w.silentError(idle, "accepts connections and does not answer"))
		return nil
	case errors.Is(err, errGone), w.mayGiveUp(now):
		return w.silentError(idle, "does not answer")
	}
	w.soundUntil = time.Time{}
	w.hold(now)
	w.g.recordFailure(w.server, w.silentError(idle, "does not answer"))
	return nil
}

// maySound reports whether an engine that has accepted a connection and has not answered may
// be sound and silent for a while. The silence of an engine that has sent events began with the
// last of them; any other began when a probe showed it.
func (w *streamWatch) maySound(now time.Time, idle time.Duration) bool {
	if w.soundUntil.IsZero() {
		silentFor := probeTimeout
		if w.eventDelivered {
			silentFor = idle
		}
		w.soundUntil = now.Add(soundSilence - silentFor)
	}
	return now.Before(w.soundUntil)
}

// mayGiveUp reports whether the wait for an engine that is silent or was found lost may
// end: another engine may continue the stream, or the silence has lasted too long.
func (w *streamWatch) mayGiveUp(now time.Time) bool {
	if w.st.reserveRetry(now, w.server) {
		return true
	}
	if !w.held() || now.Sub(w.heldSince) < maxHold {
		return false
	}
	w.st.retryWaited = now.Sub(w.heldSince)
	w.st.leftSilent = true
	return true
}

func (w *streamWatch) held() bool { return !w.heldSince.IsZero() }

// hold keeps the run although its engine is silent or was found lost.
func (w *streamWatch) hold(now time.Time) {
	if !w.held() {
		w.heldSince = now
		w.st.addStep("run kept on silent %s", w.server.ID)
	}
}

// release ends hold after a sign of life of the engine. The losses that were recorded
// until now no longer count.
func (w *streamWatch) release() {
	if w.held() {
		w.heldSince, w.soundUntil = time.Time{}, time.Time{}
		w.lossCountAtStart = w.server.LossCount()
	}
}

// stalled reports whether the run makes no progress. Only events count: an engine that
// sends a byte now and then makes none. The first event may take longer, since the
// prompt may have to wait.
func (w *streamWatch) stalled(now time.Time) bool {
	if !w.eventDelivered {
		return now.Sub(w.started) > maxFirstProbes*w.probeDelay()
	}
	gap := w.route().MaxGap
	return gap > 0 && now.Sub(w.lastEventAt) > time.Duration(stallFactor*float64(gap))
}

func (w *streamWatch) route() *routing.Route { return w.st.route }

// probeDelay returns the time since the last byte or the last answered probe after
// which the engine is probed.
func (w *streamWatch) probeDelay() time.Duration {
	if !w.eventDelivered {
		return w.expected + w.expected/2 + firstEventSlack
	}
	if gap := w.route().MaxGap; gap > 0 {
		return time.Duration(probeFraction * float64(gap))
	}
	return defaultProbeDelay
}

func (w *streamWatch) silentError(idle time.Duration, why string) error {
	return backendconn.NewSilentError(idle, why)
}
