package claim

import (
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
)

// ClockReading is one reading of the wall clock and the monotonic clock. Limits
// are checked against both, because on some systems the monotonic clock stops
// while the host is suspended, and the wall clock can be set.
type ClockReading struct {
	Wall      time.Time
	Monotonic time.Duration
}

// EventKind is the kind of an Event.
type EventKind int

// Kinds of events. A machine has at most one operation (read, write or send) in
// progress; EventDeadline and EventClockJump can occur at any time.
const (
	// EventStart starts the call. If Refusal is set, the call must not run, and
	// the row is read only to find the outcome of an earlier attempt.
	EventStart EventKind = iota + 1
	// EventRow delivers the row that was read, in Row and Version.
	EventRow
	// EventReadFailed means that the row could not be read or decoded.
	EventReadFailed
	// EventCommitted means that the write took effect; Version is the new
	// version of the row.
	EventCommitted
	// EventConflict means that the write did not take effect; Row and Version
	// are the current row and its version.
	EventConflict
	// EventUnavailable means that the write failed and did not take effect.
	EventUnavailable
	// EventUnknown means that the write may have taken effect or may still do
	// so later.
	EventUnknown
	// EventResponse means that the service returned Result.
	EventResponse
	// EventNotSent means that no byte of the request was written.
	EventNotSent
	// EventMaybeSent means that sending failed after bytes of the request may
	// have been written.
	EventMaybeSent
	// EventDeadline means that the caller must be answered now.
	EventDeadline
	// EventClockJump means that the process was paused.
	EventClockJump
)

// Event is an input to a Machine.
type Event struct {
	Kind    EventKind
	Row     Row
	Version int64
	Result  *Result
	// Refusal and RetryAfter are used by EventStart only.
	Refusal    callerapi.Code
	RetryAfter time.Duration
}

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	// ActionRead reads the row after Delay.
	ActionRead ActionKind = iota + 1
	// ActionWrite writes Row on condition that the row has Version.
	ActionWrite
	// ActionSend sends the request once.
	ActionSend
	// ActionAnswer answers the caller: with Result, or with Code and Outcome.
	ActionAnswer
	// ActionFinish ends the machine. The result of an operation that is still
	// in progress is discarded.
	ActionFinish
)

// Action is an output of a Machine.
type Action struct {
	Kind    ActionKind
	Delay   time.Duration
	Row     Row
	Version int64
	// Result is the result of the service; Replayed reports whether it is the
	// result of an earlier attempt.
	Result   *Result
	Replayed bool
	// Code, Outcome and RetryAfter describe an error.
	Code       callerapi.Code
	Outcome    callerapi.Outcome
	RetryAfter time.Duration
}
