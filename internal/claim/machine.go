package claim

import (
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Limits of a call.
const (
	// SendWindow is the maximum time from the start of the first write of the claim
	// to the send. A node that was paused for longer does not send.
	SendWindow = 5 * time.Second
	// ResultWait is the maximum time that a retry waits for the result of an attempt
	// that holds the claim. It is also the retry delay that callers get if the
	// outcome is unknown.
	ResultWait = 2 * time.Second
	// PollInterval is the time between two reads while a retry waits for a
	// result.
	PollInterval = 200 * time.Millisecond
	// BackgroundInterval is the time between two attempts to store a result or
	// a void after a failure of the table.
	BackgroundInterval = 500 * time.Millisecond
	// storeRetryAfter is the retry delay that callers get while the table is
	// unavailable.
	storeRetryAfter = time.Second
)

// Call identifies one attempt of one call.
type Call struct {
	Attempt     ident.AttemptID
	Host        ident.HostID
	Incarnation ident.Incarnation
	Fingerprint string
}

type phase int

const (
	phaseNew phase = iota
	// phaseReading: the first read of a refused call is in progress.
	phaseReading
	// phaseWaiting: another attempt holds the claim; the row is polled.
	phaseWaiting
	// phaseClaiming: the write of the claim is in progress.
	phaseClaiming
	// phaseResolving: the outcome of the write of the claim is unknown and the
	// row is being read.
	phaseResolving
	// phaseRefusing: the call is refused and a void is being written, which
	// allows the answer to be not_run.
	phaseRefusing
	// phaseSending: the request is being sent or the service is running it.
	phaseSending
	// phaseStoring: the result is being written.
	phaseStoring
	// phaseAbandoned: the write of the claim or the read that resolves it is in
	// progress, but the caller has already been answered with attempt_not_run.
	phaseAbandoned
	// phaseVoiding: the claim of this attempt is being voided.
	phaseVoiding
	phaseFinished
)

// Machine is the state machine of one attempt. It answers the caller once.
//
// An attempt runs when the service executes its request. The outcomes guarantee
// the following:
//
//   - not_run for attempt A: neither A nor any attempt with the same key that
//     started before A has run or will ever run. An attempt that starts after A
//     may run, because it is a new request of the caller.
//   - attempt_not_run for attempt A: A has not run and will never run.
//
// not_run requires a void row with VoidedAt at or after A's start, or a row with A's
// own claim: only A's node changes that row, and it will change it to such a void. An
// attempt does not claim a void row with VoidedAt at or after its own start, and
// a claim is conditional on a version of the row. Therefore an attempt that
// started earlier and was delayed cannot run afterwards. The order of attempts is
// determined by the wall clocks of the hosts: two attempts closer together than
// the difference between the clocks count as concurrent.
type Machine struct {
	call    Call
	phase   phase
	started time.Time
	// answered is set once the caller has been answered. A request that has not been
	// sent by then must not be sent.
	answered bool
	// refusal is set if the call must not run.
	refusal    callerapi.Code
	retryAfter time.Duration
	// version is the version that the next write is conditional on: that of
	// this attempt's claim if held is set, otherwise that of the row that was
	// read.
	version int64
	// held is set once this attempt's claim is known to be in the row.
	held bool
	// inDoubt is set while a write of the claim, conditional on version, may
	// have taken effect or may still do so.
	inDoubt bool
	// claimStart is the time at which the first write of the claim began.
	claimStart ClockReading
	// waitUntil is the monotonic time at which phaseWaiting ends.
	waitUntil time.Duration
	// result is kept until it is stored.
	result *Result
}

// New returns the state machine of one attempt.
func New(call Call) Machine { return Machine{call: call} }

// Finished reports whether the machine has ended and returns no more actions.
func (m *Machine) Finished() bool { return m.phase == phaseFinished }

// AwaitsStore reports whether the caller's answer depends on an operation of the
// table and nothing has been sent yet.
func (m *Machine) AwaitsStore() bool {
	switch m.phase {
	case phaseReading, phaseClaiming, phaseResolving, phaseRefusing:
		return true
	}
	return false
}

// Step applies an event and returns the actions to carry out, in order.
func (m *Machine) Step(now ClockReading, e Event) []Action {
	switch {
	case m.phase == phaseFinished:
		return nil
	case e.Kind == EventStart:
		return m.start(now, e)
	case e.Kind == EventDeadline:
		return m.answerWithoutResult(callerapi.CodeStoreUnavailable)
	case e.Kind == EventClockJump:
		return m.handleClockJump()
	}
	switch m.phase {
	case phaseReading, phaseWaiting:
		return m.stepReading(now, e)
	case phaseClaiming, phaseResolving:
		return m.stepClaiming(now, e)
	case phaseRefusing:
		return m.stepRefusing(now, e)
	case phaseSending:
		return m.stepSending(now, e)
	case phaseStoring:
		return m.stepStoring(e)
	case phaseAbandoned, phaseVoiding:
		return m.stepVoiding(now, e)
	}
	return nil
}

func (m *Machine) start(now ClockReading, e Event) []Action {
	if m.phase != phaseNew {
		return nil
	}
	m.phase, m.started = phaseReading, now.Wall
	m.refusal, m.retryAfter = e.Refusal, e.RetryAfter
	if e.Refusal == "" {
		// Most keys are new, so the claim is written without a read first. A
		// conflict returns the existing row.
		return m.writeClaim(now)
	}
	return []Action{{Kind: ActionRead}}
}

func (m *Machine) stepReading(now ClockReading, e Event) []Action {
	switch {
	case e.Kind == EventRow:
		return m.handleRow(now, e.Row, e.Version)
	case m.phase == phaseWaiting:
		return m.wait(now)
	default:
		return m.finish(m.answerError(m.storeFailureCode(), callerapi.OutcomeAttemptNotRun, storeRetryAfter))
	}
}

// handleRow continues the call from a row that does not hold this attempt's
// claim.
func (m *Machine) handleRow(now ClockReading, row Row, version int64) []Action {
	m.version = version
	switch {
	case row.State != "" && row.Fingerprint != m.call.Fingerprint:
		return m.finish(m.answerError(callerapi.CodeKeyReused, callerapi.OutcomeAttemptNotRun, 0))
	case row.State == StateDone:
		m.answered = true
		return m.finish([]Action{{Kind: ActionAnswer, Result: row.Result, Replayed: true}})
	case row.State == StateClaimed:
		return m.wait(now)
	case row.State == StateVoid && !m.started.After(row.VoidedAt):
		return m.finish(m.answerVoid(row))
	case m.refusal != "":
		m.phase = phaseRefusing
		return []Action{m.write(now, StateVoid, nil)}
	default:
		return m.writeClaim(now)
	}
}

// answerVoid answers an attempt that started at or before the time of the void.
func (m *Machine) answerVoid(row Row) []Action {
	if m.refusal != "" {
		return m.answerError(m.refusal, callerapi.OutcomeNotRun, m.retryAfter)
	}
	retryAfter := max(row.VoidedAt.Sub(m.started), time.Millisecond)
	return m.answerError(callerapi.CodeBackendUnavailable, callerapi.OutcomeNotRun, retryAfter)
}

func (m *Machine) wait(now ClockReading) []Action {
	if m.phase != phaseWaiting {
		m.phase, m.waitUntil = phaseWaiting, now.Monotonic+ResultWait
	}
	if now.Monotonic >= m.waitUntil {
		return m.finish(m.answerError(callerapi.CodeOutcomeUnknown, callerapi.OutcomeUnknown, ResultWait))
	}
	return []Action{{Kind: ActionRead, Delay: PollInterval}}
}

func (m *Machine) writeClaim(now ClockReading) []Action {
	m.phase = phaseClaiming
	if m.claimStart == (ClockReading{}) {
		m.claimStart = now
	}
	return []Action{m.write(now, StateClaimed, nil)}
}

func (m *Machine) stepClaiming(now ClockReading, e Event) []Action {
	switch e.Kind {
	case EventCommitted:
		return m.send(now, e.Version)
	case EventRow, EventConflict:
		return m.resolveClaim(now, e.Row, e.Version)
	case EventUnknown, EventReadFailed:
		m.phase, m.inDoubt = phaseResolving, true
		if m.sendWindowElapsed(now) {
			return m.abandonClaim()
		}
		return []Action{{Kind: ActionRead}}
	default:
		if m.inDoubt {
			return m.abandonClaim()
		}
		return m.finish(m.answerError(callerapi.CodeStoreUnavailable, callerapi.OutcomeAttemptNotRun, storeRetryAfter))
	}
}

// resolveClaim continues the call from a row that was read after the write of
// this attempt's claim failed or is in doubt.
func (m *Machine) resolveClaim(now ClockReading, row Row, version int64) []Action {
	switch {
	case m.holdsOwnClaim(row):
		return m.send(now, version)
	case version != m.version:
		// The condition can no longer be met, so a claim in doubt cannot take
		// effect.
		m.inDoubt = false
		return m.handleRow(now, row, version)
	case m.sendWindowElapsed(now):
		return m.abandonClaim()
	default:
		// Writing again is safe: only one write conditional on this version can
		// commit.
		return m.writeClaim(now)
	}
}

func (m *Machine) send(now ClockReading, version int64) []Action {
	m.version, m.held, m.inDoubt = version, true, false
	if m.sendWindowElapsed(now) {
		return m.voidUnsent(now, callerapi.CodeNodeIsolated)
	}
	m.phase = phaseSending
	return []Action{{Kind: ActionSend}}
}

func (m *Machine) sendWindowElapsed(now ClockReading) bool {
	return SendWindowElapsed(m.claimStart, now)
}

// SendWindowElapsed reports whether, by either clock, more than SendWindow has
// passed since start, the beginning of the write of the claim. If the wall clock
// was set back, the elapsed time is unknown and the window counts as elapsed.
func SendWindowElapsed(start, now ClockReading) bool {
	wall := now.Wall.Sub(start.Wall)
	return wall < 0 || wall > SendWindow || now.Monotonic-start.Monotonic > SendWindow
}

func (m *Machine) stepRefusing(now ClockReading, e Event) []Action {
	switch e.Kind {
	case EventCommitted:
		return m.finish(m.answerError(m.refusal, callerapi.OutcomeNotRun, m.retryAfter))
	case EventConflict:
		return m.handleRow(now, e.Row, e.Version)
	default:
		return m.finish(m.answerError(m.refusal, callerapi.OutcomeAttemptNotRun, m.retryAfter))
	}
}

func (m *Machine) stepSending(now ClockReading, e Event) []Action {
	switch e.Kind {
	case EventResponse:
		m.phase, m.result = phaseStoring, e.Result
		return append(m.answerResult(e.Result), m.write(now, StateDone, e.Result))
	case EventNotSent:
		return m.voidUnsent(now, callerapi.CodeBackendUnavailable)
	default:
		return m.finish(m.answerError(callerapi.CodeOutcomeUnknown, callerapi.OutcomeUnknown, ResultWait))
	}
}
