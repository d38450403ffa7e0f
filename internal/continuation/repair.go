package continuation

import (
	"cmp"
	"slices"
	"time"
)

// reportResumed reports that the answer continues after a loss, if there was
// one.
func (m *Machine) reportResumed(now time.Time, source *attempt) []Action {
	if m.lostAt.IsZero() {
		return nil
	}
	m.lostAt = time.Time{}
	return []Action{Resumed{
		Attempt:    source.id,
		Backend:    source.backend,
		Latency:    now.Sub(m.lastToken),
		SameStream: source.delivered,
	}}
}

func (m *Machine) handleBroken(now time.Time, e Broken) []Action {
	a := m.candidate(e.Attempt)
	if a == nil || m.finishReason != "" {
		return nil
	}
	a.disconnected = true
	actions := m.reportLost(now, a, e.Reason)
	if e.Rejected && a.reconnects == 0 && !a.delivered {
		m.attemptsRejected++
		// A request that no backend server has accepted is still new work, so it
		// is refused at once if there is no other server.
		m.resuming = m.resuming && (m.MayHaveRun() || m.journal.Len() > 0)
	}
	if e.Rejected || a.reconnects >= maxReconnects {
		return append(actions, m.remove(a, Cancel{Lost: !e.Rejected, Rejected: e.Rejected})...)
	}
	return append(actions, m.probeSuspect(now, a)...)
}

// defaultFinishReason is reported when a stream was resumed after its last
// token and the engine did not send a finish reason.
const defaultFinishReason = "stop"

// handleEnded handles the end of a stream that delivered no token after those in
// the journal, which happens if it is resumed after its last token.
func (m *Machine) handleEnded(now time.Time, e Ended) []Action {
	a := m.candidate(e.Attempt)
	if a == nil || m.finishReason != "" {
		return nil
	}
	if m.journal.Len() == 0 {
		return m.handleBroken(now, Broken{Attempt: e.Attempt, Rejected: true, Reason: "stream ended without a token"})
	}
	m.finishReason = cmp.Or(e.Finish, defaultFinishReason)
	return append(m.cancelOthers(a), m.release()...)
}

// reportLost reports a suspected attempt, at most once until the answer
// continues.
func (m *Machine) reportLost(now time.Time, a *attempt, reason string) []Action {
	if !m.lostAt.IsZero() {
		return nil
	}
	m.lostAt = now
	return []Action{Lost{Attempt: a.id, Backend: a.backend, Reason: reason}}
}

// sendProbe probes an attempt and records the probe as an early one; the caller
// changes that for a suspected attempt.
func (m *Machine) sendProbe(now time.Time, a *attempt) []Action {
	a.earlyProbePending = true
	a.probedAt = now
	return []Action{Probe{Attempt: a.id, Backend: a.backend}}
}

// probeSuspect probes a suspected attempt, unless a probe is already pending,
// and schedules its replacement.
func (m *Machine) probeSuspect(now time.Time, a *attempt) []Action {
	if a.suspectProbePending {
		return nil
	}
	var actions []Action
	if !a.earlyProbePending {
		actions = m.sendProbe(now, a)
	}
	a.earlyProbePending, a.suspectProbePending = false, true
	wait := time.Duration((1 - m.config.Weight) * float64(maxProbeWait))
	placeAt := now.Add(wait)
	if !placeAt.After(now) {
		return append(actions, m.place()...)
	}
	m.placementDueAt = placeAt
	return actions
}

// remove cancels an attempt and replaces it unless another healthy one is left.
// The flags of cancel give the cause.
func (m *Machine) remove(a *attempt, cancel Cancel) []Action {
	m.candidates = slices.DeleteFunc(m.candidates, func(c *attempt) bool { return c == a })
	if !slices.Contains(m.excluded, a.backend) {
		m.excluded = append(m.excluded, a.backend)
	}
	cancel.Attempt, cancel.Backend = a.id, a.backend
	actions := []Action{cancel}
	if m.healthy() {
		return actions
	}
	if m.attemptsOpened >= m.config.MaxAttempts && len(m.candidates) == 0 && !m.placementPending {
		return append(actions, m.fail("the limit of attempts was reached")...)
	}
	return append(actions, m.place()...)
}

func (m *Machine) handleProbed(now time.Time, e Probed) []Action {
	a := m.candidate(e.Attempt)
	if a == nil || !a.suspectProbePending && !a.earlyProbePending || m.finishReason != "" {
		return nil
	}
	a.suspectProbePending, a.earlyProbePending = false, false
	if !e.Alive {
		actions := m.reportLost(now, a, "the backend server does not know the stream")
		return append(actions, m.remove(a, Cancel{Lost: true, Dead: e.Dead})...)
	}
	m.placementDueAt = time.Time{}
	a.setDeadlines(now, e.SilenceLimit)
	if a.disconnected || e.Tokens > m.journal.Len() {
		return m.reconnect(now, a, e.Tokens)
	}
	if e.Queued {
		return m.handleQueued(now, a)
	}
	a.stalledProbes++
	if a.stalledProbes >= maxStalledProbes {
		return append(m.reportLost(now, a, "no progress"), m.place()...)
	}
	return nil
}

// handleQueued places a parallel attempt on another server once a resume has
// waited in its engine's queue for as long as the weight permits. The last
// permitted attempt is reserved for a further loss.
func (m *Machine) handleQueued(now time.Time, a *attempt) []Action {
	wait := minQueueWait + time.Duration((1-m.config.Weight)*float64(maxProbeWait))
	if m.lostAt.IsZero() || now.Before(m.lostAt.Add(wait)) || m.attemptsOpened+1 >= m.config.MaxAttempts {
		return nil
	}
	a.stalledProbes = maxStalledProbes
	return m.place()
}

// reconnect opens a new connection to a stream that still exists, either because
// it has none or because the engine has tokens that the connection did not
// deliver.
func (m *Machine) reconnect(now time.Time, a *attempt, produced int) []Action {
	actions := m.reportLost(now, a, "silence")
	a.disconnected = false
	a.reconnects++
	a.earlyProbeAt = time.Time{}
	if produced > m.journal.Len() {
		a.suspectAt = now.Add(reconnectTimeout)
	}
	return append(actions, Reconnect{Attempt: a.id, Backend: a.backend, From: m.journal.Len()})
}

func (m *Machine) handleTick(now time.Time) []Action {
	var actions []Action
	if !m.callerGoneAt.IsZero() && !now.Before(m.callerGoneAt.Add(m.config.Linger)) {
		return m.endWithoutCaller()
	}
	if m.finishReason != "" {
		return nil
	}
	if m.noAttemptTimedOut(now) {
		return m.fail("no backend server continued the answer in time")
	}
	for _, a := range slices.Clone(m.candidates) {
		if a.disconnected || a.suspectProbePending {
			continue
		}
		if now.Before(a.suspectAt) {
			if !a.earlyProbePending && !a.earlyProbeAt.IsZero() && !now.Before(a.earlyProbeAt) {
				actions = append(actions, m.sendProbe(now, a)...)
			}
			continue
		}
		actions = append(actions, m.reportLost(now, a, "silence")...)
		if a.reconnects >= maxReconnects {
			actions = append(actions, m.remove(a, Cancel{Lost: true})...)
			continue
		}
		actions = append(actions, m.probeSuspect(now, a)...)
	}
	if !m.placementDueAt.IsZero() && !now.Before(m.placementDueAt) {
		actions = append(actions, m.place()...)
	}
	return actions
}

// noAttemptTimedOut reports whether the generation has no attempt and its loss is
// at least noAttemptTimeout ago.
func (m *Machine) noAttemptTimedOut(now time.Time) bool {
	return len(m.candidates) == 0 && !m.lostAt.IsZero() && !now.Before(m.lostAt.Add(noAttemptTimeout))
}
