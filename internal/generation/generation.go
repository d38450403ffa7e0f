// Package generation runs text generations. It executes the actions of a
// continuation.Machine against backend servers, replicas and the caller, and
// passes their results back to the machine as events.
//
// Each generation has one goroutine that owns the machine and the journal, and
// one goroutine for each open stream that reads it. Readers send to the
// generation's bounded event queue; when the queue is full, the reader blocks,
// which applies backpressure to the engine's connection.
package generation

import (
	"context"
	"crypto/sha256"
	"hash"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/cursor"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/quarantine"
)

// Request is a request for one generation.
type Request struct {
	Generation ident.GenerationID
	Request    ident.RequestID
	Team       ident.Team
	// Route and Body are the caller's request as it is copied to replicas.
	Route string
	Body  []byte
	// RequestDigest identifies Route and Body in cursors.
	RequestDigest cursor.Digest
	Model         string
	Prompt        string
	PromptTokens  int
	MaxTokens     int
	Priority      int
	// Fingerprint identifies the content of the request within its team.
	Fingerprint quarantine.Fingerprint
}

// StartState is the state in which a generation begins: empty for a new one, or
// the tokens produced so far if this node continues a generation of another node.
type StartState struct {
	Journal *continuation.Journal
	// Released is the number of tokens of the journal that the caller has.
	Released int
	// FinishReason is the finish reason if the journal is complete, empty otherwise.
	FinishReason string
	// Attempt and Backend identify an existing stream to continue reading; empty
	// if there is none.
	Attempt ident.AttemptID
	Backend ident.BackendID
	// Replicas are the hosts that hold a copy of the journal.
	Replicas []ident.HostID
}

// Backends opens streams on backend servers.
type Backends interface {
	Open(ctx context.Context, id ident.BackendID, request backendapi.CompletionRequest) (Stream, error)
	Resume(ctx context.Context, id ident.BackendID, attempt ident.AttemptID, from int) (Stream, error)
	Status(ctx context.Context, id ident.BackendID, attempt ident.AttemptID) (backendapi.StreamStatus, error)
	// Cancel cancels a stream in the background, without waiting.
	Cancel(id ident.BackendID, attempt ident.AttemptID)
}

// Stream is one connection to a stream of a backend server.
type Stream interface {
	// Next returns the next event. It returns io.EOF itself, not wrapped, after
	// the end of the response, and any other error if the connection ended
	// earlier.
	Next() (backendapi.StreamEvent, error)
	Close()
}

// FinalError is a placement error that reports whether it is permanent.
type FinalError interface {
	error
	// Final reports whether a retry cannot succeed.
	Final() bool
}

// Placer chooses backend servers.
type Placer interface {
	// Place waits for admission and capacity and returns the chosen backend
	// server.
	Place(ctx context.Context, request *Request, spec PlacementRequest) (Placement, error)
}

// PlacementRequest describes the attempt to place.
type PlacementRequest struct {
	Attempt ident.AttemptID
	// Resume reports whether the attempt continues an interrupted generation.
	// Such attempts have precedence over new requests.
	Resume bool
	// AcceptedText is the text that the attempt continues.
	AcceptedText string
	// Exclude lists backend servers that must not be used.
	Exclude []ident.BackendID
}

// Placement grants one attempt a stream on a backend server.
type Placement struct {
	Backend ident.BackendID
	// FirstTokenLimit is the time until the first token after which the attempt
	// is suspected.
	FirstTokenLimit time.Duration
	// Release ends the grant and reports the outcome and the number of tokens
	// that the attempt delivered. It is called exactly once.
	Release func(outcome Outcome, tokens int)
}

// Outcome is how an attempt ended, as reported to placement and to the circuit
// breakers.
type Outcome int

// Outcomes of an attempt.
const (
	// OutcomeUnused: no stream was opened.
	OutcomeUnused Outcome = iota
	OutcomeFinished
	OutcomeCancelled
	OutcomeLost
	// OutcomeDied: the process of the backend server has exited.
	OutcomeDied
	OutcomeRejected
)

// Replicas copies journals to other nodes.
type Replicas interface {
	// Open returns the replica of a generation. The callbacks may be called from
	// any goroutine and must not block.
	Open(request *Request, start *StartState, callbacks ReplicaCallbacks) Replica
}

// ReplicaCallbacks report the state of a replica to its generation.
type ReplicaCallbacks struct {
	// Acknowledged reports the number of tokens that the replica holds.
	Acknowledged func(tokens int)
	// Available reports whether a replica can be reached.
	Available func(available bool)
}

// Replica is the copy of one journal on another node.
type Replica interface {
	// Append adds the next token, with the finish reason if it is the last one.
	Append(token, finish string)
	Hosts() []ident.HostID
	// Close stops replication. The other node keeps its copy for its retention
	// time.
	Close()
}

// Sink receives the response for the caller. Its methods are called by the
// generation's goroutine only.
type Sink interface {
	// Tokens sends released tokens with their cursors in one write.
	Tokens(tokens []ReleasedToken) error
	// Finish ends the response with a finish reason.
	Finish(reason string) error
}

// ReleasedToken is one token for the caller.
type ReleasedToken struct {
	Index int
	Text  string
	// Cursor identifies the position after this token.
	Cursor string
}

// Detector derives the silence limit of streams from the gaps between tokens.
type Detector interface {
	// Observe records the time between two consecutive tokens.
	Observe(gap time.Duration)
	// SilenceLimit returns the time between two tokens after which a stream is
	// suspected.
	SilenceLimit() time.Duration
}

// Observer is notified of the events of a generation, for metrics, logs and
// explanations. Its methods must not block.
type Observer interface {
	Decision(request *Request, event, detail string)
	// PromptProcessed reports the number of prompt tokens of an attempt and how
	// many of them the engine had cached.
	PromptProcessed(request *Request, resume bool, promptTokens, cachedTokens int)
	// TokenDiscarded reports a token that the journal did not accept.
	TokenDiscarded(request *Request)
	Resumed(request *Request, latency time.Duration, sameStream bool)
	FirstToken(request *Request, latency time.Duration)
	// ReplicaUnavailable reports that no replica can be reached anymore.
	ReplicaUnavailable(request *Request)
}

// Tracer records sessions for replay.
type Tracer interface {
	// Open returns the recorder of a session, or nil if it is not recorded.
	Open(request *Request, start *StartState, config continuation.Config) Recorder
}

// Recorder records one session. Its methods are called by the generation's
// goroutine only.
type Recorder interface {
	// Step records an event and the actions that the machine returned. The
	// recorder may retain the actions but must not modify them.
	Step(now time.Time, event continuation.Event, actions []continuation.Action)
	Close()
}

// Deps are the dependencies of a Run.
type Deps struct {
	Host     ident.HostID
	Backends Backends
	Placer   Placer
	Replicas Replicas // nil: journals are not copied
	Cursors  *cursor.Codec
	Detector func(model string) Detector
	Observer Observer
	Trace    Tracer // nil: sessions are not recorded
	Config   continuation.Config
}

// Result is how a generation ended.
type Result struct {
	// Tokens is the number of tokens in the journal, including those that other
	// nodes produced.
	Tokens int
	// PromptTokens is the engine's count, 0 if no stream was opened.
	PromptTokens int
	// Opened reports whether a stream was opened and not rejected, so that the
	// request may have run.
	Opened bool
	// FailureReason is the reason why the response is incomplete, empty if it is
	// complete.
	FailureReason string
	// PlacementError is the error of the last failed placement.
	PlacementError error
	// CallerGone reports whether the caller disconnected or continued on another
	// connection or node.
	CallerGone bool
}

// releasedDigest is the running SHA-256 digest of the text that was released to
// the caller.
type releasedDigest struct {
	hash hash.Hash
	sum  []byte
}

func newReleasedDigest(text string) *releasedDigest {
	r := &releasedDigest{hash: sha256.New()}
	r.hash.Write([]byte(text))
	return r
}

func (r *releasedDigest) add(token string) cursor.Digest {
	r.hash.Write([]byte(token))
	r.sum = r.hash.Sum(r.sum[:0])
	var d cursor.Digest
	copy(d[:], r.sum)
	return d
}
