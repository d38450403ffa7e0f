// Package generation runs generations: it executes the actions of a
// continuation.Machine against backend servers, replicas and the caller, and
// feeds their results back as events.
//
// Each generation has one goroutine that owns the machine and the journal.
// One more goroutine reads each open stream. They are joined by the
// generation's event queue; when it is full, the reader waits, and with it the
// engine's connection.
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

// Request is one request for a generation.
type Request struct {
	Generation ident.GenerationID
	Request    ident.RequestID
	Team       ident.Team
	// Route and Body are the caller's request, for replicas.
	Route string
	Body  []byte
	// RequestDigest identifies Route and Body in cursors.
	RequestDigest cursor.Digest
	Model         string
	Prompt        string
	PromptTokens  int
	MaxTokens     int
	Priority      int
	// Fingerprint identifies the content of the request of this team.
	Fingerprint quarantine.Fingerprint
}

// Start tells where a generation begins: at the first token, or after tokens
// that the caller has from another node.
type Start struct {
	Journal *continuation.Journal
	// Released is how many tokens of the journal the caller has.
	Released int
	// Finished is the finish reason if the journal is a whole answer.
	Finished string
	// Attempt and Backend name a stream to go on with; empty if there is none.
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
	// Cancel ends a stream in the background.
	Cancel(id ident.BackendID, attempt ident.AttemptID)
}

// Stream is one connection to a stream.
type Stream interface {
	// Next returns io.EOF itself, not wrapped, after the end of the answer, and
	// any other error if the connection ended before.
	Next() (backendapi.StreamEvent, error)
	Close()
}

// FinalError is the error of a placement that may tell that asking again is no
// use.
type FinalError interface {
	error
	Final() bool
}

// Placer chooses backend servers.
type Placer interface {
	// Place waits for admission and capacity.
	Place(ctx context.Context, request *Request, ask Ask) (Placement, error)
}

// Ask tells what is to be placed.
type Ask struct {
	Attempt ident.AttemptID
	// Resume tells that an interrupted answer continues. It goes before new
	// work.
	Resume bool
	// AcceptedText is the text that the attempt continues from.
	AcceptedText string
	// Exclude lists backend servers that must not be used.
	Exclude []ident.BackendID
}

// Placement is the permission to open a stream on a backend server.
type Placement struct {
	Backend         ident.BackendID
	FirstTokenLimit time.Duration
	// Release returns the permission and tells how many tokens the attempt
	// delivered; it is called exactly once.
	Release func(outcome Outcome, tokens int)
}

// Outcome tells how an attempt ended, for placement and breakers.
type Outcome int

// Outcomes of an attempt.
const (
	OutcomeUnused Outcome = iota
	OutcomeFinished
	OutcomeCancelled
	OutcomeLost
	// OutcomeDied tells that the backend server's process is gone.
	OutcomeDied
	OutcomeRejected
)

// Replicas sends journals to other nodes.
type Replicas interface {
	// Open returns the replica of a generation. The callbacks may come from any
	// goroutine and must not block.
	Open(request *Request, start *Start, callbacks ReplicaCallbacks) Replica
}

// ReplicaCallbacks tells a generation about its replica.
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
	// Close ends the copying. What the other node holds stays there for its
	// retention time.
	Close()
}

// Sink receives the answer. Its methods are called by the generation's
// goroutine only.
type Sink interface {
	// Tokens sends released tokens with their cursors in one write.
	Tokens(tokens []ReleasedToken) error
	// Finish ends the answer.
	Finish(reason string) error
}

// ReleasedToken is one token for the caller.
type ReleasedToken struct {
	Index  int
	Text   string
	Cursor string
}

// Detector supplies silence limits and learns from gaps.
type Detector interface {
	Observe(gap time.Duration)
	Silence() time.Duration
}

// Observer learns what happened to a generation, for metrics, logs and
// explanations. Its methods must not block.
type Observer interface {
	Decision(request *Request, event, detail string)
	Opened(request *Request, resume bool, promptTokens, cachedTokens int)
	Discarded(request *Request)
	Resumed(request *Request, latency time.Duration, sameStream bool)
	FirstToken(request *Request, latency time.Duration)
	Unprotected(request *Request)
}

// Tracer records sessions, so that they can be replayed.
type Tracer interface {
	// Open returns the recorder of a session, or nil if it is not recorded.
	Open(request *Request, start *Start, config continuation.Config) Recorder
}

// Recorder records one session. Its methods are called by the generation's
// goroutine only.
type Recorder interface {
	// Step records an event and the actions that the machine returned, which
	// the recorder may keep but not change.
	Step(now time.Time, event continuation.Event, actions []continuation.Action)
	// Close ends the recording.
	Close()
}

// Deps are the collaborators of a Runner.
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

// Result tells how a generation ended.
type Result struct {
	// Tokens is the number of tokens of the whole answer.
	Tokens int
	// PromptTokens is the engine's count, 0 if no stream was opened.
	PromptTokens int
	// Opened tells that a stream was opened and not rejected, so that the request
	// may have run.
	Opened bool
	// Failed holds the reason if the answer is not complete.
	Failed string
	// PlaceError is the error of the last failed placement.
	PlaceError error
	// CallerGone tells that the caller left or went to another node.
	CallerGone bool
}

// releasedText is the running digest of the text that the caller has.
type releasedText struct {
	hash hash.Hash
	sum  []byte
}

func newReleasedText(text string) *releasedText {
	r := &releasedText{hash: sha256.New()}
	r.hash.Write([]byte(text))
	return r
}

func (r *releasedText) add(token string) cursor.Digest {
	r.hash.Write([]byte(token))
	r.sum = r.hash.Sum(r.sum[:0])
	var d cursor.Digest
	copy(d[:], r.sum)
	return d
}
