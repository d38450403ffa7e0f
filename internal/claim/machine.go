package claim

import (
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Limits of a call.
const (
	// SendWindow bounds the time from the start of the claim's write to the
	// send. A node that was paused for longer does not send.
	SendWindow = 5 * time.Second
	// ResultWait is how long a retry waits for the result of an attempt that
	// holds the claim.
	ResultWait = 2 * time.Second
	// PollInterval is the time between two reads while a retry waits.
	PollInterval = 200 * time.Millisecond
	// BackgroundInterval is the time between two tries to store a result or a
	// void after the table failed.
	BackgroundInterval = 500 * time.Millisecond
	// storeRetryAfter is what callers are told while the table is down.
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
	// phaseReading: the first read of a refused call is under way.
	phaseReading
	// phaseWaiting: another attempt holds the claim; the row is polled.
	phaseWaiting
	// phaseClaiming: the claim's write is under way.
	phaseClaiming
	// phaseResolving: the outcome of the claim's write is unknown and the row
	// is being read.
	phaseResolving
	// phaseSealing: the void that a refusal rests on is being written.
	phaseSealing
	// phaseSending: the request is under way.
	phaseSending
	// phaseStoring: the result is being written.
	phaseStoring
	// phaseAbandoned: the claim's write or the read that resolves it is under
	// way, but the caller was told that this attempt will not run.
	phaseAbandoned
	// phaseVoiding: the claim is being voided.
	phaseVoiding
	phaseFinished
)

// Machine is the state machine of one attempt. It answers the caller once.
//
// What the outcomes promise, where an attempt "runs" when the service executes
// its request:
//
//   - not_run for attempt A: neither A nor any attempt with the same key that
//     started before A has run or will ever run. An attempt that starts after A
//     may run: it is a new request of the caller.
//   - attempt_not_run for attempt A: A has not run and will never run.
//
// not_run rests on a void row with VoidedAt at or after A's start, or on A's own
// claim, which only A's node will turn into such a void. An attempt does not
// claim a void row with VoidedAt at or after its own start, and a claim is
// conditional on a version of the row, so that an attempt that started earlier
// and was delayed cannot run afterwards. "Before" is judged by the wall clocks
// of the hosts: two attempts closer together than the clocks' difference count
// as concurrent.
type Machine struct {
	call    Call
	phase   phase
	started time.Time
	// answered: the caller has its answer, and the attempt must not be sent.
	answered bool
	// refusal is set if the call must not run.
	refusal    callerapi.Code
	retryAfter time.Duration
	// version is the version that the next write is conditional on: of the
	// own claim, if held, else of the row that was read.
	version int64
	// held: the own claim was seen in the row.
	held bool
	// inDoubt: a write of the claim, conditional on version, may take effect.
	inDoubt bool
	// claimStart is when the first write of the claim began.
	claimStart Now
	// waitUntil ends phaseWaiting.
	waitUntil time.Duration
	// result is kept until it is stored.
	result *Result
}

// New returns the machine of one attempt.
func New(call Call) Machine { return Machine{call: call} }

// Finished tells whether no further action will come.
func (m *Machine) Finished() bool { return m.phase == phaseFinished }

// AwaitsStore tells that the caller's answer waits for the table, before
// anything is sent.
func (m *Machine) AwaitsStore() bool {
	switch m.phase {
	case phaseReading, phaseClaiming, phaseResolving, phaseSealing:
		return true
	}
	return false
}

// Step applies an event and returns what to do, in order.
func (m *Machine) Step(now Now, e Event) []Action {
	switch {
	case m.phase == phaseFinished:
		return nil
	case e.Kind == EventStart:
		return m.start(now, e)
	case e.Kind == EventDeadline:
		return m.giveUp(callerapi.CodeStoreUnavailable)
	case e.Kind == EventClockJump:
		return m.clockJump()
	}
	switch m.phase {
	case phaseReading, phaseWaiting:
		return m.stepReading(now, e)
	case phaseClaiming, phaseResolving:
		return m.stepClaiming(now, e)
	case phaseSealing:
		return m.stepSealing(now, e)
	case phaseSending:
		return m.stepSending(now, e)
	case phaseStoring:
		return m.stepStoring(e)
	case phaseAbandoned, phaseVoiding:
		return m.stepVoiding(now, e)
	}
	return nil
}

func (m *Machine) start(now Now, e Event) []Action {
	if m.phase != phaseNew {
		return nil
	}
	m.phase, m.started = phaseReading, now.Wall
	m.refusal, m.retryAfter = e.Refusal, e.RetryAfter
	if e.Refusal == "" {
		// Most keys are new, so that the claim is written without a read; a
		// conflict brings the row.
		return m.claim(now)
	}
	return []Action{{Kind: ActionRead}}
}

func (m *Machine) stepReading(now Now, e Event) []Action {
	switch {
	case e.Kind == EventRow:
		return m.decide(now, e.Row, e.Version)
	case m.phase == phaseWaiting:
		return m.wait(now)
	default:
		return m.finish(m.fail(m.storeCode(), callerapi.OutcomeAttemptNotRun, storeRetryAfter))
	}
}

// decide judges a row that does not hold this attempt's claim.
func (m *Machine) decide(now Now, row Row, version int64) []Action {
	m.version = version
	switch {
	case row.State != "" && row.Fingerprint != m.call.Fingerprint:
		return m.finish(m.fail(callerapi.CodeKeyReused, callerapi.OutcomeAttemptNotRun, 0))
	case row.State == StateDone:
		m.answered = true
		return m.finish([]Action{{Kind: ActionAnswer, Result: row.Result, Replayed: true}})
	case row.State == StateClaimed:
		return m.wait(now)
	case row.State == StateVoid && !m.started.After(row.VoidedAt):
		return m.finish(m.refuseVoid(row))
	case m.refusal != "":
		m.phase = phaseSealing
		return []Action{m.write(now, StateVoid, nil)}
	default:
		return m.claim(now)
	}
}

// refuseVoid answers an attempt that started before the void was written.
func (m *Machine) refuseVoid(row Row) []Action {
	if m.refusal != "" {
		return m.fail(m.refusal, callerapi.OutcomeNotRun, m.retryAfter)
	}
	retryAfter := max(row.VoidedAt.Sub(m.started), time.Millisecond)
	return m.fail(callerapi.CodeBackendUnavailable, callerapi.OutcomeNotRun, retryAfter)
}

func (m *Machine) wait(now Now) []Action {
	if m.phase != phaseWaiting {
		m.phase, m.waitUntil = phaseWaiting, now.Monotonic+ResultWait
	}
	if now.Monotonic >= m.waitUntil {
		return m.finish(m.fail(callerapi.CodeOutcomeUnknown, callerapi.OutcomeUnknown, ResultWait))
	}
	return []Action{{Kind: ActionRead, Delay: PollInterval}}
}

func (m *Machine) claim(now Now) []Action {
	m.phase = phaseClaiming
	if m.claimStart == (Now{}) {
		m.claimStart = now
	}
	return []Action{m.write(now, StateClaimed, nil)}
}

func (m *Machine) stepClaiming(now Now, e Event) []Action {
	switch e.Kind {
	case EventCommitted:
		return m.send(now, e.Version)
	case EventRow, EventConflict:
		return m.compare(now, e.Row, e.Version)
	case EventUnknown, EventRowUnreadable:
		m.phase, m.inDoubt = phaseResolving, true
		if m.windowOver(now) {
			return m.abandonAndRead()
		}
		return []Action{{Kind: ActionRead}}
	default:
		if m.inDoubt {
			return m.abandonAndRead()
		}
		return m.finish(m.fail(callerapi.CodeStoreUnavailable, callerapi.OutcomeAttemptNotRun, storeRetryAfter))
	}
}

// compare judges a row while the own claim's write failed or is in doubt.
func (m *Machine) compare(now Now, row Row, version int64) []Action {
	switch {
	case m.owns(row):
		return m.send(now, version)
	case version != m.version:
		// The condition can no longer hold, so a claim in doubt is lost.
		m.inDoubt = false
		return m.decide(now, row, version)
	case m.windowOver(now):
		return m.abandonAndRead()
	default:
		// Writing again is safe: only one write on this version can commit.
		return m.claim(now)
	}
}

func (m *Machine) send(now Now, version int64) []Action {
	m.version, m.held, m.inDoubt = version, true, false
	if m.windowOver(now) {
		return m.voidUnsent(now, callerapi.CodeNodeIsolated)
	}
	m.phase = phaseSending
	return []Action{{Kind: ActionSend}}
}

func (m *Machine) windowOver(now Now) bool { return WindowOver(m.claimStart, now) }

// WindowOver tells whether a claim whose write began at start may not be sent
// any more, by either clock. A wall clock that was set back proves nothing, so
// that the window counts as over.
func WindowOver(start, now Now) bool {
	wall := now.Wall.Sub(start.Wall)
	return wall < 0 || wall > SendWindow || now.Monotonic-start.Monotonic > SendWindow
}

func (m *Machine) stepSealing(now Now, e Event) []Action {
	switch e.Kind {
	case EventCommitted:
		return m.finish(m.fail(m.refusal, callerapi.OutcomeNotRun, m.retryAfter))
	case EventConflict:
		return m.decide(now, e.Row, e.Version)
	default:
		return m.finish(m.fail(m.refusal, callerapi.OutcomeAttemptNotRun, m.retryAfter))
	}
}

func (m *Machine) stepSending(now Now, e Event) []Action {
	switch e.Kind {
	case EventResponse:
		m.phase, m.result = phaseStoring, e.Result
		return append(m.answer(e.Result), m.write(now, StateDone, e.Result))
	case EventNotSent:
		return m.voidUnsent(now, callerapi.CodeBackendUnavailable)
	default:
		return m.finish(m.fail(callerapi.CodeOutcomeUnknown, callerapi.OutcomeUnknown, ResultWait))
	}
}
