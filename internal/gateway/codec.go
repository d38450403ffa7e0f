// Package gateway forwards requests of clients to backend servers, and resumes or
// retries them when servers are lost.
//
// Load pattern: long generations, a third of whose engines are lost at once every
// few seconds, together with short calls, some of which must not run twice. A
// stream keeps a copy of its run on an engine in another data centre and resumes
// there after the last event that was delivered. A call whose outcome is unknown
// is not sent again unless it is idempotent. An answer states that the request did
// not run only if no server has begun it.
//
// Each request is served by its own goroutine. These goroutines share the Fleet,
// the connection pool and the retry budgets.
package gateway

import (
	"net/http"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Call is a request of a client, independent of the protocol in which it
// arrived.
type Call struct {
	ID     ident.RequestID
	Method string
	Host   string
	Path   string // as sent, without the query
	Target string // path and query as sent
	Header http.Header
	Body   []byte
	// Timeout is how long the client waits, counted from Received; 0 if the
	// client did not set it.
	Timeout  time.Duration
	Received time.Time
	Key      string // API key of the client
	Prompt   fleet.Prompt
	// SharedParts are the hashes of the parts of the prompt, in their order, without the
	// last one. Other requests may have the same parts. A long list is cut off.
	SharedParts []uint64
	// After is the id of the last event that the client already has; 0 if it
	// has none.
	After int64
	// Origin is the id of the client's attempt that brought the first event of the stream
	// that the client resumes; empty if the client does not name it.
	Origin ident.RequestID
}

// Attempt holds the parameters of one attempt to run a call on a backend
// server.
type Attempt struct {
	Server ident.BackendID
	Team   string // empty if the route needs no key
	// Timeout is the time left until the request's deadline.
	Timeout time.Duration
	// Backup is the address of the engine that is to keep a copy of the
	// run; empty if there is none.
	Backup string
	// CopySource is the address of the engine at which the copy that the run
	// resumes from is registered, which is the engine that made the copy or the
	// one that holds it. CopyName is the name of the copy there. Both are empty
	// if the run starts from the prompt.
	CopySource string
	CopyName   string
	// After is the id of the last event that was delivered; 0 if there is
	// none.
	After int64
	// FromStart removes the id of the last event that the client has named: the run is to
	// send all events.
	FromStart bool
	// Urgent gives a resumed run priority over new ones.
	Urgent bool
	// Rank is how much less urgent the request is than the most urgent ones of its service,
	// and Ranked is set if these differ.
	Rank   int
	Ranked bool
}

// Answer is the information in the head of a backend server's answer.
type Answer struct {
	// NotExecuted reports whether the answer states that the server did not and
	// will not run the call.
	NotExecuted bool
	// Replaced reports whether the answer states that it comes from another
	// server than the one to which the call was addressed.
	Replaced bool
	// Forwardable reports whether the answer may be passed on: its head carries
	// the server's proof, and its body is not encoded.
	Forwardable bool
	// Leaving reports whether the server states that it is about to stop. It accepts
	// requests for a short time only.
	Leaving bool
	// RetryAfter is how long the server accepts no further request from this node, if it
	// refused this one; 0 if it does not say.
	RetryAfter time.Duration
	// Limit is the number of requests per second that the server accepts from all hosts
	// together; nil if it names no limit. LimitInvalid reports that it named one that
	// could not be read.
	Limit        *float64
	LimitInvalid bool
	// MaxRejected is set if the server says that it is brittle: it falls over when it has to
	// reject more requests than this in a second. BrittleInvalid reports that it named a
	// value that could not be read.
	MaxRejected    *int
	BrittleInvalid bool
	// Invalid lists the headers whose values were invalid and are ignored, as
	// "name: value".
	Invalid []string
	// Load is the load that the server reported; nil if it reported none.
	Load *fleet.Load
}

// Codec translates between the project's types and the protocol that clients
// and backend servers of a platform use. It does not decide how requests are
// routed or retried.
type Codec interface {
	// Decode reads the head of a request, not its body.
	Decode(r *http.Request, now time.Time) *Call
	// Encode returns the header of the request that makes an attempt.
	Encode(c *Call, a Attempt) http.Header
	// IsAnswerTo reports whether an answer with the given header belongs to a
	// call.
	IsAnswerTo(c *Call, header http.Header) bool
	// IsOwnAnswer reports whether an answer with the given header may belong to a call
	// that the node makes for itself, such as a probe. An answer to a request of a client
	// does not.
	IsOwnAnswer(header http.Header) bool
	// Answer reads the head of an answer.
	Answer(status int, header http.Header) Answer
	// Probe returns the call that requests the state of an engine. The engine
	// answers it without occupying a slot.
	Probe() (method, target string)
	// EngineState reads the body of the answer to a probe. It returns false if
	// the body is not that of an engine's answer.
	EngineState(probe []byte) (EngineState, bool)
	// CopyCall returns the call that makes an engine copy a run to the engine at
	// the address to.
	CopyCall(run, to string) (method, target string, body []byte)
	// CopyName reads the name of the copy from the body of the answer to a
	// CopyCall.
	CopyName(body []byte) (string, bool)
	// FreeCall returns the call that frees a copy; it is sent to the engine that
	// made the copy.
	FreeCall(name string) (method, target string)
	// CachedPromptsCall returns the call that requests the list of the prompts
	// that an engine has cached.
	CachedPromptsCall() (method, target string)
	// CachedPrompts reads the body of the answer to a CachedPromptsCall. It
	// returns the number of cached tokens by the hash of the prompt part.
	CachedPrompts(body []byte) map[uint64]int
	// Identity reads the id of the server from the header of its answer to
	// a health check.
	Identity(h http.Header) ident.BackendID
}

// EngineState is the state that an engine reports in its answer to a probe.
type EngineState struct {
	Incarnation int64 // start time in Unix milliseconds; 0 if not reported
	// MemoryTokens is the engine's memory for prompts and output, in
	// tokens.
	MemoryTokens int
	Draining     bool
}
