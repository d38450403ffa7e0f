// Package backendapi defines the JSON types of the HTTP protocol between a node
// and a backend server. docs/backend-protocol.md describes the routes, the order
// of events and the errors. The package keeps no state.
package backendapi

import "time"

// Routes of a model engine. Plain services serve RouteLoad and RouteHealth too.
const (
	RouteCompletions = "/v1/completions"
	RouteStream      = "/v1/streams/" // followed by the stream id
	RouteLoad        = "/v1/load"
	RouteCacheEvents = "/v1/cache/events" // ?after=SEQUENCE
	RouteOrders      = "/v1/orders"
	RouteState       = "/v1/state"
	RouteHealth      = "/healthz"
)

// Headers of the backend protocol.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-ID"
)

// CompletionRequest starts a stream. The fields up to Stream are those of the
// OpenAI completions API; the remaining fields are extensions.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`

	// Priority orders requests within the engine; higher values run first.
	Priority int `json:"priority"`
	// RequestID correlates the stream with the caller's request.
	RequestID string `json:"request_id"`
	// AttemptID identifies this attempt. The engine uses it as the stream id.
	AttemptID string `json:"attempt_id"`
	// ContinueFrom is the output accepted so far from earlier attempts.
	ContinueFrom *ContinueFrom `json:"continue_from,omitempty"`
}

// ContinueFrom is the part of the output that has already been generated. Tokens
// is its number of tokens. The engine appends Text to the prompt, generates the
// next tokens and numbers them starting from Tokens.
type ContinueFrom struct {
	Tokens int    `json:"tokens"`
	Text   string `json:"text"`
}

// StreamEvent is the data of one server-sent event of a stream. The event's id
// is Index in decimal. The last event is followed by `data: [DONE]`.
type StreamEvent struct {
	// ID is the stream id, equal to the attempt id of the request.
	ID string `json:"id"`
	// Index is the zero-based position of the token in the whole output.
	Index   int      `json:"index"`
	Model   string   `json:"model,omitempty"`
	Choices []Choice `json:"choices"`
	// CachedPromptTokens is the number of prompt tokens served from the prefix
	// cache. It is set only on the first event of an attempt.
	CachedPromptTokens int `json:"cached_prompt_tokens,omitempty"`
	// PromptTokens is the total number of tokens of the prompt and of the text in
	// ContinueFrom. It is set only on the first event of an attempt.
	PromptTokens int `json:"prompt_tokens,omitempty"`
}

// Choice holds the text of one token and, on the last event, the reason why the
// stream ended.
type Choice struct {
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Finish reasons of a stream.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// StreamStatus is the response body of GET RouteStream{id}/status.
type StreamStatus struct {
	ID    string `json:"id"`
	State string `json:"state"` // StreamQueued, StreamRunning or StreamFinished
	// Tokens is the index of the next token that the stream will produce.
	Tokens int `json:"tokens"`
}

// States of a stream.
const (
	StreamQueued   = "queued"
	StreamRunning  = "running"
	StreamFinished = "finished"
)

// Load is the load that an engine or service reports. It may be out of date.
type Load struct {
	MeasuredAt time.Time `json:"measured_at"`
	// Incarnation changes when the process restarts.
	Incarnation int64 `json:"incarnation"`
	// Running and Waiting are the numbers of requests in the batch and in the
	// queue.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// MaxRunning is the maximum batch size.
	MaxRunning int `json:"max_running"`
	// WaitingTokens is the estimated number of prompt tokens not yet prefilled.
	WaitingTokens int `json:"waiting_tokens"`
	// TokensPerSecond is the output rate of one stream at the current batch size.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// PrefillTokensPerSecond is the rate at which uncached prompt tokens are
	// prefilled.
	PrefillTokensPerSecond float64  `json:"prefill_tokens_per_second"`
	Models                 []string `json:"models"`
	Leaving                bool     `json:"leaving"`
}

// CacheEvent reports that a prompt prefix was added to or removed from the
// engine's cache.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Kind     string `json:"kind"` // CacheStored, CacheEvicted or CacheCleared
	// PrefixHash identifies the prefix: the xxh3 hash of the first Tokens prompt
	// tokens as 16 lower-case hexadecimal digits.
	PrefixHash string `json:"prefix_hash,omitempty"`
	Tokens     int    `json:"tokens,omitempty"`
	// Model is the name, as used in requests, of the model whose cache changed. It
	// is empty on CacheCleared, which applies to all models.
	Model string `json:"model,omitempty"`
}

// Kinds of cache events.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
	CacheCleared = "cleared"
)

// CacheBlockTokens is the cache block size in tokens: only prefixes whose length
// is a multiple of it are cached and reported. A token is a run of non-space
// bytes with the white space before it.
const CacheBlockTokens = 16

// CacheEvents is the response body of RouteCacheEvents. A gap in the sequence
// numbers means that events were lost.
type CacheEvents struct {
	Incarnation int64        `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// Order is the desired model placement of one engine. Orders are idempotent.
type Order struct {
	OrderID string `json:"order_id"`
	// FencingToken increases with every new planner. Some engines reject an order
	// whose token is older than the newest they have seen; others ignore the
	// token.
	FencingToken int64         `json:"fencing_token"`
	Role         string        `json:"role"`
	Models       []LoadedModel `json:"models"`
}

// LoadedModel is a model with its version and its adapters.
type LoadedModel struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

// State is the actual model placement of an engine.
type State struct {
	Incarnation  int64         `json:"incarnation"`
	LastOrderID  string        `json:"last_order_id"`
	FencingToken int64         `json:"fencing_token"`
	Role         string        `json:"role"`
	Models       []LoadedModel `json:"models"`
	Loading      []LoadedModel `json:"loading"`
}

// Error is the body of every response with a status of 400 or more.
type Error struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Error codes of engines.
const (
	CodeUnknownStream = "unknown_stream" // 404: never existed or its retention period expired
	CodeUnknownModel  = "unknown_model"  // 404
	CodeStaleFencing  = "stale_fencing"  // 409: order with an old fencing token
	CodeBadRequest    = "bad_request"    // 400
	CodeOverloaded    = "overloaded"     // 503
	CodeLeaving       = "leaving"        // 503
)
