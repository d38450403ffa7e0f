package claim

import (
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
)

// Now is one reading of both clocks. The monotonic clock does not see a
// suspended host on every system and the wall clock can be set, so that limits
// are checked by both.
type Now struct {
	Wall      time.Time
	Monotonic time.Duration
}

// EventKind tells what happened.
type EventKind int

// Kinds of events. A machine has at most one operation (read, write or send)
// under way; EventDeadline and EventClockJump can come at any time.
const (
	// EventStart begins the call. With Refusal set the call must not run, and
	// the row is read only to find the outcome of an earlier attempt.
	EventStart EventKind = iota + 1
	// EventRow delivers the row that was read, in Row and Version.
	EventRow
	// EventRowUnreadable: the read failed.
	EventRowUnreadable
	// EventCommitted: the write took effect and the row has Version.
	EventCommitted
	// EventConflict: the write did not take effect, and Row and Version hold
	// the present row.
	EventConflict
	// EventUnavailable: the table refused the write before it took effect.
	EventUnavailable
	// EventUnknown: the write may have taken effect or may do so later.
	EventUnknown
	// EventResponse: the service returned Result.
	EventResponse
	// EventNotSent: no byte of the request was written.
	EventNotSent
	// EventMaybeSent: sending failed after a byte may have been written.
	EventMaybeSent
	// EventDeadline: the caller must be answered now.
	EventDeadline
	// EventClockJump: the process was paused.
	EventClockJump
)

// Event is an input of a Machine.
type Event struct {
	Kind    EventKind
	Row     Row
	Version int64
	Result  *Result
	// Refusal and RetryAfter belong to EventStart.
	Refusal    callerapi.Code
	RetryAfter time.Duration
}

// ActionKind tells what to do.
type ActionKind int

// Kinds of actions.
const (
	// ActionRead reads the row after the time Delay.
	ActionRead ActionKind = iota + 1
	// ActionWrite writes Row on condition of Version.
	ActionWrite
	// ActionSend sends the request once.
	ActionSend
	// ActionAnswer answers the caller: with Result, or with Code and Outcome.
	ActionAnswer
	// ActionFinish ends the machine. A result of an operation that is still
	// under way is dropped.
	ActionFinish
)

// Action is an output of a Machine.
type Action struct {
	Kind    ActionKind
	Delay   time.Duration
	Row     Row
	Version int64
	// Result is the service's result; Replayed tells that it is of an earlier
	// attempt.
	Result   *Result
	Replayed bool
	// Code, Outcome and RetryAfter describe an error.
	Code       callerapi.Code
	Outcome    callerapi.Outcome
	RetryAfter time.Duration
}
