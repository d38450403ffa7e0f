// Package gateway forwards requests of clients to backend servers and carries
// them through the loss of servers.
//
// Load pattern: long generations, a third of whose engines disappear at once
// every few seconds, beside short calls of which some must not run twice. A
// stream keeps a copy of its run on an engine in another data centre and goes
// on there after its last delivered event. A call whose outcome is unknown is
// never sent again unless it is idempotent, and "not run" is only said of a
// request that no server has begun.
//
// Each request is served by its own goroutine; it shares the Fleet, the
// connection pool and the retry budgets with others.
package gateway

import (
	"net/http"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Call is a request of a client, free of the form in which it came.
type Call struct {
	ID     ident.RequestID
	Method string
	Host   string
	Path   string // as sent, without the query
	Target string // path and query as sent
	Header http.Header
	Body   []byte
	// Timeout is how long the client waits, from Received on; 0 if not said.
	Timeout  time.Duration
	Received time.Time
	Key      string
	Prompt   fleet.Prompt
	// After is the id of the last event that the client has; 0 if none.
	After int64
}

// Attempt is one try to run a call on a backend server.
type Attempt struct {
	Server  ident.BackendID
	Team    string // empty if the route needs no key
	Timeout time.Duration
	// Backup is the address of the engine that gets a copy of the run.
	Backup string
	// CopyAt is the address of the engine whose copy the run goes on from, and
	// CopyOf the name of the copy there.
	CopyAt string
	CopyOf string
	// After is the id of the last delivered event; 0 if none.
	After int64
	// Urgent puts a run that goes on before new ones.
	Urgent bool
}

// Answer is what the head of an answer says.
type Answer struct {
	// NotRun is a server's statement that it did not and will not run the call.
	NotRun bool
	// Replaced is a server's statement that it is not the one that was asked.
	Replaced bool
	// Whole reports that the head bears the server's proof and that its body is
	// not encoded, so that it may be passed on.
	Whole bool
	Load  *fleet.Load
}

// Codec translates between the project's types and the form in which clients
// and backend servers of a platform speak. It decides nothing.
type Codec interface {
	// Decode reads a request without its body.
	Decode(r *http.Request, now time.Time) *Call
	// Encode returns the header of an attempt.
	Encode(c *Call, a Attempt) http.Header
	// Owns reports whether an answer belongs to a call.
	Owns(c *Call, header http.Header) bool
	// Answer reads the head of an answer.
	Answer(status int, header http.Header) Answer
	// Probe returns the call that asks an engine for its state without a slot.
	Probe() (method, target string)
	// EngineState reads the answer to a probe; false if it is none of an engine.
	EngineState(probe []byte) (EngineState, bool)
	// CopyCall returns the call that orders an engine to copy a run to another.
	CopyCall(run, to string) (method, target string, body []byte)
	// CopyName reads the name of the copy from the answer.
	CopyName(body []byte) (string, bool)
	// FreeCall returns the call that frees a copy at the engine that made it.
	FreeCall(name string) (method, target string)
	// HeldCall returns the call that asks an engine for the prompts that it holds.
	HeldCall() (method, target string)
	// Held reads the answer to it: the tokens held by the hash of the part.
	Held(body []byte) map[uint64]int
	// Identity reads the id of the server that answered a status check.
	Identity(h http.Header) ident.BackendID
}

// EngineState is what an engine says of itself.
type EngineState struct {
	Born         int64 // Unix millisecond of its start; 0 if not said
	MemoryTokens int
	Leaving      bool
}
