package claim

import (
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
)

// giveUp answers the caller before the result is known. The attempt is not sent
// afterwards.
func (m *Machine) giveUp(code callerapi.Code) []Action {
	switch m.phase {
	case phaseNew:
		return m.finish(m.fail(code, callerapi.OutcomeAttemptNotRun, storeRetryAfter))
	case phaseReading, phaseSealing:
		return m.finish(m.fail(m.storeCode(), callerapi.OutcomeAttemptNotRun, storeRetryAfter))
	case phaseWaiting:
		return m.finish(m.fail(callerapi.CodeOutcomeUnknown, callerapi.OutcomeUnknown, ResultWait))
	case phaseSending:
		// The send goes on, so that its result can be stored for a retry.
		return m.fail(callerapi.CodeOutcomeUnknown, callerapi.OutcomeUnknown, ResultWait)
	case phaseClaiming, phaseResolving:
		m.phase, m.inDoubt = phaseAbandoned, true
		return m.fail(code, callerapi.OutcomeAttemptNotRun, storeRetryAfter)
	}
	return nil
}

// abandonAndRead gives up a claim in doubt when no operation is under way.
func (m *Machine) abandonAndRead() []Action {
	m.phase, m.inDoubt = phaseVoiding, true
	answer := m.fail(callerapi.CodeStoreUnavailable, callerapi.OutcomeAttemptNotRun, storeRetryAfter)
	return append(answer, Action{Kind: ActionRead, Delay: BackgroundInterval})
}

// voidUnsent gives up the held claim of a request that was not sent. The answer
// need not wait for the void: until it is written, the claim keeps every other
// attempt from running.
func (m *Machine) voidUnsent(now Now, code callerapi.Code) []Action {
	m.phase = phaseVoiding
	return append(m.fail(code, callerapi.OutcomeNotRun, storeRetryAfter), m.write(now, StateVoid, nil))
}

// clockJump ends an attempt that was not sent yet: the caller may have given
// up on it long ago.
func (m *Machine) clockJump() []Action {
	if m.phase == phaseSending || m.phase == phaseWaiting {
		return nil
	}
	return m.giveUp(callerapi.CodeNodeIsolated)
}

func (m *Machine) stepStoring(e Event) []Action {
	switch e.Kind {
	case EventCommitted:
		return m.finish(nil)
	case EventRow, EventConflict:
		if !m.owns(e.Row) {
			return m.finish(nil)
		}
		m.version = e.Version
		return []Action{m.write(Now{}, StateDone, m.result)}
	default:
		return []Action{{Kind: ActionRead, Delay: BackgroundInterval}}
	}
}

// stepVoiding removes an own claim that was not sent. While the claim's write is
// in doubt, a void on the version that the claim is conditional on keeps it from
// taking effect later.
func (m *Machine) stepVoiding(now Now, e Event) []Action {
	abandoned := m.phase == phaseAbandoned
	m.phase = phaseVoiding
	switch e.Kind {
	case EventCommitted:
		if !abandoned {
			return m.finish(nil)
		}
		m.version, m.held, m.inDoubt = e.Version, true, false
		return []Action{m.write(now, StateVoid, nil)}
	case EventRow, EventConflict:
		if m.owns(e.Row) {
			m.version, m.held, m.inDoubt = e.Version, true, false
		} else if !m.inDoubt || e.Version != m.version {
			return m.finish(nil)
		}
		return []Action{m.write(now, StateVoid, nil)}
	default:
		return []Action{{Kind: ActionRead, Delay: BackgroundInterval}}
	}
}

// owns tells whether the row holds this attempt's claim.
func (m *Machine) owns(row Row) bool {
	return row.State == StateClaimed && row.Attempt == m.call.Attempt
}

func (m *Machine) write(now Now, state State, result *Result) Action {
	row := Row{
		Attempt:     m.call.Attempt,
		Host:        m.call.Host,
		Incarnation: m.call.Incarnation,
		Fingerprint: m.call.Fingerprint,
		State:       state,
		Result:      result,
	}
	if state == StateVoid {
		// The wall clock may have been set back since the start.
		row.VoidedAt = now.Wall
		if row.VoidedAt.Before(m.started) {
			row.VoidedAt = m.started
		}
	}
	return Action{Kind: ActionWrite, Row: row, Version: m.version}
}

// storeCode returns the code for a failure of the table before the claim: a
// refused call keeps the reason of its refusal.
func (m *Machine) storeCode() callerapi.Code {
	if m.refusal != "" {
		return m.refusal
	}
	return callerapi.CodeStoreUnavailable
}

func (m *Machine) answer(result *Result) []Action {
	if m.answered {
		return nil
	}
	m.answered = true
	return []Action{{Kind: ActionAnswer, Result: result}}
}

func (m *Machine) fail(code callerapi.Code, outcome callerapi.Outcome, retryAfter time.Duration) []Action {
	if m.answered {
		return nil
	}
	m.answered = true
	return []Action{{Kind: ActionAnswer, Code: code, Outcome: outcome, RetryAfter: retryAfter}}
}

func (m *Machine) finish(actions []Action) []Action {
	m.phase = phaseFinished
	return append(actions, Action{Kind: ActionFinish})
}
