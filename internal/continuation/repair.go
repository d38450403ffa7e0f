package continuation

import (
	"cmp"
	"slices"
	"time"
)

// repaired reports the end of a loss, if there was one.
func (m *Machine) repaired(now time.Time, source *attempt) []Action {
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

func (m *Machine) brokenStream(now time.Time, e Broken) []Action {
	a := m.candidate(e.Attempt)
	if a == nil || m.finish != "" {
		return nil
	}
	a.broken = true
	actions := m.lost(now, a, e.Reason)
	if e.Rejected && a.reconnects == 0 && !a.delivered {
		m.rejected++
		// A request that no backend server has accepted is new work still, so
		// that it is refused at once if there is no other server.
		m.resume = m.resume && (m.MayHaveRun() || m.journal.Len() > 0)
	}
	if e.Rejected || a.reconnects >= maxReconnects {
		return append(actions, m.remove(a, Cancel{Lost: !e.Rejected, Rejected: e.Rejected})...)
	}
	return append(actions, m.probe(now, a)...)
}

// finishUnknown is reported when a stream was resumed at its very end and the
// engine did not tell why the answer finished.
const finishUnknown = "stop"

// ended takes the end of a stream that delivered nothing after the journal,
// which happens if it is resumed after its last token.
func (m *Machine) ended(now time.Time, e Ended) []Action {
	a := m.candidate(e.Attempt)
	if a == nil || m.finish != "" {
		return nil
	}
	if m.journal.Len() == 0 {
		return m.brokenStream(now, Broken{Attempt: e.Attempt, Rejected: true, Reason: "stream ended without a token"})
	}
	m.finish = cmp.Or(e.Finish, finishUnknown)
	return append(m.cancelOthers(a), m.release()...)
}

// lost reports a suspected attempt once until it is repaired.
func (m *Machine) lost(now time.Time, a *attempt, reason string) []Action {
	if !m.lostAt.IsZero() {
		return nil
	}
	m.lostAt = now
	return []Action{Lost{Attempt: a.id, Backend: a.backend, Reason: reason}}
}

// check probes an attempt that is not suspected yet.
func (m *Machine) check(now time.Time, a *attempt) []Action {
	a.checking = true
	a.probedAt = now
	return []Action{Probe{Attempt: a.id, Backend: a.backend}}
}

// probe asks about a suspected attempt, unless a probe is out already, and sets
// the time of its replacement.
func (m *Machine) probe(now time.Time, a *attempt) []Action {
	if a.probing {
		return nil
	}
	var actions []Action
	if !a.checking {
		actions = m.check(now, a)
	}
	a.checking, a.probing = false, true
	wait := time.Duration((1 - m.config.Weight) * float64(maxProbeWait))
	placeAt := now.Add(wait)
	if !placeAt.After(now) {
		return append(actions, m.place()...)
	}
	m.placeAt = placeAt
	return actions
}

// remove gives an attempt up and replaces it unless another one is left. The
// cancellation tells why.
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
	if m.opened >= m.config.MaxAttempts && len(m.candidates) == 0 && !m.placing {
		return append(actions, m.fail("the limit of attempts was reached")...)
	}
	return append(actions, m.place()...)
}

func (m *Machine) probed(now time.Time, e Probed) []Action {
	a := m.candidate(e.Attempt)
	if a == nil || !a.probing && !a.checking || m.finish != "" {
		return nil
	}
	a.probing, a.checking = false, false
	if !e.Alive {
		actions := m.lost(now, a, "the backend server does not know the stream")
		return append(actions, m.remove(a, Cancel{Lost: true, Dead: e.Dead})...)
	}
	m.placeAt = time.Time{}
	a.expect(now, e.SilenceLimit)
	if a.broken || e.Tokens > m.journal.Len() {
		return m.reconnect(now, a, e.Tokens)
	}
	if e.Queued {
		return m.queued(now, a)
	}
	a.stalls++
	if a.stalls >= maxStalls {
		return append(m.lost(now, a, "no progress"), m.place()...)
	}
	return nil
}

// queued lets another server race a resume that has waited in its engine's
// queue for as long as the weight permits. The last attempt is kept for a
// further loss.
func (m *Machine) queued(now time.Time, a *attempt) []Action {
	wait := minQueueWait + time.Duration((1-m.config.Weight)*float64(maxProbeWait))
	if m.lostAt.IsZero() || now.Before(m.lostAt.Add(wait)) || m.opened+1 >= m.config.MaxAttempts {
		return nil
	}
	a.stalls = maxStalls
	return m.place()
}

// reconnect opens a new connection to a stream that lives, because there is
// none or because the engine has tokens that the connection did not bring.
func (m *Machine) reconnect(now time.Time, a *attempt, produced int) []Action {
	actions := m.lost(now, a, "silence")
	a.broken = false
	a.reconnects++
	a.probeAt = time.Time{}
	if produced > m.journal.Len() {
		a.silentAt = now.Add(reconnectWait)
	}
	return append(actions, Reconnect{Attempt: a.id, Backend: a.backend, From: m.journal.Len()})
}

func (m *Machine) tick(now time.Time) []Action {
	var actions []Action
	if !m.goneAt.IsZero() && !now.Before(m.goneAt.Add(m.config.Linger)) {
		return m.end()
	}
	if m.finish != "" {
		return nil
	}
	if m.starved(now) {
		return m.fail("no backend server continued the answer in time")
	}
	for _, a := range slices.Clone(m.candidates) {
		if a.broken || a.probing {
			continue
		}
		if now.Before(a.silentAt) {
			if !a.checking && !a.probeAt.IsZero() && !now.Before(a.probeAt) {
				actions = append(actions, m.check(now, a)...)
			}
			continue
		}
		actions = append(actions, m.lost(now, a, "silence")...)
		if a.reconnects >= maxReconnects {
			actions = append(actions, m.remove(a, Cancel{Lost: true})...)
			continue
		}
		actions = append(actions, m.probe(now, a)...)
	}
	if !m.placeAt.IsZero() && !now.Before(m.placeAt) {
		actions = append(actions, m.place()...)
	}
	return actions
}

// starved tells that no attempt was live for too long.
func (m *Machine) starved(now time.Time) bool {
	return len(m.candidates) == 0 && !m.lostAt.IsZero() && !now.Before(m.lostAt.Add(giveUpAfter))
}
