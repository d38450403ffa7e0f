package claim

import (
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
)

// answerWithoutResult answers the caller before the result is known. A request
// that has not been sent by then is never sent.
func (m *Machine) answerWithoutResult(code callerapi.Code) []Action {
	switch m.phase {
	case phaseNew:
		return m.finish(m.answerError(code, callerapi.OutcomeAttemptNotRun, storeRetryAfter))
	case phaseReading, phaseRefusing:
		return m.finish(m.answerError(m.storeFailureCode(), callerapi.OutcomeAttemptNotRun, storeRetryAfter))
	case phaseWaiting:
		return m.finish(m.answerError(callerapi.CodeOutcomeUnknown, callerapi.OutcomeUnknown, ResultWait))
	case phaseSending:
		// The send continues, so that its result can be stored for a retry.
		return m.answerError(callerapi.CodeOutcomeUnknown, callerapi.OutcomeUnknown, ResultWait)
	case phaseClaiming, phaseResolving:
		m.phase, m.inDoubt = phaseAbandoned, true
		return m.answerError(code, callerapi.OutcomeAttemptNotRun, storeRetryAfter)
	}
	return nil
}

// abandonClaim answers the caller with attempt_not_run and reads the row in order
// to void a claim whose write is in doubt. It is called while no operation is in
// progress.
func (m *Machine) abandonClaim() []Action {
	m.phase, m.inDoubt = phaseVoiding, true
	answer := m.answerError(callerapi.CodeStoreUnavailable, callerapi.OutcomeAttemptNotRun, storeRetryAfter)
	return append(answer, Action{Kind: ActionRead, Delay: BackgroundInterval})
}

// voidUnsent answers the caller with not_run and voids this attempt's claim, after its
// request was not sent. The answer does not wait for the void, because until the void
// is written the claim prevents every other attempt from running.
func (m *Machine) voidUnsent(now ClockReading, code callerapi.Code) []Action {
	m.phase = phaseVoiding
	return append(m.answerError(code, callerapi.OutcomeNotRun, storeRetryAfter), m.write(now, StateVoid, nil))
}

// handleClockJump answers the caller of an attempt that has not been sent yet, since
// the caller may have stopped waiting during the pause. It does not interrupt a send
// or the wait for another attempt's result.
func (m *Machine) handleClockJump() []Action {
	if m.phase == phaseSending || m.phase == phaseWaiting {
		return nil
	}
	return m.answerWithoutResult(callerapi.CodeNodeIsolated)
}

func (m *Machine) stepStoring(e Event) []Action {
	switch e.Kind {
	case EventCommitted:
		return m.finish(nil)
	case EventRow, EventConflict:
		if !m.holdsOwnClaim(e.Row) {
			return m.finish(nil)
		}
		m.version = e.Version
		return []Action{m.write(ClockReading{}, StateDone, m.result)}
	default:
		return []Action{{Kind: ActionRead, Delay: BackgroundInterval}}
	}
}

// stepVoiding voids this attempt's claim after its request was not sent. While
// the write of the claim is in doubt, a void that is conditional on the same
// version prevents the claim from taking effect later.
func (m *Machine) stepVoiding(now ClockReading, e Event) []Action {
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
		if m.holdsOwnClaim(e.Row) {
			m.version, m.held, m.inDoubt = e.Version, true, false
		} else if !m.inDoubt || e.Version != m.version {
			return m.finish(nil)
		}
		return []Action{m.write(now, StateVoid, nil)}
	default:
		return []Action{{Kind: ActionRead, Delay: BackgroundInterval}}
	}
}

// holdsOwnClaim reports whether row holds this attempt's claim.
func (m *Machine) holdsOwnClaim(row Row) bool {
	return row.State == StateClaimed && row.Attempt == m.call.Attempt
}

func (m *Machine) write(now ClockReading, state State, result *Result) Action {
	row := Row{
		Attempt:     m.call.Attempt,
		Host:        m.call.Host,
		Incarnation: m.call.Incarnation,
		Fingerprint: m.call.Fingerprint,
		State:       state,
		Result:      result,
	}
	if state == StateVoid {
		// The wall clock may have been set back since the attempt started.
		row.VoidedAt = now.Wall
		if row.VoidedAt.Before(m.started) {
			row.VoidedAt = m.started
		}
	}
	return Action{Kind: ActionWrite, Row: row, Version: m.version}
}

// storeFailureCode returns the code for a failure of the table before the claim
// is written. A refused call keeps the code of its refusal.
func (m *Machine) storeFailureCode() callerapi.Code {
	if m.refusal != "" {
		return m.refusal
	}
	return callerapi.CodeStoreUnavailable
}

func (m *Machine) answerResult(result *Result) []Action {
	if m.answered {
		return nil
	}
	m.answered = true
	return []Action{{Kind: ActionAnswer, Result: result}}
}

func (m *Machine) answerError(code callerapi.Code, outcome callerapi.Outcome, retryAfter time.Duration) []Action {
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
