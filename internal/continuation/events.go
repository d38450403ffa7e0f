package continuation

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Event is an input to the state machine. The JSON names of events and actions
// are part of the format of recorded traces.
type Event interface{ event() }

// Started starts the generation.
type Started struct{}

// Placed reports the success of a Place action: the attempt may be opened on the
// backend server.
type Placed struct {
	Attempt ident.AttemptID `json:"attempt"`
	Backend ident.BackendID `json:"backend"`
	// FirstTokenLimit is the maximum time until the first token.
	FirstTokenLimit time.Duration `json:"first_token_limit_ns"`
}

// PlacementFailed reports the failure of a Place action.
type PlacementFailed struct {
	// RetryAfter is the time after which placement may succeed. Zero means that
	// a retry will not succeed.
	RetryAfter time.Duration `json:"retry_after_ns"`
	Reason     string        `json:"reason"`
}

// Token reports a token that arrived on the stream of an attempt.
type Token struct {
	Attempt ident.AttemptID `json:"attempt"`
	Index   int             `json:"index"`
	Text    string          `json:"text"`
	// Finish is the finish reason, which is set on the last token only.
	Finish string `json:"finish"`
	// SilenceLimit is how long the stream may be silent from now on.
	SilenceLimit time.Duration `json:"silence_limit_ns"`
}

// Broken reports that the connection of an attempt ended before the answer was
// complete.
type Broken struct {
	Attempt ident.AttemptID `json:"attempt"`
	// Rejected is set if the backend server answered and refused the stream, so
	// that neither a probe nor a reconnect can help.
	Rejected bool   `json:"rejected"`
	Reason   string `json:"reason"`
}

// Ended reports the end of the stream of an attempt: the engine has no tokens
// after those that it delivered.
type Ended struct {
	Attempt ident.AttemptID `json:"attempt"`
	// Finish is the finish reason if the engine sent it without a token.
	Finish string `json:"finish"`
}

// Probed reports the result of a Probe action.
type Probed struct {
	Attempt ident.AttemptID `json:"attempt"`
	// Alive is set if the stream exists on the backend server.
	Alive bool `json:"alive"`
	// Dead is set if the backend server refused the connection, which means that
	// its process no longer exists.
	Dead bool `json:"dead"`
	// Queued is set if the stream is waiting for its prefill.
	Queued bool `json:"queued"`
	// Tokens is the index of the next token that the stream will produce.
	Tokens int `json:"tokens"`
	// SilenceLimit is how long the stream may be silent from now on.
	SilenceLimit time.Duration `json:"silence_limit_ns"`
}

// Acknowledged reports that a replica holds the first Tokens tokens.
type Acknowledged struct {
	Tokens int `json:"tokens"`
}

// Protection reports whether a replica can be reached. While none can, tokens are
// released to the caller without a replicated copy.
type Protection struct {
	Available bool `json:"available"`
}

// Tick reports that the time returned by Machine.Deadline has been reached.
type Tick struct{}

// CallerGone reports that the caller's connection ended.
type CallerGone struct{}

// TakenOver reports that another connection of the caller continues the answer.
type TakenOver struct{}

func (Started) event()         {}
func (Placed) event()          {}
func (PlacementFailed) event() {}
func (Token) event()           {}
func (Broken) event()          {}
func (Ended) event()           {}
func (Probed) event()          {}
func (Acknowledged) event()    {}
func (Protection) event()      {}
func (Tick) event()            {}
func (CallerGone) event()      {}
func (TakenOver) event()       {}

// Action is an output of the state machine, to be executed by its caller.
type Action interface{ action() }

// Place requests a backend server for a new attempt.
type Place struct {
	// Resume is set if an earlier attempt of the generation may have run. A
	// resume has priority over new work and is charged to the retry budget.
	Resume bool `json:"resume"`
	// Exclude lists the backend servers on which this generation failed and
	// those of its suspected attempts.
	Exclude []ident.BackendID `json:"exclude"`
}

// Open opens a stream that continues after the first Tokens tokens.
type Open struct {
	Attempt ident.AttemptID `json:"attempt"`
	Backend ident.BackendID `json:"backend"`
	Tokens  int             `json:"tokens"`
}

// Reconnect opens a new connection to the stream of an attempt, starting at the
// token with index From.
type Reconnect struct {
	Attempt ident.AttemptID `json:"attempt"`
	Backend ident.BackendID `json:"backend"`
	From    int             `json:"from"`
}

// Probe queries the backend server about a stream over a new connection.
type Probe struct {
	Attempt ident.AttemptID `json:"attempt"`
	Backend ident.BackendID `json:"backend"`
}

// Cancel ends an attempt, including its stream on the backend server.
type Cancel struct {
	Attempt ident.AttemptID `json:"attempt"`
	Backend ident.BackendID `json:"backend"`
	// Lost is set if the backend server stopped serving the stream without
	// rejecting it.
	Lost bool `json:"lost"`
	// Dead is set if the process of the backend server no longer exists.
	Dead bool `json:"dead"`
	// Rejected is set if the backend server refused the stream.
	Rejected bool `json:"rejected"`
}

// Detach closes the connection of an attempt but keeps its stream running for
// another node.
type Detach struct {
	Attempt ident.AttemptID `json:"attempt"`
}

// Drop releases a placement for which no stream was opened.
type Drop struct {
	Attempt ident.AttemptID `json:"attempt"`
	Backend ident.BackendID `json:"backend"`
}

// Replicate sends a token to the replica, with the finish reason if it is the
// last one, so that a replica that holds the last token also holds the finish
// reason.
type Replicate struct {
	Index  int    `json:"index"`
	Finish string `json:"finish"`
}

// Release sends the tokens in the range [From, To) to the caller.
type Release struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Discarded reports a token that the journal did not accept.
type Discarded struct {
	Attempt ident.AttemptID `json:"attempt"`
	Index   int             `json:"index"`
}

// Lost reports that an attempt is suspected of being lost.
type Lost struct {
	Attempt ident.AttemptID `json:"attempt"`
	Backend ident.BackendID `json:"backend"`
	Reason  string          `json:"reason"`
}

// Resumed reports that the answer continues after a loss.
type Resumed struct {
	Attempt ident.AttemptID `json:"attempt"`
	Backend ident.BackendID `json:"backend"`
	// Latency is the time between the last token before the loss and the first
	// one after it.
	Latency time.Duration `json:"latency_ns"`
	// SameStream is set if no new attempt was needed.
	SameStream bool `json:"same_stream"`
}

// Finish ends the answer.
type Finish struct {
	Reason string `json:"reason"`
}

// Fail ends the answer with an error.
type Fail struct {
	Reason string `json:"reason"`
}

// End ends the generation without a message to the caller, whose connection has
// ended or been replaced by another.
type End struct{}

func (Place) action()     {}
func (Open) action()      {}
func (Reconnect) action() {}
func (Probe) action()     {}
func (Cancel) action()    {}
func (Detach) action()    {}
func (Drop) action()      {}
func (Replicate) action() {}
func (Release) action()   {}
func (Discarded) action() {}
func (Lost) action()      {}
func (Resumed) action()   {}
func (Finish) action()    {}
func (Fail) action()      {}
func (End) action()       {}
