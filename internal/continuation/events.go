package continuation

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Event is an input of the state machine. The JSON names of events and actions
// are those of recorded traces.
type Event interface{ event() }

// Started begins the generation.
type Started struct{}

// Placed answers a Place action: the attempt may open on the backend server.
type Placed struct {
	Attempt ident.AttemptID `json:"attempt"`
	Backend ident.BackendID `json:"backend"`
	// FirstTokenLimit is how long the first token may take.
	FirstTokenLimit time.Duration `json:"first_token_limit_ns"`
}

// PlacementFailed answers a Place action.
type PlacementFailed struct {
	// RetryAfter is when placement may succeed. Zero: it will not.
	RetryAfter time.Duration `json:"retry_after_ns"`
	Reason     string        `json:"reason"`
}

// Token arrives on the stream of an attempt.
type Token struct {
	Attempt ident.AttemptID `json:"attempt"`
	Index   int             `json:"index"`
	Text    string          `json:"text"`
	// Finish is the finish reason on the last token.
	Finish string `json:"finish"`
	// SilenceLimit is how long the stream may be silent from now on.
	SilenceLimit time.Duration `json:"silence_limit_ns"`
}

// Broken tells that the connection of an attempt ended before the answer did.
type Broken struct {
	Attempt ident.AttemptID `json:"attempt"`
	// Rejected tells that the backend server answered and refused the stream,
	// so that neither a probe nor a reconnect can help.
	Rejected bool   `json:"rejected"`
	Reason   string `json:"reason"`
}

// Ended tells that the stream of an attempt came to its end: the engine has no
// token after those that it delivered.
type Ended struct {
	Attempt ident.AttemptID `json:"attempt"`
	// Finish is the finish reason if the engine gave it without a token.
	Finish string `json:"finish"`
}

// Probed answers a Probe action.
type Probed struct {
	Attempt ident.AttemptID `json:"attempt"`
	// Alive tells that the backend server knows the stream.
	Alive bool `json:"alive"`
	// Dead tells that the backend server refused the connection: its process is
	// gone.
	Dead bool `json:"dead"`
	// Queued tells that the stream waits for its prefill.
	Queued bool `json:"queued"`
	// Tokens is the index of the next token that the stream will produce.
	Tokens int `json:"tokens"`
	// SilenceLimit is how long the stream may be silent from now on.
	SilenceLimit time.Duration `json:"silence_limit_ns"`
}

// Acknowledged tells that a replica holds the first Tokens tokens.
type Acknowledged struct {
	Tokens int `json:"tokens"`
}

// Protection tells whether a replica can be reached. Without one, tokens are
// released unprotected.
type Protection struct {
	Available bool `json:"available"`
}

// Tick tells that the time of Machine.Deadline has come.
type Tick struct{}

// CallerGone tells that the caller's connection ended.
type CallerGone struct{}

// TakenOver tells that another connection of the caller continues the answer.
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

// Action is an output of the state machine.
type Action interface{ action() }

// Place asks for a backend server.
type Place struct {
	// Resume tells that the generation had an attempt before; it goes before
	// new work and spends from the retry budget.
	Resume bool `json:"resume"`
	// Exclude lists backend servers on which this generation failed.
	Exclude []ident.BackendID `json:"exclude"`
}

// Open opens a stream that continues from the first Tokens tokens.
type Open struct {
	Attempt ident.AttemptID `json:"attempt"`
	Backend ident.BackendID `json:"backend"`
	Tokens  int             `json:"tokens"`
}

// Reconnect opens a new connection to the stream of an attempt, from a token.
type Reconnect struct {
	Attempt ident.AttemptID `json:"attempt"`
	Backend ident.BackendID `json:"backend"`
	From    int             `json:"from"`
}

// Probe asks the backend server over a new connection about a stream.
type Probe struct {
	Attempt ident.AttemptID `json:"attempt"`
	Backend ident.BackendID `json:"backend"`
}

// Cancel ends an attempt, at the backend server as well.
type Cancel struct {
	Attempt ident.AttemptID `json:"attempt"`
	Backend ident.BackendID `json:"backend"`
	// Lost tells that the backend server did not answer for the stream.
	Lost bool `json:"lost"`
	// Dead tells that its process is gone.
	Dead bool `json:"dead"`
	// Rejected tells that the backend server refused the stream.
	Rejected bool `json:"rejected"`
}

// Detach closes the connection of an attempt and leaves its stream to another
// node.
type Detach struct {
	Attempt ident.AttemptID `json:"attempt"`
}

// Drop returns a placement that is not needed any more.
type Drop struct {
	Attempt ident.AttemptID `json:"attempt"`
	Backend ident.BackendID `json:"backend"`
}

// Replicate sends a token to the replica, with the finish reason if it is the
// last one, so that a copy never holds the last token without knowing it.
type Replicate struct {
	Index  int    `json:"index"`
	Finish string `json:"finish"`
}

// Release sends the tokens from From to before To to the caller.
type Release struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Discarded reports a token that the journal did not accept.
type Discarded struct {
	Attempt ident.AttemptID `json:"attempt"`
	Index   int             `json:"index"`
}

// Lost reports that the current attempt is suspected.
type Lost struct {
	Attempt ident.AttemptID `json:"attempt"`
	Backend ident.BackendID `json:"backend"`
	Reason  string          `json:"reason"`
}

// Resumed reports that the answer continues after a loss.
type Resumed struct {
	Attempt ident.AttemptID `json:"attempt"`
	Backend ident.BackendID `json:"backend"`
	// Latency is the time from the last token before the loss.
	Latency time.Duration `json:"latency_ns"`
	// SameStream tells that no new attempt was needed.
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

// End ends the generation without telling the caller, who is gone.
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
